package delivery

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func version(gen uint64) Version { return Version{Gen: gen, Checksum: uint32(gen) + 7} }

func TestBehindSinceNextVersionWasLearned(t *testing.T) {
	h := &History{}
	_, behind := h.BehindSince(Version{})
	assert.Assert(t, !behind, "nothing is in force")
	h.SetCurrent(version(5), 10*time.Second, Confirmation{})
	h.SetCurrent(version(7), 12*time.Second, Confirmation{IsKnown: true, At: 11 * time.Second})
	h.SetCurrent(version(9), 15*time.Second, Confirmation{IsKnown: true, At: 14 * time.Second})
	newest := Confirmation{IsKnown: true, At: 20 * time.Second}
	for _, c := range []struct {
		held      Version
		since     time.Duration // 0: it is not behind
		confirmed Confirmation
	}{
		{version(9), 0, newest},
		{version(11), 0, newest},
		{version(8), 15 * time.Second, Confirmation{IsKnown: true, At: 14 * time.Second}}, // decided, but never current on this replica
		{version(7), 15 * time.Second, Confirmation{IsKnown: true, At: 14 * time.Second}},
		{version(6), 12 * time.Second, Confirmation{IsKnown: true, At: 11 * time.Second}},
		{version(5), 12 * time.Second, Confirmation{IsKnown: true, At: 11 * time.Second}},
		{version(4), 12 * time.Second, Confirmation{}},
		{Version{}, 12 * time.Second, Confirmation{}},
		{Version{Gen: 9, Checksum: 1}, 15 * time.Second, Confirmation{}}, // another text under the same number
		{Version{Gen: 7, Checksum: 1}, 15 * time.Second, Confirmation{}},
	} {
		since, behind := h.BehindSince(c.held)
		assert.Assert(t, since == c.since && behind == (c.since > 0), "%+v: %v %v", c.held, since, behind)
		assert.Equal(t, h.Confirmed(c.held, newest), c.confirmed, "%+v", c.held)
	}
}

// However often the configuration changes, an agent that stays behind is sent the newest one within the grace period.
func TestFrequentChangesDoNotDelayDelivery(t *testing.T) {
	for _, every := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 649 * time.Millisecond, time.Second} {
		h := &History{}
		h.SetCurrent(version(1), 0, Confirmation{})
		a := &Agent{Held: version(1), PingInterval: 250 * time.Millisecond}
		gen, sent := uint64(1), []time.Duration{}
		for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
			if now > 0 && now%every == 0 {
				gen++
				h.SetCurrent(version(gen), now, Confirmation{})
			}
			if h.ShouldSend(a, now) {
				a.Sent = h.Current()
				sent = append(sent, now)
				a.Held = a.Sent
			}
		}
		last := time.Duration(0)
		for _, at := range sent {
			assert.Assert(t, at-last <= upstreamGrace+a.PingInterval+every, "every %v: nothing from %v to %v", every, last, at)
			last = at
		}
		assert.Assert(t, 20*time.Second-last <= upstreamGrace+a.PingInterval+every, "every %v: nothing since %v", every, last)
		assert.Assert(t, len(sent) <= int(20*time.Second/(upstreamGrace+a.PingInterval))+1, "every %v: told %d times", every, len(sent))
	}
}

// Other replicas send nothing to an agent that receives every configuration from its upstream replica, although it
// always lags a little.
func TestOtherReplicasWaitForUpstream(t *testing.T) {
	h := &History{}
	a := &Agent{PingInterval: 250 * time.Millisecond}
	for gen := uint64(1); gen < 200; gen++ {
		now := time.Duration(gen) * 100 * time.Millisecond
		h.SetCurrent(version(gen), now, Confirmation{})
		if gen > 2 {
			a.Held = version(gen - 2)
		}
		assert.Assert(t, !h.ShouldSend(a, now), "told at %v", now)
		upstream := *a
		upstream.IsUpstream = true
		assert.Assert(t, h.ShouldSend(&upstream, now))
		upstream.Sent = h.Current()
		assert.Assert(t, !h.ShouldSend(&upstream, now), "twice")
	}
	newAgent := Agent{ConnectedAt: 25 * time.Second, PingInterval: 250 * time.Millisecond}
	assert.Assert(t, !h.ShouldSend(&newAgent, 25*time.Second) && h.ShouldSend(&newAgent, 25*time.Second+upstreamGrace+newAgent.PingInterval), "one that has just come is left to the replica it will follow")
}

// The history is bounded and still knows since when a holder of the previous configuration is behind.
func TestHistoryIsBounded(t *testing.T) {
	h, rnd, now := &History{}, rand.New(rand.NewPCG(1, 2)), time.Duration(0)
	for gen := uint64(1); gen < 20000; gen++ {
		now += time.Duration(rnd.Int64N(int64(120 * time.Millisecond)))
		h.SetCurrent(version(gen), now, Confirmation{IsKnown: true, At: now})
		assert.Assert(t, len(h.superseded) <= maxSuperseded)
		if since, behind := h.BehindSince(version(gen - 1)); gen > 1 {
			assert.Assert(t, behind && since == now)
		}
	}
}
