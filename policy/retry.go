package policy

// Retries at other servers, their budget, and when to advise clients to retry.

import "time"

// mayRetry decides whether a request gets another attempt and charges the service's retry budget, which keeps
// retries from adding to an overload. usable decides at which servers.
func (g *Gateway) again(r *request, code Code) bool {
	if r.tries > 0 && r.attempts >= r.tries ||
		r.ran && (r.effect == Unsafe || r.effect == Keyed && g.now-r.ranAt >= r.cl.Window) ||
		g.now+time.Duration(r.cl.mean/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Full {
		if g.set.Field != nil && g.budgets[r.service] < 1 {
			return false // an attempt that is not made costs no budget
		}
		g.budgets[r.service]--
	}
	return g.budgets[r.service] >= 0
}

// earnRetryBudget adds to a service's retry budget what a first attempt earns.
func (g *Gateway) earn(service string) {
	perAttempt, maxBudget := retryEarn, retryCap
	if f := g.set.Field; f != nil {
		perAttempt, maxBudget = f.RetryEarn, f.RetryCap(service)
	}
	budget, known := g.budgets[service]
	if !known && g.set.Field == nil {
		budget = maxBudget
	}
	g.budgets[service] = min(maxBudget, budget+perAttempt)
}

// retryAfter returns when a retry may find room: after two ticks, and once the bucket holds what it needs.
// Without a rate quota room appears when attempts end, which is sooner than the long ticks of a large fleet.
func (g *Gateway) advice(r *request) time.Duration {
	c, wait := r.c, 2*g.tick.Seconds()
	if g.set.Field != nil && !r.beyond {
		return shortAdvice
	} else if g.wide {
		return wideAdvice
	}
	if c.plan.Rate == 0 {
		wait = min(wait, g.mean)
	} else {
		need := r.units + retryReserve*c.plan.Burst - g.allowance(c)
		wait = max(wait, need/c.plan.Rate)
	}
	return min(g.set.MaxRetryAfter, time.Duration(wait*float64(time.Second)))
}
