package serverhealth

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits and thresholds of a recorder.
const (
	maxObservations     = 8192 // kept by a proxy
	recentlyTriedWindow = time.Minute
	minFailingShare     = 0.25 // share of failures at which a server is reported as failing
	unreliableBinsBack  = 2    // bins before the current one that are marked too: a proxy detects its own trouble late
	maxCount            = math.MaxUint16
)

type observationKey struct {
	server string
	kind   Kind
	group  uint8
	bin    int32
}

type binCounts struct {
	counts     Counts
	unreliable bool
	sequence   uint64 // recorder's sequence number at the last change
}

// Recorder collects a proxy's observations of servers. Times are those of the proxy's monotonic clock. It is not safe for
// concurrent use.
type Recorder struct {
	name, zone     string
	incarnation    int64
	observations   map[observationKey]*binCounts
	unreliableBins map[int32]bool
	sequence       uint64 // incremented by each change
}

// NewRecorder returns an empty recorder for one incarnation of a proxy.
func NewRecorder(name, zone string, life int64) *Recorder {
	return &Recorder{name: name, zone: zone, incarnation: life, observations: map[observationKey]*binCounts{}, unreliableBins: map[int32]bool{}}
}

func binOf(now time.Duration) int32 { return int32(now / BinDuration) }

// Add records the outcome of an attempt. It ignores unknown kinds and outcomes.
func (b *Recorder) Add(now time.Duration, server string, kind Kind, group uint8, o Outcome) {
	if kind >= kindCount || o >= outcomeCount {
		return
	}
	k := observationKey{server, kind, group % Groups, binOf(now)}
	e := b.observations[k]
	if e == nil {
		if len(b.observations) >= maxObservations {
			b.expire(now)
		}
		e = &binCounts{unreliable: b.unreliableBins[k.bin]}
		b.observations[k] = e
	}
	b.sequence++
	e.sequence = b.sequence
	if e.counts[o] < maxCount {
		e.counts[o]++
	}
}

// MarkUnreliable records that the proxy itself is short of CPU, disconnected or shutting down, so its current observations
// say little about servers.
func (b *Recorder) MarkUnreliable(now time.Duration) {
	b.sequence++
	for bin := binOf(now) - unreliableBinsBack; bin <= binOf(now); bin++ {
		b.unreliableBins[bin] = true
	}
	for k, e := range b.observations {
		if b.unreliableBins[k.bin] && !e.unreliable {
			e.unreliable, e.sequence = true, b.sequence
		}
	}
}

// expire drops observations older than the window, and the older half if there are too many.
func (b *Recorder) expire(now time.Duration) {
	oldest := binOf(now - Window)
	if len(b.observations) >= maxObservations {
		var bins []int32
		for k := range b.observations {
			bins = append(bins, k.bin)
		}
		slices.Sort(bins)
		oldest = max(oldest, bins[len(bins)/2]+1)
	}
	for k := range b.observations {
		if k.bin < oldest {
			delete(b.observations, k)
		}
	}
	for bin := range b.unreliableBins {
		if bin < oldest {
			delete(b.unreliableBins, bin)
		}
	}
}

// ReportSince returns a report for one replica of what has changed after a sequence number, and the sequence number to pass
// the next time. 0 selects everything, as for a new replica or connection. The report has observations only of servers that
// mine selects, but ServersTried and FailingCount cover all servers.
func (b *Recorder) ReportSince(now time.Duration, after uint64, mine func(server string) bool) (*Report, uint64) {
	b.expire(now)
	s := &Report{Proxy: b.name, Incarnation: b.incarnation, Zone: b.zone, Now: now, Sequence: b.sequence}
	seen := map[string][2]int64{}
	for k, e := range b.observations {
		if k.bin >= binOf(now-recentlyTriedWindow) {
			bad, good := e.counts.weightedSums()
			v := seen[k.server]
			seen[k.server] = [2]int64{v[0] + bad, v[1] + good}
		}
		if e.sequence > after && mine(k.server) {
			s.Observations = append(s.Observations, Observation{k.server, k.kind, k.group, k.bin, e.unreliable, e.counts})
		}
	}
	for id, v := range seen {
		if v[0]+v[1] == 0 {
			continue
		}
		if s.ServersTried++; float64(v[0]) >= minFailingShare*float64(v[0]+v[1]) {
			s.Failing = append(s.Failing, id)
		}
	}
	slices.Sort(s.Failing)
	s.FailingCount = len(s.Failing)
	s.Failing = s.Failing[:min(s.FailingCount, MaxFailing)]
	slices.SortFunc(s.Observations, func(x, y Observation) int {
		return cmp.Or(strings.Compare(x.Server, y.Server), cmp.Compare(x.Bin, y.Bin), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Group, y.Group))
	})
	return s, b.sequence
}
