package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setRegions tells all gateways who is there: each number's region, "" where it is nobody's any more.
func (m *serviceGateways) setRegions(regions []string) {
	shares := 0
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

// passedShare lets a tenant ask at all gateways alike, and returns what part of it passes.
func (m *serviceGateways) passedShare(perS float64, d time.Duration) float64 {
	return m.passedShareAt(1, perS, d)
}

// passedShareAt is demand at every so many of the gateways only.
func (m *serviceGateways) passedShareAt(every int, perS float64, d time.Duration) float64 {
	asked, sent, due := 0, len(m.sends), 0.0
	m.pass(d, func() {
		for i, g := range m.gateways {
			if g != nil {
				m.do(i, Timer{Token: "ask"})
			}
		}
		for due += perS / 100; due >= 1; due-- {
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
		part := m.passedShare(25, 10*time.Second)
		assert.Assert(t, part > 0.97, "seed %d: %.3f passed", seed, part)

		owner := m.gateways[0].customers[keyOf("t")].owners[0]
		m.gateways[owner] = nil
		m.passedShare(25, time.Second)
		part = m.passedShare(25, 10*time.Second)
		assert.Assert(t, part > 0.9, "seed %d: %.3f passed without an owner", seed, part)

		m.lossRate = 0.3
		m.start(owner, 0)
		m.passedShare(400, 4*time.Second)
		m.setRegions(twoRegions(40))
		m.passedShare(400, 10*time.Second)
		n := m.maxSendsIn(5*time.Second, func(sentAttempt) bool { return true })
		assert.Assert(t, float64(n) <= (40*5+40)*1.1+20, "seed %d: %d in 5 s", seed, n)
	}
}

// What comes in by the gateways of one region finds the parts of the other's owners too.
func TestOwnersOfOtherRegionsLend(t *testing.T) {
	m := newServiceGateways(40, 5, makeServers(3, "a"), limitedPlan(40, 40))
	m.setRegions(twoRegions(40))
	m.passedShareAt(2, 32, 5*time.Second)
	part := m.passedShareAt(2, 32, 10*time.Second)
	assert.Assert(t, part > 0.95, "%.3f passed", part)
}

// Gateways that have left take no part any more: what stays within the limit passes at the others.
func TestCeilingPartsOfDepartedGateways(t *testing.T) {
	m := newServiceGateways(9, 1, makeServers(3, "a"), limitedPlan(100, 100))
	all := twoRegions(9)
	m.setRegions(all)
	m.passedShare(70, 4*time.Second)
	for _, i := range []int{0, 3, 4, 6} {
		m.gateways[i], all[i] = nil, ""
	}
	m.setRegions(all)
	m.passedShare(90*9/5, 4*time.Second) // a part of it comes to those who are gone
	part := m.passedShare(90*9/5, 10*time.Second)
	assert.Assert(t, part > 0.97, "%.3f passed", part)
	m.passedShare(1000, 10*time.Second)
	n := m.maxSendsIn(5*time.Second, func(sentAttempt) bool { return true })
	assert.Assert(t, float64(n) <= (100*5+100)*1.1+20, "%d in 5 s", n)
}

// A census may tell of few gateways for a moment, as after all were killed: what was asked of owners is given up then.
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
	part := m.passedShare(4, 2*time.Second)
	assert.Assert(t, part > 0, "nothing passes")
	for i, g := range m.gateways {
		assert.Equal(t, len(g.pendingAsks), 0, "gateway %d", i)
	}
}

// heldRequests is how many requests wait at all gateways.
func (m *serviceGateways) heldRequests() (n int) {
	for _, g := range m.gateways {
		for _, c := range g.customerList {
			n += len(c.held)
		}
	}
	return n
}

// A tenant that asks for more than its quota gets what there is at once, and nothing of it waits: whoever waits for
// units then only makes the next wait. One below its quota may wait for them.
func TestNoWaitingBeyondQuota(t *testing.T) {
	m := newServiceGateways(2, 1, makeServers(3, "a"), limitedPlan(40, 40))
	m.passedShare(400, 4*time.Second)
	for range 100 {
		m.passedShare(400, 20*ms)
		assert.Equal(t, m.heldRequests(), 0)
	}

	m = newServiceGateways(1, 1, makeServers(3, "a"), limitedPlan(40, 40)) // nobody is there to lend
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

// Where the part of a tenant's rate that a gateway holds is used up and another's is not, requests go with units of the
// other's: none is refused, and all gateways together pass no more than the rule.
func TestUsedUpPartsAreBorrowed(t *testing.T) {
	for _, n := range []int{2, 4} {
		m := newServiceGateways(n, 1, makeServers(3, "a"), limitedPlan(4, 40))
		m.setRegions(twoRegions(n))
		m.passedShare(3, 30*time.Second) // all parts fill up
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

// Gateways that start anew have a part of what the rule leaves free at once, for what was held back meanwhile.
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
