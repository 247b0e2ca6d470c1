package policy

import (
	"math"
	"time"
)

// classHealth is the health of a server for one class of requests.
type record struct {
	errs  float64       // moving average of failures, as its watcher computes it
	okAt  time.Duration // when it last answered a request of this gateway
	bad   bool          // not to be used for the class, until ejectedUntil
	until time.Duration
	wait  time.Duration // time to wait after its last trial
	trial time.Duration // when its watcher may next send it a trial request
}

// server is a back-end server and what this gateway knows of its load and health.
type server struct {
	Server
	hash       uint16                   // identifies it in reports
	out        int                      // own attempts in flight there
	slow       float64                  // its latency relative to the fleet's, at equal load
	heard      float64                  // attempts in flight there, as peers last reported
	oldest     []*request               // own attempts in flight, oldest first
	goneAt     time.Duration            // when it left the server list; 0: still listed
	fullAt     map[*quota]time.Duration // per plan: until then it is expected to reject the plan's requests
	fullTill   time.Duration            // until then it is expected to reject every request
	lackedTill time.Duration            // until then requests limited to certain regions lack room there
	sends      []time.Duration          // recent sends, counted while it is cold
	others     float64                  // other gateways' attempts in flight, by its last load report
	othersAt   time.Duration            // time of that report
	told       bool                     // whether it has sent any load report
	usual      float64                  // other gateways' attempts at a typical server of its service and region
	colds      int                      // sends that this gateway may make within ColdWindow while it is cold

	weight    float64       // weight in the current random draw
	part      float64       // factor on its weight in this gateway's draws; the mean over all gateways is 1
	watchers  [2]int        // the gateways that assess its health for all; the second assesses reachability only
	by        []record      // health by class index
	verdicts  float64       // token bucket of the verdicts that its watcher may send
	verdictAt time.Duration // when that bucket was last filled
	pace      float64       // its latency relative to the fleet's, as its watcher measures it

	trust Trust // computed from the outcomes that all gateways saw
}

// recordFailure counts a failure, with a weight from 0 to 1, in every class.
func (s *server) fail(weight float64) {
	for i := range s.by {
		s.by[i].errs += weight * (1 - s.by[i].errs)
	}
}

// decay moves the slowdown and the error rates towards their neutral values by a fraction of the difference.
func (s *server) wear(fraction float64) {
	s.slow += (1 - s.slow) * fraction
	for i := range s.by {
		s.by[i].errs -= s.by[i].errs * fraction
	}
}

// drawByWeight draws a server at random in proportion to its weight. If the weights sum to less than
// minSum, it returns nil with the probability of the missing part.
func (g *Gateway) byWeight(list []*server, minSum float64) *server {
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
func (g *Gateway) sizeOf(s *server) float64 {
	if g.set.SizeKnown && s.Weight > 0 && g.size > 0 {
		return s.Weight / g.size
	}
	return 1
}

// markRemoved records that a server has left the server list.
func (s *server) leave(now time.Duration) {
	s.State = Removed
	if s.goneAt == 0 {
		s.goneAt = now
	}
}

// countServers recomputes the number of running servers and the mean weight of the listed ones.
func (g *Gateway) count() {
	listed, sum := 0, 0.0
	g.live = 0
	for _, s := range g.fleet {
		if s.State != Removed {
			listed++
			sum += s.Weight
		}
		if s.State == Running {
			g.live++
		}
	}
	g.size = sum / float64(max(1, listed))
}

// applyVerdict ejects a server from the classes for which eject holds, for verdictLife, and sets its
// slowdown from the encoded value of a verdict message.
func (g *Gateway) rule(s *server, slowdown byte, eject func(class int, v *record) bool) {
	for i := range s.by {
		s.by[i].bad, s.by[i].until = eject(i, &s.by[i]), g.now+verdictLife
	}
	s.slow = math.Exp2(float64(slowdown)/16 - 4)
}
