package policy

// Reports from all to all, and where those are too many the roots of customers: where a customer's
// counts are not here, a request waits for its root's answer.

import (
	"math"
	"time"
)

// span is the time from one report to the next.
func (g *Gateway) span() time.Duration { return g.tick * time.Duration(g.every) }

// urgent orders a report, busiest first: held, and units not told yet, against
// what may be used at once; then those not told for longest.
func (g *Gateway) urgent(c *customer) float64 {
	units := float64(c.passed-c.toldUnits) / (c.plan.Burst + 1)
	return float64(len(c.held)) + units + untold*float64(g.ticks-c.told)
}

// ask sends a request to the customer's root, again if that or the answer is lost, and then to the
// deputy. Where none answers, or nobody was heard for long, this gateway decides alone.
func (g *Gateway) ask(r *request) {
	c := r.c
	deaf := g.deaf >= deafAsks && r.asked > 0
	if delete(g.asks, r.tag); deaf || r.asked > rootAsks || g.now+2*g.set.Resolution >= r.deadline {
		if r.waits || g.now >= r.deadline || !g.within(r) || !g.alone(r) || !g.try(r) {
			g.refuse(r)
		}
		return
	}
	to := c.ask[0]
	if p := g.peer(to); r.asked >= rootAsks || p.missed >= rootAsks && g.now-p.missedAt < rootRest {
		to = c.ask[1]
	}
	if to == g.set.Me {
		g.admit(r)
		return
	}
	if r.asked > 0 {
		p := g.peer(r.root)
		p.missed, p.missedAt, g.deaf = p.missed+1, g.now, g.deaf+1
		g.heard -= learn * g.heard
	}
	if r.asked == 0 {
		r.own = c.ceiling >= r.units
	}
	if r.asked == 0 || r.root != to { // the same name when the same root is asked again
		if r.asked > 0 {
			g.tellEnd(r) // it may have granted it
		}
		g.nextTag++
		r.tag = g.nextTag
	}
	r.root, r.askedAt = to, g.now
	r.asked++
	wait := max(leastReply, time.Duration(replySpread*float64(g.reply)))
	r.until = min(g.now+wait, r.deadline-2*g.set.Resolution)
	g.asks[r.tag] = r
	g.asking = append(g.asking, r)
	g.do(Tell{To: r.root, Data: encode(g.askOf(r))})
	g.do(SetTimer{Token: "ask", After: r.until - g.now})
}

// alone tells whether a request may pass though no root answers. Where nobody is heard no more of each
// plan passes here than the roots let pass, which holds the load and, while demand stays, the quotas.
func (g *Gateway) alone(r *request) bool {
	if g.deaf < deafAsks { // others are heard: it is flooded roots that do not answer
		return g.rng.Float64() < math.Pow(g.heard, unheardPower)
	}
	q := r.c.plan
	seen := 1 - math.Exp(-(g.now-g.start).Seconds()/thinSpan.Seconds())
	most := q.agreed.sum(g.now, thinSpan, 0) / seen * demandSpan.Seconds() / thinSpan.Seconds()
	if r.repeat || q.Open > 0 {
		most *= aloneCareful
	}
	return q.alone.sum(g.now, demandSpan, 0)+r.units/2 <= most
}

// answer tells the asking gateway a root's verdict, and what part of such asks fits. Under a cap
// that follows from the places that are asked for and from what the root's mail still bears.
func (g *Gateway) answer(r *request, v byte) {
	fill := small(250 * max(0, r.c.store) / max(1, r.c.plan.Burst))
	part := 1.0
	if r.c.plan.Open > 0 {
		left := max(askedLeast, 1-g.intake/demandSpan.Seconds()/max(1, g.set.MailPerSecond))
		part = min(1, left*float64(r.c.plan.Open)*demandSpan.Seconds()/r.c.places)
	}
	if r.c.plan.Rate > 0 && r.c.store < retryReserve*r.c.plan.Burst {
		part = min(part, r.c.plan.Rate*demandSpan.Seconds()/max(r.c.rate, 1))
	}
	g.do(Tell{To: r.root, Data: encode(answer{
		r.tag, v, fill, small(100 * g.strain), small(250 * part)})})
}
