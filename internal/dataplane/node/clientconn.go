package node

import (
	"net"
	"time"
)

// clientConn is a client's connection and the state of its current request.
type clientConn struct {
	net.Conn
	input       messageReader
	request     clientRequest
	output      []byte
	badRequests int // consecutive invalid requests

	finalAnswerSent bool // an answer that closes the connection has been written completely

	// The fields below are guarded by the server's mutex.
	state           connState
	stateSince      time.Duration
	hadValidRequest bool // a valid request has arrived
	requestCount    int  // requests accepted for processing

	lastActivity  time.Duration // last arrival of bytes of a request; 0: they were no request, or server.active includes it
	closedByProxy bool          // closed by this proxy while it had no request in progress
}

// connState is what a client connection is doing.
type connState int

const (
	connIdle    connState = iota
	connReading           // part of a request has arrived
	connBusy              // a request is being processed
	connLinger            // the request was rejected; its remaining bytes are discarded
)

// addConnection registers a new connection. At the connection limit it closes another connection to make room, or the new
// one, returning nil, if all others are busy.
func (s *server) addConnection(c net.Conn) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns)-s.closingConns >= s.maxConns && !s.evictOne() {
		c.Close()
		return nil
	}
	cc := &clientConn{Conn: c, stateSince: s.clock.now()}
	if s.managed != nil {
		cc.input.window = bodyWindowBytes
	}
	cc.lastActivity = cc.stateSince
	cc.input.src = c
	s.conns[cc] = struct{}{}
	return cc
}

// ignoreActivity marks the connection's last request as a status request, e.g. for /healthz, which does not count as
// activity: frequent health checks must not keep a proxy from stopping.
func (s *server) ignoreActivity(cc *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cc.lastActivity = 0
}

// removeConnection closes and unregisters a connection.
func (s *server) removeConnection(cc *clientConn) {
	cc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closedByProxy {
		s.closingConns--
	}
	s.lastRequestAt = max(s.lastRequestAt, cc.lastActivity)
	if cc.isUnused(s.clock.now()) {
		s.reuse.record(false)
	}
	delete(s.conns, cc)
}

// shouldCloseAfterAnswer reports whether the connection should be closed after its first answer, because clients rarely
// reuse their connections and few connections are free.
func (s *server) shouldCloseAfterAnswer(cc *clientConn) bool {
	if cc.requestCount != 1 || !s.tuning.Load().CloseUnused { // only this connection's goroutine changes requestCount
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	return s.reuse.shouldClose(now, len(s.conns)-s.closingConns, s.maxConns, func() (n int) {
		for o := range s.conns {
			if o.isUnused(now) {
				n++
			}
		}
		return n
	})
}

// isUnused reports whether the connection has been idle for so long after its first answer that it counts as not reused.
func (cc *clientConn) isUnused(now time.Duration) bool {
	return cc.requestCount == 1 && cc.state == connIdle && now-cc.stateSince >= unusedAfter
}

// evictOne closes one connection that is not busy: preferably one whose request was rejected, then one without a valid
// request so far, then an idle one, and the oldest among equals. It returns false if all connections are busy.
func (s *server) evictOne() bool {
	var victim *clientConn
	rank := func(cc *clientConn) int {
		switch {
		case cc.state == connLinger:
			return 0
		case !cc.hadValidRequest:
			return 1
		}
		return 2
	}
	for cc := range s.conns {
		if cc.state == connBusy || cc.closedByProxy {
			continue
		}
		if victim == nil || rank(cc) < rank(victim) || rank(cc) == rank(victim) && cc.stateSince < victim.stateSince {
			victim = cc
		}
	}
	if victim != nil {
		s.closeConnection(victim)
	}
	return victim != nil
}

// closeConnection starts closing a connection. Under the managed protocol it only ends the pending read, and the reading
// goroutine closes the connection: a request of which something was read is still answered, and one of which nothing was
// read is left for the client to send again.
func (s *server) closeConnection(cc *clientConn) {
	cc.closedByProxy = true
	s.closingConns++
	if s.managed == nil || cc.SetReadDeadline(s.clock.Now()) != nil {
		cc.Close()
	}
}

// setReadTimeout limits the next read to the given time. It leaves the deadline of a connection that is being closed.
func (s *server) setReadTimeout(cc *clientConn, wait time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closedByProxy {
		return nil
	}
	return cc.SetReadDeadline(s.clock.Now().Add(wait))
}

// closeIdle closes the connections that have been idle for at least minIdle, and those whose request has been arriving for
// drainReadTimeout.
func (s *server) closeIdle(minIdle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for cc := range s.conns {
		age := now - cc.stateSince
		if !cc.closedByProxy && (cc.state == connIdle && age >= minIdle || cc.state == connReading && age >= drainReadTimeout) {
			s.closeConnection(cc)
		}
	}
}

// connectionActivity returns the number of open connections and the time since the last request arrived.
func (s *server) connectionActivity() (open int, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastRequestAt
	for cc := range s.conns {
		last = max(last, cc.lastActivity)
	}
	return len(s.conns), s.clock.now() - last
}

// setState records what a connection does from now on.
func (s *server) setState(cc *clientConn, state connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cc.state, cc.stateSince = state, s.clock.now()
	if state == connReading {
		cc.lastActivity = cc.stateSince
	}
}

// beginRequest marks the connection as busy and reports whether its request may be processed. Under the standalone protocol
// a request that arrives while the connection is being closed must not be processed, because its client sends it again.
// Under the managed protocol the connection is still open, and beginRequest reverts the closing.
func (s *server) beginRequest(cc *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closedByProxy {
		if s.managed == nil {
			return false
		}
		cc.closedByProxy = false
		s.closingConns--
	}
	cc.state, cc.hadValidRequest = connBusy, true
	s.lastRequestAt, cc.lastActivity = max(s.lastRequestAt, cc.lastActivity), 0
	if cc.requestCount++; cc.requestCount == 2 {
		s.reuse.record(true)
	}
	return true
}
