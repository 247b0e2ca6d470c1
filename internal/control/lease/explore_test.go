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

var exploreDepth = flag.Int("steward.depth", 3, "steps of every order that the explorer tries")

const replicas = 3

// model is a system of three replicas with the messages in flight between them and the faults that have occurred. It
// can be copied at any point.
type model struct {
	nodes        [replicas]testReplica
	inFlight     []envelope
	isCut        [replicas][replicas]bool // pairs of replicas whose connection is down
	incarnations int64                    // number of starts of replicas so far
	unixMS       uint64
	claims       map[peerlink.Term]peerlink.Duty // all claims ever made, by term
	remaining    eventBudget                     // events that may still occur
	path         []string                        // labels of the actions so far
	violation    string                          // the first violated invariant; empty: none
	injected     *injectedFault
}

// testReplica is a replica of a model.
type testReplica struct {
	lease     *Lease
	now       time.Duration
	isUp      bool
	isLeaving bool
	times     TaskTimes
}

// envelope is a message in flight.
type envelope struct {
	from, to peerlink.Seat
	duty     peerlink.Duty
}

// eventBudget is how often each kind of event may still occur.
type eventBudget struct{ ticks, losses, duplicates, kills, cuts, leaves int8 }

var defaultBudget = eventBudget{ticks: 4, losses: 2, duplicates: 1, kills: 1, cuts: 1, leaves: 1}

func name(i int) string { return string(rune('a' + i)) }

func newModel(b eventBudget, p *injectedFault) *model {
	m := &model{claims: map[peerlink.Term]peerlink.Duty{}, remaining: b, injected: p, unixMS: 100}
	for i := range m.nodes {
		m.start(i)
	}
	return m
}

func (m *model) start(i int) {
	if m.incarnations < replicas || m.injected == nil || !m.injected.keepsIncarnation {
		m.incarnations++
	}
	m.unixMS += 100 // a restart takes more than a millisecond
	n := &m.nodes[i]
	*n = testReplica{lease: New("duty", peerlink.Seat{Name: name(i), Life: m.incarnations}, "z"+name(i%2)), isUp: true}
	n.times = TaskTimes{Period: 500 * time.Millisecond, LastOwn: -500 * time.Millisecond}
	for j := range m.nodes {
		if j != i && m.isConnected(i, j) {
			m.exchangeGreetings(i, j)
		}
	}
}

// exchangeGreetings puts the greetings of a new connection in flight.
func (m *model) exchangeGreetings(i, j int) {
	a, b := m.nodes[i].lease, m.nodes[j].lease
	m.inFlight = append(m.inFlight, envelope{a.self, b.self, a.Greeting()}, envelope{b.self, a.self, b.Greeting()})
}

func (m *model) isConnected(i, j int) bool {
	return m.nodes[i].isUp && m.nodes[j].isUp && !m.isCut[i][j]
}

func (m *model) view(i int) View {
	v := View{Now: m.nodes[i].now, UnixMS: m.unixMS, CanVote: true, VoterCount: replicas}
	for j := range m.nodes {
		if j != i && m.isConnected(i, j) && !m.nodes[j].isLeaving {
			v.Peers = append(v.Peers, Peer{Seat: m.nodes[j].lease.self, Zone: m.nodes[j].lease.zone, CanVote: true})
		}
	}
	if m.injected != nil && m.injected.changeView != nil {
		m.injected.changeView(&v)
	}
	return v
}

func (m *model) copy() *model {
	c := *m
	for i := range c.nodes {
		s := *c.nodes[i].lease
		s.votes = maps.Clone(s.votes)
		c.nodes[i].lease = &s
	}
	c.inFlight, c.claims, c.path = slices.Clone(m.inFlight), maps.Clone(m.claims), slices.Clip(m.path)
	return &c
}

// send puts the messages of a replica in flight and checks what it claims.
func (m *model) send(i int, out []Message) {
	n := m.nodes[i].lease
	if m.injected != nil && m.injected.afterStep != nil {
		out = m.injected.afterStep(n, m.view(i), out)
	}
	for _, t := range out {
		for j := range m.nodes {
			if j != i && (t.To == "" || t.To == name(j)) && m.isConnected(i, j) {
				m.inFlight = append(m.inFlight, envelope{n.self, m.nodes[j].lease.self, t.Duty})
			}
		}
		m.checkClaim(t.Duty)
	}
	m.checkClaim(n.known)
}

// checkClaim compares a claim with all earlier ones: a term has one holder and one successor.
func (m *model) checkClaim(d peerlink.Duty) {
	if d.Term == (peerlink.Term{}) {
		return
	}
	claim := peerlink.Duty{Term: d.Term, Holder: d.Holder, Next: d.Next}
	if old, ok := m.claims[d.Term]; ok && old != claim && m.violation == "" {
		m.violation = fmt.Sprintf("two claims of one term: %v and %v", old, claim)
	}
	m.claims[d.Term] = claim
}

// deliver hands a message to its receiver and checks that no outdated term is accepted.
func (m *model) deliver(l envelope) {
	for i := range m.nodes {
		n := &m.nodes[i]
		from := slices.IndexFunc(m.nodes[:], func(x testReplica) bool { return x.lease.self == l.from })
		if n.lease.self != l.to || from < 0 || !m.isConnected(i, from) {
			continue // the connection is down
		}
		before := n.lease.known.Term
		if m.injected != nil && m.injected.beforeReceive != nil {
			m.injected.beforeReceive(n.lease, &l.duty)
		}
		accepts := l.duty.Holder == l.from && n.lease.AcceptsTerm(l.duty.Term)
		m.send(i, n.lease.Receive(m.view(i), l.from, l.duty))
		if m.violation == "" && (accepts && before.Above(l.duty.Term) && l.duty.Term != peerlink.Term{} || before.Above(n.lease.known.Term)) {
			m.violation = fmt.Sprintf("%s accepts a message of term %v after %v", name(i), l.duty.Term, before)
		}
	}
}

// action is one event that may occur next.
type action struct {
	label string
	apply func(m *model)
}

// actions returns all events that may occur next.
func (m *model) actions() (all []action) {
	add := func(what string, do func(m *model)) { all = append(all, action{what, do}) }
	for k, l := range m.inFlight {
		if slices.Contains(m.inFlight[:k], l) {
			continue
		}
		add(fmt.Sprintf("deliver %v", l), func(m *model) {
			m.inFlight = slices.Delete(m.inFlight, k, k+1)
			m.deliver(l)
		})
		if m.remaining.losses > 0 {
			add(fmt.Sprintf("lose %v", l), func(m *model) { m.remaining.losses--; m.inFlight = slices.Delete(m.inFlight, k, k+1) })
		}
		if m.remaining.duplicates > 0 {
			add(fmt.Sprintf("deliver twice %v", l), func(m *model) { m.remaining.duplicates--; m.deliver(l) })
		}
	}
	for i := range m.nodes {
		n := &m.nodes[i]
		switch {
		case n.isUp && m.remaining.ticks > 0 && !n.isLeaving:
			add("a second passes at "+name(i), func(m *model) {
				m.remaining.ticks--
				m.nodes[i].now += time.Second
				m.send(i, m.nodes[i].lease.Step(m.view(i)))
			})
		case !n.isUp:
			add(name(i)+" returns", func(m *model) { m.start(i) })
		}
		if n.isUp && m.remaining.kills > 0 {
			add(name(i)+" is killed", func(m *model) { m.remaining.kills--; m.nodes[i].isUp = false })
		}
		if n.isUp && !n.isLeaving && m.remaining.leaves > 0 {
			add(name(i)+" leaves", func(m *model) {
				m.remaining.leaves--
				m.nodes[i].isLeaving = true
				m.send(i, m.nodes[i].lease.Leave())
			})
		}
		for j := range i {
			if m.isCut[i][j] {
				add(fmt.Sprintf("%s and %s are joined", name(i), name(j)), func(m *model) { m.reconnect(i, j) })
			} else if m.remaining.cuts > 0 {
				add(fmt.Sprintf("%s and %s are cut", name(i), name(j)), func(m *model) {
					m.remaining.cuts--
					m.isCut[i][j], m.isCut[j][i] = true, true
				})
			}
		}
	}
	return all
}

func (m *model) reconnect(i, j int) {
	m.isCut[i][j], m.isCut[j][i] = false, false
	if m.isConnected(i, j) {
		m.exchangeGreetings(i, j)
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
		flags(n.isUp, n.isLeaving, n.lease.hasLeft, n.lease.hasRequested, m.isCut[i][0], m.isCut[i][1])
		seat(n.lease.self)
		duty(n.lease.known)
		duration(n.now - n.lease.holderHeardAt)
		duration(n.now - n.lease.announcedAt)
		duration(n.now - n.lease.successorSeenAt)
		duration(n.now - n.lease.requestedAt)
		b = binary.AppendUvarint(binary.AppendUvarint(b, n.lease.votedEpoch), n.lease.candidateEpoch)
		b = binary.AppendUvarint(b, n.lease.highestSeenEpoch)
		for k := range m.nodes {
			flags(n.lease.votes[name(k)])
		}
	}
	mail := make([]string, 0, len(m.inFlight))
	for _, l := range m.inFlight {
		from := len(b)
		seat(l.from)
		seat(l.to)
		duty(l.duty)
		mail = append(mail, string(b[from:]))
		b = b[:from]
	}
	slices.Sort(mail)
	return fmt.Sprint(string(b), m.remaining, strings.Join(mail, "|"))
}

// Timing of a run without further faults.
const (
	linkDelay    = 20 * time.Millisecond // delay of each message
	calmStep     = 10 * time.Millisecond // time between two steps
	calmDuration = 6 * time.Second
	maxRunGap    = 1900 * time.Millisecond // maximum time between two runs of the task, measured from the last fault on
	settledPart  = 2 * time.Second         // at the end of the run, when the system must have settled
)

// runUndisturbed lets time pass without faults and returns what is wrong, if anything. Where a majority is connected,
// every running replica must keep learning of runs of the task. If heal is true, all replicas are started and
// connected first; in the end exactly one then runs the task, and all know it as the holder.
func (m *model) runUndisturbed(heal bool) string {
	m = m.copy()
	if heal {
		for i := range m.nodes {
			if !m.nodes[i].isUp || m.nodes[i].isLeaving {
				m.start(i)
			}
			for j := range i {
				if m.isCut[i][j] {
					m.reconnect(i, j)
				}
			}
		}
	}
	type delayed struct {
		at       time.Duration
		envelope envelope
	}
	var pending []delayed
	var last, gap [replicas]time.Duration
	runs := [replicas]int{}
	for t := time.Duration(0); t < calmDuration; t += calmStep {
		for i := range m.nodes {
			n := &m.nodes[i]
			if n.now += calmStep; !n.isUp || n.isLeaving {
				continue
			}
			m.send(i, n.lease.Step(m.view(i)))
			if n.now >= n.lease.NextRun(m.view(i), n.times) && (n.lease.Holds() || m.injected == nil || !m.injected.onlyHolderRuns) {
				n.times.LastOwn, n.times.LastKnown, last[i] = n.now, n.now, t
				if t >= calmDuration-settledPart {
					runs[i]++
				}
				term := peerlink.Term{}
				if n.lease.Holds() {
					term = n.lease.known.Term
					n.lease.NoteAnnounced(n.now)
					m.send(i, []Message{{Duty: n.lease.statement()}})
				}
				for j := range m.nodes {
					if o := &m.nodes[j]; j != i && m.isConnected(i, j) && o.lease.AcceptsTerm(term) {
						o.times.LastKnown, o.times.LastByOther, last[j] = o.now, o.now, t
					}
				}
			}
			gap[i] = max(gap[i], t-last[i])
		}
		for _, l := range m.inFlight {
			pending = append(pending, delayed{t + linkDelay, l})
		}
		m.inFlight = nil
		for len(pending) > 0 && pending[0].at <= t {
			m.deliver(pending[0].envelope)
			pending = pending[1:]
		}
	}
	if m.violation != "" {
		return m.violation
	}
	holders, running := 0, 0
	for i := range m.nodes {
		n := &m.nodes[i]
		if !n.isUp || n.isLeaving {
			continue
		}
		running++
		if gap[i] > maxRunGap {
			return fmt.Sprintf("%s learns of no run of the task for %v", name(i), gap[i])
		}
		if n.lease.Holds() {
			holders++
		} else if runs[i] > 0 && heal {
			return fmt.Sprintf("%s still runs the task without holding the duty", name(i))
		}
		if heal && n.lease.known != m.nodes[0].lease.known {
			return fmt.Sprintf("%s and %s know different holders", name(i), name(0))
		}
	}
	if allConnected := heal || running == replicas && !m.isCut[1][0] && !m.isCut[2][0] && !m.isCut[2][1]; allConnected && holders != 1 {
		return fmt.Sprintf("%d holders", holders)
	}
	return ""
}

// settledModel lets the replicas run until one holds the lease.
func settledModel(m *model) *model {
	for range 60 {
		for i := range m.nodes {
			m.nodes[i].now += 20 * time.Millisecond
			m.send(i, m.nodes[i].lease.Step(m.view(i)))
		}
		all := m.inFlight
		m.inFlight = nil
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
			if states%recoveryEvery == 0 && m.violation == "" {
				if m.violation = m.runUndisturbed(true); m.violation == "" {
					m.violation = m.runUndisturbed(false)
				}
			}
			if m.violation != "" {
				return states, m.violation + "\n" + strings.Join(m.path, "\n")
			}
			if d == maxDepth {
				continue
			}
			for _, a := range m.actions() {
				c := m.copy()
				a.apply(c)
				k := c.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				c.path = append(c.path, a.label)
				next = append(next, c)
			}
		}
		frontier = next
	}
	return states, ""
}

// All short sequences of events, from the first start and from a settled system.
func TestAllEventOrders(t *testing.T) {
	for what, begin := range map[string]*model{"first start": newModel(defaultBudget, nil), "settled": settledModel(newModel(defaultBudget, nil))} {
		states, violation := explore(begin, *exploreDepth, 53)
		assert.Equal(t, violation, "", what)
		t.Logf("%s: %d states, %d steps deep", what, states, *exploreDepth)
	}
}

var walkCount = flag.Int("steward.walks", 60, "long random orders that are played")

// randomWalk plays one long random sequence of events, with more faults than explore, and then lets the system run
// without faults.
func randomWalk(seed uint64, fault *injectedFault) *model {
	m := newModel(eventBudget{}, nil)
	rnd := rand.New(rand.NewPCG(seed, 1))
	if rnd.IntN(2) == 0 {
		m = settledModel(m)
	}
	m.remaining, m.injected = eventBudget{ticks: 30, losses: 5, duplicates: 5, kills: 3, cuts: 3, leaves: 2}, fault
	for range 60 {
		all := m.actions()
		if len(all) == 0 || m.violation != "" {
			break
		}
		a := all[rnd.IntN(len(all))]
		a.apply(m)
		m.path = append(m.path, a.label)
	}
	for _, heal := range []bool{true, false} {
		if m.violation == "" {
			m.violation = m.runUndisturbed(heal)
		}
	}
	return m
}

// Long random sequences of events keep the invariants, and the system recovers afterwards.
func TestRandomWalks(t *testing.T) {
	for seed := range uint64(*walkCount) {
		m := randomWalk(seed, nil)
		assert.Equal(t, m.violation, "", "seed %d\n%s", seed, strings.Join(m.path, "\n"))
	}
	t.Logf("%d orders of 60 steps", *walkCount)
}
