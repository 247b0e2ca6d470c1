package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setRegions sends all gateways the current set of gateways: the region of each number, "" if it is unused.
func (m *serviceGateways) spread(regions []string) {
	usedNumbers := 0
	for _, r := range regions {
		if r != "" {
			usedNumbers++
		}
	}
	for i, g := range m.gs {
		if g != nil {
			m.do(i, GatewaySet{Me: i, Gateways: len(regions), CeilingParts: usedNumbers, Regions: regions})
		}
	}
}

func twoRegions(n int) (l []string) {
	for i := range n {
		l = append(l, []string{"r", "s"}[i%2])
	}
	return l
}

// passedShare sends a tenant's requests to all gateways evenly, and returns the share that passes.
func (m *serviceGateways) demand(perSecond float64, d time.Duration) float64 {
	return m.demandAt(1, perSecond, d)
}

// passedShareAt is like passedShare, but sends to every n-th gateway only, where n is every.
func (m *serviceGateways) demandAt(every int, perSecond float64, d time.Duration) float64 {
	asked, sentBefore, due := 0, len(m.sends), 0.0
	m.pass(d, func() {
		for i, g := range m.gs {
			if g != nil {
				m.do(i, Timer{Token: "ask"})
			}
		}
		for due += perSecond / 100; due >= 1; due-- {
			i := m.rnd.IntN(len(m.gs)) / every * every
			if m.gs[i] == nil {
				continue
			}
			asked++
			m.ask(i, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
		}
	})
	return float64(len(m.sends)-sentBefore) / float64(asked)
}

// Forty gateways serve a tenant with a limit of forty requests a second, too few to divide: nearly all requests within
// the limit pass, even with an owner down, and an overload stays below the limit while messages are lost and owners
// restart.
func TestSmallQuotaOverManyGateways(t *testing.T) {
	for seed := range uint64(4) {
		m := newServiceGateways(40, seed, fieldServers(3, "a"), limited(40, 40))
		m.spread(twoRegions(40))
		m.demand(25, 3*time.Second)
		passed := m.demand(25, 10*time.Second)
		assert.Assert(t, passed > 0.97, "seed %d: %.3f passed", seed, passed)

		owner := m.gs[0].customers[keyOf("t")].owners[0]
		m.gs[owner] = nil
		m.demand(25, time.Second)
		passed = m.demand(25, 10*time.Second)
		assert.Assert(t, passed > 0.9, "seed %d: %.3f passed without an owner", seed, passed)

		m.lost = 0.3
		m.start(owner, 0)
		m.demand(400, 4*time.Second)
		m.spread(twoRegions(40))
		m.demand(400, 10*time.Second)
		n := m.most(5*time.Second, func(sending) bool { return true })
		assert.Assert(t, float64(n) <= (40*5+40)*1.1+20, "seed %d: %d in 5 s", seed, n)
	}
}

// Gateways of one region also borrow from the owners in the other region.
func TestOtherRegionsOwnersLend(t *testing.T) {
	m := newServiceGateways(40, 5, fieldServers(3, "a"), limited(40, 40))
	m.spread(twoRegions(40))
	m.demandAt(2, 32, 5*time.Second)
	passed := m.demandAt(2, 32, 10*time.Second)
	assert.Assert(t, passed > 0.95, "%.3f passed", passed)
}

// Departed gateways no longer hold a part of the ceiling: requests within the limit pass at the remaining ones.
func TestPartsOfThoseWhoLeft(t *testing.T) {
	m := newServiceGateways(9, 1, fieldServers(3, "a"), limited(100, 100))
	regions := twoRegions(9)
	m.spread(regions)
	m.demand(70, 4*time.Second)
	for _, i := range []int{0, 3, 4, 6} {
		m.gs[i], regions[i] = nil, ""
	}
	m.spread(regions)
	m.demand(90*9/5, 4*time.Second) // some of it is sent to departed gateways
	passed := m.demand(90*9/5, 10*time.Second)
	assert.Assert(t, passed > 0.97, "%.3f passed", passed)
	m.demand(1000, 10*time.Second)
	n := m.most(5*time.Second, func(sending) bool { return true })
	assert.Assert(t, float64(n) <= (100*5+100)*1.1+20, "%d in 5 s", n)
}

// The set of gateways may shrink for a moment, for instance after all were killed: pending loan requests are then dropped.
func TestFewerWhileOwnersAreAsked(t *testing.T) {
	m := newServiceGateways(30, 1, fieldServers(3, "a"), limited(40, 40))
	m.spread(twoRegions(30))
	m.lost = 1
	for i := range m.gs {
		m.ask(i, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
	}
	for i := range m.gs {
		m.do(i, GatewaySet{Me: i, Gateways: i + 1, CeilingParts: 2, Regions: twoRegions(i + 1)})
	}
	passed := m.demand(4, 2*time.Second)
	assert.Assert(t, passed > 0, "nothing passes")
	for i, g := range m.gs {
		assert.Equal(t, len(g.pendingAsks), 0, "gateway %d", i)
	}
}

// heldRequests returns how many requests wait at all gateways.
func (m *serviceGateways) heldNow() (n int) {
	for _, g := range m.gs {
		for _, c := range g.customerList {
			n += len(c.held)
		}
	}
	return n
}

// Requests of a tenant that exceeds its quota are sent or refused at once: if some waited for units, later ones would
// only wait in turn. Requests of a tenant below its quota may wait for units.
func TestNobodyWaitsBeyondTheQuota(t *testing.T) {
	m := newServiceGateways(2, 1, fieldServers(3, "a"), limited(40, 40))
	m.demand(400, 4*time.Second)
	for range 100 {
		m.demand(400, 20*ms)
		assert.Equal(t, m.heldNow(), 0)
	}

	m = newServiceGateways(1, 1, fieldServers(3, "a"), limited(40, 40)) // there is no gateway to borrow from
	m.demand(20, 4*time.Second)
	for _, c := range m.gs[0].customerList {
		c.ceiling = 0
	}
	sentBefore := len(m.sends)
	m.ask(0, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
	assert.Equal(t, m.heldNow(), 1)
	m.pass(120*ms, nil)
	assert.Equal(t, len(m.sends)-sentBefore, 1)
}

// When a gateway's part of a tenant's rate is used up and another's is not, its requests use borrowed units: none is
// refused, and all gateways together stay within the limit.
func TestPartsUsedUpAreBorrowed(t *testing.T) {
	for _, n := range []int{2, 4} {
		m := newServiceGateways(n, 1, fieldServers(3, "a"), limited(4, 40))
		m.spread(twoRegions(n))
		m.demand(3, 30*time.Second) // refills all parts
		m.sends = nil
		for range 10 {
			m.gs[0].customerList[0].ceiling = 0
			m.ask(0, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
			m.pass(300*ms, nil)
		}
		assert.Equal(t, len(m.sends), 10, "of %d gateways", n)
		m.demandAt(n, 100, 10*time.Second)
		most := m.most(5*time.Second, func(sending) bool { return true })
		assert.Assert(t, float64(most) <= (4*5+40)*1.1+20, "%d in 5 s", most)
	}
}

// Restarted gateways have some ceiling units at once (HardInitial), for requests that piled up during the restart.
func TestStartHasRoom(t *testing.T) {
	plan := limited(100, 100)
	plan.HardInitial = 40
	m := newServiceGateways(4, 1, fieldServers(3, "a"), plan)
	m.demand(60, 4*time.Second)
	for i := range m.gs {
		m.start(i, 0)
	}
	before := len(m.sends)
	m.demand(400, 200*ms)
	n := len(m.sends) - before
	assert.Assert(t, n >= 35 && n <= 75, "%d passed in 0.2 s", n)
}
