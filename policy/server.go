package policy

import (
	"math"
	"time"
)

// classHealth is what the fleet knows of a server for one class.
type classHealth struct {
	errorRate    float64       // the watcher's average
	lastOK       time.Duration // its last answer here
	ejected      bool          // out of use for the class, until a time
	ejectedUntil time.Duration
	trialBackoff time.Duration // after its last trial
	nextTrial    time.Duration // when the watcher may next try it
}

// server is a back-end server and what this gateway knows of its load and health.
type server struct {
	Server
	hash            uint16
	inFlight        int
	slowdown        float64                      // latency against the fleet's, at equal load
	peerInFlight    float64                      // attempts out there, as the peers last said
	attempts        []*request                   // attempts out, oldest first
	removedAt       time.Duration                // when it left the list; 0: it is there
	planFull        map[*planState]time.Duration // until then it is taken to turn this plan away
	fullUntil       time.Duration                // until then it takes nobody
	scarceUntil     time.Duration                // until then requests that may go to few regions find no room
	sends           []time.Duration              // while cold: recent sends
	otherInFlight   float64                      // out there by others, as it told itself
	otherInFlightAt time.Duration
	hasLoadReport   bool    // it has
	typicalInFlight float64 // out there by others at the servers of its service and region
	coldSendQuota   int     // of the sends allowed here

	weight          float64       // in the draw at hand
	share           float64       // in all draws here, 1 in the mean over the gateways
	watchers        [2]int        // the gateways that judge it for all; the second only whether it can be reached
	classes         []classHealth // by class
	verdictTokens   float64       // its watcher may send now
	verdictTokensAt time.Duration
	sharedSlowdown  float64 // latency against the fleet's, as the watcher learns it

	trust Trust // computed from the outcomes that all gateways saw
}

// recordFailure counts a failure for all classes.
func (s *server) recordFailure(weight float64) {
	for i := range s.classes {
		s.classes[i].errorRate += weight * (1 - s.classes[i].errorRate)
	}
}

// decay lets a part of what is known of a server go.
func (s *server) decay(part float64) {
	s.slowdown += (1 - s.slowdown) * part
	for i := range s.classes {
		s.classes[i].errorRate -= s.classes[i].errorRate * part
	}
}

// drawByWeight draws a server by weight, of a sum of at least so much: none for the rest.
func (g *Gateway) drawByWeight(list []*server, least float64) *server {
	sum := 0.0
	for _, s := range list {
		sum += s.weight
	}
	point := g.rng.Float64() * max(sum, minSum)
	for _, s := range list {
		if point -= s.weight; point < 0 {
			return s
		}
	}
	return nil
}

// size is a server's size against the fleet's mean, where the list tells it.
func (g *Gateway) relativeSize(s *server) float64 {
	if g.cfg.SizeKnown && s.Weight > 0 && g.meanWeight > 0 {
		return s.Weight / g.meanWeight
	}
	return 1
}

// markRemoved notes that a server is in the list no longer.
func (s *server) markRemoved(now time.Duration) {
	s.State = Removed
	if s.removedAt == 0 {
		s.removedAt = now
	}
}

// countServers takes the size of the fleet from the servers that are in the list.
func (g *Gateway) countServers() {
	listed, sum := 0, 0.0
	g.runningServers = 0
	for _, s := range g.serverList {
		if s.State != Removed {
			listed++
			sum += s.Weight
		}
		if s.State == Running {
			g.runningServers++
		}
	}
	g.meanWeight = sum / float64(max(1, listed))
}

// applyVerdict puts a verdict in force.
func (g *Gateway) applyVerdict(s *server, pace byte, isBad func(class int, v *classHealth) bool) {
	for i := range s.classes {
		s.classes[i].ejected, s.classes[i].ejectedUntil = isBad(i, &s.classes[i]), g.now+verdictLife
	}
	s.slowdown = math.Exp2(float64(pace)/16 - 4)
}
