package homing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Where one route is bound and one is free, requests decide and not routes, and not on each breath of theirs.
func TestCountedTrafficDecides(t *testing.T) {
	var proxy TrafficCounter
	var roads Decisions
	now := time.Hour
	host := HashHost("a")
	asked := 0
	home := func() bool {
		return roads.SendsHome(host, 1, 1, func() HostTraffic {
			asked++
			for _, h := range proxy.Top(now) {
				if h.Host == host {
					return h
				}
			}
			return HostTraffic{}
		}, now)
	}
	assert.Assert(t, home()) // nothing is counted: half of the routes are bound
	pass := func(seconds, bound, free int) (turns int) {
		was := home()
		for range seconds * 10 {
			for range bound {
				proxy.Add(host, true, 1200, now)
			}
			for range free {
				proxy.Add(host, false, 0, now)
			}
			if now += time.Second / 10; home() != was {
				turns, was = turns+1, !was
			}
		}
		return turns
	}
	assert.Equal(t, pass(20, 4, 10), 1) // searches are the most by far
	assert.Assert(t, !home())
	assert.Equal(t, pass(20, 10, 10), 1)
	assert.Assert(t, home())
	asked = 0
	for i := range 40 { // about the bound, to both sides of it
		assert.Equal(t, pass(1, 63+i%3, 100), 0)
	}
	assert.Assert(t, asked <= 41, "asked %d times in 40 s", asked)
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
