package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testGateway runs one gateway step by step under a test's clock.
type world struct {
	t   *testing.T
	g   *Gateway
	now time.Duration
	ids RequestID
}

func base() Settings {
	return Settings{Me: 0, Gateways: 2, Zone: "a", Resolution: 2 * ms, MaxAttempts: 5, CanCancel: true,
		CanTell: true, MailPerSecond: 60, LargestUnits: 4, MaxRetryAfter: 500 * ms,
		Classes: []Class{
			{Name: "safe", Aim: 800 * ms, Deadline: 3 * time.Second},
			{Name: "cell", Aim: 800 * ms, Deadline: 3 * time.Second, Effect: Keyed, Group: GroupCell,
				Window: 2 * time.Second},
			{Name: "all", Aim: 800 * ms, Deadline: 3 * time.Second, Effect: Keyed, Window: 2 * time.Second},
			{Name: "once", Aim: 800 * ms, Deadline: 3 * time.Second, Effect: Unsafe},
			{Name: "stream", Aim: 800 * ms, Deadline: 3 * time.Second, Stream: true},
		},
		Plans: []Plan{
			{Name: "free"},
			{Name: "rate", Rate: 10, Burst: 10},
			{Name: "open", Open: 2},
			{Name: "hard", HardRate: 10, HardBurst: 20},
			{Name: "both", Rate: 10, Burst: 10, Open: 2},
			{Name: "wide", Rate: 30, Burst: 60, Open: 5},
		},
		AnswerSlack: 8 * ms, ColdShare: 0.2, WarmWithin: 10 * time.Second, FallMultiple: 2,
		FallTime: time.Second}
}

func fleet(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: ServerID(i + 1), Zone: "a", Cell: i / 2, Weight: 1})
	}
	return l
}

func newWorld(t *testing.T, s Settings, servers []Server) *world {
	t.Helper()
	g, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, g: g, now: time.Second}
	w.do(Members{Kind: Remembered, Servers: servers})
	return w
}

func (w *world) do(ev Event) []Action { return w.g.Handle(w.now, ev, nil) }

// advance moves the clock by d, with the gateway's ticks, and returns the actions.
func (w *world) pass(d time.Duration) (acts []Action) {
	for end := w.now + d; w.now < end; {
		w.now += min(w.g.tick, end-w.now)
		acts = append(acts, w.do(Timer{Token: "tick"})...)
	}
	return acts
}

// request makes a client's request and returns its ID and the resulting actions.
func (w *world) ask(class, plan, customer string, units float64) (RequestID, []Action) {
	w.ids++
	return w.ids, w.do(Request{ID: w.ids, Customer: customer, Plan: plan, Class: class, Units: units,
		Remaining: 2 * time.Second, Spread: 2})
}

// actionsOf returns the actions of type T.
func of[T Action](acts []Action) (l []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			l = append(l, x)
		}
	}
	return l
}

// finish reports the outcome of an attempt to the gateway.
func (w *world) end(s Send, attempt int, code Code) []Action {
	return w.do(Outcome{ID: s.ID, Attempt: attempt, Server: s.Server, Code: code, Latency: 50 * ms,
		Over: code == OK})
}

// send makes a request that must be sent to a server at once, and returns that Send.
func (w *world) send(class, plan string) Send {
	w.t.Helper()
	_, acts := w.ask(class, plan, "c", 1)
	s := of[Send](acts)
	if len(s) != 1 {
		w.t.Fatalf("want one Send, got %v", acts)
	}
	return s[0]
}

// report gives the gateway a peer's report.
func (w *world) hear(from int, inc, seq uint32, complete bool, entries ...entry) {
	m := report{inc: inc, seq: seq, complete: complete, customers: entries}
	w.do(PeerMessage{From: from, Data: m.encode()})
}

func hashOf(name string) uint32 {
	return shortOf(keyOf(name))
}

// requestMany makes n requests of one unit and returns how many were sent to a server.
func (w *world) spend(n int, plan string) int {
	passed := 0
	for range n {
		_, acts := w.ask("safe", plan, "c", 1)
		for _, s := range of[Send](acts) {
			passed++
			w.end(s, 0, OK)
		}
	}
	return passed
}
