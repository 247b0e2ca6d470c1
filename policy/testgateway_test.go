package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testGateway runs one gateway step by step under a test's clock.
type testGateway struct {
	t      *testing.T
	g      *Gateway
	now    time.Duration
	lastID RequestID
}

func testSettings() Settings {
	return Settings{Me: 0, Gateways: 2, Zone: "a", Resolution: 2 * ms, MaxAttempts: 5, CanCancel: true,
		CanMessagePeers: true, MessagesPerSecond: 60, MaxRequestUnits: 4, MaxRetryAfter: 500 * ms,
		Classes: []Class{
			{Name: "safe", LatencyTarget: 800 * ms, Deadline: 3 * time.Second},
			{Name: "cell", LatencyTarget: 800 * ms, Deadline: 3 * time.Second, Effect: Keyed, DedupScope: DedupCell,
				DedupWindow: 2 * time.Second},
			{Name: "all", LatencyTarget: 800 * ms, Deadline: 3 * time.Second, Effect: Keyed, DedupWindow: 2 * time.Second},
			{Name: "once", LatencyTarget: 800 * ms, Deadline: 3 * time.Second, Effect: Unsafe},
			{Name: "stream", LatencyTarget: 800 * ms, Deadline: 3 * time.Second, Streaming: true},
		},
		Plans: []Plan{
			{Name: "free"},
			{Name: "rate", Rate: 10, Burst: 10},
			{Name: "open", MaxInFlight: 2},
			{Name: "hard", HardRate: 10, HardBurst: 20},
			{Name: "both", Rate: 10, Burst: 10, MaxInFlight: 2},
			{Name: "wide", Rate: 30, Burst: 60, MaxInFlight: 5},
		},
		AnswerGrace: 8 * ms, MinColdShare: 0.2, WarmupTime: 10 * time.Second, FailFactor: 2,
		FailTime: time.Second}
}

func testServers(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: ServerID(i + 1), Zone: "a", Cell: i / 2, Weight: 1})
	}
	return l
}

func newTestGateway(t *testing.T, s Settings, servers []Server) *testGateway {
	t.Helper()
	g, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	w := &testGateway{t: t, g: g, now: time.Second}
	w.do(ServerList{Kind: CachedList, Servers: servers})
	return w
}

func (w *testGateway) do(ev Event) []Action { return w.g.Handle(w.now, ev, nil) }

// advance moves the clock by d, with the gateway's ticks, and returns the actions.
func (w *testGateway) advance(d time.Duration) (acts []Action) {
	for end := w.now + d; w.now < end; {
		w.now += min(w.g.tickInterval, end-w.now)
		acts = append(acts, w.do(Timer{Token: "tick"})...)
	}
	return acts
}

// request makes a client's request and returns its ID and the resulting actions.
func (w *testGateway) request(class, plan, customer string, units float64) (RequestID, []Action) {
	w.lastID++
	return w.lastID, w.do(Request{ID: w.lastID, Customer: customer, Plan: plan, Class: class, Units: units,
		Remaining: 2 * time.Second, GatewayCount: 2})
}

// actionsOf returns the actions of type T.
func actionsOf[T Action](acts []Action) (l []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			l = append(l, x)
		}
	}
	return l
}

// finish reports the outcome of an attempt to the gateway.
func (w *testGateway) finish(s Send, attempt int, code Code) []Action {
	return w.do(Outcome{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: 50 * ms,
		ClientAnswered: code == OK})
}

// send makes a request that must be sent to a server at once, and returns that Send.
func (w *testGateway) send(class, plan string) Send {
	w.t.Helper()
	_, acts := w.request(class, plan, "c", 1)
	s := actionsOf[Send](acts)
	if len(s) != 1 {
		w.t.Fatalf("want one Send, got %v", acts)
	}
	return s[0]
}

// report gives the gateway a peer's report.
func (w *testGateway) report(from int, inc, seq uint32, complete bool, entries ...customerEntry) {
	m := report{incarnation: inc, seq: seq, complete: complete, customers: entries}
	w.do(PeerMessage{From: from, Data: m.encode()})
}

func hashOf(name string) uint32 {
	return shortHash(keyOf(name))
}

// requestMany makes n requests of one unit and returns how many were sent to a server.
func (w *testGateway) requestMany(n int, plan string) int {
	passed := 0
	for range n {
		_, acts := w.request("safe", plan, "c", 1)
		for _, s := range actionsOf[Send](acts) {
			passed++
			w.finish(s, 0, OK)
		}
	}
	return passed
}
