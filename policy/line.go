package policy

// Where gateways serve many services: in which order requests that wait get servers. Who waits for
// the servers of one service stands in nobody's way who needs another's.

import (
	"cmp"
	"slices"
)

// late tells whether a request can't be answered within its aim any more, by a server of usual pace.
func (g *Gateway) late(r *request) bool {
	return (g.now-r.arrived+r.spent).Seconds()+r.cl.mean > r.cl.Aim.Seconds()
}

// rank orders those who wait for the same servers: who can still meet the aim, then by the operator's
// ranks, then by arrival.
func (g *Gateway) rank(a, b *request) int {
	if late := g.late(a); late != g.late(b) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.prio, b.prio), cmp.Compare(a.arrived, b.arrived))
}

// first tells whether a request that has just come may be tried ahead of all that wait: none of its
// customer waits for units, and none that goes before it for the same servers.
func (g *Gateway) first(r *request) bool {
	if g.set.Field == nil {
		return len(r.c.held) == 0
	}
	for _, c := range g.waiting {
		for _, o := range c.held {
			same := o.needs == r.needs && o.attempts == 0 && !o.beyond
			if o.beyond && c == r.c || same && g.rank(o, r) <= 0 {
				return false
			}
		}
	}
	return true
}

// serve sends those who wait to servers with room, by rank.
func (g *Gateway) serve() {
	var line []*request
	for _, c := range g.waiting {
		g.advance(c)
		line = append(line, c.held...)
	}
	slices.SortStableFunc(line, g.rank)
	full, short := map[string]bool{}, map[*customer]bool{}
	for _, r := range line {
		needs := r.needs
		if g.late(r) {
			needs += "|late"
		}
		if full[needs] || full[r.needs] || short[r.c] && !r.counted {
			continue
		}
		if r.beyond = !g.within(r); r.beyond {
			short[r.c] = true // its units come to it in arrival order
		} else if !g.room(r.c, false) || !g.try(r) {
			full[needs] = r.attempts == 0
		} else {
			g.unhold(r.c, slices.Index(r.c.held, r))
		}
	}
}
