package node

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/dataplane/homing"
	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/policy"
)

// Fields of the system's wire.
const (
	fieldID       = "Attempt-Id"
	fieldDeadline = "Deadline-Ms"
	fieldKey      = "X-Api-Key"
	fieldTenant   = "Tenant"
	fieldTarget   = "Target-Instance"
	fieldSeal     = "Server-Seal"
	fieldNotRun   = "Not-Executed"
	fieldLoad     = "Server-Load"
)

const (
	longestWaitDecayRequests = 512       // requests after which what one client said has mostly worn off
	maxConfiguredHeadBytes   = 256 << 10 // bytes of a head, whatever the configuration says: each connection may hold so many
)

// managedState is what requests are read by on the system's wire.
type managedState struct {
	clock           clock
	maxStatementAge atomic.Int64 // how old control's statements may be for requests with a key; 0: any age
	confirmedAt     atomic.Int64 // by the clock
	gatewayCount    atomic.Int64
	active          atomic.Pointer[activeConfiguration]
	workDeadline    atomic.Int64 // by the clock: servers are told to have ended by then; 0: by their requests' deadlines alone
	hostTraffic     homing.Tally

	mu  sync.Mutex
	rnd *rand.Rand
}

// activeConfiguration is a configuration in force, with its classes.
type activeConfiguration struct {
	configuration *routeconfig.Configuration
	classes       map[string]*policy.Class
	routes        map[*routeconfig.Route]*routeStats
	boundHosts    map[*routeconfig.Route]uint32 // hosts of which some routes are bound to regions
}

// waitedBefore is how long a client has waited before this try: its others told it, so it waits that much less than
// clients of its route do at their first try. What none has said lately any more is forgotten.
func (t *activeConfiguration) waitedBefore(r *routeconfig.Route, ms int64) time.Duration {
	longest := &t.routes[r].longestDeadlineMS
	most := longest.Load()
	longest.Store(max(ms, most-(most-ms+longestWaitDecayRequests-1)/longestWaitDecayRequests))
	return time.Duration(max(0, most-ms)) * time.Millisecond
}

// managedRequest is what a request is under the configuration it came in by.
type managedRequest struct {
	id               string
	tenant           string     // empty: it needs none
	client           clientSide // who sent it
	closeAfterAnswer bool       // its answer, passed on as it came, is the connection's last
}

func className(r *routeconfig.Route, service string) string {
	return service + "|" + string(r.Kind) + "|" + r.Target.String()
}

func routeEffect(r *routeconfig.Route) policy.Effect {
	if r.Kind == routeconfig.Idempotent {
		return policy.Safe
	}
	return policy.Unsafe
}

// activate puts a configuration in force, and returns its classes.
func (e *managedState) activate(p *routeconfig.Configuration) map[string]*policy.Class {
	t := &activeConfiguration{configuration: p, classes: map[string]*policy.Class{}, routes: map[*routeconfig.Route]*routeStats{}, boundHosts: map[*routeconfig.Route]uint32{}}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routes[r] = &routeStats{}
		if _, bound, free := p.HomesOf(r.Host); bound > 0 && free > 0 && !r.Public {
			t.boundHosts[r] = homing.Host(routeconfig.Bare(r.Host))
		}
		for _, s := range r.Split {
			name := className(r, s.Backend)
			t.classes[name] = &policy.Class{Name: name, LatencyTarget: r.Target, Deadline: r.Timeout, Effect: routeEffect(r)}
		}
	}
	e.active.Store(t)
	return t.classes
}

func (e *managedState) isFresh(now time.Duration) bool {
	most := time.Duration(e.maxStatementAge.Load())
	return most == 0 || now-time.Duration(e.confirmedAt.Load()) < most
}

// messageLimits are how many bytes a request's head and its body may have; a head of 0 stands for the usual bound. Before there
// is a configuration no request is served.
func (e *managedState) messageLimits() (head, body int) {
	t := e.active.Load()
	if t == nil {
		return 0, math.MaxInt
	}
	l := &t.configuration.Limits
	return int(min(l.MaxHeaderBytes, maxConfiguredHeadBytes)), int(min(l.MaxBodyBytes, math.MaxInt))
}

// workDuration is how long a server is told that it may work on a request that has so long left.
func (e *managedState) workDuration(left, now time.Duration) time.Duration {
	if ends := time.Duration(e.workDeadline.Load()); ends > 0 {
		return min(left, ends-now)
	}
	return left
}

// unavailableAnswer turns a request away that can't be decided about yet.
func unavailableAnswer(why string) *verdict.Own { return unsentAnswer(503, refusalRetryAfter, why) }

// unsentAnswer is an answer to what has not been sent on, and won't be.
func unsentAnswer(status int, after time.Duration, why string) *verdict.Own {
	own := (&verdict.Course{}).Answer(status, after, why)
	return &own
}

// parseRequest finds what a request is: its route, its tenant, its service, its time.
func (e *managedState) parseRequest(r *clientRequest) (*openRequest, *verdict.Own) {
	now := e.clock.now()
	t := e.active.Load()
	if t == nil || e.gatewayCount.Load() == 0 {
		return nil, unavailableAnswer("no configuration yet")
	}
	for _, name := range []string{"Host", fieldID, fieldDeadline, fieldKey} {
		if _, n := r.valueAndCount(name); n > 1 || n == 0 && name == "Host" {
			return nil, unsentAnswer(400, 0, name+": missing, or more than once")
		}
	}
	route := t.configuration.Find(string(r.get("Host")), targetPath(r.target))
	if route == nil {
		return nil, unsentAnswer(404, 0, "no route")
	}
	c := &openRequest{arrived: now, commands: make(chan command, 1), managed: &managedRequest{}}
	c.Units, c.GatewayCount, c.Priority = 1, int(e.gatewayCount.Load()), route.Prio
	if t.configuration.Keyed() {
		tenant := t.configuration.Tenant(string(r.get(fieldKey)))
		switch {
		case tenant == nil && !route.Public:
			if !e.isFresh(now) {
				return nil, unavailableAnswer("control is out of reach")
			}
			return nil, unsentAnswer(401, 0, "unknown key")
		case tenant != nil && !e.isFresh(now):
			return nil, unavailableAnswer("control is out of reach")
		case tenant != nil:
			c.managed.tenant, c.Customer, c.Plan = tenant.Name, tenant.Name, tenant.Name
			c.Regions, c.Priority = tenant.Homes, tenant.Rank(route)
		}
	}
	if c.Regions = intersectRegions(c.Regions, route.Homes); c.Regions != nil && len(c.Regions) == 0 {
		return nil, unavailableAnswer("no region may serve this")
	}
	if host, is := t.boundHosts[route]; is {
		e.hostTraffic.Add(host, len(route.Homes) > 0, len(r.body), now)
	}
	id := r.get(fieldID)
	if len(id) == 0 || len(id) > maxRequestIDBytes || !isVisibleASCII(id) {
		return nil, unsentAnswer(400, 0, fieldID+": missing, too long or not plain")
	}
	c.clientID, c.managed.id = string(id), string(id)
	c.budget = route.Timeout
	if v, n := r.valueAndCount(fieldDeadline); n == 1 {
		ms, digits := parseDecimal(v)
		if digits == 0 || digits > 9 {
			return nil, unsentAnswer(400, 0, fieldDeadline+": no whole milliseconds")
		}
		c.budget = min(c.budget, max(0, time.Duration(ms)*time.Millisecond-clientTransitMargin))
		c.WaitedBefore = t.waitedBefore(route, int64(ms))
	}
	t.routes[route].requests.Add(1)
	c.Service = e.pickService(route)
	c.class = t.classes[className(route, c.Service)]
	c.Class, c.effect, c.Effect, c.MaxAttempts = c.class.Name, c.class.Effect, c.class.Effect, route.Tries
	return c, nil
}

// intersectRegions are the regions that are in two lists of homes, where an empty list stands for all; nil: all.
func intersectRegions(a, b []string) []string {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	out := []string{}
	for _, v := range a {
		if slices.Contains(b, v) {
			out = append(out, v)
		}
	}
	return out
}

// pickService takes one of a route's services by weight.
func (e *managedState) pickService(r *routeconfig.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Backend
	}
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Weight
	}
	e.mu.Lock()
	at := e.rnd.Float64() * sum
	e.mu.Unlock()
	last := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		last = s.Backend
		if at -= s.Weight; at < 0 {
			break
		}
	}
	return last
}

// serveManaged answers a request of the system's wire; it is false when the connection is over. A client may have sent more by
// then: a connection that is closed over bytes that were not read is reset, and takes the last answer with it (RFC 9112,
// 9.6). So what still comes is passed over first, unless the client itself asked for the end.
func (s *server) serveManaged(cc *clientConn) bool {
	on := s.answerManaged(cc)
	unread := cc.input.hasUnreadBody()
	if on && !unread {
		return true
	}
	if unread || cc.finalAnswerSent && !cc.request.wantsClose() {
		s.setState(cc, connLinger)
		s.discardInput(cc)
	}
	return false
}

func (s *server) answerManaged(cc *clientConn) bool {
	r := &cc.request
	c, turned := s.managed.parseRequest(r)
	if turned != nil {
		cc.badRequests = 0
		if !s.beginRequest(cc) {
			return false
		}
		return s.writeOwnAnswer(cc, *turned)
	}
	if !s.beginRequest(cc) {
		return false
	}
	c.conn, r.managed = cc.Conn, c.managed
	c.managed.client = clientSide{server: s, conn: cc, request: c}
	s.counts.open.Add(1)
	defer s.counts.open.Add(-1)
	s.events <- c
	var t attemptHistory
	defer func() { s.upstream.dropHeldAnswer(t.held) }()
	for {
		select {
		case <-s.loopStopped:
			return false
		case cmd := <-c.commands:
			if cmd.attempt == nil {
				return s.answerUnservedManaged(cc, cmd, &t)
			}
			res := s.upstream.do(cmd.attempt, r)
			t.add(s.upstream, &res)
			s.events <- outcome{c, cmd.attempt, res}
			switch {
			case res.clientFault != nil:
				return s.answerBrokenBody(cc, res.clientFault, &t)
			case res.isStreamed:
				return cc.finishStreamedAnswer(res.isComplete)
			case res.End == verdict.Served:
				return s.writeServerAnswer(cc, res.answer)
			}
		}
	}
}

// attemptHistory is what is known of a request from its attempts, and the last answer of a server's own that was no success.
type attemptHistory struct {
	verdict.Course
	lastAnswer []byte      // whole
	held       *heldAnswer // or beyond its window
}

func (t *attemptHistory) add(u *upstream, r *result) {
	t.Add(r.Verdict)
	if r.answer == nil && r.held == nil && !r.isStreamed {
		return
	}
	u.dropHeldAnswer(t.held)
	t.lastAnswer, t.held = r.answer, r.held
}

// answerUnservedManaged writes the answer to what was not served: a promise where it has not run, else a server's own answer if there
// was one.
func (s *server) answerUnservedManaged(cc *clientConn, cmd command, t *attemptHistory) bool {
	switch {
	case cmd.clientErrorStatus != 0:
		return s.writeOwnAnswer(cc, t.Answer(cmd.clientErrorStatus, 0, "this request can't be used"))
	case t.Ran() && t.lastAnswer != nil:
		return s.writeServerAnswer(cc, t.lastAnswer)
	case t.Ran() && s.upstream.canStream(t.held):
		var r result
		s.upstream.streamAnswer(&cc.request.managed.client, t.held, &r)
		return cc.finishStreamedAnswer(r.isComplete)
	}
	if t.Ran() && s.onRequestFailed != nil {
		s.onRequestFailed(cc.request.managed.id, t.Last())
	}
	return s.writeOwnAnswer(cc, t.GivenUp(cmd.overQuota, cmd.timedOut, cmd.retryAfter))
}

// writeOwnAnswer writes an answer of the system's own.
func (s *server) writeOwnAnswer(cc *clientConn, o verdict.Own) bool {
	s.counts.countOwn(o.Status())
	return s.reply(cc, o.Status(), o.Fields(), o.Text())
}

// answerBrokenBody ends a request whose body the client has not sent as it should.
func (s *server) answerBrokenBody(cc *clientConn, why error, t *attemptHistory) bool {
	status := statusForReadError(why)
	return status != 0 && s.writeOwnAnswer(cc, t.Answer(status, 0, why.Error()))
}

// writeServerAnswer writes an app server's answer, made by buildClientAnswer.
func (s *server) writeServerAnswer(cc *clientConn, answer []byte) bool {
	answer, over := s.markLastAnswer(cc, answer)
	written := cc.write(answer, s.clock.Now().Add(s.tuning.Load().ClientWrite)) == nil
	cc.finalAnswerSent = written && over
	return written && !over
}

// finishStreamedAnswer tells whether the connection goes on after an answer that was passed on as it came, whole or not.
func (cc *clientConn) finishStreamedAnswer(whole bool) bool {
	over := cc.request.managed.closeAfterAnswer
	cc.finalAnswerSent = whole && over
	return whole && !over
}

// markLastAnswer tells the client, where it is so, that this is the connection's last answer.
func (s *server) markLastAnswer(cc *clientConn, answer []byte) ([]byte, bool) {
	if i := len(answerPrefix); len(answer) > i {
		s.counts.countForwarded(answer[i])
	}
	over := s.draining.Load() || s.resting.Load() || cc.request.wantsClose() || cc.input.hasUnreadBody()
	if over {
		const more = "Connection: close\r\n"
		if i := bytes.Index(answer, []byte("\r\n")); i >= 0 {
			answer = slices.Insert(answer, i+2, []byte(more)...)
		}
	}
	return answer, over
}
