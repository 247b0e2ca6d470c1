package policy

// Changes of classes, plans and the set of gateways while a gateway runs.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// onConfigUpdate applies changed classes and plans. Learned figures of existing ones are kept.
func (g *Gateway) onConfigUpdate(ev ConfigUpdate) {
	for _, p := range ev.Plans {
		if state := g.plans[p.Name]; state != nil {
			state.Plan = p
		} else {
			g.plans[p.Name] = &planState{Plan: p, index: byte(len(g.cfg.Plans))}
			g.cfg.Plans = append(g.cfg.Plans, p)
		}
	}
	for _, cl := range ev.Classes {
		if c := g.classes[cl.Name]; c != nil {
			c.Class = cl
			continue
		}
		g.classes[cl.Name] = &class{Class: cl, index: len(g.cfg.Classes),
			mean: cl.LatencyTarget.Seconds() / initialLatencyDivisor}
		g.cfg.Classes = append(g.cfg.Classes, cl)
		g.minTarget = min(g.minTarget, cl.LatencyTarget.Seconds())
	}
	for _, c := range g.customerList {
		g.capCeiling(c, c.plan.HardBurst/c.parts)
	}
}

// capCeiling limits a customer's ceiling here to maxUnits, unless this gateway has given up its part: the units left
// then belong to held requests.
func (g *Gateway) capCeiling(c *customer, maxUnits float64) {
	if g.unusedShare < 1 {
		c.ceiling = min(c.ceiling, maxUnits)
	}
}

// onGatewaySet applies a change of the set of gateways.
func (g *Gateway) onGatewaySet(ev GatewaySet) {
	g.cfg.Me, g.cfg.Gateways = ev.Me, max(1, ev.Gateways, ev.Me+1)
	g.gatewayRegions = ev.Regions
	g.ceilingParts, g.unusedShare, g.noColdSends = ev.CeilingParts, ev.UnusedShare,
		ev.NoColdSends || ev.UnusedShare > 0
	g.regions = slices.Compact(slices.Sorted(slices.Values(ev.Regions)))
	g.regions = slices.DeleteFunc(g.regions, func(r string) bool { return r == "" })
	g.borrows = g.cfg.MultiService != nil && max(g.cfg.Gateways, g.ceilingParts) > borrowBeyondGateways &&
		len(g.regions) > 0
	for len(g.peers) < g.cfg.Gateways {
		g.peers = append(g.peers, nil)
	}
	g.createAllPeers()
	for _, p := range g.peers {
		if g.isNotPeer(p) {
			p.views = nil
		}
	}
	for _, c := range g.customerList {
		g.updateGatewayCount(c)
	}
	for _, s := range g.serverList {
		s.watchers, s.coldSendQuota = [2]int{ev.Me, ev.Me}, g.coldSendBudget(s.Server)
	}
}

// planForKey finds a customer's plan by the customer's key, where each customer has its own plan.
func (g *Gateway) planForKey(key uint64) *planState {
	for name, plan := range g.plans {
		if keyOf(name) == key {
			return plan
		}
	}
	return nil
}

// updateGatewayCount adjusts a customer's ceiling and peers to a changed number of gateways.
func (g *Gateway) updateGatewayCount(c *customer) {
	c.gatewayCount, c.parts = g.cfg.Gateways, g.ceilingDivisor(float64(g.ceilingPartCount()))
	if g.borrows {
		g.assignCeilingPart(c)
		c.views = nil
		g.capCeiling(c, max(1, c.plan.HardBurst/c.parts))
		return
	}
	g.capCeiling(c, c.plan.HardBurst/c.parts)
	c.views = slices.DeleteFunc(c.views, func(v *peerView) bool { return g.isNotPeer(v.peer) })
	var missing []int
	for i := range g.cfg.Gateways {
		if p := g.peerAt(i); !g.isNotPeer(p) && c.viewOf(p) == nil {
			missing = append(missing, i)
		}
	}
	g.addViews(c, missing)
}

// ceilingDivisor returns the number by which ceilings are divided for this gateway's part: n, or more if this gateway
// leaves a share of its part unused.
func (g *Gateway) ceilingDivisor(n float64) float64 { return n / max(minCeilingShare, 1-g.unusedShare) }

// onRelinquish offers other gateways the ceiling units held here, but for those that held requests need.
func (g *Gateway) onRelinquish() {
	g.unusedShare, g.noColdSends = 1, true
	clear(g.retryBudgets)
	for _, c := range g.customerList {
		if g.advance(c); c.plan.HardRate > 0 {
			units := max(0, math.Floor(c.ceiling-float64(len(c.held))*g.cfg.MaxRequestUnits))
			c.ceiling -= units
			if recipients := g.unitRecipients(c); units > 0 && len(recipients) > 0 {
				g.emit(OfferUnits{Customer: c.key, Units: uint16(min(units, math.MaxUint16)), Candidates: recipients})
			}
		}
		c.parts = g.ceilingDivisor(float64(g.ceilingPartCount()))
	}
	for _, s := range g.serverList {
		s.coldSendQuota = 0
	}
}

// unitRecipients returns the gateways that may take over a customer's units: in this region, by rendezvous hashing as
// for owners.
func (g *Gateway) unitRecipients(c *customer) (list []int) {
	for i, r := range g.gatewayRegions {
		if i != g.cfg.Me && g.cfg.Me < len(g.gatewayRegions) && r == g.gatewayRegions[g.cfg.Me] {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b int) int {
		return cmp.Compare(hashFraction(c.hash, uint32(b)), hashFraction(c.hash, uint32(a)))
	})
	return list[:min(len(list), maxRecipients)]
}

// lenders returns the gateways to borrow from when a request lacks units here though its customer as a whole has some,
// where reports go from all to all: this region's gateways first, then those with the least demand.
func (g *Gateway) lenders(r *request) (list []int) {
	refusedRecently := r.customer.noLenderAt > 0 && g.now-r.customer.noLenderAt < borrowPause
	if g.cfg.MultiService == nil || g.unusedShare >= 1 || refusedRecently || g.allowance(r.customer) < r.units {
		return nil
	}
	distance := func(v *peerView) int {
		if v.peer.index < len(g.gatewayRegions) && g.gatewayRegions[v.peer.index] == g.gatewayRegions[g.cfg.Me] {
			return 0
		}
		return 1
	}
	slices.SortFunc(r.customer.views, func(a, b *peerView) int {
		return cmp.Or(distance(a)-distance(b), cmp.Compare(a.demand, b.demand))
	})
	for _, v := range r.customer.views {
		if !g.isSilent(v.peer) && len(list) < maxLenders {
			list = append(list, v.peer.index)
		}
	}
	return list
}

// pastLoanDeadline reports whether a request has waited too long to ask another lender.
func (g *Gateway) pastLoanDeadline(r *request) bool { return g.now-r.arrivedAt > g.maxHold(r)/2 }

const (
	maxRecipients = 3 // gateways offered relinquished units
	maxLenders    = 4 // gateways asked for the units of a request
)

// onUnitsReceived adds relinquished units to this gateway's part, as far as there is room: all parts together stay
// within the ceiling.
func (g *Gateway) onUnitsReceived(ev UnitsReceived) {
	c := g.customers[ev.Customer]
	if c == nil {
		plan := g.planForKey(ev.Customer)
		if plan == nil {
			return
		}
		c = g.addCustomer(ev.Customer, plan, 0, g.cfg.Gateways)
	}
	g.advance(c)
	c.lastRequestAt = g.now
	c.ceiling = max(c.ceiling, min(c.plan.HardBurst/c.parts-c.onLoan, c.ceiling+float64(ev.Units)))
}

// isNotPeer reports whether a number no longer belongs to a peer: it is this gateway's, or unused.
func (g *Gateway) isNotPeer(p *peer) bool {
	return p.index == g.cfg.Me || p.index >= g.cfg.Gateways ||
		len(g.gatewayRegions) > p.index && g.gatewayRegions[p.index] == ""
}

// ceilingPartCount returns the number of parts into which ceilings are divided.
func (g *Gateway) ceilingPartCount() int {
	if g.ceilingParts > 0 {
		return g.ceilingParts
	}
	return g.cfg.Gateways
}

// New returns a gateway without any state, or an error if the settings are invalid. The seed
// determines its random choices: equal settings, seeds and events give equal actions.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	g := newGateway(s, seed)
	g.minTarget = math.Inf(1)
	for _, c := range g.classes {
		c.mean = c.LatencyTarget.Seconds() / initialLatencyDivisor
		g.meanLatency, g.minTarget = max(g.meanLatency, c.mean), min(g.minTarget, c.LatencyTarget.Seconds())
	}
	messageRate := max(s.MessagesPerSecond*reportIntakeShare, 1)
	g.tickInterval = time.Duration(float64(max(s.Gateways-1, 1)) / messageRate * float64(time.Second))
	g.ownOutcomeWeight, g.admitShare, g.answeredShare = learningRate, 1, 1
	g.nextTag, g.meanReplyTime = g.rng.Uint32(), minReplyWait
	if g.usesRoots = g.tickInterval > useRootsTickFactor*maxTick && s.CanMessagePeers && s.MultiService == nil; g.usesRoots {
		g.ownOutcomeWeight = 0 // the watchers' verdicts rest on more outcomes than this gateway sees
	} else {
		g.createAllPeers()
	}
	g.tickInterval = max(min(max(g.tickInterval, minTick), maxTick), s.Resolution)
	g.applyMultiService()
	return g, nil
}

// applyMultiService shortens the tick for gateways that serve many services; not every tick sends reports.
func (g *Gateway) applyMultiService() {
	if f := g.cfg.MultiService; f != nil {
		g.reportTicks, g.tickInterval = uint32(max(1, f.ReportInterval/multiServiceTick)), multiServiceTick
	}
}
