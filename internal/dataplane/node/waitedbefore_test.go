package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

// A client that has tried before is recognized by its shorter deadline: the difference to the longest deadline of its
// route is the time it has waited. A longest deadline that is no longer announced, from one unusual client or from
// clients of the past, must decay.
func TestWaitedBeforeFromDeadline(t *testing.T) {
	p := &routeconfig.Configuration{Routes: []routeconfig.Route{{Name: "a"}, {Name: "b"}}}
	e := &managedState{}
	e.activate(p)
	active, a, b := e.active.Load(), &p.Routes[0], &p.Routes[1]
	assert.Equal(t, active.waitedBefore(a, 1000), time.Duration(0))
	assert.Equal(t, active.waitedBefore(a, 600), 400*time.Millisecond)
	assert.Equal(t, active.waitedBefore(a, 1000), time.Duration(0))
	assert.Equal(t, active.waitedBefore(b, 500), time.Duration(0)) // the routes are independent
	active.waitedBefore(a, 9000)
	for range 5000 {
		active.waitedBefore(a, 1000)
	}
	got := active.waitedBefore(a, 1000)
	assert.Assert(t, got < 10*time.Millisecond && got >= 0, "%s", got)
}
