package homing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// With one bound and one free route, the counted requests decide, and small changes around the threshold change nothing.
func TestCountedTrafficDecides(t *testing.T) {
	var proxy TrafficCounter
	var decisions Decisions
	now := time.Hour
	host := HashHost("a")
	counted := 0
	home := func() bool {
		return decisions.SendsHome(host, 1, 1, func() HostTraffic {
			counted++
			for _, h := range proxy.Top(now) {
				if h.Host == host {
					return h
				}
			}
			return HostTraffic{}
		}, now)
	}
	assert.Assert(t, home()) // before any count: half of the routes are bound
	pass := func(seconds, bound, free int) (changes int) {
		was := home()
		for range seconds * 10 {
			for range bound {
				proxy.Add(host, true, 1200, now)
			}
			for range free {
				proxy.Add(host, false, 0, now)
			}
			if now += time.Second / 10; home() != was {
				changes, was = changes+1, !was
			}
		}
		return changes
	}
	assert.Equal(t, pass(20, 4, 10), 1) // most requests are free
	assert.Assert(t, !home())
	assert.Equal(t, pass(20, 10, 10), 1)
	assert.Assert(t, home())
	counted = 0
	for i := range 40 { // close to the threshold, on both sides of it
		assert.Equal(t, pass(1, 63+i%3, 100), 0)
	}
	assert.Assert(t, counted <= 41, "counted %d times in 40 s", counted)
	assert.Assert(t, pass(30, 50, 100) == 1 && !home())
}

func TestTrafficCounterIsBoundedAndDecays(t *testing.T) {
	var proxy TrafficCounter
	for i := range 2 * MaxCountedHosts {
		for range 1 + i%7 {
			proxy.Add(uint32(i), i%2 == 0, 0, 0)
		}
	}
	top := proxy.Top(0)
	assert.Equal(t, len(top), MaxReportedHosts)
	assert.Assert(t, len(proxy.byHost) <= MaxCountedHosts && top[0].KB >= top[7].KB)
	assert.Equal(t, len(proxy.Top(time.Minute)), 0)
}
