package serverhealth

import (
	"bytes"
	"encoding/gob"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Property tests use a fixed seed, unless -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// fleetFixture has proxies in three zones, servers of two services, and one evaluator that gets all proxies' reports each
// second.
type fleetFixture struct {
	evaluator  *Evaluator
	proxies    []*Recorder
	reported   []uint64
	servers    []Server
	now        time.Duration
	last       *Verdicts
	violation  string
	duplicates int // number of times that each report is delivered
}

func newFleetFixture(fault string, proxies, servers int) *fleetFixture {
	y := &fleetFixture{evaluator: NewEvaluator(), reported: make([]uint64, proxies), duplicates: 1, now: time.Hour}
	y.evaluator.testFault = fault
	for i := range proxies {
		y.proxies = append(y.proxies, NewRecorder(fmt.Sprintf("g%02d", i), string(rune('a'+i%3)), 1))
	}
	for i := range servers {
		y.servers = append(y.servers, Server{ID: fmt.Sprintf("s%02d", i), Service: []string{"loans", "holds"}[i%2], Capacity: 8})
	}
	return y
}

func (y *fleetFixture) observe(proxy, server int, kind Kind, group uint8, o Outcome, times int) {
	for range times {
		y.proxies[proxy].Add(y.now-time.Duration(proxy)*time.Minute/7, y.servers[server].ID, kind, group, o) // the proxies' clocks differ
	}
}

// report delivers a proxy's report to the evaluator.
func (y *fleetFixture) report(i int) {
	s, no := y.proxies[i].ReportSince(y.now-time.Duration(i)*time.Minute/7, y.reported[i], func(string) bool { return true })
	y.reported[i] = no
	for range y.duplicates {
		y.evaluator.AddReport(y.now, s)
	}
}

func (y *fleetFixture) step() { y.stepWith(func(int) bool { return true }) }

// stepWith simulates one second in which only some proxies report.
func (y *fleetFixture) stepWith(tells func(proxy int) bool) {
	for i := range y.proxies {
		if tells(i) {
			y.report(i)
		}
	}
	y.last = y.evaluator.Evaluate(y.now, y.servers)
	y.now += time.Second
	out := map[string]int{}
	for _, v := range y.last.List {
		if v.Level >= UnfitAtMostOnce {
			out[v.Service]++
		}
	}
	for s, n := range out {
		if n > len(y.servers)/4 {
			y.violation = fmt.Sprint(n, " servers of ", s, " are excluded at once")
		}
	}
}

func (y *fleetFixture) verdict(server int) Verdict { return index(y.last.List)[y.servers[server].ID] }

// observeOthersHealthy records good outcomes of all proxies at all servers but the first, which is compared with them.
func (y *fleetFixture) observeOthersHealthy(kind Kind) {
	for g := range y.proxies {
		for s := range y.servers[1:] {
			y.observe(g, s+1, kind, uint8(g%8), Confirmed, 1)
		}
	}
}

// wantLevel returns an error text if server 0 has none of the given levels, else the fixture's violation.
func (y *fleetFixture) wantLevel(levels ...Level) string {
	y.step()
	v := y.verdict(0)
	for _, l := range levels {
		if v.Level == l {
			return y.violation
		}
	}
	return fmt.Sprintf("%s %v", v.Level, v)
}

// observeAll records outcomes of every proxy at each server, from four groups.
func (y *fleetFixture) observeAll(o func(proxy, server, group int) Outcome) {
	for g := range y.proxies {
		for s := range y.servers {
			y.observe(g, s, AtMostOnce, uint8(g%4), o(g, s, g%4), 1)
			y.observe(g, s, Repeatable, uint8(g%4), Confirmed, 1)
		}
	}
}

// runFaultyServer simulates a server that fails every second at-most-once request until it is mended. It returns the starts
// of its trials, the time at which it is fit again, and the number of failures. Three proxies run trials in each round.
func (y *fleetFixture) runFaultyServer(mended, till time.Duration) (trials []time.Duration, fit time.Duration, lost int) {
	var names []string
	for _, g := range y.proxies {
		names = append(names, g.name)
	}
	began, n, was := y.now, 0, Verdict{}
	for y.now-began < till {
		may := map[string]bool{}
		if was.Trial {
			for _, name := range TrialProxies(&was, names, 3) {
				may[name] = true
			}
		}
		for g, name := range names {
			if n++; !was.Level.Serves(AtMostOnce) && !may[name] {
				continue
			}
			o := Confirmed
			if y.now-began < mended && n%2 == 0 {
				o = Unclear
				lost++
			}
			y.observe(g, 0, AtMostOnce, uint8(n%7), o, 1)
		}
		y.observeOthersHealthy(AtMostOnce)
		y.step()
		now := y.verdict(0)
		if now.Trial && !was.Trial {
			trials = append(trials, y.now-began)
		}
		if now.Level == Fit && was.Level != Fit {
			fit = y.now - began
		}
		was = now
	}
	return trials, fit, lost
}

// Reports in any order, duplicated, or lost and followed by a complete report give the same verdicts.
func TestFolding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := newFleetFixture("", 6, 6)
		var reports []*Report
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for range rapid.IntRange(1, 60).Draw(t, "outcomes") {
				y.observe(rapid.IntRange(0, 5).Draw(t, "proxy"), rapid.IntRange(0, 5).Draw(t, "server"), Kind(rapid.IntRange(0, 1).Draw(t, "kind")),
					uint8(rapid.IntRange(0, 15).Draw(t, "group")), Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), rapid.IntRange(1, 5).Draw(t, "times"))
			}
			y.now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			for i, g := range y.proxies {
				var s *Report
				s, y.reported[i] = g.ReportSince(y.now-time.Duration(i)*time.Minute/7, y.reported[i], func(string) bool { return true })
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					reports = append(reports, s)
				}
			}
		}
		for i, g := range y.proxies {
			s, _ := g.ReportSince(y.now-time.Duration(i)*time.Minute/7, 0, func(string) bool { return true })
			reports = append(reports, s)
		}
		other := NewEvaluator()
		for _, s := range reports {
			y.evaluator.AddReport(y.now, s)
		}
		for _, s := range append(rapid.Permutation(reports).Draw(t, "order"), reports[:len(reports)/2]...) {
			other.AddReport(y.now, s)
		}
		assert.DeepEqual(t, y.evaluator.Evaluate(y.now, y.servers), other.Evaluate(y.now, y.servers))
	})
}

// Outcomes of one tenant neither make a server unfit that all others find healthy, nor clear one that the others find unfit.
func TestNoTenantAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		good := rapid.Bool().Draw(t, "good")
		others, both := newFleetFixture("one group absolves", 6, 9), newFleetFixture("", 6, 9)
		for range rapid.IntRange(0, 80).Draw(t, "outcomes") {
			g, group, o := rapid.IntRange(0, 5).Draw(t, "proxy"), uint8(rapid.IntRange(0, 14).Draw(t, "group")), Confirmed
			if !good {
				o = rapid.SampledFrom([]Outcome{Confirmed, Unclear, Unclear, Late, WrongID}).Draw(t, "outcome")
			}
			others.observe(g, 0, AtMostOnce, group, o, 1)
			both.observe(g, 0, AtMostOnce, group, o, 1)
		}
		for g := range 6 {
			o := Confirmed
			if good {
				o = Unclear
			}
			both.observe(g, 0, AtMostOnce, 15, o, rapid.IntRange(0, 100).Draw(t, "alone"))
		}
		others.observeOthersHealthy(AtMostOnce)
		both.observeOthersHealthy(AtMostOnce)
		others.step()
		both.step()
		if a, b := others.verdict(0).Level, both.verdict(0).Level; good && b >= UnfitAtMostOnce || a >= UnfitAtMostOnce && b < UnfitAtMostOnce {
			t.Fatalf("without the tenant %s, with it %s", a, b)
		}
	})
}

// Partial verdicts restore the complete list, levels age, and merged lists stay within the limit of excluded servers.
func TestVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := newFleetFixture("", 1, 8).servers
		draw := func(stamp int64) *Verdicts {
			all := map[string]Verdict{}
			for _, s := range servers {
				if rapid.Bool().Draw(t, "there") {
					all[s.ID] = Verdict{Server: s.ID, Service: s.Service, Level: Level(rapid.IntRange(0, 3).Draw(t, "level")), Share: float64(rapid.IntRange(1, 9).Draw(t, "share")) / 10, Relapses: 1}
				}
			}
			return &Verdicts{By: "b1", Stamp: stamp, List: sorted(all)}
		}
		a, b := draw(1), draw(2)
		if part := b.DiffFrom(a); part != nil {
			var text bytes.Buffer
			assert.NilError(t, gob.NewEncoder(&text).Encode(part))
			came := &Verdicts{}
			assert.NilError(t, gob.NewDecoder(&text).Decode(came))
			assert.DeepEqual(t, came.ApplyTo(a), b)
			assert.DeepEqual(t, came.ApplyTo(came.ApplyTo(a)), b)
			assert.Assert(t, came.ApplyTo(nil) == nil)
		} else {
			assert.Assert(t, reflect.DeepEqual(a.List, b.List))
		}
		out := map[string]int{}
		x, y := MergeVerdicts(servers, a.List, b.List), MergeVerdicts(servers, b.List, a.List)
		assert.DeepEqual(t, x, y)
		for _, v := range x {
			if v.Level >= UnfitAtMostOnce {
				out[v.Service]++
			}
		}
		assert.Assert(t, out["loans"] <= 2 && out["holds"] <= 2, "%v", out)
	})
	assert.Equal(t, UnfitAll.Aged(StaleAfter), UnfitAll)
	assert.Equal(t, UnfitAll.Aged(StaleAfter+1), Doubtful)
	assert.Equal(t, Doubtful.Aged(ExpiredAfter+1), Fit)
}

// A replica that becomes responsible for a server clears no verdict, and memory stays bounded.
func TestAdoptAndBounds(t *testing.T) {
	y := newFleetFixture("", 12, 12)
	_, _, _ = y.runFaultyServer(time.Hour, time.Minute)
	next := NewEvaluator()
	next.Adopt(y.now, y.last.List)
	v, w := y.verdict(0), index(next.Evaluate(y.now, y.servers).List)["s00"]
	assert.Equal(t, v.Level, w.Level)
	assert.Equal(t, v.Relapses, w.Relapses)
	assert.Assert(t, w.Age >= v.Age)
	y = newFleetFixture("", 12, 4) // a replica that has just started uses evidence from before its start
	for g := range y.proxies {
		y.observe(g, 0, AtMostOnce, uint8(g), Unclear, 2)
	}
	y.observeOthersHealthy(AtMostOnce)
	y.now, next = y.now+10*time.Second, NewEvaluator()
	for i, g := range y.proxies {
		s, _ := g.ReportSince(y.now-time.Duration(i)*time.Minute/7, 0, func(string) bool { return true })
		next.AddReport(0, s)
	}
	assert.Equal(t, index(next.Evaluate(0, y.servers).List)["s00"].Level, UnfitAtMostOnce)
	for i := range 3 * maxObservations {
		b := y.proxies[0]
		b.Add(y.now+time.Duration(i)*time.Millisecond*30, fmt.Sprint("x", i%9000), AtMostOnce, uint8(i), Unclear)
		assert.Assert(t, len(b.observations) <= maxObservations)
	}
	for i := range 3 * maxCellsPerServer { // with many servers, each keeps fewer cells
		y.evaluator.AddReport(y.now, &Report{Proxy: "g00", Now: Window, Observations: []Observation{{Server: "s00", Bin: int32(i % 150), Group: uint8(i % 16)}, {Server: fmt.Sprint(i)}}, Incarnation: int64(i / 1000)})
	}
	assert.Assert(t, len(y.evaluator.cells["s00"]) <= 2*maxCells/maxServers && len(y.evaluator.cells) <= maxServers)
	y.evaluator.Evaluate(y.now+2*Window, nil)
	assert.Equal(t, len(y.evaluator.cells)+len(y.evaluator.states)+len(y.evaluator.proxies), 0)
}
