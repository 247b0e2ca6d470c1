package policy

import (
	"math"
	"time"
)

// classHealth is the health of a server for one class of requests.
type classHealth struct {
	errorRate    float64       // moving average of failures, as its watcher computes it
	lastOK       time.Duration // when it last answered a request of this gateway
	ejected      bool          // not to be used for the class, until ejectedUntil
	ejectedUntil time.Duration
	trialBackoff time.Duration // time to wait after its last trial
	nextTrial    time.Duration // when its watcher may next send it a trial request
}

// server is a back-end server and what this gateway knows of its load and health.
type server struct {
	Server
	hash            uint16                       // identifies it in reports
	inFlight        int                          // own attempts in flight there
	reserved        int                          // requests for which a place there is reserved
	slowdown        float64                      // its latency relative to the fleet's, at equal load
	peerInFlight    float64                      // attempts in flight there, as peers last reported
	attempts        []*request                   // own attempts in flight, oldest first
	removedAt       time.Duration                // when it left the server list; 0: still listed
	planFull        map[*planState]time.Duration // per plan: until then it is expected to reject the plan's requests
	fullUntil       time.Duration                // until then it is expected to reject every request
	scarceUntil     time.Duration                // until then requests limited to certain regions lack room there
	sends           []time.Duration              // recent sends, counted while it is cold
	otherInFlight   float64                      // other gateways' attempts in flight, by its last load report
	otherInFlightAt time.Duration                // time of that report
	hasLoadReport   bool                         // whether it has sent any load report
	typicalInFlight float64                      // other gateways' attempts at a typical server of its service and region
	coldSendQuota   int                          // sends that this gateway may make within ColdWindow while it is cold

	weight          float64       // weight in the current random draw
	share           float64       // factor on its weight in this gateway's draws; the mean over all gateways is 1
	watchers        [2]int        // the gateways that assess its health for all; the second assesses reachability only
	classes         []classHealth // health by class index
	verdictTokens   float64       // token bucket of the verdicts that its watcher may send
	verdictTokensAt time.Duration // when that bucket was last filled
	sharedSlowdown  float64       // its latency relative to the fleet's, as its watcher measures it

	trust Trust // computed from the outcomes that all gateways saw
}

// recordFailure counts a failure, with a weight from 0 to 1, in every class.
func (s *server) recordFailure(weight float64) {
	for i := range s.classes {
		s.classes[i].errorRate += weight * (1 - s.classes[i].errorRate)
	}
}

// decay moves the slowdown and the error rates towards their neutral values by a fraction of the difference.
func (s *server) decay(fraction float64) {
	s.slowdown += (1 - s.slowdown) * fraction
	for i := range s.classes {
		s.classes[i].errorRate -= s.classes[i].errorRate * fraction
	}
}

// drawByWeight draws a server at random in proportion to its weight. If the weights sum to less than
// minSum, it returns nil with the probability of the missing part.
func (g *Gateway) drawByWeight(list []*server, minSum float64) *server {
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

// relativeSize returns a server's size relative to the mean of the fleet, or 1 if sizes are not known.
func (g *Gateway) relativeSize(s *server) float64 {
	if g.cfg.SizeKnown && s.Weight > 0 && g.meanWeight > 0 {
		return s.Weight / g.meanWeight
	}
	return 1
}

// markRemoved records that a server has left the server list.
func (s *server) markRemoved(now time.Duration) {
	s.State = Removed
	if s.removedAt == 0 {
		s.removedAt = now
	}
}

// countServers recomputes the number of running servers and the mean weight of the listed ones.
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

// applyVerdict ejects a server from the classes for which eject holds, for verdictTTL, and sets its
// slowdown from the encoded value of a verdict message.
func (g *Gateway) applyVerdict(s *server, slowdown byte, eject func(class int, v *classHealth) bool) {
	for i := range s.classes {
		s.classes[i].ejected, s.classes[i].ejectedUntil = eject(i, &s.classes[i]), g.now+verdictTTL
	}
	s.slowdown = math.Exp2(float64(slowdown)/16 - 4)
}
