package serverhealth

import (
	"bytes"
	"encoding/gob"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	measure = flag.Int("serverhealth.measure", 0, "measure with so many onsets a row")
	calmFor = flag.Duration("serverhealth.calm", time.Hour, "how long false verdicts are counted")
)

// localJudge is a proxy's own ejection of one server, a simplified form of the policy package's. Here errors don't decay with
// time, so it performs better than the policy package when outcomes are few.
type localJudge struct {
	errs         float64
	ejectedUntil time.Duration // ejected until then
	first        time.Duration // time of the first ejection; 0 if none
	ejections    int
}

func (a *localJudge) observe(now time.Duration, o Outcome) {
	if now < a.ejectedUntil {
		return
	}
	if o == Confirmed {
		a.errs *= 0.8
	} else {
		a.errs += 0.19 * (1 - a.errs)
	}
	if a.errs > 0.45 {
		a.ejections++
		a.ejectedUntil, a.errs = now+8*time.Second, 0.2
		if a.first == 0 {
			a.first = now
		}
	}
}

// largeFleet has 90 proxies in four zones and 40 servers of 8 services.
type largeFleet struct {
	*fleetFixture
	rnd  *rand.Rand
	rate float64 // at-most-once requests per second at each server, over all proxies
	loss float64 // share of outcomes made unclear by the network
	own  map[[2]int]*localJudge
	cost time.Duration
	done bool // skip further evaluations
}

func newLargeFleet(seed uint64, rate, loss float64) *largeFleet {
	y := newFleetFixture("", 90, 40)
	for i, g := range y.proxies {
		g.zone = string(rune('a' + i%4))
	}
	for i := range y.servers {
		y.servers[i].Service = fmt.Sprint("v", i%8)
	}
	return &largeFleet{y, rand.New(rand.NewPCG(seed, 1)), rate, loss, map[[2]int]*localJudge{}, 0, false}
}

// second simulates one second. It returns how many unclear outcomes server 0 caused with combined and with local verdicts.
func (l *largeFleet) second(bad bool) (fleet, apart int) {
	for s := range l.servers {
		n := int(l.rate)
		if l.rnd.Float64() < l.rate-float64(n) {
			n++
		}
		for range n {
			g, group := l.rnd.IntN(90), uint8(min(l.rnd.IntN(Groups), l.rnd.IntN(Groups)))
			o := Confirmed
			if l.rnd.Float64() < l.loss || s == 0 && bad && l.rnd.IntN(2) == 0 {
				o = Unclear
			}
			a := l.own[[2]int{g, s}]
			if a == nil {
				a = &localJudge{}
				l.own[[2]int{g, s}] = a
			}
			if s == 0 && o == Unclear {
				fleet++
				if a.first == 0 {
					apart++
				}
			}
			a.observe(l.now, o)
			if !l.done {
				l.observe(g, s, AtMostOnce, group, o, 1)
			}
		}
	}
	if l.done {
		l.now += time.Second
		return fleet, apart
	}
	at := time.Now()
	l.step()
	l.cost += time.Since(at)
	return fleet, apart
}

// TestMeasure prints the table of docs/measurements/fit.md.
func TestMeasure(t *testing.T) {
	if *measure == 0 {
		t.Skip("a measurement")
	}
	mid := func(d []time.Duration) string {
		slices.Sort(d)
		say := func(x time.Duration) string {
			if x >= 10*time.Minute {
				return "over 600"
			}
			return fmt.Sprintf("%.0f", x.Seconds())
		}
		return say(d[len(d)/2]) + ", " + say(d[len(d)-1])
	}
	fmt.Println("| records a second at a server | unclear by the network | joined: s to verdict, median, worst | alone: the same over proxies | unclear until then, joined, alone | an hour in calm, joined: false verdicts, doubts | false an hour, alone, all proxies together | ms a step |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, rate := range []float64{4, 1, 0.25} {
		for _, loss := range []float64{0, 0.02, 0.1, 0.2} {
			var joined, apart []time.Duration
			var lost, lostApart int
			for seed := range uint64(*measure) {
				l := newLargeFleet(seed, rate, loss)
				for range 60 {
					l.second(false)
				}
				for _, a := range l.own {
					a.first = 0
				}
				onset, verdict := l.now, 10*time.Minute
				for l.now-onset < 10*time.Minute {
					n, m := l.second(true)
					if lostApart += m; verdict == 10*time.Minute {
						if lost += n; l.verdict(0).Level >= UnfitAtMostOnce {
							verdict, l.done = l.now-onset, true
						}
					}
				}
				joined = append(joined, verdict)
				for g := range 90 {
					d := 10 * time.Minute
					if a := l.own[[2]int{g, 0}]; a != nil && a.first > 0 {
						d = a.first - onset
					}
					apart = append(apart, d)
				}
			}
			l, falls, doubts, own := newLargeFleet(99, rate, loss), 0, 0, 0
			was := map[string]Level{}
			for began := l.now; l.now-began < *calmFor; {
				l.second(false)
				now := index(l.last.List)
				for _, s := range l.servers {
					is := now[s.ID].Level
					if is >= UnfitAtMostOnce && was[s.ID] < UnfitAtMostOnce {
						falls++
					}
					if is > Fit && was[s.ID] == Fit {
						doubts++
					}
					was[s.ID] = is
				}
			}
			for _, a := range l.own {
				own += a.ejections
			}
			hours := calmFor.Hours()
			fmt.Printf("| %g | %g%% | %s | %s | %.1f, %.1f | %.1f, %.0f | %.0f | %.1f |\n", rate, 100*loss, mid(joined), mid(apart),
				float64(lost)/float64(*measure), float64(lostApart)/float64(*measure), float64(falls)/hours, float64(doubts)/hours, float64(own)/hours,
				float64(l.cost.Milliseconds())/calmFor.Seconds())
			if l.violation != "" {
				t.Error(l.violation)
			}
		}
	}
}

// TestBytes prints the bytes sent on open connections for 90 proxies with one outcome per second each, and one verdict.
func TestBytes(t *testing.T) {
	if *measure == 0 {
		t.Skip("a measurement")
	}
	l := newLargeFleet(1, 90./40, 0.02)
	var up, down bytes.Buffer
	reportEncoder, verdictEncoder, sequence, previous := gob.NewEncoder(&up), gob.NewEncoder(&down), uint64(0), (*Verdicts)(nil)
	began, first := l.now, 0
	for l.now-began < 5*time.Minute {
		l.second(l.now-began > time.Minute)
		s, no := l.proxies[0].ReportSince(l.now, sequence, func(string) bool { return true })
		if sequence = no; s.Observations != nil && reportEncoder.Encode(s) != nil {
			t.Fatal("not encoded")
		}
		if first == 0 {
			first = up.Len()
		}
		if p := l.last.DiffFrom(previous); p != nil && verdictEncoder.Encode(p) != nil {
			t.Fatal("not encoded")
		}
		previous = l.last
	}
	fmt.Printf("a proxy tells %d bytes a second, and %d at first; it is told %d of verdicts in %v\n", (up.Len()-first)/300, first, down.Len(), l.now-began)
}

// TestReturn prints the cost of trials for a server that fails half of its at-most-once requests, for half a minute or for
// good. A ninth of the proxies run trials in each round, each with its first at-most-once request for the service.
func TestReturn(t *testing.T) {
	if *measure == 0 {
		t.Skip("a measurement")
	}
	for _, ill := range []time.Duration{30 * time.Second, 30 * time.Minute} {
		l, was, tries, lost, back, backs := newLargeFleet(3, 1, 0.02), Verdict{}, 0, 0, time.Duration(0), 0
		var names []string
		for _, g := range l.proxies {
			names = append(names, g.name)
		}
		for began := l.now; l.now-began < 30*time.Minute; {
			may := map[string]bool{}
			if was.Trial {
				for _, name := range TrialProxies(&was, names, 10) {
					may[name] = true
				}
			}
			for s := range l.servers {
				g, to, o := l.rnd.IntN(90), s, Confirmed
				if out := !was.Level.Serves(AtMostOnce); s%8 == 0 && may[names[g]] {
					to, may[names[g]] = 0, false
					tries++
				} else if s == 0 && out {
					to = 8
				}
				if l.rnd.Float64() < l.loss || to == 0 && l.now-began < ill && l.rnd.IntN(2) == 0 {
					if o = Unclear; to == 0 {
						lost++
					}
				}
				l.observe(g, to, AtMostOnce, uint8(l.rnd.IntN(Groups)), o, 1)
			}
			l.step()
			now := l.verdict(0)
			if now.Level < UnfitAtMostOnce && was.Level >= UnfitAtMostOnce {
				backs++
				back = l.now - began
			}
			was = now
		}
		fmt.Printf("ill for %v: %d trials, %d unclear at it in 30 minutes, came back %d times, last at %v, %d relapses\n", ill, tries, lost, backs, back, was.Relapses)
	}
}
