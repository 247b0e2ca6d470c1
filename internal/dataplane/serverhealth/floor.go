package serverhealth

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of a floor's memory.
const (
	maxServers        = 4096    // whose evidence is kept
	maxCellsPerServer = 4096    // of evidence of one server, some 150 bytes each
	maxCells          = 1 << 18 // of all servers together
	minCellsPerServer = 64      // of one, however many there are
	maxProxies        = 4096
	maxFutureBins     = 4    // by which a bin may lie ahead of what its report tells as now
	clockDriftDivisor = 5000 // one part in so many is by how much two steady clocks may differ
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
	clockOrigin  time.Duration // its clock's origin in ours, less drift: the earliest that any of its reports lets be
	lastReport   time.Duration // its own clock in its newest report
	lastSequence uint64        // and that one's number
	serversTried int
	failingCount int
	failing      map[string]bool
}

// origin is when the witness's clock stood at 0.
func (w *proxyState) origin(now time.Duration) time.Duration {
	return w.clockOrigin + now/clockDriftDivisor
}

// Evaluator joins the reports of proxies at one replica. Times are those of the replica's monotonic clock.
type Evaluator struct {
	now           time.Duration
	completeUntil time.Duration // up to then all witnesses that are there have told: see watermark
	proxies       map[proxyIncarnation]*proxyState
	cells         map[string]map[cellKey]*cell // by server
	states        map[string]*serverState
	servers       []Server
	regions       map[string]string    // of zones
	baselines     [kindCount]*baseline // as it was at baselineTime
	baselineTime  time.Duration
	testFault     string // planted by tests
}

// NewEvaluator makes an empty floor.
func NewEvaluator() *Evaluator {
	return &Evaluator{proxies: map[proxyIncarnation]*proxyState{}, cells: map[string]map[cellKey]*cell{}, states: map[string]*serverState{}}
}

// SetRegions sets the region of each zone. A zone that is not named is a region by itself.
func (f *Evaluator) SetRegions(regions map[string]string) { f.regions = regions }

// AddReport adds a proxy's report.
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
	of := f.cells[e.Server]
	if of == nil {
		if len(f.cells) >= maxServers {
			return
		}
		of = map[cellKey]*cell{}
		f.cells[e.Server] = of
	}
	k := cellKey{by, e.Kind, e.Group, e.Bin}
	c := of[k]
	if c == nil {
		if len(of) >= min(maxCellsPerServer, max(minCellsPerServer, maxCells/len(f.cells))) {
			f.dropOldest(of)
		}
		c = &cell{from: w}
		of[k] = c
	}
	if f.testFault == "adds" {
		for i := range c.counts {
			c.counts[i] += e.Counts[i]
		}
	}
	c.counts.mergeMax(e.Counts)
	c.unreliable = c.unreliable || e.Unreliable
}

// SilentAfter is for how long a witness may send no report before judgements no longer wait for it. Each witness reports
// at least once each HeartbeatEvery, even without observations.
const (
	HeartbeatEvery = 4 * time.Second
	SilentAfter    = HeartbeatEvery + 2*time.Second
)

// watermark returns the moment up to which all witnesses that are not silent have reported; now, if there is none. Later
// evidence would be biased: it comes only from witnesses that had something to report, often against a server.
func (f *Evaluator) watermark() time.Duration {
	least := f.now
	if f.testFault == "no watermark" {
		return least
	}
	for _, w := range f.proxies {
		if told := w.origin(f.now) + w.lastReport; f.now-told <= SilentAfter {
			least = min(least, told)
		}
	}
	return least
}

// cellStart is when a cell's span began.
func (f *Evaluator) cellStart(k *cellKey, c *cell) time.Duration {
	return c.from.origin(f.now) + time.Duration(k.bin)*BinDuration
}

// dropOldest drops the older half of a server's cells.
func (f *Evaluator) dropOldest(of map[cellKey]*cell) {
	keys := make([]cellKey, 0, len(of))
	for k := range of {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(f.cellStart(&a, of[a]), f.cellStart(&b, of[b])), strings.Compare(a.name, b.name), cmp.Compare(a.kind, b.kind), cmp.Compare(a.group, b.group))
	})
	for _, k := range keys[:len(keys)/2] {
		delete(of, k)
	}
}

// expire drops what is too old, and servers and witnesses of whom nothing is left.
func (f *Evaluator) expire() {
	there := map[string]bool{}
	for _, s := range f.servers {
		there[s.ID] = true
	}
	used := map[proxyIncarnation]bool{}
	for id, of := range f.cells {
		for k, c := range of {
			if f.now-f.cellStart(&k, c) > Window {
				delete(of, k)
				continue
			}
			used[k.proxyIncarnation] = true
		}
		if len(of) == 0 || f.states[id] != nil && !there[id] {
			delete(f.cells, id)
		}
	}
	for k, w := range f.proxies {
		if !used[k] && f.now-w.origin(f.now)-w.lastReport > Window {
			delete(f.proxies, k)
		}
	}
	for id := range f.states {
		if !there[id] {
			delete(f.states, id)
		}
	}
}
