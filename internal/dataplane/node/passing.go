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
	longestSpan = 512       // requests after which what one client said has mostly worn off
	mostSetHead = 256 << 10 // bytes of a head, whatever the configuration says: each connection may hold so many
)

// estate is what requests are read by on the system's wire.
type estate struct {
	clock     clock
	freshFor  atomic.Int64 // how old control's statements may be for requests with a key; 0: any age
	confirmed atomic.Int64 // by the clock
	shares    atomic.Int64
	tilled    atomic.Pointer[tilled]
	workEnds  atomic.Int64 // by the clock: servers are told to have ended by then; 0: by their requests' deadlines alone
	heads     homing.Tally

	mu  sync.Mutex
	rnd *rand.Rand
}

// tilled is a configuration in force, with its classes.
type tilled struct {
	configuration *routeconfig.Configuration
	classes       map[string]*policy.Class
	routes        map[*routeconfig.Route]*routeStats
	boundHosts    map[*routeconfig.Route]uint32 // hosts of which some routes are bound to regions
}

// spent is how long a client has waited before this try: its others told it, so it waits that much less than
// clients of its route do at their first try. What none has said lately any more is forgotten.
func (t *tilled) spent(r *routeconfig.Route, ms int64) time.Duration {
	longest := &t.routes[r].longestDeadlineMS
	most := longest.Load()
	longest.Store(max(ms, most-(most-ms+longestSpan-1)/longestSpan))
	return time.Duration(max(0, most-ms)) * time.Millisecond
}

// passing is what a request is under the configuration it came in by.
type passing struct {
	id     string
	tenant string // empty: it needs none
	front  front  // who sent it
	over   bool   // its answer, passed on as it came, is the connection's last
}

func className(r *routeconfig.Route, service string) string {
	return service + "|" + string(r.Kind) + "|" + r.Target.String()
}

func effectOf(r *routeconfig.Route) policy.Effect {
	if r.Kind == routeconfig.Idempotent {
		return policy.Safe
	}
	return policy.Unsafe
}

// till puts a configuration in force, and returns its classes.
func (e *estate) till(p *routeconfig.Configuration) map[string]*policy.Class {
	t := &tilled{configuration: p, classes: map[string]*policy.Class{}, routes: map[*routeconfig.Route]*routeStats{}, boundHosts: map[*routeconfig.Route]uint32{}}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routes[r] = &routeStats{}
		if _, bound, free := p.HomesOf(r.Host); bound > 0 && free > 0 && !r.Public {
			t.boundHosts[r] = homing.Host(routeconfig.Bare(r.Host))
		}
		for _, s := range r.Split {
			name := className(r, s.Backend)
			t.classes[name] = &policy.Class{Name: name, LatencyTarget: r.Target, Deadline: r.Timeout, Effect: effectOf(r)}
		}
	}
	e.tilled.Store(t)
	return t.classes
}

func (e *estate) isFresh(now time.Duration) bool {
	most := time.Duration(e.freshFor.Load())
	return most == 0 || now-time.Duration(e.confirmed.Load()) < most
}

// bounds are how many bytes a request's head and its body may have; a head of 0 stands for the usual bound. Before there
// is a configuration no request is served.
func (e *estate) bounds() (head, body int) {
	t := e.tilled.Load()
	if t == nil {
		return 0, math.MaxInt
	}
	l := &t.configuration.Limits
	return int(min(l.MaxHeaderBytes, mostSetHead)), int(min(l.MaxBodyBytes, math.MaxInt))
}

// workDuration is how long a server is told that it may work on a request that has so long left.
func (e *estate) workFor(left, now time.Duration) time.Duration {
	if ends := time.Duration(e.workEnds.Load()); ends > 0 {
		return min(left, ends-now)
	}
	return left
}

// unready turns a request away that can't be decided about yet.
func unready(why string) *verdict.Own { return unsent(503, refusalRetryAfter, why) }

// unsent is an answer to what has not been sent on, and won't be.
func unsent(status int, after time.Duration, why string) *verdict.Own {
	own := (&verdict.Course{}).Answer(status, after, why)
	return &own
}

// read finds what a request is: its route, its tenant, its service, its time.
func (e *estate) read(r *clientRequest) (*openRequest, *verdict.Own) {
	now := e.clock.now()
	t := e.tilled.Load()
	if t == nil || e.shares.Load() == 0 {
		return nil, unready("no configuration yet")
	}
	for _, name := range []string{"Host", fieldID, fieldDeadline, fieldKey} {
		if _, n := r.valueAndCount(name); n > 1 || n == 0 && name == "Host" {
			return nil, unsent(400, 0, name+": missing, or more than once")
		}
	}
	route := t.configuration.Find(string(r.get("Host")), path(r.target))
	if route == nil {
		return nil, unsent(404, 0, "no route")
	}
	c := &openRequest{arrived: now, commands: make(chan command, 1), managed: &passing{}}
	c.Units, c.GatewayCount, c.Priority = 1, int(e.shares.Load()), route.Prio
	if t.configuration.Keyed() {
		tenant := t.configuration.Tenant(string(r.get(fieldKey)))
		switch {
		case tenant == nil && !route.Public:
			if !e.isFresh(now) {
				return nil, unready("control is out of reach")
			}
			return nil, unsent(401, 0, "unknown key")
		case tenant != nil && !e.isFresh(now):
			return nil, unready("control is out of reach")
		case tenant != nil:
			c.managed.tenant, c.Customer, c.Plan = tenant.Name, tenant.Name, tenant.Name
			c.Regions, c.Priority = tenant.Homes, tenant.Rank(route)
		}
	}
	if c.Regions = both(c.Regions, route.Homes); c.Regions != nil && len(c.Regions) == 0 {
		return nil, unready("no region may serve this")
	}
	if host, is := t.boundHosts[route]; is {
		e.heads.Add(host, len(route.Homes) > 0, len(r.body), now)
	}
	id := r.get(fieldID)
	if len(id) == 0 || len(id) > mostName || !visible(id) {
		return nil, unsent(400, 0, fieldID+": missing, too long or not plain")
	}
	c.clientID, c.managed.id = string(id), string(id)
	c.budget = route.Timeout
	if v, n := r.valueAndCount(fieldDeadline); n == 1 {
		ms, digits := parseDecimal(v)
		if digits == 0 || digits > 9 {
			return nil, unsent(400, 0, fieldDeadline+": no whole milliseconds")
		}
		c.budget = min(c.budget, max(0, time.Duration(ms)*time.Millisecond-clientTransitMargin))
		c.WaitedBefore = t.spent(route, int64(ms))
	}
	t.routes[route].requests.Add(1)
	c.Service = e.draw(route)
	c.class = t.classes[className(route, c.Service)]
	c.Class, c.effect, c.Effect, c.MaxAttempts = c.class.Name, c.class.Effect, c.class.Effect, route.Tries
	return c, nil
}

// both are the regions that are in two lists of homes, where an empty list stands for all; nil: all.
func both(a, b []string) []string {
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

// draw takes one of a route's services by weight.
func (e *estate) draw(r *routeconfig.Route) string {
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

// pass answers a request of the system's wire; it is false when the connection is over. A client may have sent more by
// then: a connection that is closed over bytes that were not read is reset, and takes the last answer with it (RFC 9112,
// 9.6). So what still comes is passed over first, unless the client itself asked for the end.
func (s *server) pass(cc *clientConn) bool {
	on := s.served(cc)
	unread := cc.input.unread()
	if on && !unread {
		return true
	}
	if unread || cc.finalAnswerSent && !cc.request.over() {
		s.setState(cc, connLinger)
		s.passOver(cc)
	}
	return false
}

func (s *server) served(cc *clientConn) bool {
	r := &cc.request
	c, turned := s.estate.read(r)
	if turned != nil {
		cc.badRequests = 0
		if !s.beginRequest(cc) {
			return false
		}
		return s.own(cc, *turned)
	}
	if !s.beginRequest(cc) {
		return false
	}
	c.conn, r.managed = cc.Conn, c.managed
	c.managed.front = front{s: s, cc: cc, call: c}
	s.counts.open.Add(1)
	defer s.counts.open.Add(-1)
	s.events <- c
	var t trail
	defer func() { s.up.drop(t.held) }()
	for {
		select {
		case <-s.over:
			return false
		case cmd := <-c.commands:
			if cmd.attempt == nil {
				return s.end(cc, cmd, &t)
			}
			res := s.up.do(cmd.attempt, r)
			t.add(s.up, &res)
			s.events <- outcome{c, cmd.attempt, res}
			switch {
			case res.fault != nil:
				return s.broken(cc, res.fault, &t)
			case res.begun:
				return cc.goesOn(res.whole)
			case res.End == verdict.Served:
				return s.whole(cc, res.answer)
			}
		}
	}
}

// trail is what is known of a request from its attempts, and the last answer of a server's own that was no success.
type trail struct {
	verdict.Course
	last []byte      // whole
	held *heldAnswer // or beyond its window
}

func (t *trail) add(u *upstream, r *result) {
	t.Add(r.Verdict)
	if r.answer == nil && r.held == nil && !r.begun {
		return
	}
	u.drop(t.held)
	t.last, t.held = r.answer, r.held
}

// end writes the answer to what was not served: a promise where it has not run, else a server's own answer if there
// was one.
func (s *server) end(cc *clientConn, cmd command, t *trail) bool {
	switch {
	case cmd.clientErrorStatus != 0:
		return s.own(cc, t.Answer(cmd.clientErrorStatus, 0, "this request can't be used"))
	case t.Ran() && t.last != nil:
		return s.whole(cc, t.last)
	case t.Ran() && s.up.flows(t.held):
		var r result
		s.up.flow(&cc.request.managed.front, t.held, &r)
		return cc.goesOn(r.whole)
	}
	if t.Ran() && s.failed != nil {
		s.failed(cc.request.managed.id, t.Last())
	}
	return s.own(cc, t.GivenUp(cmd.overQuota, cmd.timedOut, cmd.retryAfter))
}

// own writes an answer of the system's own.
func (s *server) own(cc *clientConn, o verdict.Own) bool {
	s.counts.countOwn(o.Status())
	return s.reply(cc, o.Status(), o.Fields(), o.Text())
}

// broken ends a request whose body the client has not sent as it should.
func (s *server) broken(cc *clientConn, why error, t *trail) bool {
	status := statusForReadError(why)
	return status != 0 && s.own(cc, t.Answer(status, 0, why.Error()))
}

// whole writes an app server's answer, made by buildClientAnswer.
func (s *server) whole(cc *clientConn, answer []byte) bool {
	answer, over := s.closing(cc, answer)
	written := cc.write(answer, s.clock.Now().Add(s.tune.Load().ClientWrite)) == nil
	cc.finalAnswerSent = written && over
	return written && !over
}

// goesOn tells whether the connection goes on after an answer that was passed on as it came, whole or not.
func (cc *clientConn) goesOn(whole bool) bool {
	over := cc.request.managed.over
	cc.finalAnswerSent = whole && over
	return whole && !over
}

// closing tells the client, where it is so, that this is the connection's last answer.
func (s *server) closing(cc *clientConn, answer []byte) ([]byte, bool) {
	if i := len(answerStart); len(answer) > i {
		s.counts.countForwarded(answer[i])
	}
	over := s.draining.Load() || s.resting.Load() || cc.request.over() || cc.input.unread()
	if over {
		const more = "Connection: close\r\n"
		if i := bytes.Index(answer, []byte("\r\n")); i >= 0 {
			answer = slices.Insert(answer, i+2, []byte(more)...)
		}
	}
	return answer, over
}
