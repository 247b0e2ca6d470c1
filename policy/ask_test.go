package policy

import (
	"testing"
	"time"
)

// An ask that arrives again counts once but is answered each time: an earlier reply may have been lost.
func TestRepeatedAskCountsOnce(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	c := w.gateways[0].addCustomer(keyOf("k"), w.gateways[0].plans["rate"], 0, 50)
	roots, _ := w.gateways[0].roots(c)
	m := encode(askMessage{Customer: keyOf("k"), GatewayCount: 50, Plan: 1, Units: 4, RemainingMS: 2000, Tag: 9, AskChance: 250, BucketFill: unknownFill})
	for range 3 {
		w.do(roots[0], PeerMessage{From: 99, Data: m})
	}
	if got := w.gateways[roots[0]].customers[keyOf("k")].passedUnits; got != 4 || w.messageCount != 3 {
		t.Errorf("%d units counted, %d answers", got, w.messageCount)
	}
}

// A request without time left is refused at once: it can't wait for its root's reply.
func TestNoTimeLeftIsRefused(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	for i := range 20 {
		w.do(i, Request{ID: RequestID(i + 1), Customer: "k", Plan: "rate", Class: "safe", Units: 1, GatewayCount: 100})
	}
	if w.finalAnswers != 20 || len(w.sends) > 0 {
		t.Errorf("%d refused, %d sent", w.finalAnswers, len(w.sends))
	}
}

// Rounding may make a timer fire slightly early. The request must then get another timer, else nothing would
// ever answer it.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	c := w.gateways[0].addCustomer(keyOf("k"), w.gateways[0].plans["rate"], 0, 50)
	roots, deputy := w.gateways[0].roots(c)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	acts := w.gateways[i].Handle(w.now, Request{ID: 1, Customer: "k", Plan: "rate", Class: "safe", Units: 1,
		Remaining: time.Second, GatewayCount: 50}, nil)
	timers := actionsOf[SetTimer](acts)
	if len(timers) != 1 {
		t.Fatalf("got %v", acts)
	}
	acts = w.gateways[i].Handle(w.now+timers[0].After-time.Microsecond/2, Timer{Token: "ask"}, nil)
	if len(actionsOf[SendPeer](acts)) != 1 || len(actionsOf[SetTimer](acts)) != 1 {
		t.Errorf("not asked again: %v", acts)
	}
}

// If one message that an attempt has ended is lost, its place is freed all the same, long before the lease
// expires, since the message is sent twice.
func TestLostEndFreesItsPlace(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	c := w.gateways[0].addCustomer(keyOf("k"), w.gateways[0].plans["open"], 0, 50)
	roots, deputy := w.gateways[0].roots(c)
	i := 0
	for i == roots[0] || i == deputy {
		i++
	}
	w.request(i, 1, "k", "open", "safe", 50)
	w.pass(60*ms, nil)
	if len(w.sends) != 1 || w.gateways[roots[0]].customers[keyOf("k")].inFlight != 1 {
		t.Fatalf("%d sent", len(w.sends))
	}
	lost := false
	w.dropMessage = func(from, to int) bool {
		if from == i && to == roots[0] && !lost {
			lost = true
			return true
		}
		return false
	}
	w.pass(120*ms, nil)
	if out := w.gateways[roots[0]].customers[keyOf("k")].inFlight; !lost || out != 0 {
		t.Errorf("%d places taken after the end, lost %v", out, lost)
	}
}

// A repeated ask for a held request is answered again, since the first reply may be lost. Without a reply the
// gateway would ask the deputy, which would grant places that are taken.
func TestHeldAskIsAnsweredAgain(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	_, root, _ := w.member("open")
	for tag, want := range []int{1, 2, 3, 3} { // two places are granted, the third request is held
		m := askMessage{Customer: keyOf("k"), GatewayCount: 50, Plan: 2, Units: 1, RemainingMS: 2000, Tag: uint32(min(tag, 2)), AskChance: 250, BucketFill: unknownFill}
		w.do(root, PeerMessage{From: 99, Data: encode(m)})
		if c := w.gateways[root].customers[keyOf("k")]; c.inFlight+len(c.held) != want || w.messageCount != tag+1 {
			t.Fatalf("ask %d: %d granted, %d held, %d answers", tag, c.inFlight, len(c.held), w.messageCount)
		}
	}
	if a := decode(w.inTransit[3].data).(askReply); a.Verdict != heldAtRoot {
		t.Errorf("answered %d", a.Verdict)
	}
}

// A gateway that gives up a held request tells its root, which then neither grants it later nor keeps a place
// that it has just granted.
func TestAbandonedRequestFreesItsPlace(t *testing.T) {
	for _, c := range []struct {
		name string
		held bool
	}{{"held at the root", true}, {"the grant was lost", false}} {
		t.Run(c.name, func(t *testing.T) {
			w := newManyGateways(t, 100, testServers(10))
			w.attemptTime = time.Hour
			i, root, _ := w.member("open")
			for id := range 3 {
				w.request(i, RequestID(id+1), "k", "open", "safe", 50)
			}
			w.pass(100*ms, nil)
			k := w.gateways[root].customers[keyOf("k")]
			if k.inFlight != 2 || len(k.held) != 1 {
				t.Fatalf("%d granted, %d held", k.inFlight, len(k.held))
			}
			want := 2
			if !c.held { // a place becomes free, and the root's grant is lost
				w.dropMessage = func(from, _ int) bool { return from == root }
				s := w.sends[0]
				w.do(i, Outcome{ID: s.ID, Server: s.Server, Code: OK, Latency: 50 * ms, ClientAnswered: true})
				w.pass(40*ms, nil)
				if k.inFlight != 2 || len(k.held) != 0 {
					t.Fatalf("%d granted, %d held after an end", k.inFlight, len(k.held))
				}
				want = 1
			}
			w.do(i, ClientGone{ID: 3})
			w.pass(40*ms, nil)
			if k.inFlight != want || len(k.held) != 0 {
				t.Errorf("%d places taken, %d held after the client left", k.inFlight, len(k.held))
			}
		})
	}
}

// An attempt that outlasts its lease keeps its place: its gateway renews the lease.
func TestLeaseIsRenewed(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	w.attemptTime = 4 * time.Second
	i, root, _ := w.member("open")
	w.request(i, 1, "k", "open", "safe", 50)
	for at := range 38 {
		w.pass(100*ms, nil)
		if out := w.gateways[root].customers[keyOf("k")].inFlight; out != 1 {
			t.Fatalf("%d places taken after %d00 ms", out, at+1)
		}
	}
	w.pass(400*ms, nil)
	if out := w.gateways[root].customers[keyOf("k")].inFlight; out != 0 {
		t.Errorf("%d places taken after the end", out)
	}
}

// A root whose replies are lost keeps no place for a request that its deputy grants, and a root that does not
// answer is not asked again for a while.
func TestSilentRootIsNotAsked(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	i, root, deputy := w.member("open")
	w.dropMessage = func(from, _ int) bool { return from == root }
	w.request(i, 1, "k", "open", "safe", 50)
	w.pass(600*ms, nil)
	if len(w.sends) != 1 || w.gateways[root].customers[keyOf("k")].inFlight != 0 {
		t.Fatalf("%d sent, %d places taken at the silent root", len(w.sends), w.gateways[root].customers[keyOf("k")].inFlight)
	}
	w.inTransit = nil
	w.request(i, 2, "k", "open", "safe", 50)
	if len(w.inTransit) != 1 || w.inTransit[0].to != deputy {
		t.Errorf("asked %v, want the deputy %d", w.inTransit, deputy)
	}
	w.pass(2*time.Second, nil)
	w.inTransit = nil
	w.request(i, 3, "k", "open", "safe", 50)
	if len(w.inTransit) != 1 || w.inTransit[0].to != root {
		t.Errorf("asked %v, want the root %d again", w.inTransit, root)
	}
}

// Without a rate quota room appears when attempts end: clients are told to retry after that time, although the
// ticks of a large fleet are longer.
func TestRetryAfterWithoutRateQuota(t *testing.T) {
	for _, c := range []struct {
		plan  string
		limit time.Duration
	}{{"open", 120 * ms}, {"rate", 500 * ms}} {
		w := newManyGateways(t, 100, testServers(10))
		g := w.gateways[0]
		r := &request{customer: g.addCustomer(keyOf("k"), g.plans[c.plan], 0, 100), units: 1}
		if got := g.retryAfter(r); got > c.limit || got <= 0 {
			t.Errorf("plan %s: advised after %v, want %v at most", c.plan, got, c.limit)
		}
	}
}

// An attempt that takes longer than its latency target keeps its place: the length of a lease depends on the
// mean latency of servers, not on the target.
func TestLeaseOutlastsASlowAttempt(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	c := w.gateways[0].addCustomer(keyOf("k"), w.gateways[0].plans["open"], 0, 50)
	roots, _ := w.gateways[0].roots(c)
	root := w.gateways[roots[0]]
	root.classes["safe"].mean = 0.5 // seconds, with a latency target of 800 ms
	m := encode(askMessage{Customer: keyOf("k"), GatewayCount: 50, Plan: 2, Units: 1, RemainingMS: 3000, Tag: 9, AskChance: 250, BucketFill: unknownFill})
	w.do(roots[0], PeerMessage{From: 99, Data: m})
	w.pass(1200*ms, nil)
	if out := root.customers[keyOf("k")].inFlight; out != 1 {
		t.Errorf("%d places taken after 1.2 s, want 1", out)
	}
	w.pass(4*time.Second, nil)
	if out := root.customers[keyOf("k")].inFlight; out != 0 {
		t.Errorf("%d places taken after 5.2 s, want 0", out)
	}
}

// A root counts the requests of its own clients towards a cap like those of other gateways.
func TestOwnRequestsCountLikeAsks(t *testing.T) {
	w := newManyGateways(t, 100, testServers(10))
	c := w.gateways[0].addCustomer(keyOf("k"), w.gateways[0].plans["open"], 0, 50)
	roots, _ := w.gateways[0].roots(c)
	root := w.gateways[roots[0]]
	m := askMessage{Customer: keyOf("k"), GatewayCount: 50, Plan: 2, Units: 4, RemainingMS: 2000, Tag: 9, AskChance: 250, BucketFill: unknownFill}
	w.do(roots[0], PeerMessage{From: 99, Data: encode(m)})
	other := root.customers[keyOf("k")].slotDemand
	w.do(roots[0], Request{ID: 1, Customer: "k", Plan: "open", Class: "safe", Units: 4, Remaining: 2 * time.Second, GatewayCount: 50})
	if own := root.customers[keyOf("k")].slotDemand - other; own != other || own <= 0 {
		t.Errorf("a request of its own client counts %v, one of another gateway %v", own, other)
	}
}
