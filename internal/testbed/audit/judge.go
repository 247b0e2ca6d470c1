package audit

import (
	"fmt"
	"time"
)

// Judge finds breaks of the rules in a sequence of events. It does no I/O and
// knows no time but what it is told; equal events give equal breaks. It is not
// safe for use by several goroutines: a Ledger is.
type Judge struct {
	rules    Rules
	now      time.Duration
	requests map[string]*request
	order    []*request // in the order in which they were first heard of
	keys     map[string]effect
	told     map[[2]string]statement // by node and server
	racks    map[string]string
	cold     map[string]*cold
	stores   map[string]*store // of ceilings, by customer
	dying    map[string]bool
	killed   map[string]time.Duration // when an edge node was last ended outright
	pauses   map[string][]pause       // by node, in order
	books    books
	breaks   []Break
}

// request is what is known of a client's try.
type request struct {
	id       string
	asked    *Asked
	at       time.Duration // when it was asked
	ended    time.Duration // when nothing more is owed, where over
	over     bool
	excused  bool // its client left, or its edge node was killed
	statuses []int
	charged  bool
	attempts []*sent
	late     bool
	book     string // the revision that it was read under; empty: none was told
	units    float64
}

type store struct {
	units  float64
	at     time.Duration
	lowest float64 // as a share of burst and slack, see Use
}

// pause is a time in which an edge node's process was stopped.
type pause struct {
	from, to time.Duration
	over     bool
}

// slept is for how long an edge node's process has been stopped since a time.
func (j *Judge) slept(node string, since time.Duration) (d time.Duration) {
	for _, p := range j.pauses[node] {
		to := p.to
		if !p.over {
			to = j.now
		}
		d += max(0, to-max(p.from, since))
	}
	return d
}

// NewJudge begins with nothing seen.
func NewJudge(r Rules) *Judge {
	return &Judge{rules: r, requests: map[string]*request{}, keys: map[string]effect{}, told: map[[2]string]statement{},
		racks: map[string]string{}, cold: map[string]*cold{}, stores: map[string]*store{},
		books: newBooks(), dying: map[string]bool{}, killed: map[string]time.Duration{}, pauses: map[string][]pause{}}
}

// Breaks returns all breaks found so far, in the order in which they were.
func (j *Judge) Breaks() []Break { return j.breaks }

// Use returns how much of its ceiling a customer has used at most: 1 is the
// whole store, and above 1 is what the slack bears.
func (j *Judge) Use(customer string) float64 {
	if s := j.stores[customer]; s != nil {
		return s.lowest
	}
	return 0
}

// HighestUse returns the highest use of any customer's ceiling.
func (j *Judge) HighestUse() (use float64) {
	for _, s := range j.stores {
		use = max(use, s.lowest)
	}
	return use
}

func (j *Judge) fault(b Break) {
	b.At = j.now
	j.breaks = append(j.breaks, b)
}

// Note takes in what was seen at a time, which never goes back.
func (j *Judge) Note(at time.Duration, ev Event) {
	j.Advance(at)
	switch ev := ev.(type) {
	case Asked:
		j.asked(ev)
	case Answered:
		j.answered(ev)
	case Lost:
		j.lost(ev)
	case Left:
		if r := j.requests[ev.Request]; r != nil {
			r.excused = true
			j.end(r)
		}
	case Sent:
		j.sent(ev)
	case NotRun:
		if a := j.attempt(ev.Request, ev.Server); a != nil {
			a.notRun = true
		}
	case Ended:
		if a := j.attempt(ev.Request, ev.Server); a != nil {
			a.over = true
		}
	case Ran:
		j.ran(ev)
	case Told:
		j.hear(ev)
	case Rack:
		j.racks[ev.Server] = ev.Rack
	case Started:
		j.cold[ev.Server] = &cold{Started: ev, at: j.now}
	case Fell:
		j.fell(ev)
	case ReadAs:
		if r := j.requests[ev.Request]; r != nil {
			j.read(r, ev)
		}
	case Revised:
		j.books.costs[ev.Revision] = ev
	case Swapping:
		j.books.force[ev.Node] = append(j.books.force[ev.Node], reign{revision: ev.Revision, from: j.now})
	case Swapped:
		j.books.swapped(ev, j.now)
	case Unasked:
		if r := j.requests[ev.Request]; r != nil && !r.over {
			r.excused = true
			j.end(r)
		}
	case Paused:
		j.pauses[ev.Node] = append(j.pauses[ev.Node], pause{from: j.now})
	case Resumed:
		if l := j.pauses[ev.Node]; len(l) > 0 && !l[len(l)-1].over {
			l[len(l)-1].to, l[len(l)-1].over = j.now, true
		}
	case Dying:
		j.dying[ev.Node] = true
	case Killed:
		delete(j.dying, ev.Node)
		j.killed[ev.Node] = j.now
		for _, r := range j.order {
			if !r.over && r.asked != nil && r.asked.Node == ev.Node {
				r.excused = true
				j.end(r)
			}
		}
		for pair := range j.told {
			if pair[0] == ev.Node {
				delete(j.told, pair)
			}
		}
	}
}

// Advance tells that it is so late: requests that had to have an answer by now
// are found, and old ones forgotten.
func (j *Judge) Advance(at time.Duration) {
	j.now = max(j.now, at)
	keep := 0
	for keep < len(j.order) {
		r := j.order[keep]
		if !r.over || j.now-r.ended < j.rules.Memory {
			break
		}
		delete(j.requests, r.id)
		keep++
	}
	j.order = j.order[keep:]
}

// Finish tells that all is over: what has no answer now never gets one.
func (j *Judge) Finish(at time.Duration) []Break {
	j.Advance(at)
	for _, r := range j.order {
		if r.asked != nil && !r.over && !r.excused {
			j.fault(Break{Rule: OneAnswer, Request: r.id, Node: r.asked.Node, Why: fmt.Sprintf(
				"no answer, %.3f s after it was asked", (j.now - r.at).Seconds())})
			j.end(r)
		}
	}
	return j.breaks
}

func (j *Judge) request(id string) *request {
	r := j.requests[id]
	if r == nil {
		r = &request{id: id}
		j.requests[id] = r
		j.order = append(j.order, r)
	}
	return r
}

func (j *Judge) end(r *request) { r.over, r.ended = true, j.now }

func (j *Judge) asked(ev Asked) {
	r := j.request(ev.Request)
	if r.asked != nil && !r.over {
		j.fault(Break{Rule: OneAnswer, Request: r.id, Node: ev.Node, Why: "asked again while it is open: the clients are at fault"})
	}
	r.asked, r.at, r.over, r.excused = &ev, j.now, false, false
	j.charge(r)
}

func (j *Judge) answered(ev Answered) {
	r := j.request(ev.Request)
	if r.asked == nil {
		j.fault(Break{Rule: OneAnswer, Request: ev.Request, Why: "answered, but never asked"})
		return
	}
	b := Break{Rule: OneAnswer, Request: r.id, Node: r.asked.Node}
	limit := r.asked.Deadline + j.rules.AnswerSlack + j.rules.Slack + j.slept(r.asked.Node, r.at)
	switch took := j.now - r.at; {
	case len(r.statuses) > 0:
		b.Why = fmt.Sprintf("answered %d, and %d before", ev.Status, r.statuses[len(r.statuses)-1])
		j.fault(b)
	case !r.excused && took > limit:
		b.Why = fmt.Sprintf("answered after %.3f s, due after %.3f s", took.Seconds(), limit.Seconds())
		j.fault(b)
	}
	if ev.Status == 200 && !ev.Genuine {
		b.Why = "served with what no loan server made for it"
		j.fault(b)
	}
	r.statuses = append(r.statuses, ev.Status)
	if ev.Status == 429 || ev.Status == 503 {
		j.refused(r, ev.Status)
	}
	j.end(r)
}

// lost judges a connection that ended with no whole answer. One that ends
// between requests may cross the next one, which its client then sends anew;
// that is no loss if the edge node had not begun on it.
func (j *Judge) lost(ev Lost) {
	r := j.request(ev.Request)
	if r.asked == nil || r.over {
		return
	}
	if at, ok := j.killed[r.asked.Node]; j.dying[r.asked.Node] || ok && j.now-ev.Age <= at {
		r.excused = true // it was lost with the process that held the connection
	}
	r.excused = r.excused || j.slept(r.asked.Node, r.at) > 0 // its client may have given up meanwhile
	worked := false
	for _, a := range r.attempts {
		worked = worked || a.Node == r.asked.Node && a.at >= r.at
	}
	switch {
	case r.excused, ev.Begun:
		// An answer that has begun and is cut off has failed; it is not lost.
	case !ev.Reused || worked:
		j.fault(Break{Rule: OneAnswer, Request: r.id, Node: r.asked.Node, Why: "its connection ended with no answer"})
	}
	j.end(r)
}

// refused judges an answer that says that a further try is harmless.
func (j *Judge) refused(r *request, status int) {
	c := j.rules.Classes[r.asked.Class]
	if e := j.effect(r, c); e == Safe || e == Keyed && !c.Racked {
		return
	}
	for _, a := range r.attempts {
		if !a.notRun {
			j.fault(Break{Rule: NoDoubleEffect, Request: r.id, Server: a.Server, Node: a.Node,
				Why: fmt.Sprintf("answered %d after an attempt that may have run", status)})
			return
		}
	}
}
