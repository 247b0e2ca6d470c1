package policy

// Which server an attempt goes to.

import (
	"math"
	"slices"
	"time"
)

// coldness is the least share of its capacity a server surely has.
func (g *Gateway) coldness(s *server) float64 {
	if g.now < s.ColdUntil {
		return g.set.Field.ColdPart
	}
	if !s.HasStart || g.set.WarmWithin <= 0 || g.set.ColdShare <= 0 {
		return 1
	}
	age := float64(g.now-s.Start) / float64(g.set.WarmWithin)
	return min(1, g.set.ColdShare+(1-g.set.ColdShare)*max(age, 0))
}

// load is the attempts out at a server: own, and the peers' as last reported.
func (g *Gateway) load(s *server) float64 {
	return float64(s.out) + max(s.heard, g.otherLoad(s))
}

// predict is the latency in seconds expected of a server for a class.
func (g *Gateway) predict(s *server, cl *class) float64 {
	return cl.mean * s.slow * g.stretch(s, g.load(s)) / g.coldness(s)
}

// stretch is what so many attempts out at a server make of its latency.
func (g *Gateway) stretch(s *server, load float64) float64 {
	if s.Slots == 0 {
		return 1 + queueWeight*load/g.sizeOf(s)
	}
	slots := float64(s.Slots)
	return 1 + crowded*min(1, load/slots) + max(0, load+1-slots)/slots
}

// full tells whether a server has all the work it can turn round in time: the wait there would pass a share
// of the shortest aim. Beyond that requests are held here, where they can still go elsewhere or be refused.
func (g *Gateway) full(s *server) bool {
	load := g.load(s) / g.sizeOf(s)
	return load >= leastOut && g.mean*s.slow/g.coldness(s)*queueWeight*load > waitAim*g.minAim
}

// packed tells whether a server with slots has all the work it can turn round in a request's time.
func (g *Gateway) packed(s *server, r *request) bool {
	serve, aim := r.cl.mean*s.slow, r.cl.Aim.Seconds()
	wait := max(0, g.load(s)+1-float64(s.Slots)) / float64(s.Slots) * serve
	if wait+serve > aim-(g.now-r.arrived+r.spent).Seconds() {
		return wait > lateAim*aim // it will be late: others would be, too, if they had to wait for it
	}
	return wait > queueAim*aim
}

// serves tells whether a server is one for the request: of its service, inside its homes.
func (s *server) serves(r *request) bool {
	return s.Service == r.service && (len(r.homes) == 0 || slices.Contains(r.homes, s.Region))
}

// usable tells whether a request may go to a server at all: running, not ejected (but for a trial),
// inside its group and window once it may have run, and inside the budget of a cold server.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || !s.serves(r) || !g.bears(s) ||
		g.now < max(s.fullTill, s.fullAt[r.c.plan]) ||
		r.ran && r.effect == Keyed && (g.now-r.ranAt >= r.cl.Window || !r.sameGroup(s)) {
		return false
	}
	if cold := g.coldness(s); cold < 1 && g.set.Field == nil {
		// A budget for every window, shared by all gateways: what warm servers
		// bear, times the share of capacity the server surely has.
		s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool { return g.now-t > g.set.FallTime })
		warm := g.sendRate / max(1, float64(g.live))
		if float64(len(s.sends)) >= max(1, warm*cold*g.set.FallMultiple*coldSafety) {
			return false
		}
	}
	return true
}

// coldSends is how many sends a second to a cold server are this gateway's. Few gateways own each, so that
// each has whole sends; all parts together stay under what the server bears, heard or not.
func (g *Gateway) coldSends(m Server) int {
	if m.ColdSends <= 0 {
		return 0
	}
	most := m.ColdSends * coldKeep
	owners := max(1, min(g.shares(), int(most/coldLeast)))
	rank, mine := 0, mixed(uint32(m.ID), uint32(g.set.Me))
	for i := range g.set.Gateways {
		if g.gone(g.peer(i)) {
			continue // this one, or none has the number
		} else if v := mixed(uint32(m.ID), uint32(i)); v > mine || v == mine && i < g.set.Me {
			rank++
		}
	}
	if rank >= owners || g.barren {
		return 0
	}
	return int(most) / owners
}

// bears tells whether a cold server's budget here has room for one more send.
func (g *Gateway) bears(s *server) bool {
	if g.now >= s.ColdUntil {
		return true
	}
	s.sends = slices.DeleteFunc(s.sends,
		func(t time.Duration) bool { return g.now-t > g.set.Field.ColdSpan })
	return len(s.sends) < s.colds
}

// pick chooses a server, or nil when none has room. Those out of use for the class are left out
// while they are not too many; a watcher tries them now and then. A small fleet's gateway takes the
// best of a few random ones by predicted latency and zone price.
func (g *Gateway) pick(r *request) *server {
	var ok, doubted []*server
	for _, s := range g.fleet {
		if s == r.last || !g.usable(s, r) || !s.trusted(r) {
			continue
		}
		if s.trust.Try && s.tries(r) {
			s.trust.Try = false // one trial, wherever else there is room
			return s
		}
		if v := g.record(s, r.cl); v != nil && v.bad && g.now < v.until {
			// Its watcher alone tries a server that is out of use.
			if s.watchers[0] == g.set.Me && g.now >= v.trial && g.mayTry(r) {
				v.wait = min(2*v.wait+trialEvery, trialMost)
				v.trial = g.now + v.wait
				return s
			}
			doubted = append(doubted, s)
			continue
		}
		ok = append(ok, s)
	}
	if float64(len(doubted)) > mostOut*float64(len(ok)+len(doubted)) {
		ok = append(ok, doubted...)
	}
	if g.tree {
		return g.draw(ok)
	} else if g.set.Field != nil {
		return g.choose(ok, r)
	}
	var best *server
	low := math.Inf(1)
	for k := 0; k < choices && len(ok) > 0; {
		i := g.rng.IntN(len(ok))
		s := ok[i]
		ok = slices.Delete(ok, i, i+1)
		if g.full(s) {
			continue
		}
		p := g.predict(s, r.cl) * (1 - jitter/2 + jitter*g.rng.Float64())
		k++
		if s.Zone != g.set.Zone {
			p += r.cl.mean * g.set.CrossZoneCost * zonePrice
		}
		if p < low {
			best, low = s, p
		}
	}
	return best
}

// choose takes the server of the least predicted latency, the way there counted.
func (g *Gateway) choose(ok []*server, r *request) *server {
	var best *server
	low := math.Inf(1)
	for _, s := range ok {
		if g.packed(s, r) {
			continue
		}
		p := (g.predict(s, r.cl) + s.Far.Seconds()) * (1 - jitter/2 + jitter*g.rng.Float64())
		if s.trust.Level == Doubted && r.effect != Safe {
			p += doubtedCost
		}
		if len(r.homes) == 0 && g.now < s.lackedTill {
			p += lackedAim * r.cl.Aim.Seconds() // others can go nowhere else
		}
		if p < low {
			best, low = s, p
		}
	}
	for _, s := range ok {
		if best == nil && len(r.homes) > 0 {
			s.lackedTill = g.now + toldSpan
		}
	}
	return best
}

// draw chooses a server by its share of the fleet's capacity. A large fleet's gateways don't see the load
// there; were each to take the best of a few, all would crowd onto the same servers. However slow the warm
// ones are, a cold one gets the part of an even share that it surely bears; what is left over waits.
func (g *Gateway) draw(ok []*server) *server {
	all, parts, least := 0.0, 0.0, 0.0
	for _, s := range ok {
		s.weight = s.part * g.sizeOf(s) / max(s.slow, 1) / float64(1+s.out) * g.coldness(s)
		if s.Zone != g.set.Zone {
			s.weight *= otherZone
		}
		all, parts = all+s.weight, parts+s.part
	}
	for _, s := range ok {
		if cold := g.coldness(s); cold < 1 {
			s.weight = min(s.weight, cold*s.part*all/parts)
			least = max(least, s.weight*parts/(s.part*cold*coldSafety*max(1, g.set.FallMultiple)))
		}
	}
	return g.byWeight(ok, least)
}

// prefer sets a server's part in this gateway's draws. A large fleet's gateways go mostly to a few
// servers each, so that connections are used again; all together go to each server alike.
func (g *Gateway) prefer(s *server) {
	n, by, mine := float64(g.set.Gateways), 0.0, false
	for i := range g.set.Gateways {
		if g.tree && mixed(uint32(s.ID), uint32(i))*float64(g.live) < familiar {
			by, mine = by+1, mine || i == g.set.Me
		}
	}
	switch {
	case by == 0 || by == n:
		s.part = 1
	case mine:
		s.part = (1 - strange) * n / by
	default:
		s.part = strange * n / (n - by)
	}
}
