package control

import (
	"time"

	"github.com/pkg/errors"
)

// Times of the alarms that replicas log.
const (
	agentLagThreshold    = 1500 * time.Millisecond // an agent is behind the decided configuration for so long
	contactLossThreshold = 1500 * time.Millisecond // no majority has confirmed what is decided for so long
	alarmRepeatInterval  = 5 * time.Second         // between two lines about one trouble that lasts
)

// Errors that are logged and go to nobody.
var (
	errAgentBehind = errors.New("an agent is behind the decided configuration")
	errNoContact   = errors.New("no majority confirms what is decided")
)

// isAlarmDue tells whether a trouble that lasts since a moment is to be logged now.
func isAlarmDue(since, reported, after, now time.Duration) bool {
	return now-since >= after && (reported < since || now-reported >= alarmRepeatInterval)
}

// logAgentLag logs that an agent stays behind; the mutex is held.
func (b *Replica) logAgentLag(h *agent) {
	now := b.now()
	since, behind := b.configurationHistory.BehindSinceConnected(&h.agent)
	if !behind || !isAlarmDue(since, h.reported, agentLagThreshold, now) {
		return
	}
	h.reported = now
	b.log.Error(errAgentBehind, "agent behind", "agent", h.name, "for", now-since, "held", h.agent.Held.Gen, "decided", b.configuration.Gen,
		"follows_this_replica", h.agent.IsUpstream, "sent", h.agent.Sent.Gen)
}

// logContactLoss logs that this replica has lost touch with the majority; the mutex is held.
func (b *Replica) logContactLoss() {
	now := b.now()
	if !b.majorityContact.IsKnown || !isAlarmDue(b.majorityContact.At, b.contactAlarmedAt, contactLossThreshold, now) {
		return
	}
	b.contactAlarmedAt = now
	b.log.Error(errNoContact, "out of touch", "for", now-b.majorityContact.At, "version", b.contents.Record.Decided.Version)
}
