package serverhealth

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var scenarios = map[string]func(y *fleetFixture) string{
	"one tenant cannot make a server unfit": func(y *fleetFixture) string {
		for g := range y.proxies {
			y.observe(g, 0, AtMostOnce, 3, Unclear, 40)
		}
		return y.wantLevel(Fit, Doubtful)
	},
	"one tenant cannot clear a server": func(y *fleetFixture) string {
		for g := range y.proxies {
			y.observe(g, 0, AtMostOnce, uint8(g%4), Unclear, 3)
			y.observe(g, 0, AtMostOnce, uint8(g%4), Confirmed, 6)
			y.observe(g, 0, AtMostOnce, 9, Confirmed, 100)
		}
		for range 3 {
			y.observeOthersHealthy(AtMostOnce)
		}
		return y.wantLevel(UnfitAtMostOnce)
	},
	"one faulty network path does not make a server unfit": func(y *fleetFixture) string {
		for range 2 {
			y.observeAll(func(g, s, _ int) Outcome {
				if g%3 == 0 && s == 0 {
					return Unclear
				}
				return Confirmed
			})
		}
		return y.wantLevel(Fit, Doubtful)
	},
	"a server that fails at-most-once requests keeps repeatable ones": func(y *fleetFixture) string {
		lost := 0
		for n := 0; y.last == nil || y.verdict(0).Level < UnfitAtMostOnce; n++ {
			if y.observe(n%len(y.proxies), 0, AtMostOnce, uint8(n%5), Outcome(n%2*int(Unclear)), 1); n%2 == 1 {
				lost++
			}
			y.observe(n%len(y.proxies), 0, Repeatable, uint8(n%5), Confirmed, 1)
			y.observeOthersHealthy(AtMostOnce)
			if y.step(); lost > 8 {
				return "not unfit after the eighth unclear outcome"
			}
		}
		if v := y.verdict(0); !v.Level.Serves(Repeatable) || v.Level.Serves(AtMostOnce) || v.Against < 2 {
			return fmt.Sprint(v)
		}
		return ""
	},
	"one proxy cannot make a server unfit": func(y *fleetFixture) string {
		for group := range uint8(8) {
			y.observe(0, 0, AtMostOnce, group, Unclear, 10)
		}
		y.observeOthersHealthy(AtMostOnce)
		y.observe(1, 0, AtMostOnce, 2, Unclear, 1)
		if wrong := y.wantLevel(Fit, Doubtful); wrong != "" {
			return wrong
		}
		for _, g := range y.proxies { // nor if there is no second zone to confirm it
			g.zone = "a"
		}
		return y.wantLevel(Fit, Doubtful)
	},
	"one region cannot make a server unfit": func(y *fleetFixture) string {
		y.evaluator.SetRegions(map[string]string{"a": "north", "b": "north", "c": "south", "d": "south"})
		for i, g := range y.proxies {
			g.zone = string(rune('a' + i%4))
			y.observe(i, 0, AtMostOnce, uint8(i), Confirmed, 1)
		}
		y.step()
		y.now += 2 * BinDuration // the south has not used server 0 recently
		for i := range y.proxies {
			if i%4 < 2 {
				y.observe(i, 0, AtMostOnce, uint8(i), Unclear, 2)
			}
		}
		y.observeOthersHealthy(AtMostOnce)
		return y.wantLevel(Fit, Doubtful)
	},
	"reports of failures are not evaluated before the other proxies have reported": func(y *fleetFixture) string {
		y.observeAll(func(int, int, int) Outcome { return Confirmed })
		y.step()
		accuses := func(g int) bool { return g < 3 } // one proxy in each zone
		for range 3 {
			for g := range y.proxies {
				o, times := Confirmed, 2
				if accuses(g) {
					o, times = Unclear, 1
				}
				y.observe(g, 0, AtMostOnce, uint8(g), o, times)
			}
			y.observeOthersHealthy(AtMostOnce)
			y.stepWith(accuses)
			if y.verdict(0).Level >= UnfitAtMostOnce {
				return fmt.Sprint("unfit before the other proxies have reported: ", y.verdict(0))
			}
		}
		return y.wantLevel(Fit, Doubtful)
	},
	"a silent proxy does not delay verdicts": func(y *fleetFixture) string {
		y.observeAll(func(int, int, int) Outcome { return Confirmed })
		y.step()
		for range int(SilentAfter/time.Second) + 2 {
			for g := range y.proxies[1:] {
				y.observe(g+1, 0, AtMostOnce, uint8(g), Outcome(g%2*int(Unclear)), 1)
			}
			y.observeOthersHealthy(AtMostOnce)
			y.stepWith(func(g int) bool { return g > 0 })
		}
		return y.wantLevel(UnfitAtMostOnce)
	},
	"proxies that fail at all servers make none unfit": func(y *fleetFixture) string {
		y.observeAll(func(g, s, _ int) Outcome { return Confirmed })
		for _, g := range []int{0, 1, 3, 4} {
			y.proxies[g].observations = map[observationKey]*binCounts{} // the proxy has used only these four servers
			for s := range 4 {
				y.observe(g, s, AtMostOnce, uint8(g), Unclear, 5)
			}
		}
		return y.wantLevel(Fit)
	},
	"unreliable proxies have little weight": func(y *fleetFixture) string {
		for g := range 6 {
			y.observe(g, 0, AtMostOnce, uint8(g), Unclear, 1)
			y.proxies[g].MarkUnreliable(y.now - time.Duration(g)*time.Minute/7)
		}
		for g := 6; g < len(y.proxies); g++ {
			for s := range y.servers[1:] {
				y.observe(g, s+1, AtMostOnce, uint8(g), Confirmed, 2)
			}
		}
		return y.wantLevel(Fit)
	},
	"half of a service stays in use": func(y *fleetFixture) string {
		for range 20 {
			y.observeAll(func(_, s, _ int) Outcome { return Outcome(s % 2 * int(Unclear)) })
			y.observeAll(func(_, s, _ int) Outcome { return Confirmed })
			y.step()
		}
		out := 0
		for _, v := range y.last.List {
			if v.Level >= UnfitAtMostOnce {
				out++
			}
		}
		if out == 0 {
			return "no server is excluded"
		}
		return y.violation
	},
	"duplicated reports count once": func(y *fleetFixture) string {
		y.duplicates = 3
		for g := range 3 {
			y.observe(g, 0, AtMostOnce, uint8(g), Unclear, 1)
		}
		y.observeOthersHealthy(AtMostOnce)
		return y.wantLevel(Fit, Doubtful)
	},
	"a fault of all servers does not make the first one unfit": func(y *fleetFixture) string {
		for range 3 {
			y.observeAll(func(int, int, int) Outcome { return Confirmed })
			y.step()
		}
		y.now += 2 * BinDuration // the other servers have no outcomes in the seconds in which this one fails
		for g := range y.proxies {
			y.observe(g, 0, AtMostOnce, uint8(g%4), Unclear, 1)
		}
		if wrong := y.wantLevel(Doubtful); wrong != "" {
			return wrong
		}
		y.observeAll(func(int, int, int) Outcome { return Unclear })
		return y.wantLevel(Fit, Doubtful)
	},
	"relapses delay the return": func(y *fleetFixture) string {
		trials, _, lost := y.runFaultyServer(time.Hour, 4*time.Minute)
		if len(trials) < 3 || lost > 60 {
			return fmt.Sprint("trials at ", trials, ", lost ", lost)
		}
		for i := 2; i < len(trials); i++ {
			if trials[i]-trials[i-1] < (trials[i-1]-trials[i-2])*5/4 {
				return fmt.Sprint("trials at ", trials)
			}
		}
		return y.violation
	},
	"a repaired server returns": func(y *fleetFixture) string {
		if _, fit, _ := y.runFaultyServer(6*time.Second, 40*time.Second); fit == 0 {
			return fmt.Sprint("it has not returned: ", y.verdict(0))
		}
		return y.violation
	},
	"a server that fails repeatable requests is unfit for all": func(y *fleetFixture) string {
		for g := range y.proxies {
			y.observe(g, 0, Repeatable, uint8(g%4), Unclear, 2)
		}
		y.observeOthersHealthy(Repeatable)
		return y.wantLevel(UnfitAll)
	},
}

func TestStories(t *testing.T) {
	for name, story := range scenarios {
		t.Run(name, func(t *testing.T) { assert.Equal(t, story(newFleetFixture("", 12, 12)), "") })
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
		t.Run(fault, func(t *testing.T) { assert.Assert(t, scenarios[name](newFleetFixture(fault, 12, 12)) != "") })
	}
}
