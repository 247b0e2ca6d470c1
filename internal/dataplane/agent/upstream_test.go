package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// selection is an Upstream with a clock.
type selection struct {
	Upstream
	now time.Duration
}

func newSelection(name string) *selection {
	return &selection{Upstream: Upstream{Self: peerlink.Hello{Name: name, Zone: "z1", Region: "r1"}}}
}

func (r *selection) up(addr, zone, region string) string {
	r.AddReplica(addr, &peerlink.Hello{Name: addr, Zone: zone, Region: region}, r.now)
	return r.Choose(r.now)
}

// pass lets time pass while replicas answer; "!" before a name marks a replica without contact to a majority. No replica
// confirms the proxy's configuration, which may still be on its way to the proxy.
func (r *selection) pass(d time.Duration, replicas ...string) string {
	for end := r.now + d; r.now < end; {
		r.now += heartbeatInterval
		for _, b := range replicas {
			p := &peerlink.Pong{InTouch: true, TouchAge: time.Second}
			if b[0] == '!' {
				b, p.TouchAge = b[1:], 2*time.Second
			}
			r.HandleFrame(b, &peerlink.Frame{Pong: p}, r.now)
		}
		r.Choose(r.now)
	}
	return r.Chosen()
}

func TestUpstreamByPlace(t *testing.T) {
	r := newSelection("m")
	assert.Equal(t, r.Choose(0), "")
	assert.Equal(t, r.up("far", "z9", "r9"), "far") // the first replica is chosen at once
	assert.Equal(t, r.up("near", "z2", "r1"), "far")
	assert.Equal(t, r.up("own", "z1", "r1"), "far")
	assert.Equal(t, r.pass(5*time.Second, "far", "near", "own"), "far")
	assert.Equal(t, r.pass(heartbeatInterval, "far", "near", "own"), "own") // good for failbackDelay
	assert.Equal(t, r.pass(600*time.Millisecond, "far", "near"), "own")
	assert.Equal(t, r.pass(heartbeatInterval, "far", "near"), "near") // silent for too long
	assert.Equal(t, r.pass(4*time.Second, "far", "near", "own"), "near")
	assert.Equal(t, r.pass(heartbeatInterval, "far", "near", "!own"), "near")
	assert.Equal(t, r.pass(5*time.Second, "far", "near", "own"), "near") // good again for less than failbackDelay
	assert.Equal(t, r.pass(heartbeatInterval, "far", "near", "own"), "own")
	assert.Equal(t, r.pass(heartbeatInterval, "far", "!near", "!own"), "far")
	assert.Equal(t, r.pass(heartbeatInterval, "!far", "!near", "!own"), "far") // no replica is in contact with a majority
	assert.Equal(t, r.pass(2*time.Second, "!near", "!own"), "own")
	assert.Equal(t, r.pass(10*time.Second), "own") // no replica is heard either
	r.RemoveReplica("own")
	assert.Equal(t, r.Choose(r.now), "near")
	why := "goes"
	r.HandleFrame("near", &peerlink.Frame{Leaving: &why}, r.now)
	r.HandleFrame("far", &peerlink.Frame{}, r.now)
	assert.Equal(t, r.Choose(r.now), "far")
	r.RemoveReplica("far")
	r.RemoveReplica("near")
	assert.Equal(t, r.Choose(r.now), "")
	assert.Equal(t, r.up("far", "z9", "r9"), "far")
}

// A replica chosen right after it connected is not replaced before it can have answered.
func TestUpstreamMayAnswerLate(t *testing.T) {
	r := newSelection("m")
	r.up("near", "z2", "r1")
	r.up("own", "z1", "r1")
	assert.Equal(t, r.pass(600*time.Millisecond, "own"), "near")
	assert.Equal(t, r.pass(heartbeatInterval, "own"), "own")
}

// With many proxies, a replica that becomes upstream was pinged rarely before: its silence counts from the choice.
func TestUpstreamOfLongHeartbeats(t *testing.T) {
	r := newSelection("m")
	r.LongHeartbeats = true
	r.up("own", "z1", "r1")
	r.up("near", "z2", "r1")
	assert.Assert(t, r.PingInterval("own") == 2*heartbeatInterval && r.PingInterval("near") == 4*heartbeatInterval)
	r.pass(2*time.Second, "own", "near")
	assert.Equal(t, r.pass(time.Second), "near")
	assert.Equal(t, r.pass(3*heartbeatInterval), "near")
}

func TestUpstreamsAreSpreadOverReplicas(t *testing.T) {
	n := map[string]int{}
	for i := range 90 {
		r := newSelection(fmt.Sprint("proxy-", i))
		for _, b := range []string{"a", "b", "c"} {
			r.up(b, "z2", "r1")
		}
		n[r.pass(6*time.Second, "a", "b", "c")]++
	}
	for b, k := range n {
		assert.Assert(t, k > 18 && k < 42, "%s: %d", b, k)
	}
}
