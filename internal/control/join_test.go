package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// joinProxy registers a proxy that is ready at once.
func joinProxy(r *proxyRegistry, name string, now time.Duration) *proxy {
	proxy, _ := r.noteConnected(peerlink.Hello{Name: name, Life: int64(now), Front: name, Region: "r"}, now)
	proxy.ready = true
	if proxy.firstReadyAt == 0 {
		proxy.firstReadyAt = now
	}
	return proxy
}

// heartbeatAll records a heartbeat of all proxies but the one named in except.
func heartbeatAll(r *proxyRegistry, now time.Duration, except ...string) {
	for _, name := range r.names() {
		if len(except) == 0 || name != except[0] {
			r.proxies[name].lastHeard = now
		}
	}
}

// A leaving proxy that has released its quota shares no longer counts, even if it sends heartbeats later. Its next
// incarnation joins like a new proxy: it does not use the shares that a proxy cut off from the replica may still be using.
func TestReleasedQuotaSharesAreFreeAtOnce(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	now := time.Second
	for _, n := range []string{"a", "b", "c"} {
		joinProxy(r, n, now)
	}
	now += 5 * time.Second
	heartbeatAll(r, now)
	leaver := r.proxies["a"]
	leaver.leftAt, leaver.leaveGrace, leaver.quotaReleased = now, 6*time.Second, true
	_, shares, _ := r.members(now)
	assert.Equal(t, shares, 2)

	now += time.Second
	heartbeatAll(r, now)
	joinProxy(r, "a", now)
	for _, step := range []struct {
		d      time.Duration
		but    string
		silent int
	}{{0, "", 2}, {handover.JoinKnownAfter, "c", 1}, {10 * time.Second, "c", 1}, {11 * time.Second, "", 0}} {
		if step.d > 0 {
			heartbeatAll(r, now+step.d, step.but)
		}
		all, shares, _ := r.members(now + step.d)
		assert.Equal(t, shares, 3)
		assert.Equal(t, all[0].Silent, step.silent, "after %v", step.d)
	}
}

// A proxy that joins others is listed to a growing part of the clients. Proxies that all start at once, and one that comes
// back after being killed, are listed to all clients at once.
func TestJoiningProxiesAreListedGradually(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	clock := time.Second
	for _, n := range []string{"a", "b", "c", "d"} {
		joinProxy(r, n, clock)
	}
	placesWith := func(name string, now time.Duration) (n int) {
		for i := range 100 {
			for _, f := range r.frontAddresses([]string{"r"}, "place "+string(rune('0'+i)), now) {
				if f == name {
					n++
				}
			}
		}
		return n
	}
	assert.Equal(t, placesWith("b", clock), 100) // all started at once
	clock += 10 * time.Second
	heartbeatAll(r, clock)
	r.proxies["b"].connected = false
	joinProxy(r, "b", clock) // it was killed
	assert.Equal(t, placesWith("b", clock), 100)
	joinProxy(r, "e", clock)
	const mid = (handover.RampStart + handover.RampEnd) / 2
	assert.Equal(t, placesWith("e", clock), 0)
	heartbeatAll(r, clock+mid)
	half := placesWith("e", clock+mid)
	assert.Assert(t, half > 25 && half < 75, "%d", half)
	heartbeatAll(r, clock+handover.RampEnd)
	assert.Equal(t, placesWith("e", clock+handover.RampEnd), 100)
	assert.Equal(t, placesWith("a", clock+handover.RampEnd), 100)
}

// A joining proxy uses its quota share only once all other proxies have reported that they divide quotas by the new number,
// however long that takes. A later join doesn't put it back into waiting.
func TestJoiningProxiesWaitForTheOthersShares(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	now := time.Second
	for _, n := range []string{"a", "b"} {
		joinProxy(r, n, now).quotaDivisor = 2
	}
	now += time.Second
	joinProxy(r, "c", now)
	silent := func(name string, after time.Duration) int {
		heartbeatAll(r, now+after)
		all, _, _ := r.members(now + after)
		i := slices.IndexFunc(all, func(m peerlink.Member) bool { return m.Hello.Name == name })
		return all[i].Silent
	}
	assert.Equal(t, silent("c", 0), 2)
	r.proxies["a"].quotaDivisor = 3
	assert.Equal(t, silent("c", 20*time.Millisecond), 1) // it doesn't wait any longer for a
	assert.Equal(t, silent("c", 20*time.Second), 1)      // no time is enough: b doesn't know of c, since its upstream replica doesn't
	r.proxies["b"].quotaDivisor = 4
	assert.Equal(t, silent("c", 20*time.Second), 0)
	now += 21 * time.Second
	r.proxies["c"].quotaDivisor = 3
	joinProxy(r, "d", now)
	assert.Equal(t, silent("c", 0), 0)
	assert.Equal(t, silent("d", 0), 2)
}

// If every proxy leaves at once, clients are sent to those that still accept requests, and to none that has stopped.
func TestLeavingProxiesAreListedIfNoOtherIsReady(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	now := time.Second
	for _, name := range []string{"a", "b"} {
		joinProxy(r, name, now)
	}
	now += 10 * time.Second
	heartbeatAll(r, now)
	leave := func(name string) {
		r.proxies[name].leftAt, r.proxies[name].leaveGrace, r.proxies[name].ready = now, 6*time.Second, false
	}
	leave("a")
	assert.DeepEqual(t, r.frontAddresses([]string{"r"}, "p", now), []string{"b"})
	leave("b")
	assert.DeepEqual(t, r.frontAddresses([]string{"r"}, "p", now), []string{"a", "b"})
	now += 2 * time.Second
	heartbeatAll(r, now)
	r.proxies["a"].quotaReleased = true
	assert.DeepEqual(t, r.frontAddresses([]string{"r"}, "p", now), []string{"b"})
	now += time.Second
	heartbeatAll(r, now)
	assert.Equal(t, len(r.frontAddresses([]string{"r"}, "p", now)), 0)
}
