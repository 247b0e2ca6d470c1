package control

import (
	"time"

	"github.com/pkg/errors"
)

// Thresholds of the alarms that replicas log.
const (
	agentLagThreshold    = 1500 * time.Millisecond // an agent has lacked the decided configuration for so long
	contactLossThreshold = 1500 * time.Millisecond // this replica has had no contact with a majority for so long
	alarmRepeatInterval  = 5 * time.Second         // between two log lines about one lasting condition
)

// Errors that are only logged.
var (
	errAgentBehind = errors.New("an agent is behind the decided configuration")
	errNoContact   = errors.New("no majority confirms what is decided")
)

// isAlarmDue reports whether a condition that holds since a time is to be logged now: it has lasted for at least after,
// and was not yet logged, or not within alarmRepeatInterval.
func isAlarmDue(since, reported, after, now time.Duration) bool {
	return now-since >= after && (reported < since || now-reported >= alarmRepeatInterval)
}

// logAgentLag logs if an agent has lacked the decided configuration for too long. The caller holds the mutex.
func (b *Replica) logAgentLag(follower *agentConn) {
	now := b.now()
	since, behind := b.configurationHistory.BehindSinceConnected(&follower.delivery)
	if !behind || !isAlarmDue(since, follower.lagLoggedAt, agentLagThreshold, now) {
		return
	}
	follower.lagLoggedAt = now
	b.log.Error(errAgentBehind, "agent behind", "agent", follower.name, "for", now-since, "held", follower.delivery.Held.Gen, "decided", b.configuration.Gen,
		"follows_this_replica", follower.delivery.IsUpstream, "sent", follower.delivery.Sent.Gen)
}

// logContactLoss logs if this replica has had no contact with a majority for too long. The caller holds the mutex.
func (b *Replica) logContactLoss() {
	now := b.now()
	if !b.majorityContact.IsKnown || !isAlarmDue(b.majorityContact.At, b.contactAlarmedAt, contactLossThreshold, now) {
		return
	}
	b.contactAlarmedAt = now
	b.log.Error(errNoContact, "out of touch", "for", now-b.majorityContact.At, "version", b.contents.Record.Decided.Version)
}
