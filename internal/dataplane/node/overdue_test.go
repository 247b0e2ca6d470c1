package node

import (
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// A request that takes far longer than others is not broken off at its server while no other server may have it: it was
// answered 502, at each of its tries, with its server at work and most of its time left.
func TestSlowRequestAtOnlyServerIsServed(t *testing.T) {
	for name, leave := range map[string]bool{"serving": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			runManaged(t, false, func(r *managedFixture) {
				r.behaviors = slices.Repeat([]serverBehavior{servedAnswer}, 60)
				r.behaviors = append(r.behaviors, func(c net.Conn, q *standin.Request) bool {
					time.Sleep(1200 * time.Millisecond)
					return servedAnswer(c, q)
				}, servedAnswer)
				r.servers = r.servers[:1]
				r.configure()
				for range 60 {
					assert.Equal(t, r.request("/get/", "").StatusCode, 200)
				}
				if leave {
					r.stop()
				}
				a := r.request("/get/", "")
				assert.Equal(t, a.StatusCode, 200, "after %v", a.took)
				assert.Equal(t, len(r.receivedRequests()), 61)
			})
		})
	}
}

// An attempt at a silent server is not abandoned for another server before a quarter of the request's latency target, however
// fast all other servers answer. The rules count an attempt that is cut off sooner as never made.
func TestSilentServerIsAwaitedForQuarterOfTarget(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		at := make(chan time.Time, 2)
		r.behaviors = slices.Repeat([]serverBehavior{servedAnswer}, 60)
		r.behaviors = append(r.behaviors, func(c net.Conn, q *standin.Request) bool {
			at <- time.Now()
			time.Sleep(5 * time.Second)
			return false
		}, func(c net.Conn, q *standin.Request) bool {
			at <- time.Now()
			return servedAnswer(c, q)
		})
		r.configure()
		for range 61 {
			assert.Equal(t, r.request("/get/", "").StatusCode, 200)
		}
		first := <-at
		waited := (<-at).Sub(first)
		assert.Assert(t, waited > 200*time.Millisecond && waited < 800*time.Millisecond, "%v", waited) // latency target: 800 ms
	})
}
