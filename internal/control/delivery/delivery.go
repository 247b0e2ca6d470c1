package delivery

import "time"

// upstreamGrace is how long a replica waits for the upstream replica of an agent to send it a configuration, before it
// sends the configuration itself.
const upstreamGrace = 400 * time.Millisecond

// Agent is an agent as one connection of a replica sees it.
type Agent struct {
	Held         Version       // the configuration it holds, as last reported
	ConnectedAt  time.Duration // when the connection was established
	PingInterval time.Duration // between two of its pings
	IsUpstream   bool          // this replica is its upstream, as last reported
	Sent         Version       // the newest configuration sent on this connection
}

// BehindSinceConnected returns since when an agent has lacked the current configuration, but no earlier than its
// connection was established. It returns false if the agent is up to date.
func (h *History) BehindSinceConnected(a *Agent) (since time.Duration, behind bool) {
	since, behind = h.BehindSince(a.Held)
	return max(since, a.ConnectedAt), behind
}

// ShouldSend reports whether to send the current configuration to an agent now. Its upstream replica sends it at once;
// any other replica sends it only after the agent has been behind for too long. Later changes of the configuration do
// not extend that wait.
func (h *History) ShouldSend(a *Agent, now time.Duration) bool {
	since, behind := h.BehindSinceConnected(a)
	if !behind || a.Sent == h.current {
		return false
	}
	return a.IsUpstream || now-since >= upstreamGrace+a.PingInterval
}
