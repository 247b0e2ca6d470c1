package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/policy"
)

// A verdict loses weight with the time since evidence was last wanted, and a chosen proxy tries an unfit server once per
// round.
func TestTrustAgeAndTrials(t *testing.T) {
	health := &healthExchange{trialCandidates: []string{"g1", "g2", "g3"}}
	receiveVerdict := func(now time.Duration, round uint32) {
		health.receive(&peerlink.Frame{Pong: &peerlink.Pong{Wanted: 7}, Change: &peerlink.Change{Verdicts: &serverhealth.Verdicts{By: "b", Stamp: int64(now),
			List: []serverhealth.Verdict{{Server: "s", Level: serverhealth.UnfitAll, Trial: true, Round: round}}}}}, now)
	}
	trustAt := func(now time.Duration) (policy.Trust, bool) {
		reduced, changed := health.currentTrust("g2", now)
		return reduced["s"], changed
	}
	receiveVerdict(time.Second, 1)
	for i := range 3 {
		got, _ := trustAt(time.Second + time.Duration(i)*heartbeatInterval)
		assert.Equal(t, got, policy.Trust{Level: policy.TrialsOnly, Trial: i == 0})
	}
	receiveVerdict(2*time.Second, 2)
	got, _ := trustAt(2 * time.Second)
	assert.Assert(t, got.Trial)
	health.receive(&peerlink.Frame{Pong: &peerlink.Pong{}}, 30*time.Second) // the agent's upstream replica wants no evidence
	got, _ = trustAt(2*time.Second + serverhealth.StaleAfter + 1)
	assert.Equal(t, got.Level, policy.Suspect)
	got, changed := trustAt(2*time.Second + serverhealth.ExpiredAfter + 1)
	assert.Assert(t, got.Level == policy.Trusted && changed) // reported once more, with full trust restored
	_, changed = trustAt(2*time.Second + serverhealth.ExpiredAfter + 2)
	assert.Assert(t, !changed)
}
