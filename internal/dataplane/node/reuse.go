package node

import "time"

// Clients that open a connection for each request and let it stand fill the
// descriptors with connections that bring nothing more: the next client finds
// no room. An answer then says "Connection: close".
const (
	minOccupancyToClose = 0.25                   // part of the clients' room in use, below which none is ended for it
	minUnusedConns      = 8.0                    // connections that stood unused before a verdict
	minReuseShare       = 0.25                   // connections used again, of all, below which clients are held to churn
	reuseCountDecay     = 0.98                   // what a connection more leaves of the counts: clients change
	reuseTrialInterval  = 16                     // one first answer in so many leaves its connection open all the same
	unusedAfter         = 500 * time.Millisecond // a connection unused for so long counts as one not used again
	unusedCountInterval = 100 * time.Millisecond // between two counts of those that still stand
)

// reuseStats learns whether clients use a connection again after its first answer.
// The zero value holds that they do.
type reuseStats struct {
	reused, unused  float64
	unusedOpen      int           // connections that stand unused now, as last counted
	unusedCountedAt time.Duration // when that was
	firstAnswers    uint          // first answers while the clients churn
}

// record takes in how a connection that was left open after its first answer
// went: used again, or not for unusedAfter and then ended.
func (u *reuseStats) record(again bool) {
	u.reused *= reuseCountDecay
	u.unused *= reuseCountDecay
	if again {
		u.reused++
	} else {
		u.unused++
	}
}

// shouldClose tells whether a connection's first answer, with so much of the room
// taken, should be its last. Connections that stand unused now are counted by
// standing, not more often than every unusedCountInterval.
func (u *reuseStats) shouldClose(now time.Duration, taken, room int, standing func() int) bool {
	if float64(taken) <= minOccupancyToClose*float64(room) {
		return false
	}
	if now-u.unusedCountedAt >= unusedCountInterval {
		u.unusedCountedAt, u.unusedOpen = now, standing()
	}
	unused := u.unused + float64(u.unusedOpen)
	if unused < minUnusedConns || u.reused >= minReuseShare*(u.reused+unused) {
		return false
	}
	u.firstAnswers++
	return u.firstAnswers%reuseTrialInterval != 0
}
