package policy

// Further tries, their budgets, and when a client may try again.

import "time"

// again decides whether a request may have a further attempt. Where it may go
// is usable's to say. The budget keeps retries from feeding an overload.
func (g *Gateway) again(r *request, code Code) bool {
	if r.tries > 0 && r.attempts >= r.tries ||
		r.ran && (r.effect == Unsafe || r.effect == Keyed && g.now-r.ranAt >= r.cl.Window) ||
		g.now+time.Duration(r.cl.mean/2*float64(time.Second)) > r.deadline {
		return false
	}
	if !code.NeverRan() || code == Full {
		if g.set.Field != nil && g.budgets[r.service] < 1 {
			return false // nothing is owed for a try that is not made
		}
		g.budgets[r.service]--
	}
	return g.budgets[r.service] >= 0
}

// earn adds a first attempt to its service's budget of further ones.
func (g *Gateway) earn(service string) {
	each, most := retryEarn, retryCap
	if f := g.set.Field; f != nil {
		each, most = f.RetryEarn, f.RetryCap(service)
	}
	b, known := g.budgets[service]
	if !known && g.set.Field == nil {
		b = most
	}
	g.budgets[service] = min(most, b+each)
}

// advice is when a retry may find room: once the store will have filled up to
// what a repeat needs, and no sooner than the next ticks. Under a cap alone that
// is when attempts end; a large fleet's ticks are far longer.
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
