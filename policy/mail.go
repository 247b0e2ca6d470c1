package policy

// Messages between gateways: reports from all to all or, where those would be too many, asking a
// customer's root. A request of a customer that is not counted here waits for the root's reply.

import (
	"math"
	"time"
)

// reportInterval returns the time between two reports to a peer.
func (g *Gateway) span() time.Duration { return g.tick * time.Duration(g.every) }

// reportUrgency orders the customers in a report: by held requests and by unreported
// units relative to the bucket size, then by the time since they were last reported.
func (g *Gateway) urgent(c *customer) float64 {
	units := float64(c.passedUnits-c.reportedUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + untold*float64(g.tickCount-c.reportedTick)
}

// askRoot asks the customer's root to admit a request, again if the message or its reply is lost, and then the
// deputy. If neither answers, or no peer has been heard from for long, this gateway decides without them.
func (g *Gateway) ask(r *request) {
	c := r.c
	isolated := g.deaf >= deafAsks && r.asked > 0
	if delete(g.asks, r.tag); isolated || r.asked > rootAsks || g.now+2*g.set.Resolution >= r.deadline {
		if r.waits || g.now >= r.deadline || !g.within(r) || !g.alone(r) || !g.try(r) {
			g.refuse(r)
		}
		return
	}
	to := c.askRoots[0]
	if p := g.peerAt(to); r.askCount >= rootAsks || p.missed >= rootAsks && g.now-p.missedAt < rootRest {
		to = c.askRoots[1]
	}
	if to == g.cfg.Me {
		g.admit(r)
		return
	}
	if r.askCount > 0 {
		p := g.peerAt(r.root)
		p.missed, p.missedAt, g.unansweredAsks = p.missed+1, g.now, g.unansweredAsks+1
		g.answeredShare -= learn * g.answeredShare
	}
	if r.askCount == 0 {
		r.ownCeiling = c.ceiling >= r.units
	}
	if r.asked == 0 || r.root != to { // the tag stays when the same root is asked again
		if r.asked > 0 {
			g.tellEnd(r) // the former root may have granted it
		}
		g.nextTag++
		r.tag = g.nextTag
	}
	r.root, r.askedAt = to, g.now
	r.askCount++
	wait := max(leastReply, time.Duration(replySpread*float64(g.meanReplyTime)))
	r.askUntil = min(g.now+wait, r.deadline-2*g.cfg.Resolution)
	g.pendingAsks[r.tag] = r
	g.askTimeouts = append(g.askTimeouts, r)
	g.emit(SendPeer{To: r.root, Data: encode(g.askFor(r))})
	g.emit(SetTimer{Token: "ask", After: r.askUntil - g.now})
}

// mayAdmitWithoutRoot reports whether a request may pass though no root answers. If no peer answers, this gateway
// passes no more of each plan than the roots allowed before, which keeps the load and, at the same demand, the quotas.
func (g *Gateway) alone(r *request) bool {
	if g.deaf < deafAsks { // other peers answer: the roots are overloaded
		return g.rng.Float64() < math.Pow(g.heard, unheardPower)
	}
	plan := r.c.plan
	observedShare := 1 - math.Exp(-(g.now-g.start).Seconds()/thinSpan.Seconds())
	maxUnits := plan.agreed.sum(g.now, thinSpan, 0) / observedShare * demandSpan.Seconds() / thinSpan.Seconds()
	if r.repeat || plan.Open > 0 {
		maxUnits *= aloneCareful
	}
	return plan.alone.sum(g.now, demandSpan, 0)+r.units/2 <= maxUnits
}

// replyToAsk sends a root's decision to the asking gateway, and the share of such requests it should ask for. Under a
// limit on requests in flight, the share depends on the demand for them and on the root's remaining message rate.
func (g *Gateway) answer(r *request, decision byte) {
	fill := small(250 * max(0, r.c.store) / max(1, r.c.plan.Burst))
	askShare := 1.0
	if r.c.plan.Open > 0 {
		intakeLeft := max(askedLeast, 1-g.intake/demandSpan.Seconds()/max(1, g.set.MailPerSecond))
		askShare = min(1, intakeLeft*float64(r.c.plan.Open)*demandSpan.Seconds()/r.c.places)
	}
	if r.c.plan.Rate > 0 && r.c.store < retryReserve*r.c.plan.Burst {
		askShare = min(askShare, r.c.plan.Rate*demandSpan.Seconds()/max(r.c.rate, 1))
	}
	g.do(Tell{To: r.root, Data: encode(answer{r.tag, decision, fill, small(100 * g.strain), small(250 * askShare)})})
}
