package policy

// Who of the gateways does what for the others: no request's server, repeat or refusal is decided here.

import "math"

// roots are the gateways that sum a customer's counts: as few as can take in what its gateways ask
// of them, all where reports go from all to all. The deputy steps in for a root that is silent.
func (g *Gateway) roots(c *customer) (nums []int, deputy int) {
	k := c.spread
	if g.tree {
		asks := rootPeak * c.plan.Rate * 2 / (1 + g.set.LargestUnits)
		k = min(max(1, int(math.Ceil(asks/max(1, g.set.MailPerSecond*rootMail)))), c.spread)
	}
	base, step := int(c.key>>33)%c.spread, max(1, c.spread/(k+1))
	for i := range k + 1 {
		deputy = (c.first + (base+i*step)%c.spread) % g.set.Gateways
		if i < k {
			nums = append(nums, deputy)
		}
	}
	return nums, deputy
}

// watchers names the gateways that judge a server: in a small fleet each judges for itself.
func (g *Gateway) watchers(h uint32) [2]int {
	if !g.tree {
		return [2]int{g.set.Me, g.set.Me}
	}
	n := uint32(g.set.Gateways)
	return [2]int{int(h % n), int((h + 1) % n)}
}
