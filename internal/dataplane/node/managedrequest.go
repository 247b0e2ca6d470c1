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

// Header fields of the managed protocol.
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
	longestWaitDecayRequests = 512       // requests over which the longest wait announced by clients of a route mostly decays
	maxConfiguredHeadBytes   = 256 << 10 // limit on a request's head in any configuration: each connection may buffer it
)

// managedState is what the managed protocol needs to read a request: the active configuration and what control
// announced.
type managedState struct {
	clock           clock
	maxStatementAge atomic.Int64 // maximum age of control's last confirmation for requests with a key, in nanoseconds; 0: any age
	confirmedAt     atomic.Int64 // clock time of control's last confirmation
	gatewayCount    atomic.Int64
	active          atomic.Pointer[activeConfiguration]
	workDeadline    atomic.Int64 // clock time by which servers have to finish their work; 0: no such limit
	hostTraffic     homing.TrafficCounter

	mu  sync.Mutex
	rnd *rand.Rand
}

// activeConfiguration is the current configuration with its policy classes.
type activeConfiguration struct {
	configuration *routeconfig.Configuration
	classes       map[string]*policy.Class
	routes        map[*routeconfig.Route]*routeStats
	boundHosts    map[*routeconfig.Route]uint32 // hosts that have both routes bound to regions and routes that are not
}

// waitedBefore returns how long a client has already waited in earlier tries of a request. A request announces the
// time that its client will still wait, so the time waited is the difference to the longest wait that clients of the
// route have announced. The longest wait decays with each request that announces less.
func (t *activeConfiguration) waitedBefore(r *routeconfig.Route, ms int64) time.Duration {
	stored := &t.routes[r].longestDeadlineMS
	longestMS := stored.Load()
	stored.Store(max(ms, longestMS-(longestMS-ms+longestWaitDecayRequests-1)/longestWaitDecayRequests))
	return time.Duration(max(0, longestMS-ms)) * time.Millisecond
}

// managedRequest is the state of a request under the managed protocol.
type managedRequest struct {
	id               string
	tenant           string     // empty: the route needs no tenant
	client           clientSide // the client's connection
	closeAfterAnswer bool       // the streamed answer is the last one on the client's connection
}

// className returns the name of the policy class for a route's requests to a service.
func className(r *routeconfig.Route, service string) string {
	return service + "|" + string(r.Kind) + "|" + r.Target.String()
}

func routeEffect(r *routeconfig.Route) policy.Effect {
	if r.Kind == routeconfig.Idempotent {
		return policy.Safe
	}
	return policy.Unsafe
}

// activate makes a configuration the active one and returns its classes.
func (e *managedState) activate(p *routeconfig.Configuration) map[string]*policy.Class {
	t := &activeConfiguration{configuration: p, classes: map[string]*policy.Class{}, routes: map[*routeconfig.Route]*routeStats{}, boundHosts: map[*routeconfig.Route]uint32{}}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routes[r] = &routeStats{}
		if _, bound, free := p.HomesOf(r.Host); bound > 0 && free > 0 && !r.Public {
			t.boundHosts[r] = homing.HashHost(routeconfig.Bare(r.Host))
		}
		for _, s := range r.Split {
			name := className(r, s.Backend)
			t.classes[name] = &policy.Class{Name: name, LatencyTarget: r.Target, Deadline: r.Timeout, Effect: routeEffect(r)}
		}
	}
	e.active.Store(t)
	return t.classes
}

// isFresh reports whether control's last confirmation is recent enough for requests with a key.
func (e *managedState) isFresh(now time.Duration) bool {
	maxAge := time.Duration(e.maxStatementAge.Load())
	return maxAge == 0 || now-time.Duration(e.confirmedAt.Load()) < maxAge
}

// messageLimits returns the maximum sizes of a request's head and body in bytes; a head of 0 stands for the default
// limit. Without a configuration no request is served, so the body is not limited.
func (e *managedState) messageLimits() (head, body int) {
	t := e.active.Load()
	if t == nil {
		return 0, math.MaxInt
	}
	l := &t.configuration.Limits
	return int(min(l.MaxHeaderBytes, maxConfiguredHeadBytes)), int(min(l.MaxBodyBytes, math.MaxInt))
}

// workDuration returns how long a server is told that it may work on a request with the given time left.
func (e *managedState) workDuration(left, now time.Duration) time.Duration {
	if ends := time.Duration(e.workDeadline.Load()); ends > 0 {
		return min(left, ends-now)
	}
	return left
}

// unavailableAnswer rejects a request that can't be decided yet, for a reason that is sent to the client.
func unavailableAnswer(why string) *verdict.GeneratedAnswer {
	return unsentAnswer(503, refusalRetryAfter, why)
}

// unsentAnswer returns this proxy's answer to a request that was not and will not be sent to a server.
func unsentAnswer(status int, after time.Duration, why string) *verdict.GeneratedAnswer {
	own := (&verdict.RequestOutcome{}).Answer(status, after, why)
	return &own
}

// parseRequest finds the route, tenant, service and time limit of a request, or returns the answer that rejects it.
func (e *managedState) parseRequest(r *clientRequest) (*openRequest, *verdict.GeneratedAnswer) {
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
	c.budget, c.clientWaits = route.Timeout, math.MaxInt64
	if v, n := r.valueAndCount(fieldDeadline); n == 1 {
		ms, digits := parseDecimal(v)
		if digits == 0 || digits > 9 {
			return nil, unsentAnswer(400, 0, fieldDeadline+": no whole milliseconds")
		}
		c.clientWaits = time.Duration(ms) * time.Millisecond
		c.budget = min(c.budget, c.clientWaits)
		c.WaitedBefore = t.waitedBefore(route, int64(ms))
	}
	t.routes[route].requests.Add(1)
	c.Service = e.pickService(route)
	c.class = t.classes[className(route, c.Service)]
	c.Class, c.effect, c.Effect, c.MaxAttempts = c.class.Name, c.class.Effect, c.class.Effect, route.Tries
	return c, nil
}

// intersectRegions returns the regions that are in both lists. An empty list and a nil result stand for all regions.
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

// pickService picks one of a route's services at random by weight.
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

// serveManaged answers a request of the managed protocol and reports whether the connection can go on. The client may
// have sent more bytes by then. Closing a connection with unread bytes resets it, and the client may lose the last
// answer (RFC 9112, 9.6). So unread bytes are discarded first, unless the client itself asked to close.
func (s *server) serveManaged(cc *clientConn) bool {
	canGoOn := s.answerManaged(cc)
	unread := cc.input.hasUnreadBody()
	if canGoOn && !unread {
		return true
	}
	if unread || cc.finalAnswerSent && !cc.request.wantsClose() {
		s.setState(cc, connLinger)
		s.discardInput(cc)
	}
	return false
}

// answerManaged reads a request, carries out the loop's commands until it is answered, and reports whether the
// connection can go on.
func (s *server) answerManaged(cc *clientConn) bool {
	r := &cc.request
	c, rejected := s.managed.parseRequest(r)
	if rejected != nil {
		cc.badRequests = 0
		if !s.beginRequest(cc) {
			return false
		}
		return s.writeOwnAnswer(cc, *rejected)
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

// attemptHistory is what the attempts of a request have shown, with the last unsuccessful answer that a server sent
// itself.
type attemptHistory struct {
	verdict.RequestOutcome
	lastAnswer []byte      // complete; nil: none or longer than the window
	held       *heldAnswer // an answer longer than the window; nil: none
}

// add records an attempt's result. An answer of an earlier attempt is dropped if this one brought an answer.
func (t *attemptHistory) add(u *upstream, r *result) {
	t.Add(r.Verdict)
	if r.answer == nil && r.held == nil && !r.isStreamed {
		return
	}
	u.dropHeldAnswer(t.held)
	t.lastAnswer, t.held = r.answer, r.held
}

// answerUnservedManaged answers a request that no attempt has served. A request that may have run gets a server's own
// answer if there is one. Any other gets this proxy's answer, which states that the request has not run where that is
// certain.
func (s *server) answerUnservedManaged(cc *clientConn, cmd command, t *attemptHistory) bool {
	switch {
	case cmd.clientErrorStatus != 0:
		return s.writeOwnAnswer(cc, t.Answer(cmd.clientErrorStatus, 0, "this request can't be used"))
	case t.MayHaveRun() && t.lastAnswer != nil:
		return s.writeServerAnswer(cc, t.lastAnswer)
	case t.MayHaveRun() && s.upstream.canStream(t.held):
		var r result
		s.upstream.streamAnswer(&cc.request.managed.client, t.held, &r)
		return cc.finishStreamedAnswer(r.isComplete)
	}
	if t.MayHaveRun() && s.onRequestFailed != nil {
		s.onRequestFailed(cc.request.managed.id, t.Last())
	}
	return s.writeOwnAnswer(cc, t.FailureAnswer(cmd.overQuota, cmd.timedOut, cmd.retryAfter))
}

// writeOwnAnswer writes an answer that this proxy made itself, and counts it.
func (s *server) writeOwnAnswer(cc *clientConn, o verdict.GeneratedAnswer) bool {
	s.counts.countOwn(o.Status())
	return s.reply(cc, o.Status(), o.Fields(), o.Text())
}

// answerBrokenBody answers a request whose body failed while it was read from the client.
func (s *server) answerBrokenBody(cc *clientConn, why error, t *attemptHistory) bool {
	status := statusForReadError(why)
	return status != 0 && s.writeOwnAnswer(cc, t.Answer(status, 0, why.Error()))
}

// writeServerAnswer writes an app server's answer, built by buildClientAnswer.
func (s *server) writeServerAnswer(cc *clientConn, answer []byte) bool {
	answer, isLast := s.markLastAnswer(cc, answer)
	written := cc.write(answer, s.clock.Now().Add(s.tuning.Load().ClientWrite)) == nil
	cc.finalAnswerSent = written && isLast
	return written && !isLast
}

// finishStreamedAnswer reports whether the connection can go on after a streamed answer, which may be incomplete.
func (cc *clientConn) finishStreamedAnswer(complete bool) bool {
	isLast := cc.request.managed.closeAfterAnswer
	cc.finalAnswerSent = complete && isLast
	return complete && !isLast
}

// markLastAnswer counts an answer and, if it is the last one on the connection, adds "Connection: close". It reports
// whether it is the last one.
func (s *server) markLastAnswer(cc *clientConn, answer []byte) ([]byte, bool) {
	if i := len(answerPrefix); len(answer) > i {
		s.counts.countForwarded(answer[i])
	}
	isLast := s.draining.Load() || s.resting.Load() || cc.request.wantsClose() || cc.input.hasUnreadBody()
	if isLast {
		const closeField = "Connection: close\r\n"
		if i := bytes.Index(answer, []byte("\r\n")); i >= 0 {
			answer = slices.Insert(answer, i+2, []byte(closeField)...)
		}
	}
	return answer, isLast
}
