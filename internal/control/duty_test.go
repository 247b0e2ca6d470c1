package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/listing"
	"pepperfall.example/pepperfall/internal/control/lease"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// A long list is read less often, each page being a call, and a silent reader is still followed within 2.5 s, which
// with the next reading stays well under the 4 s for which a draining server may be sent to there.
func TestLongListIsReadLessOften(t *testing.T) {
	const ms = time.Millisecond
	terms := listing.Terms{RatePerS: 550}
	assert.Equal(t, terms.Period(1), 500*ms)
	long := terms.Period(6)
	assert.Equal(t, long, 1200*ms)
	self := peerlink.Seat{Name: "a", Life: 1}
	s := lease.New(listLeaseName, self, "z")
	v := lease.View{Now: 20 * time.Second, Peers: []lease.Peer{{Seat: peerlink.Seat{Name: "b", Life: 1}}}, VoterCount: 2}
	at := s.NextRun(v, lease.TaskTimes{Period: long, LastKnown: 10 * time.Second})
	assert.Assert(t, at > 11200*ms && at <= 12500*ms, "%s", at)
}
