package lease

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Timing of the periodic task that belongs to a duty.
const (
	Slowly  = time.Second            // minimum time between two runs by a replica that does not hold the duty
	overdue = 700 * time.Millisecond // beyond the period, until replicas that do not hold the duty run the task
	turns   = 4                      // number of different rank delays; replicas of higher rank share the longest one
)

// TaskTimes records when a replica ran a periodic task and when it learned of the runs of others. All times are on the
// clock of View.Now.
type Work struct {
	Period time.Duration // between two runs by the holder
	Asked  time.Duration // start of this replica's last run
	Heard  time.Duration // when the last run by any replica became known; 0 if none has
	Others time.Duration // start of the last run by another replica; 0 if there was none
}

// NextRun returns when this replica is to run the task next. A replica that does not hold the duty runs the task only
// if it learns of no run by any other replica, at a lower rate and staggered by rank.
func (s *Lease) Due(v View, w Work) time.Duration {
	if s.left {
		return never
	}
	if s.Holds() {
		at := w.Asked + w.Period
		if w.Others > 0 {
			at = max(at, w.Others+w.Period)
		}
		return at
	}
	delay := time.Duration(min(s.Rank(v), turns-1)) * Stagger
	at := w.Asked + max(w.Period, Slowly)
	if w.Heard == 0 && s.known.Term == (peerlink.Term{}) {
		return max(at, delay) // the first start: nobody has held the duty yet
	}
	return max(at, w.Heard+w.Period+overdue+delay)
}
