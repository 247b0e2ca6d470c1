package policy

// Token buckets of customers: quota, hard ceiling, each gateway's share of them, and loans.

import (
	"math"
	"slices"
	"time"
)

// addCustomer starts a customer's counts. Those who sum them come first: in a
// small fleet all its gateways, in a large one its roots. The others ask.
func (g *Gateway) addCustomer(key uint64, plan *planState, first, spread int) *customer {
	if spread = max(1, min(spread, g.cfg.Gateways)); g.cfg.MultiService != nil {
		spread = g.cfg.Gateways // which may have come while the request was on its way here
	}
	c := &customer{key: key, hash: shortHash(key), plan: plan, parts: float64(spread), bucket: plan.Burst,
		fittingShare: 1, leases: map[leaseKey]leaseEntry{}, firstGateway: first, gatewayCount: spread, refilledAt: g.now,
		inFlightAt: g.now, createdAt: g.now}
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
	if g.usesRoots { // each has a part of the ceiling, those who grant have more: all parts make one whole
		part := dealtCeilingShare / float64(spread)
		if slices.Contains(roots, g.cfg.Me) {
			part += (1 - dealtCeilingShare - deputyCeilingShare) / float64(len(roots))
		} else if deputy == g.cfg.Me {
			part += deputyCeilingShare
		}
		c.parts = 1 / ownShare
	}
	// A restarted root has lost its counts: it must not grant a full bucket again.
	if g.usesRoots && plan.Rate > 0 && (g.now-g.startedAt).Seconds() < plan.Burst/plan.Rate {
		c.bucket *= restartedBucketFill
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
	unheard := 0.0
	for _, v := range c.views {
		if g.isSilent(v.peer) {
			unheard += g.peerDemand(c, v)
		}
	}
	share := 1 - unheard/g.totalDemand(c)
	if len(c.askRoots) > 0 && !c.countsForOthers {
		share = 1 / float64(c.gatewayCount) // only the root knows what the other gateways pass
	}
	c.bucket = min(c.plan.Burst, c.bucket+c.plan.Rate*dt*share)
	c.ceiling = max(c.ceiling, min(c.plan.HardBurst/c.parts-c.onLoan, c.ceiling+c.plan.HardRate/c.parts*dt))
	k := math.Exp(-dt / demandTimeConstant.Seconds())
	c.demand, c.slotDemand = c.demand*k, c.slotDemand*k
	for _, v := range c.views {
		v.demand *= k
	}
	if !c.bucketKnown && c.plan.Rate > 0 && (g.now-g.startedAt).Seconds() > c.plan.Burst/c.plan.Rate {
		c.bucketKnown = true
	}
}

// isSilent tells whether a peer's counts are too old to be used.
func (g *Gateway) isSilent(p *peer) bool {
	return !p.reported || g.now-p.reportedAt > staleAfterReports*g.reportInterval()
}

// assumedDemand is the demand taken for granted: a fresh customer's split is even.
func (g *Gateway) assumedDemand(c *customer) float64 {
	return assumedDemandShare*c.plan.Rate + minAssumedDemand
}

// peerDemand is a peer's demand in the demand split. One not heard for long counts as much as this
// gateway, then less, but never nothing: it may be cut off and passing its part, or dead for good.
func (g *Gateway) peerDemand(c *customer, v *peerView) float64 {
	w := v.demand
	if g.isSilent(v.peer) {
		fade := math.Exp(-(g.now - max(v.peer.reportedAt, g.startedAt)).Seconds() / idleExpiry.Seconds())
		w = max(w, c.demand) * (minSilentWeight + (1-minSilentWeight)*fade)
	}
	return w/demandTimeConstant.Seconds() + g.assumedDemand(c)
}

// totalDemand is all gateways' demand in units a second, this one's included.
func (g *Gateway) totalDemand(c *customer) float64 {
	sum := c.demand/demandTimeConstant.Seconds() + g.assumedDemand(c)
	for _, v := range c.views {
		sum += g.peerDemand(c, v)
	}
	return sum
}

func (g *Gateway) demandShare(c *customer) float64 {
	return (c.demand/demandTimeConstant.Seconds() + g.assumedDemand(c)) / g.totalDemand(c)
}

// allowance returns how many units of the customer's bucket this gateway may pass now: its share by demand, or
// what remains if the peers pass all their expected demand until their next reports arrive, whichever is more.
func (g *Gateway) allowance(c *customer) float64 {
	blind := (g.reportInterval() + reportTransitTime).Seconds()
	unseen := 0.0
	for _, v := range c.views {
		wait := blind
		if !v.peer.complete {
			wait += min(g.now-v.reportedAt, staleAfterReports*g.reportInterval()).Seconds()
		}
		unseen += g.peerDemand(c, v) * wait
	}
	return max(c.bucket*g.demandShare(c), c.bucket-unseen)
}

// lend gives peers what this gateway does not need of its part of the ceiling and they need beyond theirs.
// Loans are deducted here before the peer adds them, a part never exceeds its even share, and units lost
// in transit are not restored: all parts together stay below the ceiling.
func (g *Gateway) lend(c *customer, dt time.Duration) {
	if c.plan.HardRate == 0 || len(c.views) == 0 || g.usesRoots || g.unusedShare >= 1 {
		return
	}
	g.advance(c)
	if c.onLoan *= math.Exp(-dt.Seconds() / loanTransitTime.Seconds()); c.onLoan < 1/lendPartsPerUnit/16 {
		c.onLoan = 0
	}
	fairRate, wanted := c.plan.HardRate/c.parts, 0.0
	if g.cfg.MultiService != nil {
		part *= lendThresholdShare
	}
	for _, v := range c.views {
		v.wantedUnits = 0
		if !g.isSilent(v.peer) {
			v.wantedUnits = max(0, v.demand/demandTimeConstant.Seconds()-part) * dt.Seconds() * maxLoanFactor
		}
		wanted += view.wantedUnits
	}
	spare := c.ceiling - g.cfg.MaxRequestUnits - c.demand/demandTimeConstant.Seconds()*unlentDemandSpan.Seconds()
	for _, v := range c.views {
		n := min(lendPartsPerUnit*30, math.Floor(lendPartsPerUnit*v.wantedUnits*min(1, max(0, spare)/max(want, 1e-9))))
		v.lentTotal += byte(n)
		c.ceiling, c.onLoan = c.ceiling-n/lendPartsPerUnit, c.onLoan+n/lendPartsPerUnit
		if n > 0 {
			c.reportsLeft = max(c.reportsLeft, 1)
		}
	}
}
