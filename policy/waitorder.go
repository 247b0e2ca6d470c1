package policy

// The order in which waiting requests get servers: those for one service do not block those for another.

import (
	"cmp"
	"slices"
)

// willMissTarget reports whether even an idle server of average speed would answer after the latency target.
func (g *Gateway) willMissTarget(r *request) bool {
	return (g.now-r.arrivedAt+r.waitedBefore).Seconds()+r.class.mean > r.class.LatencyTarget.Seconds()
}

// compareWaiting orders requests that wait for the same servers: first those that can still meet their
// latency target, then by the operator's priority, then by arrival.
func (g *Gateway) compareWaiting(a, b *request) int {
	if late := g.willMissTarget(a); late != g.willMissTarget(b) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivedAt, b.arrivedAt))
}

// mayBypassQueue reports whether a new request may be sent before all waiting ones: no request of its
// customer waits for units, and none that precedes it waits for the same servers.
func (g *Gateway) mayBypassQueue(r *request) bool {
	if g.cfg.MultiService == nil {
		return len(r.customer.held) == 0
	}
	for _, c := range g.waiting {
		for _, other := range c.held {
			sameServers := other.serverGroup == r.serverGroup && other.attempts == 0 && !other.overQuota
			if other.overQuota && c == r.customer || sameServers && g.compareWaiting(other, r) <= 0 {
				return false
			}
		}
	}
	return true
}

// serveWaiting sends waiting requests to servers with room, in the order of compareWaiting.
func (g *Gateway) serveWaiting() {
	var waiting []*request
	for _, c := range g.waiting {
		g.advance(c)
		waiting = append(waiting, c.held...)
	}
	slices.SortStableFunc(waiting, g.compareWaiting)
	fullServers, outOfUnits := map[string]bool{}, map[*customer]bool{}
	for _, r := range waiting {
		serverKey := r.serverGroup
		if g.willMissTarget(r) {
			serverKey += "|late"
		}
		if fullServers[serverKey] || fullServers[r.serverGroup] || outOfUnits[r.customer] && !r.unitsTaken {
			continue
		}
		if r.overQuota = !g.hasUnits(r); r.overQuota {
			outOfUnits[r.customer] = true // a customer's requests get units in arrival order
		} else if !g.underCap(r.customer, false) || !g.trySend(r) {
			fullServers[serverKey] = r.attempts == 0
		} else {
			g.dequeue(r.customer, slices.Index(r.customer.held, r))
		}
	}
}
