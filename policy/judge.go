package policy

// Server health from outcomes. Where there are many gateways, each sends too little to a server to assess it alone:
// gateways report outcomes to the server's watcher, which sends its verdict by class to all gateways.

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
	if ev.Code == OK && ev.ActualUnits > 0 && ev.ActualUnits != r.units {
		c.adjustUnits(ev.ActualUnits - r.units)
	}
	switch {
	case r.done || ev.Final || ev.Code == OK:
		g.finish(r)
	case ev.Code == NoRetry || g.now >= r.deadline || !g.mayRetry(r, ev.Code):
		g.refuse(r)
	case !g.underCap(c, false) || !g.trySend(r):
		g.hold(r)
	}
	g.releaseHeld(c)
}

// learnFromOutcome learns from an outcome: latency, errors, load reports.
func (g *Gateway) learnFromOutcome(s *server, r *request, ev Outcome) {
	g.noteServerLoad(s, ev.Load)
	if ev.Code != NoRetry && ev.Code != Cancelled {
		g.reportOutcome(s, r.class, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.lateness += latenessWeight * (min(1, ev.Latency.Seconds()/r.class.LatencyTarget.Seconds()) - g.lateness)
	}
	switch ev.Code {
	case OK:
		if v := g.healthOf(s, r.class); v != nil {
			v.lastOK = g.now
		}
		base := g.loadFactor(s, r.loadAtSend) / g.minCapacityShare(s)
		lat := ev.Latency.Seconds() / base
		s.slowdown += g.ownOutcomeWeight * (min(lat/r.class.mean, maxSlowdown) - s.slowdown)
		g.meanLatency += meanLearningRate * (r.class.mean - g.meanLatency)
		r.class.outcomes++ // the first outcomes count for more
		r.class.mean += max(meanLearningRate, 1/(r.class.outcomes+1)) *
			(min(lat, maxLatencyMeans*r.class.mean) - r.class.mean)
	case Full:
		// It may turn away one plan only: this one goes elsewhere for a while.
		if s.planFull[r.customer.plan] = g.now + rejectionPause; g.cfg.MultiService != nil {
			s.planFull[r.customer.plan], s.fullUntil = 0, g.now+queueFullPause // its queue is full, for whomever
		}
		g.lateness += latenessWeight * (1 - g.lateness)
	}
}

func (g *Gateway) reportOutcome(s *server, cl *class, code Code, latency time.Duration) {
	if cl.Name == "" {
		return // not a configured class
	}
	for i, w := range s.watchers {
		if i > 0 && (code != ConnectFailed || !g.usesRoots) {
			break
		}
		if w == g.cfg.Me {
			g.recordOutcome(s, cl.index, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.emit(SendPeer{To: w, Data: encode(outcomeReport{uint32(s.ID), byte(cl.index), byte(code), ms})})
	}
}

// recordOutcome adds an outcome to what the fleet knows of a server. One that turns
// requests away is taken for very slow: it gets few more until it answers.
func (g *Gateway) recordOutcome(s *server, class int, code Code, latency time.Duration) {
	cl := g.classes[g.cfg.Classes[class].Name]
	v, mean := g.healthOf(s, cl), cl.mean
	seen := min(latency.Seconds()/mean/g.minCapacityShare(s), maxSlowdown)
	switch code {
	case OK:
		v.errorRate *= 1 - failureWeight
		if v.ejected {
			v.errorRate, v.trialBackoff = v.errorRate*failureShareAfterTrial, 0
		}
	case Full:
		seen = maxSlowdown
	case ConnectFailed:
		s.recordFailure(2 * failureWeight)
	default:
		s.recordFailure(failureWeight / 2) // it may fail other classes too
		v.errorRate += failureWeight / 2 * (1 - v.errorRate)
		seen = max(seen, s.sharedSlowdown)
	}
	s.sharedSlowdown += slowdownLearningRate * (seen - s.sharedSlowdown)
	g.publishVerdict(s)
}

// publishVerdict tells all gateways what has changed of a server that this one watches, and again what still keeps it
// out of use. Each goes to every gateway, so all watchers together keep to a part of the mail.
func (g *Gateway) publishVerdict(s *server) {
	each := g.cfg.MessagesPerSecond * verdictIntakeShare / float64(max(1, len(g.serverList)))
	s.verdictTokens = min(verdictBurst, s.verdictTokens+each*(g.now-s.verdictTokensAt).Seconds())
	s.verdictTokensAt = g.now
	if g.cfg.MultiService != nil {
		s.verdictTokens = verdictBurst // they are told to none
	}
	isFirst := s.watchers[0] == g.cfg.Me
	if !isFirst || !g.usesRoots {
		s.sharedSlowdown = s.slowdown // the second watcher knows only about connection failures
	}
	isBad := func(_ int, v *classHealth) bool {
		return v.errorRate > ejectionThreshold || v.ejected && (!first || v.errorRate > ejectionThreshold/2)
	}
	bits, news, any, until := s.ejectionBits(isBad)
	change := g.usesRoots && max(s.sharedSlowdown/s.slowdown, s.slowdown/s.sharedSlowdown) > slowdownReportFactor
	again := first && any && until-g.now < verdictTTL/4
	if s.verdictTokens < 1 || !news && !change && !again {
		return
	}
	m := serverVerdict{Server: uint32(s.ID), EjectedBits: bits,
		Slowdown: toByte(16 * (4 + math.Log2(max(s.sharedSlowdown, minSlowdown))))}
	g.applyVerdict(s, m.Slowdown, isBad)
	if g.usesRoots {
		s.verdictTokens--
		g.emit(SendPeer{To: -1, Data: encode(m)})
	}
}

// checkOverdue looks for attempts far older than predicted: they count as failed, and what can go elsewhere is
// called back. Guards against servers that take work and answer none; harms when all slow down at once,
// within the budget.
func (g *Gateway) checkOverdue(s *server) {
	for _, r := range slices.Clone(s.attempts) {
		if r.granted && r.customer.plan.MaxInFlight > 0 &&
			(g.now-r.askedAt).Seconds() > leaseMeanLatencies/2*r.class.mean {
			r.askedAt = g.now // its place is still taken
			g.emit(SendPeer{To: r.root, Data: encode(g.askFor(r))})
		}
		age := (g.now - r.sentAt).Seconds() /
			max(g.predictLatency(s, r.class), minOverdueShare*r.class.LatencyTarget.Seconds())
		v := g.healthOf(s, r.class)
		patient := g.cfg.MultiService == nil || r.effect != Safe || age < lostAnswerFactor // if others were since
		if age < overdueFactor || r.done || r.cancelled || r.streams || patient && v != nil && v.lastOK > r.sentAt {
			continue
		}
		r.cancelled = true
		g.reportOutcome(s, r.class, TimedOut, g.now-r.sentAt)
		if g.cfg.CanCancel && r.effect == Safe && g.retryBudgets[r.service] >= 1 &&
			(r.maxAttempts == 0 || r.attempts < r.maxAttempts) {
			g.emit(Cancel{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

// mayRunTrial tells whether a request may go to a server that is out of use, to see whether it is well again.
func (g *Gateway) mayRunTrial(r *request) bool {
	return r.attempts == 0 && (r.effect != Unsafe || g.cfg.MultiService != nil)
}
