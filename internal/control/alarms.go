package control

import (
	"time"

	"github.com/pkg/errors"
)

// Times of the alarms that replicas log.
const (
	lagAfter     = 1500 * time.Millisecond // an agent is behind the decided configuration for so long
	contactAfter = 1500 * time.Millisecond // no majority has confirmed what is decided for so long
	alarmAgain   = 5 * time.Second         // between two lines about one trouble that lasts
)

// Errors that are logged and go to nobody.
var (
	errLag     = errors.New("an agent is behind the decided configuration")
	errContact = errors.New("no majority confirms what is decided")
)

// alarm tells whether a trouble that lasts since a moment is to be logged now.
func alarm(since, reported, after, now time.Duration) bool {
	return now-since >= after && (reported < since || now-reported >= alarmAgain)
}

// reportLag logs that an agent stays behind; the mutex is held.
func (b *Replica) reportLag(h *agent) {
	now := b.now()
	since, behind := b.versions.BehindSinceConnected(&h.agent)
	if !behind || !alarm(since, h.reported, lagAfter, now) {
		return
	}
	h.reported = now
	b.log.Error(errLag, "agent behind", "agent", h.name, "for", now-since, "held", h.agent.Held.Gen, "decided", b.configuration.Gen,
		"follows_this_replica", h.agent.IsUpstream, "sent", h.agent.Sent.Gen)
}

// reportContact logs that this replica has lost touch with the majority; the mutex is held.
func (b *Replica) reportContact() {
	now := b.now()
	if !b.touched.IsKnown || !alarm(b.touched.At, b.alarmed, contactAfter, now) {
		return
	}
	b.alarmed = now
	b.log.Error(errContact, "out of touch", "for", now-b.touched.At, "version", b.contents.Record.Decided.Version)
}
