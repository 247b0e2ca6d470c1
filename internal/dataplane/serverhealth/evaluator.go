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
	mostServers   = 4096    // with evidence
	mostCells     = 4096    // of evidence on one server, some 150 bytes each
	mostAll       = 1 << 18 // of evidence on all servers together
	leastCells    = 64      // that each server may have, however many servers there are
	mostWitnesses = 4096
	futureBins    = 4    // bins by which an observation may be later than its report's time
	drift         = 5000 // two monotonic clocks may drift apart by 1 part in 5000
)

type wit struct {
	name string
	life int64
}

type cellKey struct {
	wit
	kind  Kind
	group uint8
	bin   int32
}

type cell struct {
	from   *witness
	counts Counts
	ill    bool
}

type witness struct {
	zone    string
	base    time.Duration // origin of the proxy's clock on this replica's clock, less drift; the earliest that its reports allow
	last    time.Duration // proxy's clock in its newest report
	no      uint64        // sequence number of that report
	tried   int
	fails   int
	failing map[string]bool
}

// origin returns the time on this replica's clock at which the proxy's clock was 0.
func (w *witness) origin(now time.Duration) time.Duration { return w.base + now/drift }

// Evaluator combines the reports of proxies at one control replica and computes verdicts. Times are those of the replica's
// monotonic clock. It is not safe for concurrent use.
type Floor struct {
	now       time.Duration
	settled   time.Duration // all active proxies have reported up to this time: see watermark
	witnesses map[wit]*witness
	cells     map[string]map[cellKey]*cell // by server
	records   map[string]*record
	servers   []Server
	regions   map[string]string // by zone
	base      [kinds]*baseline  // computed at baselineTime
	baseAt    time.Duration
	fault     string // fault injected by tests
}

// NewEvaluator returns an evaluator without evidence.
func NewFloor() *Floor {
	return &Floor{witnesses: map[wit]*witness{}, cells: map[string]map[cellKey]*cell{}, records: map[string]*record{}}
}

// SetRegions sets the region of each zone. A zone without an entry is its own region.
func (f *Floor) Place(regions map[string]string) { f.regions = regions }

// AddReport adds a proxy's report. Reports of more than maxProxies incarnations of proxies are ignored, as are observations
// that are outside of the window.
func (f *Floor) Hear(now time.Duration, s *Report) {
	f.now = max(f.now, now)
	k := wit{s.Witness, s.Life}
	w := f.witnesses[k]
	if w == nil {
		if len(f.witnesses) >= mostWitnesses {
			return
		}
		w = &witness{base: math.MaxInt64, last: -1}
		f.witnesses[k] = w
	}
	w.base = min(w.base, now-s.Now-now/drift)
	if s.Now > w.last || s.Now == w.last && s.No >= w.no {
		w.last, w.no, w.zone, w.tried, w.fails, w.failing = s.Now, s.No, s.Zone, s.Tried, s.Fails, map[string]bool{}
		for _, id := range s.Failing[:min(len(s.Failing), MostFailing)] {
			w.failing[id] = true
		}
	}
	for _, e := range s.Observations {
		if e.Kind >= kinds || e.Group >= Groups || e.Bin > binOf(s.Now)+futureBins || e.Bin < binOf(s.Now-Window) {
			continue
		}
		f.put(e, k, w)
	}
}

func (f *Floor) put(e Observation, by wit, w *witness) {
	serverCells := f.cells[e.Server]
	if serverCells == nil {
		if len(f.cells) >= mostServers {
			return
		}
		serverCells = map[cellKey]*cell{}
		f.cells[e.Server] = serverCells
	}
	k := cellKey{by, e.Kind, e.Group, e.Bin}
	c := serverCells[k]
	if c == nil {
		if len(serverCells) >= min(mostCells, max(leastCells, mostAll/len(f.cells))) {
			f.thin(serverCells)
		}
		c = &cell{from: w}
		serverCells[k] = c
	}
	if f.fault == "adds" {
		for i := range c.counts {
			c.counts[i] += e.Counts[i]
		}
	}
	c.counts.onto(e.Counts)
	c.ill = c.ill || e.Ill
}

// SilentAfter is the time without a report after which evaluations no longer wait for a proxy. Each proxy reports at least
// once per HeartbeatEvery, even without observations.
const (
	HeartbeatEvery = 4 * time.Second
	SilentAfter    = HeartbeatEvery + 2*time.Second
)

// watermark returns the time up to which all proxies that are not silent have reported, or now if there are none. Later
// evidence would be biased: it comes only from proxies that had something to report, often against a server.
func (f *Floor) watermark() time.Duration {
	least := f.now
	if f.fault == "no watermark" {
		return least
	}
	for _, w := range f.witnesses {
		if reported := w.origin(f.now) + w.last; f.now-reported <= SilentAfter {
			least = min(least, reported)
		}
	}
	return least
}

// cellStart returns the start of a cell's bin on this replica's clock.
func (f *Floor) begins(k *cellKey, c *cell) time.Duration {
	return c.from.origin(f.now) + time.Duration(k.bin)*Span
}

// dropOldest drops the older half of a server's cells.
func (f *Floor) thin(serverCells map[cellKey]*cell) {
	keys := make([]cellKey, 0, len(serverCells))
	for k := range serverCells {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(f.begins(&a, serverCells[a]), f.begins(&b, serverCells[b])), strings.Compare(a.name, b.name), cmp.Compare(a.kind, b.kind), cmp.Compare(a.group, b.group))
	})
	for _, k := range keys[:len(keys)/2] {
		delete(serverCells, k)
	}
}

// expire drops evidence older than the window, servers that are no longer listed, and proxies without evidence or recent
// reports.
func (f *Floor) forget() {
	listed := map[string]bool{}
	for _, s := range f.servers {
		listed[s.ID] = true
	}
	used := map[wit]bool{}
	for id, serverCells := range f.cells {
		for k, c := range serverCells {
			if f.now-f.begins(&k, c) > Window {
				delete(serverCells, k)
				continue
			}
			used[k.wit] = true
		}
		if len(serverCells) == 0 || f.records[id] != nil && !listed[id] {
			delete(f.cells, id)
		}
	}
	for k, w := range f.witnesses {
		if !used[k] && f.now-w.origin(f.now)-w.last > Window {
			delete(f.witnesses, k)
		}
	}
	for id := range f.records {
		if !listed[id] {
			delete(f.records, id)
		}
	}
}
