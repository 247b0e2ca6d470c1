package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/policy"
)

// Verdicts weigh less the longer nobody wants evidence, and a named proxy tries a server once a round.
func TestTrustAgeAndTrials(t *testing.T) {
	f := &healthExchange{trialCandidates: []string{"g1", "g2", "g3"}}
	tell := func(now time.Duration, round uint32) {
		f.receive(&peerlink.Frame{Pong: &peerlink.Pong{Wanted: 7}, Change: &peerlink.Change{Verdicts: &serverhealth.Verdicts{By: "b", Stamp: int64(now),
			List: []serverhealth.Verdict{{Server: "s", Level: serverhealth.UnfitAll, Trial: true, Round: round}}}}}, now)
	}
	at := func(now time.Duration) (policy.Trust, bool) {
		all, changed := f.currentTrust("g2", now)
		return all["s"], changed
	}
	tell(time.Second, 1)
	for i := range 3 {
		got, _ := at(time.Second + time.Duration(i)*heartbeatInterval)
		assert.Equal(t, got, policy.Trust{Level: policy.TrialsOnly, Trial: i == 0})
	}
	tell(2*time.Second, 2)
	got, _ := at(2 * time.Second)
	assert.Assert(t, got.Trial)
	f.receive(&peerlink.Frame{Pong: &peerlink.Pong{}}, 30*time.Second) // the agent has no lead that judges
	got, _ = at(2*time.Second + serverhealth.StaleAfter + 1)
	assert.Equal(t, got.Level, policy.Suspect)
	got, changed := at(2*time.Second + serverhealth.ExpiredAfter + 1)
	assert.Assert(t, got.Level == policy.Trusted && changed) // told once more, that it is trusted again
	_, changed = at(2*time.Second + serverhealth.ExpiredAfter + 2)
	assert.Assert(t, !changed)
}
