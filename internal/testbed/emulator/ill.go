package emulator

import (
	"bufio"
	"net"
	"time"
)

// Ways in which a server is ill that its health answer and the platform's list say nothing of.

// Grey has it fail a share of its requests: with a 500, or reset after the work.
func (s *Server) Grey(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grey = share
}

// Forgetful has a share of the requests that may run once end without an answer, after the work; others it serves well.
func (s *Server) Forgetful(share float64) { s.ForgetfulTo(share, nil) }

// ForgetfulTo is Forgetful for some tenants and callers' addresses only; nil: for all.
func (s *Server) ForgetfulTo(share float64, to func(tenant, ip string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.once, s.onceTo = share, to
}

// Lie has its health answer say the reverse.
func (s *Server) Lie(lies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lies = lies
}

// Slow has its work take so many times as long as before.
func (s *Server) Slow(times float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace *= times
}

// Forget has it forget connections that stood idle for so long, without a word; 0: as usual, it closes them after a
// time. What comes on one that is forgotten is met by a reset.
func (s *Server) Forget(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgets = idle
}

// Flap has it go down and up by turns, at its own address.
func (s *Server) Flap(turns int, down, up time.Duration) {
	for range turns {
		s.Crash()
		s.o.Pause(s.o.Operator.process, down)
		s = s.o.Reuse(s, s.Service)
		s.o.Pause(s.o.Operator.process, up)
	}
}

// forgot waits for the next request, and tells whether the connection is not known any more when it comes.
func (s *Server) forgot(c net.Conn, in *bufio.Reader) bool {
	idle := time.Now()
	if _, err := in.Peek(1); err != nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forgets == 0 || time.Since(idle) < s.forgets {
		return false
	}
	_ = c.(interface{ SetLinger(int) error }).SetLinger(0)
	return true
}

// loses tells whether the answer to a request is not to come.
func (s *Server) loses(v *visit) bool {
	s.mu.Lock()
	share, to := s.once, s.onceTo
	s.mu.Unlock()
	if ip, _, err := net.SplitHostPort(v.c.RemoteAddr().String()); to != nil && (err != nil || !to(v.arrival.Tenant, ip)) {
		return false
	}
	return share > 0 && s.o.Book.kind(v.id) == "mutating" && s.o.chance() < share
}
