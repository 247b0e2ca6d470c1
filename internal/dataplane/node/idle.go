package node

import (
	"math/bits"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

const (
	firstAgeBucket    = 32 * time.Millisecond // ages are told apart by this, doubled from one span to the next
	ageBucketCount    = 12
	quickBreakLimit   = 20 * time.Millisecond // a break before this, with no byte of an answer, is the connection's fault
	maxBreakShare     = 0.1                   // of the requests in a span that may break so
	minBreaks         = 3.0                   // breaks before a span is held to be too old
	ageDecayPerSecond = 0.98                  // what a second leaves of the counts: servers change

	// On a system's wire a connection that stood idle for long is tried first.
	probeMinIdle    = 50 * time.Millisecond // younger ones are not
	probeMargin     = 4 * time.Millisecond  // beyond the least time in which a reset comes back
	maxProbeWait    = 12 * time.Millisecond // what would take longer is not tried
	suspicionPeriod = 10 * time.Second      // after a break: what may run once takes none as old, and all others try it
	lateResetLimit  = 60 * time.Millisecond // a reset with no byte of an answer that comes so soon is a break for that
)

// idleAgeStats learns for how long an idle connection can be used again. App servers
// may close one sooner than they say, and a request written to it then ends as
// a reset, after which a keyed one has few ways left.
type idleAgeStats struct {
	uses, breaks [ageBucketCount]float64
	lastBreak    [ageBucketCount]time.Duration // when one broke; 0: never
}

func ageBucket(age time.Duration) int {
	return min(ageBucketCount-1, bits.Len64(uint64(max(0, age)/firstAgeBucket)))
}

// recordUse takes in how a request on a connection of some age went.
func (x *idleAgeStats) recordUse(age, now, took time.Duration, code policy.Code, begun bool) {
	i := ageBucket(age)
	x.uses[i]++
	if code == policy.Reset && !begun && took < quickBreakLimit {
		x.breaks[i]++
	}
	if code == policy.Reset && !begun && took < lateResetLimit {
		x.recordBreak(age, now)
	}
}

// maxUsableAge is the age from which too many break, or else the age given.
func (x *idleAgeStats) maxUsableAge(age time.Duration) time.Duration {
	for i := 1; i < ageBucketCount; i++ {
		if x.breaks[i] >= minBreaks && x.breaks[i] > maxBreakShare*x.uses[i] {
			return min(age, firstAgeBucket<<(i-1))
		}
	}
	return age
}

// recordBreak takes in that a connection of some age was forgotten.
func (x *idleAgeStats) recordBreak(age, now time.Duration) { x.lastBreak[ageBucket(age)] = now }

// brokeRecently tells whether one as old, or younger, broke lately.
func (x *idleAgeStats) brokeRecently(age, now time.Duration) bool {
	for _, at := range x.lastBreak[:ageBucket(age)+1] {
		if at > 0 && now-at < suspicionPeriod {
			return true
		}
	}
	return false
}

func (x *idleAgeStats) decay() {
	for i := range x.uses {
		x.uses[i] *= ageDecayPerSecond
		x.breaks[i] *= ageDecayPerSecond
	}
}

// needsProbe tells whether a connection that stood idle has to be tried before the request goes: always where that may run
// only once, else where one as old broke lately. A trial does not wait for resets that come late, so what may run once
// takes none as old then.
func (u *upstream) needsProbe(a *attempt, c *upConn) bool {
	if !u.isManaged || c.idleSince == 0 || c.probeWait() > maxProbeWait {
		return false
	}
	now := u.clock.now()
	u.mu.Lock()
	defer u.mu.Unlock()
	return now-c.idleSince >= probeMinIdle && (a.atMostOnce || u.idleAges.brokeRecently(now-c.idleSince, now))
}

// probeWait is how long a trial takes: a reset is back by then, unless it comes late.
func (c *upConn) probeWait() time.Duration {
	return c.fastestConnect + c.fastestConnect/4 + probeMargin
}

// probe tells whether a server still knows a connection that stood idle. One that dropped it without a packet resets it
// at whatever comes next: so the request's first bytes go ahead, and the others follow when a reset would be here. A
// request of which that is all has not run.
func (u *upstream) probe(a *attempt, c *upConn, req *clientRequest) bool {
	if !a.setConn(c) {
		return true // given up: the caller sees to it
	}
	age := u.clock.now() - c.idleSince
	if c.SetDeadline(u.clock.time(a.deadline)) == nil {
		n, err := c.Write(req.method)
		if c.probedBytes = n; err == nil {
			world.Pause(u.clock, c.probeWait())
			if isQuiet(c) {
				return true
			}
		}
	}
	if a.setConn(nil) {
		u.mu.Lock()
		u.idleAges.recordBreak(age, u.clock.now())
		if s := u.servers[a.server]; s != nil { // it may have forgotten all that are older
			older := u.clock.now() - age
			s.idle = slices.DeleteFunc(s.idle, func(o *upConn) bool {
				if o.idleSince > older {
					return false
				}
				o.Close()
				u.openConns--
				return true
			})
		}
		u.mu.Unlock()
	}
	return false
}
