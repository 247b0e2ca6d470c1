package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/dataplane/handover"
)

// relinquish makes a gateway give up its ceiling units and returns its offers.
func relinquish(g *Gateway, now time.Duration) (all []OfferUnits) {
	for _, a := range g.Handle(now, Relinquish{}, nil) {
		if v, ok := a.(OfferUnits); ok {
			all = append(all, v)
		}
	}
	return all
}

// sumCeilings returns the ceiling units that all gateways hold together.
func sumCeilings(m *serviceGateways) (sum float64) {
	for _, g := range m.gateways {
		if c := g.customers[keyOf("t")]; c != nil {
			g.advance(c)
			sum += c.ceiling
		}
	}
	return sum
}

// A leaving gateway no longer has the units that it offers before another one receives them, sends hardly any more
// requests, and all parts together stay within the ceiling.
func TestRelinquishedUnitsAreNotHeldTwice(t *testing.T) {
	for _, n := range []int{4, 30} {
		m := newServiceGateways(n, 1, makeServers(3, "a"), limitedPlan(40, 40))
		m.setRegions(twoRegions(n))
		m.passedShare(25, 20*time.Second)
		before, leaver := sumCeilings(m), 0
		if n > borrowBeyondGateways {
			leaver = m.gateways[0].customers[keyOf("t")].owners[0]
		}
		g := m.gateways[leaver]
		list := relinquish(g, m.now)
		assert.Assert(t, len(list) == 1 && list[0].Units > 0 && len(list[0].Candidates) > 0, "%d gateways: %v", n, list)
		assert.Assert(t, sumCeilings(m) <= before-float64(list[0].Units)+1e-6)
		sent := len(m.sends)
		m.gateways[list[0].Candidates[0]].Handle(m.now, UnitsReceived{list[0].Customer, list[0].Units}, nil)
		assert.Assert(t, sumCeilings(m) <= before+1e-6)
		for range 20 {
			m.ask(leaver, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
		}
		served := 0
		for _, s := range m.sends[sent:] {
			if s.by == leaver {
				served++
			}
		}
		assert.Assert(t, served <= 1, "%d gateways: %d requests sent by the one that relinquished its units", n, served)
		assert.Equal(t, len(g.retryBudgets), 0)
	}
}

// A gateway that relinquishes its units keeps those that its held requests need.
func TestHeldRequestsKeepTheirUnits(t *testing.T) {
	m := newServiceGateways(2, 1, makeServers(1, "a"), limitedPlan(40, 40))
	m.setRegions([]string{"r", "r"})
	m.pass(10*time.Second, nil)
	g := m.gateways[0]
	for _, s := range g.serverList {
		s.Slots = 1
	}
	m.code = func(Send) Code { return Full }
	for range 8 {
		m.ask(0, Request{Customer: "t", Plan: "t", Class: "once", Service: "a"})
	}
	c := g.customers[keyOf("t")]
	free := 0
	for _, r := range c.held {
		if !r.unitsTaken {
			free++
		}
	}
	relinquish(g, m.now)
	m.do(0, GatewaySet{Me: 0, Gateways: 2, CeilingParts: 2, Regions: []string{"r", "r"}, UnusedShare: 1, NoColdSends: true})
	assert.Assert(t, free > 0 && c.ceiling >= float64(free), "%v units for %d", c.ceiling, free)
}

// A leaving gateway sends nothing to cold servers; one that joins while others are silent uses less than its part.
func TestUnusedShare(t *testing.T) {
	cold := makeServers(1, "a")
	cold[0].ColdUntil, cold[0].ColdSendRate = time.Hour, 20
	m := newServiceGateways(3, 1, cold, limitedPlan(40, 40))
	regions := []string{"r", "r", "r"}
	m.setRegions(regions)
	all := 0
	for _, g := range m.gateways {
		all += g.serverList[0].coldSendQuota
	}
	assert.Assert(t, all > 0 && all <= 20)
	m.ask(0, Request{Customer: "t", Plan: "t", Class: "safe", Service: "a"})
	for i := range m.gateways {
		m.do(i, GatewaySet{Me: i, Gateways: 3, CeilingParts: 3, Regions: regions, UnusedShare: 0.5, NoColdSends: true})
	}
	g := m.gateways[0]
	assert.Equal(t, g.serverList[0].coldSendQuota, 0)
	assert.Equal(t, g.customers[keyOf("t")].parts, 6.0)
}

// Two gateways join, and none of the six others learns of it. All together stay within the limit that the rule
// allows: the joiners use only a little at first and nothing after that.
func TestUnknownJoinersKeepTheLimit(t *testing.T) {
	const rate, burst = 400.0, 100.0
	m := newServiceGateways(8, 3, makeServers(4, "s"), limitedPlan(rate, burst))
	m.lossRate = 1
	for i := range 6 {
		m.do(i, GatewaySet{Me: i, Gateways: 8, CeilingParts: 6})
		m.knownGateways[i] = 8
	}
	for i := 6; i < 8; i++ {
		m.do(i, GatewaySet{Me: i, Gateways: 8, CeilingParts: 8, UnusedShare: 1})
	}
	flood := func() {
		for i := range m.gateways {
			for range 3 {
				m.ask(i, Request{Customer: "t", Plan: "t", Class: "safe", Service: "s"})
			}
		}
	}
	m.pass(5*time.Second, flood)
	m.sends = nil
	joinerSends := func(less float64, d time.Duration) (n int) {
		for i := 6; i < 8; i++ {
			m.do(i, GatewaySet{Me: i, Gateways: 8, CeilingParts: 8, UnusedShare: less})
		}
		from := len(m.sends)
		m.pass(d, flood)
		for _, s := range m.sends[from:] {
			if s.by >= 6 {
				n++
			}
		}
		return n
	}
	assert.Assert(t, joinerSends(1-handover.InitialShare(8, 2), handover.InitialPhase) > 0)
	assert.Assert(t, joinerSends(handover.UnusedShare(8, 2, 6), 10*time.Second) <= 30) // the units that they had left
	busiest := m.maxSendsIn(5*time.Second, func(sentAttempt) bool { return true })
	assert.Assert(t, float64(busiest) <= (5*rate+burst)*1.1+20, "%d", busiest)
}
