package policy

// How events reach the decisions, and how reports are made and read.

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Handle takes one event at a time and appends what is to be done to out.
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
		g.tellEnd(r) // twice: a place is worth more than a message, of which some are lost
		g.tellEnd(r)
	} else if r.waits {
		g.tellEnd(r) // it needs no place any more
	}
	r.granted, r.waits = false, false
}

// customer finds the customer of a request.
func (g *Gateway) customer(r *Request) *customer {
	key := keyOf(r.Customer)
	if c := g.customers[key]; c != nil {
		return c
	}
	plan := g.plans[r.Plan]
	if plan == nil {
		plan = &quota{Plan: Plan{Name: r.Plan}}
		g.plans[r.Plan] = plan // Terms may tell of it yet
	}
	return g.account(key, plan, r.First, r.Spread)
}

// arrive enters a client's request. One of a class not in the settings is taken for unsafe.
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

// What is told to peers, to whom, and what is made of what they tell.

// message makes the report for one peer: the servers this gateway has attempts
// out at, then the customers that come in through both, busiest first.
func (g *Gateway) message(p *peer, list []*customer) *report {
	m := &report{inc: g.inc, seq: g.seq, complete: true}
	for _, s := range g.fleet {
		if s.out > 0 && len(m.servers) < maxServers && !g.tree {
			m.servers = append(m.servers, serverOut{s.hash, byte(min(s.out, maxOut))})
		}
	}
	for _, c := range list {
		v := c.view(p)
		if v == nil {
			continue
		}
		if !m.fits() {
			m.complete = false
			break
		}
		g.advance(c)
		e := entry{hash: c.hash, held: byte(min(len(c.held), maxHeld)),
			out:    byte(min(math.Round(outScale*math.Sqrt(c.mean)), 15)),
			passed: byte(c.passed), given: v.gave, store: unknownStore, anew: g.now-c.born < anewFor,
			rate: min(maxRate, small(rateScale*math.Log2(1+c.rate/demandSpan.Seconds())))}
		if c.known && c.plan.Burst > 0 {
			e.store = small(250 * max(c.store, 0) / c.plan.Burst)
		}
		m.customers = append(m.customers, e)
		c.told = g.ticks
	}
	return m
}

func (g *Gateway) onReport(p *peer, m report) {
	if p.heard && p.inc == m.inc && int32(m.seq-p.seq) <= 0 {
		return // old or repeated: the later report holds all it said
	}
	if m.complete || p.inc != m.inc {
		for _, v := range p.views {
			v.out, v.held = 0, 0
		}
	}
	p.heard, p.inc, p.seq, p.at, p.complete = true, m.inc, m.seq, g.now, m.complete
	p.outs = map[uint16]float64{}
	for _, o := range m.servers {
		p.outs[o.hash] = float64(o.out)
	}
	g.sumLoads()
	for _, e := range m.customers {
		if c := g.byHash[e.hash]; c != nil {
			g.hear(c, p, e)
		}
	}
}

// report tells each peer what has changed.
func (g *Gateway) report() {
	g.seq++
	var list []*customer
	for _, c := range g.ring {
		if c.news() {
			c.urgency = g.urgent(c)
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *customer) int { return cmp.Compare(b.urgency, a.urgency) })
	for _, p := range g.peers {
		if p == nil || p.num == g.set.Me || g.tree && len(p.views) == 0 {
			continue
		}
		if m := g.message(p, list); !g.tree || len(m.customers) > 0 {
			g.do(Tell{To: p.num, Data: m.encode()})
		}
	}
	for _, c := range list {
		if c.told == g.ticks {
			c.fresh, c.toldUnits = max(0, c.fresh-1), c.passed
		}
	}
}

// onAskTimer asks again, elsewhere, for what was not answered.
func (g *Gateway) onAskTimer() {
	list := g.asking
	g.asking = nil
	for _, r := range list {
		switch {
		case r.over || r.granted || g.asks[r.tag] != r:
		case g.now+g.set.Resolution <= r.until: // a timer may come a rounding early
			g.asking = append(g.asking, r)
		case r.waits:
			g.refuse(r)
		case g.set.Field != nil: // there may be fewer gateways since it was asked for
			g.unanswered(r)
		default:
			g.ask(r)
		}
	}
}

func (g *Gateway) tellEnd(r *request) {
	g.do(Tell{To: r.root, Data: encode(ended{r.c.key, r.tag, !r.counted})})
}

func (g *Gateway) onVerdict(m verdict) {
	if s := g.servers[ServerID(m.Server)]; s != nil {
		g.rule(s, m.Pace, func(class int, _ *record) bool { return m.Bad>>class&1 == 1 })
	}
}

// onLent goes on with the request that units were borrowed for. What comes too late for it stays for another.
func (g *Gateway) onLent(m lent) {
	if c := g.customers[m.Customer]; c != nil {
		g.advance(c)
		c.ceiling += float64(m.Units)
	}
	r := g.asks[m.Tag]
	switch {
	case r == nil || r.over:
	case m.Units == 0:
		g.borrow(r)
	default:
		delete(g.asks, m.Tag)
		g.admit(r)
	}
}

// hears takes in the load that a server tells of with an answer.
func (g *Gateway) hears(s *server, load []float64) {
	if len(load) == 3 && g.set.Field != nil {
		s.others, s.othersAt, s.told = max(0, load[0]+load[1]-float64(s.out)), g.now, true
	}
}

// otherLoad is what others have out at a server, as it said itself; that wears off, down or up to what is usual.
// Where it wore off to nothing, each gateway would go to the servers that it has heard nothing of for longest: all
// of them to all, by turns. So it goes to those that had room when they last answered it, which few others know.
func (g *Gateway) otherLoad(s *server) float64 {
	if !s.told {
		return s.usual
	}
	return s.usual + (s.others-s.usual)*math.Exp(-(g.now-s.othersAt).Seconds()/toldSpan.Seconds())
}

// usualLoads takes what is usual at the servers of a service in a region: the mean of what each told last, the
// latest first. Regions differ: what may only be done in one fills that one's. Where none has told anything lately
// it wears off: else a gateway to which all seem full would send none of them anything, and hear of no change.
func (g *Gateway) usualLoads() {
	type group struct{ service, region string }
	type mean struct{ sum, weight, latest float64 }
	all := map[group]mean{}
	for _, s := range g.fleet {
		if s.told && s.State == Running {
			k := group{s.Service, s.Region}
			w, m := math.Exp(-(g.now-s.othersAt).Seconds()/usualSpan.Seconds()), all[k]
			all[k] = mean{m.sum + w*s.others, m.weight + w, max(m.latest, w)}
		}
	}
	for _, s := range g.fleet {
		s.usual = 0
		if m := all[group{s.Service, s.Region}]; m.weight > 0 {
			s.usual = m.sum / m.weight * m.latest
		}
	}
}

// hear takes in what a peer says of a customer. Running totals heal lost
// reports; a total that jumps oddly (the peer started anew) is a new base.
func (g *Gateway) hear(c *customer, p *peer, e entry) {
	v := c.view(p)
	if v == nil {
		return
	}
	g.advance(c)
	passed, lent, met := v.read(e, p.inc, g.now)
	c.store = min(c.plan.Burst, max(0, c.store-passed))
	c.ceiling = min(c.plan.HardBurst/c.n, c.ceiling+lent)
	// One just met has used it, or knows who has: it is told once what the store
	// is here. Guards against a store that is full at one gateway only.
	if (met || !c.known) && e.store != unknownStore {
		c.known, c.fresh = true, max(c.fresh, 1)
		c.store = min(c.store, float64(e.store)/250*c.plan.Burst)
	}
}

func (g *Gateway) onAnswer(from int, m answer) {
	r := g.asks[m.Tag]
	if r == nil || r.root != from || r.over {
		return
	}
	c := r.c
	if !r.waits {
		g.reply += time.Duration(learn * float64(g.now-r.askedAt-g.reply))
	}
	g.advance(c)
	g.heard += learn * (1 - g.heard)
	g.strain += strainOwn * (float64(m.Strain)/100 - g.strain)
	c.part, c.partAt = float64(m.Part)/250, g.now
	c.store, c.told = float64(m.Fill)/250*c.plan.Burst, g.ticks+1
	if r.waits = m.Verdict == waits; r.waits {
		r.until = min(r.arrived+time.Duration(holdAim*float64(r.cl.Aim)), r.deadline-g.tick)
		g.do(SetTimer{Token: "ask", After: max(g.set.Resolution, r.until-g.now)})
		return
	}
	delete(g.asks, m.Tag)
	if r.granted = m.Verdict == granted; !r.granted || !g.within(r) {
		g.refuse(r)
	} else if !g.try(r) {
		g.hold(r)
	}
}

// news tells whether peers must hear of a customer.
func (c *customer) news() bool {
	return len(c.set) > 0 && (c.out > 0 || c.mean > 0 || len(c.held) > 0 || c.fresh > 0)
}

// grant counts a member's request and tells it to go.
func (g *Gateway) grant(r *request) {
	c := r.c
	c.take(r, g.now)
	g.lease(r)
	c.count(g.now, 1)
	r.counted, r.over = true, true
	g.answer(r, granted)
}

// lease keeps a place for a member's request until more is heard of it.
func (g *Gateway) lease(r *request) {
	until := g.now + time.Duration(leaseMeans*r.cl.mean*float64(time.Second))
	r.c.leases[lease{r.root, r.tag}] = leased{until, r}
}

// onAsk takes a member's request into the customer's counts as if it had come in here.
func (g *Gateway) onAsk(from int, m ask) {
	c := g.customers[m.Customer]
	fresh := c == nil
	if fresh {
		c = g.account(m.Customer, g.plans[g.set.Plans[m.Plan].Name], int(m.First), int(m.Spread))
	}
	// One that counts for a root it can't hear goes by what the root last told.
	if m.Fill != unknownStore && (fresh || len(c.ask) > 0) {
		c.store = min(c.store, float64(m.Fill)/250*c.plan.Burst)
	}
	if r, v := c.pending(from, m.Tag); r != nil { // an answer was lost, or the attempt is still out
		if v == granted {
			g.lease(r)
		}
		g.answer(r, v)
		return
	}
	g.advance(c)
	c.seen, c.sums = g.now, true
	r := g.requestOf(c, from, m)
	c.asked(r, float64(max(1, m.Thin))/250)
	g.admit(r)
}
