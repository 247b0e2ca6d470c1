package node

import (
	"container/heap"
	"log/slog"

	"pepperfall.example/pepperfall/policy"
)

// decide passes an event to the policy gateway and carries out the actions that it returns. Events that those actions cause
// are handled before decide returns.
func (l *loop) decide(ev policy.Event) {
	l.queue = append(l.queue[:0], ev)
	for i := 0; i < len(l.queue); i++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.queue[i], l.actions[:0])
		for _, a := range l.actions {
			l.execute(a)
		}
	}
}

// execute carries out one action of the policy gateway.
func (l *loop) execute(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.sendAttempt(a)
	case policy.Cancel:
		if c := l.requests[a.ID]; c != nil && c.inFlight != nil && c.inFlight.number == a.Attempt {
			c.inFlight.cancelIfNotPinned()
		}
	case policy.Refuse:
		if c := l.requests[a.ID]; c != nil {
			l.finish(c, command{refused: true, retryAfter: a.RetryAfter, overQuota: a.OverQuota})
		}
	case policy.Fail:
		if c := l.requests[a.ID]; c != nil {
			l.finish(c, command{})
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{at: l.clock.now() + max(0, a.After), token: a.Token})
	case policy.SendPeer:
		if l.sendPeer != nil {
			l.sendPeer(a.To, a.Data)
		}
	case policy.Watch:
		// The server list is watched from the start, whether or not the gateway asks for it.
	case policy.OfferUnits:
		if l.onUnitsOffered != nil {
			l.onUnitsOffered(a)
		}
	case policy.Log:
		slog.Info(a.Text)
	}
}

// sendAttempt starts an attempt. If the request is no longer open, already has an attempt in flight or a decided answer, or
// is past its deadline, nothing is sent and the gateway receives an outcome without a retry.
func (l *loop) sendAttempt(s policy.Send) {
	c, now := l.requests[s.ID], l.clock.now()
	notSent := policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.NoRetry, ClientAnswered: c == nil}
	if c != nil {
		notSent.Attempt = c.attempts
		c.attempts++
	}
	if c == nil || c.inFlight != nil || c.pendingAnswer != nil || now >= c.answerBy {
		l.queue = append(l.queue, notSent)
		return
	}
	a := &attempt{id: s.ID, number: c.attempts - 1, server: s.Server, requestedAt: now, sendBy: c.answerBy, deadline: c.deadline,
		atMostOnce: c.effect == policy.Unsafe}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
		a.sendBy = min(a.sendBy, a.deadline)
	}
	a.repeatBy = a.sendBy
	if c.mayHaveRunSince > 0 && c.effect == policy.Keyed {
		a.repeatBy = min(a.repeatBy, c.mayHaveRunSince+c.class.DedupWindow)
	}
	c.inFlight = a
	c.commands <- command{attempt: a}
}
