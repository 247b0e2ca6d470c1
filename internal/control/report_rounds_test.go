package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
)

// A replica is in touch after a round that a majority answers, unless it lacks a version that was reported in the round
// before. Otherwise agents would follow a replica that can't catch up.
func TestInTouch(t *testing.T) {
	replica := &Replica{}
	base := state.State{Version: 4, Voters: []state.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	at := time.Duration(0)
	inTouchAfter := func(version uint64, answering ...string) bool {
		at += time.Second
		reports := map[string]quorum.Report{"a": {Version: base.Version}}
		for _, id := range answering {
			reports[id] = quorum.Report{Version: version}
		}
		replica.updateContact(base, reports, at)
		return replica.majorityContact.IsKnown && replica.majorityContact.At == at
	}
	assert.Assert(t, !inTouchAfter(4), "nobody has answered")
	assert.Assert(t, inTouchAfter(4, "b"))
	assert.Assert(t, !inTouchAfter(4) && !inTouchAfter(4, "x", "y"), "no voters")
	assert.Assert(t, inTouchAfter(5, "b", "c"), "the next version may be on its way")
	assert.Assert(t, !inTouchAfter(5, "b", "c") && !inTouchAfter(5, "b"), "it lacks a version of the round before")
	base.Version = 5
	assert.Assert(t, inTouchAfter(5, "c"))
}
