package policy

// Timing and order of reports; asking a customer's root to admit requests, where reports would be too many.

import (
	"math"
	"time"
)

// reportInterval returns the time between two reports to a peer.
func (g *Gateway) reportInterval() time.Duration {
	return g.tickInterval * time.Duration(g.reportTicks)
}

// reportUrgency orders a report: by held requests and unreported units, then by time since the last report.
func (g *Gateway) reportUrgency(c *customer) float64 {
	units := float64(c.passedUnits-c.reportedUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + reportAgeWeight*float64(g.tickCount-c.reportedTick)
}

// askRoot asks the customer's root to admit a request, again if message or reply is lost, then the deputy. If
// neither answers, or no peer has been heard from for long, this gateway decides without them.
func (g *Gateway) askRoot(r *request) {
	c := r.customer
	isolated := g.unansweredAsks >= isolatedAfterAsks && r.askCount > 0
	if delete(g.pendingAsks, r.tag); isolated || r.askCount > rootAsks ||
		g.now+2*g.cfg.Resolution >= r.deadline {
		if r.heldAtRoot || g.now >= r.deadline || !g.hasUnits(r) || !g.mayAdmitAlone(r) || !g.trySend(r) {
			g.refuse(r)
		}
		return
	}
	to := c.askRoots[0]
	if p := g.peerAt(to); r.askCount >= rootAsks || p.missed >= rootAsks && g.now-p.missedAt < peerPause {
		to = c.askRoots[1]
	}
	if to == g.cfg.Me {
		g.admit(r)
		return
	}
	if r.askCount > 0 {
		p := g.peerAt(r.root)
		p.missed, p.missedAt, g.unansweredAsks = p.missed+1, g.now, g.unansweredAsks+1
		g.answeredShare -= learningRate * g.answeredShare
	}
	if r.askCount == 0 {
		r.ownCeiling = c.ceiling >= r.units
	}
	if r.askCount == 0 || r.root != to { // the tag stays when the same root is asked again
		if r.askCount > 0 {
			g.sendAskEnded(r) // the former root may have granted it
		}
		g.nextTag++
		r.tag = g.nextTag
	}
	r.root, r.askedAt = to, g.now
	r.askCount++
	wait := max(minReplyWait, time.Duration(replyWaitMeans*float64(g.meanReplyTime)))
	r.askUntil = min(g.now+wait, r.deadline-2*g.cfg.Resolution)
	g.pendingAsks[r.tag] = r
	g.askTimeouts = append(g.askTimeouts, r)
	g.emit(SendPeer{To: r.root, Data: encode(g.askFor(r))})
	g.emit(SetTimer{Token: "ask", After: r.askUntil - g.now})
}

// mayAdmitAlone reports whether a request may pass though no root answers. If no peer answers, no more of a
// plan passes here than roots allowed before: that limits the load and, while demand stays, keeps quotas.
func (g *Gateway) mayAdmitAlone(r *request) bool {
	if g.unansweredAsks < isolatedAfterAsks { // other peers answer: the roots are overloaded
		return g.rng.Float64() < math.Pow(g.answeredShare, unansweredPassExponent)
	}
	plan := r.customer.plan
	observedShare := 1 - math.Exp(-(g.now-g.startedAt).Seconds()/askShareSpan.Seconds())
	maxUnits := plan.passedGranted.add(g.now, askShareSpan, 0) / observedShare *
		demandDecay.Seconds() / askShareSpan.Seconds()
	if r.isRetry || plan.MaxInFlight > 0 {
		maxUnits *= isolatedCautionFactor
	}
	return plan.passedAlone.add(g.now, demandDecay, 0)+r.units/2 <= maxUnits
}

// replyToAsk sends a root's decision to the asking gateway, with the share of such requests to ask for. Under
// a limit in flight, that share depends on the demand for it and on the root's remaining message rate.
func (g *Gateway) replyToAsk(r *request, decision byte) {
	fill := toByte(250 * max(0, r.customer.bucket) / max(1, r.customer.plan.Burst))
	askShare := 1.0
	if r.customer.plan.MaxInFlight > 0 {
		intake := max(minAskShare, 1-g.recentMessages/demandDecay.Seconds()/max(1, g.cfg.MessagesPerSecond))
		askShare = min(1,
			intake*float64(r.customer.plan.MaxInFlight)*demandDecay.Seconds()/r.customer.slotDemand)
	}
	if r.customer.plan.Rate > 0 && r.customer.bucket < retryReserve*r.customer.plan.Burst {
		askShare = min(askShare, r.customer.plan.Rate*demandDecay.Seconds()/max(r.customer.demand, 1))
	}
	g.emit(SendPeer{To: r.root,
		Data: encode(askReply{r.tag, decision, fill, toByte(100 * g.lateness), toByte(250 * askShare)})})
}
