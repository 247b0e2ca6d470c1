package policy

// Borrowing, where gateways are too many to report to all: if a customer's ceiling is too small to divide,
// a few owners near each gateway hold it, and the other gateways borrow units for each request.

import (
	"cmp"
	"math"
	"slices"
)

// assignCeilingPart finds a customer's owners and sets this gateway's part of the ceiling. All parts add up
// to the ceiling even if messages are lost: an owner deducts what it lends before the borrower receives it.
func (g *Gateway) assignCeilingPart(c *customer) {
	owners, isOwner := 0, false
	c.owners = nil // owners of this gateway's region come first
	for _, region := range g.regions {
		var regionOwners []int
		for i, r := range g.gatewayRegions {
			if r == region {
				regionOwners = append(regionOwners, i)
			}
		}
		slices.SortFunc(regionOwners, func(a, b int) int {
			return cmp.Compare(hashFraction(c.hash, uint32(b)), hashFraction(c.hash, uint32(a)))
		})
		regionOwners = regionOwners[:min(len(regionOwners), ownersPerRegion)]
		owners, isOwner = owners+len(regionOwners), isOwner || slices.Contains(regionOwners, g.cfg.Me)
		if g.cfg.Me < len(g.gatewayRegions) && region == g.gatewayRegions[g.cfg.Me] {
			regionOwners, c.owners = append(regionOwners, c.owners...), nil
		}
		c.owners = append(c.owners, regionOwners...)
	}
	dealtShare := dealtCeilingShare
	if c.plan.HardBurst*dealtShare/float64(g.ceilingPartCount()) < minDealtUnits {
		dealtShare = 0
	}
	ownShare := dealtShare / float64(g.ceilingPartCount())
	if isOwner {
		ownShare += (1 - dealtShare) / float64(owners)
	}
	c.parts = g.ceilingDivisor(1 / max(ownShare, minCeilingShare))
}

// mayBorrow reports whether there is a gateway to borrow from for a request whose customer lacks units here.
func (g *Gateway) mayBorrow(r *request) bool {
	if !g.borrows {
		r.customer.owners = g.lenders(r)
	}
	return len(r.customer.owners) > 0
}

// borrow asks the possible lenders for a request's units, one after the other.
func (g *Gateway) borrow(r *request) {
	for delete(g.pendingAsks, r.tag); r.askCount < len(r.customer.owners); {
		to := r.customer.owners[r.askCount]
		r.askCount++
		p := g.peerAt(to)
		if to == g.cfg.Me || p.missed >= rootAsks && g.now-p.missedAt < peerPause ||
			!g.borrows && g.pastLoanDeadline(r) {
			continue
		}
		g.nextTag++
		r.tag, r.root, r.askedAt, r.askUntil = g.nextTag, to, g.now, g.now+loanTimeout
		g.pendingAsks[r.tag], g.askTimeouts = r, append(g.askTimeouts, r)
		g.emit(SendPeer{To: to, Data: encode(loanRequest{r.customer.key, r.tag, uint16(math.Ceil(r.units))})})
		g.emit(SetTimer{Token: "ask", After: loanTimeout})
		return
	}
	if r.overQuota = g.borrows; r.overQuota {
		g.refuse(r)
	} else {
		r.customer.noLenderAt = g.now
		g.admit(r)
	}
}

// onLoanRequest lends a peer the units it asks for, if this gateway has them.
func (g *Gateway) onLoanRequest(from int, m loanRequest) {
	c := g.customers[m.Customer]
	if c == nil {
		plan := g.planForKey(m.Customer)
		if plan == nil {
			return // its configuration has not arrived yet; the peer asks another gateway after a timeout
		}
		c = g.addCustomer(m.Customer, plan, 0, g.cfg.Gateways)
	}
	g.advance(c)
	c.lastRequestAt = g.now
	reply := loanReply{m.Customer, m.Tag, 0}
	if units := float64(m.Units); c.ceiling >= units && g.unusedShare < 1 {
		c.ceiling -= units
		if !g.borrows {
			c.onLoan += units // not refilled before the loan arrives
		}
		reply.Units = m.Units
	}
	g.emit(SendPeer{To: from, Data: encode(reply)})
}

// onLoanTimeout records that a lender did not answer, and asks the next.
func (g *Gateway) onLoanTimeout(r *request) {
	p := g.peerAt(r.root)
	p.missed, p.missedAt = p.missed+1, g.now
	g.borrow(r)
}
