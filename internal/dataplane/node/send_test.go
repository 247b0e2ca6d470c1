package node

import (
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// loopWithRequest makes a loop with one open request of a class with a deduplication window.
func loopWithRequest(t *testing.T) (*loop, *openRequest, time.Duration) {
	t.Helper()
	cfg := testConfig(t, "127.0.0.1:1")
	g, err := policy.New(cfg.Settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	clk := newClock(world.Real{})
	l := newLoop(clk, g, nil)
	now := clk.now()
	c := &openRequest{Request: policy.Request{ID: 1}, class: &policy.Class{Name: "loan", Effect: policy.Keyed, DedupWindow: 2 * time.Second}, effect: policy.Keyed,
		answerBy: now + 10*time.Second, deadline: now + 10*time.Second, commands: make(chan command, 1)}
	l.requests[1] = c
	return l, c, now
}

// A repeat of an attempt that may have run must be written while the servers still recognize the key. Their window
// counts from when the first attempt was asked for.
func TestKeyedRepeatMustBeWrittenWithinWindow(t *testing.T) {
	l, c, now := loopWithRequest(t)
	l.sendAttempt(policy.Send{ID: 1, Server: 1})
	if a := (<-c.commands).attempt; a.repeatBy != c.answerBy {
		t.Errorf("first attempt: repeatBy is %v, want the deadline, %v", a.repeatBy-now, c.answerBy-now)
	}
	c.inFlight, c.mayHaveRunSince = nil, now-time.Second
	l.sendAttempt(policy.Send{ID: 1, Server: 1})
	if a := (<-c.commands).attempt; a.repeatBy != c.mayHaveRunSince+2*time.Second || a.deadline != c.answerBy {
		t.Errorf("repeat: repeatBy is %v and the deadline %v, want 1s and %v", a.repeatBy-now, a.deadline-now, c.answerBy-now)
	}
	c.inFlight, c.class, c.effect = nil, &policy.Class{Name: "lookup"}, policy.Safe
	l.sendAttempt(policy.Send{ID: 1, Server: 1})
	if a := (<-c.commands).attempt; a.repeatBy != c.answerBy {
		t.Errorf("safe request: repeatBy is %v, want the deadline", a.repeatBy-now)
	}
}

// Nothing is sent once the final answer is decided, while another attempt is in flight, or when no time is left. The
// policy gets an outcome that says so.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	for name, block := range map[string]func(*openRequest, time.Duration){
		"answer decided":    func(c *openRequest, _ time.Duration) { c.pendingAnswer = &command{} },
		"attempt in flight": func(c *openRequest, _ time.Duration) { c.inFlight = &attempt{} },
		"deadline passed":   func(c *openRequest, now time.Duration) { c.answerBy = now },
	} {
		l, c, now := loopWithRequest(t)
		block(c, now)
		l.sendAttempt(policy.Send{ID: 1, Server: 1})
		select {
		case cmd := <-c.commands:
			t.Errorf("%s: still sent: %+v", name, cmd)
		default:
		}
		if o, ok := l.queue[0].(policy.Outcome); len(l.queue) != 1 || !ok || o.Code != policy.NoRetry {
			t.Errorf("%s: the policy gets %+v, want one outcome that it is not to be retried", name, l.queue)
		}
	}
}

// The deduplication window of a keyed request begins with the first attempt that may have run. If a repeat restarted
// it, a third attempt could arrive after the servers have forgotten the first, and run twice.
func TestWindowBeginsWithTheFirstThatMayHaveRun(t *testing.T) {
	l, c, now := loopWithRequest(t)
	c.commands = make(chan command, 8)
	l.endTestAttempt(c, now-900*time.Millisecond, verdict.Unsent)
	if c.mayHaveRunSince != 0 {
		t.Fatalf("an attempt that never ran started the window at %v", c.mayHaveRunSince)
	}
	first := now - 800*time.Millisecond
	l.endTestAttempt(c, first, verdict.Broken)
	l.endTestAttempt(c, now-300*time.Millisecond, verdict.Broken)
	if c.mayHaveRunSince != first {
		t.Fatalf("the window started %v after the first attempt that may have run", c.mayHaveRunSince-first)
	}
	l.sendAttempt(policy.Send{ID: 1, Server: 1})
	if a := (<-c.commands).attempt; a.repeatBy != first+2*time.Second {
		t.Errorf("third attempt: repeatBy is %v after the first, want 2 s", a.repeatBy-first)
	}
}

// endTestAttempt ends an attempt that was asked for at the given time.
func (l *loop) endTestAttempt(c *openRequest, sent time.Duration, end verdict.End) {
	c.inFlight = &attempt{id: c.ID, number: c.attempts, server: 1, requestedAt: sent}
	c.attempts++
	l.endAttempt(outcome{request: c, attempt: c.inFlight, result: endedResult(end, nil)})
}
