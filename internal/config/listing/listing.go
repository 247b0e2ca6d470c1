// Package listing decides how often the platform's list of servers is read, so that no
// server that leaves stays in use for longer than the rules allow. It does no I/O.
//
// A list is read as a whole, page after page, and told from the reading replica to the
// others, from each to the agents that follow it, and by these to their proxies. What the
// rules allow is shared out among these steps; Worst adds them up.
package listing

import "time"

// Parts of the time that a leaving server may stay in use.
const (
	periodShare = 4                       // at most this part of it lies between two readings
	Reading     = 300 * time.Millisecond  // all pages of a list beside the gaps between calls, some asked for twice
	Takeover    = 1500 * time.Millisecond // from the end of a reader, and of its named successor, to the next reading
	Upstream    = 1500 * time.Millisecond // until an agent whose upstream replica is lost holds another one's list
	Telling     = 300 * time.Millisecond  // from a replica to the proxies whose agents follow it
)

// hearing is between the moments at which two replicas hear of one reading.
const hearing = 300 * time.Millisecond

// Bounds of the period.
const (
	LeastPeriod = 500 * time.Millisecond
	pagePeriod  = 200 * time.Millisecond // a call for each page is dear
	usualShare  = 8                      // part of the platform's rate that readings take
	mostShare   = 2                      // and where leaving servers need it
)

// MostPages bounds the pages that are read one after the other.
const MostPages = 20000

// Terms are what the settings say of the list.
type Terms struct {
	RatePerS float64       // calls a second that the platform takes from all replicas; 0: not told
	Drain    time.Duration // a leaving server may stay in use for so long; 0: not told
}

// Period is the time between the beginnings of two readings of a list of so many pages. It
// grows with the pages, which are paid for, as far as leaving servers allow. Where
// the platform's rate allows less, that comes first.
func (t Terms) Period(pages int) time.Duration {
	if t.RatePerS <= 0 {
		return LeastPeriod
	}
	period := max(time.Duration(pages)*pagePeriod, t.calling(pages, usualShare))
	if t.Drain > 0 {
		period = max(min(period, t.Drain/periodShare), t.calling(pages, mostShare))
	}
	return max(LeastPeriod, period)
}

// Gap is the time between two calls of one of several readers, so that together they don't pass the rate.
func (t Terms) Gap(readers int) time.Duration {
	if t.RatePerS <= 0 {
		return 0
	}
	return t.calling(max(1, readers), mostShare)
}

// calling is the time that so many calls take at a part of the platform's rate.
func (t Terms) calling(pages, share int) time.Duration {
	return time.Duration(float64(max(pages, 1)*share) / t.RatePerS * float64(time.Second))
}

// Worst is how long after the platform shows that a server leaves a proxy may still use it, while
// a list of so many pages is read, its reader is lost and so is the replica that the
// proxy's agent follows.
func (t Terms) Worst(pages int) time.Duration {
	reading := Reading + time.Duration(pages)*t.Gap(1)
	return t.Period(pages) + reading + max(Takeover, Upstream) + Telling
}

// SideBySide tells whether a list that took so many pages last is read zone by zone, all at
// once. It takes at most one call more for each zone.
func SideBySide(pages, zones int) bool { return zones > 1 && pages > zones }

// MostInTurn is how many pages are read one after the other before a list turns out to be
// one that is read side by side; at least one.
func MostInTurn(zones int) int {
	if zones <= 1 {
		return MostPages
	}
	return zones
}

// Behind is by how much the list of a replica may be older than another one's: that one may
// have heard of the newest reading a little sooner, but not of two.
func Behind(period time.Duration) time.Duration {
	return max(period, LeastPeriod)*3/2 + hearing
}
