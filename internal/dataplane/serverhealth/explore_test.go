package serverhealth

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exploredState is the state of three proxies and one replica after a sequence of steps.
type exploredState struct {
	evaluator        *Evaluator
	fault            string
	proxies          [3]*Recorder
	reported         [3]uint64
	inFlight         [3]*Report // sent, not yet arrived
	seen             [3]int
	late             *Report // a duplicate that is still to arrive
	lost             int
	duplicates       int
	starts           int
	level            Level // highest level so far
	clearedByRestart bool  // a restart of the replica lowered the level
	servers          []Server
}

const pathNow = time.Hour

// maxOutcomes limits the outcomes that each proxy observes, maxDisruptions the losses, duplicates and restarts in total.
var maxOutcomes = [3]int{2, 2, 1}

const maxDisruptions = 1

// step is one event, at one proxy.
type step struct {
	what  byte
	proxy int
}

func newExploredState(fault string) *exploredState {
	p := &exploredState{evaluator: NewEvaluator(), fault: fault}
	for i := range p.proxies {
		p.proxies[i] = NewRecorder(fmt.Sprint("g", i), fmt.Sprint("z", i), 1)
	}
	for i := range 4 {
		p.servers = append(p.servers, Server{ID: fmt.Sprint("s", i), Service: "loans", Region: "n", Capacity: 1})
	}
	p.evaluator.testFault = fault
	p.reportOthers()
	return p
}

// reportOthers reports good outcomes of the other servers, which s0 is compared with.
func (p *exploredState) reportOthers() {
	b := NewRecorder("other", "z0", 1)
	for _, s := range p.servers[1:] {
		for group := range uint8(Groups) {
			for range 3 {
				b.Add(pathNow, s.ID, AtMostOnce, group, Confirmed)
			}
		}
	}
	report, _ := b.ReportSince(pathNow, 0, func(string) bool { return true })
	p.evaluator.AddReport(pathNow, report)
}

// steps returns the events that may happen next: a proxy observes an outcome (s), sends a report (t), its report arrives (d),
// arrives and will be duplicated (a), or is lost with its connection (l); the duplicate arrives (c); the replica restarts (r).
func (p *exploredState) steps() (all []step) {
	well := p.duplicates+p.lost+p.starts < maxDisruptions
	for g := range p.proxies {
		if p.seen[g] < maxOutcomes[g] {
			all = append(all, step{'s', g})
		}
		if p.inFlight[g] == nil && p.proxies[g].sequence > p.reported[g] {
			all = append(all, step{'t', g})
		}
		if p.inFlight[g] != nil {
			all = append(all, step{'d', g})
			if well {
				all = append(all, step{'a', g})
			}
			if well {
				all = append(all, step{'l', g})
			}
		}
	}
	if p.late != nil {
		all = append(all, step{'c', 0})
	}
	if well && p.level > Fit {
		all = append(all, step{'r', 0})
	}
	return all
}

// apply executes a step. With look, it evaluates the verdict afterwards.
func (p *exploredState) apply(s step, look bool) {
	g := s.proxy
	switch s.what {
	case 's':
		p.proxies[g].Add(pathNow, "s0", AtMostOnce, uint8(g), Unclear)
		p.seen[g]++
	case 't':
		p.inFlight[g], p.reported[g] = p.proxies[g].ReportSince(pathNow, p.reported[g], func(string) bool { return true })
	case 'd', 'a':
		if p.evaluator.AddReport(pathNow, p.inFlight[g]); s.what == 'a' {
			p.late, p.duplicates = p.inFlight[g], 1
		}
		p.inFlight[g] = nil
	case 'l':
		p.inFlight[g], p.reported[g], p.lost = nil, 0, 1 // a new connection starts with a complete report
		if p.fault == "goes on after a loss" {
			p.reported[g] = p.proxies[g].sequence
		}
	case 'c':
		p.evaluator.AddReport(pathNow, p.late)
		p.late = nil
	case 'r':
		list := p.evaluator.Evaluate(pathNow, p.servers).List
		p.evaluator, p.reported, p.starts = NewEvaluator(), [3]uint64{}, 1
		p.evaluator.testFault = p.fault
		p.reportOthers()
		if p.fault != "adopts nothing" {
			p.evaluator.Adopt(pathNow, list)
		}
		p.clearedByRestart = look && p.currentLevel() < p.level
	}
	if look && s.what != 's' && s.what != 't' && s.what != 'l' {
		p.level = max(p.level, p.currentLevel())
	}
}

func (p *exploredState) currentLevel() Level {
	if list := p.evaluator.Evaluate(pathNow, p.servers).List; len(list) > 0 {
		return list[0].Level
	}
	return Fit
}

func (p *exploredState) storedCounts() (n [3]int) {
	for k, c := range p.evaluator.cells["s0"] {
		n[k.group] += int(c.counts[Unclear])
	}
	return n
}

// key returns a text that differs between states with different possible continuations.
func (p *exploredState) key() string {
	way := [3]int{}
	for g, s := range p.inFlight {
		if s != nil {
			way[g] = 1
			for _, e := range s.Observations {
				way[g] += int(e.Counts[Unclear])
			}
		}
	}
	late := ""
	if p.late != nil {
		late = fmt.Sprint(p.late.Proxy, p.late.Observations)
	}
	return fmt.Sprint(p.seen, p.reported, way, p.storedCounts(), late, p.lost, p.duplicates, p.starts, p.level)
}

// violation returns the invariant that a state violates, now or after all pending reports have arrived; "" if none.
func (p *exploredState) violation() string {
	if p.clearedByRestart {
		return "a restart of the replica cleared a verdict"
	}
	for g, n := range p.storedCounts() {
		if n > p.seen[g] {
			return fmt.Sprintf("g%[2]d observed %[1]d outcomes, the replica holds %[3]d", p.seen[g], g, n)
		}
	}
	for g := range p.proxies {
		if p.inFlight[g] != nil {
			p.evaluator.AddReport(pathNow, p.inFlight[g])
		}
		s, _ := p.proxies[g].ReportSince(pathNow, p.reported[g], func(string) bool { return true })
		p.evaluator.AddReport(pathNow, s)
	}
	if held := p.storedCounts(); held != p.seen {
		return fmt.Sprintf("%v outcomes were observed, the replica finally holds %v", p.seen, held)
	}
	is := p.currentLevel()
	if all := p.seen[0] + p.seen[1] + p.seen[2]; is < UnfitAtMostOnce && (all > 4 || p.level >= UnfitAtMostOnce) {
		return fmt.Sprintf("%s after %d unclear outcomes", is, all)
	}
	return ""
}

// explore visits all states reachable by any order of steps, each once.
func explore(fault string) (states int, wrong string) {
	known := map[string]bool{}
	var walk func(done []step, level Level) string
	walk = func(done []step, level Level) string {
		p := newExploredState(fault)
		for i, s := range done {
			if i == len(done)-1 {
				p.level = level // as found on the way to this state
			}
			p.apply(s, i == len(done)-1)
		}
		key := p.key()
		if known[key] {
			return ""
		}
		known[key] = true
		next, level := p.steps(), p.level
		if what := p.violation(); what != "" {
			return fmt.Sprint(done, ": ", what)
		}
		for _, s := range next {
			if what := walk(append(done[:len(done):len(done)], s), level); what != "" {
				return what
			}
		}
		return ""
	}
	wrong = walk(nil, Fit)
	return len(known), wrong
}

// With lost, duplicated and late reports and restarts of the replica, the replica finally holds exactly the observed outcomes,
// and a restart never clears a verdict.
func TestExplore(t *testing.T) {
	states, wrong := explore("")
	assert.Equal(t, wrong, "")
	t.Logf("%d states", states)
	assert.Assert(t, states > 2000, "%d states", states)
	for _, fault := range []string{"adds", "goes on after a loss", "adopts nothing"} {
		_, wrong := explore(fault)
		assert.Assert(t, wrong != "", fault)
	}
}
