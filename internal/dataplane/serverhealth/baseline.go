package serverhealth

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A server is compared with the other servers of the same control replica: with their usual share of failures, recent and
// long-term, and with a control group, which is the others' outcomes in the same seconds as the evidence against the server.
const (
	minOthers      = 3   // servers with enough recent evidence, before a recent usual share is used
	strataCount    = 7   // stratum i holds the evidence that lies in spans[i] but in no shorter span
	longSpan       = 6   // index in spans for the long-term usual share
	pseudoFailures = 2.0 // outcomes added to those of a control group, so that a small group carries little weight:
	pseudoOutcomes = 4.0 // the "plus four" estimate of a share (Agresti and Coull, 1998)
)

// recentSpans are the indices in spans for the recent usual share.
var recentSpans = [...]int{1, 3}

// evidence holds the weights against and for a server, in outcomes.
type evidence struct{ bad, good float64 }

func (e evidence) share() float64 {
	if e.bad == 0 {
		return 0
	}
	return e.bad / (e.bad + e.good)
}

// baseline summarizes the evidence on all servers of a control replica, by server.
type baseline struct {
	shares  [strataCount]map[string]float64  // share of failures in each span, for servers with enough evidence
	stratum [strataCount]map[string]evidence // in each stratum
}

// computeBaseline summarizes all servers' evidence up to a time.
func (f *Evaluator) computeBaseline(kind Kind, until time.Duration) *baseline {
	b := &baseline{}
	for i := range strataCount {
		b.shares[i], b.stratum[i] = map[string]float64{}, map[string]evidence{}
	}
	for id := range f.cells {
		totals := map[string]*proxyTotals{}
		for i, list := range f.weightedCells(id, kind, until-spans[longSpan], until, 0)[:strataCount] {
			if len(list) > 0 {
				r := f.combine(addCells(map[string]*proxyTotals{}, list), thresholdFor(0))
				b.stratum[i][id] = evidence{r.bad, r.good}
			}
			addCells(totals, list)
			if r := f.combine(totals, thresholdFor(0)); r.bad+r.good >= minFailures {
				b.shares[i][id] = r.plainShare
			}
		}
	}
	return b
}

// usual returns the median share of failures of the other servers, long-term or recent, whichever is higher.
func (b *baseline) usual(server string) float64 {
	usual := 0.0
	for i, shares := range b.shares {
		var others []float64
		for id, x := range shares {
			if id != server {
				others = append(others, x)
			}
		}
		isRecent := slices.Contains(recentSpans[:], i) && len(others) >= minOthers
		if i == longSpan || isRecent {
			usual = max(usual, lowerMedian(others))
		}
	}
	return usual
}

// control returns the share of failures of the healthier half of the other servers in one stratum; the worse half may be
// unhealthy too. The added pseudo-outcomes limit the effect of chance when there is little evidence.
func (b *baseline) control(server string, stratum int) float64 {
	var others []evidence
	for id, e := range b.stratum[min(stratum, strataCount-1)] {
		if id != server {
			others = append(others, e)
		}
	}
	slices.SortFunc(others, func(x, y evidence) int {
		return cmp.Or(cmp.Compare(x.share(), y.share()), cmp.Compare(y.good, x.good))
	})
	group := evidence{}
	for _, e := range others[:(len(others)+1)/2] {
		group.bad += e.bad
		group.good += e.good
	}
	return (group.bad + pseudoFailures) / (group.bad + group.good + pseudoOutcomes)
}

// standardizedShare is the control group's share of failures, weighted by the strata of the server's own outcomes (direct
// standardization). So a fault that affects all servers at once makes none unfit, whichever server shows it first.
type standardizedShare struct{ expected, outcomes float64 }

func (s *standardizedShare) add(outcomes, share float64) {
	s.expected += outcomes * share
	s.outcomes += outcomes
}

func (s *standardizedShare) share() float64 {
	if s.outcomes == 0 {
		return 0
	}
	return s.expected / s.outcomes
}

// threshold holds the shares of failures that evidence on a server is compared with.
type threshold struct {
	share     float64 // at or above which a server is unfit
	usual     float64 // expected of a healthy server, with a margin
	unhealthy float64 // expected of an unhealthy server
}

// logLikelihoodRatio returns the natural logarithm of how much likelier the outcomes are for an unhealthy server than for a
// healthy one.
func (b threshold) logLikelihoodRatio(bad, good float64) float64 {
	return bad*math.Log(b.unhealthy/b.usual) + good*math.Log((1-b.unhealthy)/(1-b.usual))
}

func thresholdFor(usual float64) threshold {
	p := min(maxUsual, max(minUsual, usualMargin*usual))
	return threshold{min(maxThresholdShare, max(minThresholdShare, usualFactor*usual)), p, min(maxUnhealthyShare, max(minUnhealthyShare, 2*p))}
}
