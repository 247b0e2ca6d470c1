package lease

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of a work that is done again and again.
const (
	MinUnclaimedInterval = time.Second            // between two turns of one who claims nothing, at least
	unclaimedDelay       = 700 * time.Millisecond // beyond a period, until others do it without a claim
	distinctRankDelays   = 4                      // those who come later in rank do it together with the last of these: waits don't grow with replicas
)

// TaskTimes is when a replica did, and heard of, a turn of the work.
type TaskTimes struct {
	Period      time.Duration // between two turns of the holder
	LastOwn     time.Duration // when this replica's last turn began
	LastKnown   time.Duration // when any replica's last turn was known of; 0: none was
	LastByOther time.Duration // when another replica's last turn began; 0: none did
}

// NextRun is when this replica does the next turn. Whoever does not hold the duty does it only where nobody else is heard to,
// slowly and one after the other by rank.
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
	turn := time.Duration(min(s.Rank(v), distinctRankDelays-1)) * RankDelay
	at := w.LastOwn + max(w.Period, MinUnclaimedInterval)
	if w.LastKnown == 0 && s.known.Term == (peerlink.Term{}) {
		return max(at, turn) // the first start
	}
	return max(at, w.LastKnown+w.Period+unclaimedDelay+turn)
}
