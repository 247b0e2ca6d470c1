package lease

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Timing of the periodic task that the holder of the lease runs.
const (
	MinUnclaimedInterval = time.Second            // minimum time between two runs by a replica that does not hold the lease
	unclaimedDelay       = 700 * time.Millisecond // after a period without a known run, until replicas that do not hold the lease run the task
	distinctRankDelays   = 4                      // number of different rank delays; replicas of higher rank share the longest one
)

// TaskTimes records when a replica ran a periodic task and when it learned of the runs of others. All times are on the
// clock of View.Now.
type TaskTimes struct {
	Period      time.Duration // between two runs by the holder
	LastOwn     time.Duration // start of this replica's last run
	LastKnown   time.Duration // when the last run by any replica became known; 0 if none has
	LastByOther time.Duration // start of the last run by another replica; 0 if there was none
}

// NextRun returns when this replica is to run the task next. A replica that does not hold the lease runs the task only
// if it learns of no run by any other replica, at a lower rate and staggered by rank.
func (s *Lease) NextRun(v View, w TaskTimes) time.Duration {
	if s.hasLeft {
		return never
	}
	if s.Holds() {
		at := w.LastOwn + w.Period
		if w.LastByOther > 0 {
			at = max(at, w.LastByOther+w.Period)
		}
		return at
	}
	delay := time.Duration(min(s.Rank(v), distinctRankDelays-1)) * RankDelay
	at := w.LastOwn + max(w.Period, MinUnclaimedInterval)
	if w.LastKnown == 0 && s.known.Term == (peerlink.Term{}) {
		return max(at, delay) // the first start: nobody has held the lease yet
	}
	return max(at, w.LastKnown+w.Period+unclaimedDelay+delay)
}
