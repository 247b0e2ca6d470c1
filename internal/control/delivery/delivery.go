package delivery

import "time"

// upstreamGrace is how long a replica leaves it to the one that an agent follows to
// tell it a configuration.
const upstreamGrace = 400 * time.Millisecond

// Agent is an agent as one connection of a replica sees it.
type Agent struct {
	Held         Version       // as it said last
	ConnectedAt  time.Duration // when the connection came up
	PingInterval time.Duration // between two of its pings
	IsUpstream   bool          // this replica, as it said last
	Sent         Version       // the newest configuration that was sent down this connection
}

// BehindSinceConnected is since when an agent has been behind the configuration in force, as far as
// this connection can tell.
func (h *History) BehindSinceConnected(a *Agent) (since time.Duration, is bool) {
	since, is = h.BehindSince(a.Held)
	return max(since, a.ConnectedAt), is
}

// ShouldSend tells whether an agent is to be sent the configuration in force now: at once
// by the replica that it follows, and by each other one when it has been behind for
// too long. Later changes put that off no further.
func (h *History) ShouldSend(a *Agent, now time.Duration) bool {
	since, behind := h.BehindSinceConnected(a)
	if !behind || a.Sent == h.current {
		return false
	}
	return a.IsUpstream || now-since >= upstreamGrace+a.PingInterval
}
