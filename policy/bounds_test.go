package policy

import (
	"testing"
	"time"
)

// Lent units of a ceiling are in transit for a while. Until they have arrived the lender's part must not refill in
// their place: the lender, the transfer and the borrower together would hold more than the ceiling.
func TestLentUnitsInTransitAreNotRefilled(t *testing.T) {
	s := testSettings()
	s.Plans = []Plan{{Name: "hard", HardRate: 100, HardBurst: 20}}
	w := newTestGateway(t, s, testServers(8))
	w.now += time.Second
	w.requestMany(1, "hard")
	w.advance(time.Second) // the part of 10 units is full again
	w.report(1, 1, 1, true)
	c := w.g.customers[keyOf("c")]
	if len(c.views) != 1 || c.ceiling < 9.9 {
		t.Fatalf("%d peers, a part of %.1f: want 1 and 10", len(c.views), c.ceiling)
	}
	c.views[0].demand = 400 // units that the peer requests, over demandDecay
	w.g.lend(c, 50*ms)
	lent := c.onLoan
	if lent < 2 {
		t.Fatalf("%.2f lent, want 2 at least: the test's demand is too low", lent)
	}
	c.views[0].demand = 0
	for range 4 {
		w.g.now += 50 * ms // 2.5 units refill in this time
		w.g.lend(c, 50*ms)
	}
	if limit := 10 - lent/3; c.ceiling > limit {
		t.Errorf("the part has %.2f units 0.2 s after %.2f of 10 were lent, want %.2f at most", c.ceiling, lent, limit)
	}
	for range 40 {
		w.g.now += 50 * ms
		w.g.lend(c, 50*ms)
	}
	if c.ceiling < 9.9 {
		t.Errorf("the part has %.2f units 2 s later, want it full: units that have arrived still reduce it", c.ceiling)
	}
}

// A root that has just started assumes less than a full bucket: it can't know what it granted before a restart.
func TestRestartedRootGrantsLessThanABucket(t *testing.T) {
	w := newManyGateways(t, 300, testServers(40))
	g := w.gateways[0]
	if !g.usesRoots {
		t.Fatal("300 gateways report each to each")
	}
	roots, _ := g.roots(g.addCustomer(keyOf("k"), g.plans["rate"], 0, 200))
	root := roots[0]
	for i := range 60 {
		w.request(root, RequestID(i+1), "k", "rate", "safe", 200)
	}
	if n := len(w.sends); n < 1 || n > 9 {
		t.Errorf("a root that has just started passed %d of 60 at once, of a bucket of 10, want 1 to 9", n)
	}
}
