package control

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	platformCallsPerSecond = 44               // calls a second that the platform answers
	listPages              = 60               // 3,000 servers at 50 a page
	recoveryTime           = 15 * time.Second // recover_s
)

// rateLimitedPlatform refuses what comes over the platform's rate.
type rateLimitedPlatform struct {
	fakePlatform
	calls   []time.Time
	refused int
	down    bool
}

func (s *rateLimitedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for len(s.calls) > 0 && time.Since(s.calls[0]) >= time.Second {
		s.calls = s.calls[1:]
	}
	s.calls = append(s.calls, time.Now())
	over := len(s.calls) > platformCallsPerSecond
	if over {
		s.refused++
	}
	s.mu.Unlock()
	if over {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.fakePlatform.ServeHTTP(w, r)
}

// A list of more pages than the platform answers in a second was never read: each refusal began it anew.
func TestListOfMorePagesThanTheRateIsRead(t *testing.T) {
	p := &rateLimitedPlatform{}
	for i := range listPages {
		p.servers = append(p.servers, serverRow(serverID(i), "ready"))
	}
	runClusterWithPlatform(t, 3, p, func(f *clusterFixture) {
		h := f.startAgent("1", 0)
		defer h.stop()
		known := h.holds(func(h *simAgent) bool { return h.list != nil && len(h.list.List) == listPages })
		for began := time.Now(); !known() && time.Since(began) < recoveryTime; {
			time.Sleep(100 * time.Millisecond)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Assert(t, known(), "not known after %v, %d calls refused", recoveryTime, p.refused)
	})
}

func TestManyReplicasDoNotKeepEachOtherFromTheListAfterAnOutage(t *testing.T) {
	p := &rateLimitedPlatform{}
	for i := range 10 {
		p.servers = append(p.servers, serverRow(serverID(i), "ready"))
	}
	set := &clusterFixture{t: t, drainTime: drainTime, cloudRate: platformCallsPerSecond}
	set.run(manyReplicas, p, func(f *clusterFixture) {
		goes := func(down bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.down, p.refused = down, 0
		}
		time.Sleep(10 * time.Second)
		goes(true)
		time.Sleep(8 * time.Second)
		goes(false)
		back := time.Now()
		f.waitFor(time.Minute, "read by all again", func() bool {
			for _, r := range f.replicas {
				r.mu.Lock()
				age := r.now() - r.newestReading.startedAt
				r.mu.Unlock()
				if age > time.Since(back) {
					return false
				}
			}
			return true
		})
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Assert(f.t, time.Since(back) <= drainTime, "%v, %d calls refused", time.Since(back), p.refused)
	})
}
