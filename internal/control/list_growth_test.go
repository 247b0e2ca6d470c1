package control

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// growingPlatform serves a server list that grows. It records when whole reads of the list began and ended.
type growingPlatform struct {
	mu            sync.Mutex
	servers       int
	readStartedAt map[string]time.Time // start of the current read, by caller
	newestStart   time.Time            // start of the newest read that has ended
	previousStart time.Time            // start of the read before that one
	longestSpan   time.Duration        // longest time from the start of a read to the end of the next
}

func (p *growingPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := r.URL.Query().Get(api.ServersZone)
	from, _ := strconv.Atoi(r.URL.Query().Get(api.ServersToken))
	rows, next := [][]any{}, from
	for i := from; i < p.servers && len(rows) < longListPageRows; i++ {
		next = i + 1
		if inZone := "z" + strconv.Itoa(i%2); zone == "" || zone == inZone {
			rows = append(rows, []any{serverID(i), "s", "10.5.0.1:80", inZone, "ready"})
		}
	}
	page := api.Page{Table: api.Table{Cols: []string{"id", "backend", "address", "zone", "state"}, Rows: rows}}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	if from == 0 && (zone == "" || zone == "z0") {
		p.readStartedAt[caller] = time.Now()
	}
	if next < p.servers {
		token := strconv.Itoa(next)
		page.NextToken = &token
	} else if begun := p.readStartedAt[caller]; !begun.Before(p.newestStart) {
		if begun.After(p.newestStart) {
			p.previousStart, p.newestStart = p.newestStart, begun
		}
		if !p.previousStart.IsZero() { // the last page of each zone may be the end of the read
			p.longestSpan = max(p.longestSpan, time.Since(p.previousStart))
		}
	}
	_ = json.NewEncoder(w).Encode(page)
}

// Replicas that read the list before it grew, or never did, must not keep the lease's holder from reading it in time.
func TestListThatGrowsIsStillReadInTime(t *testing.T) {
	p := &growingPlatform{servers: 700, readStartedAt: map[string]time.Time{}}
	setup := &clusterFixture{t: t, drainTime: drainTime, cloudRate: 2100}
	setup.run(manyReplicas, http.Handler(p), func(f *clusterFixture) {
		f.net.Set(sim.Faults{Least: 18 * time.Millisecond, Most: 20 * time.Millisecond}) // the platform is in another region
		time.Sleep(20 * time.Second)
		p.mu.Lock()
		p.previousStart, p.newestStart, p.longestSpan = time.Time{}, time.Time{}, 0
		p.mu.Unlock()
		for range 8 {
			time.Sleep(2 * time.Second)
			p.mu.Lock()
			p.servers += 50
			p.mu.Unlock()
		}
		time.Sleep(20 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		f.t.Logf("%v from the start of a read to the end of the next", p.longestSpan)
		assert.Assert(f.t, p.longestSpan <= drainTime-upstreamLossTime, "%v from the start of a read to the end of the next", p.longestSpan)
	})
}
