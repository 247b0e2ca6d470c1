package experiment

import (
	"context"

	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// Shrunk is the result of Shrink.
type Shrunk struct {
	Day    *scenario.Day
	Rule   string // that it breaks
	Broke  int    // in so many plays of what is left
	Played int    // of so many
}

// Shrink cuts a day that breaks a rule, any where none is named, down to steps of which none can be left out. Days don't
// go the same way each time, so a smaller one counts as sound only after it has been played some times; all plays of one
// go on at once. tell is called whenever something was left out.
func Shrink(ctx context.Context, p *Pool, d *scenario.Day, rule string, times int, tell func(played, steps int)) Shrunk {
	s, n := Shrunk{Day: d, Rule: rule}, 0
	try := func(d *scenario.Day) bool {
		broke, played := 0, 0
		days := make(chan *scenario.Day, times)
		for range times {
			days <- d
		}
		close(days)
		_ = p.Play(ctx, days, func(_ *scenario.Day, r *Result) {
			played++
			if s.Rule == "" && len(r.Broken) > 0 {
				s.Rule = r.Broken[0].Rule
			}
			for _, b := range r.Broken {
				if b.Rule == s.Rule {
					broke++
					break
				}
			}
		})
		n += played
		if broke > 0 {
			s.Day, s.Broke, s.Played = d, broke, played
		}
		return broke > 0
	}
	if !try(d) {
		s.Played = n
		return s
	}
again:
	for _, less := range s.Day.Smaller() {
		if ctx.Err() != nil {
			return s
		}
		if try(less) {
			tell(n, len(less.Steps))
			goto again
		}
	}
	return s
}
