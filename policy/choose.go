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
		return g.cfg.MultiService.ColdShare
	}
	if !s.HasStartTime || g.cfg.WarmupTime <= 0 || g.cfg.MinColdShare <= 0 {
		return 1
	}
	age := float64(g.now-s.StartTime) / float64(g.cfg.WarmupTime)
	return min(1, g.cfg.MinColdShare+(1-g.cfg.MinColdShare)*max(age, 0))
}

// load is the attempts out at a server: own, and the peers' as last reported.
func (g *Gateway) load(s *server) float64 {
	return float64(s.inFlight) + max(s.peerInFlight, g.otherLoad(s))
}

// predict is the latency in seconds expected of a server for a class.
func (g *Gateway) predict(s *server, cl *class) float64 {
	return cl.mean * s.slowdown * g.stretch(s, g.load(s)) / g.coldness(s)
}

// stretch is what so many attempts out at a server make of its latency.
func (g *Gateway) stretch(s *server, load float64) float64 {
	if s.Slots == 0 {
		return 1 + queueWeight*load/g.relativeSize(s)
	}
	slots := float64(s.Slots)
	return 1 + crowded*min(1, load/slots) + max(0, load+1-slots)/slots
}

// full tells whether a server has all the work it can turn round in time: the wait there would pass a share
// of the shortest aim. Beyond that requests are held here, where they can still go elsewhere or be refused.
func (g *Gateway) full(s *server) bool {
	load := g.load(s) / g.relativeSize(s)
	return load >= leastOut && g.meanLatency*s.slowdown/g.coldness(s)*queueWeight*load > waitAim*g.minTarget
}

// packed tells whether a server with slots has all the work it can turn round in a request's time.
func (g *Gateway) packed(s *server, r *request) bool {
	serve, aim := r.class.mean*s.slowdown, r.class.LatencyTarget.Seconds()
	wait := max(0, g.load(s)+1-float64(s.Slots)) / float64(s.Slots) * serve
	if wait+serve > aim-(g.now-r.arrivedAt+r.waitedBefore).Seconds() {
		return wait > lateAim*aim // it will be late: others would be, too, if they had to wait for it
	}
	return wait > queueAim*aim
}

// serves tells whether a server is one for the request: of its service, inside its homes.
func (s *server) serves(r *request) bool {
	return s.Service == r.service && (len(r.regions) == 0 || slices.Contains(r.regions, s.Region))
}

// usable tells whether a request may go to a server at all: running, not ejected (but for a trial),
// inside its group and window once it may have run, and inside the budget of a cold server.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || !s.serves(r) || !g.bears(s) ||
		g.now < max(s.fullUntil, s.planFull[r.customer.plan]) ||
		r.mayHaveRun && r.effect == Keyed && (g.now-r.ranAt >= r.class.DedupWindow || !r.inDedupScope(s)) {
		return false
	}
	if cold := g.coldness(s); cold < 1 && g.cfg.MultiService == nil {
		// A budget for every window, shared by all gateways: what warm servers
		// bear, times the share of capacity the server surely has.
		s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool { return g.now-t > g.cfg.FailTime })
		warm := g.recentSends / max(1, float64(g.runningServers))
		if float64(len(s.sends)) >= max(1, warm*cold*g.cfg.FailFactor*coldSafety) {
			return false
		}
	}
	return true
}

// coldSends is how many sends a second to a cold server are this gateway's. Few gateways own each, so that
// each has whole sends; all parts together stay under what the server bears, heard or not.
func (g *Gateway) coldSends(m Server) int {
	if m.ColdSendRate <= 0 {
		return 0
	}
	most := m.ColdSendRate * coldKeep
	owners := max(1, min(g.shares(), int(most/coldLeast)))
	rank, mine := 0, mixed(uint32(m.ID), uint32(g.cfg.Me))
	for i := range g.cfg.Gateways {
		if g.gone(g.peerAt(i)) {
			continue // this one, or none has the number
		} else if v := mixed(uint32(m.ID), uint32(i)); v > mine || v == mine && i < g.cfg.Me {
			rank++
		}
	}
	if rank >= owners || g.noColdSends {
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
		func(t time.Duration) bool { return g.now-t > g.cfg.MultiService.ColdWindow })
	return len(s.sends) < s.coldSendQuota
}

// pick chooses a server, or nil when none has room. Those out of use for the class are left out
// while they are not too many; a watcher tries them now and then. A small fleet's gateway takes the
// best of a few random ones by predicted latency and zone price.
func (g *Gateway) pick(r *request) *server {
	var ok, doubted []*server
	for _, s := range g.serverList {
		if s == r.lastServer || !g.usable(s, r) || !s.trusted(r) {
			continue
		}
		if s.trust.Trial && s.tries(r) {
			s.trust.Trial = false // one trial, wherever else there is room
			return s
		}
		if v := g.healthOf(s, r.class); v != nil && v.ejected && g.now < v.ejectedUntil {
			// Its watcher alone tries a server that is out of use.
			if s.watchers[0] == g.cfg.Me && g.now >= v.nextTrial && g.mayTry(r) {
				v.trialBackoff = min(2*v.trialBackoff+trialEvery, trialMost)
				v.nextTrial = g.now + v.trialBackoff
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
	if g.usesRoots {
		return g.draw(ok)
	} else if g.cfg.MultiService != nil {
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
		p := g.predict(s, r.class) * (1 - jitter/2 + jitter*g.rng.Float64())
		k++
		if s.Zone != g.cfg.Zone {
			p += r.class.mean * g.cfg.CrossZoneCost * zonePrice
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
		p := (g.predict(s, r.class) + s.ExtraLatency.Seconds()) * (1 - jitter/2 + jitter*g.rng.Float64())
		if s.trust.Level == Suspect && r.effect != Safe {
			p += doubtedCost
		}
		if len(r.regions) == 0 && g.now < s.scarceUntil {
			p += lackedAim * r.class.LatencyTarget.Seconds() // others can go nowhere else
		}
		if p < low {
			best, low = s, p
		}
	}
	for _, s := range ok {
		if best == nil && len(r.regions) > 0 {
			s.scarceUntil = g.now + toldSpan
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
		s.weight = s.share * g.relativeSize(s) / max(s.slowdown, 1) / float64(1+s.inFlight) * g.coldness(s)
		if s.Zone != g.cfg.Zone {
			s.weight *= otherZone
		}
		all, parts = all+s.weight, parts+s.share
	}
	for _, s := range ok {
		if cold := g.coldness(s); cold < 1 {
			s.weight = min(s.weight, cold*s.share*all/parts)
			least = max(least, s.weight*parts/(s.share*cold*coldSafety*max(1, g.cfg.FailFactor)))
		}
	}
	return g.drawByWeight(ok, least)
}

// prefer sets a server's part in this gateway's draws. A large fleet's gateways go mostly to a few
// servers each, so that connections are used again; all together go to each server alike.
func (g *Gateway) prefer(s *server) {
	n, by, mine := float64(g.cfg.Gateways), 0.0, false
	for i := range g.cfg.Gateways {
		if g.usesRoots && mixed(uint32(s.ID), uint32(i))*float64(g.runningServers) < familiar {
			by, mine = by+1, mine || i == g.cfg.Me
		}
	}
	switch {
	case by == 0 || by == n:
		s.share = 1
	case mine:
		s.share = (1 - strange) * n / by
	default:
		s.share = strange * n / (n - by)
	}
}
