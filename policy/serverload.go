package policy

import "math"

// sumPeerLoads sums the peers' attempts in flight at each server, without those of silent peers.
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

// noteServerLoad records the load that a server reports with an answer.
func (g *Gateway) noteServerLoad(s *server, load []float64) {
	if len(load) == 3 && g.cfg.MultiService != nil {
		s.otherInFlight, s.otherInFlightAt, s.hasLoadReport = max(0, load[0]+load[1]-float64(s.inFlight)), g.now, true
	}
}

// loadFromOthers returns the load that a server reported of other gateways, decaying to the average of its service and
// region. If it decayed to zero, each gateway would send to the servers that it has not heard from for longest, and all
// gateways would crowd onto the same ones by turns. This way, a gateway prefers servers that had room when they last
// answered it, which few other gateways know.
func (g *Gateway) loadFromOthers(s *server) float64 {
	if !s.hasLoadReport {
		return s.typicalInFlight
	}
	return s.typicalInFlight + (s.otherInFlight-s.typicalInFlight)*math.Exp(-(g.now-s.otherInFlightAt).Seconds()/serverLoadDecayTime.Seconds())
}

// updateUsualLoads computes the average load at the servers of a service in a region: the mean of their last reports,
// weighted by how recent they are. It is kept by region, since requests bound to a region fill that region's servers
// only. Without recent reports the average decays: otherwise a gateway to which all servers seem full would send them
// nothing and never learn of a change.
func (g *Gateway) updateUsualLoads() {
	type group struct{ service, region string }
	type mean struct{ sum, weight, latest float64 }
	means := map[group]mean{}
	for _, s := range g.serverList {
		if s.hasLoadReport && s.State == Running {
			key := group{s.Service, s.Region}
			weight, previous := math.Exp(-(g.now-s.otherInFlightAt).Seconds()/usualLoadDecayTime.Seconds()), means[key]
			means[key] = mean{previous.sum + weight*s.otherInFlight, previous.weight + weight, max(previous.latest, weight)}
		}
	}
	for _, s := range g.serverList {
		s.typicalInFlight = 0
		if previous := means[group{s.Service, s.Region}]; previous.weight > 0 {
			s.typicalInFlight = previous.sum / previous.weight * previous.latest
		}
	}
}
