package node

import "time"

// Clients that open a connection for each request and leave it open fill the descriptors with connections that get no
// further request, until new clients are refused. While that happens, answers say "Connection: close".
const (
	minOccupancyToClose = 0.25                   // share of client connections in use, up to which none is closed for this reason
	minUnusedConns      = 8.0                    // unused connections needed before any is closed
	minReuseShare       = 0.25                   // share of connections that are reused, below which first answers close theirs
	reuseCountDecay     = 0.98                   // factor applied to the counts per connection, because clients change
	reuseTrialInterval  = 16                     // one first answer in this many keeps its connection open as a trial
	unusedAfter         = 500 * time.Millisecond // a connection that is idle this long after its first answer counts as not reused
	unusedCountInterval = 100 * time.Millisecond // minimum time between two counts of unused open connections
)

// reuseStats learns whether clients reuse a connection after its first answer. The zero value assumes that they do.
type reuseStats struct {
	reused, unused  float64
	unusedOpen      int           // open connections that are unused, as last counted
	unusedCountedAt time.Duration // when unusedOpen was counted
	firstAnswers    uint          // first answers given while clients don't reuse connections
}

// record counts a connection that was left open after its first answer: reused, or idle for unusedAfter and then
// closed.
func (u *reuseStats) record(wasReused bool) {
	u.reused *= reuseCountDecay
	u.unused *= reuseCountDecay
	if wasReused {
		u.reused++
	} else {
		u.unused++
	}
}

// shouldClose reports whether a connection's first answer should close it, when taken of room connections are open.
// countUnused counts the open connections that are unused now; it is called at most once per unusedCountInterval.
func (u *reuseStats) shouldClose(now time.Duration, taken, room int, countUnused func() int) bool {
	if float64(taken) <= minOccupancyToClose*float64(room) {
		return false
	}
	if now-u.unusedCountedAt >= unusedCountInterval {
		u.unusedCountedAt, u.unusedOpen = now, countUnused()
	}
	unused := u.unused + float64(u.unusedOpen)
	if unused < minUnusedConns || u.reused >= minReuseShare*(u.reused+unused) {
		return false
	}
	u.firstAnswers++
	return u.firstAnswers%reuseTrialInterval != 0
}
