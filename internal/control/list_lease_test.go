package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/listing"
	"pepperfall.example/pepperfall/internal/control/lease"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// A long list is read less often, since each page is a call. A reader that falls silent is still replaced within 2.5 s.
// Together with the next read that stays well under the 4 s for which requests may be sent to a draining server.
func TestLongListIsReadLessOften(t *testing.T) {
	const ms = time.Millisecond
	terms := listing.Terms{RatePerS: 550}
	assert.Equal(t, terms.Period(1), 500*ms)
	long := terms.Period(6)
	assert.Equal(t, long, 1200*ms)
	self := peerlink.Seat{Name: "a", Life: 1}
	listLease := lease.New(listLeaseName, self, "z")
	view := lease.View{Now: 20 * time.Second, Peers: []lease.Peer{{Seat: peerlink.Seat{Name: "b", Life: 1}}}, VoterCount: 2}
	due := listLease.NextRun(view, lease.TaskTimes{Period: long, LastKnown: 10 * time.Second})
	assert.Assert(t, due > 11200*ms && due <= 12500*ms, "%s", due)
}
