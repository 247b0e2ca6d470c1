package handover

import "time"

// Times of a leave. A divisor stands for the grace period divided by it.
const (
	acceptDivisor      = 2                       // connections are accepted for this part: by its end, clients know of the leave
	extraAcceptDivisor = 8                       // for this part longer at most if requests keep arriving
	serverDivisor      = 6                       // servers get a deadline at which this part is left
	finalizeDivisor    = 8                       // all open requests are answered when this part is left, whatever they wait for
	endDivisor         = 16                      // the proxy ends when this part is left
	quietPeriod        = 100 * time.Millisecond  // without a request, before the proxy goes on to the next stage
	ColdSendDelay      = 1150 * time.Millisecond // after NoColdSends, until other proxies may send to cold servers in its place
)

// Stage is a stage of a leave.
type Stage int

// The stages in their order. From the first one on, the proxy is not ready, and it closes each client connection after the
// next answer.
const (
	Unadvertised Stage = iota // answers to clients no longer contain the proxy; clients that know its address still connect
	NoColdSends               // it sends nothing to cold servers; other proxies may, ColdSendDelay later
	NotAccepting              // it accepts no connections, no longer uses its shares and hands them over
	Answering                 // the handover of its shares is over; it answers the requests in flight
	Finalizing                // it no longer waits for servers: it answers each request in flight from what is known of it
	Ended
)

// SurelyAccepts reports whether a proxy that began to leave this long ago certainly still accepts connections.
func SurelyAccepts(grace, elapsed time.Duration) bool { return elapsed < grace/acceptDivisor }

// LeaveInputs holds what a leave depends on besides the time.
type LeaveInputs struct {
	Connections      int           // open connections of clients
	SinceLastRequest time.Duration // time since the last request arrived
	HandoverDone     bool
}

// Leave is the state of a proxy's leave. Grace is the time limit of the whole leave.
type Leave struct {
	Grace time.Duration
	stage Stage
}

// ServerDeadline returns the time after the start of the leave by which servers are asked to finish. They answer by then
// themselves, so that no request is cut off while a server still works on it.
func (l *Leave) ServerDeadline() time.Duration { return l.Grace - l.Grace/serverDivisor }

// Stage returns the current stage.
func (l *Leave) Stage() Stage { return l.stage }

// Step changes to the next stage if that is due, at most once a call; elapsed is the time since the leave began. It returns
// the stage and whether it has changed. Each stage has a time limit, whatever answers are outstanding.
func (l *Leave) Step(elapsed time.Duration, inputs LeaveInputs) (Stage, bool) {
	previous, acceptTime := l.stage, l.Grace/acceptDivisor
	switch {
	case elapsed >= l.Grace-l.Grace/endDivisor:
		l.stage = Ended
	case previous < Finalizing && elapsed >= l.Grace-l.Grace/finalizeDivisor:
		l.stage = Finalizing
	case previous == Unadvertised && elapsed >= acceptTime-ColdSendDelay:
		l.stage = NoColdSends
	case previous == NoColdSends && elapsed >= acceptTime &&
		(inputs.SinceLastRequest >= quietPeriod || elapsed >= acceptTime+l.Grace/extraAcceptDivisor):
		l.stage = NotAccepting
	case previous == NotAccepting && inputs.HandoverDone:
		l.stage = Answering
	case previous >= Answering && inputs.Connections == 0 && inputs.SinceLastRequest >= quietPeriod:
		l.stage = Ended
	}
	return l.stage, l.stage != previous
}
