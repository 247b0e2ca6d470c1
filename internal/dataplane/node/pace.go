package node

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 25 * time.Millisecond
	maxBackoff = 400 * time.Millisecond

	// Where lists must be asked for, all edge nodes ask one service, which is as
	// large as it is however many they are. A call that waits too long there is
	// turned away after it has been worked on, so that calls in step, or repeated
	// soon, leave nobody served. All together ask some ten times a second: each has
	// so long for each of them, up to a bound: within that time the service can take a
	// call from every edge node, however many there are (the largest all_call_s of the
	// operators' sites), and later each counts as told.
	spreadPerProxy = 100 * time.Millisecond
	maxSpread      = 8 * time.Second

	// Moved to another address, each asks for the whole list, which costs twice what a
	// change does. What is to be told counts as told 6 s after the last call.
	maxMoveDelay = 5500 * time.Millisecond
)

// callPacing says when an edge node calls discovery. The zero value is for an agent on
// its own machine, which may be asked as often as it likes.
type callPacing struct {
	spread  time.Duration // calls of all edge nodes are spread over it; 0: they need not be
	random  *rand.Rand    // nil where pause is 0
	backoff time.Duration // after the next failure, where they need not be spread
}

// newSharedPacing is for one of so many edge nodes that ask one service. The seed
// spreads its calls among theirs.
func newSharedPacing(nodes int, seed uint64) callPacing {
	return callPacing{spread: min(time.Duration(nodes)*spreadPerProxy, maxSpread), random: rand.New(rand.NewPCG(seed, 0x5851f42d4c957f2d))}
}

// firstDelay is how long to wait before the first call, where a list is held that does
// until then. Changes cost the service half of what a list does, at most.
func (p *callPacing) firstDelay() time.Duration {
	if p.spread == 0 {
		return 0
	}
	return time.Duration(p.random.Float64() * float64(p.spread) / 2)
}

// moveDelay is how long to wait before the first call at another address, where a list
// is held that does until then.
func (p *callPacing) moveDelay() time.Duration {
	if p.spread == 0 {
		return 0
	}
	return time.Duration(p.random.Float64() * float64(min(p.spread, maxMoveDelay)))
}

// retryDelay is how long to wait after a call that brought nothing.
func (p *callPacing) retryDelay() time.Duration {
	if p.spread > 0 {
		return time.Duration((0.5 + p.random.Float64()) * float64(p.spread))
	}
	p.backoff = max(p.backoff, minBackoff)
	wait := p.backoff
	p.backoff = min(2*p.backoff, maxBackoff)
	return wait
}

// resetBackoff notes a call that brought something.
func (p *callPacing) resetBackoff() { p.backoff = 0 }
