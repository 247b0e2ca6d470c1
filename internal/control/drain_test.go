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
	upstreamLossTime = 1500 * time.Millisecond // part of drainTime reserved for an agent that loses its upstream replica at the same time
	manyReplicas     = 24
	tenReplicas      = 10               // more than the voters
	settleTime       = 10 * time.Second // by then only one replica reads the list
	longListServers  = 719
	longListPageRows = 50
)

// longListPlatform serves a server list of many pages, in two zones.
type longListPlatform struct {
	mu       sync.Mutex
	draining map[string]bool                             // IDs of draining servers
	onPage   func(zone string, first int, caller string) // called before a page is served, with the mutex held
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
		if inZone := "z" + strconv.Itoa(i%2); zone == "" || zone == inZone {
			state := "ready"
			if p.draining[serverID(i)] {
				state = "draining"
			}
			rows = append(rows, []any{serverID(i), "s", "10.5.0.1:80", inZone, state})
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

// drainAfterNextRead has the first server drain right after the next read has passed it, and returns when that was.
func (p *longListPlatform) drainAfterNextRead(f *clusterFixture) (left time.Time) {
	p.mu.Lock()
	p.onPage = func(_ string, first int, _ string) {
		if first == 0 {
			p.draining, p.onPage, left = map[string]bool{serverID(0): true}, nil, time.Now()
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

// knowsDraining reports whether the replica has the whole list with the first server draining.
func (r *runningReplica) knowsDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serverList != nil && len(r.serverList.List) == longListServers && r.serverList.List[0].Draining
}

// leaseHolder returns the replica that holds the list lease; -1: none.
func (f *clusterFixture) leaseHolder() int {
	for i, r := range f.replicas {
		if r != nil && r.holdsListLease() {
			return i
		}
	}
	return -1
}

// leaseSuccessor returns the replica that may take over the lease without a vote; -1: none.
func (f *clusterFixture) leaseSuccessor(holder int) int {
	r := f.at(holder)
	r.mu.Lock()
	next := r.listLease.Known().Next.Name
	r.mu.Unlock()
	for i := range f.replicas {
		if f.settings(i).Self.Name == next {
			return i
		}
	}
	return -1
}

// waitForNextRead waits until the holder is about to begin its next read.
func (f *clusterFixture) waitForNextRead(holder int) {
	f.waitFor(drainTime, "next read", func() bool {
		reader := f.at(holder)
		reader.mu.Lock()
		defer reader.mu.Unlock()
		return !reader.ownListReads.inProgress && reader.now() >= reader.ownListReads.taskTimes.LastOwn+reader.ownListReads.taskTimes.Period-20*time.Millisecond
	})
}

// All replicas know of a draining server in time, also if the replica that reads the list fails between two reads.
func TestDrainingServerIsKnownInTimeWithALongList(t *testing.T) {
	for name, fault := range map[string]func(f *clusterFixture, p *longListPlatform, left time.Time){
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
				if n := r.listLease.Rank(r.leaseView()); i != reader && n > rank {
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
			setup := &clusterFixture{t: t, drainTime: drainTime, cloudRate: 2100}
			setup.run(replicas, http.Handler(p), func(f *clusterFixture) {
				time.Sleep(settleTime)
				left := p.drainAfterNextRead(f)
				fault(f, p, left)
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

// If the period between reads is long, replicas that do not know the period would read the list between the reads of the
// lease holder.
func TestOneReplicaAloneReadsALongListWhenCalm(t *testing.T) {
	const drain = 4 * drainTime
	p := &longListPlatform{}
	setup := &clusterFixture{t: t, drainTime: drain, cloudRate: 2100}
	setup.run(manyReplicas, http.Handler(p), func(f *clusterFixture) {
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
		assert.Assert(f.t, longest <= drain/4, "%v between two reads", longest)
	})
}

func TestListReadAgeCountsFromItsStart(t *testing.T) {
	const ms = time.Millisecond
	r := &latestListRead{}
	assert.Assert(t, r.message(0) == nil)
	r.update(peerlink.Reading{Age: 800 * ms, Period: 1250 * ms, Pages: 16}, 5000*ms)
	assert.Equal(t, r.startedAt, 4200*ms)
	assert.Equal(t, *r.message(6000 * ms), peerlink.Reading{Age: 1800 * ms, Period: 1250 * ms, Pages: 16})
	r.update(peerlink.Reading{Age: -time.Hour}, 7000*ms) // a read can't have begun after this replica learned of it
	assert.Equal(t, *r.message(7000 * ms), peerlink.Reading{Period: 1250 * ms, Pages: 16})
}
