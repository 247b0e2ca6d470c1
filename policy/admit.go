package policy

// Arrival, admission, holding, release and refusal of requests, and the periodic tick.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (g *Gateway) handleRequest(r *request) {
	c := r.customer
	c.addDemand(r, 1)
	// Of a customer far above its quota or cap only the part that fits is asked for: its root could not
	// take in all its asks. Harms for as long as thinSpan when the customer stops asking for more.
	r.askChance = min(1, c.fittingShare+(g.now-c.fittingShareAt).Seconds()/thinSpan.Seconds())
	switch {
	case c.plan.HardRate > 0 && c.ceiling < r.units && g.mayBorrow(r):
		g.borrow(r)
	case r.deadline-g.now <= 2*g.cfg.Resolution || g.rng.Float64() > g.admitShare:
		g.refuse(r) // with no time left any wait is too long
	case len(c.askRoots) == 0:
		g.admit(r)
	case g.rng.Float64() > r.askChance:
		g.refuse(r)
	default:
		g.ask(r)
	}
}

// admit sends a request, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.customer
	c.reportsLeft = repeatTicks
	// A client's repeat is often late. It gives way to first tries while requests wait for servers or the
	// store is low. Guards against retry storms; harms where repeats come soon and aims are long.
	scarce := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst
	pressed := !r.remote && g.noServerAt > 0 && g.now-g.noServerAt < pressedFor
	if r.overQuota = !g.hasUnits(r); r.overQuota && !g.mayAwaitUnits(r) || r.isRetry && (scarce || pressed) {
		g.refuse(r)
		return
	}
	if g.first(r) && !r.overQuota && g.underCap(c, true) && g.trySend(r) {
		return
	}
	g.hold(r)
	if r.remote && !r.done {
		g.answer(r, heldAtRoot)
	}
}

// hasUnits tells whether quota and ceiling have the request's units.
func (g *Gateway) hasUnits(r *request) bool {
	c := r.customer
	if r.unitsTaken {
		return true
	}
	if c.plan.Rate > 0 && !r.granted && !g.borrows && g.allowance(c) < r.units {
		return false
	}
	return c.plan.HardRate == 0 || !r.usesOwnCeiling() || c.ceiling >= r.units
}

// mayAwaitUnits tells whether a request beyond its customer's units may wait for them: as many as come in
// while they may wait.
func (g *Gateway) mayAwaitUnits(r *request) bool {
	if g.cfg.MultiService == nil || g.borrows || g.demand(r.customer) > r.customer.plan.Rate {
		return false // where it asks for more than its quota, whoever waits only makes others wait
	}
	hold := holdAim * r.class.LatencyTarget.Seconds()
	return float64(len(r.customer.held)) < max(1, r.customer.plan.Rate*hold*g.share(r.customer))
}

// peerCounts sums the attempts out and held that the peers report. A silent
// peer's count gives way to its demand-split part of the cap.
func (g *Gateway) peerCounts(c *customer) (out, held float64) {
	for _, v := range c.views {
		if g.silent(v.peer) {
			out += float64(c.plan.MaxInFlight) * g.weight(c, v) / g.demand(c)
			continue
		}
		out += v.inFlight
		held += v.held
	}
	return inFlight, held
}

// underCap tells whether one more attempt of the customer fits under its cap.
// An arrival stays under its demand-split part, at least one.
func (g *Gateway) underCap(c *customer, arrival bool) bool {
	if c.plan.MaxInFlight == 0 {
		return true
	}
	out, _ := g.peerCounts(c)
	free := float64(c.plan.MaxInFlight) - out
	next := float64(c.inFlight + 1)
	if arrival {
		return next <= max(free*g.share(c), min(1, free+arriveSlack))
	}
	return next <= free+freeSlack
}

// trySend sends the request to a server if one has room for it.
func (g *Gateway) trySend(r *request) bool {
	if r.remote {
		g.grant(r)
		return true
	}
	s := g.pick(r)
	if s == nil {
		g.noServerAt = g.now
		return false
	}
	c := r.customer
	if !r.unitsTaken {
		r.unitsTaken = true
		c.chargeUnits(r, g.now)
		g.earnRetryBudget(r.service)
	}
	c.reportsLeft = repeatTicks
	g.startAttempt(r, s)
	if g.coldness(s) < 1 || g.now < s.ColdUntil {
		s.sends = append(s.sends, g.now)
	} else {
		g.recentSends++
	}
	var timeout time.Duration
	if !g.cfg.CanCancel && r.effect == Safe && !r.class.Streaming {
		timeout = max(r.class.LatencyTarget*3/5, r.deadline-g.now-r.class.LatencyTarget)
	}
	g.emit(Send{ID: r.id, Server: s.ID, Timeout: timeout})
	return true
}

// hold queues a request; one whose deadline comes before any tick can answer it is refused at once.
func (g *Gateway) hold(r *request) {
	if g.now+g.tickInterval+2*g.cfg.Resolution >= r.deadline {
		g.refuse(r)
		return
	}
	g.enqueue(r)
	if g.cfg.MultiService != nil {
		g.emit(SetTimer{Token: "age", After: max(0, r.arrivedAt+g.maxHold(r)-g.now) + g.cfg.Resolution})
	}
}

// heldTooLong tells whether a held request can no longer meet its aim. One that came
// in elsewhere is given up there so long after it came, and a grant has a way to
// go: a place granted later is lost until its lease runs out.
func (g *Gateway) heldTooLong(r *request) bool {
	return g.now-r.arrivedAt > g.maxHold(r)
}

// maxHold is how long a request is held.
func (g *Gateway) maxHold(r *request) time.Duration {
	limit := time.Duration(holdAim * float64(r.class.LatencyTarget))
	if r.remote {
		limit -= 2 * g.meanReplyTime
	}
	if g.cfg.MultiService != nil {
		limit -= holdEarly // its client counts the way here and back
	}
	return limit
}

// refuseOverdue refuses held requests that are stale, while a retry can still help, and in
// any case before the deadline.
func (g *Gateway) refuseOverdue() {
	for _, c := range slices.Clone(g.waiting) {
		g.advance(c)
		for _, r := range slices.Clone(c.held) {
			if g.heldTooLong(r) || g.now+2*g.tickInterval >= r.deadline {
				g.refuse(r)
			}
		}
	}
}

// sendHeld sends up to n of a customer's held requests, oldest first. It is false when no server had room.
func (g *Gateway) sendHeld(c *customer, n int) bool {
	for ; n > 0 && len(c.held) > 0; n-- {
		r := c.held[0]
		g.advance(c)
		if r.overQuota = !g.hasUnits(r); r.overQuota || r.remote && g.heldTooLong(r) {
			g.refuse(r)
			continue
		}
		if !g.underCap(c, false) {
			return true
		}
		if !g.trySend(r) {
			return false
		}
		g.dequeue(c, 0)
	}
	return true
}

// releaseHeld lets held requests go at an outcome: the customer's own while its live count and the
// heard means stay under the cap, then others that waited for a server.
func (g *Gateway) releaseHeld(c *customer) {
	if g.cfg.MultiService != nil {
		g.serve()
		return
	}
	if !g.sendHeld(c, 1<<30) || len(g.waiting) == 0 {
		return
	}
	rest := slices.Clone(g.waiting)
	slices.SortStableFunc(rest, func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrivedAt, b.held[0].arrivedAt)
	})
	for _, w := range rest {
		if w != c && !g.sendHeld(w, 1) {
			return
		}
	}
}

// refuse gives the final answer: Refuse if a retry is harmless, else Fail.
func (g *Gateway) refuse(r *request) {
	if r.remote {
		g.answer(r, refused)
	} else if r.mayHaveRun && r.effect != Safe && !(r.effect == Keyed && r.class.DedupScope == DedupAll) {
		g.emit(Fail{ID: r.id})
	} else {
		g.emit(Refuse{ID: r.id, RetryAfter: g.retryAfter(r), OverQuota: r.overQuota})
	}
	g.finish(r)
}

// adaptAdmission moves the gate by how near latencies come to their aims: a part of the requests is refused. Guards
// against load this gateway is not told of, on all servers: peers unheard, slow fleets. Harms where aims are
// near idle latencies.
func (g *Gateway) adaptAdmission(dt time.Duration) {
	if g.cfg.MultiService == nil && g.lateness > gateAim || g.usesRoots && g.lateness > blindAim {
		g.admitShare = max(gateLeast, g.admitShare*math.Exp(-dt.Seconds()/gateShut.Seconds()))
	} else {
		g.admitShare = min(1, g.admitShare+dt.Seconds()/gateOpen.Seconds())
	}
	g.lateness *= math.Exp(-dt.Seconds() / strainLife.Seconds())
}

func (g *Gateway) onTick() {
	dt := g.now - g.lastTick
	g.lastTick, g.tickCount = g.now, g.tickCount+1
	g.emit(SetTimer{Token: "tick", After: g.tickInterval})
	if g.tickCount%uint32(max(1, time.Second/g.tickInterval)) == 0 {
		g.watchServers()
		g.forget()
	}
	g.recentSends *= math.Exp(-float64(dt) / float64(g.cfg.FailTime)) // none is counted where nothing falls
	g.sumLoads()
	g.adaptAdmission(dt)
	g.recentMessages *= math.Exp(-dt.Seconds() / demandSpan.Seconds())
	for _, s := range g.serverList {
		// What is not tried is not learned: an old judgement wears off.
		s.decay(min(1, dt.Seconds()/slowSpan.Seconds()))
		g.silence(s)
		if slices.Contains(s.watchers[:], g.cfg.Me) {
			g.tell(s)
		}
	}
	g.measureInFlight(dt)
	g.refuseOverdue()
	for _, c := range slices.Clone(g.waiting) {
		if g.cfg.MultiService != nil {
			g.serve()
			break
		}
		n := 1 << 30
		if c.plan.MaxInFlight > 0 {
			out, held := g.peerCounts(c)
			mine := float64(len(c.held))
			part := (float64(c.plan.MaxInFlight) - float64(c.inFlight) - out) * mine / (mine + held)
			n = int(math.Floor(max(part, 0) + g.rng.Float64()))
		}
		g.sendHeld(c, n)
	}
	if g.cfg.CanMessagePeers && (!g.usesRoots || g.tickCount%rootTicks == 0) && g.tickCount%g.reportTicks == 0 && !g.borrows {
		g.report()
	}
}
