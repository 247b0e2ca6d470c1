package node

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

const (
	defaultFirstRequestTimeout = 2 * time.Second  // from the connect to the end of the first request
	defaultRequestTimeout      = 2 * time.Second  // from a later request's first byte to its last
	defaultClientIdleTimeout   = 10 * time.Second // between requests
	defaultClientWriteTimeout  = 5 * time.Second
	acceptPause                = 5 * time.Millisecond
)

// server accepts clients' connections, reads their requests, hands them to the loop, carries out the loop's commands
// and writes one answer per request.
type server struct {
	clock    clock
	settings policy.Settings
	upstream *upstream
	events   chan<- any
	ready    atomic.Bool
	draining atomic.Bool
	resting  atomic.Bool // managed protocol: control has ordered this proxy to rest
	tuning   atomic.Pointer[Tuning]

	mu            sync.Mutex
	maxConns      int // limit on open connections
	conns         map[*clientConn]struct{}
	closingConns  int           // connections in conns that this proxy has closed but not yet removed
	lastRequestAt time.Duration // when the last request arrived
	reuse         reuseStats

	bookReader      bookReader
	watch           *fleetWatch    // nil: this proxy keeps no view of the fleet
	managed         *managedState  // nil: clients speak the standalone protocol
	counts          trafficCounter // managed protocol only
	onRequestFailed func(id string, why verdict.Verdict)
	loopStopped     <-chan struct{} // managed protocol: closed when the loop has ended
}

// newServer creates a server that keeps at most the given number of connections open.
func newServer(c clock, settings policy.Settings, up *upstream, events chan<- any, maxConns int) *server {
	s := &server{clock: c, settings: settings, upstream: up, events: events, maxConns: maxConns, conns: map[*clientConn]struct{}{}}
	def := DefaultTuning()
	s.tuning.Store(&def)
	return s
}

// serve accepts connections until the listener is closed.
func (s *server) serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		switch {
		case err == nil:
			if cc := s.addConnection(c); cc != nil {
				go s.serveConnection(cc)
			}
		case errors.Is(err, net.ErrClosed):
			return nil
		case canKeepAccepting(err):
			s.mu.Lock()
			s.evictOne()
			s.mu.Unlock()
			world.Pause(s.clock, acceptPause)
		default:
			return err
		}
	}
}

// canKeepAccepting reports whether a failed accept was temporary: descriptors or memory are short, or the connection
// broke before it was accepted.
func canKeepAccepting(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
		syscall.EINTR, syscall.EPROTO} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// serveConnection handles the requests of a connection one after another.
func (s *server) serveConnection(cc *clientConn) {
	defer s.removeConnection(cc)
	for first := true; ; first = false {
		cc.input.startMessage()
		tune := s.tuning.Load()
		idleTimeout, requestTimeout := tune.ClientIdle, tune.WholeRequest
		// Under the managed protocol a connection may be idle before its first request.
		if first && s.managed == nil {
			idleTimeout, requestTimeout = tune.FirstRequest, 0 // counted from the connect
		} else if first {
			requestTimeout = tune.FirstRequest
		}
		if cc.input.buffered() == 0 {
			if s.setReadTimeout(cc, idleTimeout) != nil || cc.input.fill() != nil {
				return // idle for too long, or closed by the client
			}
		}
		s.setState(cc, connReading)
		if s.managed != nil {
			cc.input.maxHead, cc.input.maxBody = s.managed.messageLimits()
		}
		if requestTimeout > 0 && s.setReadTimeout(cc, requestTimeout) != nil {
			return
		}
		if err := cc.readRequest(); err != nil {
			if status := statusForReadError(err); status != 0 {
				answer := unsentAnswer(status, 0, err.Error())
				s.rejectAndClose(cc, answer.Status(), answer.Fields(), answer.Text())
			}
			return
		}
		if !s.handle(cc) {
			return
		}
		s.setState(cc, connIdle)
	}
}

// handle answers a request that was read and reports whether the connection can go on.
func (s *server) handle(cc *clientConn) bool {
	r := &cc.request
	if s.managed != nil {
		return s.serveManaged(cc)
	}
	if targetPath(r.target) == "/healthz" && string(r.method) == "GET" {
		s.ignoreActivity(cc)
		if !s.ready.Load() || s.draining.Load() {
			return s.reply(cc, 503, s.tuning.Load().healthFields(), "not ready")
		}
		return s.reply(cc, 200, s.tuning.Load().healthFields(), "")
	}
	if s.watch != nil && targetPath(r.target) == ViewPath && string(r.method) == "GET" {
		s.ignoreActivity(cc)
		if v := s.watch.status.Load(); v != nil {
			return s.reply(cc, 200, "Content-Type: application/json\r\n", *v)
		}
		return s.reply(cc, 503, "", "no view yet")
	}
	c, err := s.readRequest(r)
	if err != nil {
		return s.rejectInvalid(cc, err)
	}
	if !s.beginRequest(cc) {
		return false
	}
	c.conn = cc.Conn
	s.events <- c
	for cmd := range c.commands {
		if cmd.attempt == nil {
			return s.answerUnserved(cc, cmd)
		}
		res := s.upstream.do(cmd.attempt, r)
		s.events <- outcome{c, cmd.attempt, res}
		if res.End == verdict.Served {
			cc.badRequests = 0
			fields := ""
			if len(res.contentType) > 0 {
				fields = "Content-Type: " + res.contentType + "\r\n"
			}
			fields += r.bookFields()
			return s.reply(cc, 200, fields, res.body)
		}
	}
	return false
}
