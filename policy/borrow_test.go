package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setRegions sends all gateways the current set of gateways: the region of each number, "" if it is unused.
func (m *serviceGateways) setRegions(regions []string) {
	usedNumbers := 0
	for _, r := range regions {
		if r != "" {
			usedNumbers++
		}
	}
	for i, g := range m.gateways {
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
func (m *serviceGateways) passedShare(perSecond float64, d time.Duration) float64 {
	return m.passedShareAt(1, perSecond, d)
}

// passedShareAt is like passedShare, but sends to every n-th gateway only, where n is every.
func (m *serviceGateways) passedShareAt(every int, perSecond float64, d time.Duration) float64 {
	asked, sentBefore, due := 0, len(m.sends), 0.0
	m.pass(d, func() {
		for i, g := range m.gateways {
			if g != nil {
				m.do(i, Timer{Token: "ask"})
			}
		}
		for due += perSecond / 100; due >= 1; due-- {
			i := m.rng.IntN(len(m.gateways)) / every * every
			if m.gateways[i] == nil {
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
		m := newServiceGateways(40, seed, makeServers(3, "a"), limitedPlan(40, 40))
		m.setRegions(twoRegions(40))
		m.passedShare(25, 3*time.Second)
		passed := m.passedShare(25, 10*time.Second)
		assert.Assert(t, passed > 0.97, "seed %d: %.3f passed", seed, passed)

		owner := m.gateways[0].customers[keyOf("t")].owners[0]
		m.gateways[owner] = nil
		m.passedShare(25, time.Second)
		passed = m.passedShare(25, 10*time.Second)
		assert.Assert(t, passed > 0.9, "seed %d: %.3f passed without an owner", seed, passed)

		m.lossRate = 0.3
		m.start(owner, 0)
		m.passedShare(400, 4*time.Second)
		m.setRegions(twoRegions(40))
		m.passedShare(400, 10*time.Second)
		n := m.maxSendsIn(5*time.Second, func(sentAttempt) bool { return true })
		assert.Assert(t, float64(n) <= (40*5+40)*1.1+20, "seed %d: %d in 5 s", seed, n)
	}
}

// Gateways of one region also borrow from the owners in the other region.
func TestOwnersOfOtherRegionsLend(t *testing.T) {
	m := newServiceGateways(40, 5, makeServers(3, "a"), limitedPlan(40, 40))
	m.setRegions(twoRegions(40))
	m.passedShareAt(2, 32, 5*time.Second)
	passed := m.passedShareAt(2, 32, 10*time.Second)
	assert.Assert(t, passed > 0.95, "%.3f passed", passed)
}

// Departed gateways no longer hold a part of the ceiling: requests within the limit pass at the remaining ones.
func TestCeilingPartsOfDepartedGateways(t *testing.T) {
	m := newServiceGateways(9, 1, makeServers(3, "a"), limitedPlan(100, 100))
	regions := twoRegions(9)
	m.setRegions(regions)
	m.passedShare(70, 4*time.Second)
	for _, i := range []int{0, 3, 4, 6} {
		m.gateways[i], regions[i] = nil, ""
	}
	m.setRegions(regions)
	m.passedShare(90*9/5, 4*time.Second) // some of it is sent to departed gateways
	passed := m.passedShare(90*9/5, 10*time.Second)
	assert.Assert(t, passed > 0.97, "%.3f passed", passed)
	m.passedShare(1000, 10*time.Second)
	n := m.maxSendsIn(5*time.Second, func(sentAttempt) bool { return true })
	assert.Assert(t, float64(n) <= (100*5+100)*1.1+20, "%d in 5 s", n)
}

// The set of gateways may shrink for a moment, for instance after all were killed: pending loan requests are then dropped.
func TestGatewayCountDropsDuringLoan(t *testing.T) {
	m := newServiceGateways(30, 1, makeServers(3, "a"), limitedPlan(40, 40))
	m.setRegions(twoRegions(30))
	m.lossRate = 1
	for i := range m.gateways {
		m.ask(i, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
	}
	for i := range m.gateways {
		m.do(i, GatewaySet{Me: i, Gateways: i + 1, CeilingParts: 2, Regions: twoRegions(i + 1)})
	}
	passed := m.passedShare(4, 2*time.Second)
	assert.Assert(t, passed > 0, "nothing passes")
	for i, g := range m.gateways {
		assert.Equal(t, len(g.pendingAsks), 0, "gateway %d", i)
	}
}

// heldRequests returns how many requests wait at all gateways.
func (m *serviceGateways) heldRequests() (n int) {
	for _, g := range m.gateways {
		for _, c := range g.customerList {
			n += len(c.held)
		}
	}
	return n
}

// Requests of a tenant that exceeds its quota are sent or refused at once: if some waited for units, later ones would
// only wait in turn. Requests of a tenant below its quota may wait for units.
func TestNoWaitingBeyondQuota(t *testing.T) {
	m := newServiceGateways(2, 1, makeServers(3, "a"), limitedPlan(40, 40))
	m.passedShare(400, 4*time.Second)
	for range 100 {
		m.passedShare(400, 20*ms)
		assert.Equal(t, m.heldRequests(), 0)
	}

	m = newServiceGateways(1, 1, makeServers(3, "a"), limitedPlan(40, 40)) // there is no gateway to borrow from
	m.passedShare(20, 4*time.Second)
	for _, c := range m.gateways[0].customerList {
		c.ceiling = 0
	}
	sentBefore := len(m.sends)
	m.ask(0, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
	assert.Equal(t, m.heldRequests(), 1)
	m.pass(120*ms, nil)
	assert.Equal(t, len(m.sends)-sentBefore, 1)
}

// When a gateway's part of a tenant's rate is used up and another's is not, its requests use borrowed units: none is
// refused, and all gateways together stay within the limit.
func TestUsedUpPartsAreBorrowed(t *testing.T) {
	for _, n := range []int{2, 4} {
		m := newServiceGateways(n, 1, makeServers(3, "a"), limitedPlan(4, 40))
		m.setRegions(twoRegions(n))
		m.passedShare(3, 30*time.Second) // refills all parts
		m.sends = nil
		for range 10 {
			m.gateways[0].customerList[0].ceiling = 0
			m.ask(0, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
			m.pass(300*ms, nil)
		}
		assert.Equal(t, len(m.sends), 10, "of %d gateways", n)
		m.passedShareAt(n, 100, 10*time.Second)
		most := m.maxSendsIn(5*time.Second, func(sentAttempt) bool { return true })
		assert.Assert(t, float64(most) <= (4*5+40)*1.1+20, "%d in 5 s", most)
	}
}

// Restarted gateways have some ceiling units at once (HardInitial), for requests that piled up during the restart.
func TestStartHasCeilingUnits(t *testing.T) {
	plan := limitedPlan(100, 100)
	plan.HardInitial = 40
	m := newServiceGateways(4, 1, makeServers(3, "a"), plan)
	m.passedShare(60, 4*time.Second)
	for i := range m.gateways {
		m.start(i, 0)
	}
	before := len(m.sends)
	m.passedShare(400, 200*ms)
	n := len(m.sends) - before
	assert.Assert(t, n >= 35 && n <= 75, "%d passed in 0.2 s", n)
}
