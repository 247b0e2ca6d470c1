package node

import (
	"sync"
	"sync/atomic"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/homing"
)

const (
	trafficWindow           = 4 * time.Second        // what figures count
	trafficSnapshotInterval = 200 * time.Millisecond // between two that are kept for that
)

// TrafficStats are what an estate tells of its traffic.
type TrafficStats struct {
	Open    int           // requests that are not answered
	Clients int           // connections
	Span    time.Duration // over which the rest was counted
	Served  uint32        // answered by a server, not with 5xx
	Refused uint32        // 429 and 503
	Failed  uint32        // other 5xx
}

// trafficCounter are an estate's answers since its start.
type trafficCounter struct {
	open                    atomic.Int64
	served, refused, failed atomic.Uint32

	mu        sync.Mutex
	snapshots []trafficSnapshot // oldest first
}

type trafficSnapshot struct {
	at                      time.Duration
	served, refused, failed uint32
}

// countOwn counts an answer that no server gave.
func (c *trafficCounter) countOwn(status int) {
	switch {
	case status == 429 || status == 503:
		c.refused.Add(1)
	case status >= 500:
		c.failed.Add(1)
	}
}

// countForwarded counts a server's, by the first digit of its status.
func (c *trafficCounter) countForwarded(digit byte) {
	if digit >= '5' {
		c.failed.Add(1)
	} else {
		c.served.Add(1)
	}
}

// stats are the counts of the last seconds.
func (c *trafficCounter) stats(now time.Duration) TrafficStats {
	is := trafficSnapshot{now, c.served.Load(), c.refused.Load(), c.failed.Load()}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.snapshots) > 1 && now-c.snapshots[1].at >= trafficWindow {
		c.snapshots = c.snapshots[1:]
	}
	f := TrafficStats{Open: int(c.open.Load())}
	if len(c.snapshots) > 0 {
		was := c.snapshots[0]
		f.Span, f.Served, f.Refused, f.Failed = now-was.at, is.served-was.served, is.refused-was.refused, is.failed-was.failed
	}
	if n := len(c.snapshots); n == 0 || now-c.snapshots[n-1].at >= trafficSnapshotInterval {
		c.snapshots = append(c.snapshots, is)
	}
	return f
}

// TrafficStats tells of the traffic of the last seconds.
func (e *ManagedNode) TrafficStats() TrafficStats {
	s := e.node.server
	f := s.counts.stats(s.clock.now())
	s.mu.Lock()
	f.Clients = len(s.conns)
	s.mu.Unlock()
	return f
}

// ConfirmedAge is how long ago what is in force was last confirmed to be the newest; long where it never was.
func (e *ManagedNode) ConfirmedAge() time.Duration {
	return e.managed.clock.now() - time.Duration(e.managed.confirmedAt.Load())
}

// DisconnectedClients is how many requests' clients have left before their answer.
func (e *ManagedNode) DisconnectedClients() uint64 { return e.node.loop.disconnectedClients.Load() }

// RequestsByHost tells of the requests by host, where some routes are bound to regions.
func (e *ManagedNode) RequestsByHost() []homing.Heads {
	return e.managed.hostTraffic.Top(e.managed.clock.now())
}
