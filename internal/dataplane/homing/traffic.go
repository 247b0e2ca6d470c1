package homing

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxReportedHosts is the maximum number of hosts that a proxy reports, and MaxCountedHosts of those that it counts.
const (
	MaxReportedHosts = 8
	MaxCountedHosts  = 256
	halfLife         = 5 * time.Second // after this time a request counts half as much
)

// HashHost returns a short hash that identifies a host.
func HashHost(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// HostTraffic holds the smoothed counts of a host's requests, as made by a TrafficCounter.
type HostTraffic struct {
	Host uint32 // from HashHost
	KB   uint32 // kilobytes of bound requests and their answers
	Free uint32 // number of free requests
}

// answerKB is the assumed size of an answer and of the headers of request and answer, in kilobytes.
const answerKB = 2.0

// TrafficCounter counts the requests of a proxy by host. Its zero value is ready to use, and it is safe for concurrent use.
type TrafficCounter struct {
	mu        sync.Mutex
	byHost    map[uint32]*hostCount
	decayedAt time.Duration
}

type hostCount struct{ kb, free float64 }

// Add counts a request; body is the size of its body in bytes. All times come from one monotonic clock.
func (t *TrafficCounter) Add(host uint32, bound bool, body int, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	c := t.byHost[host]
	if c == nil {
		if len(t.byHost) >= MaxCountedHosts {
			return // there is room again once other hosts' counts have decayed
		}
		if t.byHost == nil {
			t.byHost = map[uint32]*hostCount{}
		}
		c = &hostCount{}
		t.byHost[host] = c
	}
	if bound {
		c.kb += float64(body)/1e3 + answerKB
	} else {
		c.free++
	}
}

// Top returns the hosts with the most traffic, in descending order.
func (t *TrafficCounter) Top(now time.Duration) []HostTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	var out []HostTraffic
	for host, c := range t.byHost {
		out = append(out, HostTraffic{host, uint32(math.Round(c.kb)), uint32(math.Round(c.free))})
	}
	slices.SortFunc(out, func(a, b HostTraffic) int {
		return cmp.Or(cmp.Compare(b.KB+b.Free, a.KB+a.Free), cmp.Compare(a.Host, b.Host))
	})
	return out[:min(len(out), MaxReportedHosts)]
}

// decay reduces the counts in steps of a tenth of the half-life. The caller holds the mutex.
func (t *TrafficCounter) decay(now time.Duration) {
	const step = halfLife / 10
	n := (now - t.decayedAt) / step
	if n <= 0 {
		return
	}
	t.decayedAt += n * step
	part := math.Exp2(-float64(n) / 10)
	for host, c := range t.byHost {
		if c.kb, c.free = c.kb*part, c.free*part; c.kb+c.free < 0.5 {
			delete(t.byHost, host)
		}
	}
}
