package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The sum of the gateways' parts never passes the ceiling, whatever is asked
// and however often they restart.
func TestCeilingHoldsOverRestarts(t *testing.T) {
	s := testSettings()
	level, worst := 20.0, 20.0
	var gs [2]*testGateway
	for i := range gs {
		s.Me = i
		gs[i] = newTestGateway(t, s, testServers(8))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 3000 {
		level = min(20, level+10*0.004)
		for k, w := range gs {
			w.now += 4 * ms
			if i == 1600+200*k || i == 2300+150*k {
				s.Me = k
				n := newTestGateway(t, s, testServers(8))
				n.now, n.lastID = w.now, w.lastID
				g, _ := New(s, uint64(i))
				n.g = g
				n.do(ServerList{Kind: CachedList, Servers: testServers(8)})
				gs[k], w = n, n
			}
			var acts []Action
			if i > 1000 && (rng.IntN(2) == k || i%1000 < 300) {
				_, acts = w.request("safe", "hard", "c", 1)
				for _, x := range actionsOf[Send](acts) {
					level--
					w.finish(x, 0, OK)
				}
			}
			if w.now-w.g.lastTick >= w.g.tickInterval {
				for _, tell := range actionsOf[SendPeer](w.do(Timer{Token: "tick"})) {
					if rng.IntN(5) > 0 {
						gs[tell.To].do(PeerMessage{From: k, Data: tell.Data})
					}
				}
			}
		}
		worst = min(worst, level)
	}
	if worst < 0 {
		t.Fatalf("the ceiling's store fell to %.1f", worst)
	}
	if worst > 12 {
		t.Fatalf("the store never fell below %.1f: the test asks for too little", worst)
	}
}

// What one gateway does not need of a ceiling another may pass: with even parts
// a customer that comes in through one gateway would be held to half of it. With
// reports late or lost, and the demand wandering, the ceiling holds all the same.
func TestCeilingIsLent(t *testing.T) {
	s := testSettings()
	var gs [2]*testGateway
	for i := range gs {
		s.Me = i
		gs[i] = newTestGateway(t, s, testServers(8))
	}
	type mail struct {
		at       time.Duration
		from, to int
		data     []byte
	}
	var post []mail
	rng := rand.New(rand.NewPCG(3, 3))
	level, worst, passed := 20.0, 20.0, 0
	const rounds, start = 10000, 2000 // of 4 ms
	for i := range rounds {
		level = min(20, level+10*0.004)
		busy := i / 2500 % 2
		for len(post) > 0 && post[0].at <= gs[0].now {
			gs[post[0].to].do(PeerMessage{From: post[0].from, Data: post[0].data})
			post = post[1:]
		}
		for k, w := range gs {
			w.now += 4 * ms
			if k == busy && rng.IntN(12) == 0 { // 20 units a second
				_, acts := w.request("safe", "hard", "c", 1)
				for _, x := range actionsOf[Send](acts) {
					level--
					w.finish(x, 0, OK)
					if i > start {
						passed++
					}
				}
			} else if i < 100 {
				_, acts := w.request("safe", "hard", "c", 1)
				for _, x := range actionsOf[Send](acts) {
					level--
					w.finish(x, 0, OK)
				}
			}
			if w.now-w.g.lastTick >= w.g.tickInterval {
				for _, tell := range actionsOf[SendPeer](w.do(Timer{Token: "tick"})) {
					if rng.IntN(13) > 0 {
						post = append(post, mail{w.now + 36*ms, k, tell.To, tell.Data})
					}
				}
			}
		}
		worst = min(worst, level)
	}
	rate := float64(passed) / (float64(rounds-start) * 0.004)
	if rate < 7.5 {
		t.Errorf("%.1f units a second passed of a ceiling of 10", rate)
	}
	if worst < 0 {
		t.Errorf("the ceiling's store fell to %.1f", worst)
	}
}
