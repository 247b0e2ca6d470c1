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
	need       = 4.0        // weight against a server, after all caps, that makes it unfit
	groupBad   = 0.6 * need // cap on one tenant group's weight against a server, ...
	witnessBad = 0.6 * need // ... and on one proxy's: neither alone can make a server unfit
	groupMass  = 6.0        // cap on one group's weight, for and against together
	illWorth   = 0.25       // weight of an observation by a proxy that was itself unreliable
	leastShare = 0.25       // share against a server that makes it unfit; the usual share times usualFactor, within these limits
	mostShare  = 0.6
	usualTimes = 2.0
	proof      = 12.0 // that makes a server unfit
	leastUsual = 0.02
	mostUsual  = 0.45
	spare      = 1.3
	leastIll   = 0.5
	mostIll    = 0.9
	usualEvery = 5 * time.Second // baselines change slowly, and computing them reads all evidence
	restProof  = 4.0             // without the region with the strongest evidence against a server: see remainingRatio
	lately     = 16 * Span       // a zone that used a server within this time counts as one of its failure domains
	enoughSeen = 3               // servers that a proxy must have tried before its failing share is used
	zoneGood   = 2.0             // weight for a server, without the zone's largest group, at which a zone counts for it
	fullExcess = 0.75            // excess of a proxy's failing share over the median of proxies at which its evidence has no weight
)

// spans are the periods before the evaluation that are examined, shortest first, so that good outcomes from before a fault
// don't hide it.
var spans = []time.Duration{Span, 2 * Span, 4 * Span, 8 * Span, 16 * Span, 32 * Span, 64 * Span, Window}

// evaluation is the result of combining the evidence on one server and kind in one span.
type reading struct {
	bad, good     float64
	share         float64 // against the server, without the group with the most weight for it
	plain         float64 // share against the server, with all groups
	proof         float64 // natural logarithm of the likelihood of the outcomes for an unhealthy server over that for a healthy one
	number        int     // attempts
	against, for_ int     // proxies
	zonesAgainst  int
	zonesFor      int
	zones         map[string]*tally // evidence by zone
	bar           bar               // that the evidence was compared with
	condemns      bool              // also when compared with the control group
}

// proxyWeight returns the weight of a proxy's evidence on a server, 0 to 1. It is small if the proxy's attempts also fail at
// many other servers, beyond the median of all proxies.
func (f *Floor) credit(w *witness, server string, usual float64) float64 {
	if f.fault == "trusts all" {
		return 1
	}
	return 1 - min(1, max(0, w.failsBeside(server)-usual)/fullExcess)
}

// failingShareExcept returns the share of other servers that fail for a proxy, or 0 if it has tried too few.
func (w *witness) failsBeside(server string) float64 {
	tried, fails := w.tried, w.fails
	if w.failing[server] {
		tried, fails = tried-1, fails-1
	}
	if tried < enoughSeen {
		return 0
	}
	return float64(fails) / float64(tried)
}

func (f *Floor) usualFails(server string) float64 {
	var all []float64
	for _, w := range f.witnesses {
		if w.tried >= enoughSeen {
			all = append(all, w.failsBeside(server))
		}
	}
	return middle(all)
}

func middle(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// proxyTotals holds one proxy's weighted evidence, by group.
type voice struct {
	zone  string
	count int
	by    [Groups][2]int64 // weights against and for, in units of 1/weightUnit
}

// weightedCell is the weighted evidence of one cell.
type statement struct {
	name, zone string
	group      uint8
	number     int
	bad, good  int64
}

// weightedCells returns the evidence on a server from bins that began between since and until. Element i holds the cells
// whose shortest span, counted back from until, is spans[i].
func (f *Floor) statements(server string, kind Kind, since, until time.Duration, usual float64) (all [][]statement) {
	all = make([][]statement, len(spans))
	credit := map[*witness]float64{}
	for k, c := range f.cells[server] {
		if k.kind != kind {
			continue
		}
		at := f.begins(&k, c)
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
			weight = f.credit(w, server, usual)
			credit[w] = weight
		}
		weight *= math.Exp2(-float64(max(0, f.now-at)) / float64(half))
		if c.ill && f.fault != "hears the ill" {
			weight *= illWorth
		}
		bad, good := c.counts.weigh()
		all[i] = append(all[i], statement{k.name, w.zone, k.group, c.counts.number(), int64(float64(bad) * weight), int64(float64(good) * weight)})
	}
	return all
}

// addCells adds weighted cells to the totals of their proxies, by proxy name.
func add(totals map[string]*voice, statements ...[]statement) map[string]*voice {
	for _, list := range statements {
		for _, x := range list {
			v := totals[x.name]
			if v == nil {
				v = &voice{zone: x.zone}
				totals[x.name] = v
			}
			v.count += x.number
			v.by[x.group][0] += x.bad
			v.by[x.group][1] += x.good
		}
	}
	return totals
}

// combine evaluates the totals of all proxies. It caps the weight of each group first, then the weight of each proxy.
func (f *Floor) join(totals map[string]*voice, b bar) (r reading) {
	var group [Groups][2]float64
	for _, v := range totals {
		for g, x := range v.by {
			group[g][0] += float64(x[0]) / one // whole multiples of 1/4096, so the sum is exact in any order
			group[g][1] += float64(x[1]) / one
		}
	}
	var scale [Groups][2]float64
	for g, x := range group {
		all := min(1, groupMass/max(groupMass, x[0]+x[1]))
		scale[g] = [2]float64{all, all}
		if x[0]*all > groupBad {
			scale[g][0] = groupBad / x[0]
		}
		if f.fault == "no group cap" {
			scale[g] = [2]float64{1, 1}
		}
	}
	all, zones := &tally{}, map[string]*tally{}
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		v, t := totals[name], &tally{}
		for g, x := range v.by {
			t.bad += float64(x[0]) / one * scale[g][0]
			t.good[g] = float64(x[1]) / one * scale[g][1]
		}
		if f.fault != "no witness cap" {
			t.bad = min(t.bad, witnessBad)
		}
		if zones[v.zone] == nil {
			zones[v.zone] = &tally{}
		}
		all.add(t)
		zones[v.zone].add(t)
		r.number += v.count
		good, withoutLargest := t.sums()
		switch {
		case t.against(withoutLargest, b):
			r.against++
		case good > 0:
			r.for_++
		}
	}
	r.bar, r.zones = b, zones
	for _, z := range zones {
		switch _, withoutLargest := z.sums(); {
		case z.against(withoutLargest, b):
			r.zonesAgainst++
		case withoutLargest >= zoneGood:
			r.zonesFor++
		}
	}
	r.bad = all.bad
	good, withoutLargest := all.sums()
	if r.good = good; r.bad > 0 {
		r.plain, r.share = r.bad/(r.bad+good), r.bad/(r.bad+withoutLargest)
		if f.fault == "one group absolves" {
			r.share, withoutLargest = r.plain, good
		}
		r.proof = b.proof(r.bad, withoutLargest)
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
func (t *tally) sums() (all, withoutLargest float64) {
	for _, x := range t.good {
		all += x
	}
	return all, all - slices.Max(t.good[:])
}

// logLikelihoodRatio returns the tally's contribution to the log-likelihood ratio, without its largest group for the server.
func (t *tally) proof(b bar) float64 {
	_, withoutLargest := t.sums()
	return b.proof(t.bad, withoutLargest)
}

func (t *tally) against(withoutLargest float64, b bar) bool {
	return t.bad > 0 && t.bad >= b.share*(t.bad+withoutLargest)
}

// evaluateServer evaluates a server's evidence from since to until over all spans. It returns the first evaluation that
// makes the server unfit, else the first that makes it doubtful, else the first one with evidence.
func (f *Floor) read(server string, kind Kind, since, until time.Duration) (worst reading) {
	if !f.anyBad(server, kind) {
		return worst
	}
	base := f.base[kind]
	usual, group := base.usual(server), standard{}
	totals := map[string]*voice{}
	for i, list := range f.statements(server, kind, since, until, f.usualFails(server)) {
		if len(list) > 0 {
			own := f.join(add(map[string]*voice{}, list), barOf(usual))
			group.add(own.bad+own.good, base.control(server, i))
		}
		add(totals, list)
		r := f.join(totals, barOf(usual))
		if r.bad >= need && f.condemns(server, f.join(totals, f.controlBar(usual, group.share()))) {
			r.condemns = true
			return r
		}
		if worst.number == 0 || f.doubts(r) && !f.doubts(worst) {
			worst = r
		}
	}
	return worst
}

// controlThreshold returns the threshold for an unfit server. The threshold for a doubtful one uses no control group.
func (f *Floor) controlBar(usual, control float64) bar {
	if f.fault == "no control group" {
		return barOf(usual)
	}
	return barOf(max(usual, control))
}

func (f *Floor) anyBad(server string, kind Kind) bool {
	for k, c := range f.cells[server] {
		if bad, _ := c.counts.weigh(); bad > 0 && k.kind == kind {
			return true
		}
	}
	return false
}

// isUnfit reports whether an evaluation makes a server unfit.
func (f *Floor) condemns(server string, r reading) bool {
	if r.bad < need || r.share < r.bar.share || r.proof < proof || r.against < 2 {
		return false
	}
	if f.fault == "one zone condemns" || f.zones() < 2 {
		return true
	}
	return r.zonesAgainst > r.zonesFor && r.zonesAgainst > 1 && f.rest(server, r) >= restProof
}

// remainingRatio returns the lowest log-likelihood ratio that remains when the evidence of one region is left out. A faulty
// network path between a region and the server can explain that region's evidence, but not the remainder. If all zones that
// recently used the server are in one region, single zones are left out instead.
func (f *Floor) rest(server string, r reading) float64 {
	if f.fault == "no rest asked" {
		return restProof
	}
	least := math.Inf(1)
	for _, domain := range f.failureDomains(server) {
		left := &tally{}
		for zone, t := range r.zones {
			if !slices.Contains(domain, zone) {
				left.add(t)
			}
		}
		least = min(least, left.proof(r.bar))
	}
	return least
}

// failureDomains returns the zones of proxies that recently used a server, grouped by region, or each zone by itself if
// there is only one region.
func (f *Floor) failureDomains(server string) [][]string {
	regions, zones := map[string][]string{}, map[string]bool{}
	for k, c := range f.cells[server] {
		zone := c.from.zone
		if zones[zone] || f.now-f.begins(&k, c) > lately {
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
func (f *Floor) doubts(r reading) bool {
	return r.bad >= need/2 && r.share >= r.bar.share && r.proof >= proof/2 && r.zonesAgainst > r.zonesFor
}

// zoneCount returns the number of zones with proxies that have reported.
func (f *Floor) zones() int {
	all := map[string]bool{}
	for _, w := range f.witnesses {
		all[w.zone] = true
	}
	return len(all)
}
