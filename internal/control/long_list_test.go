package control

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	platformCallsPerSecond = 44               // beyond this, the platform refuses calls
	listPages              = 60               // 3,000 servers at 50 a page
	recoveryTime           = 15 * time.Second // the setting recover_s
)

// rateLimitedPlatform refuses calls above platformCallsPerSecond.
type rateLimitedPlatform struct {
	fakePlatform
	recentCalls []time.Time // of the last second
	refused     int
	isDown      bool
}

func (s *rateLimitedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.isDown {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for len(s.recentCalls) > 0 && time.Since(s.recentCalls[0]) >= time.Second {
		s.recentCalls = s.recentCalls[1:]
	}
	s.recentCalls = append(s.recentCalls, time.Now())
	over := len(s.recentCalls) > platformCallsPerSecond
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

// Guards against a list of more pages than the platform serves in a second never being read, because each refused call
// restarted the read.
func TestListOfMorePagesThanTheRateIsRead(t *testing.T) {
	p := &rateLimitedPlatform{}
	for i := range listPages {
		p.servers = append(p.servers, serverRow(serverID(i), "ready"))
	}
	runClusterWithPlatform(t, 3, p, func(f *clusterFixture) {
		agent := f.startAgent("1", 0)
		defer agent.stop()
		known := agent.holds(func(agent *simAgent) bool { return agent.list != nil && len(agent.list.List) == listPages })
		for start := time.Now(); !known() && time.Since(start) < recoveryTime; {
			time.Sleep(100 * time.Millisecond)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Assert(t, known(), "not known after %v, %d calls refused", recoveryTime, p.refused)
	})
}

// After an outage of the platform, all replicas have a current list in time, although all of them try to read it.
func TestManyReplicasDoNotKeepEachOtherFromTheListAfterAnOutage(t *testing.T) {
	p := &rateLimitedPlatform{}
	for i := range 10 {
		p.servers = append(p.servers, serverRow(serverID(i), "ready"))
	}
	setup := &clusterFixture{t: t, drainTime: drainTime, cloudRate: platformCallsPerSecond}
	setup.run(manyReplicas, p, func(f *clusterFixture) {
		setDown := func(down bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.isDown, p.refused = down, 0
		}
		time.Sleep(10 * time.Second)
		setDown(true)
		time.Sleep(8 * time.Second)
		setDown(false)
		restored := time.Now()
		f.waitFor(time.Minute, "read by all again", func() bool {
			for _, replica := range f.replicas {
				replica.mu.Lock()
				age := replica.now() - replica.latestListRead.startedAt
				replica.mu.Unlock()
				if age > time.Since(restored) {
					return false
				}
			}
			return true
		})
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Assert(f.t, time.Since(restored) <= drainTime, "%v, %d calls refused", time.Since(restored), p.refused)
	})
}
