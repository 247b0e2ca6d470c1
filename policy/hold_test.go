package policy

import (
	"testing"
	"time"
)

func TestHoldsBeyondTheCapInOrder(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(8))
	var sent []Send
	for range 4 {
		_, acts := w.request("safe", "open", "c", 1)
		sent = append(sent, actionsOf[Send](acts)...)
		w.now += ms
	}
	w.report(1, 1, 1, true)
	sent = append(sent, actionsOf[Send](w.advance(60*ms))...)
	if len(sent) != 2 {
		t.Fatalf("%d attempts in flight under a cap of 2", len(sent))
	}
	w.report(1, 1, 2, true)
	next := actionsOf[Send](w.finish(sent[0], 0, OK))
	if len(next) != 1 || next[0].ID != 3 {
		t.Fatalf("the oldest held request was not sent: %v", next)
	}
}

// A request held for a quarter of its latency target is refused while a client's retry can still help; requests
// that start later mostly finish late.
func TestHeldForAQuarterOfItsLatencyTarget(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(4))
	for range 2 { // one fits this gateway's part of the cap
		w.request("safe", "open", "c", 1)
	}
	if early := actionsOf[Refuse](w.advance(175 * ms)); len(early) > 0 {
		t.Errorf("refused early: %v", early)
	}
	if late := actionsOf[Refuse](w.advance(75 * ms)); len(late) != 1 || late[0].ID != 2 {
		t.Errorf("%v after a quarter of the latency target, want the second refused", late)
	}
}

func TestPeersAttemptsCountTowardsTheCap(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(8))
	s := w.send("safe", "open")
	w.finish(s, 0, OK)
	w.report(1, 1, 1, true, customerEntry{hash: hashOf("c"), inFlight: 6, bucketFill: unknownFill})
	if _, acts := w.request("safe", "open", "c", 1); len(acts) != 0 {
		t.Fatalf("the peer has 2 in flight under a cap of 2, yet got %v", acts)
	}
	w.report(1, 1, 2, true)
	if got := actionsOf[Send](w.advance(100 * ms)); len(got) != 1 {
		t.Fatalf("the peer has none in flight, yet got %v", got)
	}
}

func TestRetriesAreRefusedWhileServersAreBusy(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(1))
	for range 50 {
		w.request("safe", "free", "c", 1)
	}
	w.lastID++
	acts := w.do(Request{ID: w.lastID, Customer: "c", Plan: "free", Class: "safe", Units: 1,
		Remaining: 2 * time.Second, GatewayCount: 2, Retry: true})
	if r := actionsOf[Refuse](acts); len(r) != 1 || r[0].RetryAfter < 2*w.g.tickInterval {
		t.Fatalf("got %v", acts)
	}
}

// Overload that no report shows appears in the latencies: the gateway then admits only a part of the requests.
func TestHighLatencyReducesAdmission(t *testing.T) {
	admitted := func(latency time.Duration) (n int) {
		w := newTestGateway(t, testSettings(), testServers(20))
		for i := range 400 {
			w.advance(25 * ms)
			_, acts := w.request("safe", "free", "c", 1)
			for _, s := range actionsOf[Send](acts) {
				w.do(Outcome{ID: s.ID, Server: s.Server, Code: OK, ClientAnswered: true, Latency: latency})
				if i >= 200 {
					n++
				}
			}
		}
		return n
	}
	if calm, slow := admitted(50*ms), admitted(700*ms); calm < 200 || slow > 100 {
		t.Fatalf("%d of 200 admitted at low latency, %d at high latency", calm, slow)
	}
}

// A server that rejects the requests of one plan is still used for other plans.
func TestRejectionConcernsOnePlan(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(2))
	for range 200 {
		w.finish(w.send("safe", "free"), 0, OK)
		w.advance(200 * ms)
	}
	first := 0
	for range 20 {
		s := w.send("safe", "free")
		if s.Server == 1 {
			first++
			next := actionsOf[Send](w.finish(s, 0, Full))
			w.finish(next[0], 1, OK)
		} else {
			w.finish(s, 0, OK)
		}
		w.advance(20 * ms)
	}
	others := 0
	for range 20 {
		_, acts := w.request("safe", "rate", "d", 0)
		for _, s := range actionsOf[Send](acts) {
			if s.Server == 1 {
				others++
			}
			w.finish(s, 0, OK)
		}
	}
	if first != 1 || others < 3 {
		t.Fatalf("%d to the server that rejects the plan, %d of another plan", first, others)
	}
}

// Retries are refused while the bucket is low, so that first tries get its units.
func TestRetriesAreRefusedWhileTheBucketIsLow(t *testing.T) {
	for spent, want := range map[int]int{0: 1, 8: 0} {
		w := newTestGateway(t, testSettings(), testServers(8))
		w.report(1, 1, 1, true)
		w.requestMany(spent, "rate")
		w.lastID++
		acts := w.do(Request{ID: w.lastID, Customer: "c", Plan: "rate", Class: "safe", Units: 1,
			Remaining: 2 * time.Second, GatewayCount: 2, Retry: true})
		if n := len(actionsOf[Send](acts)); n != want {
			t.Errorf("%d retries passed after %d of 10 units, want %d", n, spent, want)
		}
	}
}
