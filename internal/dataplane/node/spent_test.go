package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

// A client that has tried before is known by how much less it waits than others of its route do; what nobody says
// any more, be it one odd client's or from before the route's clients changed, wears off.
func TestWaitedBeforeFromDeadline(t *testing.T) {
	p := &routeconfig.Configuration{Routes: []routeconfig.Route{{Name: "a"}, {Name: "b"}}}
	e := &managedState{}
	e.activate(p)
	till, a, b := e.active.Load(), &p.Routes[0], &p.Routes[1]
	assert.Equal(t, till.waitedBefore(a, 1000), time.Duration(0))
	assert.Equal(t, till.waitedBefore(a, 600), 400*time.Millisecond)
	assert.Equal(t, till.waitedBefore(a, 1000), time.Duration(0))
	assert.Equal(t, till.waitedBefore(b, 500), time.Duration(0)) // another route's
	till.waitedBefore(a, 9000)
	for range 5000 {
		till.waitedBefore(a, 1000)
	}
	got := till.waitedBefore(a, 1000)
	assert.Assert(t, got < 10*time.Millisecond && got >= 0, "%s", got)
}
