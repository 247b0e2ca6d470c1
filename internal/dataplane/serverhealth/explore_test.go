package serverhealth

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exploredState is the state of three proxies and one replica after a sequence of steps.
type path struct {
	floor   *Floor
	fault   string
	proxies [3]*Recorder
	told    [3]uint64
	way     [3]*Report // sent, not yet arrived
	seen    [3]int
	late    *Report // a duplicate that is still to arrive
	lost    int
	again   int
	starts  int
	level   Level // highest level so far
	pardon  bool  // a restart of the replica lowered the level
	servers []Server
}

const pathNow = time.Hour

// maxOutcomes limits the outcomes that each proxy observes, maxDisruptions the losses, duplicates and restarts in total.
var mostSeen = [3]int{2, 2, 1}

const mostTroubles = 1

// step is one event, at one proxy.
type step struct {
	what  byte
	proxy int
}

func newPath(fault string) *path {
	p := &path{floor: NewFloor(), fault: fault}
	for i := range p.proxies {
		p.proxies[i] = NewRecorder(fmt.Sprint("g", i), fmt.Sprint("z", i), 1)
	}
	for i := range 4 {
		p.servers = append(p.servers, Server{ID: fmt.Sprint("s", i), Service: "loans", Region: "n", Capacity: 1})
	}
	p.floor.fault = fault
	p.hearOthers()
	return p
}

// reportOthers reports good outcomes of the other servers, which s0 is compared with.
func (p *path) hearOthers() {
	b := NewRecorder("other", "z0", 1)
	for _, s := range p.servers[1:] {
		for group := range uint8(Groups) {
			for range 3 {
				b.Add(pathNow, s.ID, Record, group, Confirmed)
			}
		}
	}
	report, _ := b.Tell(pathNow, 0, func(string) bool { return true })
	p.floor.Hear(pathNow, report)
}

// steps returns the events that may happen next: a proxy observes an outcome (s), sends a report (t), its report arrives (d),
// arrives and will be duplicated (a), or is lost with its connection (l); the duplicate arrives (c); the replica restarts (r).
func (p *path) steps() (all []step) {
	well := p.again+p.lost+p.starts < mostTroubles
	for g := range p.proxies {
		if p.seen[g] < mostSeen[g] {
			all = append(all, step{'s', g})
		}
		if p.way[g] == nil && p.proxies[g].no > p.told[g] {
			all = append(all, step{'t', g})
		}
		if p.way[g] != nil {
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
func (p *path) do(s step, look bool) {
	g := s.proxy
	switch s.what {
	case 's':
		p.proxies[g].Add(pathNow, "s0", Record, uint8(g), Unclear)
		p.seen[g]++
	case 't':
		p.way[g], p.told[g] = p.proxies[g].Tell(pathNow, p.told[g], func(string) bool { return true })
	case 'd', 'a':
		if p.floor.Hear(pathNow, p.way[g]); s.what == 'a' {
			p.late, p.again = p.way[g], 1
		}
		p.way[g] = nil
	case 'l':
		p.way[g], p.told[g], p.lost = nil, 0, 1 // a new connection starts with a complete report
		if p.fault == "goes on after a loss" {
			p.told[g] = p.proxies[g].no
		}
	case 'c':
		p.floor.Hear(pathNow, p.late)
		p.late = nil
	case 'r':
		list := p.floor.Step(pathNow, p.servers).List
		p.floor, p.told, p.starts = NewFloor(), [3]uint64{}, 1
		p.floor.fault = p.fault
		p.hearOthers()
		if p.fault != "adopts nothing" {
			p.floor.Adopt(pathNow, list)
		}
		p.pardon = look && p.is() < p.level
	}
	if look && s.what != 's' && s.what != 't' && s.what != 'l' {
		p.level = max(p.level, p.is())
	}
}

func (p *path) is() Level {
	if list := p.floor.Step(pathNow, p.servers).List; len(list) > 0 {
		return list[0].Level
	}
	return Fit
}

func (p *path) held() (n [3]int) {
	for k, c := range p.floor.cells["s0"] {
		n[k.group] += int(c.counts[Unclear])
	}
	return n
}

// key returns a text that differs between states with different possible continuations.
func (p *path) key() string {
	way := [3]int{}
	for g, s := range p.way {
		if s != nil {
			way[g] = 1
			for _, e := range s.Observations {
				way[g] += int(e.Counts[Unclear])
			}
		}
	}
	late := ""
	if p.late != nil {
		late = fmt.Sprint(p.late.Witness, p.late.Observations)
	}
	return fmt.Sprint(p.seen, p.told, way, p.held(), late, p.lost, p.again, p.starts, p.level)
}

// violation returns the invariant that a state violates, now or after all pending reports have arrived; "" if none.
func (p *path) wrong() string {
	if p.pardon {
		return "a restart of the replica cleared a verdict"
	}
	for g, n := range p.held() {
		if n > p.seen[g] {
			return fmt.Sprintf("g%[2]d observed %[1]d outcomes, the replica holds %[3]d", p.seen[g], g, n)
		}
	}
	for g := range p.proxies {
		if p.way[g] != nil {
			p.floor.Hear(pathNow, p.way[g])
		}
		s, _ := p.proxies[g].Tell(pathNow, p.told[g], func(string) bool { return true })
		p.floor.Hear(pathNow, s)
	}
	if held := p.held(); held != p.seen {
		return fmt.Sprintf("%v outcomes were observed, the replica finally holds %v", p.seen, held)
	}
	is := p.is()
	if all := p.seen[0] + p.seen[1] + p.seen[2]; is < UnfitRecord && (all > 4 || p.level >= UnfitRecord) {
		return fmt.Sprintf("%s after %d unclear outcomes", is, all)
	}
	return ""
}

// explore visits all states reachable by any order of steps, each once.
func explore(fault string) (states int, wrong string) {
	known := map[string]bool{}
	var walk func(done []step, level Level) string
	walk = func(done []step, level Level) string {
		p := newPath(fault)
		for i, s := range done {
			if i == len(done)-1 {
				p.level = level // as found on the way to this state
			}
			p.do(s, i == len(done)-1)
		}
		key := p.key()
		if known[key] {
			return ""
		}
		known[key] = true
		next, level := p.steps(), p.level
		if what := p.wrong(); what != "" {
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
