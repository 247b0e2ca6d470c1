package policy

// Server health from outcomes. Where gateways are many, each sends too little to a server to assess it alone:
// they report outcomes to the server's watcher, which sends its verdict by class to all gateways.

import (
	"math"
	"slices"
	"time"
)

func (g *Gateway) onOutcome(ev Outcome) {
	r := g.requests[ev.ID]
	if r == nil || r.server == nil || ev.Attempt != r.attempts-1 {
		return
	}
	s, c := r.server, r.customer
	g.advance(c)
	c.reportsLeft = reportsPerChange
	g.endAttempt(r, ev.Code)
	g.learnFromOutcome(s, r, ev)
	if r.cancelled && (r.done || ev.ClientAnswered || ev.Code == OK) {
		g.retryBudgets[r.service]++ // the retry for which it was cancelled is not made
	}
	if ev.Code == OK && ev.ActualUnits > 0 && ev.ActualUnits != r.units {
		c.adjustUnits(ev.ActualUnits - r.units)
	}
	switch {
	case r.done || ev.ClientAnswered || ev.Code == OK:
		g.finish(r)
	case ev.Code == NoRetry || g.now >= r.deadline || !g.mayRetry(r, ev.Code):
		g.refuse(r)
	case !r.cancelled && !g.underCap(c, false) || !g.trySend(r): // a cancelled one keeps its place
		g.hold(r)
	}
	g.releaseHeld(c)
}

// learnFromOutcome updates latency estimates, error averages and load figures from an outcome.
func (g *Gateway) learnFromOutcome(s *server, r *request, ev Outcome) {
	g.noteServerLoad(s, ev.Load)
	if ev.Code != NoRetry && ev.Code != Cancelled {
		g.reportOutcome(s, r.class, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.lateness += latenessWeight *
			(min(1, ev.Latency.Seconds()/r.class.LatencyTarget.Seconds()) - g.lateness)
	}
	switch ev.Code {
	case OK:
		if v := g.healthOf(s, r.class); v != nil {
			v.lastOK = g.now
		}
		loadEffect := g.loadFactor(s, r.loadAtSend) / g.minCapacity(s)
		latency := ev.Latency.Seconds() / loadEffect
		s.slowdown += g.ownOutcomeWeight * (min(latency/r.class.mean, maxSlowdown) - s.slowdown)
		g.meanLatency += meanLearningRate * (r.class.mean - g.meanLatency)
		r.class.outcomes++ // the first outcomes weigh more
		r.class.mean += max(meanLearningRate, 1/(r.class.outcomes+1)) *
			(min(latency, maxLatencyMeans*r.class.mean) - r.class.mean)
	case Full:
		// The server may reject this plan only: requests of this plan avoid it for a while.
		if s.planFull[r.customer.plan] = g.now + rejectionPause; g.cfg.MultiService != nil {
			s.planFull[r.customer.plan], s.fullUntil = 0, g.now+queueFullPause // full for every plan
		}
		g.lateness += latenessWeight * (1 - g.lateness)
	}
}

// recordOutcome adds an outcome to the health of a watched server. One that rejects work counts as very slow.
func (g *Gateway) recordOutcome(s *server, class int, code Code, latency time.Duration) {
	cl := g.classes[g.cfg.Classes[class].Name]
	health, mean := g.healthOf(s, cl), cl.mean
	observed := min(latency.Seconds()/mean/g.minCapacity(s), maxSlowdown)
	switch code {
	case OK:
		health.errorRate *= 1 - failureWeight
		if health.ejected {
			health.errorRate, health.trialBackoff = health.errorRate*failureShareAfterTrial, 0
		}
	case Full:
		observed = maxSlowdown
	case ConnectFailed:
		s.recordFailure(2 * failureWeight)
	default:
		s.recordFailure(failureWeight / 2) // other classes may fail too
		health.errorRate += failureWeight / 2 * (1 - health.errorRate)
		observed = max(observed, s.sharedSlowdown)
	}
	s.sharedSlowdown += slowdownLearningRate * (observed - s.sharedSlowdown)
	g.publishVerdict(s)
}

// publishVerdict sends all gateways a watched server's changes, and repeats an ejection before it expires.
// A verdict goes to every gateway, so all watchers together use a limited share of the message rate.
func (g *Gateway) publishVerdict(s *server) {
	perSecond := g.cfg.MessagesPerSecond * verdictIntakeShare / float64(max(1, len(g.serverList)))
	s.verdictTokens = min(verdictBurst, s.verdictTokens+perSecond*(g.now-s.verdictTokensAt).Seconds())
	s.verdictTokensAt = g.now
	if g.cfg.MultiService != nil {
		s.verdictTokens = verdictBurst // verdicts stay local
	}
	isFirst := s.watchers[0] == g.cfg.Me
	if !isFirst || !g.usesRoots {
		s.sharedSlowdown = s.slowdown // the second watcher knows only about connection failures
	}
	isBad := func(_ int, v *classHealth) bool {
		return v.errorRate > ejectionThreshold || v.ejected && (!isFirst || v.errorRate > ejectionThreshold/2)
	}
	ejectedBits, classChanged, anyEjected, until := s.ejectionBits(isBad)
	slowdownChanged := g.usesRoots &&
		max(s.sharedSlowdown/s.slowdown, s.slowdown/s.sharedSlowdown) > slowdownReportFactor
	repeatDue := isFirst && anyEjected && until-g.now < verdictTTL/4
	if s.verdictTokens < 1 || !classChanged && !slowdownChanged && !repeatDue {
		return
	}
	m := serverVerdict{Server: uint32(s.ID), EjectedBits: ejectedBits,
		Slowdown: toByte(16 * (4 + math.Log2(max(s.sharedSlowdown, minSlowdown))))}
	g.applyVerdict(s, m.Slowdown, isBad)
	if g.usesRoots {
		s.verdictTokens--
		g.emit(SendPeer{To: -1, Data: encode(m)})
	}
}

// checkOverdue counts attempts far older than predicted as failed and moves them to other servers where that
// is possible. This guards against servers that never answer; it adds load if all slow down.
func (g *Gateway) checkOverdue(s *server) {
	for _, r := range slices.Clone(s.attempts) {
		g.renewLease(r)
		age := (g.now - r.sentAt).Seconds() /
			max(g.predictLatency(s, r.class), minOverdueShare*r.class.LatencyTarget.Seconds())
		health := g.healthOf(s, r.class)
		waitLonger := g.cfg.MultiService == nil || r.effect != Safe || age < lostAnswerFactor
		if age < overdueFactor || r.done || r.cancelled || r.streams ||
			waitLonger && health != nil && health.lastOK > r.sentAt { // the server has answered others since
			continue
		}
		if !r.overdue {
			r.overdue = true
			g.reportOutcome(s, r.class, TimedOut, g.now-r.sentAt)
		}
		g.moveElsewhere(r)
	}
}

// mayRunTrial reports whether a request may be sent to an ejected server to test whether it has recovered.
func (g *Gateway) mayRunTrial(r *request) bool {
	return r.attempts == 0 && (r.effect != Unsafe || g.cfg.MultiService != nil)
}
