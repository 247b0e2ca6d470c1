package node

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	requestCountWindow   = time.Minute     // what counts of routes go back
	requestCountInterval = 5 * time.Second // between two that are kept for that
	maxCountedRoutes     = 256             // that are told of, the busiest
)

// routeStats is what is noted of a route's requests.
type routeStats struct {
	longestDeadlineMS atomic.Int64  // ms that its clients have lately said they wait
	requests          atomic.Uint32 // requests passed on, since the configuration is in force
}

// RouteRequests is how many requests a route had.
type RouteRequests struct {
	Route    uint32 // its place among the configuration's, from 0
	Requests uint32
}

// RequestCounts tells of the requests of the last minute, or of as much of it as the configuration has been in force.
type RequestCounts struct {
	Gen           uint64 // of the configuration that they came in by
	Span          time.Duration
	Routes        []RouteRequests // by place; those without requests left out
	OtherRequests uint32          // requests of routes beyond the busiest
}

// requestCounter is the counts of routes that are kept, of one configuration.
type requestCounter struct {
	mu        sync.Mutex
	current   *tilled
	snapshots []countSnapshot // oldest first
}

type countSnapshot struct {
	at     time.Duration
	counts []uint32
}

// countRecent counts the last minute's requests by route; nil: no configuration is in force. It has to be called about every
// requestCountInterval to go back a minute.
func (m *requestCounter) countRecent(t *tilled, now time.Duration) *RequestCounts {
	if t == nil {
		return nil
	}
	is := countSnapshot{now, make([]uint32, len(t.configuration.Routes))}
	for i := range t.configuration.Routes {
		is.counts[i] = t.routes[&t.configuration.Routes[i]].requests.Load()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != t {
		m.current, m.snapshots = t, nil
	}
	for len(m.snapshots) > 1 && now-m.snapshots[1].at >= requestCountWindow {
		m.snapshots = m.snapshots[1:]
	}
	a := &RequestCounts{Gen: t.configuration.Gen}
	if len(m.snapshots) > 0 {
		was := m.snapshots[0]
		a.Span = now - was.at
		for i, n := range is.counts {
			if n -= was.counts[i]; n > 0 {
				a.Routes = append(a.Routes, RouteRequests{uint32(i), n})
			}
		}
	}
	if n := len(m.snapshots); n == 0 || now-m.snapshots[n-1].at >= requestCountInterval {
		m.snapshots = append(m.snapshots, is)
	}
	if len(a.Routes) > maxCountedRoutes {
		slices.SortStableFunc(a.Routes, func(x, y RouteRequests) int { return cmp.Compare(y.Requests, x.Requests) })
		for _, r := range a.Routes[maxCountedRoutes:] {
			a.OtherRequests += r.Requests
		}
		a.Routes = a.Routes[:maxCountedRoutes]
		slices.SortFunc(a.Routes, func(x, y RouteRequests) int { return cmp.Compare(x.Route, y.Route) })
	}
	return a
}

// RequestCounts counts the last minute's requests by route; nil: there is no configuration yet.
func (e *Estate) RequestCounts() *RequestCounts {
	return e.minute.countRecent(e.estate.tilled.Load(), e.node.server.clock.now())
}
