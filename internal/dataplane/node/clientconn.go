package node

import (
	"net"
	"time"
)

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in          stream
	req         clientRequest
	out         []byte
	badRequests int // requests that couldn't be used since the last that could

	finalAnswerSent bool // an answer that told the client that it is the connection's last has been written whole

	// Under the server's mutex.
	state           connState
	stateSince      time.Duration
	hadValidRequest bool // a request that could be used has come
	requestCount    int  // requests taken

	lastActivity  time.Duration // when something last came that may be a client's request; 0: it was none, or is counted
	closedByProxy bool          // closed by this edge node while no request was taken on it
}

type connState int

const (
	connIdle    connState = iota
	connReading           // a request has begun to come
	connBusy              // one has been taken and not answered
	connLinger            // turned away
)

// addConnection counts a new connection. Over the bound another is closed for it, or
// itself when all others are busy.
func (s *server) addConnection(c net.Conn) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns)-s.shut >= s.most && !s.evictOne() {
		c.Close()
		return nil
	}
	cc := &clientConn{Conn: c, stateSince: s.clock.now()}
	if s.estate != nil {
		cc.in.window = bodyWindow
	}
	cc.lastActivity = cc.stateSince
	cc.in.src = c
	s.conns[cc] = struct{}{}
	return cc
}

// ignoreActivity tells that what came on a connection was a look at healthz only:
// whoever looks often must not keep an edge node from stopping.
func (s *server) ignoreActivity(cc *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cc.lastActivity = 0
}

func (s *server) removeConnection(cc *clientConn) {
	cc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closedByProxy {
		s.shut--
	}
	s.active = max(s.active, cc.lastActivity)
	if cc.isUnused(s.clock.now()) {
		s.reuse.note(false)
	}
	delete(s.conns, cc)
}

// shouldCloseAfterAnswer tells whether the connection's next answer should be its last,
// since clients leave theirs unused and the room for others is short.
func (s *server) shouldCloseAfterAnswer(cc *clientConn) bool {
	if cc.requestCount != 1 || !s.tune.Load().EndUnused { // took changes on this connection's goroutine alone
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	return s.reuse.over(now, len(s.conns)-s.shut, s.most, func() (n int) {
		for o := range s.conns {
			if o.isUnused(now) {
				n++
			}
		}
		return n
	})
}

// isUnused tells whether the connection has stood since its first answer for
// so long that it counts as one that is not used again.
func (cc *clientConn) isUnused(now time.Duration) bool {
	return cc.requestCount == 1 && cc.state == connIdle && now-cc.stateSince >= churnStood
}

// evictOne closes the connection that is missed least: one that has been turned
// away, one that has brought nothing of use, then one that is idle; the oldest
// first.
func (s *server) evictOne() bool {
	var least *clientConn
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
		if least == nil || rank(cc) < rank(least) || rank(cc) == rank(least) && cc.stateSince < least.stateSince {
			least = cc
		}
	}
	if least != nil {
		s.closeConnection(least)
	}
	return least != nil
}

// closeConnection lets go of a connection. On the system's wire only who reads it closes it: a request of which nothing was read
// by then is the client's to send again, and one that was read is answered.
func (s *server) closeConnection(cc *clientConn) {
	cc.closedByProxy = true
	s.shut++
	if s.estate == nil || cc.SetReadDeadline(s.clock.Now()) != nil {
		cc.Close()
	}
}

// setReadTimeout sets how long the next read may wait. One on a connection that was let go of may not.
func (s *server) setReadTimeout(cc *clientConn, wait time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closedByProxy {
		return nil
	}
	return cc.SetReadDeadline(s.clock.Now().Add(wait))
}

// closeIdle closes the connections that have been idle for so long, and those
// whose requests don't come to an end.
func (s *server) closeIdle(least time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for cc := range s.conns {
		age := now - cc.stateSince
		if !cc.closedByProxy && (cc.state == connIdle && age >= least || cc.state == connReading && age >= drainReadTimeout) {
			s.closeConnection(cc)
		}
	}
}

// connectionActivity tells how many connections are open and how long ago a request came.
func (s *server) connectionActivity() (open int, quiet time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.active
	for cc := range s.conns {
		last = max(last, cc.lastActivity)
	}
	return len(s.conns), s.clock.now() - last
}

// setState notes what a connection does now.
func (s *server) setState(cc *clientConn, state connState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cc.state, cc.stateSince = state, s.clock.now()
	if state == connReading {
		cc.lastActivity = cc.stateSince
	}
}

// beginRequest marks the request's connection as busy if it is still open on this
// side. A request that crossed the closing of its connection is sent again by
// the client, so it must not be worked on here. On the system's wire it is open
// still, and so stays.
func (s *server) beginRequest(cc *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cc.closedByProxy {
		if s.estate == nil {
			return false
		}
		cc.closedByProxy = false
		s.shut--
	}
	cc.state, cc.hadValidRequest = connBusy, true
	s.active, cc.lastActivity = max(s.active, cc.lastActivity), 0
	if cc.requestCount++; cc.requestCount == 2 {
		s.reuse.note(true)
	}
	return true
}
