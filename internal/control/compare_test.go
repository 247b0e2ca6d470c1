package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
)

// A replica is in touch by a round that a majority answers, unless it lacks what somebody knew a round before: so one
// that can't catch up does not pass for a good one to follow.
func TestInTouch(t *testing.T) {
	b := &Replica{}
	base := state.State{Version: 4, Voters: []state.Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	at := time.Duration(0)
	round := func(version uint64, heard ...string) bool {
		at += time.Second
		reports := map[string]quorum.Report{"a": {Version: base.Version}}
		for _, id := range heard {
			reports[id] = quorum.Report{Version: version}
		}
		b.updateContact(base, reports, at)
		return b.majorityContact.IsKnown && b.majorityContact.At == at
	}
	assert.Assert(t, !round(4), "nobody has answered")
	assert.Assert(t, round(4, "b"))
	assert.Assert(t, !round(4) && !round(4, "x", "y"), "no voters")
	assert.Assert(t, round(5, "b", "c"), "it may be on its way")
	assert.Assert(t, !round(5, "b", "c") && !round(5, "b"), "it lacks what was known a round before")
	base.Version = 5
	assert.Assert(t, round(5, "c"))
}
