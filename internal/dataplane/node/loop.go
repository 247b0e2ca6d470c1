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
	eventQueueLength   = 4096
	backstopDelay      = 3 * time.Millisecond  // after that, requests that the policy package left open are failed
	disconnectInterval = 50 * time.Millisecond // between two checks for disconnected clients

	statusBadRequest, statusConflict = 400, 409
)

// listUpdate is an update of the server list. A nil list means that discovery failed.
type listUpdate struct {
	list *serverList
	kind policy.ServerListKind
}

// loop owns the Gateway and the state of all open requests. Other goroutines send it events. It never waits for a socket.
type loop struct {
	clock               clock
	gateway             *policy.Gateway
	upstream            *upstream
	sendPeer            func(to int, data []byte)
	reportWatchFailures bool
	onList              func(kind policy.ServerListKind)
	onUnitsOffered      func(policy.OfferUnits)
	onOutcome           func(outcome) // called at the end of each attempt; may be nil

	disconnectInterval  time.Duration
	disconnectedClients atomic.Uint64 // number of requests whose client disconnected before its answer

	events             chan any
	stopped            chan struct{} // closed when the loop has ended; no request is answered any more
	nextID             policy.RequestID
	requests           map[policy.RequestID]*openRequest
	requestsByClientID map[string]*openRequest // the same requests by the ids that clients gave them
	timers             timerHeap
	timer              world.Timer
	timerAt            time.Duration // time that the timer is set for; 0: it is not set
	queue              []policy.Event
	actions            []policy.Action
}

func newLoop(c clock, g *policy.Gateway, up *upstream) *loop {
	return &loop{clock: c, gateway: g, upstream: up, events: make(chan any, eventQueueLength), stopped: make(chan struct{}),
		requests: map[policy.RequestID]*openRequest{}, requestsByClientID: map[string]*openRequest{}, timer: c.NewTimer(time.Hour), disconnectInterval: disconnectInterval}
}

// run handles events until done is closed.
func (l *loop) run(done <-chan struct{}) {
	defer close(l.stopped)
	defer l.timer.Stop()
	l.checkDisconnects()
	for {
		l.armTimer()
		select {
		case <-done:
			return
		case ev := <-l.events:
			l.handle(ev)
		case <-l.timer.C():
			l.timerAt = 0
		}
		l.fireTimers()
	}
}

func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case *openRequest:
		l.addRequest(ev)
	case outcome:
		l.endAttempt(ev)
	case started:
		l.decide(policy.Started{ID: ev.attempt.id, Attempt: ev.attempt.number, Server: ev.attempt.server})
	case policy.PeerMessage:
		l.decide(ev)
	case listUpdate:
		l.updateServers(ev)
	case func():
		ev() // a function that needs the state of the loop
	}
}

// addRequest adds a new request, or rejects it if an open request has the same client id.
func (l *loop) addRequest(c *openRequest) {
	if l.requestsByClientID[c.clientID] != nil {
		c.commands <- command{clientErrorStatus: statusConflict} // the open request with this id continues
		return
	}
	l.nextID++
	c.ID = l.nextID
	c.setTimeLimits()
	c.Remaining = max(0, c.answerBy-l.clock.now())
	l.requests[c.ID], l.requestsByClientID[c.clientID] = c, c
	c.deadlineTimer = &timer{at: c.answerBy + backstopDelay, request: c}
	heap.Push(&l.timers, c.deadlineTimer)
	l.decide(c.Request)
}

// endAttempt processes the end of an attempt. A complete answer of a server is on its way to the client already.
func (l *loop) endAttempt(o outcome) {
	c, ev := o.request, policy.Outcome{ID: o.attempt.id, Attempt: o.attempt.number, Server: o.attempt.server, Code: o.Code(),
		Latency: l.clock.now() - o.attempt.requestedAt, Load: o.loadReport}
	c.inFlight = nil
	if l.onOutcome != nil {
		l.onOutcome(o)
	}
	if o.latency > 0 {
		ev.Latency = o.latency
	}
	if c.mayHaveRunSince == 0 && !o.RunState().NeverRan() {
		c.mayHaveRunSince = o.attempt.requestedAt
	}
	switch {
	case o.End == verdict.Served || o.isStreamed || o.clientFault != nil:
		l.removeRequest(c)
	case o.End == verdict.InvalidRequest && c.pendingAnswer == nil:
		l.answer(c, command{clientErrorStatus: statusBadRequest})
	case c.pendingAnswer != nil:
		l.answer(c, *c.pendingAnswer)
	case o.cannotRepeat: // the request's body is no longer held, so it can't be sent again
		l.answer(c, command{retryAfter: refusalRetryAfter})
	}
	ev.ClientAnswered = l.requests[c.ID] == nil
	l.decide(ev)
}

// checkDeadline handles the end of a request's time. Until its deadline, an attempt in flight is awaited: what is not at a
// server yet ends by itself.
func (l *loop) checkDeadline(c *openRequest) {
	if c.inFlight == nil || l.clock.now() >= c.deadline {
		l.failOverdue(c)
		return
	}
	c.deadlineTimer = &timer{at: c.deadline + backstopDelay, request: c}
	heap.Push(&l.timers, c.deadlineTimer)
}

// failOverdue fails a request that the policy package has left open past its time.
func (l *loop) failOverdue(c *openRequest) {
	if l.requests[c.ID] == nil {
		return
	}
	l.finish(c, command{timedOut: true})
	l.decide(policy.ClientGone{ID: c.ID})
}

// finishAll answers all open requests as if their deadlines had passed.
func (l *loop) finishAll() {
	for _, id := range slices.Sorted(maps.Keys(l.requests)) {
		if c := l.requests[id]; c != nil {
			l.failOverdue(c)
		}
	}
}

// checkDisconnects finds the clients that have closed their connections. Nothing more is sent for their requests.
func (l *loop) checkDisconnects() {
	for id, c := range l.requests {
		if c.conn == nil || world.Peek(c.conn) != world.PeekEnd {
			continue
		}
		if c.inFlight == nil {
			l.answer(c, command{})
		} else {
			l.removeRequest(c)
			c.pendingAnswer = &command{}
			c.abandonAttempt()
		}
		l.disconnectedClients.Add(1)
		l.decide(policy.ClientGone{ID: id})
	}
	heap.Push(&l.timers, &timer{at: l.clock.now() + l.disconnectInterval, isDisconnectCheck: true})
}

// finish gives a request its final answer. If an attempt is in flight, finish cancels it first, and the answer follows its end.
func (l *loop) finish(c *openRequest, cmd command) {
	if c.inFlight == nil {
		l.answer(c, cmd)
		return
	}
	if c.pendingAnswer == nil {
		// The attempt in flight may run, so the answer can't be a refusal.
		c.pendingAnswer = &command{timedOut: cmd.timedOut}
		c.inFlight.cancel()
	}
}

// answer removes a request and commands its final answer.
func (l *loop) answer(c *openRequest, cmd command) {
	l.removeRequest(c)
	if c.managed != nil {
		cmd.timedOut = cmd.timedOut || l.clock.now() >= c.answerBy
	}
	c.commands <- cmd
}

// removeRequest removes a request once its answer is decided.
func (l *loop) removeRequest(c *openRequest) {
	delete(l.requests, c.ID)
	if l.requestsByClientID[c.clientID] == c {
		delete(l.requestsByClientID, c.clientID)
	}
	if c.deadlineTimer != nil && c.deadlineTimer.heapIndex >= 0 {
		heap.Remove(&l.timers, c.deadlineTimer.heapIndex)
	}
}

// updateServers passes an update of the server list to the upstream connections and the policy package.
func (l *loop) updateServers(update listUpdate) {
	if update.list == nil {
		if l.reportWatchFailures {
			l.decide(policy.ServerList{Kind: policy.WatchFailed})
		}
		return
	}
	l.upstream.update(update.list, update.kind != policy.ChangedServers)
	ev := policy.ServerList{Kind: update.kind}
	for i := range update.list.Targets {
		ev.Servers = append(ev.Servers, update.list.Targets[i].policyServer())
	}
	l.decide(ev)
	if l.onList != nil {
		l.onList(update.kind)
	}
}
