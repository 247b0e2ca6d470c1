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
type yard struct {
	floor   *Floor
	proxies []*Recorder
	told    []uint64
	servers []Server
	now     time.Duration
	last    *Verdicts
	wrong   string
	times   int // number of times that each report is delivered
}

func newYard(fault string, proxies, servers int) *yard {
	y := &yard{floor: NewFloor(), told: make([]uint64, proxies), times: 1, now: time.Hour}
	y.floor.fault = fault
	for i := range proxies {
		y.proxies = append(y.proxies, NewRecorder(fmt.Sprintf("g%02d", i), string(rune('a'+i%3)), 1))
	}
	for i := range servers {
		y.servers = append(y.servers, Server{ID: fmt.Sprintf("s%02d", i), Service: []string{"loans", "holds"}[i%2], Capacity: 8})
	}
	return y
}

func (y *yard) see(proxy, server int, kind Kind, group uint8, o Outcome, times int) {
	for range times {
		y.proxies[proxy].Add(y.now-time.Duration(proxy)*time.Minute/7, y.servers[server].ID, kind, group, o) // the proxies' clocks differ
	}
}

// report delivers a proxy's report to the evaluator.
func (y *yard) tell(i int) {
	s, no := y.proxies[i].Tell(y.now-time.Duration(i)*time.Minute/7, y.told[i], func(string) bool { return true })
	y.told[i] = no
	for range y.times {
		y.floor.Hear(y.now, s)
	}
}

func (y *yard) step() { y.stepWith(func(int) bool { return true }) }

// stepWith simulates one second in which only some proxies report.
func (y *yard) stepWith(tells func(proxy int) bool) {
	for i := range y.proxies {
		if tells(i) {
			y.tell(i)
		}
	}
	y.last = y.floor.Step(y.now, y.servers)
	y.now += time.Second
	out := map[string]int{}
	for _, v := range y.last.List {
		if v.Level >= UnfitRecord {
			out[v.Service]++
		}
	}
	for s, n := range out {
		if n > len(y.servers)/4 {
			y.wrong = fmt.Sprint(n, " servers of ", s, " are excluded at once")
		}
	}
}

func (y *yard) verdict(server int) Verdict { return index(y.last.List)[y.servers[server].ID] }

// observeOthersHealthy records good outcomes of all proxies at all servers but the first, which is compared with them.
func (y *yard) othersWell(kind Kind) {
	for g := range y.proxies {
		for s := range y.servers[1:] {
			y.see(g, s+1, kind, uint8(g%8), Confirmed, 1)
		}
	}
}

// wantLevel returns an error text if server 0 has none of the given levels, else the fixture's violation.
func (y *yard) want(levels ...Level) string {
	y.step()
	v := y.verdict(0)
	for _, l := range levels {
		if v.Level == l {
			return y.wrong
		}
	}
	return fmt.Sprintf("%s %v", v.Level, v)
}

// observeAll records outcomes of every proxy at each server, from four groups.
func (y *yard) all(o func(proxy, server, group int) Outcome) {
	for g := range y.proxies {
		for s := range y.servers {
			y.see(g, s, Record, uint8(g%4), o(g, s, g%4), 1)
			y.see(g, s, Search, uint8(g%4), Confirmed, 1)
		}
	}
}

// runFaultyServer simulates a server that fails every second at-most-once request until it is mended. It returns the starts
// of its trials, the time at which it is fit again, and the number of failures. Three proxies run trials in each round.
func (y *yard) mill(mended, till time.Duration) (trials []time.Duration, fit time.Duration, lost int) {
	var names []string
	for _, g := range y.proxies {
		names = append(names, g.name)
	}
	began, n, was := y.now, 0, Verdict{}
	for y.now-began < till {
		may := map[string]bool{}
		if was.Trial {
			for _, name := range Trialists(&was, names, 3) {
				may[name] = true
			}
		}
		for g, name := range names {
			if n++; !was.Level.Serves(Record) && !may[name] {
				continue
			}
			o := Confirmed
			if y.now-began < mended && n%2 == 0 {
				o = Unclear
				lost++
			}
			y.see(g, 0, Record, uint8(n%7), o, 1)
		}
		y.othersWell(Record)
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
		y := newYard("", 6, 6)
		var reports []*Report
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for range rapid.IntRange(1, 60).Draw(t, "outcomes") {
				y.see(rapid.IntRange(0, 5).Draw(t, "proxy"), rapid.IntRange(0, 5).Draw(t, "server"), Kind(rapid.IntRange(0, 1).Draw(t, "kind")),
					uint8(rapid.IntRange(0, 15).Draw(t, "group")), Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), rapid.IntRange(1, 5).Draw(t, "times"))
			}
			y.now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			for i, g := range y.proxies {
				var s *Report
				s, y.told[i] = g.Tell(y.now-time.Duration(i)*time.Minute/7, y.told[i], func(string) bool { return true })
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					reports = append(reports, s)
				}
			}
		}
		for i, g := range y.proxies {
			s, _ := g.Tell(y.now-time.Duration(i)*time.Minute/7, 0, func(string) bool { return true })
			reports = append(reports, s)
		}
		other := NewFloor()
		for _, s := range reports {
			y.floor.Hear(y.now, s)
		}
		for _, s := range append(rapid.Permutation(reports).Draw(t, "order"), reports[:len(reports)/2]...) {
			other.Hear(y.now, s)
		}
		assert.DeepEqual(t, y.floor.Step(y.now, y.servers), other.Step(y.now, y.servers))
	})
}

// Outcomes of one tenant neither make a server unfit that all others find healthy, nor clear one that the others find unfit.
func TestNoTenantAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		good := rapid.Bool().Draw(t, "good")
		others, both := newYard("one group absolves", 6, 9), newYard("", 6, 9)
		for range rapid.IntRange(0, 80).Draw(t, "outcomes") {
			g, group, o := rapid.IntRange(0, 5).Draw(t, "proxy"), uint8(rapid.IntRange(0, 14).Draw(t, "group")), Confirmed
			if !good {
				o = rapid.SampledFrom([]Outcome{Confirmed, Unclear, Unclear, Late, WrongID}).Draw(t, "outcome")
			}
			others.see(g, 0, Record, group, o, 1)
			both.see(g, 0, Record, group, o, 1)
		}
		for g := range 6 {
			o := Confirmed
			if good {
				o = Unclear
			}
			both.see(g, 0, Record, 15, o, rapid.IntRange(0, 100).Draw(t, "alone"))
		}
		others.othersWell(Record)
		both.othersWell(Record)
		others.step()
		both.step()
		if a, b := others.verdict(0).Level, both.verdict(0).Level; good && b >= UnfitRecord || a >= UnfitRecord && b < UnfitRecord {
			t.Fatalf("without the tenant %s, with it %s", a, b)
		}
	})
}

// Partial verdicts restore the complete list, levels age, and merged lists stay within the limit of excluded servers.
func TestVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := newYard("", 1, 8).servers
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
		if part := b.Since(a); part != nil {
			var text bytes.Buffer
			assert.NilError(t, gob.NewEncoder(&text).Encode(part))
			came := &Verdicts{}
			assert.NilError(t, gob.NewDecoder(&text).Decode(came))
			assert.DeepEqual(t, came.Onto(a), b)
			assert.DeepEqual(t, came.Onto(came.Onto(a)), b)
			assert.Assert(t, came.Onto(nil) == nil)
		} else {
			assert.Assert(t, reflect.DeepEqual(a.List, b.List))
		}
		out := map[string]int{}
		x, y := Join(servers, a.List, b.List), Join(servers, b.List, a.List)
		assert.DeepEqual(t, x, y)
		for _, v := range x {
			if v.Level >= UnfitRecord {
				out[v.Service]++
			}
		}
		assert.Assert(t, out["loans"] <= 2 && out["holds"] <= 2, "%v", out)
	})
	assert.Equal(t, UnfitAll.Aged(Stale), UnfitAll)
	assert.Equal(t, UnfitAll.Aged(Stale+1), Doubtful)
	assert.Equal(t, Doubtful.Aged(Expired+1), Fit)
}

// A replica that becomes responsible for a server clears no verdict, and memory stays bounded.
func TestAdoptAndBounds(t *testing.T) {
	y := newYard("", 12, 12)
	_, _, _ = y.mill(time.Hour, time.Minute)
	next := NewFloor()
	next.Adopt(y.now, y.last.List)
	v, w := y.verdict(0), index(next.Step(y.now, y.servers).List)["s00"]
	assert.Equal(t, v.Level, w.Level)
	assert.Equal(t, v.Relapses, w.Relapses)
	assert.Assert(t, w.Age >= v.Age)
	y = newYard("", 12, 4) // a replica that has just started uses evidence from before its start
	for g := range y.proxies {
		y.see(g, 0, Record, uint8(g), Unclear, 2)
	}
	y.othersWell(Record)
	y.now, next = y.now+10*time.Second, NewFloor()
	for i, g := range y.proxies {
		s, _ := g.Tell(y.now-time.Duration(i)*time.Minute/7, 0, func(string) bool { return true })
		next.Hear(0, s)
	}
	assert.Equal(t, index(next.Step(0, y.servers).List)["s00"].Level, UnfitRecord)
	for i := range 3 * mostObservations {
		b := y.proxies[0]
		b.Add(y.now+time.Duration(i)*time.Millisecond*30, fmt.Sprint("x", i%9000), Record, uint8(i), Unclear)
		assert.Assert(t, len(b.observations) <= mostObservations)
	}
	for i := range 3 * mostCells { // with many servers, each keeps fewer cells
		y.floor.Hear(y.now, &Report{Witness: "g00", Now: Window, Observations: []Observation{{Server: "s00", Bin: int32(i % 150), Group: uint8(i % 16)}, {Server: fmt.Sprint(i)}}, Life: int64(i / 1000)})
	}
	assert.Assert(t, len(y.floor.cells["s00"]) <= 2*mostAll/mostServers && len(y.floor.cells) <= mostServers)
	y.floor.Step(y.now+2*Window, nil)
	assert.Equal(t, len(y.floor.cells)+len(y.floor.records)+len(y.floor.witnesses), 0)
}
