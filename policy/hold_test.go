package policy

import (
	"testing"
	"time"
)

func TestHoldsBeyondTheCapInOrder(t *testing.T) {
	w := newWorld(t, base(), fleet(8))
	var sent []Send
	for range 4 {
		_, acts := w.ask("safe", "open", "c", 1)
		sent = append(sent, of[Send](acts)...)
		w.now += ms
	}
	w.hear(1, 1, 1, true)
	sent = append(sent, of[Send](w.pass(60*ms))...)
	if len(sent) != 2 {
		t.Fatalf("%d attempts in flight under a cap of 2", len(sent))
	}
	w.hear(1, 1, 2, true)
	next := of[Send](w.end(sent[0], 0, OK))
	if len(next) != 1 || next[0].ID != 3 {
		t.Fatalf("the oldest held request was not sent: %v", next)
	}
}

// A request held for a quarter of its latency target is refused while a client's retry can still help; requests
// that start later mostly finish late.
func TestHeldForAQuarterOfItsAim(t *testing.T) {
	w := newWorld(t, base(), fleet(4))
	for range 2 { // one fits this gateway's part of the cap
		w.ask("safe", "open", "c", 1)
	}
	if early := of[Refuse](w.pass(175 * ms)); len(early) > 0 {
		t.Errorf("refused early: %v", early)
	}
	if late := of[Refuse](w.pass(75 * ms)); len(late) != 1 || late[0].ID != 2 {
		t.Errorf("%v after a quarter of the latency target, want the second refused", late)
	}
}

func TestPeersAttemptsFillTheCap(t *testing.T) {
	w := newWorld(t, base(), fleet(8))
	s := w.send("safe", "open")
	w.end(s, 0, OK)
	w.hear(1, 1, 1, true, entry{hash: hashOf("c"), out: 6, store: unknownStore})
	if _, acts := w.ask("safe", "open", "c", 1); len(acts) != 0 {
		t.Fatalf("the peer has 2 in flight under a cap of 2, yet got %v", acts)
	}
	w.hear(1, 1, 2, true)
	if got := of[Send](w.pass(100 * ms)); len(got) != 1 {
		t.Fatalf("the peer has none in flight, yet got %v", got)
	}
}

func TestRepeatsYieldWhilePressed(t *testing.T) {
	w := newWorld(t, base(), fleet(1))
	for range 50 {
		w.ask("safe", "free", "c", 1)
	}
	w.ids++
	acts := w.do(Request{ID: w.ids, Customer: "c", Plan: "free", Class: "safe", Units: 1,
		Remaining: 2 * time.Second, Spread: 2, Retry: true})
	if r := of[Refuse](acts); len(r) != 1 || r[0].RetryAfter < 2*w.g.tick {
		t.Fatalf("got %v", acts)
	}
}

// Overload that no report shows appears in the latencies: the gateway then admits only a part of the requests.
func TestStrainClosesTheGate(t *testing.T) {
	admitted := func(latency time.Duration) (n int) {
		w := newWorld(t, base(), fleet(20))
		for i := range 400 {
			w.pass(25 * ms)
			_, acts := w.ask("safe", "free", "c", 1)
			for _, s := range of[Send](acts) {
				w.do(Outcome{ID: s.ID, Server: s.Server, Code: OK, Over: true, Latency: latency})
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
func TestTurnedAwayIsForThePlanOnly(t *testing.T) {
	w := newWorld(t, base(), fleet(2))
	for range 200 {
		w.end(w.send("safe", "free"), 0, OK)
		w.pass(200 * ms)
	}
	first := 0
	for range 20 {
		s := w.send("safe", "free")
		if s.Server == 1 {
			first++
			next := of[Send](w.end(s, 0, Full))
			w.end(next[0], 1, OK)
		} else {
			w.end(s, 0, OK)
		}
		w.pass(20 * ms)
	}
	others := 0
	for range 20 {
		_, acts := w.ask("safe", "rate", "d", 0)
		for _, s := range of[Send](acts) {
			if s.Server == 1 {
				others++
			}
			w.end(s, 0, OK)
		}
	}
	if first != 1 || others < 3 {
		t.Fatalf("%d to the server that rejects the plan, %d of another plan", first, others)
	}
}

// Retries are refused while the bucket is low, so that first tries get its units.
func TestRepeatsYieldWhenTheStoreIsLow(t *testing.T) {
	for spent, want := range map[int]int{0: 1, 8: 0} {
		w := newWorld(t, base(), fleet(8))
		w.hear(1, 1, 1, true)
		w.spend(spent, "rate")
		w.ids++
		acts := w.do(Request{ID: w.ids, Customer: "c", Plan: "rate", Class: "safe", Units: 1,
			Remaining: 2 * time.Second, Spread: 2, Retry: true})
		if n := len(of[Send](acts)); n != want {
			t.Errorf("%d retries passed after %d of 10 units, want %d", n, spent, want)
		}
	}
}
