package control

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// latestListRead describes the newest read of the platform's server list that a replica knows of, whether its own or
// another replica's. Times are those of the replica's monotonic clock.
type latestListRead struct {
	isKnown   bool
	startedAt time.Duration
	learnedAt time.Duration // when this replica learned of the read; 0: never
	period    time.Duration // between the starts of two reads; 0: unknown
	pages     int           // number of calls that the read took; 0: unknown
}

// update records a read that this replica has just learned of.
func (r *latestListRead) update(reading peerlink.Reading, now time.Duration) {
	r.isKnown, r.learnedAt, r.startedAt = true, now, now-max(0, reading.Age)
	if reading.Period > 0 {
		r.period = reading.Period
	}
	if reading.Pages > 0 {
		r.pages = reading.Pages
	}
}

// message returns the read as it is sent to others; nil: none is known.
func (r *latestListRead) message(now time.Duration) *peerlink.Reading {
	if !r.isKnown {
		return nil
	}
	return &peerlink.Reading{Age: now - r.startedAt, Period: r.period, Pages: r.pages}
}
