package members

import (
	"math"
	"time"
)

const (
	lateSlack  = 0.25 // of a period, before a heartbeat counts as missed
	lossLearn  = 0.04 // weight of one heartbeat in a link's history
	lossFirst  = 0.05
	leastLoss  = 0.02 // a link is never held to be better, so one miss proves nothing
	mostLoss   = 0.6
	mostMisses = 8 // counted of one silence: it tells of the other end, not of the link
)

// link is the way from a neighbour to this instance, with its history.
type link struct {
	period time.Duration // between two heartbeats on it
	last   time.Duration // when something came over it
	loss   float64       // share of its heartbeats that do not arrive
	pings  int           // asked for an answer since then, and met with none in time
	asked  time.Duration // when last; 0: the answer came, or is not waited for
	tried  time.Duration // when last, answered or not
}

func newLink(now, period time.Duration) link { return link{period: period, last: now, loss: lossFirst} }

// missed is the number of heartbeats that are overdue.
func (l *link) missed(now time.Duration) int {
	return max(0, int(math.Floor(float64(now-l.last)/float64(l.period)-lateSlack)))
}

// arrived notes that something came, and learns from what should have come before.
func (l *link) arrived(now, period time.Duration) {
	for range min(l.missed(now), mostMisses) {
		l.loss += lossLearn * (1 - l.loss)
	}
	l.loss -= lossLearn * l.loss
	l.last, l.period, l.pings, l.asked = now, period, 0, 0
}

// level is the suspicion that the silence gives cause for: minus the decimal logarithm of how
// likely this link, as it is known, loses all that is missing by itself.
func (l *link) level(now time.Duration) float64 {
	loss := min(max(l.loss, leastLoss), mostLoss)
	back := 1 - (1-loss)*(1-loss) // a question and its answer
	return -float64(l.missed(now))*math.Log10(loss) - float64(l.pings)*math.Log10(back)
}

// shift moves the link's times on by what this instance has slept: its silence was not heard.
func (l *link) shift(d time.Duration) {
	l.last += d
	if l.asked > 0 {
		l.asked += d
	}
}
