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

// lag is for how long an agent has been behind.
type lag struct {
	since    time.Duration // 0: it is not
	reported time.Duration // when that was logged last; 0: it was not
}

// alarm tells whether a trouble that lasts since a moment is to be logged now.
func alarm(since, reported, after, now time.Duration) bool {
	return now-since >= after && (reported < since || now-reported >= alarmAgain)
}

// reportLag logs that an agent stays behind; the mutex is held.
func (b *Replica) reportLag(h *hand) {
	now := b.now()
	if b.plot == nil || h.held >= b.plot.Gen {
		h.lags = lag{}
		return
	}
	if h.lags.since == 0 {
		h.lags.since = max(now, 1)
	}
	if !alarm(h.lags.since, h.lags.reported, lagAfter, now) {
		return
	}
	h.lags.reported = now
	b.log.Error(errLag, "agent behind", "agent", h.name, "for", now-h.lags.since, "held", h.held, "decided", b.plot.Gen,
		"follows_this_replica", h.lead, "owed_for", now-h.owes, "sent", h.no, "acknowledged", h.ack)
}

// reportContact logs that this replica has lost touch with the majority; the mutex is held.
func (b *Replica) reportContact() {
	now := b.now()
	if !b.ever || !alarm(b.fresh, b.lostTouch, contactAfter, now) {
		return
	}
	b.lostTouch = now
	b.log.Error(errContact, "out of touch", "for", now-b.fresh, "version", b.contents.Record.Decided.Version)
}
