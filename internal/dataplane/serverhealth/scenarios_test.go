package serverhealth

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var stories = map[string]func(y *yard) string{
	"one tenant cannot make a server unfit": func(y *yard) string {
		for g := range y.proxies {
			y.see(g, 0, Record, 3, Unclear, 40)
		}
		return y.want(Fit, Doubtful)
	},
	"one tenant cannot clear a server": func(y *yard) string {
		for g := range y.proxies {
			y.see(g, 0, Record, uint8(g%4), Unclear, 3)
			y.see(g, 0, Record, uint8(g%4), Confirmed, 6)
			y.see(g, 0, Record, 9, Confirmed, 100)
		}
		for range 3 {
			y.othersWell(Record)
		}
		return y.want(UnfitRecord)
	},
	"one faulty network path does not make a server unfit": func(y *yard) string {
		for range 2 {
			y.all(func(g, s, _ int) Outcome {
				if g%3 == 0 && s == 0 {
					return Unclear
				}
				return Confirmed
			})
		}
		return y.want(Fit, Doubtful)
	},
	"a server that fails at-most-once requests keeps repeatable ones": func(y *yard) string {
		lost := 0
		for n := 0; y.last == nil || y.verdict(0).Level < UnfitRecord; n++ {
			if y.see(n%len(y.proxies), 0, Record, uint8(n%5), Outcome(n%2*int(Unclear)), 1); n%2 == 1 {
				lost++
			}
			y.see(n%len(y.proxies), 0, Search, uint8(n%5), Confirmed, 1)
			y.othersWell(Record)
			if y.step(); lost > 8 {
				return "not unfit after the eighth unclear outcome"
			}
		}
		if v := y.verdict(0); !v.Level.Serves(Search) || v.Level.Serves(Record) || v.Against < 2 {
			return fmt.Sprint(v)
		}
		return ""
	},
	"one proxy cannot make a server unfit": func(y *yard) string {
		for group := range uint8(8) {
			y.see(0, 0, Record, group, Unclear, 10)
		}
		y.othersWell(Record)
		y.see(1, 0, Record, 2, Unclear, 1)
		if wrong := y.want(Fit, Doubtful); wrong != "" {
			return wrong
		}
		for _, g := range y.proxies { // nor if there is no second zone to confirm it
			g.zone = "a"
		}
		return y.want(Fit, Doubtful)
	},
	"one region cannot make a server unfit": func(y *yard) string {
		y.floor.Place(map[string]string{"a": "north", "b": "north", "c": "south", "d": "south"})
		for i, g := range y.proxies {
			g.zone = string(rune('a' + i%4))
			y.see(i, 0, Record, uint8(i), Confirmed, 1)
		}
		y.step()
		y.now += 2 * Span // the south has not used server 0 recently
		for i := range y.proxies {
			if i%4 < 2 {
				y.see(i, 0, Record, uint8(i), Unclear, 2)
			}
		}
		y.othersWell(Record)
		return y.want(Fit, Doubtful)
	},
	"reports of failures are not evaluated before the other proxies have reported": func(y *yard) string {
		y.all(func(int, int, int) Outcome { return Confirmed })
		y.step()
		accuses := func(g int) bool { return g < 3 } // one proxy in each zone
		for range 3 {
			for g := range y.proxies {
				o, times := Confirmed, 2
				if accuses(g) {
					o, times = Unclear, 1
				}
				y.see(g, 0, Record, uint8(g), o, times)
			}
			y.othersWell(Record)
			y.stepWith(accuses)
			if y.verdict(0).Level >= UnfitRecord {
				return fmt.Sprint("unfit before the other proxies have reported: ", y.verdict(0))
			}
		}
		return y.want(Fit, Doubtful)
	},
	"a silent proxy does not delay verdicts": func(y *yard) string {
		y.all(func(int, int, int) Outcome { return Confirmed })
		y.step()
		for range int(SilentAfter/time.Second) + 2 {
			for g := range y.proxies[1:] {
				y.see(g+1, 0, Record, uint8(g), Outcome(g%2*int(Unclear)), 1)
			}
			y.othersWell(Record)
			y.stepWith(func(g int) bool { return g > 0 })
		}
		return y.want(UnfitRecord)
	},
	"proxies that fail at all servers make none unfit": func(y *yard) string {
		y.all(func(g, s, _ int) Outcome { return Confirmed })
		for _, g := range []int{0, 1, 3, 4} {
			y.proxies[g].observations = map[observationKey]*held{} // the proxy has used only these four servers
			for s := range 4 {
				y.see(g, s, Record, uint8(g), Unclear, 5)
			}
		}
		return y.want(Fit)
	},
	"unreliable proxies have little weight": func(y *yard) string {
		for g := range 6 {
			y.see(g, 0, Record, uint8(g), Unclear, 1)
			y.proxies[g].Ill(y.now - time.Duration(g)*time.Minute/7)
		}
		for g := 6; g < len(y.proxies); g++ {
			for s := range y.servers[1:] {
				y.see(g, s+1, Record, uint8(g), Confirmed, 2)
			}
		}
		return y.want(Fit)
	},
	"half of a service stays in use": func(y *yard) string {
		for range 20 {
			y.all(func(_, s, _ int) Outcome { return Outcome(s % 2 * int(Unclear)) })
			y.all(func(_, s, _ int) Outcome { return Confirmed })
			y.step()
		}
		out := 0
		for _, v := range y.last.List {
			if v.Level >= UnfitRecord {
				out++
			}
		}
		if out == 0 {
			return "no server is excluded"
		}
		return y.wrong
	},
	"duplicated reports count once": func(y *yard) string {
		y.times = 3
		for g := range 3 {
			y.see(g, 0, Record, uint8(g), Unclear, 1)
		}
		y.othersWell(Record)
		return y.want(Fit, Doubtful)
	},
	"a fault of all servers does not make the first one unfit": func(y *yard) string {
		for range 3 {
			y.all(func(int, int, int) Outcome { return Confirmed })
			y.step()
		}
		y.now += 2 * Span // the other servers have no outcomes in the seconds in which this one fails
		for g := range y.proxies {
			y.see(g, 0, Record, uint8(g%4), Unclear, 1)
		}
		if wrong := y.want(Doubtful); wrong != "" {
			return wrong
		}
		y.all(func(int, int, int) Outcome { return Unclear })
		return y.want(Fit, Doubtful)
	},
	"relapses delay the return": func(y *yard) string {
		trials, _, lost := y.mill(time.Hour, 4*time.Minute)
		if len(trials) < 3 || lost > 60 {
			return fmt.Sprint("trials at ", trials, ", lost ", lost)
		}
		for i := 2; i < len(trials); i++ {
			if trials[i]-trials[i-1] < (trials[i-1]-trials[i-2])*5/4 {
				return fmt.Sprint("trials at ", trials)
			}
		}
		return y.wrong
	},
	"a repaired server returns": func(y *yard) string {
		if _, fit, _ := y.mill(6*time.Second, 40*time.Second); fit == 0 {
			return fmt.Sprint("it has not returned: ", y.verdict(0))
		}
		return y.wrong
	},
	"a server that fails repeatable requests is unfit for all": func(y *yard) string {
		for g := range y.proxies {
			y.see(g, 0, Search, uint8(g%4), Unclear, 2)
		}
		y.othersWell(Search)
		return y.want(UnfitAll)
	},
}

func TestStories(t *testing.T) {
	for name, story := range stories {
		t.Run(name, func(t *testing.T) { assert.Equal(t, story(newYard("", 12, 12)), "") })
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for fault, name := range map[string]string{
		"no group cap": "one tenant cannot make a server unfit", "one group absolves": "one tenant cannot clear a server",
		"one zone condemns": "one faulty network path does not make a server unfit", "no witness cap": "one proxy cannot make a server unfit",
		"trusts all": "proxies that fail at all servers make none unfit", "hears the ill": "unreliable proxies have little weight",
		"no rest asked": "one region cannot make a server unfit", "no watermark": "reports of failures are not evaluated before the other proxies have reported",
		"no control group": "a fault of all servers does not make the first one unfit", "no bound": "half of a service stays in use", "adds": "duplicated reports count once", "forgives": "relapses delay the return",
	} {
		t.Run(fault, func(t *testing.T) { assert.Assert(t, stories[name](newYard(fault, 12, 12)) != "") })
	}
}
