package policy

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Property tests use a fixed seed and fewer checks than the default; the flags -rapid.seed and -rapid.checks override both.
func init() { _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "40") }

// multiServiceSettings returns the initial settings of a gateway that serves many services.
func multiServiceSettings() Settings {
	return Settings{Gateways: 1, Zone: "a", Resolution: ms, CanCancel: true, CanMessagePeers: true, MessagesPerSecond: 40,
		MaxRequestUnits: 1, MaxRetryAfter: time.Second,
		MultiService: &MultiService{RetryBudgetPerAttempt: 0.14, MaxRetryBudget: func(string) float64 { return 3 },
			ColdShare: 0.5, ColdWindow: 1150 * ms, ReportInterval: 250 * ms}}
}

// multiServiceConfig returns an update with two classes, safe and unsafe, and the plans.
func multiServiceConfig(plans ...Plan) ConfigUpdate {
	return ConfigUpdate{Plans: plans, Classes: []Class{{Name: "safe", LatencyTarget: 500 * ms, Deadline: 2 * time.Second},
		{Name: "once", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Effect: Unsafe}}}
}

// makeServers returns n servers of a service, with slots for all requests of a test.
func makeServers(n int, service string) (l []Server) {
	for i := range n {
		l = append(l, Server{ID: ServerID(len(service)*100 + i), Zone: "a", Region: "r", Service: service, Slots: 1000})
	}
	return l
}

// limitedPlan returns a tenant's plan with its ceiling: in any span, at most 10 % and 20 units more than the quota.
func limitedPlan(rate, burst float64) Plan {
	return Plan{Name: "t", Rate: rate, Burst: burst, HardRate: 1.1 * rate, HardBurst: 0.9 * (1.1*burst + 20)}
}

// All gateways together pass no more of a tenant's requests in any span than the limits in force during it allow, while
// messages are lost, limits arrive late, gateways restart and gateways are added (which all learn of at once).
func TestQuotaHoldsOverAllGateways(t *testing.T) {
	const maxDelay = 300 * ms
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Plan {
			return limitedPlan(rapid.SampledFrom([]float64{10, 60, 400}).Draw(t, "rate"),
				rapid.SampledFrom([]float64{1, 30, 120}).Draw(t, "burst"))
		}
		type limitPeriod struct {
			Plan
			from, to time.Duration
		}
		limits := []limitPeriod{{draw(), 0, time.Hour}}
		m := newServiceGateways(rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "gateways"),
			rapid.Uint64().Draw(t, "seed"), makeServers(4, "s"), limits[0].Plan)
		m.now += time.Minute // all buckets are full
		for range rapid.IntRange(2, 6).Draw(t, "phases") {
			m.lossRate = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "lost")
			at := rapid.IntRange(0, len(m.gateways)).Draw(t, "at") // the last value: at all gateways evenly
			times := rapid.SampledFrom([]float64{20, 3, 0.5}).Draw(t, "times the rate")
			switch rapid.IntRange(0, 3).Draw(t, "what comes") {
			case 1:
				for range rapid.IntRange(1, len(m.gateways)).Draw(t, "restarted") {
					m.start(m.rng.IntN(len(m.gateways)), maxDelay)
				}
			case 2:
				p := draw()
				limits[len(limits)-1].to = m.now + maxDelay
				limits = append(limits, limitPeriod{p, m.now, time.Hour})
				m.plans = []Plan{p}
				for i := range m.gateways {
					m.deliverLater(i, multiServiceConfig(p), maxDelay)
				}
			case 3:
				m.gateways, m.knownGateways = append(m.gateways, nil), append(m.knownGateways, 0)
				for i := range m.gateways[:len(m.gateways)-1] {
					m.deliverLater(i, GatewaySet{Me: i, Gateways: len(m.gateways)}, 0)
				}
				m.start(len(m.gateways)-1, 0)
			}
			owed := 0.0
			m.pass(time.Duration(rapid.SampledFrom([]int{300, 1000, 4000}).Draw(t, "lasts"))*ms, func() {
				for owed += times * limits[len(limits)-1].Rate / 100; owed >= 1; owed-- {
					i := at
					if at >= len(m.gateways) {
						i = m.rng.IntN(len(m.gateways))
					}
					m.ask(i, Request{Customer: "t", Plan: "t", Class: "safe", Service: "s"})
				}
			})
		}
		for _, span := range []time.Duration{time.Second, 5 * time.Second} {
			for i, end := 0, 0; i < len(m.sends); i++ {
				at, rate, burst := m.sends[i].at, 0.0, 0.0
				for ; end < len(m.sends) && m.sends[end].at < at+span; end++ {
				}
				for _, p := range limits {
					if p.from < at+span && at < p.to {
						rate, burst = max(rate, p.Rate), max(burst, p.Burst)
					}
				}
				if allowed := (rate*span.Seconds()+burst)*1.1 + 20; float64(end-i) > allowed {
					t.Fatalf("%d passed in %v from %v on, %.1f allowed", end-i, span, at, allowed)
				}
			}
		}
	})
}

// A tenant that sends more than its rate gets most of it, whether the gateways' messages arrive or not.
func TestQuotaIsUsed(t *testing.T) {
	for lossRate, minPassed := range map[float64]int{0: 900, 1: 600} { // of 1000
		m := newServiceGateways(5, 3, makeServers(4, "s"), limitedPlan(100, 100))
		m.lossRate = lossRate
		m.pass(10*time.Second, func() {
			for range 3 {
				m.ask(m.rng.IntN(5), Request{Customer: "t", Plan: "t", Class: "safe", Service: "s"})
			}
		})
		assert.Assert(t, len(m.sends) >= minPassed, "%d passed with %v of the messages lost", len(m.sends), lossRate)
	}
}

// A new gateway whose demand is about its part of a small tenant's rate borrows units for bursts: the tenant as a whole
// uses less than half of its rate.
func TestPeersLendToNewGateway(t *testing.T) {
	asked, passed := 0, 0
	for seed := range uint64(6) {
		m := newServiceGateways(6, seed, makeServers(4, "s"), limitedPlan(30, 30))
		m.now += time.Minute
		m.start(0, 0)
		m.pass(time.Second, nil)
		m.pass(10*time.Second, func() {
			for i, perSecond := range []float64{7, 1.5, 1.5, 1.5, 1.5, 1.5} {
				if m.rng.Float64() < perSecond/100 {
					asked++
					m.ask(i, Request{Customer: "t", Plan: "t", Class: "safe", Service: "s"})
				}
			}
		})
		passed += len(m.sends)
	}
	assert.Assert(t, float64(passed) >= 0.99*float64(asked), "%d of %d passed", passed, asked)
}

// A new limit applies to tenants that sent requests before it.
func TestLimitComesIntoForce(t *testing.T) {
	for name, before := range map[string][]Plan{"not known": nil, "none": {{Name: "t"}}, "higher": {limitedPlan(1000, 1000)}} {
		t.Run(name, func(t *testing.T) {
			m := newServiceGateways(2, 1, makeServers(4, "s"), before...)
			flood := func() {
				for range 10 {
					m.ask(m.rng.IntN(2), Request{Customer: "t", Plan: "t", Class: "safe", Service: "s"})
				}
			}
			m.pass(3*time.Second, flood)
			sentBefore := len(m.sends)
			assert.Assert(t, sentBefore > 1500, "%d passed", sentBefore)
			for i := range m.gateways {
				m.do(i, multiServiceConfig(limitedPlan(50, 50)))
			}
			m.pass(6*time.Second, flood)
			n := len(m.sends) - sentBefore
			assert.Assert(t, n >= 240 && n <= 50+6*55+20, "%d passed under a limit of 50 a second", n)
		})
	}
}

// A request is sent only to running servers of its service in its regions, whatever codes the servers return.
func TestRequestStaysInItsServiceAndRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []Server
		byID := map[ServerID]Server{}
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			s := Server{ID: ServerID(i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Slots: 2,
				Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
				Region:  rapid.SampledFrom([]string{"r", "q"}).Draw(t, "region"),
				State:   rapid.SampledFrom([]State{Running, Running, Draining}).Draw(t, "state")}
			servers, byID[s.ID] = append(servers, s), s
		}
		m := newServiceGateways(2, rapid.Uint64().Draw(t, "seed"), servers, Plan{Name: "t"})
		m.code = func(Send) Code { return Code(m.rng.IntN(int(NoRetry))) }
		asked := map[RequestID]Request{}
		m.pass(4*time.Second, func() {
			r := Request{Customer: "t", Plan: "t", Class: []string{"safe", "once"}[m.rng.IntN(2)],
				Service: []string{"s", "t"}[m.rng.IntN(2)],
				Regions: [][]string{nil, {"r"}, {"r", "q"}}[m.rng.IntN(3)], MaxAttempts: 1 + m.rng.IntN(3)}
			asked[m.lastID+1] = r
			m.ask(m.rng.IntN(2), r)
		})
		for _, s := range m.sends {
			r, at := asked[s.ID], byID[s.Server]
			if at.Service != r.Service || len(r.Regions) > 0 && !slices.Contains(r.Regions, at.Region) || at.State != Running ||
				m.attempts[s.ID] > r.MaxAttempts {
				t.Fatalf("%+v was sent %d times, to %+v", r, m.attempts[s.ID], at)
			}
		}
	})
}

// A cold server gets no more requests a second than its limit from any number of gateways, but some if the limit is 2 or
// more: when it becomes cold, as its limit changes, and when gateways are added.
func TestColdServerBearsAllGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gatewayCount := rapid.IntRange(1, 24).Draw(t, "gateways")
		cold := makeServers(1, "s")
		m := newServiceGateways(gatewayCount, rapid.Uint64().Draw(t, "seed"), cold)
		cold[0].ColdUntil = time.Hour
		for round := range 3 {
			cold[0].ColdSendRate = rapid.Float64Range(0, 60).Draw(t, "bears")
			if round == 2 {
				gatewayCount++
				m.gateways, m.knownGateways = append(m.gateways, nil), append(m.knownGateways, 0)
				m.start(gatewayCount-1, 0)
			}
			for i := range m.gateways {
				m.do(i, ServerList{Kind: CompleteList, Servers: cold})
				if round == 2 {
					m.do(i, GatewaySet{Me: i, Gateways: gatewayCount})
				}
			}
			m.pass(1200*ms, nil) // earlier sends count for this long
			m.sends = nil
			m.pass(2*time.Second, func() {
				for range 2 + gatewayCount/10 {
					m.ask(m.rng.IntN(gatewayCount), Request{Customer: "t", Class: "safe", Service: "s"})
				}
			})
			most := m.maxSendsIn(time.Second, func(sentAttempt) bool { return true })
			if float64(most) > cold[0].ColdSendRate || most == 0 && cold[0].ColdSendRate >= 2 {
				t.Fatalf("%d sent in a second by %d gateways to a server with a limit of %.1f", most, gatewayCount, cold[0].ColdSendRate)
			}
		}
	})
}

// Retries of a service are limited to a share of its own requests, and are possible again once it has recovered.
func TestRetryBudgetPerService(t *testing.T) {
	m := newServiceGateways(1, 1, append(makeServers(4, "s"), makeServers(4, "tt")...))
	failing := true
	m.code = func(s Send) Code {
		if s.Server >= 200 || !failing {
			return OK
		}
		return Error
	}
	retries := func() (n int) {
		for _, s := range m.sends {
			if s.isRetry {
				n++
			}
		}
		m.sends = nil
		return n
	}
	ask := func(service string, n int) {
		for range n {
			m.ask(0, Request{Customer: "t", Class: "safe", Service: service, MaxAttempts: 2})
			m.pass(20*ms, nil)
		}
	}
	ask("tt", 300)
	ask("s", 10)
	assert.Equal(t, retries(), 1, "retries of ten requests, whatever another service has earned")
	ask("s", 400)
	n := retries()
	assert.Assert(t, n > 0 && n <= 400*14/100+1, "%d retries of 400 failed requests", n)
	failing = false
	ask("s", 50)
	failing = true
	ask("s", 10)
	assert.Assert(t, retries() >= 3, "too few retries for a service after 50 successful requests")
}

// A failing server is avoided for classes added later too, whatever their number.
func TestClassesAddedLaterAreTracked(t *testing.T) {
	m := newServiceGateways(1, 1, makeServers(4, "s"))
	var added ConfigUpdate
	for i := range 12 {
		added.Classes = append(added.Classes, Class{Name: fmt.Sprint("late", i),
			LatencyTarget: 500 * ms, Deadline: 2 * time.Second})
	}
	m.do(0, added)
	m.code = func(s Send) Code {
		if s.Server == 100 {
			return Error
		}
		return OK
	}
	m.pass(10*time.Second, func() { m.ask(0, Request{Customer: "t", Class: "late11", Service: "s", MaxAttempts: 1}) })
	hits := 0
	for _, s := range m.sends[len(m.sends)/2:] {
		if s.Server == 100 {
			hits++
		}
	}
	assert.Assert(t, hits <= 10, "%d of %d sent to a failing server", hits, len(m.sends)/2)
}

// If a server answers all other requests but one answer is lost, the gateway cancels that attempt early, provided the
// request may run again; otherwise it waits.
func TestLostAnswerIsRetried(t *testing.T) {
	m := newServiceGateways(1, 1, makeServers(2, "s"))
	m.do(0, multiServiceConfig())
	lost := map[RequestID]string{}
	n := 0
	m.code = func(s Send) Code {
		if n++; n > 400 && n%100 < 2 && m.attempts[s.ID] == 1 { // one of each class
			lost[s.ID] = []string{"safe", "once"}[int(s.ID)%2]
			return answerLost
		}
		return OK
	}
	m.pass(10*time.Second, func() {
		m.ask(0, Request{Customer: "t", Class: []string{"safe", "once"}[int(m.lastID+1)%2], Service: "s", MaxAttempts: 2})
	})
	assert.Assert(t, len(lost) >= 8, "%d lost", len(lost))
	cancelled := map[string]int{}
	for _, s := range m.sends {
		if at, is := m.cancelledAt[s.ID]; is && !s.isRetry {
			cancelled[lost[s.ID]]++
			assert.Assert(t, at-s.at < time.Second, "%v", at-s.at)
		}
	}
	assert.Assert(t, cancelled["safe"] >= 3 && cancelled["once"] == 0 && cancelled[""] == 0, "%v", cancelled)
}

// After a change of gateway numbers, a gateway is not its own peer and removed gateways are not its peers; a request that
// was read under a smaller gateway count gets no larger part of the ceiling.
func TestGatewayNumberChanges(t *testing.T) {
	m := newServiceGateways(3, 1, makeServers(4, "s"), limitedPlan(10, 10))
	m.knownGateways[0] = 1
	m.ask(0, Request{Customer: "t", Plan: "t", Class: "safe", Service: "s"})
	g := m.gateways[0]
	c := g.customers[keyOf("t")]
	assert.Equal(t, c.parts, 3.0)
	for _, change := range []struct {
		GatewaySet
		others []int
	}{{GatewaySet{Me: 2, Gateways: 4}, []int{0, 1, 3}},
		{GatewaySet{Me: 1, Gateways: 3}, []int{0, 2}}, {GatewaySet{Me: 0, Gateways: 2}, []int{1}}} {
		g.Handle(m.now, change.GatewaySet, nil)
		var peers []int
		for _, v := range c.views {
			peers = append(peers, v.peer.index)
		}
		slices.Sort(peers)
		assert.DeepEqual(t, peers, change.others)
		assert.Equal(t, c.parts, float64(change.Gateways))
	}
}
