package policy

// Server selection: which server an attempt is sent to.

import (
	"math"
	"slices"
	"time"
)

// minCapacity returns the share of its capacity that a server has at least: 1 when it is warm.
func (g *Gateway) minCapacity(s *server) float64 {
	if g.now < s.ColdUntil {
		return g.cfg.MultiService.ColdShare
	}
	if !s.HasStartTime || g.cfg.WarmupTime <= 0 || g.cfg.MinColdShare <= 0 {
		return 1
	}
	age := float64(g.now-s.StartTime) / float64(g.cfg.WarmupTime)
	return min(1, g.cfg.MinColdShare+(1-g.cfg.MinColdShare)*max(age, 0))
}

// inFlightAt returns the attempts at a server: this gateway's, reserved or in flight, and the others'.
func (g *Gateway) inFlightAt(s *server) float64 {
	return float64(s.inFlight+s.reserved) + max(s.peerInFlight, g.loadFromOthers(s))
}

// predictLatency returns the latency, in seconds, expected of a server for a class.
func (g *Gateway) predictLatency(s *server, cl *class) float64 {
	return cl.mean * s.slowdown * g.loadFactor(s, g.inFlightAt(s)) / g.minCapacity(s)
}

// loadFactor returns the factor by which a number of attempts in flight raises a server's latency.
func (g *Gateway) loadFactor(s *server, load float64) float64 {
	if s.Slots == 0 {
		return 1 + queueWeight*load/g.relativeSize(s)
	}
	slots := float64(s.Slots)
	return 1 + slotUsePenalty*min(1, load/slots) + max(0, load+1-slots)/slots
}

// queueTooLong reports whether the predicted wait at a server exceeds a share of the shortest latency target.
// Beyond that, requests are held at the gateway, from where they can still go elsewhere or be refused.
func (g *Gateway) queueTooLong(s *server) bool {
	load := g.inFlightAt(s) / g.relativeSize(s)
	return load >= minInFlightWhenFull &&
		g.meanLatency*s.slowdown/g.minCapacity(s)*queueWeight*load > maxWaitShare*g.minTarget
}

// slotQueueTooLong reports whether the wait for a server's slot exceeds what a request's target allows.
func (g *Gateway) slotQueueTooLong(s *server, r *request) bool {
	serviceTime, target := r.class.mean*s.slowdown, r.class.LatencyTarget.Seconds()
	wait := max(0, g.inFlightAt(s)+1-float64(s.Slots)) / float64(s.Slots) * serviceTime
	if wait+serviceTime > target-(g.now-r.arrivedAt+r.waitedBefore).Seconds() {
		return wait > maxLateSlotWaitShare*target // late anyway; a longer queue would delay others too
	}
	return wait > maxSlotWaitShare*target
}

// canServe reports whether a server belongs to the request's service and is in one of its allowed regions.
func (s *server) canServe(r *request) bool {
	return s.Service == r.service && (len(r.regions) == 0 || slices.Contains(r.regions, s.Region))
}

// usable reports whether a request may be sent to a server: it runs, has not just rejected work, has budget
// left if it is cold, and drops duplicates of the request if an earlier attempt of it may have run.
func (g *Gateway) usable(s *server, r *request) bool {
	if s.State != Running || !s.canServe(r) || !g.hasColdBudget(s) ||
		g.now < max(s.fullUntil, s.planFull[r.customer.plan]) ||
		r.mayHaveRun && r.effect == Keyed && (g.now-r.ranAt >= r.class.DedupWindow || !r.inDedupScope(s)) {
		return false
	}
	if cold := g.minCapacity(s); cold < 1 && g.cfg.MultiService == nil {
		// This gateway's budget in a window: what a warm server receives, times the cold one's capacity.
		warmRate := g.recentSends / max(1, float64(g.runningServers))
		return float64(g.countSends(s, g.cfg.FailTime)) < max(1, warmRate*cold*g.cfg.FailFactor*coldSafety)
	}
	return true
}

// countSends returns how often this gateway has sent to a server within a span, and forgets older sends.
func (g *Gateway) countSends(s *server, span time.Duration) int {
	s.sends = slices.DeleteFunc(s.sends, func(t time.Duration) bool { return g.now-t > span })
	return len(s.sends)
}

// coldSendBudget returns how many sends a second this gateway may make to a cold server. Few gateways send to
// it, so that each has whole sends; the sum stays below the server's limit even if no message arrives.
func (g *Gateway) coldSendBudget(m Server) int {
	if m.ColdSendRate <= 0 {
		return 0
	}
	budget := m.ColdSendRate * coldSendsShare
	owners := max(1, min(g.ceilingPartCount(), int(budget/minColdSendsPerOwner)))
	rank, ownHash := 0, hashFraction(uint32(m.ID), uint32(g.cfg.Me))
	for i := range g.cfg.Gateways {
		if g.isNotPeer(g.peerAt(i)) {
			continue // this gateway itself, or an unused number
		} else if h := hashFraction(uint32(m.ID), uint32(i)); h > ownHash || h == ownHash && i < g.cfg.Me {
			rank++
		}
	}
	if rank >= owners || g.noColdSends {
		return 0
	}
	return int(budget) / owners
}

// hasColdBudget reports whether this gateway may send once more to a server that may be cold.
func (g *Gateway) hasColdBudget(s *server) bool {
	return g.now >= s.ColdUntil || g.countSends(s, g.cfg.MultiService.ColdWindow) < s.coldSendQuota
}

// pickServer chooses a server, or nil when none has room. It skips ejected servers unless too many are; only
// their watcher sends them trials. With few gateways it compares some random ones by latency and zone cost.
func (g *Gateway) pickServer(r *request) *server {
	var candidates, ejected []*server
	for _, s := range g.serverList {
		if !r.mayGoTo(s) || !g.usable(s, r) || !s.allowedByTrust(r) {
			continue
		}
		if s.trust.Trial && s.mayTakeTrial(r) {
			s.trust.Trial = false // a single trial, even if other servers have room
			return s
		}
		if health := g.healthOf(s, r.class); health != nil && health.ejected && g.now < health.ejectedUntil {
			if s.watchers[0] == g.cfg.Me && g.now >= health.nextTrial && g.mayRunTrial(r) {
				health.trialBackoff = min(2*health.trialBackoff+trialBackoffStep, maxTrialBackoff)
				health.nextTrial = g.now + health.trialBackoff
				return s
			}
			ejected = append(ejected, s)
			continue
		}
		candidates = append(candidates, s)
	}
	if float64(len(ejected)) > maxEjectedShare*float64(len(candidates)+len(ejected)) {
		candidates = append(candidates, ejected...)
	}
	if g.usesRoots {
		return g.pickWeighted(candidates)
	} else if g.cfg.MultiService != nil {
		return g.pickLeastLatency(candidates, r)
	}
	var best *server
	lowest := math.Inf(1)
	for compared := 0; compared < serversCompared && len(candidates) > 0; {
		i := g.rng.IntN(len(candidates))
		s := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		if g.queueTooLong(s) {
			continue
		}
		predicted := g.predictLatency(s, r.class) * (1 - latencyJitter/2 + latencyJitter*g.rng.Float64())
		compared++
		if s.Zone != g.cfg.Zone {
			predicted += r.class.mean * g.cfg.CrossZoneCost * serviceTimesPerZoneCharge
		}
		if predicted < lowest {
			best, lowest = s, predicted
		}
	}
	return best
}

// pickLeastLatency returns the server of the lowest predicted latency, the network's included, or nil.
func (g *Gateway) pickLeastLatency(candidates []*server, r *request) *server {
	var best *server
	lowest := math.Inf(1)
	for _, s := range candidates {
		if g.slotQueueTooLong(s, r) {
			continue
		}
		predicted := (g.predictLatency(s, r.class) + s.ExtraLatency.Seconds()) *
			(1 - latencyJitter/2 + latencyJitter*g.rng.Float64())
		if s.trust.Level == Suspect && r.effect != Safe {
			predicted += suspectCostSeconds
		}
		if len(r.regions) == 0 && g.now < s.scarceUntil {
			predicted += regionBoundPenaltyShare * r.class.LatencyTarget.Seconds() // room for bound requests
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

// pickWeighted draws a server, weighted by its share of the capacity. Many gateways don't see each other's
// load: if each took the best of a few, all would overload the same ones. However slow the warm servers are,
// a cold one gets at most its minimum capacity's part of an even share; the rest of the requests wait.
func (g *Gateway) pickWeighted(candidates []*server) *server {
	totalWeight, totalPart, minTotal := 0.0, 0.0, 0.0
	for _, s := range candidates {
		s.weight = s.share * g.relativeSize(s) / max(s.slowdown, 1) / float64(1+s.inFlight) * g.minCapacity(s)
		if s.Zone != g.cfg.Zone {
			s.weight *= otherZoneWeight
		}
		totalWeight, totalPart = totalWeight+s.weight, totalPart+s.share
	}
	for _, s := range candidates {
		if cold := g.minCapacity(s); cold < 1 {
			s.weight = min(s.weight, cold*s.share*totalWeight/totalPart)
			minTotal = max(minTotal, s.weight*totalPart/(s.share*cold*coldSafety*max(1, g.cfg.FailFactor)))
		}
	}
	return g.drawByWeight(candidates, minTotal)
}

// setAffinity sets a server's weight in this gateway's draws. With many gateways, each prefers a few servers,
// so that connections are reused; over all gateways, each server is drawn equally often.
func (g *Gateway) setAffinity(s *server) {
	gateways, preferring, preferredHere := float64(g.cfg.Gateways), 0.0, false
	for i := range g.cfg.Gateways {
		if g.usesRoots && hashFraction(uint32(s.ID), uint32(i))*float64(g.runningServers) < preferredServers {
			preferring, preferredHere = preferring+1, preferredHere || i == g.cfg.Me
		}
	}
	switch {
	case preferring == 0 || preferring == gateways:
		s.share = 1
	case preferredHere:
		s.share = (1 - otherServersShare) * gateways / preferring
	default:
		s.share = otherServersShare * gateways / (gateways - preferring)
	}
}
