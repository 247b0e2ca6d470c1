package node

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// maxAnswerDelay is how long after a request's deadline its answer may come, of the time that the proxy may add at all.
const maxAnswerDelay = 20 * time.Millisecond

// respondAfter answers a request after a time, whatever deadline the server was told.
func respondAfter(d time.Duration) serverBehavior {
	return func(c net.Conn, q *standin.Request) bool {
		time.Sleep(d)
		return servedAnswer(c, q)
	}
}

// A request at a silent server fails with 504 at the client's deadline or the route's timeout, whichever comes first, and not
// sooner, as the server may be at work. One that was never sent fails with 503 early enough for its client to be told so.
func TestManagedDeadline(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{standin.Deaf}
		r.configure()
		for fields, limit := range map[string]time.Duration{"Deadline-Ms: 500\r\n": 500 * time.Millisecond, "Deadline-Ms: 9000\r\n": 2 * time.Second} {
			for _, path := range []string{"/act/", "/open/"} {
				a := r.request(path, fields)
				assert.Equal(t, a.StatusCode, 504)
				assert.Assert(t, a.took >= limit && a.took < limit+maxAnswerDelay, "%s%s: %v", path, fields, a.took)
			}
		}
		received := len(r.receivedRequests())
		assert.Equal(t, r.request("/act/", "Deadline-Ms: 30\r\n").StatusCode, 503)
		assert.Equal(t, len(r.receivedRequests()), received)
		for _, s := range r.servers {
			r.net.Silence(s.Address, true)
		}
		a := r.request("/act/", "Deadline-Ms: 200\r\n")
		assert.Equal(t, a.StatusCode, 503)
		assert.Assert(t, a.took < 200*time.Millisecond, "%v", a.took)
		assert.Equal(t, len(r.receivedRequests()), received)
	})
}

// A server that is at work is awaited until its client's deadline, also by a proxy that leaves: the client got the proxy's own
// 504 some 40 ms before its deadline, while the server went on and finished.
func TestServerAtWorkIsAwaitedUntilDeadline(t *testing.T) {
	for name, leave := range map[string]bool{"serving": false, "leaving": true} {
		for _, path := range []string{"/act/", "/get/"} {
			t.Run(name+path, func(t *testing.T) {
				runManaged(t, false, func(r *managedFixture) {
					r.behaviors = []serverBehavior{respondAfter(980 * time.Millisecond)}
					r.servers = r.servers[:1]
					r.configure()
					if leave {
						r.stop()
					}
					a := r.request(path, "Deadline-Ms: 1000\r\n")
					assert.Equal(t, a.StatusCode, 200, "after %v", a.took)
					assert.Assert(t, a.took < time.Second, "%v", a.took)
				})
			})
		}
	}
}

// What servers are told ends before the client's deadline, so that an answer of the last moment still arrives. An attempt that
// breaks off in that time is the last one.
func TestServersAreToldToEndBeforeDeadline(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		r.behaviors = []serverBehavior{func(c net.Conn, q *standin.Request) bool {
			assert.Check(t, q.Header.Get(fieldDeadline) >= "950" && q.Header.Get(fieldDeadline) <= "960", q.Header.Get(fieldDeadline))
			time.Sleep(980 * time.Millisecond)
			return reset(c, q)
		}, servedAnswer}
		r.servers = r.servers[:1]
		r.configure()
		a := r.request("/get/", "Deadline-Ms: 1000\r\n")
		assert.Assert(t, a.StatusCode == 504 && a.took < time.Second, "%d after %v", a.StatusCode, a.took)
		assert.Equal(t, len(r.receivedRequests()), 1)
	})
}
