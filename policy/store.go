package policy

// The rate companion: customers' stores, ceilings and shares, what is lent of them.

import (
	"math"
	"slices"
	"time"
)

// account starts a customer's counts. Those who sum them come first: in a
// small fleet all its gateways, in a large one its roots. The others ask.
func (g *Gateway) account(key uint64, plan *quota, first, spread int) *customer {
	if spread = max(1, min(spread, g.set.Gateways)); g.set.Field != nil {
		spread = g.set.Gateways // which may have come while the request was on its way here
	}
	c := &customer{key: key, hash: shortOf(key), plan: plan, n: float64(spread), store: plan.Burst,
		part: 1, leases: map[lease]leased{}, first: first, spread: spread, at: g.now,
		areaAt: g.now, born: g.now}
	if g.parts > 0 {
		c.n = g.ownOf(float64(g.parts))
	}
	roots, deputy := g.roots(c)
	if g.wide {
		g.deal(c)
	} else if slices.Contains(roots, g.set.Me) || !g.tree {
		g.views(c, roots)
	} else if plan.Rate > 0 || plan.Open > 0 {
		c.ask = []int{roots[g.set.Me%len(roots)], deputy}
	}
	if g.tree { // each has a part of the ceiling, those who grant have more: all parts make one whole
		part := memberPart / float64(spread)
		if slices.Contains(roots, g.set.Me) {
			part += (1 - memberPart - deputyPart) / float64(len(roots))
		} else if deputy == g.set.Me {
			part += deputyPart
		}
		c.n = 1 / part
	}
	// A restarted root knows nothing: it must not grant a whole store again.
	if g.tree && plan.Rate > 0 && (g.now-g.start).Seconds() < plan.Burst/plan.Rate {
		c.store *= freshFill
	}
	// The ceiling's own part starts empty at the gateway's start: after a
	// restart it must not be granted a second time.
	c.ceiling = min(plan.HardBurst, plan.HardStart+plan.HardRate*(g.now-g.start).Seconds()) / c.n
	g.enter(c)
	return c
}

// advance brings a customer's stores up to now. A peer long silent is taken
// to use its demand-split part of the rate: it may only be cut off.
func (g *Gateway) advance(c *customer) {
	dt := (g.now - c.at).Seconds()
	if dt <= 0 {
		return
	}
	c.at = g.now
	unheard := 0.0
	for _, v := range c.set {
		if g.silent(v.p) {
			unheard += g.weight(c, v)
		}
	}
	share := 1 - unheard/g.demand(c)
	if len(c.ask) > 0 && !c.sums {
		share = 1 / float64(c.spread) // what others pass is the root's to know
	}
	c.store = min(c.plan.Burst, c.store+c.plan.Rate*dt*share)
	c.ceiling = max(c.ceiling, min(c.plan.HardBurst/c.n-c.lent, c.ceiling+c.plan.HardRate/c.n*dt))
	k := math.Exp(-dt / demandSpan.Seconds())
	c.rate, c.places = c.rate*k, c.places*k
	for _, v := range c.set {
		v.rate *= k
	}
	if !c.known && c.plan.Rate > 0 && (g.now-g.start).Seconds() > c.plan.Burst/c.plan.Rate {
		c.known = true
	}
}

// silent tells whether a peer's counts are too old to be used.
func (g *Gateway) silent(p *peer) bool { return !p.heard || g.now-p.at > staleTicks*g.span() }

// even is the demand taken for granted: a fresh customer's split is even.
func (g *Gateway) even(c *customer) float64 { return evenRate*c.plan.Rate + evenLeast }

// weight is a peer's demand in the demand split. One not heard for long counts as much as this
// gateway, then less, but never nothing: it may be cut off and passing its part, or dead for good.
func (g *Gateway) weight(c *customer, v *peerView) float64 {
	w := v.rate
	if g.silent(v.p) {
		fade := math.Exp(-(g.now - max(v.p.at, g.start)).Seconds() / forgetAfter.Seconds())
		w = max(w, c.rate) * (leastWeight + (1-leastWeight)*fade)
	}
	return w/demandSpan.Seconds() + g.even(c)
}

// demand is all gateways' demand in units a second, this one's included.
func (g *Gateway) demand(c *customer) float64 {
	sum := c.rate/demandSpan.Seconds() + g.even(c)
	for _, v := range c.set {
		sum += g.weight(c, v)
	}
	return sum
}

func (g *Gateway) share(c *customer) float64 {
	return (c.rate/demandSpan.Seconds() + g.even(c)) / g.demand(c)
}

// allowance is what this gateway may pass of the customer's store now: its demand-split part, or what is left
// once the peers have passed all they may be asked for before they are heard again, whichever is more.
func (g *Gateway) allowance(c *customer) float64 {
	blind := (g.span() + blindExtra).Seconds()
	unseen := 0.0
	for _, v := range c.set {
		wait := blind
		if !v.p.complete {
			wait += min(g.now-v.at, staleTicks*g.span()).Seconds()
		}
		unseen += g.weight(c, v) * wait
	}
	return max(c.store*g.share(c), c.store-unseen)
}

// lend gives peers of the ceiling's part here what this gateway does not need and they ask for
// beyond their own. What is lent is off here before it is on there, a part never holds more than
// its even share, and what is lost on the way is lost: all parts together stay under the ceiling.
func (g *Gateway) lend(c *customer, dt time.Duration) {
	if c.plan.HardRate == 0 || len(c.set) == 0 || g.tree || g.less >= 1 {
		return
	}
	g.advance(c)
	if c.lent *= math.Exp(-dt.Seconds() / lendSpan.Seconds()); c.lent < 1/lendScale/16 {
		c.lent = 0
	}
	part, want := c.plan.HardRate/c.n, 0.0
	if g.set.Field != nil {
		part *= lendFrom
	}
	for _, v := range c.set {
		v.want = 0
		if !g.silent(v.p) {
			v.want = max(0, v.rate/demandSpan.Seconds()-part) * dt.Seconds() * lendMost
		}
		want += v.want
	}
	spare := c.ceiling - g.set.LargestUnits - c.rate/demandSpan.Seconds()*lendAhead.Seconds()
	for _, v := range c.set {
		n := min(lendScale*30, math.Floor(lendScale*v.want*min(1, max(0, spare)/max(want, 1e-9))))
		v.gave += byte(n)
		c.ceiling, c.lent = c.ceiling-n/lendScale, c.lent+n/lendScale
		if n > 0 {
			c.fresh = max(c.fresh, 1)
		}
	}
}
