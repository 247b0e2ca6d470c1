package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// handleRequest handles a new request of a client.
func (g *Gateway) handleRequest(r *request) {
	c := r.customer
	c.addDemand(r, 1)
	// A customer far above its quota or cap would flood its root with asks: only the share that fits is asked
	// for. If the customer's demand falls, too many requests are refused for up to askShareSpan.
	r.askChance = min(1, c.fittingShare+(g.now-c.fittingShareAt).Seconds()/askShareSpan.Seconds())
	switch {
	case c.plan.HardRate > 0 && c.ceiling < r.units && g.mayBorrow(r):
		g.borrow(r)
	case r.deadline-g.now <= 2*g.cfg.Resolution || g.rng.Float64() > g.admitShare:
		g.refuse(r) // too little time is left for any wait
	case len(c.askRoots) == 0:
		g.admit(r)
	case g.rng.Float64() > r.askChance:
		g.refuse(r)
	default:
		g.askRoot(r)
	}
}

// admit sends a request, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.customer
	c.reportsLeft = reportsPerChange
	// Retries are often late: they yield to first tries while requests wait for servers or the bucket is low.
	// This prevents retry storms. It does harm where retries come soon and latency targets are long.
	bucketLow := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst
	serversBusy := !r.remote && g.noServerAt > 0 && g.now-g.noServerAt < serverShortageSpan
	if r.overQuota = !g.hasUnits(r); r.overQuota && !g.mayWait(r) || r.isRetry && (bucketLow || serversBusy) {
		g.refuse(r)
		return
	}
	if g.mayBypassQueue(r) && !r.overQuota && g.underCap(c, true) && g.trySend(r) {
		return
	}
	g.hold(r)
	if r.remote && !r.done {
		g.replyToAsk(r, heldAtRoot)
	}
}

// hasUnits reports whether the quota and the ceiling have the request's units.
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

// mayWait reports whether a request may wait for units. Limit: what refills in the hold time, at least 1.
func (g *Gateway) mayWait(r *request) bool {
	if g.cfg.MultiService == nil || g.borrows || g.totalDemand(r.customer) > r.customer.plan.Rate {
		return false // demand exceeds the quota: waiting would only delay later requests
	}
	holdSeconds := holdShare * r.class.LatencyTarget.Seconds()
	return float64(len(r.customer.held)) < max(1, r.customer.plan.Rate*holdSeconds*g.demandShare(r.customer))
}

// peerCounts sums what peers have in flight and held; a silent peer counts as its part of the cap by demand.
func (g *Gateway) peerCounts(c *customer) (inFlight, held float64) {
	for _, v := range c.views {
		if g.isSilent(v.peer) {
			inFlight += float64(c.plan.MaxInFlight) * g.peerDemand(c, v) / g.totalDemand(c)
			continue
		}
		inFlight += v.inFlight
		held += v.held
	}
	return inFlight, held
}

// underCap reports whether one more attempt fits the cap. Arrivals get this gateway's part by demand, or one.
func (g *Gateway) underCap(c *customer, arrival bool) bool {
	if c.plan.MaxInFlight == 0 {
		return true
	}
	others, _ := g.peerCounts(c)
	free := float64(c.plan.MaxInFlight) - others
	next := float64(c.inFlight + 1)
	if arrival {
		return next <= max(free*g.demandShare(c), min(1, free+arrivalSlack))
	}
	return next <= free+releaseSlack
}

// trySend sends the request to a server, or grants it if another gateway asked; false: no server has room.
func (g *Gateway) trySend(r *request) bool {
	if r.remote {
		g.grant(r)
		return true
	}
	s := g.pickServer(r)
	if s == nil && r.cancelled && r.lastServer != nil {
		r.lastServer = nil // the server that was left is better than none
		s = g.pickServer(r)
	}
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
	c.reportsLeft = reportsPerChange
	g.startAttempt(r, s)
	if g.minCapacity(s) < 1 || g.now < s.ColdUntil {
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

// heldTooLong reports whether a held request can no longer meet its latency target. A gateway that asked for
// it gives it up then: a later grant would arrive too late and take a place until its lease expires.
func (g *Gateway) heldTooLong(r *request) bool {
	return g.now-r.arrivedAt > g.maxHold(r)
}

// maxHold returns how long a request may be held: until its deadline, if its attempt was cancelled in favour
// of another one and any server may still get it.
func (g *Gateway) maxHold(r *request) time.Duration {
	mayGetIt := func(s *server) bool { return s.State == Running && s.canServe(r) && r.mayGoTo(s) }
	if r.movedFrom != nil && slices.ContainsFunc(g.serverList, mayGetIt) {
		return r.deadline - r.arrivedAt
	}
	limit := time.Duration(holdShare * float64(r.class.LatencyTarget))
	if r.remote {
		limit -= 2 * g.meanReplyTime
	}
	if g.cfg.MultiService != nil {
		limit -= holdMargin // its client counts the network time too
	}
	return limit
}

// refuseOverdue refuses requests held too long, while a retry can still help and before their deadline.
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

// sendHeld sends up to n of a customer's held requests, oldest first. It returns false if no server had room.
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

// releaseHeld sends held requests after an attempt ended: the customer's own, then others', oldest first.
func (g *Gateway) releaseHeld(c *customer) {
	if g.cfg.MultiService != nil {
		g.serveWaiting()
		return
	}
	if !g.sendHeld(c, math.MaxInt) || len(g.waiting) == 0 {
		return
	}
	others := slices.Clone(g.waiting)
	slices.SortStableFunc(others, func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrivedAt, b.held[0].arrivedAt)
	})
	for _, w := range others {
		if w != c && !g.sendHeld(w, 1) {
			return
		}
	}
}

// refuse gives the final answer: Refuse if a retry is harmless, else Fail.
func (g *Gateway) refuse(r *request) {
	if r.remote {
		g.replyToAsk(r, refused)
	} else if r.mayHaveRun && r.effect != Safe && !(r.effect == Keyed && r.class.DedupScope == DedupAll) {
		g.emit(Fail{ID: r.id})
	} else {
		g.emit(Refuse{ID: r.id, RetryAfter: g.retryAfter(r), OverQuota: r.overQuota})
	}
	g.finish(r)
}

// adaptAdmission lowers the share of requests admitted while latencies are near their targets: an overload
// may show in no report (silent peers, slow servers). It does harm where targets are near idle latencies.
func (g *Gateway) adaptAdmission(dt time.Duration) {
	if g.cfg.MultiService == nil && g.lateness > maxLateness ||
		g.usesRoots && g.lateness > maxRootsLateness {
		g.admitShare = max(minAdmission, g.admitShare*math.Exp(-dt.Seconds()/admissionCutTime.Seconds()))
	} else {
		g.admitShare = min(1, g.admitShare+dt.Seconds()/admissionRecoveryTime.Seconds())
	}
	g.lateness *= math.Exp(-dt.Seconds() / latenessDecayTime.Seconds())
}

// releasable returns how many of a customer's held requests this gateway may send now: its part, by what is
// held, of the room under the cap.
func (g *Gateway) releasable(c *customer) int {
	if c.plan.MaxInFlight == 0 {
		return math.MaxInt
	}
	others, held := g.peerCounts(c)
	ownHeld := float64(len(c.held))
	room := (float64(c.plan.MaxInFlight) - float64(c.inFlight) - others) * ownHeld / (ownHeld + held)
	return int(math.Floor(max(room, 0) + g.rng.Float64()))
}
