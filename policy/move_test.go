package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// moveFixture is a gateway of many services with two servers and one request at the first of them. The class's mean latency
// is short, so the attempt is overdue after some ticks.
type moveFixture struct {
	*testGateway
	request Request
	sent    Send
	servers []Server
}

// newMoveFixture sends a request of a class with so many tries at most.
func newMoveFixture(t *testing.T, class string, tries int, regions ...string) *moveFixture {
	f := &moveFixture{testGateway: newTestGateway(t, multiServiceSettings(), nil), servers: makeServers(2, "s")}
	f.servers[1].Region = "other"
	f.do(multiServiceConfig())
	f.do(GatewaySet{Gateways: 1})
	f.do(ServerList{Kind: CompleteList, Servers: f.servers[:1]})
	f.g.retryBudgets["s"] = 3
	f.lastID++
	f.request = Request{ID: f.lastID, Customer: "c", Class: class, Service: "s", Units: 1, Remaining: 1500 * ms, GatewayCount: 1,
		MaxAttempts: tries, Regions: regions}
	sends := actionsOf[Send](f.do(f.request))
	assert.Equal(t, len(sends), 1)
	f.sent = sends[0]
	f.do(ServerList{Kind: CompleteList, Servers: f.servers})
	return f
}

// other returns the gateway's state of the server that the request is not at.
func (f *moveFixture) other() *server { return f.g.servers[f.servers[1].ID] }

// cancelled lets the attempt become overdue and returns its cancellation.
func (f *moveFixture) cancelled() []Cancel { return actionsOf[Cancel](f.advance(600 * ms)) }

// end reports the end of an attempt and returns the server that gets the request next; 0: none. A final answer fails the test.
func (f *moveFixture) end(attempt int, at ServerID, code Code) ServerID {
	f.t.Helper()
	return f.nextServer(f.do(Outcome{ID: f.sent.ID, Attempt: attempt, Server: at, Code: code, Latency: 500 * ms}))
}

func (f *moveFixture) nextServer(acts []Action) ServerID {
	f.t.Helper()
	assert.Equal(f.t, len(actionsOf[Fail](acts))+len(actionsOf[Refuse](acts)), 0, "%v", acts)
	for _, s := range actionsOf[Send](acts) {
		return s.Server
	}
	return 0
}

// An overdue attempt is not broken off while no other server could take its request: such a request would only be failed.
func TestOverdueAttemptStaysWithoutAnotherServer(t *testing.T) {
	for name, c := range map[string]struct {
		class   string
		tries   int
		regions []string
		change  func(f *moveFixture)
		moves   int
	}{
		"another server":     {"safe", 2, nil, func(*moveFixture) {}, 1},
		"none":               {"safe", 2, nil, func(f *moveFixture) { f.do(ServerList{Kind: CompleteList, Servers: f.servers[:1]}) }, 0},
		"not in home region": {"safe", 2, []string{"r"}, func(*moveFixture) {}, 0},
		"draining or evacuated": {"safe", 2, nil, func(f *moveFixture) {
			f.servers[1].State = Draining
			f.do(ServerList{Kind: CompleteList, Servers: f.servers})
		}, 0},
		"full": {"safe", 2, nil, func(f *moveFixture) { f.other().fullUntil = time.Hour }, 0},
		"queue too long": {"safe", 2, nil, func(f *moveFixture) {
			f.other().Slots, f.other().inFlight = 1, 9
		}, 0},
		"cold without budget": {"safe", 2, nil, func(f *moveFixture) { f.other().ColdUntil = time.Hour }, 0},
		"not trusted": {"safe", 2, nil, func(f *moveFixture) {
			f.do(TrustUpdate{Servers: map[ServerID]Trust{f.servers[1].ID: {Level: TrialsOnly}}})
		}, 0},
		"tries used":        {"safe", 1, nil, func(*moveFixture) {}, 0},
		"budget used":       {"safe", 2, nil, func(f *moveFixture) { f.g.retryBudgets["s"] = 0.9 }, 0},
		"no time left":      {"safe", 2, nil, func(f *moveFixture) { f.g.requests[f.sent.ID].deadline = f.now }, 0},
		"may run only once": {"once", 2, nil, func(*moveFixture) {}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFixture(t, c.class, c.tries, c.regions...)
			c.change(f)
			assert.Equal(t, len(f.cancelled()), c.moves)
		})
	}
}

// An overdue attempt is moved once another server can take its request, also if none could at first.
func TestOverdueAttemptMovesWhenServerAppears(t *testing.T) {
	f := newMoveFixture(t, "safe", 2)
	f.other().fullUntil = f.now + 700*ms
	assert.Equal(t, len(f.cancelled()), 0)
	assert.Equal(t, len(f.cancelled()), 1)
	assert.Equal(t, f.end(0, f.sent.Server, Cancelled), f.servers[1].ID)
}

// What an attempt was cancelled for can't be lost to other requests before it ends: neither the place nor the retry.
func TestMoveKeepsPlaceAndRetry(t *testing.T) {
	f := newMoveFixture(t, "safe", 2)
	f.g.retryBudgets["s"] = 1
	f.other().Slots = 1
	assert.Equal(t, len(f.cancelled()), 1)
	assert.Equal(t, f.g.retryBudgets["s"], 0.0)
	assert.Equal(t, f.g.inFlightAt(f.other()), 1.0)
	assert.Equal(t, f.end(0, f.sent.Server, Cancelled), f.servers[1].ID)
	assert.Equal(t, f.g.inFlightAt(f.other()), 1.0)
}

// An attempt that ends with its answer after all returns what was kept for the other one.
func TestMoveThatIsNotMadeReturnsRetry(t *testing.T) {
	f := newMoveFixture(t, "safe", 2)
	assert.Equal(t, len(f.cancelled()), 1)
	f.do(Outcome{ID: f.sent.ID, Server: f.sent.Server, Code: OK, Latency: 500 * ms, ClientAnswered: true})
	assert.Equal(t, f.g.retryBudgets["s"], 3.0)
	assert.Equal(t, f.g.inFlightAt(f.other()), 0.0)
}

// A request whose attempt was cancelled gets a way back to the server that it left: if the other server goes away before the
// request is sent there, and if that server does not take it, also with its tries and the budget used.
func TestMovedRequestHasWayBack(t *testing.T) {
	f := newMoveFixture(t, "safe", 2)
	assert.Equal(t, len(f.cancelled()), 1)
	f.do(ServerList{Kind: CompleteList, Servers: f.servers[:1]})
	assert.Equal(t, f.end(0, f.sent.Server, Cancelled), f.sent.Server)

	for _, code := range []Code{Full, ConnectFailed} {
		f = newMoveFixture(t, "safe", 2)
		f.g.retryBudgets["s"] = 1
		assert.Equal(t, len(f.cancelled()), 1)
		assert.Equal(t, f.end(0, f.sent.Server, Cancelled), f.servers[1].ID)
		f.g.servers[f.sent.Server].fullUntil = f.now + 200*ms // that server is full for a moment
		assert.Equal(t, f.end(1, f.servers[1].ID, code), ServerID(0))
		assert.Equal(t, f.nextServer(f.advance(300*ms)), f.sent.Server, "%v", code)
		acts := f.finish(Send{ID: f.sent.ID, Server: f.sent.Server}, 2, Error)
		assert.Equal(t, len(actionsOf[Send](acts)), 0, "%v: back a second time", code)
	}
}

// Whatever servers, budgets and other requests do meanwhile: a repeatable request is cancelled only if it is sent again, as
// long as the server that it left keeps running; and no request is answered by the gateway while an attempt is in flight.
func TestCancelledAttemptIsFollowedByAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, err := New(multiServiceSettings(), rapid.Uint64().Draw(t, "seed"))
		assert.NilError(t, err)
		servers, now, lastID := makeServers(3, "s"), time.Second, RequestID(0)
		inFlight, attempts, left, deadlines := map[RequestID]Send{}, map[RequestID]int{}, map[RequestID]bool{}, map[RequestID]time.Duration{}
		var handle func(ev Event)
		handle = func(ev Event) {
			for _, a := range g.Handle(now, ev, nil) {
				switch a := a.(type) {
				case Send:
					inFlight[a.ID], left[a.ID] = a, false
					attempts[a.ID]++
				case Cancel:
					left[a.ID] = true
				case Refuse:
					_, sent := inFlight[a.ID]
					if sent || left[a.ID] && now < deadlines[a.ID]-3*multiServiceTick {
						t.Fatalf("%v: refused, in flight %v, cancelled %v", a, sent, left[a.ID])
					}
				case Fail:
					if _, sent := inFlight[a.ID]; sent {
						t.Fatalf("%v: failed in flight", a)
					}
				}
			}
		}
		for i := range servers {
			servers[i].Slots = rapid.IntRange(1, 4).Draw(t, "slots")
		}
		handle(ServerList{Kind: CompleteList, Servers: servers})
		handle(multiServiceConfig())
		handle(GatewaySet{Gateways: 1})
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				lastID++
				deadlines[lastID] = now + 1500*ms
				handle(Request{ID: lastID, Customer: "c", Class: rapid.SampledFrom([]string{"safe", "once"}).Draw(t, "class"), Service: "s",
					Units: 1, Remaining: 1500 * ms, GatewayCount: 1, MaxAttempts: rapid.IntRange(1, 3).Draw(t, "tries")})
			case 2: // servers but the first one leave and come back
				for i := range servers[1:] {
					servers[i+1].State = rapid.SampledFrom([]State{Running, Draining}).Draw(t, "state")
				}
				handle(ServerList{Kind: CompleteList, Servers: servers})
			default:
				handle(Timer{Token: "tick"})
			}
			for id := RequestID(1); id <= lastID; id++ {
				s, sent := inFlight[id]
				if !sent || !left[id] && rapid.IntRange(0, 9).Draw(t, "ends") > 0 {
					continue
				}
				code := Cancelled
				if !left[id] {
					code = rapid.SampledFrom([]Code{OK, OK, Full, ConnectFailed}).Draw(t, "code")
				}
				delete(inFlight, id)
				handle(Outcome{ID: id, Attempt: attempts[id] - 1, Server: s.Server, Code: code, ClientAnswered: code == OK})
			}
		}
	})
}
