package policy

// Messages between gateways: reports from all to all or, where those would be too many, asking a
// customer's root. A request of a customer that is not counted here waits for the root's reply.

import (
	"math"
	"time"
)

// reportInterval is the time from one report to the next.
func (g *Gateway) reportInterval() time.Duration {
	return g.tickInterval * time.Duration(g.reportTicks)
}

// reportUrgency orders a report, busiest first: held, and units not told yet, against
// what may be used at once; then those not told for longest.
func (g *Gateway) reportUrgency(c *customer) float64 {
	units := float64(c.passedUnits-c.reportedUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + reportAgeWeight*float64(g.tickCount-c.reportedTick)
}

// askRoot sends a request to the customer's root, again if that or the answer is lost, and then to the
// deputy. Where none answers, or nobody was heard for long, this gateway decides alone.
func (g *Gateway) askRoot(r *request) {
	c := r.customer
	deaf := g.unansweredAsks >= isolatedAfterAsks && r.askCount > 0
	if delete(g.pendingAsks, r.tag); deaf || r.askCount > maxRootAsks || g.now+2*g.cfg.Resolution >= r.deadline {
		if r.heldAtRoot || g.now >= r.deadline || !g.hasUnits(r) || !g.mayAdmitWithoutRoot(r) || !g.trySend(r) {
			g.refuse(r)
		}
		return
	}
	to := c.askRoots[0]
	if p := g.peerAt(to); r.askCount >= maxRootAsks || p.missed >= maxRootAsks && g.now-p.missedAt < unresponsivePause {
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

// mayAdmitWithoutRoot tells whether a request may pass though no root answers. Where nobody is heard no more of each
// plan passes here than the roots let pass, which holds the load and, while demand stays, the quotas.
func (g *Gateway) mayAdmitWithoutRoot(r *request) bool {
	if g.unansweredAsks < isolatedAfterAsks { // others are heard: it is flooded roots that do not answer
		return g.rng.Float64() < math.Pow(g.answeredShare, unansweredPassExponent)
	}
	q := r.customer.plan
	seen := 1 - math.Exp(-(g.now-g.startedAt).Seconds()/askShareSpan.Seconds())
	most := q.passedGranted.add(g.now, askShareSpan, 0) / seen * demandTimeConstant.Seconds() / askShareSpan.Seconds()
	if r.isRetry || q.MaxInFlight > 0 {
		most *= isolatedCautionFactor
	}
	return q.passedAlone.add(g.now, demandTimeConstant, 0)+r.units/2 <= most
}

// replyToAsk tells the asking gateway a root's verdict, and what part of such asks fits. Under a cap
// that follows from the places that are asked for and from what the root's mail still bears.
func (g *Gateway) replyToAsk(r *request, v byte) {
	fill := toByte(250 * max(0, r.customer.bucket) / max(1, r.customer.plan.Burst))
	askShare := 1.0
	if r.customer.plan.MaxInFlight > 0 {
		left := max(minAskShare, 1-g.recentMessages/demandTimeConstant.Seconds()/max(1, g.cfg.MessagesPerSecond))
		part = min(1, left*float64(r.customer.plan.MaxInFlight)*demandTimeConstant.Seconds()/r.customer.slotDemand)
	}
	if r.customer.plan.Rate > 0 && r.customer.bucket < retryReserve*r.customer.plan.Burst {
		part = min(part, r.customer.plan.Rate*demandTimeConstant.Seconds()/max(r.customer.demand, 1))
	}
	g.emit(SendPeer{To: r.root, Data: encode(askReply{r.tag, decision, fill, toByte(100 * g.lateness), toByte(250 * askShare)})})
}
