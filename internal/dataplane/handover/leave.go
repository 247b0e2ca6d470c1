package handover

import "time"

// Parts of the grace, and times, of a leave.
const (
	acceptDivisor      = 2                      // the door shuts after this part of the grace: clients know of it by then
	extraAcceptDivisor = 8                      // and this part later also where requests go on coming
	serverDivisor      = 6                      // this part is left when servers are told to have ended what is sent to them meanwhile
	finalizeDivisor    = 8                      // this part is left when what is open is answered, whatever it waits for
	endDivisor         = 16                     // and this when all ends
	quietPeriod        = 100 * time.Millisecond // nothing has come for so long
	ColdSendDelay      = 1150 * time.Millisecond
)

// Stage is how far a leave has come.
type Stage int

// The stages in their order. Unfound and unchosen begin together: the proxy is not ready, and each answer is its
// connection's last.
const (
	Unadvertised Stage = iota // clients are not told of it any more; those that know it come
	NoColdSends               // it sends nothing to cold servers: others may, ColdSendDelay later
	NotAccepting              // it accepts no connections; it no longer uses its shares, and transfers them to others
	Answering                 // its shares are nobody's or others'; what is out is answered
	Finalizing                // nothing that is out is waited for any more: it is answered with what is known of it
	Ended
)

// SurelyAccepts tells whether a proxy that began to leave this long ago surely still accepts connections.
func SurelyAccepts(grace, past time.Duration) bool { return past < grace/acceptDivisor }

// LeaveInputs are the inputs of a leave.
type LeaveInputs struct {
	Connections      int           // clients' connections
	SinceLastRequest time.Duration // since a request last came
	HandoverDone     bool          // the handover is done
}

// Leave is the state of a proxy's leave.
type Leave struct {
	Grace time.Duration
	stage Stage
}

// ServerDeadline is how long after its begin servers are told to have ended: they answer themselves then, and nothing at which
// they are still at work is broken off.
func (l *Leave) ServerDeadline() time.Duration { return l.Grace - l.Grace/serverDivisor }

// Stage returns the stage that the leave is in.
func (l *Leave) Stage() Stage { return l.stage }

// Step goes on to the next stage if that is due, by one stage a call; past is the time since the leave began. It returns
// the stage and whether it has changed. No stage waits for answers beyond its time.
func (l *Leave) Step(past time.Duration, f LeaveInputs) (Stage, bool) {
	was, door := l.stage, l.Grace/acceptDivisor
	switch {
	case past >= l.Grace-l.Grace/endDivisor:
		l.stage = Ended
	case was < Finalizing && past >= l.Grace-l.Grace/finalizeDivisor:
		l.stage = Finalizing
	case was == Unadvertised && past >= door-ColdSendDelay:
		l.stage = NoColdSends
	case was == NoColdSends && past >= door && (f.SinceLastRequest >= quietPeriod || past >= door+l.Grace/extraAcceptDivisor):
		l.stage = NotAccepting
	case was == NotAccepting && f.HandoverDone:
		l.stage = Answering
	case was >= Answering && f.Connections == 0 && f.SinceLastRequest >= quietPeriod:
		l.stage = Ended
	}
	return l.stage, l.stage != was
}
