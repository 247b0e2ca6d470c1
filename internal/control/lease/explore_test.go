package lease

import (
	"encoding/binary"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

var depth = flag.Int("steward.depth", 3, "steps of every order that the explorer tries")

const replicas = 3

// model is a system of three replicas with the messages in flight between them and the faults that have occurred. It
// can be copied at any point.
type model struct {
	nodes  [replicas]place
	mail   []letter
	cut    [replicas][replicas]bool // pairs of replicas whose connection is down
	lives  int64                    // number of starts of replicas so far
	unixMS uint64
	claims map[peerlink.Term]peerlink.Duty // all claims ever made, by term
	left   budget                          // events that may still occur
	path   []string                        // labels of the actions so far
	fault  string                          // the first violated invariant; empty: none
	plant  *planted
}

// testReplica is a replica of a model.
type place struct {
	s      *Lease
	now    time.Duration
	up     bool
	leaves bool
	work   Work
}

// envelope is a message in flight.
type letter struct {
	from, to peerlink.Seat
	duty     peerlink.Duty
}

// eventBudget is how often each kind of event may still occur.
type budget struct{ ticks, lost, twice, kills, cuts, leaves int8 }

var usual = budget{ticks: 4, lost: 2, twice: 1, kills: 1, cuts: 1, leaves: 1}

func name(i int) string { return string(rune('a' + i)) }

func newModel(b budget, p *planted) *model {
	m := &model{claims: map[peerlink.Term]peerlink.Duty{}, left: b, plant: p, unixMS: 100}
	for i := range m.nodes {
		m.start(i)
	}
	return m
}

func (m *model) start(i int) {
	if m.lives < replicas || m.plant == nil || !m.plant.oneLife {
		m.lives++
	}
	m.unixMS += 100 // a restart takes more than a millisecond
	n := &m.nodes[i]
	*n = place{s: New("duty", peerlink.Seat{Name: name(i), Life: m.lives}, "z"+name(i%2)), up: true}
	n.work = Work{Period: 500 * time.Millisecond, Asked: -500 * time.Millisecond}
	for j := range m.nodes {
		if j != i && m.linked(i, j) {
			m.greet(i, j)
		}
	}
}

// exchangeGreetings puts the greetings of a new connection in flight.
func (m *model) greet(i, j int) {
	a, b := m.nodes[i].s, m.nodes[j].s
	m.mail = append(m.mail, letter{a.self, b.self, a.Greet()}, letter{b.self, a.self, b.Greet()})
}

func (m *model) linked(i, j int) bool {
	return m.nodes[i].up && m.nodes[j].up && !m.cut[i][j]
}

func (m *model) view(i int) View {
	v := View{Now: m.nodes[i].now, UnixMS: m.unixMS, Elector: true, Electors: replicas}
	for j := range m.nodes {
		if j != i && m.linked(i, j) && !m.nodes[j].leaves {
			v.Peers = append(v.Peers, Peer{Seat: m.nodes[j].s.self, Zone: m.nodes[j].s.zone, Elector: true})
		}
	}
	if m.plant != nil && m.plant.view != nil {
		m.plant.view(&v)
	}
	return v
}

func (m *model) copy() *model {
	c := *m
	for i := range c.nodes {
		s := *c.nodes[i].s
		s.votes = maps.Clone(s.votes)
		c.nodes[i].s = &s
	}
	c.mail, c.claims, c.path = slices.Clone(m.mail), maps.Clone(m.claims), slices.Clip(m.path)
	return &c
}

// send puts the messages of a replica in flight and checks what it claims.
func (m *model) say(i int, out []Tell) {
	n := m.nodes[i].s
	if m.plant != nil && m.plant.after != nil {
		out = m.plant.after(n, m.view(i), out)
	}
	for _, t := range out {
		for j := range m.nodes {
			if j != i && (t.To == "" || t.To == name(j)) && m.linked(i, j) {
				m.mail = append(m.mail, letter{n.self, m.nodes[j].s.self, t.Duty})
			}
		}
		m.claimed(t.Duty)
	}
	m.claimed(n.known)
}

// checkClaim compares a claim with all earlier ones: a term has one holder and one successor.
func (m *model) claimed(d peerlink.Duty) {
	if d.Term == (peerlink.Term{}) {
		return
	}
	claim := peerlink.Duty{Term: d.Term, Holder: d.Holder, Next: d.Next}
	if old, ok := m.claims[d.Term]; ok && old != claim && m.fault == "" {
		m.fault = fmt.Sprintf("two claims of one term: %v and %v", old, claim)
	}
	m.claims[d.Term] = claim
}

// deliver hands a message to its receiver and checks that no outdated term is accepted.
func (m *model) deliver(l letter) {
	for i := range m.nodes {
		n := &m.nodes[i]
		from := slices.IndexFunc(m.nodes[:], func(x place) bool { return x.s.self == l.from })
		if n.s.self != l.to || from < 0 || !m.linked(i, from) {
			continue // the connection is down
		}
		before := n.s.known.Term
		if m.plant != nil && m.plant.before != nil {
			m.plant.before(n.s, &l.duty)
		}
		accepts := l.duty.Holder == l.from && n.s.Takes(l.duty.Term)
		m.say(i, n.s.Hear(m.view(i), l.from, l.duty))
		if m.fault == "" && (accepts && before.Above(l.duty.Term) && l.duty.Term != peerlink.Term{} || before.Above(n.s.known.Term)) {
			m.fault = fmt.Sprintf("%s accepts a message of term %v after %v", name(i), l.duty.Term, before)
		}
	}
}

// action is one event that may occur next.
type action struct {
	what string
	do   func(m *model)
}

// actions returns all events that may occur next.
func (m *model) actions() (all []action) {
	add := func(what string, do func(m *model)) { all = append(all, action{what, do}) }
	for k, l := range m.mail {
		if slices.Contains(m.mail[:k], l) {
			continue
		}
		add(fmt.Sprintf("deliver %v", l), func(m *model) {
			m.mail = slices.Delete(m.mail, k, k+1)
			m.deliver(l)
		})
		if m.left.lost > 0 {
			add(fmt.Sprintf("lose %v", l), func(m *model) { m.left.lost--; m.mail = slices.Delete(m.mail, k, k+1) })
		}
		if m.left.twice > 0 {
			add(fmt.Sprintf("deliver twice %v", l), func(m *model) { m.left.twice--; m.deliver(l) })
		}
	}
	for i := range m.nodes {
		n := &m.nodes[i]
		switch {
		case n.up && m.left.ticks > 0 && !n.leaves:
			add("a second passes at "+name(i), func(m *model) {
				m.left.ticks--
				m.nodes[i].now += time.Second
				m.say(i, m.nodes[i].s.Step(m.view(i)))
			})
		case !n.up:
			add(name(i)+" returns", func(m *model) { m.start(i) })
		}
		if n.up && m.left.kills > 0 {
			add(name(i)+" is killed", func(m *model) { m.left.kills--; m.nodes[i].up = false })
		}
		if n.up && !n.leaves && m.left.leaves > 0 {
			add(name(i)+" leaves", func(m *model) {
				m.left.leaves--
				m.nodes[i].leaves = true
				m.say(i, m.nodes[i].s.Leave())
			})
		}
		for j := range i {
			if m.cut[i][j] {
				add(fmt.Sprintf("%s and %s are joined", name(i), name(j)), func(m *model) { m.join(i, j) })
			} else if m.left.cuts > 0 {
				add(fmt.Sprintf("%s and %s are cut", name(i), name(j)), func(m *model) {
					m.left.cuts--
					m.cut[i][j], m.cut[j][i] = true, true
				})
			}
		}
	}
	return all
}

func (m *model) join(i, j int) {
	m.cut[i][j], m.cut[j][i] = false, false
	if m.linked(i, j) {
		m.greet(i, j)
	}
}

// key identifies a state. Durations are included only as far as they make a difference: rounded, and up to 3 seconds.
func (m *model) key() string {
	var b []byte
	duration := func(d time.Duration) {
		b = binary.AppendVarint(b, int64(min(max(d, 0), 3*time.Second)/(50*time.Millisecond)))
	}
	seat := func(s peerlink.Seat) { b = append(append(b, s.Name...), byte(s.Life)) }
	duty := func(d peerlink.Duty) {
		b = binary.AppendUvarint(b, d.Term.Epoch)
		b = binary.AppendUvarint(b, d.Term.Step)
		seat(d.Holder)
		seat(d.Next)
		b = binary.AppendUvarint(b, d.Ask)
		b = binary.AppendUvarint(b, d.Vote)
		b = binary.AppendUvarint(b, d.Voted)
		if d.Yields {
			b = append(b, 'y')
		}
	}
	flags := func(f ...bool) {
		for _, x := range f {
			b = append(b, map[bool]byte{false: '0', true: '1'}[x])
		}
	}
	for i := range m.nodes {
		n := &m.nodes[i]
		flags(n.up, n.leaves, n.s.left, n.s.asked, m.cut[i][0], m.cut[i][1])
		seat(n.s.self)
		duty(n.s.known)
		duration(n.now - n.s.heard)
		duration(n.now - n.s.told)
		duration(n.now - n.s.named)
		duration(n.now - n.s.askedAt)
		b = binary.AppendUvarint(binary.AppendUvarint(b, n.s.voted), n.s.asking)
		b = binary.AppendUvarint(b, n.s.seen)
		for k := range m.nodes {
			flags(n.s.votes[name(k)])
		}
	}
	mail := make([]string, 0, len(m.mail))
	for _, l := range m.mail {
		from := len(b)
		seat(l.from)
		seat(l.to)
		duty(l.duty)
		mail = append(mail, string(b[from:]))
		b = b[:from]
	}
	slices.Sort(mail)
	return fmt.Sprint(string(b), m.left, strings.Join(mail, "|"))
}

// Timing of a run without further faults.
const (
	way       = 20 * time.Millisecond // delay of each message
	calmSlice = 10 * time.Millisecond // time between two steps
	calmFor   = 6 * time.Second
	mostGap   = 1900 * time.Millisecond // maximum time between two runs of the task, measured from the last fault on
	lastPart  = 2 * time.Second         // at the end of the run, when the system must have settled
)

// runUndisturbed lets time pass without faults and returns what is wrong, if anything. Where a majority is connected,
// every running replica must keep learning of runs of the task. If heal is true, all replicas are started and
// connected first; in the end exactly one then runs the task, and all know it as the holder.
func (m *model) calm(heal bool) string {
	m = m.copy()
	if heal {
		for i := range m.nodes {
			if !m.nodes[i].up || m.nodes[i].leaves {
				m.start(i)
			}
			for j := range i {
				if m.cut[i][j] {
					m.join(i, j)
				}
			}
		}
	}
	type delayed struct {
		at       time.Duration
		envelope letter
	}
	var pending []delayed
	var last, gap [replicas]time.Duration
	runs := [replicas]int{}
	for t := time.Duration(0); t < calmFor; t += calmSlice {
		for i := range m.nodes {
			n := &m.nodes[i]
			if n.now += calmSlice; !n.up || n.leaves {
				continue
			}
			m.say(i, n.s.Step(m.view(i)))
			if n.now >= n.s.Due(m.view(i), n.work) && (n.s.Holds() || m.plant == nil || !m.plant.claimed) {
				n.work.Asked, n.work.Heard, last[i] = n.now, n.now, t
				if t >= calmFor-lastPart {
					runs[i]++
				}
				term := peerlink.Term{}
				if n.s.Holds() {
					term = n.s.known.Term
					n.s.Spoke(n.now)
					m.say(i, []Tell{{Duty: n.s.word()}})
				}
				for j := range m.nodes {
					if o := &m.nodes[j]; j != i && m.linked(i, j) && o.s.Takes(term) {
						o.work.Heard, o.work.Others, last[j] = o.now, o.now, t
					}
				}
			}
			gap[i] = max(gap[i], t-last[i])
		}
		for _, l := range m.mail {
			pending = append(pending, delayed{t + way, l})
		}
		m.mail = nil
		for len(pending) > 0 && pending[0].at <= t {
			m.deliver(pending[0].envelope)
			pending = pending[1:]
		}
	}
	if m.fault != "" {
		return m.fault
	}
	holders, running := 0, 0
	for i := range m.nodes {
		n := &m.nodes[i]
		if !n.up || n.leaves {
			continue
		}
		running++
		if gap[i] > mostGap {
			return fmt.Sprintf("%s learns of no run of the task for %v", name(i), gap[i])
		}
		if n.s.Holds() {
			holders++
		} else if runs[i] > 0 && heal {
			return fmt.Sprintf("%s still runs the task without holding the duty", name(i))
		}
		if heal && n.s.known != m.nodes[0].s.known {
			return fmt.Sprintf("%s and %s know different holders", name(i), name(0))
		}
	}
	if allConnected := heal || running == replicas && !m.cut[1][0] && !m.cut[2][0] && !m.cut[2][1]; allConnected && holders != 1 {
		return fmt.Sprintf("%d holders", holders)
	}
	return ""
}

// settledModel lets the replicas run until one holds the duty.
func settled(m *model) *model {
	for range 60 {
		for i := range m.nodes {
			m.nodes[i].now += 20 * time.Millisecond
			m.say(i, m.nodes[i].s.Step(m.view(i)))
		}
		all := m.mail
		m.mail = nil
		for _, l := range all {
			m.deliver(l)
		}
	}
	return m
}

// explore tries all orders of events up to a length. It returns how many states it visited and the first violated
// invariant with its path. From every state whose number is a multiple of recoveryEvery it also checks that the system
// recovers without further faults.
func explore(begin *model, maxDepth int, recoveryEvery int) (states int, violation string) {
	seen := map[string]bool{begin.key(): true}
	frontier := []*model{begin}
	for d := 0; d <= maxDepth && len(frontier) > 0; d++ {
		var next []*model
		for _, m := range frontier {
			states++
			if states%recoveryEvery == 0 && m.fault == "" {
				if m.fault = m.calm(true); m.fault == "" {
					m.fault = m.calm(false)
				}
			}
			if m.fault != "" {
				return states, m.fault + "\n" + strings.Join(m.path, "\n")
			}
			if d == maxDepth {
				continue
			}
			for _, a := range m.actions() {
				c := m.copy()
				a.do(c)
				k := c.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				c.path = append(c.path, a.what)
				next = append(next, c)
			}
		}
		frontier = next
	}
	return states, ""
}

// All short sequences of events, from the first start and from a settled system.
func TestAllOrders(t *testing.T) {
	for what, begin := range map[string]*model{"first start": newModel(usual, nil), "settled": settled(newModel(usual, nil))} {
		states, fault := explore(begin, *depth, 53)
		assert.Equal(t, fault, "", what)
		t.Logf("%s: %d states, %d steps deep", what, states, *depth)
	}
}

var walks = flag.Int("steward.walks", 60, "long random orders that are played")

// randomWalk plays one long random sequence of events, with more faults than explore, and then lets the system run
// without faults.
func walk(seed uint64, fault *planted) *model {
	m := newModel(budget{}, nil)
	rnd := rand.New(rand.NewPCG(seed, 1))
	if rnd.IntN(2) == 0 {
		m = settled(m)
	}
	m.left, m.plant = budget{ticks: 30, lost: 5, twice: 5, kills: 3, cuts: 3, leaves: 2}, fault
	for range 60 {
		all := m.actions()
		if len(all) == 0 || m.fault != "" {
			break
		}
		a := all[rnd.IntN(len(all))]
		a.do(m)
		m.path = append(m.path, a.what)
	}
	for _, heal := range []bool{true, false} {
		if m.fault == "" {
			m.fault = m.calm(heal)
		}
	}
	return m
}

// Long random sequences of events keep the invariants, and the system recovers afterwards.
func TestLongOrders(t *testing.T) {
	for seed := range uint64(*walks) {
		m := walk(seed, nil)
		assert.Equal(t, m.fault, "", "seed %d\n%s", seed, strings.Join(m.path, "\n"))
	}
	t.Logf("%d orders of 60 steps", *walks)
}
