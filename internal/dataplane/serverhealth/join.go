package serverhealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Thresholds of a judgement. Weights are in outcomes.
const (
	minFailures           = 4.0               // against a server, after all caps, that condemn it
	maxGroupFailures      = 0.6 * minFailures // at most of one tenant group, ...
	maxProxyFailures      = 0.6 * minFailures // ... and of one proxy: neither can condemn alone
	maxGroupOutcomes      = 6.0               // at most of one group, for and against
	unreliableWeight      = 0.25              // of what one saw who was ill itself
	minThresholdShare     = 0.25              // against a server, of all, that condemn it; and twice what is usual
	maxThresholdShare     = 0.6
	usualFactor           = 2.0
	minLogLikelihoodRatio = 12.0 // in e-folds, that condemns
	minUsual              = 0.02
	maxUsual              = 0.45
	usualMargin           = 1.3
	minUnhealthyShare     = 0.5
	maxUnhealthyShare     = 0.9
	baselineInterval      = 5 * time.Second  // what is usual changes slowly, and takes a look at all
	minRemainingRatio     = 4.0              // in e-folds, that is left without the region that speaks most against a server: see rest
	recentUse             = 16 * BinDuration // for so long a zone that has used a server has a say in it
	minServersTried       = 3                // servers that a proxy must have tried to be compared
	minZoneSuccesses      = 2.0              // for a server, without one group, that let a zone speak for it
	zeroWeightExcess      = 0.75             // servers failing at it beyond what is usual among proxies, at which its statement counts nothing
)

// spans are the last parts of the window that are looked at, the shortest first: what was good before a server fell ill
// does not hide it.
var spans = []time.Duration{BinDuration, 2 * BinDuration, 4 * BinDuration, 8 * BinDuration, 16 * BinDuration, 32 * BinDuration, 64 * BinDuration, Window}

// evaluation is the evaluation of the evidence on one server and kind in one span.
type evaluation struct {
	bad, good           float64
	share               float64 // against it, without the group that speaks for it most
	plainShare          float64 // share of all
	logLikelihoodRatio  float64 // logarithm of how much likelier it is of an ill server than of a usual one
	number              int
	against, supporting int // witnesses
	zonesAgainst        int
	zonesFor            int
	zones               map[string]*tally // what each said
	threshold           threshold         // that it was held against
	unfit               bool              // also beside the control group
}

// proxyWeight returns the weight of a proxy's statement about a server, 0 to 1. It is small if the proxy's attempts fail at
// many other servers too, beyond the median of all proxies.
func (f *Evaluator) proxyWeight(w *proxyState, server string, usual float64) float64 {
	if f.testFault == "trusts all" {
		return 1
	}
	return 1 - min(1, max(0, w.failingShareExcept(server)-usual)/zeroWeightExcess)
}

// failingShareExcept returns the share of other servers that fail for a proxy; 0 if it has tried too few.
func (w *proxyState) failingShareExcept(server string) float64 {
	tried, fails := w.serversTried, w.failingCount
	if w.failing[server] {
		tried, fails = tried-1, fails-1
	}
	if tried < minServersTried {
		return 0
	}
	return float64(fails) / float64(tried)
}

func (f *Evaluator) medianFailingShare(server string) float64 {
	var all []float64
	for _, w := range f.proxies {
		if w.serversTried >= minServersTried {
			all = append(all, w.failingShareExcept(server))
		}
	}
	return lowerMedian(all)
}

func lowerMedian(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// proxyTotals holds one proxy's weighted statements, by group.
type proxyTotals struct {
	zone    string
	count   int
	byGroup [Groups][2]int64 // against, for
}

// weightedCell is the weighted evidence of one cell.
type weightedCell struct {
	name, zone string
	group      uint8
	number     int
	bad, good  int64
}

// weightedCells returns the evidence on a server from spans that began between two moments, sorted into the shortest of spans
// that it falls in, counted back from until.
func (f *Evaluator) weightedCells(server string, kind Kind, since, until time.Duration, usual float64) (all [][]weightedCell) {
	all = make([][]weightedCell, len(spans))
	credit := map[*proxyState]float64{}
	for k, c := range f.cells[server] {
		if k.kind != kind {
			continue
		}
		at := f.cellStart(&k, c)
		if at < since || at > until {
			continue
		}
		i := slices.IndexFunc(spans, func(d time.Duration) bool { return until-at <= d })
		if i < 0 {
			continue
		}
		w := c.from
		worth, ok := credit[w]
		if !ok {
			worth = f.proxyWeight(w, server, usual)
			credit[w] = worth
		}
		worth *= math.Exp2(-float64(max(0, f.now-at)) / float64(halfLife))
		if c.unreliable && f.testFault != "hears the ill" {
			worth *= unreliableWeight
		}
		bad, good := c.counts.weightedSums()
		all[i] = append(all[i], weightedCell{k.name, w.zone, k.group, c.counts.total(), int64(float64(bad) * worth), int64(float64(good) * worth)})
	}
	return all
}

// addCells adds statements to voices, by proxy's name.
func addCells(voices map[string]*proxyTotals, statements ...[]weightedCell) map[string]*proxyTotals {
	for _, list := range statements {
		for _, x := range list {
			v := voices[x.name]
			if v == nil {
				v = &proxyTotals{zone: x.zone}
				voices[x.name] = v
			}
			v.count += x.number
			v.byGroup[x.group][0] += x.bad
			v.byGroup[x.group][1] += x.good
		}
	}
	return voices
}

// combine makes one reading of all voices: by group first, each with a cap, then by proxy, each with a cap.
func (f *Evaluator) combine(voices map[string]*proxyTotals, b threshold) (r evaluation) {
	var group [Groups][2]float64
	for _, v := range voices {
		for g, x := range v.byGroup {
			group[g][0] += float64(x[0]) / weightUnit // whole multiples of 1/4096: exact in any order
			group[g][1] += float64(x[1]) / weightUnit
		}
	}
	var scale [Groups][2]float64
	for g, x := range group {
		all := min(1, maxGroupOutcomes/max(maxGroupOutcomes, x[0]+x[1]))
		scale[g] = [2]float64{all, all}
		if x[0]*all > maxGroupFailures {
			scale[g][0] = maxGroupFailures / x[0]
		}
		if f.testFault == "no group cap" {
			scale[g] = [2]float64{1, 1}
		}
	}
	all, zones := &tally{}, map[string]*tally{}
	for _, name := range slices.Sorted(maps.Keys(voices)) {
		v, t := voices[name], &tally{}
		for g, x := range v.byGroup {
			t.bad += float64(x[0]) / weightUnit * scale[g][0]
			t.good[g] = float64(x[1]) / weightUnit * scale[g][1]
		}
		if f.testFault != "no witness cap" {
			t.bad = min(t.bad, maxProxyFailures)
		}
		if zones[v.zone] == nil {
			zones[v.zone] = &tally{}
		}
		all.add(t)
		zones[v.zone].add(t)
		r.number += v.count
		good, apart := t.goodSums()
		switch {
		case t.isAgainst(apart, b):
			r.against++
		case good > 0:
			r.supporting++
		}
	}
	r.threshold, r.zones = b, zones
	for _, z := range zones {
		switch _, apart := z.goodSums(); {
		case z.isAgainst(apart, b):
			r.zonesAgainst++
		case apart >= minZoneSuccesses:
			r.zonesFor++
		}
	}
	r.bad = all.bad
	good, apart := all.goodSums()
	if r.good = good; r.bad > 0 {
		r.plainShare, r.share = r.bad/(r.bad+good), r.bad/(r.bad+apart)
		if f.testFault == "one group absolves" {
			r.share, apart = r.plainShare, good
		}
		r.logLikelihoodRatio = b.logLikelihoodRatio(r.bad, apart)
	}
	return r
}

// tally is what speaks against a server, and for it by group.
type tally struct {
	bad  float64
	good [Groups]float64
}

func (t *tally) add(o *tally) {
	t.bad += o.bad
	for g, x := range o.good {
		t.good[g] += x
	}
}

// goodSums are what speaks for it, with and without the group that does so most: so none can absolve alone.
func (t *tally) goodSums() (all, apart float64) {
	for _, x := range t.good {
		all += x
	}
	return all, all - slices.Max(t.good[:])
}

// logLikelihoodRatio is what it adds to the proof against a server, in e-folds.
func (t *tally) logLikelihoodRatio(b threshold) float64 {
	_, apart := t.goodSums()
	return b.logLikelihoodRatio(t.bad, apart)
}

func (t *tally) isAgainst(apart float64, b threshold) bool {
	return t.bad > 0 && t.bad >= b.share*(t.bad+apart)
}

// evaluateServer looks at all spans of a server's evidence from one moment to another, and gives the one that speaks most
// against it.
func (f *Evaluator) evaluateServer(server string, kind Kind, since, until time.Duration) (worst evaluation) {
	if !f.hasFailures(server, kind) {
		return worst
	}
	base := f.baselines[kind]
	usual, group := base.usual(server), standardizedShare{}
	voices := map[string]*proxyTotals{}
	for i, list := range f.weightedCells(server, kind, since, until, f.medianFailingShare(server)) {
		if len(list) > 0 {
			own := f.combine(addCells(map[string]*proxyTotals{}, list), thresholdFor(usual))
			group.add(own.bad+own.good, base.control(server, i))
		}
		addCells(voices, list)
		r := f.combine(voices, thresholdFor(usual))
		if r.bad >= minFailures && f.isUnfit(server, f.combine(voices, f.controlThreshold(usual, group.share()))) {
			r.unfit = true
			return r
		}
		if worst.number == 0 || f.isDoubtful(r) && !f.isDoubtful(worst) {
			worst = r
		}
	}
	return worst
}

// controlThreshold is what condemns a server is held against; what makes it doubtful needs no control group.
func (f *Evaluator) controlThreshold(usual, control float64) threshold {
	if f.testFault == "no control group" {
		return thresholdFor(usual)
	}
	return thresholdFor(max(usual, control))
}

func (f *Evaluator) hasFailures(server string, kind Kind) bool {
	for k, c := range f.cells[server] {
		if bad, _ := c.counts.weightedSums(); bad > 0 && k.kind == kind {
			return true
		}
	}
	return false
}

// isUnfit tells whether a reading makes a server unfit.
func (f *Evaluator) isUnfit(server string, r evaluation) bool {
	if r.bad < minFailures || r.share < r.threshold.share || r.logLikelihoodRatio < minLogLikelihoodRatio || r.against < 2 {
		return false
	}
	if f.testFault == "one zone condemns" || f.zoneCount() < 2 {
		return true
	}
	return r.zonesAgainst > r.zonesFor && r.zonesAgainst > 1 && f.remainingRatio(server, r) >= minRemainingRatio
}

// remainingRatio is the proof against a server that is left, in e-folds, without what one region saw of it: the region whose statements
// weighs most. Bad ways between a region and a server explain all but that. Where all who lately used the server are in
// one region, it is what is left without one zone.
func (f *Evaluator) remainingRatio(server string, r evaluation) float64 {
	if f.testFault == "no rest asked" {
		return minRemainingRatio
	}
	least := math.Inf(1)
	for _, apart := range f.failureDomains(server) {
		left := &tally{}
		for zone, t := range r.zones {
			if !slices.Contains(apart, zone) {
				left.add(t)
			}
		}
		least = min(least, left.logLikelihoodRatio(r.threshold))
	}
	return least
}

// failureDomains are the zones of witnesses that lately used a server, by region, or each zone where there is one region.
func (f *Evaluator) failureDomains(server string) [][]string {
	regions, zones := map[string][]string{}, map[string]bool{}
	for k, c := range f.cells[server] {
		zone := c.from.zone
		if zones[zone] || f.now-f.cellStart(&k, c) > recentUse {
			continue
		}
		zones[zone] = true
		region := cmp.Or(f.regions[zone], zone)
		regions[region] = append(regions[region], zone)
	}
	if len(regions) > 1 {
		return slices.Collect(maps.Values(regions))
	}
	var all [][]string
	for zone := range zones {
		all = append(all, []string{zone})
	}
	return all
}

// isDoubtful tells whether a reading makes a server doubtful.
func (f *Evaluator) isDoubtful(r evaluation) bool {
	return r.bad >= minFailures/2 && r.share >= r.threshold.share && r.logLikelihoodRatio >= minLogLikelihoodRatio/2 && r.zonesAgainst > r.zonesFor
}

// zoneCount are in how many zones there are proxies that told something.
func (f *Evaluator) zoneCount() int {
	all := map[string]bool{}
	for _, w := range f.proxies {
		all[w.zone] = true
	}
	return len(all)
}
