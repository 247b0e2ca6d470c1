package operatorclient

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
)

// Answers are counts of what proxies that take clients answered in the last seconds, all together.
type Answers struct {
	Served, Refused, Failed float64
}

// AnswersOf sums what proxies tell; false: a proxy that takes clients tells nothing, so it is not known.
func AnswersOf(v *View) (a Answers, known bool) {
	proxies := 0
	for _, g := range v.Proxies {
		if !g.Ready {
			continue
		}
		f := g.Figures
		if f == nil || f.SpanMS <= 0 {
			return Answers{}, false
		}
		proxies++
		a.Served, a.Refused, a.Failed = a.Served+float64(f.Served), a.Refused+float64(f.Refused), a.Failed+float64(f.Failed)
	}
	return a, proxies > 0
}

// Bound is by how much parts of all answers may rise above what they were, each from 0 to 1.
type Bound struct {
	Refused, Failed float64
}

// surely is how many deviations of a count are taken for luck.
const surely = 2

// Worse says what got worse since before by more than a bound and by more than the luck of few requests; empty:
// nothing did.
func (a Answers) Worse(before Answers, most Bound) string {
	all, was := a.Served+a.Refused+a.Failed, before.Served+before.Refused+before.Failed
	if all == 0 {
		return ""
	}
	for _, x := range []struct {
		what     string
		is, were float64
		most     float64
	}{{"failed", a.Failed, before.Failed, most.Failed}, {"refused", a.Refused, before.Refused, most.Refused}} {
		part, old := x.is/all, x.were/max(was, 1)
		if least := (x.is - surely*math.Sqrt(x.is)) / all; least > old+x.most {
			return fmt.Sprintf("%.1f%% of %g answers are %s, %.1f%% were before", part*100, all, x.what, old*100)
		}
	}
	return ""
}

// Well is the check of a push that looks at answers, too: beyond Steady, they get no worse than a bound. Where proxies
// tell nothing of them, before or after, it says so once to tell, and goes by the rest.
func Well(before *View, most Bound, tell func(string)) func(*View) error {
	steady := Steady(before)
	was, known := AnswersOf(before)
	if !known {
		tell("not all proxies tell of their answers: whether these get worse is not seen")
	}
	return func(v *View) error {
		if err := steady(v); err != nil || !known {
			return err
		}
		if is, now := AnswersOf(v); now {
			if what := is.Worse(was, most); what != "" {
				return errors.Errorf("answers got worse: %s", what)
			}
		}
		return nil
	}
}
