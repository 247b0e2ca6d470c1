package node

import (
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/policy"
)

// lateAims is after how many of its aims a confirmed answer counts as late.
const lateAims = 4

// fit is what an estate notes of servers, and how far they are trusted; the loop's.
type fit struct {
	recorder *serverhealth.Recorder // nil: nothing is noted
	trusts   map[policy.ServerID]policy.Trust
}

// Note has the edge node note how attempts end, under a name of its own.
func (e *Estate) Note(name, zone string, life int64) {
	e.in(func(l *loop) {
		e.fit.recorder = serverhealth.NewRecorder(name, zone, life)
		l.note = e.note
	})
}

// steady is the clock of what is noted.
func (e *Estate) steady() time.Duration {
	c := e.node.loop.clock
	return c.Now().Sub(c.anchor)
}

// Noted is what was noted after a number, at most so many observations of it, and the number to ask from the next time; nil
// where nothing is noted.
func (e *Estate) Noted(after uint64, most int) (s *serverhealth.Report, next uint64) {
	e.in(func(*loop) {
		if e.fit.recorder != nil {
			s, next = e.fit.recorder.Tell(e.steady(), after, func(string) bool { return true })
		}
	})
	if s != nil {
		s.Thin(most)
	}
	return s, next
}

// Ill notes that the edge node itself is starved, cut off or leaving.
func (e *Estate) Ill() {
	e.in(func(*loop) {
		if e.fit.recorder != nil {
			e.fit.recorder.Ill(e.steady())
		}
	})
}

// Trust takes over how far servers are trusted, by their ids; one that is left out is trusted. Whoever may be tried
// may be so once.
func (e *Estate) Trust(servers map[string]policy.Trust) {
	e.in(func(l *loop) {
		was := len(e.fit.trusts) > 0
		e.fit.trusts = make(map[policy.ServerID]policy.Trust, len(servers))
		for id, t := range servers {
			e.fit.trusts[serverID(id)] = t
		}
		if was || len(servers) > 0 {
			e.trusts(l)
		}
		for id, t := range e.fit.trusts {
			t.Trial = false // told once
			e.fit.trusts[id] = t
		}
	})
}

// trusts tells the module how far servers are trusted.
func (e *Estate) trusts(l *loop) { l.decide(policy.TrustUpdate{Servers: e.fit.trusts}) }

// note notes how an attempt ended, where that says anything of its server.
func (e *Estate) note(o outcome) {
	out, says := outcomeOf(&o, e.node.loop.clock.now())
	if id := e.node.upstream.uid(o.attempt.server); says && id != "" {
		kind := serverhealth.Record
		if o.request.effect == policy.Safe {
			kind = serverhealth.Search
		}
		e.fit.recorder.Add(e.steady(), id, kind, serverhealth.Group(o.request.managed.tenant), out)
	}
}

// outcomeOf is what the end of an attempt says of its server; false: nothing.
func outcomeOf(o *outcome, now time.Duration) (serverhealth.Outcome, bool) {
	aim := o.request.class.LatencyTarget
	switch {
	case o.fault != nil || o.End == verdict.Unfit: // the client's fault
		return 0, false
	case o.begun && !o.whole && o.End == verdict.Served: // and here, who has gone or reads too slowly
		return 0, false
	}
	switch o.Code() {
	case policy.OK:
		if took := max(o.latency, 0); took > lateAims*aim || took == 0 && now-o.attempt.sent > lateAims*aim {
			return serverhealth.Late, true
		}
		return serverhealth.Confirmed, true
	case policy.Full:
		return serverhealth.TurnedAway, true
	case policy.TimedOut, policy.Reset, policy.Error:
		if o.stray {
			return serverhealth.WrongID, true
		}
		// Who was given less time than is usual may find any server silent.
		return serverhealth.Unclear, o.End != verdict.Silent || o.attempt.deadline-o.attempt.sent >= aim
	case policy.Cancelled:
		// It was called back since it was overdue, unless its client had gone.
		return serverhealth.Late, o.request.pendingAnswer == nil && !o.begun && !o.spent
	}
	return 0, false
}
