package policy

import "time"

// onAskTimeout asks again, elsewhere, for what was not answered.
func (g *Gateway) onAskTimeout() {
	list := g.askTimeouts
	g.askTimeouts = nil
	for _, r := range list {
		switch {
		case r.done || r.granted || g.pendingAsks[r.tag] != r:
		case g.now+g.cfg.Resolution <= r.askUntil: // a timer may come a rounding early
			g.askTimeouts = append(g.askTimeouts, r)
		case r.heldAtRoot:
			g.refuse(r)
		case g.cfg.MultiService != nil: // there may be fewer gateways since it was asked for
			g.unanswered(r)
		default:
			g.ask(r)
		}
	}
}

func (g *Gateway) sendAskEnded(r *request) {
	g.emit(SendPeer{To: r.root, Data: encode(askEnded{r.customer.key, r.tag, !r.unitsTaken})})
}

// onLoanReply goes on with the request that units were borrowed for. What comes too late for it stays for another.
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

func (g *Gateway) onAskReply(from int, m askReply) {
	r := g.pendingAsks[m.Tag]
	if r == nil || r.root != from || r.done {
		return
	}
	c := r.customer
	if !r.heldAtRoot {
		g.meanReplyTime += time.Duration(learn * float64(g.now-r.askedAt-g.meanReplyTime))
	}
	g.advance(c)
	g.answeredShare += learn * (1 - g.answeredShare)
	g.lateness += strainOwn * (float64(m.Lateness)/100 - g.lateness)
	c.fittingShare, c.fittingShareAt = float64(m.FittingShare)/250, g.now
	c.bucket, c.reportedTick = float64(m.BucketFill)/250*c.plan.Burst, g.tickCount+1
	if r.heldAtRoot = m.Verdict == heldAtRoot; r.heldAtRoot {
		r.askUntil = min(r.arrivedAt+time.Duration(holdAim*float64(r.class.LatencyTarget)), r.deadline-g.tickInterval)
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

// grant counts a member's request and tells it to go.
func (g *Gateway) grant(r *request) {
	c := r.customer
	c.chargeUnits(r, g.now)
	g.addLease(r)
	c.addInFlight(g.now, 1)
	r.unitsTaken, r.done = true, true
	g.answer(r, granted)
}

// addLease keeps a place for a member's request until more is heard of it.
func (g *Gateway) addLease(r *request) {
	until := g.now + time.Duration(leaseMeans*r.class.mean*float64(time.Second))
	r.customer.leases[leaseKey{r.root, r.tag}] = leaseEntry{until, r}
}

// onAsk takes a member's request into the customer's counts as if it had come in here.
func (g *Gateway) onAsk(from int, m askMessage) {
	c := g.customers[m.Customer]
	fresh := c == nil
	if fresh {
		c = g.account(m.Customer, g.plans[g.cfg.Plans[m.Plan].Name], int(m.First), int(m.Spread))
	}
	// One that counts for a root it can't hear goes by what the root last told.
	if m.BucketFill != unknownStore && (fresh || len(c.askRoots) > 0) {
		c.bucket = min(c.bucket, float64(m.BucketFill)/250*c.plan.Burst)
	}
	if r, v := c.pendingAsk(from, m.Tag); r != nil { // an answer was lost, or the attempt is still out
		if v == granted {
			g.addLease(r)
		}
		g.answer(r, v)
		return
	}
	g.advance(c)
	c.lastRequestAt, c.countsForOthers = g.now, true
	r := g.requestFrom(c, from, m)
	c.addDemand(r, float64(max(1, m.AskChance))/250)
	g.admit(r)
}
