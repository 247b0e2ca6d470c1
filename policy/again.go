package policy

// Further tries, their budgets, and when a client may try again.

import "time"

// mayRetry decides whether a request may have a further attempt. Where it may go
// is usable's to say. The budget keeps retries from feeding an overload.
func (g *Gateway) mayRetry(r *request, code Code) bool {
	if r.maxAttempts > 0 && r.attempts >= r.maxAttempts ||
		r.mayHaveRun && (r.effect == Unsafe || r.effect == Keyed && g.now-r.ranAt >= r.class.DedupWindow) ||
		g.now+time.Duration(r.class.mean/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Full {
		if g.cfg.MultiService != nil && g.retryBudgets[r.service] < 1 {
			return false // nothing is owed for a try that is not made
		}
		g.retryBudgets[r.service]--
	}
	return g.retryBudgets[r.service] >= 0
}

// earnRetryBudget adds a first attempt to its service's budget of further ones.
func (g *Gateway) earnRetryBudget(service string) {
	each, most := retryEarn, retryCap
	if f := g.cfg.MultiService; f != nil {
		each, most = f.RetryBudgetPerAttempt, f.MaxRetryBudget(service)
	}
	b, known := g.retryBudgets[service]
	if !known && g.cfg.MultiService == nil {
		b = most
	}
	g.retryBudgets[service] = min(most, b+each)
}

// retryAfter is when a retry may find room: once the store will have filled up to
// what a repeat needs, and no sooner than the next ticks. Under a cap alone that
// is when attempts end; a large fleet's ticks are far longer.
func (g *Gateway) retryAfter(r *request) time.Duration {
	c, wait := r.customer, 2*g.tickInterval.Seconds()
	if g.cfg.MultiService != nil && !r.overQuota {
		return shortAdvice
	} else if g.borrows {
		return wideAdvice
	}
	if c.plan.Rate == 0 {
		wait = min(wait, g.meanLatency)
	} else {
		need := r.units + retryReserve*c.plan.Burst - g.allowance(c)
		wait = max(wait, need/c.plan.Rate)
	}
	return min(g.cfg.MaxRetryAfter, time.Duration(wait*float64(time.Second)))
}
