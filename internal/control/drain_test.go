package control

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

const (
	drainTime        = 5 * time.Second         // drain_ms of the large deployments
	upstreamLossTime = 1500 * time.Millisecond // of it, for an agent whose upstream replica is lost at the same time
	manyReplicas     = 24
	tenReplicas      = 10               // more than vote
	settleTime       = 10 * time.Second // one reader is left by then
	longListServers  = 719
	longListPageRows = 50
)

// longListPlatform is a platform's list of many pages, in two zones.
type longListPlatform struct {
	mu      sync.Mutex
	leaving map[string]bool
	onPage  func(zone string, first int, caller string) // before a page is answered; the mutex is held
}

func serverID(i int) string { return fmt.Sprintf("i-%03d", i) }

func (p *longListPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := r.URL.Query().Get(api.ServersZone)
	from, _ := strconv.Atoi(r.URL.Query().Get(api.ServersToken))
	rows, last := [][]any{}, from
	for i := from; i < longListServers && len(rows) < longListPageRows; i++ {
		last = i + 1
		if in := "z" + strconv.Itoa(i%2); zone == "" || zone == in {
			state := "ready"
			if p.leaving[serverID(i)] {
				state = "draining"
			}
			rows = append(rows, []any{serverID(i), "s", "10.5.0.1:80", in, state})
		}
	}
	page := api.Page{Table: api.Table{Cols: []string{"id", "backend", "address", "zone", "state"}, Rows: rows}}
	if last < longListServers {
		token := strconv.Itoa(last)
		page.NextToken = &token
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	if p.onPage != nil {
		p.onPage(zone, from, caller)
	}
	_ = json.NewEncoder(w).Encode(page)
}

// drainAfterNextRead has the first server leave once it has been read again, and tells when.
func (p *longListPlatform) drainAfterNextRead(f *clusterFixture) (left time.Time) {
	p.mu.Lock()
	p.onPage = func(_ string, first int, _ string) {
		if first == 0 {
			p.leaving, p.onPage, left = map[string]bool{serverID(0): true}, nil, time.Now()
		}
	}
	p.mu.Unlock()
	f.waitFor(drainTime, "read again", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.onPage == nil
	})
	return left
}

func (r *runningReplica) knowsDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serverList != nil && len(r.serverList.List) == longListServers && r.serverList.List[0].Draining
}

// leaseHolder is who reads the list; -1: nobody.
func (f *clusterFixture) leaseHolder() int {
	for i, r := range f.replicas {
		if r != nil && r.holdsListLease() {
			return i
		}
	}
	return -1
}

// leaseSuccessor is the replica that may follow the holder without a vote.
func (f *clusterFixture) leaseSuccessor(holder int) int {
	r := f.at(holder)
	r.mu.Lock()
	next := r.duty.Known().Next.Name
	r.mu.Unlock()
	for i := range f.replicas {
		if f.settings(i).Self.Name == next {
			return i
		}
	}
	return -1
}

// waitForNextRead lets time pass until the next reading is about to begin.
func (f *clusterFixture) waitForNextRead(holder int) {
	f.waitFor(drainTime, "next reading", func() bool {
		r := f.at(holder)
		r.mu.Lock()
		defer r.mu.Unlock()
		return !r.ownReading.inProgress && r.now() >= r.ownReading.work.LastOwn+r.ownReading.work.Period-20*time.Millisecond
	})
}

func TestDrainingServerIsKnownInTimeWithALongList(t *testing.T) {
	for name, trouble := range map[string]func(f *clusterFixture, p *longListPlatform, left time.Time){
		"calm": func(*clusterFixture, *longListPlatform, time.Time) {},
		"reader loses power before its next reading": func(f *clusterFixture, _ *longListPlatform, _ time.Time) {
			reader := f.leaseHolder()
			f.waitForNextRead(reader)
			f.kill(reader, true)
		},
		"reader and its successor lose power before the next reading": func(f *clusterFixture, _ *longListPlatform, _ time.Time) {
			reader := f.leaseHolder()
			next := f.leaseSuccessor(reader)
			f.waitForNextRead(reader)
			f.kill(reader, true)
			f.kill(next, true)
		},
		"reader cut off from one replica that ranks last": func(f *clusterFixture, _ *longListPlatform, _ time.Time) {
			reader, last, rank := f.leaseHolder(), -1, -1
			for i, r := range f.replicas {
				r.mu.Lock()
				if n := r.duty.Rank(r.leaseView()); i != reader && n > rank {
					last, rank = i, n
				}
				r.mu.Unlock()
			}
			f.partition(ips(reader), ips(last), sim.Silent)
		},
		"reader loses its way to the platform": func(f *clusterFixture, _ *longListPlatform, _ time.Time) {
			reader := f.leaseHolder()
			f.waitForNextRead(reader)
			f.partition(ips(reader), []string{"10.8.0.1"}, sim.Silent)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, replicas := &longListPlatform{}, tenReplicas
			if strings.Contains(name, "rank") {
				replicas = manyReplicas
			}
			set := &clusterFixture{t: t, drainTime: drainTime, cloudRate: 2100}
			set.run(replicas, http.Handler(p), func(f *clusterFixture) {
				time.Sleep(settleTime)
				left := p.drainAfterNextRead(f)
				trouble(f, p, left)
				known := func() bool {
					for _, r := range f.replicas {
						if r != nil && !r.knowsDraining() {
							return false
						}
					}
					return true
				}
				f.waitFor(time.Minute, "known", known)
				took := time.Since(left)
				assert.Assert(f.t, took <= drainTime-upstreamLossTime, "known everywhere after %v", took)
			})
		})
	}
}

// With a long period those who didn't know it would read in between.
func TestOneReplicaAloneReadsALongListWhenCalm(t *testing.T) {
	const drain = 4 * drainTime
	p := &longListPlatform{}
	set := &clusterFixture{t: t, drainTime: drain, cloudRate: 2100}
	set.run(manyReplicas, http.Handler(p), func(f *clusterFixture) {
		f.net.Set(sim.Faults{Least: 18 * time.Millisecond, Most: 20 * time.Millisecond}) // the platform is in another region
		time.Sleep(5 * time.Second)
		callers := map[string]bool{}
		last, longest := time.Now(), time.Duration(0)
		p.mu.Lock()
		p.onPage = func(_ string, first int, caller string) {
			callers[caller] = true
			if first == 0 {
				longest, last = max(longest, time.Since(last)), time.Now()
			}
		}
		p.mu.Unlock()
		time.Sleep(30 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Equal(f.t, len(callers), 1)
		assert.Assert(f.t, longest <= drain/4, "%v between two readings", longest)
	})
}

func TestListReadAgeCountsFromItsStart(t *testing.T) {
	const ms = time.Millisecond
	r := &latestListRead{}
	assert.Assert(t, r.message(0) == nil)
	r.update(peerlink.Reading{Age: 800 * ms, Period: 1250 * ms, Pages: 16}, 5000*ms)
	assert.Equal(t, r.startedAt, 4200*ms)
	assert.Equal(t, *r.message(6000 * ms), peerlink.Reading{Age: 1800 * ms, Period: 1250 * ms, Pages: 16})
	r.update(peerlink.Reading{Age: -time.Hour}, 7000*ms) // none began later than it was heard of
	assert.Equal(t, *r.message(7000 * ms), peerlink.Reading{Period: 1250 * ms, Pages: 16})
}
