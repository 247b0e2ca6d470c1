package serverhealth

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of an evaluator's memory.
const (
	maxServers        = 4096    // with evidence
	maxCellsPerServer = 4096    // of evidence on one server, some 150 bytes each
	maxCells          = 1 << 18 // of evidence on all servers together
	minCellsPerServer = 64      // that each server may have, however many servers there are
	maxProxies        = 4096
	maxFutureBins     = 4    // bins by which an observation may be later than its report's time
	clockDriftDivisor = 5000 // two monotonic clocks may drift apart by 1 part in 5000
)

type proxyIncarnation struct {
	name        string
	incarnation int64
}

type cellKey struct {
	proxyIncarnation
	kind  Kind
	group uint8
	bin   int32
}

type cell struct {
	from       *proxyState
	counts     Counts
	unreliable bool
}

type proxyState struct {
	zone         string
	clockOrigin  time.Duration // origin of the proxy's clock on this replica's clock, less drift; the earliest that its reports allow
	lastReport   time.Duration // proxy's clock in its newest report
	lastSequence uint64        // sequence number of that report
	serversTried int
	failingCount int
	failing      map[string]bool
}

// origin returns the time on this replica's clock at which the proxy's clock was 0.
func (w *proxyState) origin(now time.Duration) time.Duration {
	return w.clockOrigin + now/clockDriftDivisor
}

// Evaluator combines the reports of proxies at one control replica and computes verdicts. Times are those of the replica's
// monotonic clock. It is not safe for concurrent use.
type Evaluator struct {
	now           time.Duration
	completeUntil time.Duration // all active proxies have reported up to this time: see watermark
	proxies       map[proxyIncarnation]*proxyState
	cells         map[string]map[cellKey]*cell // by server
	states        map[string]*serverState
	servers       []Server
	regions       map[string]string    // by zone
	baselines     [kindCount]*baseline // computed at baselineTime
	baselineTime  time.Duration
	testFault     string // fault injected by tests
}

// NewEvaluator returns an evaluator without evidence.
func NewEvaluator() *Evaluator {
	return &Evaluator{proxies: map[proxyIncarnation]*proxyState{}, cells: map[string]map[cellKey]*cell{}, states: map[string]*serverState{}}
}

// SetRegions sets the region of each zone. A zone without an entry is its own region.
func (f *Evaluator) SetRegions(regions map[string]string) { f.regions = regions }

// AddReport adds a proxy's report. Reports of more than maxProxies incarnations of proxies are ignored, as are observations
// that are outside of the window.
func (f *Evaluator) AddReport(now time.Duration, s *Report) {
	f.now = max(f.now, now)
	k := proxyIncarnation{s.Proxy, s.Incarnation}
	w := f.proxies[k]
	if w == nil {
		if len(f.proxies) >= maxProxies {
			return
		}
		w = &proxyState{clockOrigin: math.MaxInt64, lastReport: -1}
		f.proxies[k] = w
	}
	w.clockOrigin = min(w.clockOrigin, now-s.Now-now/clockDriftDivisor)
	if s.Now > w.lastReport || s.Now == w.lastReport && s.Sequence >= w.lastSequence {
		w.lastReport, w.lastSequence, w.zone, w.serversTried, w.failingCount, w.failing = s.Now, s.Sequence, s.Zone, s.ServersTried, s.FailingCount, map[string]bool{}
		for _, id := range s.Failing[:min(len(s.Failing), MaxFailing)] {
			w.failing[id] = true
		}
	}
	for _, e := range s.Observations {
		if e.Kind >= kindCount || e.Group >= Groups || e.Bin > binOf(s.Now)+maxFutureBins || e.Bin < binOf(s.Now-Window) {
			continue
		}
		f.addObservation(e, k, w)
	}
}

func (f *Evaluator) addObservation(e Observation, by proxyIncarnation, w *proxyState) {
	serverCells := f.cells[e.Server]
	if serverCells == nil {
		if len(f.cells) >= maxServers {
			return
		}
		serverCells = map[cellKey]*cell{}
		f.cells[e.Server] = serverCells
	}
	k := cellKey{by, e.Kind, e.Group, e.Bin}
	c := serverCells[k]
	if c == nil {
		if len(serverCells) >= min(maxCellsPerServer, max(minCellsPerServer, maxCells/len(f.cells))) {
			f.dropOldest(serverCells)
		}
		c = &cell{from: w}
		serverCells[k] = c
	}
	if f.testFault == "adds" {
		for i := range c.counts {
			c.counts[i] += e.Counts[i]
		}
	}
	c.counts.mergeMax(e.Counts)
	c.unreliable = c.unreliable || e.Unreliable
}

// SilentAfter is the time without a report after which evaluations no longer wait for a proxy. Each proxy reports at least
// once per HeartbeatEvery, even without observations.
const (
	HeartbeatEvery = 4 * time.Second
	SilentAfter    = HeartbeatEvery + 2*time.Second
)

// watermark returns the time up to which all proxies that are not silent have reported, or now if there are none. Later
// evidence would be biased: it comes only from proxies that had something to report, often against a server.
func (f *Evaluator) watermark() time.Duration {
	least := f.now
	if f.testFault == "no watermark" {
		return least
	}
	for _, w := range f.proxies {
		if reported := w.origin(f.now) + w.lastReport; f.now-reported <= SilentAfter {
			least = min(least, reported)
		}
	}
	return least
}

// cellStart returns the start of a cell's bin on this replica's clock.
func (f *Evaluator) cellStart(k *cellKey, c *cell) time.Duration {
	return c.from.origin(f.now) + time.Duration(k.bin)*BinDuration
}

// dropOldest drops the older half of a server's cells.
func (f *Evaluator) dropOldest(serverCells map[cellKey]*cell) {
	keys := make([]cellKey, 0, len(serverCells))
	for k := range serverCells {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(f.cellStart(&a, serverCells[a]), f.cellStart(&b, serverCells[b])), strings.Compare(a.name, b.name), cmp.Compare(a.kind, b.kind), cmp.Compare(a.group, b.group))
	})
	for _, k := range keys[:len(keys)/2] {
		delete(serverCells, k)
	}
}

// expire drops evidence older than the window, servers that are no longer listed, and proxies without evidence or recent
// reports.
func (f *Evaluator) expire() {
	listed := map[string]bool{}
	for _, s := range f.servers {
		listed[s.ID] = true
	}
	used := map[proxyIncarnation]bool{}
	for id, serverCells := range f.cells {
		for k, c := range serverCells {
			if f.now-f.cellStart(&k, c) > Window {
				delete(serverCells, k)
				continue
			}
			used[k.proxyIncarnation] = true
		}
		if len(serverCells) == 0 || f.states[id] != nil && !listed[id] {
			delete(f.cells, id)
		}
	}
	for k, w := range f.proxies {
		if !used[k] && f.now-w.origin(f.now)-w.lastReport > Window {
			delete(f.proxies, k)
		}
	}
	for id := range f.states {
		if !listed[id] {
			delete(f.states, id)
		}
	}
}
