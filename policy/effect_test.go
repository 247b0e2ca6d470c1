package policy

import "testing"

// The stricter of a request's own effect and that of its class decides whether it is retried, and how it is
// refused, after an attempt that may have run.
func TestStricterEffectDecides(t *testing.T) {
	for _, c := range []struct {
		class   string
		effect  Effect
		retried bool // whether it is sent again after a broken connection
	}{
		{"safe", Safe, true}, {"safe", Unsafe, false}, {"all", Safe, true}, {"all", Unsafe, false},
		{"cell", Safe, true}, {"cell", Unsafe, false}, {"once", Safe, false}, {"once", Keyed, false},
	} {
		w := newTestGateway(t, testSettings(), testServers(8))
		acts := w.do(Request{ID: 1, Customer: "1", Plan: "free", Class: c.class, Units: 1, Remaining: 2e9, GatewayCount: 1, Effect: c.effect})
		sent := findActions[Send](acts)
		if len(sent) != 1 {
			t.Fatalf("%s with %d: %v", c.class, c.effect, acts)
		}
		w.now += 5 * ms
		acts = w.do(Outcome{ID: 1, Server: sent[0].Server, Code: Reset, Latency: 5 * ms})
		if got := len(findActions[Send](acts)) == 1; got != c.retried {
			t.Errorf("%s with %d: sent again %v, want %v: %v", c.class, c.effect, got, c.retried, acts)
		}
		if !c.retried && (len(findActions[Fail](acts)) != 1 || len(findActions[Refuse](acts)) != 0) {
			t.Errorf("%s with %d: %v, want a failure, since it may have run", c.class, c.effect, acts)
		}
	}
}

// findActions returns the actions of type A.
func findActions[A Action](acts []Action) (list []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			list = append(list, a)
		}
	}
	return list
}
