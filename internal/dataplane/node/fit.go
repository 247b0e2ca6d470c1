package node

import (
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/policy"
)

// lateTargetFactor is after how many of its aims a confirmed answer counts as late.
const lateTargetFactor = 4

// serverHealthState is what an estate notes of servers, and how far they are trusted; the loop's.
type serverHealthState struct {
	recorder *serverhealth.Recorder // nil: nothing is noted
	trust    map[policy.ServerID]policy.Trust
}

// StartHealthRecording has the edge node note how attempts end, under a name of its own.
func (e *ManagedNode) StartHealthRecording(name, zone string, life int64) {
	e.runOnLoop(func(l *loop) {
		e.health.recorder = serverhealth.NewRecorder(name, zone, life)
		l.onOutcome = e.recordOutcome
	})
}

// recorderNow is the clock of what is noted.
func (e *ManagedNode) recorderNow() time.Duration {
	c := e.node.loop.clock
	return c.Now().Sub(c.anchor)
}

// HealthReport is what was noted after a number, at most so many observations of it, and the number to ask from the next time; nil
// where nothing is noted.
func (e *ManagedNode) HealthReport(after uint64, most int) (s *serverhealth.Report, next uint64) {
	e.runOnLoop(func(*loop) {
		if e.health.recorder != nil {
			s, next = e.health.recorder.Tell(e.recorderNow(), after, func(string) bool { return true })
		}
	})
	if s != nil {
		s.Thin(most)
	}
	return s, next
}

// MarkUnreliable notes that the edge node itself is starved, cut off or leaving.
func (e *ManagedNode) MarkUnreliable() {
	e.runOnLoop(func(*loop) {
		if e.health.recorder != nil {
			e.health.recorder.Ill(e.recorderNow())
		}
	})
}

// SetTrust takes over how far servers are trusted, by their ids; one that is left out is trusted. Whoever may be tried
// may be so once.
func (e *ManagedNode) SetTrust(servers map[string]policy.Trust) {
	e.runOnLoop(func(l *loop) {
		was := len(e.health.trust) > 0
		e.health.trust = make(map[policy.ServerID]policy.Trust, len(servers))
		for id, t := range servers {
			e.health.trust[serverID(id)] = t
		}
		if was || len(servers) > 0 {
			e.applyTrust(l)
		}
		for id, t := range e.health.trust {
			t.Trial = false // told once
			e.health.trust[id] = t
		}
	})
}

// applyTrust tells the module how far servers are trusted.
func (e *ManagedNode) applyTrust(l *loop) { l.decide(policy.TrustUpdate{Servers: e.health.trust}) }

// recordOutcome notes how an attempt ended, where that says anything of its server.
func (e *ManagedNode) recordOutcome(o outcome) {
	out, says := serverOutcome(&o, e.node.loop.clock.now())
	if id := e.node.upstream.uid(o.attempt.server); says && id != "" {
		kind := serverhealth.Record
		if o.request.effect == policy.Safe {
			kind = serverhealth.Search
		}
		e.health.recorder.Add(e.recorderNow(), id, kind, serverhealth.Group(o.request.managed.tenant), out)
	}
}

// serverOutcome is what the end of an attempt says of its server; false: nothing.
func serverOutcome(o *outcome, now time.Duration) (serverhealth.Outcome, bool) {
	aim := o.request.class.LatencyTarget
	switch {
	case o.clientFault != nil || o.End == verdict.Unfit: // the client's fault
		return 0, false
	case o.isStreamed && !o.isComplete && o.End == verdict.Served: // and here, who has gone or reads too slowly
		return 0, false
	}
	switch o.Code() {
	case policy.OK:
		if took := max(o.latency, 0); took > lateTargetFactor*aim || took == 0 && now-o.attempt.requestedAt > lateTargetFactor*aim {
			return serverhealth.Late, true
		}
		return serverhealth.Confirmed, true
	case policy.Full:
		return serverhealth.TurnedAway, true
	case policy.TimedOut, policy.Reset, policy.Error:
		if o.hasStrayAnswers {
			return serverhealth.WrongID, true
		}
		// Who was given less time than is usual may find any server silent.
		return serverhealth.Unclear, o.End != verdict.Silent || o.attempt.deadline-o.attempt.requestedAt >= aim
	case policy.Cancelled:
		// It was called back since it was overdue, unless its client had gone.
		return serverhealth.Late, o.request.pendingAnswer == nil && !o.isStreamed && !o.cannotRepeat
	}
	return 0, false
}
