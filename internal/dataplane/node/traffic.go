package node

import (
	"sync"
	"sync/atomic"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/homing"
)

const (
	trafficWindow           = 4 * time.Second        // period that the statistics cover
	trafficSnapshotInterval = 200 * time.Millisecond // minimum interval between stored snapshots
)

// TrafficStats holds statistics of a managed proxy's recent traffic.
type TrafficStats struct {
	Open    int           // requests not answered yet
	Clients int           // open client connections
	Span    time.Duration // period that the counts below cover
	Served  uint32        // server answers other than 5xx
	Refused uint32        // answers with 429 or 503 of the proxy itself
	Failed  uint32        // other 5xx answers of the proxy, and 5xx answers of servers
}

// trafficCounter counts a managed proxy's answers since its start.
type trafficCounter struct {
	open                    atomic.Int64
	served, refused, failed atomic.Uint32

	mu        sync.Mutex
	snapshots []trafficSnapshot // oldest first
}

// trafficSnapshot holds the counts at one time.
type trafficSnapshot struct {
	at                      time.Duration
	served, refused, failed uint32
}

// countOwn counts an answer that the proxy itself gave.
func (c *trafficCounter) countOwn(status int) {
	switch {
	case status == 429 || status == 503:
		c.refused.Add(1)
	case status >= 500:
		c.failed.Add(1)
	}
}

// countForwarded counts a server's answer by the first digit of its status.
func (c *trafficCounter) countForwarded(digit byte) {
	if digit >= '5' {
		c.failed.Add(1)
	} else {
		c.served.Add(1)
	}
}

// stats returns the counts of the last trafficWindow.
func (c *trafficCounter) stats(now time.Duration) TrafficStats {
	latest := trafficSnapshot{now, c.served.Load(), c.refused.Load(), c.failed.Load()}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.snapshots) > 1 && now-c.snapshots[1].at >= trafficWindow {
		c.snapshots = c.snapshots[1:]
	}
	stats := TrafficStats{Open: int(c.open.Load())}
	if len(c.snapshots) > 0 {
		oldest := c.snapshots[0]
		stats.Span, stats.Served, stats.Refused, stats.Failed = now-oldest.at, latest.served-oldest.served, latest.refused-oldest.refused, latest.failed-oldest.failed
	}
	if n := len(c.snapshots); n == 0 || now-c.snapshots[n-1].at >= trafficSnapshotInterval {
		c.snapshots = append(c.snapshots, latest)
	}
	return stats
}

// TrafficStats returns the statistics of the last few seconds.
func (e *ManagedNode) TrafficStats() TrafficStats {
	s := e.node.server
	stats := s.counts.stats(s.clock.now())
	s.mu.Lock()
	stats.Clients = len(s.conns)
	s.mu.Unlock()
	return stats
}

// ConfirmedAge returns the time since the current configuration was last confirmed to be the newest. It is long if there was
// no confirmation yet.
func (e *ManagedNode) ConfirmedAge() time.Duration {
	return e.managed.clock.now() - time.Duration(e.managed.confirmedAt.Load())
}

// DisconnectedClients returns the number of requests whose client disconnected before the answer.
func (e *ManagedNode) DisconnectedClients() uint64 { return e.node.loop.disconnectedClients.Load() }

// RequestsByHost returns the request counts of the hosts of which some routes are bound to regions.
func (e *ManagedNode) RequestsByHost() []homing.HostTraffic {
	return e.managed.hostTraffic.Top(e.managed.clock.now())
}
