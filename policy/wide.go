package policy

// Where reports from all to all would be too many: few owners near each gateway hold what of a
// customer's ceiling is too little to be dealt out, and the others borrow it, a request at a time.

import (
	"cmp"
	"math"
	"slices"
)

// deal finds a customer's owners and sets its part of the ceiling here. All parts together make one
// whole, whoever is heard: an owner takes off what it lends before the borrower has it.
func (g *Gateway) deal(c *customer) {
	all, mine := 0, false
	c.near = nil // those of the own region first
	for _, region := range g.regions {
		var list []int
		for i, r := range g.regionOf {
			if r == region {
				list = append(list, i)
			}
		}
		slices.SortFunc(list, func(a, b int) int {
			return cmp.Compare(mixed(c.hash, uint32(b)), mixed(c.hash, uint32(a)))
		})
		list = list[:min(len(list), ownersEach)]
		all, mine = all+len(list), mine || slices.Contains(list, g.set.Me)
		if g.set.Me < len(g.regionOf) && region == g.regionOf[g.set.Me] {
			list, c.near = append(list, c.near...), nil
		}
		c.near = append(c.near, list...)
	}
	dealt := memberPart
	if c.plan.HardBurst*dealt/float64(g.shares()) < leastDealt {
		dealt = 0
	}
	part := dealt / float64(g.shares())
	if mine {
		part += (1 - dealt) / float64(all)
	}
	c.n = g.ownOf(1 / max(part, leastPart))
}

// mayBorrow tells whether there is somebody to ask for the units that a request's customer lacks here.
func (g *Gateway) mayBorrow(r *request) bool {
	if !g.wide {
		r.c.near = g.lenders(r)
	}
	return len(r.c.near) > 0
}

// borrow asks the customer's owners for a request's units, one after the other.
func (g *Gateway) borrow(r *request) {
	for delete(g.asks, r.tag); r.asked < len(r.c.near); {
		to := r.c.near[r.asked]
		r.asked++
		p := g.peer(to)
		if to == g.set.Me || p.missed >= rootAsks && g.now-p.missedAt < rootRest || !g.wide && g.tired(r) {
			continue
		}
		g.nextTag++
		r.tag, r.root, r.askedAt, r.until = g.nextTag, to, g.now, g.now+borrowWait
		g.asks[r.tag], g.asking = r, append(g.asking, r)
		g.do(Tell{To: to, Data: encode(want{r.c.key, r.tag, uint16(math.Ceil(r.units))})})
		g.do(SetTimer{Token: "ask", After: borrowWait})
		return
	}
	if r.beyond = g.wide; r.beyond {
		g.refuse(r)
	} else {
		r.c.dryAt = g.now
		g.admit(r)
	}
}

// onWant lends what a peer asks for, if it is here.
func (g *Gateway) onWant(from int, m want) {
	c := g.customers[m.Customer]
	if c == nil {
		plan := g.planOf(m.Customer)
		if plan == nil {
			return // its configuration is not here yet; the asker goes on to another
		}
		c = g.account(m.Customer, plan, 0, g.set.Gateways)
	}
	g.advance(c)
	c.seen = g.now
	answer := lent{m.Customer, m.Tag, 0}
	if units := float64(m.Units); c.ceiling >= units && g.less < 1 {
		c.ceiling -= units
		if !g.wide {
			c.lent += units // not filled again before it has arrived
		}
		answer.Units = m.Units
	}
	g.do(Tell{To: from, Data: encode(answer)})
}

// unanswered notes that an owner did not answer, and asks another.
func (g *Gateway) unanswered(r *request) {
	p := g.peer(r.root)
	p.missed, p.missedAt = p.missed+1, g.now
	g.borrow(r)
}
