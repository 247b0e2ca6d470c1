package policy

// The order in which waiting requests get servers, where gateways serve many services. Requests that wait
// for the servers of one service do not block those that need another's.

import (
	"cmp"
	"slices"
)

// willMissTarget tells whether a request can't be answered within its aim any more, by a server of usual pace.
func (g *Gateway) willMissTarget(r *request) bool {
	return (g.now-r.arrivedAt+r.waitedBefore).Seconds()+r.class.mean > r.class.LatencyTarget.Seconds()
}

// compareWaiting orders those who wait for the same servers: who can still meet the aim, then by the operator's
// ranks, then by arrival.
func (g *Gateway) compareWaiting(a, b *request) int {
	if late := g.willMissTarget(a); late != g.willMissTarget(b) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivedAt, b.arrivedAt))
}

// mayBypassQueue tells whether a request that has just come may be tried ahead of all that wait: none of its
// customer waits for units, and none that goes before it for the same servers.
func (g *Gateway) mayBypassQueue(r *request) bool {
	if g.cfg.MultiService == nil {
		return len(r.customer.held) == 0
	}
	for _, c := range g.waiting {
		for _, o := range c.held {
			same := o.serverGroup == r.serverGroup && o.attempts == 0 && !o.overQuota
			if o.overQuota && c == r.customer || same && g.compareWaiting(o, r) <= 0 {
				return false
			}
		}
	}
	return true
}

// serveWaiting sends those who wait to servers with room, by rank.
func (g *Gateway) serveWaiting() {
	var line []*request
	for _, c := range g.waiting {
		g.advance(c)
		waiting = append(waiting, c.held...)
	}
	slices.SortStableFunc(line, g.compareWaiting)
	full, short := map[string]bool{}, map[*customer]bool{}
	for _, r := range line {
		needs := r.serverGroup
		if g.willMissTarget(r) {
			needs += "|late"
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
