package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// joinProxy brings a proxy in that is ready at once.
func joinProxy(r *proxyRegistry, name string, now time.Duration) *proxy {
	g, _ := r.noteConnected(peerlink.Hello{Name: name, Life: int64(now), Front: name, Region: "r"}, now)
	g.ready = true
	if g.firstReadyAt == 0 {
		g.firstReadyAt = now
	}
	return g
}

func heartbeatAll(r *proxyRegistry, now time.Duration, but ...string) {
	for _, n := range r.names() {
		if len(but) == 0 || n != but[0] {
			r.proxies[n].lastHeard = now
		}
	}
}

// One that has given its parts up counts no more from then on, whatever it says later; its next life joins anew, and
// leaves unused what one behind a cut still holds.
func TestReleasedQuotaSharesAreFreeAtOnce(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	at := time.Second
	for _, n := range []string{"a", "b", "c"} {
		joinProxy(r, n, at)
	}
	at += 5 * time.Second
	heartbeatAll(r, at)
	g := r.proxies["a"]
	g.leftAt, g.grace, g.quotaReleased = at, 6*time.Second, true
	_, shares, _ := r.members(at)
	assert.Equal(t, shares, 2)

	at += time.Second
	heartbeatAll(r, at)
	joinProxy(r, "a", at)
	for _, step := range []struct {
		d      time.Duration
		but    string
		silent int
	}{{0, "", 2}, {handover.HeardBy, "c", 1}, {10 * time.Second, "c", 1}, {11 * time.Second, "", 0}} {
		if step.d > 0 {
			heartbeatAll(r, at+step.d, step.but)
		}
		all, shares, _ := r.members(at + step.d)
		assert.Equal(t, shares, 3)
		assert.Equal(t, all[0].Silent, step.silent, "after %v", step.d)
	}
}

// A proxy that joins others is told of to a rising part of places; those that all began at once, and one that was
// killed and comes back, to all at once.
func TestJoiningProxiesAreListedGradually(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	at := time.Second
	for _, n := range []string{"a", "b", "c", "d"} {
		joinProxy(r, n, at)
	}
	told := func(name string, now time.Duration) (n int) {
		for i := range 100 {
			for _, f := range r.frontAddresses([]string{"r"}, "place "+string(rune('0'+i)), now) {
				if f == name {
					n++
				}
			}
		}
		return n
	}
	assert.Equal(t, told("b", at), 100) // a first start
	at += 10 * time.Second
	heartbeatAll(r, at)
	r.proxies["b"].connected = false
	joinProxy(r, "b", at) // it was killed
	assert.Equal(t, told("b", at), 100)
	joinProxy(r, "e", at)
	const mid = (handover.RiseAt + handover.RiseFor) / 2
	assert.Equal(t, told("e", at), 0)
	heartbeatAll(r, at+mid)
	half := told("e", at+mid)
	assert.Assert(t, half > 25 && half < 75, "%d", half)
	heartbeatAll(r, at+handover.RiseFor)
	assert.Equal(t, told("e", at+handover.RiseFor), 100)
	assert.Equal(t, told("a", at+handover.RiseFor), 100)
}

// A joiner takes from the others only once their proxies have said that they go by as many parts as there are with it,
// however long their agents were heard by then; a later join makes it no stranger again.
func TestJoiningProxiesWaitForTheOthersShares(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	at := time.Second
	for _, n := range []string{"a", "b"} {
		joinProxy(r, n, at).quotaParts = 2
	}
	at += time.Second
	joinProxy(r, "c", at)
	silent := func(name string, after time.Duration) int {
		heartbeatAll(r, at+after)
		all, _, _ := r.members(at + after)
		i := slices.IndexFunc(all, func(m peerlink.Member) bool { return m.Hello.Name == name })
		return all[i].Silent
	}
	assert.Equal(t, silent("c", 0), 2)
	r.proxies["a"].quotaParts = 3
	assert.Equal(t, silent("c", 20*time.Millisecond), 1) // no time has to pass
	assert.Equal(t, silent("c", 20*time.Second), 1)      // and none is enough: b's lead knows nothing of it
	r.proxies["b"].quotaParts = 4
	assert.Equal(t, silent("c", 20*time.Second), 0)
	at += 21 * time.Second
	r.proxies["c"].quotaParts = 3
	joinProxy(r, "d", at)
	assert.Equal(t, silent("c", 0), 0)
	assert.Equal(t, silent("d", 0), 2)
}

// Where every proxy leaves at once, clients are sent to those whose doors are still open, and to nobody behind a shut one.
func TestLeavingProxiesAreListedIfNoOtherIsReady(t *testing.T) {
	r := newProxyRegistry(nil, 0)
	at := time.Second
	for _, n := range []string{"a", "b"} {
		joinProxy(r, n, at)
	}
	at += 10 * time.Second
	heartbeatAll(r, at)
	leave := func(n string) {
		r.proxies[n].leftAt, r.proxies[n].grace, r.proxies[n].ready = at, 6*time.Second, false
	}
	leave("a")
	assert.DeepEqual(t, r.frontAddresses([]string{"r"}, "p", at), []string{"b"})
	leave("b")
	assert.DeepEqual(t, r.frontAddresses([]string{"r"}, "p", at), []string{"a", "b"})
	at += 2 * time.Second
	heartbeatAll(r, at)
	r.proxies["a"].quotaReleased = true
	assert.DeepEqual(t, r.frontAddresses([]string{"r"}, "p", at), []string{"b"})
	at += time.Second
	heartbeatAll(r, at)
	assert.Equal(t, len(r.frontAddresses([]string{"r"}, "p", at)), 0)
}
