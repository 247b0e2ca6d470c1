package policy

// Which gateways act for others: the roots that sum a customer's counts and the watchers that assess a server.

import "math"

// roots returns the gateways that sum a customer's counts: as few as can receive the asks of its gateways, or
// all its gateways where each reports to each. The deputy replaces a root that does not answer.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	count := c.spread
	if g.tree {
		peakAsks := rootPeak * c.plan.Rate * 2 / (1 + g.set.LargestUnits)
		count = min(max(1, int(math.Ceil(peakAsks/max(1, g.set.MailPerSecond*rootMail)))), c.spread)
	}
	base, step := int(c.key>>33)%c.spread, max(1, c.spread/(count+1))
	for i := range count + 1 {
		deputy = (c.first + (base+i*step)%c.spread) % g.set.Gateways
		if i < count {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// watchersOf returns the gateways that assess the health of a server, by its hash. In a small fleet each
// gateway assesses every server itself.
func (g *Gateway) watchers(h uint32) [2]int {
	if !g.tree {
		return [2]int{g.set.Me, g.set.Me}
	}
	n := uint32(g.set.Gateways)
	return [2]int{int(h % n), int((h + 1) % n)}
}
