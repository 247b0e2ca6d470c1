package node

import (
	"container/heap"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

const (
	eventQueue = 4096
	// answerMargin is how long before a client's deadline its answer is decided:
	// the request and the answer each have a way to go.
	answerMargin = 10 * time.Millisecond
	backstop     = 3 * time.Millisecond  // and then what the module left open is failed
	lookEvery    = 50 * time.Millisecond // for clients that have gone away

	statusBadRequest, statusConflict = 400, 409
)

type listed struct {
	list *serverList
	kind policy.ServerListKind
}

// loop owns the Gateway and the state of all open requests. Others hand it
// events; it never waits for a socket.
type loop struct {
	clock   clock
	gateway *policy.Gateway
	up      *upstream
	tell    func(to int, data []byte)
	mustAsk bool
	onList  func(kind policy.ServerListKind)
	give    func(policy.OfferUnits)
	note    func(outcome) // of how attempts end; nil: nobody does

	lookEvery time.Duration
	left      atomic.Uint64 // requests whose client left before its answer

	events chan any
	over   chan struct{} // closed when the loop has ended: nothing is answered any more
	nextID policy.RequestID
	calls  map[policy.RequestID]*call
	names  map[string]*call // the same by the clients' ids
	timers timerHeap
	timer  world.Timer
	wake   time.Duration // when the timer is set for; 0: it is not
	queue  []policy.Event
	acts   []policy.Action
}

func newLoop(c clock, g *policy.Gateway, up *upstream) *loop {
	return &loop{clock: c, gateway: g, up: up, events: make(chan any, eventQueue), over: make(chan struct{}),
		calls: map[policy.RequestID]*call{}, names: map[string]*call{}, timer: c.NewTimer(time.Hour), lookEvery: lookEvery}
}

// run handles events until done is closed.
func (l *loop) run(done <-chan struct{}) {
	defer close(l.over)
	defer l.timer.Stop()
	l.look()
	for {
		l.arm()
		select {
		case <-done:
			return
		case ev := <-l.events:
			l.handle(ev)
		case <-l.timer.C():
			l.wake = 0
		}
		l.fire()
	}
}

func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case *call:
		l.arrive(ev)
	case outcome:
		l.end(ev)
	case started:
		l.decide(policy.Started{ID: ev.a.id, Attempt: ev.a.num, Server: ev.a.server})
	case policy.PeerMessage:
		l.decide(ev)
	case listed:
		l.members(ev)
	case func():
		ev() // a look at what the loop owns
	}
}

func (l *loop) arrive(c *call) {
	if l.names[c.name] != nil {
		c.cmd <- command{bad: statusConflict} // the one that is open goes on
		return
	}
	l.nextID++
	c.ID = l.nextID
	c.due = c.arrived + max(0, c.budget-answerMargin)
	if c.estate != nil {
		c.due = c.arrived + c.budget
	}
	c.Remaining = max(0, c.due-l.clock.now())
	l.calls[c.ID], l.names[c.name] = c, c
	c.backstop = &timer{at: c.due + backstop, call: c}
	heap.Push(&l.timers, c.backstop)
	l.decide(c.Request)
}

// end takes in an attempt's end. A whole answer is on its way to the client
// already.
func (l *loop) end(o outcome) {
	c, ev := o.c, policy.Outcome{ID: o.a.id, Attempt: o.a.num, Server: o.a.server, Code: o.Code(),
		Latency: l.clock.now() - o.a.sent, Load: o.load}
	c.out = nil
	if l.note != nil {
		l.note(o)
	}
	if o.latency > 0 {
		ev.Latency = o.latency
	}
	if c.ranAt == 0 && !o.Run().Never() {
		c.ranAt = o.a.sent
	}
	switch {
	case o.End == verdict.Served || o.begun || o.fault != nil:
		l.forget(c)
	case o.End == verdict.Unfit && c.final == nil:
		l.answer(c, command{bad: statusBadRequest})
	case c.final != nil:
		l.answer(c, *c.final)
	case o.spent: // there is nothing to send again
		l.answer(c, command{retryAfter: refusedWait})
	}
	ev.Final = l.calls[c.ID] == nil
	l.decide(ev)
}

// overdue fails what the module has left open until the client's deadline.
func (l *loop) overdue(c *call) {
	if l.calls[c.ID] == nil {
		return
	}
	l.finish(c, command{late: true})
	l.decide(policy.ClientGone{ID: c.ID})
}

// finishAll answers all that is open as at its deadline.
func (l *loop) finishAll() {
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		if c := l.calls[id]; c != nil {
			l.overdue(c)
		}
	}
}

// look finds the clients that have closed their connections. Nothing more is
// sent for them.
func (l *loop) look() {
	for id, c := range l.calls {
		if c.conn == nil || world.Peek(c.conn) != world.PeekEnd {
			continue
		}
		if c.out == nil {
			l.answer(c, command{})
		} else {
			l.forget(c)
			c.final = &command{}
			c.abandon()
		}
		l.left.Add(1)
		l.decide(policy.ClientGone{ID: id})
	}
	heap.Push(&l.timers, &timer{at: l.clock.now() + l.lookEvery, look: true})
}

// finish gives a request its final answer, after calling back an attempt that
// is still out.
func (l *loop) finish(c *call, cmd command) {
	if c.out == nil {
		l.answer(c, cmd)
		return
	}
	if c.final == nil {
		// What is out may run: that rules a refusal out.
		c.final = &command{late: cmd.late}
		c.out.cancel()
	}
}

func (l *loop) answer(c *call, cmd command) {
	l.forget(c)
	if c.estate != nil {
		cmd.late = cmd.late || l.clock.now() >= c.due
	}
	c.cmd <- cmd
}

// forget drops what is kept of a request once its answer is decided.
func (l *loop) forget(c *call) {
	delete(l.calls, c.ID)
	if l.names[c.name] == c {
		delete(l.names, c.name)
	}
	if c.backstop != nil && c.backstop.place >= 0 {
		heap.Remove(&l.timers, c.backstop.place)
	}
}

func (l *loop) members(m listed) {
	if m.list == nil {
		if l.mustAsk {
			l.decide(policy.ServerList{Kind: policy.WatchFailed})
		}
		return
	}
	l.up.update(m.list, m.kind != policy.ChangedServers)
	ev := policy.ServerList{Kind: m.kind}
	for i := range m.list.Targets {
		ev.Servers = append(ev.Servers, m.list.Targets[i].server())
	}
	l.decide(ev)
	if l.onList != nil {
		l.onList(m.kind)
	}
}
