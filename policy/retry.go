package policy

import "time"

// mayRetry decides whether to retry a request. It charges the retry budget, which limits retries in overload.
func (g *Gateway) mayRetry(r *request, code Code) bool {
	if r.cancelled { // charged when it was cancelled
		return code == Cancelled || g.hasTry(r, r.class.mean/2)
	}
	if r.triesUsed() && r.movedFrom == nil || !g.hasTry(r, r.class.mean/2) {
		return false
	}
	least := 0.0
	if r.movedFrom != nil {
		least = -1 // its attempt was given up for this one: the way back may overdraw the budget
	}
	if !code.NeverRan() || code == Full {
		if g.cfg.MultiService != nil && g.retryBudgets[r.service] < least+1 {
			return false // an attempt that is not made costs no budget
		}
		g.retryBudgets[r.service]--
	}
	return g.retryBudgets[r.service] >= least
}

// triesUsed reports whether a request was sent as often as its route's tries allow.
func (r *request) triesUsed() bool { return r.maxAttempts > 0 && r.attempts >= r.maxAttempts }

// mayGoTo reports whether the next attempt may go to a server: not to that of the last one. A request with
// all tries used may go back to the server that it was moved from, or if that is leaving, to the last one.
func (r *request) mayGoTo(s *server) bool {
	if r.movedFrom == nil || !r.triesUsed() {
		return s != r.lastServer
	}
	return s == r.movedFrom || s == r.lastServer && r.movedFrom.State != Running
}

// hasTry reports whether a request's effect allows one more attempt, and so many seconds are left for it.
func (g *Gateway) hasTry(r *request, seconds float64) bool {
	if r.mayHaveRun && (r.effect == Unsafe || r.effect == Keyed && g.now-r.ranAt >= r.class.DedupWindow) {
		return false
	}
	return g.now+time.Duration(seconds*float64(time.Second)) <= r.deadline
}

// moveElsewhere cancels the attempt in flight of a Safe request in favour of another one, if another server
// would get the request now. Until the attempt has ended, that server's place and the retry are reserved.
func (g *Gateway) moveElsewhere(r *request) {
	if !g.cfg.CanCancel || r.effect != Safe || g.now < r.noMoveUntil ||
		r.triesUsed() || !g.hasTry(r, r.class.mean) || g.retryBudgets[r.service] < 1 {
		return
	}
	if r.movedTo = g.pickServer(r); r.movedTo == nil {
		r.noMoveUntil = g.now + queueFullPause
		return
	}
	r.movedTo.reserved++
	r.movedFrom, r.cancelled = r.server, true
	g.retryBudgets[r.service]--
	g.emit(Cancel{ID: r.id, Attempt: r.attempts - 1})
}

// earnRetryBudget adds to a service's retry budget what a first attempt earns.
func (g *Gateway) earnRetryBudget(service string) {
	perAttempt, maxBudget := retryBudgetEarned, maxRetryBudget
	if f := g.cfg.MultiService; f != nil {
		perAttempt, maxBudget = f.RetryBudgetPerAttempt, f.MaxRetryBudget(service)
	}
	budget, known := g.retryBudgets[service]
	if !known && g.cfg.MultiService == nil {
		budget = maxBudget
	}
	g.retryBudgets[service] = min(maxBudget, budget+perAttempt)
}

// retryAfter returns when a retry may find room: after two ticks, and once the bucket holds what it needs.
// Without a rate quota room appears when attempts end, which is sooner than the long ticks of a large fleet.
func (g *Gateway) retryAfter(r *request) time.Duration {
	c, wait := r.customer, 2*g.tickInterval.Seconds()
	if g.cfg.MultiService != nil && !r.overQuota {
		return noServerAdvice
	} else if g.borrows {
		return beyondQuotaAdvice
	}
	if c.plan.Rate == 0 {
		wait = min(wait, g.meanLatency)
	} else {
		need := r.units + retryReserve*c.plan.Burst - g.allowance(c)
		wait = max(wait, need/c.plan.Rate)
	}
	return min(g.cfg.MaxRetryAfter, time.Duration(wait*float64(time.Second)))
}
