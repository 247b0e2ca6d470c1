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
	leastOthers   = 3   // servers with enough recent evidence, before a recent usual share is used
	strata        = 7   // stratum i holds the evidence that lies in spans[i] but in no shorter span
	longSpan      = 6   // index in spans for the long-term usual share
	pseudoAgainst = 2.0 // outcomes added to those of a control group, so that a small group carries little weight:
	pseudoAll     = 4.0 // the "plus four" estimate of a share (Agresti and Coull, 1998)
)

// recentSpans are the indices in spans for the recent usual share.
var latelySpans = [...]int{1, 3}

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
	shares  [strata]map[string]float64  // share of failures in each span, for servers with enough evidence
	stratum [strata]map[string]evidence // in each stratum
}

// computeBaseline summarizes all servers' evidence up to a time.
func (f *Floor) baseline(kind Kind, until time.Duration) *baseline {
	b := &baseline{}
	for i := range strata {
		b.shares[i], b.stratum[i] = map[string]float64{}, map[string]evidence{}
	}
	for id := range f.cells {
		totals := map[string]*voice{}
		for i, list := range f.statements(id, kind, until-spans[longSpan], until, 0)[:strata] {
			if len(list) > 0 {
				r := f.join(add(map[string]*voice{}, list), barOf(0))
				b.stratum[i][id] = evidence{r.bad, r.good}
			}
			add(totals, list)
			if r := f.join(totals, barOf(0)); r.bad+r.good >= need {
				b.shares[i][id] = r.plain
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
		isRecent := slices.Contains(latelySpans[:], i) && len(others) >= leastOthers
		if i == longSpan || isRecent {
			usual = max(usual, middle(others))
		}
	}
	return usual
}

// control returns the share of failures of the healthier half of the other servers in one stratum; the worse half may be
// unhealthy too. The added pseudo-outcomes limit the effect of chance when there is little evidence.
func (b *baseline) control(server string, stratum int) float64 {
	var others []evidence
	for id, e := range b.stratum[min(stratum, strata-1)] {
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
	return (group.bad + pseudoAgainst) / (group.bad + group.good + pseudoAll)
}

// standardizedShare is the control group's share of failures, weighted by the strata of the server's own outcomes (direct
// standardization). So a fault that affects all servers at once makes none unfit, whichever server shows it first.
type standard struct{ expected, number float64 }

func (s *standard) add(outcomes, share float64) {
	s.expected += outcomes * share
	s.number += outcomes
}

func (s *standard) share() float64 {
	if s.number == 0 {
		return 0
	}
	return s.expected / s.number
}

// threshold holds the shares of failures that evidence on a server is compared with.
type bar struct {
	share float64 // at or above which a server is unfit
	usual float64 // expected of a healthy server, with a margin
	ill   float64 // expected of an unhealthy server
}

// logLikelihoodRatio returns the natural logarithm of how much likelier the outcomes are for an unhealthy server than for a
// healthy one.
func (b bar) proof(bad, good float64) float64 {
	return bad*math.Log(b.ill/b.usual) + good*math.Log((1-b.ill)/(1-b.usual))
}

func barOf(usual float64) bar {
	p := min(mostUsual, max(leastUsual, spare*usual))
	return bar{min(mostShare, max(leastShare, usualTimes*usual)), p, min(mostIll, max(leastIll, 2*p))}
}
