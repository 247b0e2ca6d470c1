package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Handle processes one event at time now, which must not go back, and appends the resulting actions to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.acts = now, out
	if !g.begun {
		g.begun, g.start, g.lastTick = true, now, now
		g.do(SetTimer{Token: "tick", After: time.Duration(g.rng.Int64N(int64(g.tick))) + 1})
		g.watch()
	}
	switch ev := ev.(type) {
	case Request:
		g.onRequest(g.arrive(ev))
	case Outcome:
		g.onOutcome(ev)
	case Started:
		if r := g.reqs[ev.ID]; r != nil && r.attempts == ev.Attempt+1 && r.srv != nil {
			r.stream = true
		}
	case Gone:
		if r := g.reqs[ev.ID]; r != nil {
			g.close(r)
		}
	case Timer:
		if ev.Token == "ask" {
			g.onAskTimer()
		} else if ev.Token == "age" {
			g.ageAll()
		} else if ev.Token == "tick" && now > g.lastTick {
			g.onTick()
		}
	case PeerMessage:
		g.onPeer(ev)
	case Members:
		g.onMembers(ev)
	case Terms:
		g.onTerms(ev)
	case Peers:
		g.onPeers(ev)
	case Yield:
		g.onYield()
	case Given:
		g.onGiven(ev)
	case Trusts:
		for _, s := range g.fleet {
			s.trust = ev.Servers[s.ID]
		}
	}
	out, g.acts = g.acts, nil
	return out
}

// onServerList takes over the server list or changes to it.
func (g *Gateway) onMembers(ev Members) {
	if ev.Kind == AskFailed {
		g.asked = false
		return
	}
	if ev.Kind != Changes {
		for _, s := range g.fleet {
			s.leave(g.now)
		}
	}
	for _, m := range ev.Servers {
		s := g.servers[m.ID]
		if s == nil {
			h := uint32(m.ID) * 0x9e3779b1 >> (32 - serverBits)
			s = &server{hash: uint16(h), slow: 1, pace: 1, verdicts: verdictKeep, verdictAt: g.now, by: make([]record, len(g.set.Classes)),
				fullAt: map[*quota]time.Duration{}, watchers: g.watchers(h)}
			g.servers[m.ID] = s
			g.fleet = append(g.fleet, s)
		} else if m.HasStart && m.Start != s.Start {
			s.slow, s.pace = 1, 1
			clear(s.by)
		}
		if m.ColdUntil > s.ColdUntil || m.ColdSends != s.ColdSends {
			s.colds = g.coldSends(m)
		}
		if s.Server = m; m.State == Removed {
			s.leave(g.now)
		} else {
			s.goneAt = 0
		}
	}
	g.count()
	for _, s := range g.fleet {
		g.prefer(s)
	}
	slices.SortFunc(g.fleet, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// onPeerMessage handles a message of another gateway; malformed ones are ignored.
func (g *Gateway) onPeer(ev PeerMessage) {
	if ev.From < 0 || ev.From >= len(g.peers) || ev.From == g.set.Me {
		return
	}
	g.intake, g.deaf = g.intake+1, 0
	g.peer(ev.From).missed = 0
	switch m := decode(ev.Data).(type) {
	case ask:
		if int(m.Plan) < len(g.set.Plans) && int(m.Class) < len(g.set.Classes) && m.Spread > 0 {
			g.onAsk(ev.From, m)
		}
	case want:
		g.onWant(ev.From, m)
	case lent:
		g.onLent(m)
	case answer:
		g.onAnswer(ev.From, m)
	case ended:
		g.onEnded(ev.From, m)
	case sight:
		s := g.servers[ServerID(m.Server)]
		if s != nil && slices.Contains(s.watchers[:], g.set.Me) && int(m.Class) < len(s.by) {
			g.gather(s, int(m.Class), Code(m.Code), time.Duration(m.Latency)*time.Millisecond)
		}
	case verdict:
		g.onVerdict(m)
	case report:
		g.onReport(g.peer(ev.From), m)
	}
}

// finish ends a request: it leaves its queue, and its root is told that it needs no place any more. While an
// attempt is in flight the rest waits for its outcome.
func (g *Gateway) close(r *request) {
	r.over = true
	if i := slices.Index(r.c.held, r); i >= 0 {
		g.unhold(r.c, i)
	}
	if r.remote || r.srv != nil {
		return
	}
	delete(g.reqs, r.id)
	delete(g.asks, r.tag)
	if r.granted && (r.c.plan.Open > 0 || !r.counted) {
		g.tellEnd(r) // sent twice: if the message is lost, the root keeps the place until the lease expires
		g.tellEnd(r)
	} else if r.waits {
		g.tellEnd(r) // so that the root does not grant it later
	}
	r.granted, r.waits = false, false
}

// customerOf returns the customer of a request and creates it if it is new.
func (g *Gateway) customer(r *Request) *customer {
	key := keyOf(r.Customer)
	if c := g.customers[key]; c != nil {
		return c
	}
	plan := g.plans[r.Plan]
	if plan == nil {
		plan = &quota{Plan: Plan{Name: r.Plan}}
		g.plans[r.Plan] = plan // a later ConfigUpdate may define it
	}
	return g.account(key, plan, r.First, r.Spread)
}

// newRequest records a client's request. A class that the settings do not have is treated as Unsafe.
func (g *Gateway) arrive(ev Request) *request {
	c, cl := g.customer(&ev), g.classes[ev.Class]
	if cl == nil {
		cl = &class{Class: Class{Aim: ev.Remaining, Effect: Unsafe}, mean: g.mean}
	}
	g.advance(c)
	r := &request{id: ev.ID, c: c, cl: cl, service: ev.Service, homes: ev.Homes, needs: ev.Service, prio: ev.Prio, spent: ev.Spent, tries: ev.Tries, effect: max(cl.Effect, ev.Effect), units: ev.Units, arrived: g.now, repeat: ev.Retry,
		deadline: g.now + ev.Remaining}
	if len(ev.Homes) > 0 {
		r.needs += "|" + strings.Join(ev.Homes, ",")
	}
	if r.tries == 0 {
		r.tries = g.set.MaxAttempts
	}
	g.reqs[r.id], c.seen = r, g.now
	return r
}

// onServerVerdict applies the verdict of a server's watcher.
func (g *Gateway) onVerdict(m verdict) {
	if s := g.servers[ServerID(m.Server)]; s != nil {
		g.rule(s, m.Pace, func(class int, _ *record) bool { return m.Bad>>class&1 == 1 })
	}
}
