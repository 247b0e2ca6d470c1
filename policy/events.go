package policy

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Handle processes one event at time now, which must not go back, and appends the resulting actions to out.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.actions = now, out
	if !g.started {
		g.started, g.startedAt, g.lastTick = true, now, now
		g.emit(SetTimer{Token: "tick", After: time.Duration(g.rng.Int64N(int64(g.tickInterval))) + 1})
		g.watchServers()
	}
	switch ev := ev.(type) {
	case Request:
		g.handleRequest(g.newRequest(ev))
	case Outcome:
		g.onOutcome(ev)
	case Started:
		if r := g.requests[ev.ID]; r != nil && r.attempts == ev.Attempt+1 && r.server != nil {
			r.streams = true
		}
	case ClientGone:
		if r := g.requests[ev.ID]; r != nil {
			g.finish(r)
		}
	case Timer:
		if ev.Token == "ask" {
			g.onAskTimeout()
		} else if ev.Token == "age" {
			g.refuseOverdue()
		} else if ev.Token == "tick" && now > g.lastTick {
			g.onTick()
		}
	case PeerMessage:
		g.onPeerMessage(ev)
	case ServerList:
		g.onServerList(ev)
	case ConfigUpdate:
		g.onConfigUpdate(ev)
	case GatewaySet:
		g.onGatewaySet(ev)
	case Relinquish:
		g.onRelinquish()
	case UnitsReceived:
		g.onUnitsReceived(ev)
	case TrustUpdate:
		for _, s := range g.serverList {
			s.trust = ev.Servers[s.ID]
		}
	}
	out, g.actions = g.actions, nil
	return out
}

// onTick does the periodic work: it decays what was learned, checks overdue attempts and held requests, and sends reports.
func (g *Gateway) onTick() {
	dt := g.now - g.lastTick
	g.lastTick, g.tickCount = g.now, g.tickCount+1
	g.emit(SetTimer{Token: "tick", After: g.tickInterval})
	if g.tickCount%uint32(max(1, time.Second/g.tickInterval)) == 0 {
		g.watchServers()
		g.dropExpired()
	}
	g.recentSends *= math.Exp(-float64(dt) / float64(g.cfg.FailTime)) // unused with MultiService (FailTime 0)
	g.sumPeerLoads()
	g.adaptAdmission(dt)
	g.recentMessages *= math.Exp(-dt.Seconds() / demandDecay.Seconds())
	for _, s := range g.serverList {
		// A server that gets no requests yields no new data: old measurements decay.
		s.decay(min(1, dt.Seconds()/healthDecayTime.Seconds()))
		g.checkOverdue(s)
		if slices.Contains(s.watchers[:], g.cfg.Me) {
			g.publishVerdict(s)
		}
	}
	g.measureInFlight(dt)
	g.refuseOverdue()
	for _, c := range slices.Clone(g.waiting) {
		if g.cfg.MultiService != nil {
			g.serveWaiting()
			break
		}
		g.sendHeld(c, g.releasable(c))
	}
	if g.cfg.CanMessagePeers && (!g.usesRoots || g.tickCount%rootReportTicks == 0) &&
		g.tickCount%g.reportTicks == 0 && !g.borrows {
		g.sendReports()
	}
}

// onServerList takes over the server list or changes to it.
func (g *Gateway) onServerList(ev ServerList) {
	if ev.Kind == WatchFailed {
		g.watching = false
		return
	}
	if ev.Kind != ChangedServers {
		for _, s := range g.serverList {
			s.markRemoved(g.now)
		}
	}
	for _, m := range ev.Servers {
		s := g.servers[m.ID]
		if s == nil {
			h := uint32(m.ID) * 0x9e3779b1 >> (32 - serverBits)
			s = &server{hash: uint16(h), slowdown: 1, sharedSlowdown: 1, verdictTokens: verdictBurst,
				verdictTokensAt: g.now, classes: make([]classHealth, len(g.cfg.Classes)),
				planFull: map[*planState]time.Duration{}, watchers: g.watchersOf(h)}
			g.servers[m.ID] = s
			g.serverList = append(g.serverList, s)
		} else if m.HasStartTime && m.StartTime != s.StartTime {
			s.slowdown, s.sharedSlowdown = 1, 1
			clear(s.classes)
		}
		if m.ColdUntil > s.ColdUntil || m.ColdSendRate != s.ColdSendRate {
			s.coldSendQuota = g.coldSendBudget(m)
		}
		if s.Server = m; m.State == Removed {
			s.markRemoved(g.now)
		} else {
			s.removedAt = 0
		}
	}
	g.countServers()
	for _, s := range g.serverList {
		g.setAffinity(s)
	}
	slices.SortFunc(g.serverList, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// onPeerMessage handles a message of another gateway; malformed ones are ignored.
func (g *Gateway) onPeerMessage(ev PeerMessage) {
	if ev.From < 0 || ev.From >= len(g.peers) || ev.From == g.cfg.Me {
		return
	}
	g.recentMessages, g.unansweredAsks = g.recentMessages+1, 0
	g.peerAt(ev.From).missed = 0
	switch m := decode(ev.Data).(type) {
	case askMessage:
		if int(m.Plan) < len(g.cfg.Plans) && int(m.Class) < len(g.cfg.Classes) && m.GatewayCount > 0 {
			g.onAsk(ev.From, m)
		}
	case loanRequest:
		g.onLoanRequest(ev.From, m)
	case loanReply:
		g.onLoanReply(m)
	case askReply:
		g.onAskReply(ev.From, m)
	case askEnded:
		g.onAskEnded(ev.From, m)
	case outcomeReport:
		s := g.servers[ServerID(m.Server)]
		if s != nil && slices.Contains(s.watchers[:], g.cfg.Me) && int(m.Class) < len(s.classes) {
			g.recordOutcome(s, int(m.Class), Code(m.Code), time.Duration(m.LatencyMS)*time.Millisecond)
		}
	case serverVerdict:
		g.onServerVerdict(m)
	case report:
		g.onReport(g.peerAt(ev.From), m)
	}
}

// finish ends a request: it leaves its queue and the tables, and its root learns that it needs no place any more.
// While an attempt is in flight it only leaves its queue; finish is called again when the attempt has ended.
func (g *Gateway) finish(r *request) {
	r.done = true
	if i := slices.Index(r.customer.held, r); i >= 0 {
		g.dequeue(r.customer, i)
	}
	if r.remote || r.server != nil {
		return
	}
	delete(g.requests, r.id)
	delete(g.pendingAsks, r.tag)
	if r.granted && (r.customer.plan.MaxInFlight > 0 || !r.unitsTaken) {
		g.sendAskEnded(r) // sent twice: if the message is lost, the root keeps the place until the lease expires
		g.sendAskEnded(r)
	} else if r.heldAtRoot {
		g.sendAskEnded(r) // so that the root does not grant it later
	}
	r.granted, r.heldAtRoot = false, false
}

// customerOf returns the customer of a request and creates it if it is new.
func (g *Gateway) customerOf(r *Request) *customer {
	key := keyOf(r.Customer)
	if c := g.customers[key]; c != nil {
		return c
	}
	plan := g.plans[r.Plan]
	if plan == nil {
		plan = &planState{Plan: Plan{Name: r.Plan}}
		g.plans[r.Plan] = plan // a later ConfigUpdate may define it
	}
	return g.addCustomer(key, plan, r.FirstGateway, r.GatewayCount)
}

// newRequest records a client's request. A class that the settings do not have is treated as Unsafe.
func (g *Gateway) newRequest(ev Request) *request {
	c, cl := g.customerOf(&ev), g.classes[ev.Class]
	if cl == nil {
		cl = &class{Class: Class{LatencyTarget: ev.Remaining, Effect: Unsafe}, mean: g.meanLatency}
	}
	g.advance(c)
	r := &request{id: ev.ID, customer: c, class: cl, service: ev.Service, regions: ev.Regions,
		serverGroup: ev.Service, priority: ev.Priority, waitedBefore: ev.WaitedBefore,
		maxAttempts: ev.MaxAttempts, effect: max(cl.Effect, ev.Effect), units: ev.Units,
		arrivedAt: g.now, isRetry: ev.Retry, deadline: g.now + ev.Remaining}
	if len(ev.Regions) > 0 {
		r.serverGroup += "|" + strings.Join(ev.Regions, ",")
	}
	if r.maxAttempts == 0 {
		r.maxAttempts = g.cfg.MaxAttempts
	}
	g.requests[r.id], c.lastRequestAt = r, g.now
	return r
}

// onServerVerdict applies the verdict of a server's watcher.
func (g *Gateway) onServerVerdict(m serverVerdict) {
	if s := g.servers[ServerID(m.Server)]; s != nil {
		g.applyVerdict(s, m.Slowdown, func(class int, _ *classHealth) bool { return m.EjectedBits>>class&1 == 1 })
	}
}
