package policy

import "math"

// sumPeerLoads sums the peers' attempts out at each server; old counts are let go.
func (g *Gateway) sumPeerLoads() {
	if g.cfg.MultiService != nil {
		g.updateUsualLoads()
	}
	if g.usesRoots || g.borrows {
		return // reports contain no servers
	}
	for _, s := range g.serverList {
		s.peerInFlight = 0
		for _, p := range g.peers {
			if p != nil && !g.isSilent(p) {
				s.peerInFlight += p.inFlight[s.hash]
			}
		}
	}
}

// noteServerLoad takes in the load that a server tells of with an answer.
func (g *Gateway) noteServerLoad(s *server, load []float64) {
	if len(load) == 3 && g.cfg.MultiService != nil {
		s.otherInFlight, s.otherInFlightAt, s.hasLoadReport = max(0, load[0]+load[1]-float64(s.inFlight)), g.now, true
	}
}

// loadFromOthers is what others have out at a server, as it said itself; that wears off, down or up to what is usual.
// Where it wore off to nothing, each gateway would go to the servers that it has heard nothing of for longest: all
// of them to all, by turns. So it goes to those that had room when they last answered it, which few others know.
func (g *Gateway) loadFromOthers(s *server) float64 {
	if !s.hasLoadReport {
		return s.typicalInFlight
	}
	return s.typicalInFlight + (s.otherInFlight-s.typicalInFlight)*math.Exp(-(g.now-s.otherInFlightAt).Seconds()/serverLoadDecayTime.Seconds())
}

// updateUsualLoads takes what is usual at the servers of a service in a region: the mean of what each told last, the
// latest first. Regions differ: what may only be done in one fills that one's. Where none has told anything lately
// it wears off: else a gateway to which all seem full would send none of them anything, and hear of no change.
func (g *Gateway) updateUsualLoads() {
	type group struct{ service, region string }
	type mean struct{ sum, weight, latest float64 }
	means := map[group]mean{}
	for _, s := range g.serverList {
		if s.hasLoadReport && s.State == Running {
			k := group{s.Service, s.Region}
			w, m := math.Exp(-(g.now-s.otherInFlightAt).Seconds()/usualLoadDecayTime.Seconds()), all[k]
			all[k] = mean{m.sum + w*s.otherInFlight, m.weight + w, max(m.latest, w)}
		}
	}
	for _, s := range g.serverList {
		s.typicalInFlight = 0
		if previous := means[group{s.Service, s.Region}]; previous.weight > 0 {
			s.typicalInFlight = previous.sum / previous.weight * previous.latest
		}
	}
}
