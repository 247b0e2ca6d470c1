package standin

import (
	"net"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/audit"
)

// Outside is the world that the stand-ins live in.
type Outside interface {
	world.Clock
	world.Network
}

// Notary takes in what the stand-ins see. An *audit.Ledger is one.
type Notary interface{ Note(audit.Event) }

// Nobody is a Notary for tests that want none.
type Nobody struct{}

// Note drops the event.
func (Nobody) Note(audit.Event) {}

// Site holds what the stand-ins of one installation share: the racks' memory
// for keys and the attempts that are out.
type Site struct {
	world  Outside
	notary Notary

	mu    sync.Mutex
	racks map[string]*rack
	out   map[string][]*attempt // by request
}

// rack remembers the keys that its loan servers have begun on.
type rack struct {
	window time.Duration
	keys   map[string]time.Time // when each was first begun
	swept  time.Time
}

// attempt is a request that has come whole to a loan server.
type attempt struct {
	request string
	server  string
	conn    net.Conn
}

// NewSite begins an installation whose racks remember keys for a window.
func NewSite(w Outside, n Notary) *Site {
	return &Site{world: w, notary: n, racks: map[string]*rack{}, out: map[string][]*attempt{}}
}

// claim takes a key for a rack; it is false when the rack knows it.
func (s *Site) claim(name, key string, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.Now()
	r := s.racks[name]
	if r == nil {
		r = &rack{keys: map[string]time.Time{}, swept: now}
		s.racks[name] = r
	}
	if now.Sub(r.swept) > window {
		for k, t := range r.keys {
			if now.Sub(t) > window {
				delete(r.keys, k)
			}
		}
		r.swept = now
	}
	if t, known := r.keys[key]; known && now.Sub(t) <= window {
		return false
	}
	r.keys[key] = now
	return true
}

// began notes an attempt that has come whole. Earlier ones of the same request
// whose connection has ended meanwhile are ended first: their servers may not
// have looked yet. One whose own connection has ended is over as it comes.
func (s *Site) began(a *attempt, ev audit.Sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range append([]*attempt(nil), s.out[a.request]...) {
		if hungUp(e.conn) {
			s.end(e)
		}
	}
	ev.Crossed = hungUp(a.conn)
	s.out[a.request] = append(s.out[a.request], a)
	s.notary.Note(ev)
	if ev.Crossed {
		s.end(a)
	}
}

// over notes that an attempt is no longer out.
func (s *Site) over(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(a)
}

func (s *Site) end(a *attempt) {
	list := s.out[a.request]
	for i, e := range list {
		if e != a {
			continue
		}
		s.notary.Note(audit.Ended{Request: a.request, Server: a.server})
		if list = append(list[:i:i], list[i+1:]...); len(list) > 0 {
			s.out[a.request] = list
		} else {
			delete(s.out, a.request)
		}
		return
	}
}

// hungUp tells whether the other side has ended its sending or reset the
// connection. It neither reads nor waits. A connection of a network in memory
// may know more than has arrived.
func hungUp(c net.Conn) bool {
	if p, ok := c.(interface{ PeerClosed() bool }); ok && p.PeerClosed() {
		return true
	}
	return world.Peek(c) == world.PeekEnd
}

// reset ends a connection so that the other side sees it as broken.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
