package policy

// Arrival, admission, holding, release and refusal of requests, and the periodic tick.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// handleRequest handles a new request of a client.
func (g *Gateway) onRequest(r *request) {
	c := r.c
	c.asked(r, 1)
	// A customer far above its quota or cap would flood its root with asks: only the share that fits is asked
	// for. If the customer's demand falls, too many requests are refused for up to thinSpan.
	r.asks = min(1, c.part+(g.now-c.partAt).Seconds()/thinSpan.Seconds())
	switch {
	case c.plan.HardRate > 0 && c.ceiling < r.units && g.mayBorrow(r):
		g.borrow(r)
	case r.deadline-g.now <= 2*g.set.Resolution || g.rng.Float64() > g.gate:
		g.refuse(r) // too little time is left for any wait
	case len(c.ask) == 0:
		g.admit(r)
	case g.rng.Float64() > r.asks:
		g.refuse(r)
	default:
		g.ask(r)
	}
}

// admit sends a request, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.c
	c.fresh = repeatTicks
	// Retries are often late: they yield to first tries while requests wait for servers or the bucket is low.
	// This prevents retry storms. It does harm where retries come soon and latency targets are long.
	bucketLow := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst
	serversBusy := !r.remote && g.lackAt > 0 && g.now-g.lackAt < pressedFor
	if r.beyond = !g.within(r); r.beyond && !g.waitsForUnits(r) ||
		r.repeat && (bucketLow || serversBusy) {
		g.refuse(r)
		return
	}
	if g.first(r) && !r.beyond && g.room(c, true) && g.try(r) {
		return
	}
	g.hold(r)
	if r.remote && !r.over {
		g.answer(r, waits)
	}
}

// hasUnits reports whether the quota and the ceiling have the request's units.
func (g *Gateway) within(r *request) bool {
	c := r.c
	if r.counted {
		return true
	}
	if c.plan.Rate > 0 && !r.granted && !g.wide && g.allowance(c) < r.units {
		return false
	}
	return c.plan.HardRate == 0 || !r.charged() || c.ceiling >= r.units
}

// mayAwaitUnits reports whether a request may wait for its customer's units: no more than refill in time.
func (g *Gateway) waitsForUnits(r *request) bool {
	if g.set.Field == nil || g.wide || g.demand(r.c) > r.c.plan.Rate {
		return false // demand exceeds the quota: waiting would only delay later requests
	}
	holdSeconds := holdAim * r.cl.Aim.Seconds()
	return float64(len(r.c.held)) < max(1, r.c.plan.Rate*holdSeconds*g.share(r.c))
}

// peerCounts sums what peers have in flight and held; a silent peer counts as its part of the cap by demand.
func (g *Gateway) others(c *customer) (inFlight, held float64) {
	for _, v := range c.set {
		if g.silent(v.p) {
			inFlight += float64(c.plan.Open) * g.weight(c, v) / g.demand(c)
			continue
		}
		inFlight += v.out
		held += v.held
	}
	return inFlight, held
}

// underCap reports whether one more attempt of the customer fits under its cap on attempts in flight. A new
// request is limited to this gateway's part of the free room by demand, at least one place.
func (g *Gateway) room(c *customer, arrival bool) bool {
	if c.plan.Open == 0 {
		return true
	}
	others, _ := g.others(c)
	free := float64(c.plan.Open) - others
	next := float64(c.out + 1)
	if arrival {
		return next <= max(free*g.share(c), min(1, free+arriveSlack))
	}
	return next <= free+freeSlack
}

// trySend sends the request to a server, or grants it if another gateway asked; false: no server has room.
func (g *Gateway) try(r *request) bool {
	if r.remote {
		g.grant(r)
		return true
	}
	s := g.pick(r)
	if s == nil {
		g.lackAt = g.now
		return false
	}
	c := r.c
	if !r.counted {
		r.counted = true
		c.take(r, g.now)
		g.earn(r.service)
	}
	c.fresh = repeatTicks
	g.sent(r, s)
	if g.coldness(s) < 1 || g.now < s.ColdUntil {
		s.sends = append(s.sends, g.now)
	} else {
		g.sendRate++
	}
	var timeout time.Duration
	if !g.set.CanCancel && r.effect == Safe && !r.cl.Stream {
		timeout = max(r.cl.Aim*3/5, r.deadline-g.now-r.cl.Aim)
	}
	g.do(Send{ID: r.id, Server: s.ID, Timeout: timeout})
	return true
}

// hold queues a request; one whose deadline comes before any tick can answer it is refused at once.
func (g *Gateway) hold(r *request) {
	if g.now+g.tick+2*g.set.Resolution >= r.deadline {
		g.refuse(r)
		return
	}
	g.queue(r)
	if g.set.Field != nil {
		g.do(SetTimer{Token: "age", After: max(0, r.arrived+g.patience(r)-g.now) + g.set.Resolution})
	}
}

// heldTooLong reports whether a held request can no longer meet its latency target. A gateway that asked for
// it gives it up then: a later grant would arrive too late and take a place until its lease expires.
func (g *Gateway) stale(r *request) bool {
	return g.now-r.arrived > g.patience(r)
}

// maxHold returns how long a request may be held.
func (g *Gateway) patience(r *request) time.Duration {
	limit := time.Duration(holdAim * float64(r.cl.Aim))
	if r.remote {
		limit -= 2 * g.reply
	}
	if g.set.Field != nil {
		limit -= holdEarly // its client counts the network time too
	}
	return limit
}

// refuseOverdue refuses requests held too long, while a retry can still help and before their deadline.
func (g *Gateway) ageAll() {
	for _, c := range slices.Clone(g.waiting) {
		g.advance(c)
		for _, r := range slices.Clone(c.held) {
			if g.stale(r) || g.now+2*g.tick >= r.deadline {
				g.refuse(r)
			}
		}
	}
}

// sendHeld sends up to n of a customer's held requests, oldest first. It returns false if no server had room.
func (g *Gateway) drain(c *customer, n int) bool {
	for ; n > 0 && len(c.held) > 0; n-- {
		r := c.held[0]
		g.advance(c)
		if r.beyond = !g.within(r); r.beyond || r.remote && g.stale(r) {
			g.refuse(r)
			continue
		}
		if !g.room(c, false) {
			return true
		}
		if !g.try(r) {
			return false
		}
		g.unhold(c, 0)
	}
	return true
}

// releaseHeld sends held requests after an attempt ended: the customer's own while they stay under its cap,
// then those of other customers that wait for a server, the longest wait first.
func (g *Gateway) release(c *customer) {
	if g.set.Field != nil {
		g.serve()
		return
	}
	if !g.drain(c, 1<<30) || len(g.waiting) == 0 {
		return
	}
	others := slices.Clone(g.waiting)
	slices.SortStableFunc(others, func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrived, b.held[0].arrived)
	})
	for _, w := range others {
		if w != c && !g.drain(w, 1) {
			return
		}
	}
}

// refuse gives the final answer: Refuse if a retry is harmless, else Fail.
func (g *Gateway) refuse(r *request) {
	if r.remote {
		g.answer(r, refused)
	} else if r.ran && r.effect != Safe && !(r.effect == Keyed && r.cl.Group == GroupAll) {
		g.do(Fail{ID: r.id})
	} else {
		g.do(Refuse{ID: r.id, RetryAfter: g.advice(r), Over: r.beyond})
	}
	g.close(r)
}

// adaptAdmission lowers the share of requests admitted while latencies are near their targets: an overload
// may show in no report (silent peers, slow servers). It does harm where targets are near idle latencies.
func (g *Gateway) adapt(dt time.Duration) {
	if g.set.Field == nil && g.strain > gateAim || g.tree && g.strain > blindAim {
		g.gate = max(gateLeast, g.gate*math.Exp(-dt.Seconds()/gateShut.Seconds()))
	} else {
		g.gate = min(1, g.gate+dt.Seconds()/gateOpen.Seconds())
	}
	g.strain *= math.Exp(-dt.Seconds() / strainLife.Seconds())
}

func (g *Gateway) onTick() {
	dt := g.now - g.lastTick
	g.lastTick, g.ticks = g.now, g.ticks+1
	g.do(SetTimer{Token: "tick", After: g.tick})
	if g.ticks%uint32(max(1, time.Second/g.tick)) == 0 {
		g.watch()
		g.forget()
	}
	g.sendRate *= math.Exp(-float64(dt) / float64(g.set.FallTime)) // unused with MultiService (FailTime 0)
	g.sumLoads()
	g.adapt(dt)
	g.intake *= math.Exp(-dt.Seconds() / demandSpan.Seconds())
	for _, s := range g.fleet {
		// A server that gets no requests yields no new data: old measurements decay.
		s.wear(min(1, dt.Seconds()/slowSpan.Seconds()))
		g.silence(s)
		if slices.Contains(s.watchers[:], g.set.Me) {
			g.tell(s)
		}
	}
	g.measure(dt)
	g.ageAll()
	for _, c := range slices.Clone(g.waiting) {
		if g.set.Field != nil {
			g.serve()
			break
		}
		n := 1 << 30
		if c.plan.Open > 0 {
			others, held := g.others(c)
			ownHeld := float64(len(c.held))
			room := (float64(c.plan.Open) - float64(c.out) - others) * ownHeld / (ownHeld + held)
			n = int(math.Floor(max(room, 0) + g.rng.Float64()))
		}
		g.drain(c, n)
	}
	if g.set.CanTell && (!g.tree || g.ticks%rootTicks == 0) &&
		g.ticks%g.every == 0 && !g.wide {
		g.report()
	}
}
