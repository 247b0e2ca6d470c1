package node

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// clock is a proxy's monotonic clock. It is set by Unix time once, and counts from the Unix epoch so that start times in the
// server list need no conversion.
type clock struct {
	world.Clock
	anchor time.Time
}

func newClock(c world.Clock) clock { return clock{c, c.Now()} }

// now returns the time since the Unix epoch.
func (c clock) now() time.Duration {
	return time.Duration(c.anchor.UnixNano()) + c.Now().Sub(c.anchor)
}

// time converts a time since the Unix epoch, as now returns it.
func (c clock) time(d time.Duration) time.Time {
	return c.anchor.Add(d - time.Duration(c.anchor.UnixNano()))
}
