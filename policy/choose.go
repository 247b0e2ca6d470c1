package policy

// Server selection: which server an attempt is sent to.

import (
	"math"
	"slices"
	"time"
)

// minCapacityShare is the least share of its capacity a server surely has.
func (g *Gateway) minCapacityShare(s *server) float64 {
	if g.now < s.ColdUntil {
		return g.cfg.MultiService.ColdShare
	}
	if !s.HasStartTime || g.cfg.WarmupTime <= 0 || g.cfg.MinColdShare <= 0 {
		return 1
	}
	age := float64(g.now-s.StartTime) / float64(g.cfg.WarmupTime)
	return min(1, g.cfg.MinColdShare+(1-g.cfg.MinColdShare)*max(age, 0))
}

// inFlightAt is the attempts out at a server: own, and the peers' as last reported.
func (g *Gateway) inFlightAt(s *server) float64 {
	return float64(s.inFlight) + max(s.peerInFlight, g.loadFromOthers(s))
}

// predictLatency is the latency in seconds expected of a server for a class.
func (g *Gateway) predictLatency(s *server, cl *class) float64 {
	return cl.mean * s.slowdown * g.loadFactor(s, g.inFlightAt(s)) / g.minCapacityShare(s)
}

// loadFactor is what so many attempts out at a server make of its latency.
func (g *Gateway) loadFactor(s *server, load float64) float64 {
	if s.Slots == 0 {
		return 1 + queueWeight*load/g.relativeSize(s)
	}
	slots := float64(s.Slots)
	return 1 + slotUsePenalty*min(1, load/slots) + max(0, load+1-slots)/slots
}

// queueTooLong tells whether a server has all the work it can turn round in time: the wait there would pass a share
// of the shortest aim. Beyond that requests are held here, where they can still go elsewhere or be refused.
func (g *Gateway) queueTooLong(s *server) bool {
	load := g.inFlightAt(s) / g.relativeSize(s)
	return load >= minInFlightWhenFull && g.meanLatency*s.slowdown/g.minCapacityShare(s)*queueWeight*load > maxWaitShare*g.minTarget
}

// slotQueueTooLong tells whether a server with slots has all the work it can turn round in a request's time.
func (g *Gateway) slotQueueTooLong(s *server, r *request) bool {
	serve, aim := r.class.mean*s.slowdown, r.class.LatencyTarget.Seconds()
	wait := max(0, g.inFlightAt(s)+1-float64(s.Slots)) / float64(s.Slots) * serve
	if wait+serve > aim-(g.now-r.arrivedAt+r.waitedBefore).Seconds() {
		return wait > maxLateSlotWaitShare*aim // it will be late: others would be, too, if they had to wait for it
	}
	return wait > maxSlotWaitShare*aim
}

// canServe tells whether a server is one for the request: of its service, inside its homes.
func (s *server) canServe(r *request) bool {
	return s.Service == r.service && (len(r.regions) == 0 || slices.Contains(r.regions, s.Region))
}

// usable reports whether a request may be sent to a server: the server runs, has not just rejected work, has send
// budget left if it is cold, and drops duplicates of the request if an earlier attempt of it may have run.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || !s.canServe(r) || !g.hasColdBudget(s) ||
		g.now < max(s.fullUntil, s.planFull[r.customer.plan]) ||
		r.mayHaveRun && r.effect == Keyed && (g.now-r.ranAt >= r.class.DedupWindow || !r.inDedupScope(s)) {
		return false
	}
	if cold := g.minCapacityShare(s); cold < 1 && g.cfg.MultiService == nil {
		// A budget for every window, shared by all gateways: what warm servers
		// bear, times the share of capacity the server surely has.
		s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool { return g.now-t > g.cfg.FailTime })
		warm := g.recentSends / max(1, float64(g.runningServers))
		if float64(len(s.sends)) >= max(1, warm*cold*g.cfg.FailFactor*coldBudgetShare) {
			return false
		}
	}
	return true
}

// coldSendBudget is how many sends a second to a cold server are this gateway's. Few gateways own each, so that
// each has whole sends; all parts together stay under what the server bears, heard or not.
func (g *Gateway) coldSendBudget(m Server) int {
	if m.ColdSendRate <= 0 {
		return 0
	}
	most := m.ColdSendRate * coldSendsShare
	owners := max(1, min(g.ceilingPartCount(), int(most/minColdSendsPerOwner)))
	rank, mine := 0, hashFraction(uint32(m.ID), uint32(g.cfg.Me))
	for i := range g.cfg.Gateways {
		if g.isNotPeer(g.peerAt(i)) {
			continue // this one, or none has the number
		} else if v := hashFraction(uint32(m.ID), uint32(i)); v > mine || v == mine && i < g.cfg.Me {
			rank++
		}
	}
	if rank >= owners || g.noColdSends {
		return 0
	}
	return int(budget) / owners
}

// hasColdBudget tells whether a cold server's budget here has room for one more send.
func (g *Gateway) hasColdBudget(s *server) bool {
	if g.now >= s.ColdUntil {
		return true
	}
	s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool { return g.now-t > g.cfg.MultiService.ColdWindow })
	return len(s.sends) < s.coldSendQuota
}

// pickServer chooses a server, or nil when none has room. Those out of use for the class are left out
// while they are not too many; a watcher tries them now and then. A small fleet's gateway takes the
// best of a few random ones by predicted latency and zone price.
func (g *Gateway) pickServer(r *request) *server {
	var ok, doubted []*server
	for _, s := range g.serverList {
		if s == r.lastServer || !g.usable(s, r) || !s.allowedByTrust(r) {
			continue
		}
		if s.trust.Trial && s.mayTakeTrial(r) {
			s.trust.Trial = false // one trial, wherever else there is room
			return s
		}
		if v := g.healthOf(s, r.class); v != nil && v.ejected && g.now < v.ejectedUntil {
			// Its watcher alone tries a server that is out of use.
			if s.watchers[0] == g.cfg.Me && g.now >= v.nextTrial && g.mayRunTrial(r) {
				v.trialBackoff = min(2*v.trialBackoff+trialBackoffStep, maxTrialBackoff)
				v.nextTrial = g.now + v.trialBackoff
				return s
			}
			ejected = append(ejected, s)
			continue
		}
		candidates = append(candidates, s)
	}
	if float64(len(doubted)) > maxEjectedShare*float64(len(ok)+len(doubted)) {
		ok = append(ok, doubted...)
	}
	if g.usesRoots {
		return g.pickWeighted(ok)
	} else if g.cfg.MultiService != nil {
		return g.pickLeastLatency(ok, r)
	}
	var best *server
	low := math.Inf(1)
	for k := 0; k < serversCompared && len(ok) > 0; {
		i := g.rng.IntN(len(ok))
		s := ok[i]
		ok = slices.Delete(ok, i, i+1)
		if g.queueTooLong(s) {
			continue
		}
		p := g.predictLatency(s, r.class) * (1 - latencyJitter/2 + latencyJitter*g.rng.Float64())
		k++
		if s.Zone != g.cfg.Zone {
			p += r.class.mean * g.cfg.CrossZoneCost * serviceTimesPerZoneCharge
		}
		if predicted < lowest {
			best, lowest = s, predicted
		}
	}
	return best
}

// pickLeastLatency takes the server of the least predicted latency, the way there counted.
func (g *Gateway) pickLeastLatency(ok []*server, r *request) *server {
	var best *server
	low := math.Inf(1)
	for _, s := range ok {
		if g.slotQueueTooLong(s, r) {
			continue
		}
		p := (g.predictLatency(s, r.class) + s.ExtraLatency.Seconds()) * (1 - latencyJitter/2 + latencyJitter*g.rng.Float64())
		if s.trust.Level == Suspect && r.effect != Safe {
			p += suspectCostSeconds
		}
		if len(r.regions) == 0 && g.now < s.scarceUntil {
			p += regionBoundPenaltyShare * r.class.LatencyTarget.Seconds() // others can go nowhere else
		}
		if predicted < lowest {
			best, lowest = s, predicted
		}
	}
	for _, s := range candidates {
		if best == nil && len(r.regions) > 0 {
			s.scarceUntil = g.now + serverLoadDecayTime
		}
	}
	return best
}

// pickWeighted chooses a server by its share of the fleet's capacity. A large fleet's gateways don't see the load
// there; were each to take the best of a few, all would crowd onto the same servers. However slow the warm
// ones are, a cold one gets the part of an even share that it surely bears; what is left over waits.
func (g *Gateway) pickWeighted(ok []*server) *server {
	all, parts, least := 0.0, 0.0, 0.0
	for _, s := range ok {
		s.weight = s.share * g.relativeSize(s) / max(s.slowdown, 1) / float64(1+s.inFlight) * g.minCapacityShare(s)
		if s.Zone != g.cfg.Zone {
			s.weight *= otherZoneWeight
		}
		totalWeight, totalPart = totalWeight+s.weight, totalPart+s.share
	}
	for _, s := range ok {
		if cold := g.minCapacityShare(s); cold < 1 {
			s.weight = min(s.weight, cold*s.share*all/parts)
			least = max(least, s.weight*parts/(s.share*cold*coldBudgetShare*max(1, g.cfg.FailFactor)))
		}
	}
	return g.drawByWeight(candidates, minTotal)
}

// setAffinity sets a server's part in this gateway's draws. A large fleet's gateways go mostly to a few
// servers each, so that connections are used again; all together go to each server alike.
func (g *Gateway) setAffinity(s *server) {
	n, by, mine := float64(g.cfg.Gateways), 0.0, false
	for i := range g.cfg.Gateways {
		if g.usesRoots && hashFraction(uint32(s.ID), uint32(i))*float64(g.runningServers) < preferredServers {
			by, mine = by+1, mine || i == g.cfg.Me
		}
	}
	switch {
	case preferring == 0 || preferring == gateways:
		s.share = 1
	case mine:
		s.share = (1 - otherServersShare) * n / by
	default:
		s.share = otherServersShare * n / (n - by)
	}
}
