package policy

import "time"

// onAskTimeout handles the requests whose ask has had no reply in time: it asks again or gives up.
func (g *Gateway) onAskTimeout() {
	timeouts := g.askTimeouts
	g.askTimeouts = nil
	for _, r := range timeouts {
		switch {
		case r.done || r.granted || g.pendingAsks[r.tag] != r:
		case g.now+g.cfg.Resolution <= r.askUntil: // rounding may make a timer fire slightly early
			g.askTimeouts = append(g.askTimeouts, r)
		case r.heldAtRoot:
			g.refuse(r)
		case g.cfg.MultiService != nil: // the set of gateways may have shrunk since the ask
			g.onLoanTimeout(r)
		default:
			g.askRoot(r)
		}
	}
}

// renewLease asks the root of a request again before its lease expires, since the attempt is still in flight.
func (g *Gateway) renewLease(r *request) {
	if r.granted && r.customer.plan.MaxInFlight > 0 &&
		(g.now-r.askedAt).Seconds() > leaseMeanLatencies/2*r.class.mean {
		r.askedAt = g.now
		g.emit(SendPeer{To: r.root, Data: encode(g.askFor(r))})
	}
}

// sendAskEnded tells the root of a request that its attempt has ended or was never made.
func (g *Gateway) sendAskEnded(r *request) {
	g.emit(SendPeer{To: r.root, Data: encode(askEnded{r.customer.key, r.tag, !r.unitsTaken})})
}

// onLoanReply continues the request that units were borrowed for, or asks the next lender if there are none.
// Units that arrive after the request has ended stay here for other requests.
func (g *Gateway) onLoanReply(m loanReply) {
	if c := g.customers[m.Customer]; c != nil {
		g.advance(c)
		c.ceiling += float64(m.Units)
	}
	r := g.pendingAsks[m.Tag]
	switch {
	case r == nil || r.done:
	case m.Units == 0:
		g.borrow(r)
	default:
		delete(g.pendingAsks, m.Tag)
		g.admit(r)
	}
}

// onAskReply takes over a root's decision on a request, and what the root says of the customer and its load.
func (g *Gateway) onAskReply(from int, m askReply) {
	r := g.pendingAsks[m.Tag]
	if r == nil || r.root != from || r.done {
		return
	}
	c := r.customer
	if !r.heldAtRoot {
		g.meanReplyTime += time.Duration(learningRate * float64(g.now-r.askedAt-g.meanReplyTime))
	}
	g.advance(c)
	g.answeredShare += learningRate * (1 - g.answeredShare)
	g.lateness += latenessWeight * (float64(m.Lateness)/100 - g.lateness)
	c.fittingShare, c.fittingShareAt = float64(m.FittingShare)/250, g.now
	c.bucket, c.reportedTick = float64(m.BucketFill)/250*c.plan.Burst, g.tickCount+1
	if r.heldAtRoot = m.Verdict == heldAtRoot; r.heldAtRoot {
		r.askUntil = min(r.arrivedAt+time.Duration(holdShare*float64(r.class.LatencyTarget)), r.deadline-g.tickInterval)
		g.emit(SetTimer{Token: "ask", After: max(g.cfg.Resolution, r.askUntil-g.now)})
		return
	}
	delete(g.pendingAsks, m.Tag)
	if r.granted = m.Verdict == granted; !r.granted || !g.hasUnits(r) {
		g.refuse(r)
	} else if !g.trySend(r) {
		g.hold(r)
	}
}

// grant counts a request that another gateway asked for and tells that gateway to send it.
func (g *Gateway) grant(r *request) {
	c := r.customer
	c.chargeUnits(r, g.now)
	g.addLease(r)
	c.addInFlight(g.now, 1)
	r.unitsTaken, r.done = true, true
	g.replyToAsk(r, granted)
}

// addLease counts a granted request as in flight until its gateway reports its end or the lease expires.
func (g *Gateway) addLease(r *request) {
	until := g.now + time.Duration(leaseMeanLatencies*r.class.mean*float64(time.Second))
	r.customer.leases[leaseKey{r.root, r.tag}] = leaseEntry{until, r}
}

// onAsk handles another gateway's ask: it counts the request as if a client had sent it here.
func (g *Gateway) onAsk(from int, m askMessage) {
	c := g.customers[m.Customer]
	isNew := c == nil
	if isNew {
		c = g.addCustomer(m.Customer, g.plans[g.cfg.Plans[m.Plan].Name], int(m.FirstGateway), int(m.GatewayCount))
	}
	// A deputy that stands in for an unreachable root uses the bucket fill that the root last reported.
	if m.BucketFill != unknownFill && (isNew || len(c.askRoots) > 0) {
		c.bucket = min(c.bucket, float64(m.BucketFill)/250*c.plan.Burst)
	}
	if r, v := c.pendingAsk(from, m.Tag); r != nil { // the reply was lost, or the attempt is still in flight
		if v == granted {
			g.addLease(r)
		}
		g.replyToAsk(r, v)
		return
	}
	g.advance(c)
	c.lastRequestAt, c.countsForOthers = g.now, true
	r := g.requestFrom(c, from, m)
	c.addDemand(r, float64(max(1, m.AskChance))/250)
	g.admit(r)
}
