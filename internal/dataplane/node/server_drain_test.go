package node

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// A request that has not been sent yet goes to another server when its server begins to drain.
func TestUnsentRequestIsReassignedWhenServerLeaves(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		const transit = 60 * time.Millisecond
		r.behaviors = []serverBehavior{servedAnswer}
		drainAllBut := func(stamp int64, ready int) {
			for i := range r.servers {
				r.servers[i].Draining = i != ready
			}
			r.SetServers(stamp, r.servers)
		}
		r.servers[1].Draining, r.servers[2].Draining = true, true
		r.configure()
		c := r.dial()
		defer c.Close()
		r.net.Set(sim.Faults{Least: transit, Most: transit})
		_, err := io.WriteString(c, requestText("/act/", ""))
		assert.NilError(t, err)
		time.Sleep(transit + transit/2) // the request has arrived, and the connection to the server is being set up
		r.servers[2].ID = "i-new"       // an incarnation that never drained
		drainAllBut(2, 2)
		assert.Equal(t, r.readAnswer(c).StatusCode, 200)
		assert.Equal(t, len(r.receivedRequests()), 1)
		assert.Equal(t, r.receivedRequests()[0].Header.Get("Target-Instance"), "i-new")
	})
}
