package emulator

import (
	"slices"
	"time"
)

// What measurements look at.

// InForce is the version by which a node's proxy serves; 0: none, or it does not run.
func (n *Node) InForce() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.runs[Proxy]; r != nil {
		return int(r.inForce())
	}
	return 0
}

// Named tells whether a core machine's dir names a proxy to clients of any zone.
func (c *Clients) Named(core, proxy *Node) bool {
	return slices.ContainsFunc(c.crowds, func(w *crowd) bool {
		l := w.lookupAt(core)
		return l != nil && slices.Contains(l.AddrList, proxy.Front())
	})
}

// LastAt is when the last request came to any of some servers; zero: none did.
func (b *Book) LastAt(since time.Time, is func(s *Server) bool) (last time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.all) - 1; i >= 0 && b.all[i].Sent.After(since); i-- {
		for _, a := range b.all[i].Arrivals {
			if a.At.After(last) && is(a.Server) {
				last = a.At
			}
		}
	}
	return last
}

// Shown is when the platform's list shows the server as draining.
func (s *Server) Shown() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shown
}

// Gone is when the server ended; zero: it has not.
func (s *Server) Gone() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}
