package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// All gateways together never pass more than the ceiling, whatever the demand and however often they restart.
func TestCeilingHoldsOverRestarts(t *testing.T) {
	s := testSettings()
	level, lowest := 20.0, 20.0
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
		lowest = min(lowest, level)
	}
	if lowest < 0 {
		t.Fatalf("the ceiling's bucket fell to %.1f units", lowest)
	}
	if lowest > 12 {
		t.Fatalf("the bucket never fell below %.1f units, want 12 at most: the test's demand is too low", lowest)
	}
}

// A gateway lends ceiling units that it does not need: with even parts a customer that uses one of two gateways
// would get half of the ceiling only. The ceiling holds although reports are late or lost and the demand moves from
// one gateway to the other.
func TestCeilingIsLent(t *testing.T) {
	s := testSettings()
	var gs [2]*testGateway
	for i := range gs {
		s.Me = i
		gs[i] = newTestGateway(t, s, testServers(8))
	}
	type message struct {
		at       time.Duration
		from, to int
		data     []byte
	}
	var messages []message
	rng := rand.New(rand.NewPCG(3, 3))
	level, lowest, passed := 20.0, 20.0, 0
	const rounds, start = 10000, 2000 // of 4 ms
	for i := range rounds {
		level = min(20, level+10*0.004)
		busy := i / 2500 % 2
		for len(messages) > 0 && messages[0].at <= gs[0].now {
			gs[messages[0].to].do(PeerMessage{From: messages[0].from, Data: messages[0].data})
			messages = messages[1:]
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
						messages = append(messages, message{w.now + 36*ms, k, tell.To, tell.Data})
					}
				}
			}
		}
		lowest = min(lowest, level)
	}
	rate := float64(passed) / (float64(rounds-start) * 0.004)
	if rate < 7.5 {
		t.Errorf("%.1f units per second passed of a ceiling of 10, want 7.5 at least", rate)
	}
	if lowest < 0 {
		t.Errorf("the ceiling's bucket fell to %.1f units", lowest)
	}
}
