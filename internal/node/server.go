package node

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"yardcleat.example/yardcleat/internal/wire"
	"yardcleat.example/yardcleat/policy"
)

const (
	mostBody      = 64 << 10
	mostDeadline  = time.Hour
	mostHeader    = 16 << 10
	readTimeout   = 5 * time.Second // for a whole request; the longest deadline is less
	writeTimeout  = 10 * time.Second
	clientIdle    = 2 * time.Minute
	customerDigit = 16
)

// server is the clients' side: it reads their requests, hands them to the
// loop, carries out what the loop commands and writes the one answer.
type server struct {
	clock    clock
	settings policy.Settings
	up       *upstream
	events   chan<- any
	ready    atomic.Bool
	draining atomic.Bool
	http     fasthttp.Server

	mu     sync.Mutex
	most   int // connections kept open at once
	conns  map[net.Conn]*clientConn
	shut   int           // of them, closed here and not yet let go
	active time.Duration // when a request last came
}

// clientConn is a client's connection.
type clientConn struct {
	state connState
	since time.Duration
	shut  bool // closed by this edge node while no request was taken on it
}

type connState int

const (
	connIdle    connState = iota
	connReading           // a request has begun to come
	connBusy              // one has been taken and not answered
)

// newServer serves at most so many connections at once.
func newServer(c clock, set policy.Settings, up *upstream, events chan<- any, most int) *server {
	s := &server{clock: c, settings: set, up: up, events: events, most: most, conns: map[net.Conn]*clientConn{}}
	s.http = fasthttp.Server{
		Handler: s.handle, ConnState: s.connState, Concurrency: most + most/8,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: clientIdle,
		MaxRequestBodySize: mostBody, ReadBufferSize: mostHeader, NoDefaultServerHeader: true, NoDefaultDate: true,
		DisablePreParseMultipartForm: true, Logger: quietLogger{},
	}
	return s
}

// quietLogger drops fasthttp's line per broken connection.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// connState keeps count of the connections. Over the bound it closes the one
// that has had no request taken for longest: it is idle, or its request is slow
// to come.
func (s *server) connState(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	switch state {
	case fasthttp.StateNew:
		s.active = now
		if len(s.conns)-s.shut >= s.most {
			s.shutOldest()
		}
		s.conns[c] = &clientConn{since: now}
	case fasthttp.StateActive:
		s.active = now
		if cc := s.conns[c]; cc != nil {
			cc.state, cc.since = connReading, now
		}
	case fasthttp.StateIdle:
		if cc := s.conns[c]; cc != nil {
			cc.state, cc.since = connIdle, now
		}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		if cc := s.conns[c]; cc != nil && cc.shut {
			s.shut--
		}
		delete(s.conns, c)
	}
}

func (s *server) shutOldest() {
	var conn net.Conn
	var oldest *clientConn
	for c, cc := range s.conns {
		if cc.state != connBusy && !cc.shut && (oldest == nil || cc.since < oldest.since) {
			conn, oldest = c, cc
		}
	}
	if oldest != nil {
		s.close(conn, oldest)
	}
}

func (s *server) close(c net.Conn, cc *clientConn) {
	cc.shut = true
	s.shut++
	c.Close()
}

// shutIdle closes the connections that have been idle for so long, and those
// whose requests don't come to an end.
func (s *server) shutIdle(least time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for c, cc := range s.conns {
		age := now - cc.since
		if !cc.shut && (cc.state == connIdle && age >= least || cc.state == connReading && age >= stopReading) {
			s.close(c, cc)
		}
	}
}

// state tells how many connections are open and how long ago a request came.
func (s *server) state() (open int, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.clock.now() - s.active
}

// crowded tells whether more connections are open than are kept.
func (s *server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)-s.shut > s.most
}

// take marks the request's connection as busy if it is still open on this
// side. A request that crossed the closing of its connection is sent again by
// the client, so it must not be worked on here.
func (s *server) take(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cc := s.conns[c]
	if cc == nil || cc.shut {
		return false
	}
	cc.state = connBusy
	return true
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	// At the end, since an error answer starts from an empty one.
	defer func() {
		if s.draining.Load() || s.crowded() {
			ctx.SetConnectionClose()
		}
	}()
	if string(ctx.Path()) == "/healthz" {
		if !s.ready.Load() || s.draining.Load() {
			ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		}
		return
	}
	if !s.take(ctx.Conn()) {
		ctx.Error("closed", fasthttp.StatusServiceUnavailable)
		return
	}
	c, err := s.parse(&ctx.Request)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	c.conn = ctx.Conn()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	s.events <- c
	for cmd := range c.cmd {
		if cmd.attempt == nil {
			s.final(ctx, cmd)
			return
		}
		resp.Reset()
		r := s.up.do(cmd.attempt, &ctx.Request, resp)
		s.events <- outcome{c, cmd.attempt, r}
		if r.code == policy.OK {
			ctx.SetContentTypeBytes(resp.Header.ContentType())
			ctx.SetBody(resp.Body())
			return
		}
	}
}

// final writes the answer to what was not served.
func (s *server) final(ctx *fasthttp.RequestCtx, cmd command) {
	if !cmd.refuse {
		ctx.Error("failed", fasthttp.StatusBadGateway)
		return
	}
	ctx.Error("refused", fasthttp.StatusTooManyRequests)
	if cmd.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(cmd.retryAfter.Seconds(), 'f', -1, 64))
	}
}

// parse reads a client's request. Its errors go to the client.
func (s *server) parse(req *fasthttp.Request) (*call, error) {
	h := &req.Header
	c := &call{arrived: s.clock.now(), cmd: make(chan command, 1)}
	if id := h.Peek("X-Request-Id"); len(id) == 0 || len(id) > 64 {
		return nil, errors.New("X-Request-Id: missing or too long")
	}
	c.Class = wire.Word(string(h.Peek("X-Class")))
	for i := range s.settings.Classes {
		if s.settings.Classes[i].Name == c.Class {
			c.class = &s.settings.Classes[i]
		}
	}
	if c.class == nil {
		return nil, fmt.Errorf("X-Class: unknown class %q", c.Class)
	}
	if c.class.Effect == policy.Keyed && len(h.Peek("Idempotency-Key")) == 0 {
		return nil, errors.New("Idempotency-Key: missing")
	}
	c.Plan = wire.Word(string(h.Peek("X-Tier")))
	known := false
	for i := range s.settings.Plans {
		known = known || s.settings.Plans[i].Name == c.Plan
	}
	if !known {
		return nil, fmt.Errorf("X-Tier: unknown plan %q", c.Plan)
	}
	c.Customer = string(h.Cookie("key"))
	if _, err := strconv.ParseUint(c.Customer, 16, 64); err != nil || len(c.Customer) != customerDigit {
		return nil, errors.New("cookie key: not 16 hexadecimal digits")
	}
	ms, err := strconv.ParseInt(string(h.Peek("X-Deadline-Ms")), 10, 64)
	if err != nil || ms < 0 || ms > mostDeadline.Milliseconds() {
		return nil, errors.New("X-Deadline-Ms: not whole milliseconds of an hour at most")
	}
	c.budget = time.Duration(ms) * time.Millisecond
	c.Retry = string(h.Peek("X-Retry")) == "1"
	return c, s.terms(&c.Request, string(h.Peek("X-Call-Terms")))
}

// terms reads the units that a request takes and the customer's set.
func (s *server) terms(r *policy.Request, text string) error {
	r.Units, r.Spread = 1, s.settings.Gateways
	if text == "" {
		return nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("X-Call-Terms: %s is no number", k)
		}
		ok := true
		switch k {
		case "units":
			ok = x > 0 && x <= max(s.settings.LargestUnits, 1)
			r.Units = x
		case "spread":
			ok = x >= 1 && x <= float64(s.settings.Gateways)
			r.Spread = int(x)
		case "first":
			ok = x >= 0 && x < float64(s.settings.Gateways)
			r.First = int(x)
		}
		if !ok {
			return fmt.Errorf("X-Call-Terms: %s is out of range", k)
		}
	}
	return nil
}
