package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestQuotaBoundsWhatPasses(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(8))
	w.report(1, 1, 1, true)
	if n := w.requestMany(40, "rate"); n < 5 || n > 10 {
		t.Fatalf("%d units passed of a bucket of 10", n)
	}
}

func TestReportedUnitsAreDeducted(t *testing.T) {
	for _, test := range []struct {
		name string
		tell func(w *testGateway)
		most int
	}{
		{"reported", func(w *testGateway) {
			w.report(1, 1, 2, true, customerEntry{hash: hashOf("c"), passed: 8, bucketFill: unknownFill})
		}, 2},
		{"repeated", func(w *testGateway) {
			for range 3 {
				w.report(1, 1, 2, true, customerEntry{hash: hashOf("c"), passed: 4, bucketFill: unknownFill})
			}
		}, 6},
		{"lost, then reported", func(w *testGateway) {
			w.report(1, 1, 9, true, customerEntry{hash: hashOf("c"), passed: 8, bucketFill: unknownFill})
			w.report(1, 1, 3, true, customerEntry{hash: hashOf("c"), passed: 4, bucketFill: unknownFill})
		}, 2},
		{"restarted", func(w *testGateway) {
			w.report(1, 2, 1, true, customerEntry{hash: hashOf("c"), passed: 8, bucketFill: unknownFill})
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newTestGateway(t, testSettings(), testServers(8))
			w.requestMany(1, "rate")
			w.advance(600 * ms)
			w.report(1, 1, 1, true, customerEntry{hash: hashOf("c"), bucketFill: unknownFill})
			test.tell(w)
			if n := w.requestMany(30, "rate"); n > test.most || n == 0 && test.most > 3 {
				t.Fatalf("%d units passed, at most %d are left", n, test.most)
			}
		})
	}
}

func TestRestartAdoptsPeerBucket(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(8))
	w.requestMany(1, "rate")
	w.report(1, 1, 1, true, customerEntry{hash: hashOf("c"), passed: 100, bucketFill: 25})
	if n := w.requestMany(20, "rate"); n > 1 {
		t.Fatalf("%d units passed though a peer reports that one is left", n)
	}
}

func TestSilentPeerNeitherFreesNorBlocks(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(8))
	w.requestMany(1, "open")
	w.report(1, 1, 1, true, customerEntry{hash: hashOf("c"), inFlight: 6, held: 3, bucketFill: unknownFill})
	w.advance(3 * time.Second)
	if n := w.requestMany(1, "open"); n != 1 {
		t.Fatal("a silent peer's old count blocks the customer")
	}
	_, first := w.request("safe", "open", "c", 1)
	_, second := w.request("safe", "open", "c", 1)
	acts := append(append(first, second...), w.advance(100*ms)...)
	if n := len(actionsOf[Send](acts)); n > 1 {
		t.Fatalf("a silent peer's share of the limit was used: %d in flight", n)
	}
}

// A client refused for its quota is advised to retry when the bucket will hold the units it
// needs; after a longer wait it would return too late to be served.
func TestRetryAfterFollowsBucket(t *testing.T) {
	set := testSettings()
	set.MaxRetryAfter = 5 * time.Second
	w := newTestGateway(t, set, testServers(3))
	w.requestMany(40, "rate")
	for units, want := range map[float64]time.Duration{1: 400 * ms, 4: 700 * ms} { // of 10 a second, 3 reserved
		_, acts := w.request("safe", "rate", "c", units)
		r := actionsOf[Refuse](acts)
		if len(r) != 1 || r[0].RetryAfter < want-100*ms || r[0].RetryAfter > want+200*ms {
			t.Errorf("%v units: %v, want about %v", units, acts, want)
		}
	}
}

func TestSettledUnitsAreDeducted(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(8))
	w.report(1, 1, 1, true)
	s := w.send("safe", "rate")
	w.do(Outcome{ID: s.ID, Server: s.Server, Code: OK, ClientAnswered: true, ActualUnits: 9})
	if n := w.requestMany(5, "rate"); n > 1 {
		t.Fatalf("%d more passed after 9 of 10 units were settled", n)
	}
}

// While a peer is never heard from, this gateway gets its own share of the quota, not all of it.
func TestSilentPeerKeepsItsShare(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(8))
	w.requestMany(1, "rate")
	w.advance(60 * time.Second)
	w.requestMany(10, "rate")
	n := 0
	for range 100 {
		w.advance(100 * ms)
		n += w.requestMany(3, "rate")
	}
	if n < 50 || n > 85 {
		t.Fatalf("%d of 100 units passed beside a peer never heard from", n)
	}
}

// A customer is dropped once its state equals that of a new one: its bucket must be full
// again, and the peers' use of it must have ended.
func TestIdleCustomersAreDropped(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(2))
	for i := range 50 {
		_, acts := w.request("safe", "rate", fmt.Sprint(i), 1)
		w.finish(actionsOf[Send](acts)[0], 0, OK)
		w.now += 20 * ms
	}
	c := w.g.customers[keyOf("7")]
	c.bucket = -500 // after settlement: takes long to refill
	w.advance(idleExpiry + 3*time.Second)
	w.requestMany(1, "rate")
	if n := len(w.g.customers); n != 2 || w.g.customers[c.key] != c {
		t.Fatalf("%d customers known, want 2", n)
	}
	if n := len(w.g.customers) + len(w.g.customerList) + len(w.g.customersByHash) + len(w.g.peers[1].views); n != 8 {
		t.Fatalf("%d table entries for customers, want 8", n)
	}
}

// A gateway that dropped a customer restarts its running total from 0: peers must deduct the
// new units, and must not return old ones to the bucket.
func TestRestartedTotalGrantsNothing(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(2))
	w.requestMany(1, "rate")
	c := w.g.customers[keyOf("c")]
	seq := uint32(0)
	receive := func(passed byte, newTotal bool) float64 {
		seq++
		m := report{incarnation: 9, seq: seq, complete: true,
			customers: []customerEntry{{hash: c.hash, passed: passed, newTotal: newTotal, bucketFill: unknownFill}}}
		w.g.advance(c)
		before := c.bucket
		w.do(PeerMessage{From: 1, Data: m.encode()})
		return before - c.bucket
	}
	if deducted := receive(3, true); deducted != 3 {
		t.Errorf("%v units deducted at the first report of a new total of 3", deducted)
	}
	if deducted := receive(5, true); deducted != 2 {
		t.Errorf("%v units deducted when the total goes from 3 to 5", deducted)
	}
	w.advance(newTotalSpan + time.Second)
	if deducted := receive(1, true); deducted != 1 {
		t.Errorf("%v units deducted when a total restarts with 1", deducted)
	}
}

// A new peer's fill of the bucket is taken over: the bucket may be full at this gateway only.
func TestNewPeerReportsItsBucket(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(2))
	w.advance(5 * time.Second)
	w.requestMany(1, "rate")
	c := w.g.customers[keyOf("c")]
	m := report{incarnation: 9, seq: 1, complete: true, customers: []customerEntry{{hash: c.hash, passed: 144, bucketFill: 50}}}
	w.do(PeerMessage{From: 1, Data: m.encode()})
	if c.bucket > 2 {
		t.Errorf("%v units in a bucket that has 2 according to a peer", c.bucket)
	}
}
