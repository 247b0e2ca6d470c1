package policy

import "time"

// onAskTimeout handles the requests whose ask has had no reply in time: it asks again or gives up.
func (g *Gateway) onAskTimer() {
	timeouts := g.asking
	g.asking = nil
	for _, r := range timeouts {
		switch {
		case r.over || r.granted || g.asks[r.tag] != r:
		case g.now+g.set.Resolution <= r.until: // rounding may make a timer fire slightly early
			g.asking = append(g.asking, r)
		case r.waits:
			g.refuse(r)
		case g.set.Field != nil: // the set of gateways may have shrunk since the ask
			g.unanswered(r)
		default:
			g.ask(r)
		}
	}
}

// sendAskEnded tells the root of a request that its attempt has ended or was never made.
func (g *Gateway) tellEnd(r *request) {
	g.do(Tell{To: r.root, Data: encode(ended{r.c.key, r.tag, !r.counted})})
}

// onLoanReply continues the request that units were borrowed for, or asks the next lender if there are none.
// Units that arrive after the request has ended stay here for other requests.
func (g *Gateway) onLent(m lent) {
	if c := g.customers[m.Customer]; c != nil {
		g.advance(c)
		c.ceiling += float64(m.Units)
	}
	r := g.asks[m.Tag]
	switch {
	case r == nil || r.over:
	case m.Units == 0:
		g.borrow(r)
	default:
		delete(g.asks, m.Tag)
		g.admit(r)
	}
}

// onAskReply takes over a root's decision on a request, and what the root says of the customer and its load.
func (g *Gateway) onAnswer(from int, m answer) {
	r := g.asks[m.Tag]
	if r == nil || r.root != from || r.over {
		return
	}
	c := r.c
	if !r.waits {
		g.reply += time.Duration(learn * float64(g.now-r.askedAt-g.reply))
	}
	g.advance(c)
	g.heard += learn * (1 - g.heard)
	g.strain += strainOwn * (float64(m.Strain)/100 - g.strain)
	c.part, c.partAt = float64(m.Part)/250, g.now
	c.store, c.told = float64(m.Fill)/250*c.plan.Burst, g.ticks+1
	if r.waits = m.Verdict == waits; r.waits {
		r.until = min(r.arrived+time.Duration(holdAim*float64(r.cl.Aim)), r.deadline-g.tick)
		g.do(SetTimer{Token: "ask", After: max(g.set.Resolution, r.until-g.now)})
		return
	}
	delete(g.asks, m.Tag)
	if r.granted = m.Verdict == granted; !r.granted || !g.within(r) {
		g.refuse(r)
	} else if !g.try(r) {
		g.hold(r)
	}
}

// grant counts a request that another gateway asked for and tells that gateway to send it.
func (g *Gateway) grant(r *request) {
	c := r.c
	c.take(r, g.now)
	g.lease(r)
	c.count(g.now, 1)
	r.counted, r.over = true, true
	g.answer(r, granted)
}

// addLease counts a granted request as in flight until its gateway reports its end or the lease expires.
func (g *Gateway) lease(r *request) {
	until := g.now + time.Duration(leaseMeans*r.cl.mean*float64(time.Second))
	r.c.leases[lease{r.root, r.tag}] = leased{until, r}
}

// onAsk handles another gateway's ask: it counts the request as if a client had sent it here.
func (g *Gateway) onAsk(from int, m ask) {
	c := g.customers[m.Customer]
	isNew := c == nil
	if isNew {
		c = g.account(m.Customer, g.plans[g.set.Plans[m.Plan].Name], int(m.First), int(m.Spread))
	}
	// A deputy that stands in for an unreachable root uses the bucket fill that the root last reported.
	if m.Fill != unknownStore && (isNew || len(c.ask) > 0) {
		c.store = min(c.store, float64(m.Fill)/250*c.plan.Burst)
	}
	if r, v := c.pending(from, m.Tag); r != nil { // the reply was lost, or the attempt is still in flight
		if v == granted {
			g.lease(r)
		}
		g.answer(r, v)
		return
	}
	g.advance(c)
	c.seen, c.sums = g.now, true
	r := g.requestOf(c, from, m)
	c.asked(r, float64(max(1, m.Thin))/250)
	g.admit(r)
}
