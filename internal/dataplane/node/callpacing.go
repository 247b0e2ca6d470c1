package node

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 25 * time.Millisecond
	maxBackoff = 400 * time.Millisecond

	// With a central discovery service, all proxies call one service whose capacity does not grow with their number. It
	// rejects a call that waits too long only after doing the work for it, so if calls are synchronized or repeated soon, none
	// succeeds. The proxies together make about ten calls a second: each spreads its calls over spreadPerProxy times the
	// number of proxies, up to maxSpread. Within maxSpread, the largest all_call_s of the operators' sites, the service can
	// take a call from every proxy of a fleet of any size; after it, every proxy is assumed to know of a change.
	spreadPerProxy = 100 * time.Millisecond
	maxSpread      = 8 * time.Second

	// After a change of the discovery address each proxy fetches the complete list, which costs the service twice as much as
	// a change. 6 s after its last call a proxy is assumed to know the current list, so the delay stays below that.
	maxMoveDelay = 5500 * time.Millisecond
)

// callPacing determines when a proxy calls discovery. The zero value is for a discovery agent on the proxy's own machine,
// which needs no spreading of calls.
type callPacing struct {
	spread  time.Duration // calls of all proxies are spread over this time; 0: they are not spread
	random  *rand.Rand    // nil if spread is 0
	backoff time.Duration // delay after the next failure, if calls are not spread
}

// newSharedPacing returns the pacing of one of several proxies that call one service. The seed determines the place of its
// calls among theirs.
func newSharedPacing(proxies int, seed uint64) callPacing {
	return callPacing{spread: min(time.Duration(proxies)*spreadPerProxy, maxSpread), random: rand.New(rand.NewPCG(seed, 0x5851f42d4c957f2d))}
}

// firstDelay returns how long a proxy with a cached list waits before its first call. It is at most half of the spread,
// because changes cost the service at most half as much as a complete list.
func (p *callPacing) firstDelay() time.Duration {
	if p.spread == 0 {
		return 0
	}
	return time.Duration(p.random.Float64() * float64(p.spread) / 2)
}

// moveDelay returns how long a proxy that has a list waits before its first call to another address.
func (p *callPacing) moveDelay() time.Duration {
	if p.spread == 0 {
		return 0
	}
	return time.Duration(p.random.Float64() * float64(min(p.spread, maxMoveDelay)))
}

// retryDelay returns how long to wait after a failed call.
func (p *callPacing) retryDelay() time.Duration {
	if p.spread > 0 {
		return time.Duration((0.5 + p.random.Float64()) * float64(p.spread))
	}
	p.backoff = max(p.backoff, minBackoff)
	wait := p.backoff
	p.backoff = min(2*p.backoff, maxBackoff)
	return wait
}

// resetBackoff starts the backoff from its minimum again, after a successful call.
func (p *callPacing) resetBackoff() { p.backoff = 0 }
