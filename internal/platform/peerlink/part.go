package peerlink

import (
	"cmp"
	"slices"
	"time"
)

// warmSlack is by how much the ends of one cold time may differ untold.
const warmSlack = 300 * time.Millisecond

// walk goes through two lists in the order of their keys; what only one of them has comes with nil for the other.
func walk[T any](old, now []T, key func(*T) string, each func(old, now *T)) {
	for len(old) > 0 || len(now) > 0 {
		c := 0
		switch {
		case len(old) == 0:
			c = 1
		case len(now) == 0:
			c = -1
		default:
			c = cmp.Compare(key(&old[0]), key(&now[0]))
		}
		switch {
		case c < 0:
			each(&old[0], nil)
			old = old[1:]
		case c > 0:
			each(nil, &now[0])
			now = now[1:]
		default:
			each(&old[0], &now[0])
			old, now = old[1:], now[1:]
		}
	}
}

func serverKey(s *Server) string { return s.ID }
func memberKey(m *Member) string { return m.Hello.Name }

// Since is what one who holds an older whole has to be told of this one: nil where nothing has changed. That a
// server's cold time passes is no change.
func (s *Servers) Since(old *Servers) *Servers {
	if old == nil {
		return s
	}
	passed := time.Duration(s.Stamp - old.Stamp)
	p := &Servers{Stamp: s.Stamp, By: s.By, Part: true}
	walk(old.List, s.List, serverKey, func(x, y *Server) {
		switch {
		case y == nil:
			p.Gone = append(p.Gone, x.ID)
		case x == nil || x.differs(y, passed):
			p.List = append(p.List, *y)
		}
	})
	if p.List == nil && p.Gone == nil {
		return nil
	}
	return p
}

// differs tells whether y, so much later, has to be told to one who knows x.
func (x *Server) differs(y *Server, passed time.Duration) bool {
	left := x.left(passed)
	if y.WarmLeft > 0 && left == 0 || y.WarmLeft > left+warmSlack || y.WarmLeft <= 0 && left > warmSlack {
		return true
	}
	a, b := *x, *y
	a.WarmLeft, b.WarmLeft = 0, 0
	return a != b
}

func (x *Server) left(passed time.Duration) time.Duration { return max(0, x.WarmLeft-max(0, passed)) }

// Onto is the whole that an older one becomes; a part without one is nil.
func (s *Servers) Onto(old *Servers) *Servers {
	if !s.Part {
		return s
	}
	if old == nil {
		return nil
	}
	passed := time.Duration(s.Stamp - old.Stamp)
	all := &Servers{Stamp: s.Stamp, By: s.By, List: make([]Server, 0, len(old.List)+len(s.List))}
	walk(old.List, s.List, serverKey, func(x, y *Server) {
		if y != nil {
			all.List = append(all.List, *y)
		} else if _, gone := slices.BinarySearch(s.Gone, x.ID); !gone {
			kept := *x
			kept.WarmLeft = x.left(passed)
			all.List = append(all.List, kept)
		}
	})
	return all
}

// Since is what one who holds an older whole has to be told of this one: nil where nothing has changed.
func (c *Census) Since(old *Census) *Census {
	if old == nil {
		return c
	}
	p := &Census{Part: true, Shares: c.Shares}
	if !slices.Equal(c.Replicas, old.Replicas) {
		p.Replicas = c.Replicas
	}
	walk(old.Proxies, c.Proxies, memberKey, func(x, y *Member) {
		switch {
		case y == nil:
			p.Gone = append(p.Gone, x.Hello.Name)
		case x == nil || *x != *y:
			p.Proxies = append(p.Proxies, *y)
		}
	})
	if p.Replicas == nil && p.Proxies == nil && p.Gone == nil && c.Shares == old.Shares {
		return nil
	}
	return p
}

// Onto is the whole that an older one becomes; a part without one is nil.
func (c *Census) Onto(old *Census) *Census {
	if !c.Part {
		return c
	}
	if old == nil {
		return nil
	}
	all := &Census{Replicas: c.Replicas, Shares: c.Shares, Proxies: make([]Member, 0, len(old.Proxies)+len(c.Proxies))}
	if c.Replicas == nil {
		all.Replicas = old.Replicas
	}
	walk(old.Proxies, c.Proxies, memberKey, func(x, y *Member) {
		if y != nil {
			all.Proxies = append(all.Proxies, *y)
		} else if _, gone := slices.BinarySearch(c.Gone, x.Hello.Name); !gone {
			all.Proxies = append(all.Proxies, *x)
		}
	})
	return all
}
