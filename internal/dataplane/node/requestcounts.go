package node

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	requestCountWindow   = time.Minute     // period that the reported counts cover
	requestCountInterval = 5 * time.Second // minimum interval between stored snapshots
	maxCountedRoutes     = 256             // only the busiest routes are reported
)

// routeStats holds statistics of one route's requests.
type routeStats struct {
	longestDeadlineMS atomic.Int64  // longest deadline that clients lately sent, in ms
	requests          atomic.Uint32 // requests forwarded since the configuration took effect
}

// RouteRequests is the number of requests of one route.
type RouteRequests struct {
	Route    uint32 // index among the configuration's routes, from 0
	Requests uint32
}

// RequestCounts holds the requests of the last minute by route, or of the shorter time since the configuration took effect.
type RequestCounts struct {
	Gen           uint64 // generation of the configuration that the requests came in under
	Span          time.Duration
	Routes        []RouteRequests // by index; routes without requests are left out
	OtherRequests uint32          // requests of the routes that are not among the busiest
}

// requestCounter keeps snapshots of the request counts of the current configuration.
type requestCounter struct {
	mu        sync.Mutex
	current   *activeConfiguration
	snapshots []countSnapshot // oldest first
}

// countSnapshot holds the total count of each route at one time.
type countSnapshot struct {
	takenAt time.Duration
	counts  []uint32
}

// countRecent returns the last minute's requests by route, or nil if there is no configuration yet. The counts cover a whole
// minute only if it is called about every requestCountInterval.
func (m *requestCounter) countRecent(current *activeConfiguration, now time.Duration) *RequestCounts {
	if current == nil {
		return nil
	}
	latest := countSnapshot{now, make([]uint32, len(current.configuration.Routes))}
	for i := range current.configuration.Routes {
		latest.counts[i] = current.routes[&current.configuration.Routes[i]].requests.Load()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != current {
		m.current, m.snapshots = current, nil
	}
	for len(m.snapshots) > 1 && now-m.snapshots[1].takenAt >= requestCountWindow {
		m.snapshots = m.snapshots[1:]
	}
	counts := &RequestCounts{Gen: current.configuration.Gen}
	if len(m.snapshots) > 0 {
		oldest := m.snapshots[0]
		counts.Span = now - oldest.takenAt
		for i, n := range latest.counts {
			if n -= oldest.counts[i]; n > 0 {
				counts.Routes = append(counts.Routes, RouteRequests{uint32(i), n})
			}
		}
	}
	if n := len(m.snapshots); n == 0 || now-m.snapshots[n-1].takenAt >= requestCountInterval {
		m.snapshots = append(m.snapshots, latest)
	}
	if len(counts.Routes) > maxCountedRoutes {
		slices.SortStableFunc(counts.Routes, func(x, y RouteRequests) int { return cmp.Compare(y.Requests, x.Requests) })
		for _, r := range counts.Routes[maxCountedRoutes:] {
			counts.OtherRequests += r.Requests
		}
		counts.Routes = counts.Routes[:maxCountedRoutes]
		slices.SortFunc(counts.Routes, func(x, y RouteRequests) int { return cmp.Compare(x.Route, y.Route) })
	}
	return counts
}

// RequestCounts returns the last minute's requests by route, or nil if there is no configuration yet.
func (e *ManagedNode) RequestCounts() *RequestCounts {
	return e.requests.countRecent(e.managed.active.Load(), e.node.server.clock.now())
}
