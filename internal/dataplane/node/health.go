package node

import (
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/policy"
)

// lateTargetFactor is the multiple of the latency target beyond which a successful answer counts as late.
const lateTargetFactor = 4

// serverHealthState holds the observations of servers and the trust in them. It is owned by the loop.
type serverHealthState struct {
	recorder *serverhealth.Recorder // nil: nothing is recorded
	trust    map[policy.ServerID]policy.Trust
}

// StartHealthRecording begins to record how attempts end, under the name of this proxy.
func (e *ManagedNode) StartHealthRecording(name, zone string, life int64) {
	e.runOnLoop(func(l *loop) {
		e.health.recorder = serverhealth.NewRecorder(name, zone, life)
		l.onOutcome = e.recordOutcome
	})
}

// recorderNow returns the time for recorded observations, by the monotonic clock.
func (e *ManagedNode) recorderNow() time.Duration {
	c := e.node.loop.clock
	return c.Now().Sub(c.anchor)
}

// HealthReport returns the observations recorded after a number, at most maxObservations of them, and the number to pass the
// next time. The report is nil if nothing is recorded.
func (e *ManagedNode) HealthReport(after uint64, maxObservations int) (report *serverhealth.Report, next uint64) {
	e.runOnLoop(func(*loop) {
		if e.health.recorder != nil {
			report, next = e.health.recorder.ReportSince(e.recorderNow(), after, func(string) bool { return true })
		}
	})
	if report != nil {
		report.Sample(maxObservations)
	}
	return report, next
}

// MarkUnreliable records that the proxy itself is short of CPU time, cut off or leaving, so that its observations say little.
func (e *ManagedNode) MarkUnreliable() {
	e.runOnLoop(func(*loop) {
		if e.health.recorder != nil {
			e.health.recorder.MarkUnreliable(e.recorderNow())
		}
	})
}

// SetTrust sets how far servers are trusted, by their ids. A server that is left out is trusted. A server that is due for a
// trial gets one trial per call.
func (e *ManagedNode) SetTrust(servers map[string]policy.Trust) {
	e.runOnLoop(func(l *loop) {
		hadEntries := len(e.health.trust) > 0
		e.health.trust = make(map[policy.ServerID]policy.Trust, len(servers))
		for id, t := range servers {
			e.health.trust[serverID(id)] = t
		}
		if hadEntries || len(servers) > 0 {
			e.applyTrust(l)
		}
		for id, t := range e.health.trust {
			t.Trial = false // a trial is passed on only once
			e.health.trust[id] = t
		}
	})
}

// applyTrust passes the trust in servers to the policy package.
func (e *ManagedNode) applyTrust(l *loop) { l.decide(policy.TrustUpdate{Servers: e.health.trust}) }

// recordOutcome records how an attempt ended, if that says anything about its server.
func (e *ManagedNode) recordOutcome(o outcome) {
	observed, known := serverOutcome(&o, e.node.loop.clock.now())
	if id := e.node.upstream.uid(o.attempt.server); known && id != "" {
		kind := serverhealth.AtMostOnce
		if o.request.effect == policy.Safe {
			kind = serverhealth.Repeatable
		}
		e.health.recorder.Add(e.recorderNow(), id, kind, serverhealth.Group(o.request.managed.tenant), observed)
	}
}

// serverOutcome returns what the end of an attempt says about its server, and false if it says nothing.
func serverOutcome(o *outcome, now time.Duration) (serverhealth.Outcome, bool) {
	target := o.request.class.LatencyTarget
	switch {
	case o.clientFault != nil || o.End == verdict.InvalidRequest: // the client caused it
		return 0, false
	case o.isStreamed && !o.isComplete && o.End == verdict.Served: // the client disconnected or reads too slowly
		return 0, false
	}
	switch o.Code() {
	case policy.OK:
		if took := max(o.latency, 0); took > lateTargetFactor*target || took == 0 && now-o.attempt.requestedAt > lateTargetFactor*target {
			return serverhealth.Late, true
		}
		return serverhealth.Confirmed, true
	case policy.Full:
		return serverhealth.Rejected, true
	case policy.TimedOut, policy.Reset, policy.Error:
		if o.sawForeignAnswers {
			return serverhealth.WrongID, true
		}
		// With less time than usual, any server may fail to answer in time.
		return serverhealth.Unclear, o.End != verdict.TimedOut || o.attempt.deadline-o.attempt.requestedAt >= target
	case policy.Cancelled:
		// The attempt was cancelled because it was overdue, unless its client had disconnected.
		return serverhealth.Late, o.request.pendingAnswer == nil && !o.isStreamed && !o.cannotRepeat
	}
	return 0, false
}
