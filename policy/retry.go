package policy

import "time"

// mayRetry decides whether to retry a request. It charges the retry budget, which limits retries in overload.
func (g *Gateway) mayRetry(r *request, code Code) bool {
	if r.maxAttempts > 0 && r.attempts >= r.maxAttempts ||
		r.mayHaveRun && (r.effect == Unsafe || r.effect == Keyed && g.now-r.ranAt >= r.class.DedupWindow) ||
		g.now+time.Duration(r.class.mean/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Full {
		if g.cfg.MultiService != nil && g.retryBudgets[r.service] < 1 {
			return false // an attempt that is not made costs no budget
		}
		g.retryBudgets[r.service]--
	}
	return g.retryBudgets[r.service] >= 0
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
