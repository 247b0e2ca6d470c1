package policy

// Token buckets of customers: quota, hard ceiling, each gateway's share of them, and loans.

import (
	"math"
	"slices"
	"time"
)

// registerCustomer creates a customer. Its counts are summed by all its gateways or, where
// there are many gateways, by its roots, which the other gateways ask.
func (g *Gateway) addCustomer(key uint64, plan *planState, firstGateway, gatewayCount int) *customer {
	if gatewayCount = max(1, min(gatewayCount, g.cfg.Gateways)); g.cfg.MultiService != nil {
		gatewayCount = g.cfg.Gateways // gateways may have been added since the request was read
	}
	c := &customer{key: key, hash: shortHash(key), plan: plan, parts: float64(gatewayCount),
		bucket: plan.Burst, fittingShare: 1, leases: map[leaseKey]leaseEntry{}, firstGateway: firstGateway,
		gatewayCount: gatewayCount, refilledAt: g.now, inFlightAt: g.now, createdAt: g.now}
	if g.ceilingParts > 0 {
		c.parts = g.ceilingDivisor(float64(g.ceilingParts))
	}
	roots, deputy := g.roots(c)
	if g.borrows {
		g.assignCeilingPart(c)
	} else if slices.Contains(roots, g.cfg.Me) || !g.usesRoots {
		g.addViews(c, roots)
	} else if plan.Rate > 0 || plan.MaxInFlight > 0 {
		c.askRoots = []int{roots[g.cfg.Me%len(roots)], deputy}
	}
	if g.usesRoots { // roots and deputy have larger parts of the ceiling than others; the parts add up to it
		ownShare := dealtCeilingShare / float64(gatewayCount)
		if slices.Contains(roots, g.cfg.Me) {
			ownShare += (1 - dealtCeilingShare - deputyCeilingShare) / float64(len(roots))
		} else if deputy == g.cfg.Me {
			ownShare += deputyCeilingShare
		}
		c.parts = 1 / ownShare
	}
	// A restarted root has lost its counts: it must not grant a full bucket again.
	if g.usesRoots && plan.Rate > 0 && (g.now-g.startedAt).Seconds() < plan.Burst/plan.Rate {
		c.bucket *= restartedBucketFill
	}
	// This part starts empty, but for HardInitial: after a restart it must not be granted a second time.
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
		if g.isSilent(view.peer) {
			silentDemand += g.peerDemand(c, view)
		}
	}
	share := 1 - silentDemand/g.totalDemand(c)
	if len(c.askRoots) > 0 && !c.countsForOthers {
		share = 1 / float64(c.gatewayCount) // only the root knows what the other gateways pass
	}
	c.bucket = min(c.plan.Burst, c.bucket+c.plan.Rate*dt*share)
	c.ceiling = max(c.ceiling, min(c.plan.HardBurst/c.parts-c.onLoan, c.ceiling+c.plan.HardRate/c.parts*dt))
	decay := math.Exp(-dt / demandDecay.Seconds())
	c.demand, c.slotDemand = c.demand*decay, c.slotDemand*decay
	for _, view := range c.views {
		view.demand *= decay
	}
	if !c.bucketKnown && c.plan.Rate > 0 && (g.now-g.startedAt).Seconds() > c.plan.Burst/c.plan.Rate {
		c.bucketKnown = true
	}
}

// isSilent reports whether a peer's counts are too old to be used.
func (g *Gateway) isSilent(p *peer) bool {
	return !p.reported || g.now-p.reportedAt > staleAfterReports*g.reportInterval()
}

// assumedDemand is added to each gateway's demand, in units a second: a new customer's quota is split evenly.
func (g *Gateway) assumedDemand(c *customer) float64 {
	return assumedDemandShare*c.plan.Rate + minAssumedDemand
}

// peerDemand returns a peer's demand in units a second, to divide the quota by. A silent peer counts as much
// as this gateway, then less, but never zero: it may be partitioned and still pass requests, or be gone.
func (g *Gateway) peerDemand(c *customer, view *peerView) float64 {
	rate := view.demand
	if g.isSilent(view.peer) {
		fade := math.Exp(-(g.now - max(view.peer.reportedAt, g.startedAt)).Seconds() / idleExpiry.Seconds())
		rate = max(rate, c.demand) * (minSilentWeight + (1-minSilentWeight)*fade)
	}
	return rate/demandDecay.Seconds() + g.assumedDemand(c)
}

// totalDemand returns all gateways' demand, in units a second, including this gateway's.
func (g *Gateway) totalDemand(c *customer) float64 {
	sum := c.demand/demandDecay.Seconds() + g.assumedDemand(c)
	for _, view := range c.views {
		sum += g.peerDemand(c, view)
	}
	return sum
}

// demandShare returns this gateway's share of the total demand.
func (g *Gateway) demandShare(c *customer) float64 {
	return (c.demand/demandDecay.Seconds() + g.assumedDemand(c)) / g.totalDemand(c)
}

// allowance returns how many of the bucket's units this gateway may pass now: its share by demand, or what is
// left if the peers pass all their expected demand until their next reports arrive, whichever is more.
func (g *Gateway) allowance(c *customer) float64 {
	reportDelay := (g.reportInterval() + reportTransitTime).Seconds()
	unreported := 0.0
	for _, view := range c.views {
		gap := reportDelay
		if !view.peer.complete {
			gap += min(g.now-view.reportedAt, staleAfterReports*g.reportInterval()).Seconds()
		}
		unreported += g.peerDemand(c, view) * gap
	}
	return max(c.bucket*g.demandShare(c), c.bucket-unreported)
}

// lend gives peers what they need beyond their part of the ceiling and this gateway does not need of its own.
// The parts' sum stays below the ceiling: loans are deducted here before they are added there, lost ones
// are not restored, and no part exceeds an even share.
func (g *Gateway) lend(c *customer, dt time.Duration) {
	if c.plan.HardRate == 0 || len(c.views) == 0 || g.usesRoots || g.unusedShare >= 1 {
		return
	}
	g.advance(c)
	if c.onLoan *= math.Exp(-dt.Seconds() / loanTransitTime.Seconds()); c.onLoan < 1/loanScale/16 {
		c.onLoan = 0
	}
	fairRate, wanted := c.plan.HardRate/c.parts, 0.0
	if g.cfg.MultiService != nil {
		fairRate *= lendThresholdShare
	}
	for _, view := range c.views {
		view.wantedUnits = 0
		if !g.isSilent(view.peer) {
			view.wantedUnits = max(0, view.demand/demandDecay.Seconds()-fairRate) * dt.Seconds() * maxLoan
		}
		wanted += view.wantedUnits
	}
	spare := c.ceiling - g.cfg.MaxRequestUnits - c.demand/demandDecay.Seconds()*unlentDemandSpan.Seconds()
	for _, v := range c.views {
		loan := min(loanScale*30, math.Floor(loanScale*v.wantedUnits*min(1, max(0, spare)/max(wanted, 1e-9))))
		v.lentTotal += byte(loan)
		c.ceiling, c.onLoan = c.ceiling-loan/loanScale, c.onLoan+loan/loanScale
		if loan > 0 {
			c.reportsLeft = max(c.reportsLeft, 1)
		}
	}
}
