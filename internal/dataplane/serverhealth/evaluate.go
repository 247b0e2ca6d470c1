package serverhealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Thresholds of an evaluation. Weights are in outcomes; logarithms of likelihood ratios are natural.
const (
	minFailures           = 4.0               // weight against a server, after all caps, that makes it unfit
	maxGroupFailures      = 0.6 * minFailures // cap on one tenant group's weight against a server, ...
	maxProxyFailures      = 0.6 * minFailures // ... and on one proxy's: neither alone can make a server unfit
	maxGroupOutcomes      = 6.0               // cap on one group's weight, for and against together
	unreliableWeight      = 0.25              // weight of an observation by a proxy that was itself unreliable
	minThresholdShare     = 0.25              // share against a server that makes it unfit; the usual share times usualFactor, within these limits
	maxThresholdShare     = 0.6
	usualFactor           = 2.0
	minLogLikelihoodRatio = 12.0 // that makes a server unfit
	minUsual              = 0.02
	maxUsual              = 0.45
	usualMargin           = 1.3
	minUnhealthyShare     = 0.5
	maxUnhealthyShare     = 0.9
	baselineInterval      = 5 * time.Second  // baselines change slowly, and computing them reads all evidence
	minRemainingRatio     = 4.0              // without the region with the strongest evidence against a server: see remainingRatio
	recentUse             = 16 * BinDuration // a zone that used a server within this time counts as one of its failure domains
	minServersTried       = 3                // servers that a proxy must have tried before its failing share is used
	minZoneSuccesses      = 2.0              // weight for a server, without the zone's largest group, at which a zone counts for it
	zeroWeightExcess      = 0.75             // excess of a proxy's failing share over the median of proxies at which its evidence has no weight
)

// spans are the periods before the evaluation that are examined, shortest first, so that good outcomes from before a fault
// don't hide it.
var spans = []time.Duration{BinDuration, 2 * BinDuration, 4 * BinDuration, 8 * BinDuration, 16 * BinDuration, 32 * BinDuration, 64 * BinDuration, Window}

// evaluation is the result of combining the evidence on one server and kind in one span.
type evaluation struct {
	bad, good           float64
	share               float64 // against the server, without the group with the most weight for it
	plainShare          float64 // share against the server, with all groups
	logLikelihoodRatio  float64 // natural logarithm of the likelihood of the outcomes for an unhealthy server over that for a healthy one
	number              int     // attempts
	against, supporting int     // proxies
	zonesAgainst        int
	zonesFor            int
	zones               map[string]*tally // evidence by zone
	threshold           threshold         // that the evidence was compared with
	unfit               bool              // also when compared with the control group
}

// proxyWeight returns the weight of a proxy's evidence on a server, 0 to 1. It is small if the proxy's attempts also fail at
// many other servers, beyond the median of all proxies.
func (f *Evaluator) proxyWeight(w *proxyState, server string, usual float64) float64 {
	if f.testFault == "trusts all" {
		return 1
	}
	return 1 - min(1, max(0, w.failingShareExcept(server)-usual)/zeroWeightExcess)
}

// failingShareExcept returns the share of other servers that fail for a proxy, or 0 if it has tried too few.
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

// proxyTotals holds one proxy's weighted evidence, by group.
type proxyTotals struct {
	zone    string
	count   int
	byGroup [Groups][2]int64 // weights against and for, in units of 1/weightUnit
}

// weightedCell is the weighted evidence of one cell.
type weightedCell struct {
	name, zone string
	group      uint8
	number     int
	bad, good  int64
}

// weightedCells returns the evidence on a server from bins that began between since and until. Element i holds the cells
// whose shortest span, counted back from until, is spans[i].
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
		weight, ok := credit[w]
		if !ok {
			weight = f.proxyWeight(w, server, usual)
			credit[w] = weight
		}
		weight *= math.Exp2(-float64(max(0, f.now-at)) / float64(halfLife))
		if c.unreliable && f.testFault != "hears the ill" {
			weight *= unreliableWeight
		}
		bad, good := c.counts.weightedSums()
		all[i] = append(all[i], weightedCell{k.name, w.zone, k.group, c.counts.total(), int64(float64(bad) * weight), int64(float64(good) * weight)})
	}
	return all
}

// addCells adds weighted cells to the totals of their proxies, by proxy name.
func addCells(totals map[string]*proxyTotals, statements ...[]weightedCell) map[string]*proxyTotals {
	for _, list := range statements {
		for _, x := range list {
			v := totals[x.name]
			if v == nil {
				v = &proxyTotals{zone: x.zone}
				totals[x.name] = v
			}
			v.count += x.number
			v.byGroup[x.group][0] += x.bad
			v.byGroup[x.group][1] += x.good
		}
	}
	return totals
}

// combine evaluates the totals of all proxies. It caps the weight of each group first, then the weight of each proxy.
func (f *Evaluator) combine(totals map[string]*proxyTotals, b threshold) (r evaluation) {
	var group [Groups][2]float64
	for _, v := range totals {
		for g, x := range v.byGroup {
			group[g][0] += float64(x[0]) / weightUnit // whole multiples of 1/4096, so the sum is exact in any order
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
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		v, t := totals[name], &tally{}
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
		good, withoutLargest := t.goodSums()
		switch {
		case t.isAgainst(withoutLargest, b):
			r.against++
		case good > 0:
			r.supporting++
		}
	}
	r.threshold, r.zones = b, zones
	for _, z := range zones {
		switch _, withoutLargest := z.goodSums(); {
		case z.isAgainst(withoutLargest, b):
			r.zonesAgainst++
		case withoutLargest >= minZoneSuccesses:
			r.zonesFor++
		}
	}
	r.bad = all.bad
	good, withoutLargest := all.goodSums()
	if r.good = good; r.bad > 0 {
		r.plainShare, r.share = r.bad/(r.bad+good), r.bad/(r.bad+withoutLargest)
		if f.testFault == "one group absolves" {
			r.share, withoutLargest = r.plainShare, good
		}
		r.logLikelihoodRatio = b.logLikelihoodRatio(r.bad, withoutLargest)
	}
	return r
}

// tally holds the weight against a server, and the weight for it by group.
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

// goodSums returns the weight for the server, with and without its largest group, so that no group alone can clear a server.
func (t *tally) goodSums() (all, withoutLargest float64) {
	for _, x := range t.good {
		all += x
	}
	return all, all - slices.Max(t.good[:])
}

// logLikelihoodRatio returns the tally's contribution to the log-likelihood ratio, without its largest group for the server.
func (t *tally) logLikelihoodRatio(b threshold) float64 {
	_, withoutLargest := t.goodSums()
	return b.logLikelihoodRatio(t.bad, withoutLargest)
}

func (t *tally) isAgainst(withoutLargest float64, b threshold) bool {
	return t.bad > 0 && t.bad >= b.share*(t.bad+withoutLargest)
}

// evaluateServer evaluates a server's evidence from since to until over all spans. It returns the first evaluation that
// makes the server unfit, else the first that makes it doubtful, else the first one with evidence.
func (f *Evaluator) evaluateServer(server string, kind Kind, since, until time.Duration) (worst evaluation) {
	if !f.hasFailures(server, kind) {
		return worst
	}
	base := f.baselines[kind]
	usual, group := base.usual(server), standardizedShare{}
	totals := map[string]*proxyTotals{}
	for i, list := range f.weightedCells(server, kind, since, until, f.medianFailingShare(server)) {
		if len(list) > 0 {
			own := f.combine(addCells(map[string]*proxyTotals{}, list), thresholdFor(usual))
			group.add(own.bad+own.good, base.control(server, i))
		}
		addCells(totals, list)
		r := f.combine(totals, thresholdFor(usual))
		if r.bad >= minFailures && f.isUnfit(server, f.combine(totals, f.controlThreshold(usual, group.share()))) {
			r.unfit = true
			return r
		}
		if worst.number == 0 || f.isDoubtful(r) && !f.isDoubtful(worst) {
			worst = r
		}
	}
	return worst
}

// controlThreshold returns the threshold for an unfit server. The threshold for a doubtful one uses no control group.
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

// isUnfit reports whether an evaluation makes a server unfit.
func (f *Evaluator) isUnfit(server string, r evaluation) bool {
	if r.bad < minFailures || r.share < r.threshold.share || r.logLikelihoodRatio < minLogLikelihoodRatio || r.against < 2 {
		return false
	}
	if f.testFault == "one zone condemns" || f.zoneCount() < 2 {
		return true
	}
	return r.zonesAgainst > r.zonesFor && r.zonesAgainst > 1 && f.remainingRatio(server, r) >= minRemainingRatio
}

// remainingRatio returns the lowest log-likelihood ratio that remains when the evidence of one region is left out. A faulty
// network path between a region and the server can explain that region's evidence, but not the remainder. If all zones that
// recently used the server are in one region, single zones are left out instead.
func (f *Evaluator) remainingRatio(server string, r evaluation) float64 {
	if f.testFault == "no rest asked" {
		return minRemainingRatio
	}
	least := math.Inf(1)
	for _, domain := range f.failureDomains(server) {
		left := &tally{}
		for zone, t := range r.zones {
			if !slices.Contains(domain, zone) {
				left.add(t)
			}
		}
		least = min(least, left.logLikelihoodRatio(r.threshold))
	}
	return least
}

// failureDomains returns the zones of proxies that recently used a server, grouped by region, or each zone by itself if
// there is only one region.
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

// isDoubtful reports whether an evaluation makes a server doubtful.
func (f *Evaluator) isDoubtful(r evaluation) bool {
	return r.bad >= minFailures/2 && r.share >= r.threshold.share && r.logLikelihoodRatio >= minLogLikelihoodRatio/2 && r.zonesAgainst > r.zonesFor
}

// zoneCount returns the number of zones with proxies that have reported.
func (f *Evaluator) zoneCount() int {
	all := map[string]bool{}
	for _, w := range f.proxies {
		all[w.zone] = true
	}
	return len(all)
}
