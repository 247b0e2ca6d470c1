package quorum

import (
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/state"
)

var (
	walkCount = flag.Int("quorum.walks", 200, "how many random walks are made through each model")
	maxStates = flag.Int("quorum.states", 500, "how many states of each model are visited in order, at most")
)

// stepsPerWalk is the maximum length of a random walk.
const stepsPerWalk = 60

// walksPerInjectedFault is enough to find every injected fault.
const walksPerInjectedFault = 40_000

// rules are the steps of the protocol. A test may replace any of them to inject a fault.
type rules struct {
	prepare          func(r *Record, p Prepare) Promise
	accept           func(r *Record, a Accept) Acceptance
	learn            func(r *Record, s state.State)
	inheritedValue   func(p *Proposal) *state.State
	isDecided        func(p *Proposal) bool
	isLatest         func(base state.State, reports map[string]Report) bool
	idAfterWipe      func(id string) string            // identity of a replica after the loss of its disk
	recordAfterCrash func(previous, now Record) Record // what is on disk after a crash; previous is the record before the last message
}

func correctRules() rules {
	return rules{
		prepare:          (*Record).HandlePrepare,
		accept:           (*Record).HandleAccept,
		learn:            func(r *Record, s state.State) { r.Learn(s) },
		inheritedValue:   (*Proposal).InheritedValue,
		isDecided:        (*Proposal).IsDecided,
		isLatest:         IsLatest,
		idAfterWipe:      func(id string) string { return id + "'" },
		recordAfterCrash: func(_, now Record) Record { return now },
	}
}

// plannedProposal is a proposal that a replica of a model may make once, at any moment.
type plannedProposal struct {
	replica int    // index of the replica that proposes
	round   uint64 // FirstRound: without promises, only by the proposer of the state decided at that replica
	change  func(s state.State) state.State
}

// model is a small system, and the events that may happen in it in any order.
type model struct {
	voters, replicas int
	plans            []plannedProposal
	crashes, wipes   int
	noReplyLost      bool // no reply is lost
	noLearning       bool // replicas learn decided states only by proposing
	onlyCrashing     int  // index of the only replica that crashes; 0: any replica may
}

// runningProposal is a proposal in progress.
type runningProposal struct {
	proposal  *Proposal
	isRunning bool
	hasChosen bool
	prepared  map[int]bool // replicas that were sent the message of the first phase
	accepted  map[int]bool // replicas that were sent the message of the second phase
	message   Accept
}

// systemState is one state of a model.
type systemState struct {
	records         []Record
	previousRecords []Record // each record before the last message that its replica handled
	running         []*runningProposal
	crashes         int
	wipes           int
	decided         map[uint64]state.State // by version
	violation       string                 // the first violated invariant; empty: none
}

func (w *systemState) clone() *systemState {
	x := &systemState{records: slices.Clone(w.records), previousRecords: slices.Clone(w.previousRecords), crashes: w.crashes, wipes: w.wipes, decided: maps.Clone(w.decided)}
	for _, r := range w.running {
		if r == nil {
			x.running = append(x.running, nil)
			continue
		}
		c := *r
		c.prepared, c.accepted = maps.Clone(r.prepared), maps.Clone(r.accepted)
		p := *r.proposal
		p.promises, p.accepted, p.refused, p.behind = maps.Clone(p.promises), maps.Clone(p.accepted), maps.Clone(p.refused), maps.Clone(p.behind)
		c.proposal = &p
		x.running = append(x.running, &c)
	}
	return x
}

// key returns a hash that identifies the state.
func (w *systemState) key() uint64 {
	b := fnv.New64a()
	for i := range w.records {
		r := &w.records[i]
		fmt.Fprintf(b, "%s %d %v %v %s;", r.ID, r.Decided.Version, r.Promised, r.Accepted, summarize(r.Value))
	}
	for _, r := range w.running {
		if r == nil {
			fmt.Fprint(b, "-;")
			continue
		}
		fmt.Fprintf(b, "%v %v %v %v %s %v %v;", r.isRunning, r.hasChosen, r.prepared, r.accepted, summarize(r.proposal.value), slices.Sorted(maps.Keys(r.proposal.promises)), r.proposal.accepted)
		for _, id := range slices.Sorted(maps.Keys(r.proposal.promises)) {
			fmt.Fprintf(b, "%v %s,", r.proposal.promises[id].Accepted, summarize(r.proposal.promises[id].Value))
		}
	}
	fmt.Fprintf(b, "%d %d %d", w.crashes, w.wipes, len(w.decided))
	return b.Sum64()
}

func summarize(s *state.State) string {
	if s == nil {
		return "none"
	}
	return fmt.Sprint(s.Version, s.Config.Gen, s.Voters)
}

func voterID(i int) string { return string(rune('a' + i)) }

// start returns the initial state.
func (m *model) start() *systemState {
	var voters []state.Voter
	for i := range m.voters {
		voters = append(voters, state.Voter{ID: voterID(i)})
	}
	genesis := state.Genesis(voters)
	genesis.Proposer = "p0"
	w := &systemState{decided: map[uint64]state.State{1: genesis}, running: make([]*runningProposal, len(m.plans))}
	for i := range m.replicas {
		w.records = append(w.records, Record{ID: voterID(i), Decided: genesis})
	}
	w.previousRecords = slices.Clone(w.records)
	return w
}

// explore visits at most limit states, in depth-first order. It returns how many it visited, whether these are all
// reachable states, and the first violated invariant.
func explore(m model, r rules, limit int) (states int, all bool, violation string) {
	first := m.start()
	seen := map[uint64]bool{first.key(): true}
	stack := []*systemState{first}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, step := range m.steps(w, &r) {
			next := w.clone()
			step(next)
			if violation := next.check(&r); violation != "" {
				return len(seen), false, violation
			}
			if k := next.key(); !seen[k] && len(seen) < limit {
				seen[k] = true
				stack = append(stack, next)
			}
		}
	}
	return len(seen), len(seen) < limit, ""
}

// walk makes random walks, with one seed each. It returns how many states it visited and the first violated invariant.
func walk(m model, r rules, walks int) (states int, violation string) {
	seen := map[uint64]bool{}
	for seed := range uint64(walks) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := m.start()
		for range stepsPerWalk {
			steps := m.steps(w, &r)
			if len(steps) == 0 {
				break
			}
			steps[rnd.IntN(len(steps))](w)
			seen[w.key()] = true
			if violation := w.check(&r); violation != "" {
				return len(seen), fmt.Sprintf("walk %d: %s", seed, violation)
			}
		}
	}
	return len(seen), ""
}

// check returns the violated invariant, if any. For each set of replicas whose reports a reader may have, IsLatest
// must not call a state the latest if a newer one, other than a change of voters, is decided. Decisions are checked in
// recordDecision.
func (w *systemState) check(r *rules) string {
	if w.violation != "" || len(w.decided) == 1 {
		return w.violation
	}
	n := len(w.records)
	for subset := 1; subset < 1<<n; subset++ {
		reports := map[string]Report{}
		for i := range n {
			if subset&(1<<i) != 0 {
				reports[w.records[i].ID] = w.records[i].Report()
			}
		}
		for i := range n {
			base := w.records[i].Decided
			if base.Version == 0 || !r.isLatest(base, reports) {
				continue
			}
			for v, s := range w.decided {
				if v > base.Version && !differOnlyInVoters(base, s) {
					return fmt.Sprintf("version %d is called the latest, though %d is decided", base.Version, v)
				}
			}
		}
	}
	return ""
}

// steps returns all steps that are possible next.
func (m *model) steps(w *systemState, r *rules) (all []func(x *systemState)) {
	add := func(step func(x *systemState)) { all = append(all, step) }
	for k := range m.plans {
		m.proposalSteps(w, r, k, add)
	}
	for i := range w.records {
		for j := range w.records {
			if m.noLearning {
				break
			}
			if s := w.records[j].Decided; s.Version > w.records[i].Decided.Version {
				add(func(x *systemState) { x.previousRecords[i] = x.records[i]; r.learn(&x.records[i], s) })
			}
		}
		if w.crashes < m.crashes && (m.onlyCrashing == 0 || m.onlyCrashing == i) {
			add(func(x *systemState) {
				x.crashes++
				x.records[i] = r.recordAfterCrash(x.previousRecords[i], x.records[i])
				m.kill(x, i)
			})
		}
		if w.wipes < m.wipes {
			add(func(x *systemState) {
				x.wipes++
				x.records[i] = Record{ID: r.idAfterWipe(x.records[i].ID)}
				x.previousRecords[i] = x.records[i]
				m.kill(x, i)
			})
		}
	}
	return all
}

// kill ends the proposals of the process of a replica.
func (m *model) kill(x *systemState, i int) {
	for k, run := range x.running {
		if run != nil && m.plans[k].replica == i {
			run.isRunning = false
		}
	}
}

// proposalSteps adds the steps of one proposal. A request and its reply are one step; the reply may be lost.
func (m *model) proposalSteps(w *systemState, r *rules, k int, add func(func(x *systemState))) {
	plan, run := &m.plans[k], w.running[k]
	base := w.records[plan.replica].Decided
	if run == nil {
		if base.Version > 0 && (plan.round != FirstRound || base.Proposer == proposerID(plan.replica)) {
			add(func(x *systemState) { x.running[k] = m.begin(plan, base, r) })
		}
		return
	}
	if !run.isRunning {
		return
	}
	for i := range w.records {
		if plan.round != FirstRound && !run.prepared[i] && !run.hasChosen {
			for _, lost := range m.replyLossOptions() {
				add(func(x *systemState) {
					run := x.running[k]
					run.prepared[i] = true
					x.previousRecords[i] = x.records[i]
					if reply := r.prepare(&x.records[i], run.proposal.PrepareMessage()); !lost {
						run.proposal.HandlePromise(reply)
					}
				})
			}
		}
		if run.hasChosen && !run.accepted[i] {
			for _, lost := range m.replyLossOptions() {
				add(func(x *systemState) {
					run := x.running[k]
					run.accepted[i] = true
					x.previousRecords[i] = x.records[i]
					if reply := r.accept(&x.records[i], run.message); !lost {
						run.proposal.HandleAcceptance(reply)
						x.recordDecision(run, plan.replica, r)
					}
				})
			}
		}
	}
	if plan.round != FirstRound && !run.hasChosen && run.proposal.IsPrepared() {
		add(func(x *systemState) { x.running[k].choose(plan, r) })
	}
}

func proposerID(by int) string { return fmt.Sprint("p", by) }

func (m *model) begin(plan *plannedProposal, base state.State, r *rules) *runningProposal {
	run := &runningProposal{isRunning: true, prepared: map[int]bool{}, accepted: map[int]bool{}}
	run.proposal = NewProposal(base, Ballot{Round: plan.round, Proposer: proposerID(plan.replica)})
	if plan.round == FirstRound {
		run.proposal = NewFirstRoundProposal(base)
		run.choose(plan, r)
	}
	return run
}

func (run *runningProposal) choose(plan *plannedProposal, r *rules) {
	next := plan.change(run.proposal.base.Clone())
	next.Proposer = proposerID(plan.replica)
	if inherited := r.inheritedValue(run.proposal); inherited != nil {
		next = *inherited
	}
	next.Version = run.proposal.base.Version + 1
	run.proposal.value = &next
	run.message = Accept{Version: next.Version, Ballot: run.proposal.ballot, Value: next}
	run.hasChosen = true
}

// recordDecision records a decision, if there is one, and checks it against the earlier ones.
func (x *systemState) recordDecision(run *runningProposal, by int, r *rules) {
	if !r.isDecided(run.proposal) {
		return
	}
	s := *run.proposal.value
	run.isRunning = false
	if previous, ok := x.decided[s.Version]; ok && !(previous.SameContent(s) && previous.Proposer == s.Proposer) {
		x.violation = fmt.Sprintf("two values of version %d: %s and %s", s.Version, summarize(&previous), summarize(&s))
	}
	if base := x.decided[s.Version-1]; !base.SameContent(run.proposal.base) {
		x.violation = fmt.Sprintf("version %d follows %s, not what was decided", s.Version, summarize(&run.proposal.base))
	}
	x.decided[s.Version] = s
	x.previousRecords[by] = x.records[by]
	r.learn(&x.records[by], s)
}

// replyLossOptions returns the possible values of whether a reply is lost.
func (m *model) replyLossOptions() []bool {
	if m.noReplyLost {
		return []bool{false}
	}
	return []bool{false, true}
}

// setConfig returns a change that sets the configuration.
func setConfig(gen uint64) func(s state.State) state.State {
	return func(s state.State) state.State {
		s.Config = state.ConfigID{Gen: gen}
		return s
	}
}

// replaceVoter returns a change that replaces the voter old by another one. An empty name adds or removes a voter
// only.
func replaceVoter(old, by string) func(s state.State) state.State {
	return func(s state.State) state.State {
		var after []state.Voter
		for _, v := range s.Voters {
			if v.ID != old && v.ID != by {
				after = append(after, v)
			}
		}
		if by != "" {
			after = append(after, state.Voter{ID: by})
		}
		return s.WithVoters(after)
	}
}

var models = map[string]model{
	"two proposers":          {voters: 3, replicas: 3, crashes: 1, plans: []plannedProposal{{0, 2, setConfig(1)}, {1, 3, setConfig(2)}}},
	"three proposers":        {voters: 3, replicas: 3, plans: []plannedProposal{{0, 2, setConfig(1)}, {1, 3, setConfig(2)}, {2, 4, setConfig(3)}}},
	"a disk is lost":         {voters: 3, replicas: 3, wipes: 1, plans: []plannedProposal{{0, 2, setConfig(1)}, {1, 3, setConfig(2)}, {2, 4, replaceVoter("a", "a'")}}},
	"a voter is replaced":    {voters: 3, replicas: 4, crashes: 1, plans: []plannedProposal{{0, 2, replaceVoter("c", "d")}, {1, 3, setConfig(2)}, {2, 4, setConfig(3)}}},
	"a voter joins":          {voters: 3, replicas: 4, plans: []plannedProposal{{0, 2, replaceVoter("", "d")}, {1, 3, setConfig(2)}, {3, 4, setConfig(3)}}},
	"a voter leaves":         {voters: 4, replicas: 4, plans: []plannedProposal{{0, 2, replaceVoter("d", "")}, {3, 3, setConfig(2)}, {1, 4, setConfig(3)}}},
	"one phase":              {voters: 3, replicas: 3, plans: []plannedProposal{{0, FirstRound, setConfig(1)}, {1, 2, setConfig(2)}, {0, 3, setConfig(3)}}},
	"one phase, then two":    {voters: 3, replicas: 3, crashes: 1, plans: []plannedProposal{{0, FirstRound, setConfig(1)}, {0, 2, setConfig(4)}, {1, 3, setConfig(2)}}},
	"one forgets":            {voters: 3, replicas: 3, crashes: 1, onlyCrashing: 2, noReplyLost: true, noLearning: true, plans: []plannedProposal{{0, 2, setConfig(1)}, {1, 3, setConfig(2)}}},
	"three, none lost":       {voters: 3, replicas: 3, noReplyLost: true, noLearning: true, plans: []plannedProposal{{0, 2, setConfig(1)}, {1, 3, setConfig(2)}, {2, 4, setConfig(3)}}},
	"two, none lost":         {voters: 3, replicas: 3, noReplyLost: true, noLearning: true, plans: []plannedProposal{{0, 2, setConfig(1)}, {1, 3, setConfig(2)}}},
	"replaced, then changed": {voters: 3, replicas: 4, noReplyLost: true, plans: []plannedProposal{{0, 2, replaceVoter("c", "d")}, {0, 3, setConfig(2)}, {3, 4, setConfig(3)}}},
	"five voters":            {voters: 5, replicas: 5, plans: []plannedProposal{{0, 2, setConfig(1)}, {4, 3, setConfig(2)}}},
}

// In every order of steps, with lost replies, crashes, lost disks and changes of voters: no version is decided with
// two values, every decision is based on the decision before it, and IsLatest does not report a state as the latest if
// a newer one is decided.
func TestNoConflictingDecisions(t *testing.T) {
	for name, m := range models {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, all, violation := explore(m, correctRules(), *maxStates)
			assert.Equal(t, violation, "")
			walked, violation := walk(m, correctRules(), *walkCount)
			assert.Equal(t, violation, "")
			t.Logf("%d states in order (all: %v), %d on %d walks", states, all, walked, *walkCount)
		})
	}
}

// Each part of the protocol is necessary: without it, some order of steps violates an invariant.
func TestInjectedFaultsAreFound(t *testing.T) {
	for name, fault := range map[string]struct {
		model  string
		inject func(r *rules)
	}{
		"a promise is not on disk": {"one forgets", func(r *rules) {
			r.recordAfterCrash = func(previous, now Record) Record {
				if now.Promised.Above(previous.Promised) && now.Accepted == previous.Accepted {
					return previous
				}
				return now
			}
		}},
		"an accepted value is not on disk": {"two proposers", func(r *rules) {
			r.recordAfterCrash = func(previous, now Record) Record {
				if now.Accepted.Above(previous.Accepted) {
					return previous
				}
				return now
			}
		}},
		"a lower ballot is accepted after a promise": {"two, none lost", func(r *rules) {
			r.accept = func(x *Record, a Accept) Acceptance {
				promised := x.Promised
				if a.Version == x.Decided.Version+1 && promised.Above(a.Ballot) {
					x.Promised = Ballot{}
				}
				m := x.HandleAccept(a)
				if promised.Above(x.Promised) {
					x.Promised = promised
				}
				return m
			}
		}},
		"a promise does not tell what was accepted": {"two, none lost", func(r *rules) {
			r.prepare = func(x *Record, p Prepare) Promise {
				m := x.HandlePrepare(p)
				m.Accepted, m.Value = Ballot{}, nil
				return m
			}
		}},
		"an inherited value is not taken over": {"two, none lost", func(r *rules) {
			r.inheritedValue = func(*Proposal) *state.State { return nil }
		}},
		"the value of the lowest ballot is taken over": {"three, none lost", func(r *rules) {
			r.inheritedValue = func(p *Proposal) *state.State {
				var lowest Ballot
				var value *state.State
				for _, m := range p.promises {
					if m.Value != nil && (value == nil || lowest.Above(m.Accepted)) {
						lowest, value = m.Accepted, m.Value
					}
				}
				return value
			}
		}},
		"a minority decides": {"two proposers", func(r *rules) {
			r.isDecided = func(p *Proposal) bool { return p.value != nil && len(p.accepted) > 0 }
		}},
		"a learner is counted": {"a voter joins", func(r *rules) {
			r.isDecided = func(p *Proposal) bool { return p.value != nil && len(p.accepted) >= Majority(len(p.base.Voters)) }
		}},
		"the new voters alone decide": {"a voter is replaced", func(r *rules) {
			r.isDecided = func(p *Proposal) bool {
				return p.value != nil && IsMajority(p.value.Voters, func(id string) bool { return p.accepted[id] })
			}
		}},
		"a replica that is behind promises": {"replaced, then changed", func(r *rules) {
			r.prepare = func(x *Record, p Prepare) Promise {
				if p.Version > x.Decided.Version+1 {
					return Promise{ID: x.ID, Granted: true, Version: x.Decided.Version}
				}
				return x.HandlePrepare(p)
			}
			r.accept = func(x *Record, a Accept) Acceptance {
				if a.Version > x.Decided.Version+1 {
					return Acceptance{ID: x.ID, Granted: true, Version: x.Decided.Version}
				}
				return x.HandleAccept(a)
			}
			r.isLatest = func(base state.State, reports map[string]Report) bool { return IsLatest(base, reports) }
		}},
		"a disk that was lost keeps its identity": {"a disk is lost", func(r *rules) {
			r.idAfterWipe = func(id string) string { return id }
		}},
		"a decided version is proposed again": {"two proposers", func(r *rules) {
			r.prepare = func(x *Record, p Prepare) Promise {
				if p.Version == x.Decided.Version {
					return Promise{ID: x.ID, Granted: true, Version: x.Decided.Version}
				}
				return x.HandlePrepare(p)
			}
			r.accept = func(x *Record, a Accept) Acceptance {
				if a.Version == x.Decided.Version {
					return Acceptance{ID: x.ID, Granted: true, Version: x.Decided.Version}
				}
				return x.HandleAccept(a)
			}
		}},
		"what was accepted is not asked for by readers": {"two proposers", func(r *rules) {
			r.isLatest = func(base state.State, reports map[string]Report) bool {
				return IsMajority(base.Voters, func(id string) bool { m, ok := reports[id]; return ok && m.Version <= base.Version })
			}
		}},
		"readers ask a minority": {"two proposers", func(r *rules) {
			r.isLatest = func(base state.State, reports map[string]Report) bool {
				m, ok := reports[base.Voters[0].ID]
				return ok && m.Version <= base.Version && m.Value == nil
			}
		}},
		"what is decided is forgotten for what is older": {"two proposers", func(r *rules) {
			r.prepare = func(x *Record, p Prepare) Promise {
				m := x.HandlePrepare(p)
				if m.Granted {
					x.Accepted, x.Value = Ballot{}, nil
				}
				return m
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := correctRules()
			fault.inject(&r)
			states, violation := walk(models[fault.model], r, walksPerInjectedFault)
			assert.Assert(t, violation != "", "not found in %d states", states)
			t.Logf("%s, after %d states", violation, states)
		})
	}
}

// The explorer must find a violation if one proposer uses the first round for two values.
func TestFirstRoundTwice(t *testing.T) {
	m := model{voters: 3, replicas: 3, plans: []plannedProposal{{0, FirstRound, setConfig(1)}, {0, FirstRound, setConfig(2)}}}
	_, violation := walk(m, correctRules(), walksPerInjectedFault)
	assert.Assert(t, violation != "")
}

// While a change of voters is being accepted, a majority of the old voters that know of nothing newer is not enough
// for IsLatest, since the new voters may have decided a further version.
func TestIsLatestNeedsMajorityOfNewVoters(t *testing.T) {
	base := state.Genesis([]state.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	next := replaceVoter("c", "d")(base)
	next.Version++
	reports := map[string]Report{
		"b": {ID: "b", Version: 1, Accepted: Ballot{Round: 2}, Value: &next},
		"c": {ID: "c", Version: 1},
	}
	assert.Assert(t, !IsLatest(base, reports)) // a and d may know a newer version
	reports["d"] = Report{ID: "d", Version: 1}
	assert.Assert(t, IsLatest(base, reports))
	reports["d"] = Report{ID: "d", Version: 2}
	assert.Assert(t, !IsLatest(base, reports))
	changed := setConfig(7)(next)
	reports["b"] = Report{ID: "b", Version: 1, Accepted: Ballot{Round: 2}, Value: &changed}
	reports["d"] = Report{ID: "d", Version: 1}
	assert.Assert(t, !IsLatest(base, reports)) // b may belong to a majority that has decided another configuration
}
