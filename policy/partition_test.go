package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// While no gateway receives messages of another, about as many requests pass as the roots granted before: a
// network partition neither stops customers far below their quotas nor lifts the quotas.
func TestPartitionPassesWhatPassedBefore(t *testing.T) {
	for _, c := range []struct {
		name               string
		customers          int // which send 200 requests per second together
		surge              int // factor on their rate during the partition
		minShare, maxShare float64
	}{
		{"inside the quota", 40, 1, 0.6, 1}, // share of the requests passed in the same time before
		{"five times the quota", 4, 1, 0.3, 1.6},
		{"inside the quota, then five times as much", 40, 5, 0.6, 1.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, random := newManyGateways(t, 60, testServers(20)), rand.New(rand.NewPCG(1, 2))
			asked, before, during, perStep := 0, 0, 0, 2
			ask := func(time.Duration) {
				for range perStep {
					asked++
					w.request(random.IntN(50), RequestID(asked), fmt.Sprint("k", asked%c.customers), "rate", "safe", 50)
				}
			}
			w.pass(12*time.Second, ask)
			before = len(w.sends)
			w.pass(6*time.Second, ask)
			before, during = len(w.sends)-before, len(w.sends)
			w.dropMessage, perStep = func(int, int) bool { return true }, 2*c.surge
			w.pass(time.Second, ask) // until all gateways have detected it
			during = len(w.sends)
			w.pass(6*time.Second, ask)
			during = len(w.sends) - during
			if share := float64(during) / float64(before); share < c.minShare || share > c.maxShare {
				t.Errorf("%d passed in 6 s of a partition, %d in the 6 s before", during, before)
			}
			w.dropMessage = func(int, int) bool { return false }
			w.pass(3*time.Second, ask)
			if n := slices.IndexFunc(w.gateways, func(g *Gateway) bool { return g.unansweredAsks >= isolatedAfterAsks }); n >= 0 {
				t.Errorf("gateway %d still assumes that it is partitioned 3 s after the partition ended", n)
			}
		})
	}
}

// A partitioned gateway asks a root only once per request and then decides: three asks and one to the deputy would
// take longer than a client waits.
func TestPartitionAnswersSoon(t *testing.T) {
	w := newManyGateways(t, 60, testServers(20))
	i, _, _ := w.member("rate")
	for id := range 20 {
		w.request(i, RequestID(id+1), "k", "rate", "safe", 50)
		w.pass(500*ms, nil)
	}
	w.dropMessage = func(int, int) bool { return true }
	for id := range 2 {
		w.request(i, RequestID(100+id), "k", "rate", "safe", 50)
		w.pass(time.Second, nil)
	}
	messagesBefore, answeredBefore := w.messageCount, len(w.sends)+w.finalAnswers
	w.request(i, 200, "k", "rate", "safe", 50)
	w.pass(200*ms, nil)
	if asks := w.messageCount - messagesBefore; asks > 3 || len(w.sends)+w.finalAnswers == answeredBefore {
		t.Errorf("%d messages sent, answered %v within 200 ms", asks, len(w.sends)+w.finalAnswers > answeredBefore)
	}
}

// The parts of a hard ceiling add up to at most one ceiling, for each plan and number of gateways.
func TestPartsAddUpToTheCeiling(t *testing.T) {
	w := newManyGateways(t, 60, testServers(1))
	for _, g := range w.gateways {
		g.plans["ceil"] = &planState{Plan: Plan{Name: "ceil", Rate: 10, Burst: 20, HardRate: 20, HardBurst: 40}}
	}
	for _, plan := range []string{"ceil", "hard"} {
		for _, spread := range []int{1, 2, 3, 7, 50, 60} {
			sum := 0.0
			for i := range w.gateways { // also gateways that the customer should not use but may
				name := fmt.Sprint(plan, spread)
				c := w.gateways[i].addCustomer(keyOf(name), w.gateways[i].plans[plan], 5, spread)
				if member := (i-5+60)%60 < spread; member {
					sum += 1 / c.parts
				}
			}
			if sum > 1+1e-9 {
				t.Errorf("plan %s, %d gateways: the parts add up to %.3f, want 1 at most", plan, spread, sum)
			}
			if plan == "ceil" && sum < 0.9-1e-9 {
				t.Errorf("plan %s, %d gateways: the parts add up to %.3f, want 0.9 at least", plan, spread, sum)
			}
		}
	}
}

// Whichever messages are lost, duplicated or late, whichever gateways restart and wherever requests arrive, all
// gateways together stay within a hard ceiling.
func TestPartitionKeepsTheCeiling(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const rate, burst, spread = 20.0, 40.0, 6
		w := newManyGateways(t, 60, testServers(20))
		plan := Plan{Name: "rate", Rate: 200, Burst: 400, HardRate: rate, HardBurst: burst} // only the ceiling limits
		start := func(i int) {
			s := testSettings()
			s.Me, s.Gateways = i, 60
			s.Plans[1] = plan
			g, err := New(s, rapid.Uint64().Draw(rt, "seed"))
			if err != nil {
				rt.Fatal(err)
			}
			w.gateways[i] = g
			w.do(i, ServerList{Kind: CachedList, Servers: testServers(20)})
		}
		for i := range 60 {
			start(i)
		}
		bucket, at, n, counted := burst, w.now, 0, 0
		var lost, duplicated int
		w.dropMessage = func(from, to int) bool {
			if rapid.IntRange(0, 99).Draw(rt, "lost") < lost {
				return true
			}
			if rapid.IntRange(0, 99).Draw(rt, "twice") < duplicated && len(w.inTransit) > 0 {
				duplicate := w.inTransit[len(w.inTransit)-1]
				duplicate.at = w.now + 20*ms
				w.inTransit = append(w.inTransit, duplicate)
			}
			return false
		}
		for range rapid.IntRange(1, 4).Draw(rt, "phases") {
			lost = rapid.SampledFrom([]int{0, 20, 100}).Draw(rt, "phase loses")
			duplicated = rapid.SampledFrom([]int{0, 30}).Draw(rt, "phase doubles")
			every := rapid.IntRange(1, 10).Draw(rt, "every")
			if rapid.Bool().Draw(rt, "kill") {
				start(rapid.IntRange(0, spread-1).Draw(rt, "killed"))
			}
			w.pass(2*time.Second, func(now time.Duration) {
				if int(now/ms/10)%every == 0 {
					n++
					w.do(rapid.IntRange(0, spread-1).Draw(rt, "at"), Request{ID: RequestID(n), Customer: "k",
						Plan: "rate", Class: "safe", Units: 2, Remaining: 2 * time.Second, GatewayCount: spread})
				}
				bucket = min(burst, bucket+rate*(now-at).Seconds())
				at = now
				for ; counted < len(w.sends); counted++ {
					bucket -= 2
				}
				if bucket < -1e-6 {
					rt.Fatalf("the ceiling's bucket has %.2f units after %d sends", bucket, counted)
				}
			})
		}
	})
}

// A gateway with units left in its own part of a ceiling uses them before its root's.
func TestOwnPartOfACeilingIsUsedFirst(t *testing.T) {
	w := newManyGateways(t, 60, testServers(20))
	for _, g := range w.gateways {
		g.plans["rate"].HardRate, g.plans["rate"].HardBurst = 20, 40
	}
	i, root, _ := w.member("rate")
	w.pass(10*time.Second, nil)
	left := func(at int) float64 { return w.gateways[at].customers[keyOf("k")].ceiling }
	w.do(i, Request{ID: 1, Customer: "k", Plan: "rate", Class: "safe", Units: 0.25, Remaining: 2 * time.Second, GatewayCount: 50})
	own := left(i)
	w.pass(100*ms, nil)
	if len(w.sends) != 1 || left(i) >= own || left(root) < 40/w.gateways[root].customers[keyOf("k")].parts-1e-9 {
		t.Errorf("%d sent, %.2f of %.2f left here, %.2f at the root", len(w.sends), left(i), own, left(root))
	}
	w.request(i, 2, "k", "rate", "safe", 50) // needs more units than are left here
	w.pass(100*ms, nil)
	if len(w.sends) != 2 || left(root) > 40/w.gateways[root].customers[keyOf("k")].parts-0.5 {
		t.Errorf("%d sent, %.2f left at the root", len(w.sends), left(root))
	}
}

// A partitioned gateway serves a customer under a hard ceiling from its own part, which the roots do not hold.
func TestPartitionServesUnderACeiling(t *testing.T) {
	w := newManyGateways(t, 60, testServers(20))
	for _, g := range w.gateways {
		g.plans["rate"].HardRate, g.plans["rate"].HardBurst = 20, 40
	}
	c := w.gateways[0].addCustomer(keyOf("k"), w.gateways[0].plans["rate"], 0, 6)
	roots, deputy := w.gateways[0].roots(c)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	id := RequestID(0)
	ask := func(every int) func(time.Duration) {
		return func(at time.Duration) {
			if int(at/ms/10)%every == 0 {
				id++
				w.request(i, id, "k", "rate", "safe", 6)
			}
		}
	}
	w.pass(10*time.Second, ask(50))
	w.dropMessage = func(int, int) bool { return true }
	before := len(w.sends)
	w.pass(6*time.Second, ask(50))
	if n := len(w.sends) - before; n < 7 { // it may take the first few for asks lost at overloaded roots
		t.Errorf("%d of 12 passed while cut off", n)
	}
}
