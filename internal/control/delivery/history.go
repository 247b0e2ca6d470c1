// Package delivery records, without I/O, which configurations were current recently and until when. From this a
// replica knows how long an agent has been behind, and up to which moment the configuration that a proxy uses was the
// newest.
package delivery

import "time"

// Bounds of the history of superseded configurations.
const (
	keepDuration  = 30 * time.Second
	maxSuperseded = 512
)

// Version identifies a configuration.
type Version struct {
	Gen      uint64 // its number; 0 stands for no configuration
	Checksum uint32 // checksum of its text
}

// Confirmation is the latest moment at which a majority is known to have held nothing newer than the state decided
// here. All moments are on one monotonic clock.
type Confirmation struct {
	IsKnown bool // false if there was no such moment, and At is not set
	At      time.Duration
}

// History holds the current configuration and those that it superseded.
type History struct {
	current      Version
	currentSince time.Duration       // when current was learned
	superseded   []supersededVersion // ordered by number, lowest first
}

// supersededVersion is a configuration that was current on this replica.
type supersededVersion struct {
	version      Version
	supersededAt time.Duration // when a newer configuration was learned
	confirmed    Confirmation  // at that time
}

// SetCurrent makes v the current configuration from now on. Its number must be higher than that of the previous one;
// confirmed is the confirmation of the previous one.
func (h *History) SetCurrent(v Version, now time.Duration, confirmed Confirmation) {
	if h.current.Gen > 0 {
		h.superseded = append(h.superseded, supersededVersion{h.current, now, confirmed})
	}
	h.current, h.currentSince = v, now
	old := 0
	for old < len(h.superseded) && now-h.superseded[old].supersededAt > keepDuration {
		old++
	}
	if h.superseded = h.superseded[old:]; len(h.superseded) > maxSuperseded {
		h.dropEveryOther()
	}
}

// dropEveryOther removes every other superseded configuration. A holder of a removed one is then treated as a holder
// of the one before: as behind for longer, and as confirmed up to an earlier moment.
func (h *History) dropEveryOther() {
	kept := h.superseded[:0]
	for i := 0; i < len(h.superseded); i += 2 {
		kept = append(kept, h.superseded[i])
	}
	h.superseded = kept
}

// Current returns the current configuration, or the zero Version if there is none.
func (h *History) Current() Version { return h.current }

// BehindSince reports whether a holder of v lacks the current configuration and since when: the moment at which the
// first configuration above v was learned, or the earliest one in the history.
func (h *History) BehindSince(v Version) (since time.Duration, behind bool) {
	switch i := h.lastUpTo(v.Gen); {
	case h.current.Gen == 0 || v.Gen > h.current.Gen || v == h.current:
		return 0, false
	case i >= 0:
		return h.superseded[i].supersededAt, true
	case len(h.superseded) > 0:
		return h.superseded[0].supersededAt, true
	}
	return h.currentSince, true
}

// Confirmed returns the latest moment at which nothing above v was decided; a proxy that uses v was up to date then.
// newest is the confirmation of the current configuration. If v has the number of a decided configuration but a
// different text, there is no such moment.
func (h *History) Confirmed(v Version, newest Confirmation) Confirmation {
	if h.current.Gen == 0 || v.Gen > h.current.Gen || v == h.current {
		return newest
	}
	i := h.lastUpTo(v.Gen)
	if i < 0 || v.Gen == h.current.Gen || h.superseded[i].version.Gen == v.Gen && h.superseded[i].version != v {
		return Confirmation{}
	}
	return h.superseded[i].confirmed
}

// lastUpTo returns the index of the newest superseded configuration whose number is at most gen, or -1 if there is
// none.
func (h *History) lastUpTo(gen uint64) int {
	i := len(h.superseded) - 1
	for i >= 0 && h.superseded[i].version.Gen > gen {
		i--
	}
	return i
}
