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
			l.act(a)
		}
	}
}

func (l *loop) act(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.send(a)
	case policy.Cancel:
		if c := l.calls[a.ID]; c != nil && c.out != nil && c.out.num == a.Attempt {
			c.out.recall()
		}
	case policy.Refuse:
		if c := l.calls[a.ID]; c != nil {
			l.finish(c, command{refuse: true, retryAfter: a.RetryAfter, over: a.OverQuota})
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
	if c == nil || c.out != nil || c.final != nil || now >= c.due {
		l.queue = append(l.queue, moot)
		return
	}
	a := &attempt{id: s.ID, num: c.attempts - 1, server: s.Server, sent: now, deadline: c.due}
	if s.Timeout > 0 {
		a.deadline = min(a.deadline, now+s.Timeout)
	}
	a.writeBy, a.once = a.deadline, c.effect == policy.Unsafe
	if c.ranAt > 0 && c.effect == policy.Keyed {
		a.writeBy = min(a.writeBy, c.ranAt+c.class.DedupWindow)
	}
	c.out = a
	c.cmd <- command{attempt: a}
}
