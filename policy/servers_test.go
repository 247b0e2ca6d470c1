package policy

import (
	"testing"
	"time"
)

func TestNothingSentToDrainingOrRemoved(t *testing.T) {
	for _, c := range []struct {
		name string
		ev   ServerList
	}{
		{"draining", ServerList{Kind: ChangedServers, Servers: []Server{{ID: 1, State: Draining}}}},
		{"removed", ServerList{Kind: ChangedServers, Servers: []Server{{ID: 1, State: Removed}}}},
		{"not in the whole list", ServerList{Kind: CompleteList, Servers: testServers(4)[1:]}},
	} {
		w := newTestGateway(t, testSettings(), testServers(4))
		w.do(c.ev)
		for range 100 {
			s := w.send("safe", "free")
			if s.Server == 1 {
				t.Fatalf("%s: sent", c.name)
			}
			w.now += 30 * ms
			w.finish(s, 0, OK)
		}
	}
}

func TestColdServerBudget(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartTime = true, time.Second
	w := newTestGateway(t, testSettings(), servers)
	cold, warm := 0, 0
	for range 100 {
		w.now += 10 * ms
		if s := w.send("safe", "free"); s.Server == 1 {
			cold++
		} else {
			warm++
			w.finish(s, 0, OK)
		}
	}
	if each := float64(warm) / 3; float64(cold) > 0.2*2*each {
		t.Fatalf("%d sent to the cold server, %d to the others", cold, warm)
	}
}

func TestFailingServerIsEjectedAndTriedAgain(t *testing.T) {
	for _, code := range []Code{Error, ConnectFailed, Reset} {
		w := newTestGateway(t, testSettings(), testServers(6))
		sendsTo := func(failing bool, n int) (hits int) {
			for range n {
				w.advance(25 * ms)
				s := w.send("safe", "free")
				for k := 0; ; k++ {
					hit := s.Server == 1
					if hit {
						hits++
					}
					if !hit || !failing {
						w.finish(s, k, OK)
						break
					}
					retries := actionsOf[Send](w.finish(s, k, code))
					if len(retries) == 0 {
						break
					}
					s = retries[0]
				}
			}
			return hits
		}
		sendsTo(true, 100)
		if n := sendsTo(true, 400); n > 20 {
			t.Fatalf("%v: %d of 400 sent to a failing server", code, n)
		}
		sendsTo(false, 800)
		if n := sendsTo(false, 400); n < 20 {
			t.Fatalf("%v: only %d of 400 sent to a server that has recovered", code, n)
		}
	}
}

// When all servers fail alike, ejections are ignored.
func TestSharedFailureDoesNotEmptyTheFleet(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(9))
	used := map[ServerID]int{}
	for i := range 300 {
		w.now += 25 * ms
		s := w.send("once", "free") // fails the test when there is none
		w.finish(s, 0, Error)
		if i >= 200 {
			used[s.Server]++
		}
	}
	if len(used) < 7 {
		t.Fatalf("only %d of 9 servers used", len(used))
	}
}

func TestHungServerIsAvoided(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(6))
	cancelled, lateSends := 0, 0
	for i := range 300 {
		s := w.send("safe", "free")
		if s.Server != 1 {
			w.finish(s, 0, OK)
		} else if i > 150 {
			lateSends++
		}
		for _, a := range w.advance(25 * ms) {
			if c, ok := a.(Cancel); ok {
				cancelled++
				for _, s := range actionsOf[Send](w.do(Outcome{ID: c.ID, Attempt: c.Attempt, Code: Cancelled})) {
					w.finish(s, c.Attempt+1, OK)
				}
			}
		}
	}
	if cancelled == 0 || lateSends > 6 {
		t.Fatalf("%d cancelled, %d sent later on", cancelled, lateSends)
	}
}

func TestRequestsServerListWhenRequired(t *testing.T) {
	s := testSettings()
	s.MustWatch = true
	g, _ := New(s, 1)
	w := &testGateway{t: t, g: g, now: time.Second}
	if n := len(actionsOf[Watch](w.do(ServerList{Kind: CachedList}))); n != 1 {
		t.Fatalf("%d requests for the server list at the start", n)
	}
	w.do(ServerList{Kind: WatchFailed})
	if n := len(actionsOf[Watch](w.advance(3 * time.Second))); n != 1 {
		t.Fatalf("%d requests for the server list after a failed one", n)
	}
}

// Removed servers are dropped from all tables, and do not count in the number of
// running servers.
func TestRemovedServersAreDropped(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(2))
	for i := range 200 {
		w.now += 20 * ms
		w.do(ServerList{Kind: ChangedServers, Servers: []Server{
			{ID: ServerID(i + 3), Zone: "a", Weight: 1}, {ID: ServerID(i + 2), State: Removed}}})
	}
	w.advance(idleExpiry + 2*time.Second)
	if len(w.g.serverList) != 2 || len(w.g.servers) != 2 || w.g.runningServers != 2 || w.g.meanWeight != 1 {
		t.Errorf("%d and %d servers kept, %d live, of mean size %v; want 2 of 1",
			len(w.g.serverList), len(w.g.servers), w.g.runningServers, w.g.meanWeight)
	}
}

// When the warm servers are full, the cold one still gets no more than its budget.
func TestColdBudgetHoldsUnderLoad(t *testing.T) {
	servers := testServers(4)
	servers[0].HasStartTime, servers[0].StartTime = true, time.Second
	w := newTestGateway(t, testSettings(), servers)
	cold := 0
	for range 60 {
		w.now += 10 * ms
		_, acts := w.request("once", "free", "c", 1)
		for len(acts) > 0 {
			s, more := acts[0], []Action(nil)
			if s, ok := s.(Send); ok && s.Server == 1 {
				cold++
				more = w.finish(s, 0, OK)
			}
			acts = append(acts[1:], more...)
		}
	}
	if cold < 1 || cold > 4 {
		t.Fatalf("%d sent to the cold server", cold)
	}
}
