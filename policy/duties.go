package policy

// Who of the gateways does what for the others: no request's server, repeat or refusal is decided here.

import "math"

// roots are the gateways that sum a customer's counts: as few as can take in what its gateways ask
// of them, all where reports go from all to all. The deputy steps in for a root that is silent.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	k := c.gatewayCount
	if g.usesRoots {
		asks := rootPeak * c.plan.Rate * 2 / (1 + g.cfg.MaxRequestUnits)
		k = min(max(1, int(math.Ceil(asks/max(1, g.cfg.MessagesPerSecond*rootMail)))), c.gatewayCount)
	}
	base, step := int(c.key>>33)%c.gatewayCount, max(1, c.gatewayCount/(k+1))
	for i := range k + 1 {
		deputy = (c.firstGateway + (base+i*step)%c.gatewayCount) % g.cfg.Gateways
		if i < k {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// watchersOf names the gateways that judge a server: in a small fleet each judges for itself.
func (g *Gateway) watchersOf(h uint32) [2]int {
	if !g.usesRoots {
		return [2]int{g.cfg.Me, g.cfg.Me}
	}
	n := uint32(g.cfg.Gateways)
	return [2]int{int(h % n), int((h + 1) % n)}
}
