package policy

// Creation of a gateway's tables, and removal of expired entries.

import (
	"math/rand/v2"
	"slices"
)

// dropExpired drops servers that have been removed for some time, and customers whose
// state equals that of a new customer.
func (g *Gateway) dropExpired() {
	g.serverList = slices.DeleteFunc(g.serverList, func(s *server) bool {
		if s.State != Removed || s.inFlight > 0 || g.now-s.removedAt < idleExpiry {
			return false
		}
		delete(g.servers, s.ID)
		return true
	})
	g.customerList = slices.DeleteFunc(g.customerList, func(c *customer) bool {
		if !g.canExpire(c) {
			return false
		}
		delete(g.customers, c.key)
		for _, v := range c.views {
			v.peer.views = slices.DeleteFunc(v.peer.views, func(o *peerView) bool { return o == v })
		}
		g.removeHash(c)
		return true
	})
}

// canExpire reports whether a customer's state equals that of a new one: its quota and ceiling are
// full again, no gateway has requests in flight or held, and nothing is left to report.
func (g *Gateway) canExpire(c *customer) bool {
	if c.inFlight > 0 || len(c.held) > 0 || len(c.leases) > 0 || c.hasNews() || c.inFlightSeconds > 0 ||
		g.now-c.lastRequestAt < idleExpiry {
		return false
	}
	for _, v := range c.views {
		if v.inFlight > 0 || v.held > 0 || v.reported && g.now-v.reportedAt < idleExpiry {
			return false
		}
	}
	g.advance(c)
	return (c.plan.Rate == 0 || c.bucket >= c.plan.Burst) &&
		(c.plan.HardRate == 0 || c.ceiling >= c.plan.HardBurst/c.parts)
}

// removeHash removes a customer from the table of short hashes. If exactly one other customer
// has the same hash, the entry becomes that customer's.
func (g *Gateway) removeHash(c *customer) {
	if g.customersByHash[c.hash] == c {
		delete(g.customersByHash, c.hash)
		return
	}
	delete(g.customersByHash, c.hash)
	var other *customer
	count := 0
	for _, candidate := range g.customers {
		if candidate.hash == c.hash {
			other, count = candidate, count+1
		}
	}
	switch {
	case count == 1:
		g.customersByHash[c.hash] = other
	case count > 1:
		g.customersByHash[c.hash] = nil
	}
}

// newGateway returns a gateway with empty tables.
func newGateway(s Settings, seed uint64) *Gateway {
	g := &Gateway{cfg: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, plans: map[string]*planState{}, customers: map[uint64]*customer{},
		pendingAsks: map[uint32]*request{}, customersByHash: map[uint32]*customer{},
		retryBudgets: map[string]float64{}, requests: map[RequestID]*request{}, servers: map[ServerID]*server{}}
	g.incarnation, g.reportTicks = g.rng.Uint32(), 1
	for i, p := range s.Plans {
		g.plans[p.Name] = &planState{Plan: p, index: byte(i)}
	}
	for i, c := range s.Classes {
		g.classes[c.Name] = &class{Class: c, index: i}
	}
	g.peers = make([]*peer, s.Gateways)
	return g
}

// createAllPeers creates the entries of all peers.
func (g *Gateway) createAllPeers() {
	for i := range g.peers {
		g.peerAt(i)
	}
}
