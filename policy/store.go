package policy

// Token buckets of customers: quota, hard ceiling, each gateway's share of them, and loans.

import (
	"math"
	"slices"
	"time"
)

// registerCustomer creates a customer. Its counts are summed by all its gateways or, where
// there are many gateways, by its roots, which the other gateways ask.
func (g *Gateway) account(key uint64, plan *planState, firstGateway, gatewayCount int) *customer {
	if gatewayCount = max(1, min(gatewayCount, g.cfg.Gateways)); g.cfg.MultiService != nil {
		gatewayCount = g.cfg.Gateways // gateways may have been added since the request was read
	}
	c := &customer{key: key, hash: shortOf(key), plan: plan, parts: float64(gatewayCount), bucket: plan.Burst,
		fittingShare: 1, leases: map[leaseKey]leaseEntry{}, firstGateway: firstGateway, gatewayCount: gatewayCount, refilledAt: g.now, inFlightAt: g.now,
		createdAt: g.now}
	if g.ceilingParts > 0 {
		c.parts = g.ownOf(float64(g.ceilingParts))
	}
	roots, deputy := g.roots(c)
	if g.borrows {
		g.deal(c)
	} else if slices.Contains(roots, g.cfg.Me) || !g.usesRoots {
		g.addViews(c, roots)
	} else if plan.Rate > 0 || plan.MaxInFlight > 0 {
		c.askRoots = []int{roots[g.cfg.Me%len(roots)], deputy}
	}
	if g.usesRoots { // each gateway has a part of the ceiling, roots and deputy a larger one: the parts add up to it
		ownShare := memberPart / float64(gatewayCount)
		if slices.Contains(roots, g.cfg.Me) {
			ownShare += (1 - memberPart - deputyPart) / float64(len(roots))
		} else if deputy == g.cfg.Me {
			ownShare += deputyPart
		}
		c.parts = 1 / ownShare
	}
	// A restarted root has lost its counts: it must not grant a full bucket again.
	if g.usesRoots && plan.Rate > 0 && (g.now-g.startedAt).Seconds() < plan.Burst/plan.Rate {
		c.bucket *= freshFill
	}
	// This part of the ceiling starts empty, but for HardInitial: after a restart it must not be granted again.
	c.ceiling = min(plan.HardBurst, plan.HardInitial+plan.HardRate*(g.now-g.startedAt).Seconds()) / c.parts
	g.registerCustomer(c)
	return c
}

// advance refills a customer's buckets up to now. A silent peer is assumed to use
// its share of the rate by demand: it may merely be partitioned from this gateway.
func (g *Gateway) advance(c *customer) {
	dt := (g.now - c.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	c.refilledAt = g.now
	silentDemand := 0.0
	for _, view := range c.views {
		if g.silent(view.peer) {
			silentDemand += g.weight(c, view)
		}
	}
	share := 1 - silentDemand/g.demand(c)
	if len(c.askRoots) > 0 && !c.countsForOthers {
		share = 1 / float64(c.gatewayCount) // only the root knows what the other gateways pass
	}
	c.bucket = min(c.plan.Burst, c.bucket+c.plan.Rate*dt*share)
	c.ceiling = max(c.ceiling, min(c.plan.HardBurst/c.parts-c.onLoan, c.ceiling+c.plan.HardRate/c.parts*dt))
	decay := math.Exp(-dt / demandSpan.Seconds())
	c.demand, c.slotDemand = c.demand*decay, c.slotDemand*decay
	for _, view := range c.views {
		view.demand *= decay
	}
	if !c.bucketKnown && c.plan.Rate > 0 && (g.now-g.startedAt).Seconds() > c.plan.Burst/c.plan.Rate {
		c.bucketKnown = true
	}
}

// isSilent reports whether a peer's counts are too old to be used.
func (g *Gateway) silent(p *peer) bool {
	return !p.reported || g.now-p.reportedAt > staleTicks*g.span()
}

// assumedDemand is added to each gateway's demand, in units a second: a new customer's quota is split evenly.
func (g *Gateway) even(c *customer) float64 { return evenRate*c.plan.Rate + evenLeast }

// peerDemand returns a peer's demand, in units a second, for dividing the quota. A silent peer counts as much as this
// gateway, then less, but never zero: it may be partitioned and still pass requests, or be gone.
func (g *Gateway) weight(c *customer, view *peerView) float64 {
	rate := view.demand
	if g.silent(view.peer) {
		fade := math.Exp(-(g.now - max(view.peer.reportedAt, g.startedAt)).Seconds() / forgetAfter.Seconds())
		rate = max(rate, c.demand) * (leastWeight + (1-leastWeight)*fade)
	}
	return rate/demandSpan.Seconds() + g.even(c)
}

// totalDemand returns all gateways' demand, in units a second, including this gateway's.
func (g *Gateway) demand(c *customer) float64 {
	sum := c.demand/demandSpan.Seconds() + g.even(c)
	for _, view := range c.views {
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
	for _, view := range c.views {
		gap := reportDelay
		if !view.peer.complete {
			gap += min(g.now-view.reportedAt, staleTicks*g.span()).Seconds()
		}
		unreported += g.weight(c, view) * gap
	}
	return max(c.bucket*g.share(c), c.bucket-unreported)
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
	fairRate, wanted := c.plan.HardRate/c.parts, 0.0
	if g.cfg.MultiService != nil {
		fairRate *= lendFrom
	}
	for _, view := range c.views {
		view.wantedUnits = 0
		if !g.silent(view.peer) {
			view.wantedUnits = max(0, view.demand/demandSpan.Seconds()-fairRate) * dt.Seconds() * lendMost
		}
		wanted += view.wantedUnits
	}
	spare := c.ceiling - g.cfg.MaxRequestUnits - c.demand/demandSpan.Seconds()*lendAhead.Seconds()
	for _, view := range c.views {
		loan := min(lendScale*30, math.Floor(lendScale*view.wantedUnits*min(1, max(0, spare)/max(wanted, 1e-9))))
		view.lentTotal += byte(loan)
		c.ceiling, c.onLoan = c.ceiling-loan/lendScale, c.onLoan+loan/lendScale
		if loan > 0 {
			c.reportsLeft = max(c.reportsLeft, 1)
		}
	}
}
