package policy

// Requests arriving, their places and waiting, release and refusal, the gate, ticks.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (g *Gateway) onRequest(r *request) {
	c := r.c
	c.asked(r, 1)
	// Of a customer far above its quota or cap only the part that fits is asked for: its root could not
	// take in all its asks. Harms for as long as thinSpan when the customer stops asking for more.
	r.asks = min(1, c.part+(g.now-c.partAt).Seconds()/thinSpan.Seconds())
	switch {
	case c.plan.HardRate > 0 && c.ceiling < r.units && g.mayBorrow(r):
		g.borrow(r)
	case r.deadline-g.now <= 2*g.set.Resolution || g.rng.Float64() > g.gate:
		g.refuse(r) // with no time left any wait is too long
	case len(c.ask) == 0:
		g.admit(r)
	case g.rng.Float64() > r.asks:
		g.refuse(r)
	default:
		g.ask(r)
	}
}

// admit lets a request pass, holds it in its customer's queue or refuses it.
func (g *Gateway) admit(r *request) {
	c := r.c
	c.fresh = repeatTicks
	// A client's repeat is often late. It gives way to first tries while requests wait for servers or the
	// store is low. Guards against retry storms; harms where repeats come soon and aims are long.
	scarce := c.plan.Rate > 0 && g.allowance(c) < r.units+retryReserve*c.plan.Burst
	pressed := !r.remote && g.lackAt > 0 && g.now-g.lackAt < pressedFor
	if r.beyond = !g.within(r); r.beyond && !g.waitsForUnits(r) || r.repeat && (scarce || pressed) {
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

// within tells whether quota and ceiling have the request's units.
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

// waitsForUnits tells whether a request beyond its customer's units may wait for them: as many as come in
// while they may wait.
func (g *Gateway) waitsForUnits(r *request) bool {
	if g.set.Field == nil || g.wide || g.demand(r.c) > r.c.plan.Rate {
		return false // where it asks for more than its quota, whoever waits only makes others wait
	}
	hold := holdAim * r.cl.Aim.Seconds()
	return float64(len(r.c.held)) < max(1, r.c.plan.Rate*hold*g.share(r.c))
}

// others sums the attempts out and held that the peers report. A silent
// peer's count gives way to its demand-split part of the cap.
func (g *Gateway) others(c *customer) (out, held float64) {
	for _, v := range c.set {
		if g.silent(v.p) {
			out += float64(c.plan.Open) * g.weight(c, v) / g.demand(c)
			continue
		}
		out += v.out
		held += v.held
	}
	return out, held
}

// room tells whether one more attempt of the customer fits under its cap.
// An arrival stays under its demand-split part, at least one.
func (g *Gateway) room(c *customer, arrival bool) bool {
	if c.plan.Open == 0 {
		return true
	}
	out, _ := g.others(c)
	free := float64(c.plan.Open) - out
	next := float64(c.out + 1)
	if arrival {
		return next <= max(free*g.share(c), min(1, free+arriveSlack))
	}
	return next <= free+freeSlack
}

// try sends the request to a server if one has room for it.
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

// hold puts a request in its customer's queue. What no tick could answer in time is answered now.
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

// stale tells whether a held request can no longer meet its aim. One that came
// in elsewhere is given up there so long after it came, and a grant has a way to
// go: a place granted later is lost until its lease runs out.
func (g *Gateway) stale(r *request) bool {
	return g.now-r.arrived > g.patience(r)
}

// patience is how long a request is held.
func (g *Gateway) patience(r *request) time.Duration {
	limit := time.Duration(holdAim * float64(r.cl.Aim))
	if r.remote {
		limit -= 2 * g.reply
	}
	if g.set.Field != nil {
		limit -= holdEarly // its client counts the way here and back
	}
	return limit
}

// ageAll refuses held requests that are stale, while a retry can still help, and in
// any case before the deadline.
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

// drain sends up to n of a customer's held requests, oldest first. It is false when no server had room.
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

// release lets held requests go at an outcome: the customer's own while its live count and the
// heard means stay under the cap, then others that waited for a server.
func (g *Gateway) release(c *customer) {
	if g.set.Field != nil {
		g.serve()
		return
	}
	if !g.drain(c, 1<<30) || len(g.waiting) == 0 {
		return
	}
	rest := slices.Clone(g.waiting)
	slices.SortStableFunc(rest, func(a, b *customer) int {
		return cmp.Compare(a.held[0].arrived, b.held[0].arrived)
	})
	for _, w := range rest {
		if w != c && !g.drain(w, 1) {
			return
		}
	}
}

// refuse gives the final answer: a refusal where a retry is harmless.
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

// adapt moves the gate by how near latencies come to their aims: a part of the requests is refused. Guards
// against load this gateway is not told of, on all servers: peers unheard, slow fleets. Harms where aims are
// near idle latencies.
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
	g.sendRate *= math.Exp(-float64(dt) / float64(g.set.FallTime)) // none is counted where nothing falls
	g.sumLoads()
	g.adapt(dt)
	g.intake *= math.Exp(-dt.Seconds() / demandSpan.Seconds())
	for _, s := range g.fleet {
		// What is not tried is not learned: an old judgement wears off.
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
			out, held := g.others(c)
			mine := float64(len(c.held))
			part := (float64(c.plan.Open) - float64(c.out) - out) * mine / (mine + held)
			n = int(math.Floor(max(part, 0) + g.rng.Float64()))
		}
		g.drain(c, n)
	}
	if g.set.CanTell && (!g.tree || g.ticks%rootTicks == 0) && g.ticks%g.every == 0 && !g.wide {
		g.report()
	}
}
