package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestFurtherAttempts(t *testing.T) {
	const (
		again = iota
		refused
		failed
	)
	for _, c := range []struct {
		class string
		code  Code
		want  int
	}{
		{"safe", Error, again}, {"safe", TimedOut, again}, {"safe", NoRetry, refused},
		{"once", Error, failed}, {"once", TimedOut, failed}, {"once", Full, again},
		{"once", ConnectFailed, again}, {"once", Reset, failed}, {"once", NoRetry, refused},
		{"cell", Error, again}, {"cell", Full, again}, {"all", Reset, again},
	} {
		t.Run(fmt.Sprint(c.class, c.code), func(t *testing.T) {
			w := newTestGateway(t, testSettings(), testServers(4))
			s := w.send(c.class, "free")
			w.now += 20 * ms
			acts := w.finish(s, 0, c.code)
			sends, ref, fail := actionsOf[Send](acts), actionsOf[Refuse](acts), actionsOf[Fail](acts)
			got := -1
			switch {
			case len(sends) == 1 && len(ref)+len(fail) == 0:
				got = again
			case len(ref) == 1 && len(sends)+len(fail) == 0:
				got = refused
			case len(fail) == 1 && len(sends)+len(ref) == 0:
				got = failed
			}
			if got != c.want {
				t.Fatalf("got %v", acts)
			}
			if got == again && c.class == "cell" && !c.code.NeverRan() &&
				(sends[0].Server-1)/2 != (s.Server-1)/2 {
				t.Fatalf("the retry left the cell: %v then %v", s, sends[0])
			}
			if got == again && sends[0].Server == s.Server {
				t.Fatal("the retry went to the server that just failed")
			}
		})
	}
}

func TestKeyedOutsideWindowFails(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(4))
	w.lastID++
	acts := w.do(Request{ID: w.lastID, Customer: "c", Plan: "free", Class: "cell", Units: 1,
		Remaining: 5 * time.Second, GatewayCount: 2})
	s := actionsOf[Send](acts)[0]
	w.now += 2100 * ms
	acts = w.finish(s, 0, Error)
	if len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Send](acts))+len(actionsOf[Refuse](acts)) != 0 {
		t.Fatalf("a keyed request outside its window did not fail: %v", acts)
	}
}

// Every request gets exactly one final answer before its deadline, although the servers answer none.
func TestOneFinalAnswerInTime(t *testing.T) {
	for _, plan := range []string{"free", "rate", "open", "hard", "both"} {
		for _, remaining := range []time.Duration{10 * ms, 60 * ms, 300 * ms, 2 * time.Second} {
			w := newTestGateway(t, testSettings(), testServers(2))
			w.advance(time.Second)
			deadlines := map[RequestID]time.Duration{}
			inFlight := map[RequestID]Send{}
			tries := map[RequestID]int{}
			var handle func(acts []Action)
			handle = func(acts []Action) {
				for _, a := range acts {
					switch a := a.(type) {
					case Send:
						if _, ok := deadlines[a.ID]; !ok {
							t.Fatalf("%v after its final answer", a)
						}
						if _, second := inFlight[a.ID]; second {
							t.Fatalf("two attempts in flight: %v", a)
						}
						inFlight[a.ID] = a
						tries[a.ID]++
					case Cancel:
						s := inFlight[a.ID]
						delete(inFlight, a.ID)
						handle(w.do(Outcome{ID: a.ID, Attempt: a.Attempt, Server: s.Server, Code: Cancelled}))
					case Refuse, Fail:
						id := RequestID(reflect.ValueOf(a).FieldByName("ID").Uint())
						if _, ok := deadlines[id]; !ok {
							t.Fatalf("second final answer: %v", a)
						}
						delete(deadlines, id)
					}
				}
			}
			for i := 0; i < 1500; i++ {
				w.now += 2 * ms
				if i < 200 && i%4 == 0 {
					w.lastID++
					deadlines[w.lastID] = w.now + remaining
					handle(w.do(Request{ID: w.lastID, Customer: "c", Plan: plan, Class: "safe", Units: 1,
						Remaining: remaining, GatewayCount: 2}))
				}
				if w.now-w.g.lastTick >= w.g.tickInterval {
					handle(w.do(Timer{Token: "tick"}))
				}
				for id := RequestID(1); id <= w.lastID; id++ {
					deadline, pending := deadlines[id]
					s, sent := inFlight[id]
					if pending && sent && w.now >= deadline {
						delete(inFlight, id)
						handle(w.do(Outcome{ID: id, Attempt: tries[id] - 1, Server: s.Server, Code: TimedOut}))
					}
					if _, unanswered := deadlines[id]; unanswered && w.now > deadline+8*ms {
						t.Fatalf("%s, %v: request %d has no answer by its deadline", plan, remaining, id)
					}
				}
			}
			if len(deadlines) > 0 {
				t.Fatalf("%d requests never answered", len(deadlines))
			}
		}
	}
}

func TestStreamIsNotCancelled(t *testing.T) {
	w := newTestGateway(t, testSettings(), testServers(1))
	s := w.send("stream", "free")
	w.do(Started{ID: s.ID, Server: s.Server})
	if acts := w.advance(10 * time.Second); len(actionsOf[Cancel](acts))+len(actionsOf[Fail](acts))+len(actionsOf[Refuse](acts)) > 0 {
		t.Fatal("a stream that had begun was ended")
	}
}
