package control

import (
	"time"

	"github.com/pkg/errors"
)

// Thresholds of the alarms that replicas log.
const (
	lagAfter     = 1500 * time.Millisecond // an agent has lacked the decided configuration for so long
	contactAfter = 1500 * time.Millisecond // this replica has had no contact with a majority for so long
	alarmAgain   = 5 * time.Second         // between two log lines about one lasting condition
)

// Errors that are only logged.
var (
	errLag     = errors.New("an agent is behind the decided configuration")
	errContact = errors.New("no majority confirms what is decided")
)

// isAlarmDue reports whether a condition that holds since a time is to be logged now: it has lasted for at least after,
// and was not yet logged, or not within alarmRepeatInterval.
func alarm(since, reported, after, now time.Duration) bool {
	return now-since >= after && (reported < since || now-reported >= alarmAgain)
}

// logAgentLag logs if an agent has lacked the decided configuration for too long. The caller holds the mutex.
func (b *Replica) reportLag(follower *agent) {
	now := b.now()
	since, behind := b.versions.BehindSinceConnected(&follower.agent)
	if !behind || !alarm(since, follower.reported, lagAfter, now) {
		return
	}
	follower.reported = now
	b.log.Error(errLag, "agent behind", "agent", follower.name, "for", now-since, "held", follower.agent.Held.Gen, "decided", b.configuration.Gen,
		"follows_this_replica", follower.agent.IsUpstream, "sent", follower.agent.Sent.Gen)
}

// logContactLoss logs if this replica has had no contact with a majority for too long. The caller holds the mutex.
func (b *Replica) reportContact() {
	now := b.now()
	if !b.touched.IsKnown || !alarm(b.touched.At, b.alarmed, contactAfter, now) {
		return
	}
	b.alarmed = now
	b.log.Error(errContact, "out of touch", "for", now-b.touched.At, "version", b.contents.Record.Decided.Version)
}
