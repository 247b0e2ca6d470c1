package node

import (
	"container/heap"
	"log/slog"

	"pepperfall.example/pepperfall/policy"
)

// decide hands an event to the module and carries out what it wants done.
func (l *loop) decide(ev policy.Event) {
	l.queue = append(l.queue[:0], ev)
	for i := 0; i < len(l.queue); i++ {
		l.acts = l.gateway.Handle(l.clock.now(), l.queue[i], l.acts[:0])
		for _, a := range l.acts {
			l.execute(a)
		}
	}
}

func (l *loop) execute(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.send(a)
	case policy.Cancel:
		if c := l.calls[a.ID]; c != nil && c.inFlight != nil && c.inFlight.num == a.Attempt {
			c.inFlight.recall()
		}
	case policy.Refuse:
		if c := l.calls[a.ID]; c != nil {
			l.finish(c, command{refused: true, retryAfter: a.RetryAfter, overQuota: a.OverQuota})
		}
	case policy.Fail:
		if c := l.calls[a.ID]; c != nil {
			l.finish(c, command{})
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{at: l.clock.now() + max(0, a.After), token: a.Token})
	case policy.SendPeer:
		if l.tell != nil {
			l.tell(a.To, a.Data)
		}
	case policy.Watch:
		// The list is watched from the start, asked for or not.
	case policy.OfferUnits:
		if l.give != nil {
			l.give(a)
		}
	case policy.Log:
		slog.Info(a.Text)
	}
}

func (l *loop) send(s policy.Send) {
	c, now := l.calls[s.ID], l.clock.now()
	moot := policy.Outcome{ID: s.ID, Server: s.Server, Code: policy.NoRetry, Final: c == nil}
	if c != nil {
		moot.Attempt = c.attempts
		c.attempts++
	}
	if c == nil || c.inFlight != nil || c.pendingAnswer != nil || now >= c.answerBy {
		l.queue = append(l.queue, moot)
		return
	}
	a := &attempt{id: s.ID, num: c.attempts - 1, server: s.Server, sent: now, deadline: c.answerBy}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	a.writeBy, a.once = a.deadline, c.effect == policy.Unsafe
	if c.mayHaveRunSince > 0 && c.effect == policy.Keyed {
		a.writeBy = min(a.writeBy, c.mayHaveRunSince+c.class.DedupWindow)
	}
	c.inFlight = a
	c.commands <- command{attempt: a}
}
