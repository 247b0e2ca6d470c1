package control

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// latestListRead is the newest reading of the platform's list that a replica knows of,
// its own or another replica's. Times are of its steady clock.
type latestListRead struct {
	known     bool
	startedAt time.Duration
	learnedAt time.Duration // when it was known of here; 0: none was
	period    time.Duration // between the beginnings of two readings; 0: not told
	pages     int           // calls that it took; 0: not told
}

// update notes a reading that has just been heard of.
func (r *latestListRead) update(told peerlink.Reading, now time.Duration) {
	r.known, r.learnedAt, r.startedAt = true, now, now-max(0, told.Age)
	if told.Period > 0 {
		r.period = told.Period
	}
	if told.Pages > 0 {
		r.pages = told.Pages
	}
}

// message is what others are told of the reading; nil: none is known.
func (r *latestListRead) message(now time.Duration) *peerlink.Reading {
	if !r.known {
		return nil
	}
	return &peerlink.Reading{Age: now - r.startedAt, Period: r.period, Pages: r.pages}
}
