package policy

// Which gateways act for others: the roots that sum a customer's counts and the watchers that assess a server.

import "math"

// roots returns the gateways that sum a customer's counts: as few as can receive the asks of its gateways, or
// all its gateways where each reports to each. The deputy replaces a root that does not answer.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	count := c.gatewayCount
	if g.usesRoots {
		peakAsks := rootAskPeakFactor * c.plan.Rate * 2 / (1 + g.cfg.MaxRequestUnits)
		count = min(max(1, int(math.Ceil(peakAsks/max(1, g.cfg.MessagesPerSecond*rootIntakeShare)))), c.gatewayCount)
	}
	base, step := int(c.key>>33)%c.gatewayCount, max(1, c.gatewayCount/(count+1))
	for i := range count + 1 {
		deputy = (c.firstGateway + (base+i*step)%c.gatewayCount) % g.cfg.Gateways
		if i < count {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// watchersOf returns the gateways that assess the health of a server, by its hash. In a small fleet each
// gateway assesses every server itself.
func (g *Gateway) watchersOf(h uint32) [2]int {
	if !g.usesRoots {
		return [2]int{g.cfg.Me, g.cfg.Me}
	}
	n := uint32(g.cfg.Gateways)
	return [2]int{int(h % n), int((h + 1) % n)}
}
