package node

import (
	"math/bits"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

const (
	firstAgeBucket    = 32 * time.Millisecond // upper end of the first age bucket; it doubles from one bucket to the next
	ageBucketCount    = 12
	quickBreakLimit   = 20 * time.Millisecond // a reset sooner than this, with no byte of an answer, is blamed on the connection
	maxBreakShare     = 0.1                   // share of an age bucket's requests that may break
	minBreaks         = 3.0                   // breaks needed before an age bucket counts as too old
	ageDecayPerSecond = 0.98                  // factor applied to the counts each second, since servers change

	// Under the managed protocol, a connection that was idle for long is probed before use.
	probeMinIdle    = 50 * time.Millisecond // connections idle for less are not probed
	probeMargin     = 4 * time.Millisecond  // time to wait beyond the shortest time in which a reset comes back
	maxProbeWait    = 12 * time.Millisecond // connections that would need a longer wait are not probed
	suspicionPeriod = 10 * time.Second      // after a break, requests that may run only once use no connection as old, and all others probe it
	lateResetLimit  = 60 * time.Millisecond // a reset within this time, with no byte of an answer, counts as a break for suspicionPeriod
)

// idleAgeStats learns how long an idle connection stays usable. Servers may close one sooner than they announce. A request
// written to it then ends with a reset, and a request that may run only once can't simply be retried after that.
type idleAgeStats struct {
	uses, breaks [ageBucketCount]float64
	lastBreak    [ageBucketCount]time.Duration // time of the last break by age bucket; 0: never
}

// ageBucket returns the index of the bucket that an idle age falls into.
func ageBucket(age time.Duration) int {
	return min(ageBucketCount-1, bits.Len64(uint64(max(0, age)/firstAgeBucket)))
}

// recordUse records how a request on a connection of the given idle age ended.
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

// maxUsableAge returns the age from which too many connections break, at most the given age.
func (x *idleAgeStats) maxUsableAge(age time.Duration) time.Duration {
	for i := 1; i < ageBucketCount; i++ {
		if x.breaks[i] >= minBreaks && x.breaks[i] > maxBreakShare*x.uses[i] {
			return min(age, firstAgeBucket<<(i-1))
		}
	}
	return age
}

// recordBreak records that a server dropped a connection of the given idle age.
func (x *idleAgeStats) recordBreak(age, now time.Duration) { x.lastBreak[ageBucket(age)] = now }

// brokeRecently reports whether a connection of this idle age or a younger one broke within suspicionPeriod.
func (x *idleAgeStats) brokeRecently(age, now time.Duration) bool {
	for _, at := range x.lastBreak[:ageBucket(age)+1] {
		if at > 0 && now-at < suspicionPeriod {
			return true
		}
	}
	return false
}

// decay reduces the counts, so that old uses and breaks lose weight. It is called once a second.
func (x *idleAgeStats) decay() {
	for i := range x.uses {
		x.uses[i] *= ageDecayPerSecond
		x.breaks[i] *= ageDecayPerSecond
	}
}

// needsProbe reports whether an idle connection has to be probed before a request is sent on it: always if the request may run
// only once, else if a connection as old broke recently. A probe does not wait for resets that come late, so after a break
// requests that may run only once use no connection as old.
func (u *upstream) needsProbe(a *attempt, c *upConn) bool {
	if !u.isManaged || c.idleSince == 0 || c.probeWait() > maxProbeWait {
		return false
	}
	now := u.clock.now()
	u.mu.Lock()
	defer u.mu.Unlock()
	return now-c.idleSince >= probeMinIdle && (a.atMostOnce || u.idleAges.brokeRecently(now-c.idleSince, now))
}

// probeWait returns how long a probe waits for a reset. A reset that comes later is missed.
func (c *upConn) probeWait() time.Duration {
	return c.fastestConnect + c.fastestConnect/4 + probeMargin
}

// probe reports whether a server still knows an idle connection. A server that dropped it without sending a packet answers the
// next bytes with a reset. So probe writes the request's method and waits as long as a reset takes; the remainder of the
// request follows only then. A request of which only these bytes were sent has not run.
func (u *upstream) probe(a *attempt, c *upConn, req *clientRequest) bool {
	if !a.setConn(c) {
		return true // the attempt was cancelled; the caller handles it
	}
	age := u.clock.now() - c.idleSince
	if c.SetDeadline(u.clock.time(a.sendBy)) == nil {
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
		if s := u.servers[a.server]; s != nil { // the server may have dropped all usedBefore connections too
			usedBefore := u.clock.now() - age
			s.idle = slices.DeleteFunc(s.idle, func(other *upConn) bool {
				if other.idleSince > usedBefore {
					return false
				}
				other.Close()
				u.openConns--
				return true
			})
		}
		u.mu.Unlock()
	}
	return false
}
