package policy

// Token buckets of customers: quota, hard ceiling, each gateway's share of them, and loans.

import (
	"math"
	"slices"
	"time"
)

// addCustomer creates a customer. Its counts are summed by all its gateways or, where
// there are many gateways, by its roots, which the other gateways ask.
func (g *Gateway) account(key uint64, plan *quota, firstGateway, gatewayCount int) *customer {
	if gatewayCount = max(1, min(gatewayCount, g.set.Gateways)); g.set.Field != nil {
		gatewayCount = g.set.Gateways // gateways may have been added since the request was read
	}
	c := &customer{key: key, hash: shortOf(key), plan: plan, n: float64(gatewayCount), store: plan.Burst,
		part: 1, leases: map[lease]leased{}, first: firstGateway, spread: gatewayCount, at: g.now, areaAt: g.now,
		born: g.now}
	if g.parts > 0 {
		c.n = g.ownOf(float64(g.parts))
	}
	roots, deputy := g.roots(c)
	if g.borrows {
		g.deal(c)
	} else if slices.Contains(roots, g.cfg.Me) || !g.usesRoots {
		g.addViews(c, roots)
	} else if plan.Rate > 0 || plan.MaxInFlight > 0 {
		c.askRoots = []int{roots[g.cfg.Me%len(roots)], deputy}
	}
	if g.tree { // each gateway has a part of the ceiling, roots and deputy a larger one: the parts add up to it
		ownShare := memberPart / float64(gatewayCount)
		if slices.Contains(roots, g.set.Me) {
			ownShare += (1 - memberPart - deputyPart) / float64(len(roots))
		} else if deputy == g.set.Me {
			ownShare += deputyPart
		}
		c.n = 1 / ownShare
	}
	// A restarted root has lost its counts: it must not grant a full bucket again.
	if g.tree && plan.Rate > 0 && (g.now-g.start).Seconds() < plan.Burst/plan.Rate {
		c.store *= freshFill
	}
	// This part of the ceiling starts empty, but for HardStart: after a restart it must not be granted again.
	c.ceiling = min(plan.HardBurst, plan.HardStart+plan.HardRate*(g.now-g.start).Seconds()) / c.n
	g.enter(c)
	return c
}

// advance refills a customer's buckets up to now. A silent peer is assumed to use
// its share of the rate by demand: it may merely be partitioned from this gateway.
func (g *Gateway) advance(c *customer) {
	dt := (g.now - c.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	c.at = g.now
	silentDemand := 0.0
	for _, view := range c.set {
		if g.silent(view.p) {
			silentDemand += g.weight(c, view)
		}
	}
	share := 1 - silentDemand/g.demand(c)
	if len(c.ask) > 0 && !c.sums {
		share = 1 / float64(c.spread) // only the root knows what the other gateways pass
	}
	c.store = min(c.plan.Burst, c.store+c.plan.Rate*dt*share)
	c.ceiling = max(c.ceiling, min(c.plan.HardBurst/c.n-c.lent, c.ceiling+c.plan.HardRate/c.n*dt))
	decay := math.Exp(-dt / demandSpan.Seconds())
	c.rate, c.places = c.rate*decay, c.places*decay
	for _, view := range c.set {
		view.rate *= decay
	}
	if !c.bucketKnown && c.plan.Rate > 0 && (g.now-g.startedAt).Seconds() > c.plan.Burst/c.plan.Rate {
		c.bucketKnown = true
	}
}

// isSilent reports whether a peer's counts are too old to be used.
func (g *Gateway) silent(p *peer) bool { return !p.heard || g.now-p.at > staleTicks*g.span() }

// assumedDemand is added to each gateway's demand, in units a second: a new customer's quota is split evenly.
func (g *Gateway) even(c *customer) float64 { return evenRate*c.plan.Rate + evenLeast }

// peerDemand returns a peer's demand, in units a second, for dividing the quota. A silent peer counts as much as this
// gateway, then less, but never zero: it may be partitioned and still pass requests, or be gone.
func (g *Gateway) weight(c *customer, view *peerView) float64 {
	rate := view.rate
	if g.silent(view.p) {
		fade := math.Exp(-(g.now - max(view.p.at, g.start)).Seconds() / forgetAfter.Seconds())
		rate = max(rate, c.rate) * (leastWeight + (1-leastWeight)*fade)
	}
	return rate/demandSpan.Seconds() + g.even(c)
}

// totalDemand returns all gateways' demand, in units a second, including this gateway's.
func (g *Gateway) demand(c *customer) float64 {
	sum := c.rate/demandSpan.Seconds() + g.even(c)
	for _, view := range c.set {
		sum += g.weight(c, view)
	}
	return sum
}

// demandShare returns this gateway's share of the total demand.
func (g *Gateway) share(c *customer) float64 {
	return (c.demand/demandSpan.Seconds() + g.even(c)) / g.demand(c)
}

// allowance returns how many units of the customer's bucket this gateway may pass now: its share by demand, or
// what remains if the peers pass all their expected demand until their next reports arrive, whichever is more.
func (g *Gateway) allowance(c *customer) float64 {
	reportDelay := (g.span() + blindExtra).Seconds()
	unreported := 0.0
	for _, view := range c.set {
		gap := reportDelay
		if !view.p.complete {
			gap += min(g.now-view.at, staleTicks*g.span()).Seconds()
		}
		unreported += g.weight(c, view) * gap
	}
	return max(c.store*g.share(c), c.store-unreported)
}

// lend gives peers what this gateway does not need of its part of the ceiling and they need beyond theirs.
// Loans are deducted here before the peer adds them, a part never exceeds its even share, and units lost
// in transit are not restored: all parts together stay below the ceiling.
func (g *Gateway) lend(c *customer, dt time.Duration) {
	if c.plan.HardRate == 0 || len(c.views) == 0 || g.usesRoots || g.unusedShare >= 1 {
		return
	}
	g.advance(c)
	if c.onLoan *= math.Exp(-dt.Seconds() / lendSpan.Seconds()); c.onLoan < 1/lendScale/16 {
		c.onLoan = 0
	}
	fairRate, wanted := c.plan.HardRate/c.n, 0.0
	if g.set.Field != nil {
		fairRate *= lendFrom
	}
	for _, view := range c.set {
		view.want = 0
		if !g.silent(view.p) {
			view.want = max(0, view.rate/demandSpan.Seconds()-fairRate) * dt.Seconds() * lendMost
		}
		wanted += view.want
	}
	spare := c.ceiling - g.set.LargestUnits - c.rate/demandSpan.Seconds()*lendAhead.Seconds()
	for _, view := range c.set {
		loan := min(lendScale*30, math.Floor(lendScale*view.want*min(1, max(0, spare)/max(wanted, 1e-9))))
		view.gave += byte(loan)
		c.ceiling, c.lent = c.ceiling-loan/lendScale, c.lent+loan/lendScale
		if loan > 0 {
			c.fresh = max(c.fresh, 1)
		}
	}
}
