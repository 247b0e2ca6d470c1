package delivery

import "time"

// payWithin is how long a replica leaves it to the one that an agent follows to
// tell it a configuration.
const payWithin = 400 * time.Millisecond

// Agent is an agent as one connection of a replica sees it.
type Agent struct {
	Held    Version       // as it said last
	Since   time.Duration // when the connection came up
	Every   time.Duration // between two of its pings
	Follows bool          // this replica, as it said last
	Sent    Version       // the newest configuration that was sent down this connection
}

// Lag is since when an agent has been behind the configuration in force, as far as
// this connection can tell.
func (h *History) Lag(a *Agent) (since time.Duration, is bool) {
	since, is = h.Behind(a.Held)
	return max(since, a.Since), is
}

// Due tells whether an agent is to be sent the configuration in force now: at once
// by the replica that it follows, and by each other one when it has been behind for
// too long. Later changes put that off no further.
func (h *History) Due(a *Agent, now time.Duration) bool {
	since, behind := h.Lag(a)
	if !behind || a.Sent == h.current {
		return false
	}
	return a.Follows || now-since >= payWithin+a.Every
}
