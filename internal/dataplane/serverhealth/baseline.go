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
	minOthers      = 3   // servers of which enough was seen lately, for what is usual lately
	strataCount    = 7   // of the evidence: one for each of so many spans, what lies in it and in no shorter one
	longSpan       = 6   // index in spans of what is usual for long
	pseudoFailures = 2.0 // outcomes that are added to those of a control group, so that few of them prove little:
	pseudoOutcomes = 4.0 // the "plus four" estimate of a share (Agresti and Coull, 1998)
)

// recentSpans are indices in spans.
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
	shares  [strataCount]map[string]float64  // in each span, of those of which enough was seen
	stratum [strataCount]map[string]evidence // in each stratum
}

// computeBaseline looks at all servers' evidence up to a moment.
func (f *Evaluator) computeBaseline(kind Kind, until time.Duration) *baseline {
	b := &baseline{}
	for i := range strataCount {
		b.shares[i], b.stratum[i] = map[string]float64{}, map[string]evidence{}
	}
	for id := range f.cells {
		voices := map[string]*proxyTotals{}
		for i, list := range f.weightedCells(id, kind, until-spans[longSpan], until, 0)[:strataCount] {
			if len(list) > 0 {
				r := f.combine(addCells(map[string]*proxyTotals{}, list), thresholdFor(0))
				b.stratum[i][id] = evidence{r.bad, r.good}
			}
			addCells(voices, list)
			if r := f.combine(voices, thresholdFor(0)); r.bad+r.good >= minFailures {
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
		lately := slices.Contains(recentSpans[:], i) && len(others) >= minOthers
		if i == longSpan || lately {
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

// standardizedShare is what the control group's shares come to if they are weighted by the seconds from which a server's own
// outcomes stem (direct standardization). So what befalls all at once condemns none, whichever shows it first.
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

// threshold is what evidence is held against.
type threshold struct {
	share     float64 // against a server, that condemns it
	usual     float64 // of outcomes that are unclear anyway, with something to spare
	unhealthy float64 // of those of an ill server
}

// logLikelihoodRatio is how much likelier outcomes against and for a server are of an ill one than of a usual one, in e-folds.
func (b threshold) logLikelihoodRatio(bad, good float64) float64 {
	return bad*math.Log(b.unhealthy/b.usual) + good*math.Log((1-b.unhealthy)/(1-b.usual))
}

func thresholdFor(usual float64) threshold {
	p := min(maxUsual, max(minUsual, usualMargin*usual))
	return threshold{min(maxThresholdShare, max(minThresholdShare, usualFactor*usual)), p, min(maxUnhealthyShare, max(minUnhealthyShare, 2*p))}
}
