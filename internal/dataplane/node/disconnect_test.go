package node

import (
	"context"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/sim"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// noticeLimit is the time within which work for a disconnected client must have stopped.
const noticeLimit = 150 * time.Millisecond

// workUntilDisconnect works on a request for d, or until its connection is closed. It stores when it stopped early.
func workUntilDisconnect(d time.Duration, stopped *atomic.Int64) serverBehavior {
	return func(c net.Conn, q *standin.Request) bool {
		began := time.Now()
		for time.Since(began) < d {
			time.Sleep(10 * time.Millisecond)
			if world.Peek(c) == world.PeekEnd {
				stopped.Store(int64(time.Since(began)))
				return false
			}
		}
		return servedAnswer(c, q)
	}
}

// When a client disconnects while its request runs, in whatever way, the server stops if the request is repeatable, and continues
// if it may run only once.
func TestServersStopWhenClientsDisconnect(t *testing.T) {
	const work, after = 1200 * time.Millisecond, 200 * time.Millisecond
	for how, end := range disconnects {
		if how == "stall" {
			continue
		}
		for path, stops := range map[string]bool{"/get/": true, "/act/": false} {
			t.Run(how+path, func(t *testing.T) {
				runManaged(t, false, func(r *managedFixture) {
					var stopped atomic.Int64
					r.behaviors = []serverBehavior{workUntilDisconnect(work, &stopped)}
					r.configure()
					c := r.dial()
					defer c.Close()
					_, err := io.WriteString(c, requestText(path, ""))
					assert.NilError(t, err)
					time.Sleep(after)
					end(c)
					time.Sleep(2 * time.Second)
					at := time.Duration(stopped.Load())
					if stops {
						assert.Assert(t, at > 0 && at < after+noticeLimit, "stopped after %v", at)
					} else {
						assert.Equal(t, at, time.Duration(0))
					}
					assert.Equal(t, len(r.receivedRequests()), 1, "nothing is sent again for it")
					r.runOnLoop(func(l *loop) { assert.Equal(t, len(l.requests), 0) })
					assert.Equal(t, r.DisconnectedClients(), uint64(1))
				})
			})
		}
	}
}

// The same holds on a reused connection. The next request uses a new connection.
func TestKeptConnectionDisconnects(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		var stopped atomic.Int64
		r.behaviors = []serverBehavior{servedAnswer, workUntilDisconnect(time.Second, &stopped), servedAnswer}
		r.configure()
		c := r.dial()
		_, err := io.WriteString(c, requestText("/get/", ""))
		assert.NilError(t, err)
		assert.Equal(t, r.readAnswer(c).StatusCode, 200)
		_, err = io.WriteString(c, requestText("/get/", ""))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		c.Close()
		time.Sleep(time.Second)
		assert.Assert(t, stopped.Load() > 0 && time.Duration(stopped.Load()) < 100*time.Millisecond+noticeLimit)
		assert.Equal(t, r.request("/get/", "").StatusCode, 200)
	})
}

// slowDialer delays the setup of connections to servers.
type slowDialer struct {
	*sim.Net
	delay atomic.Int64
}

func (d *slowDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !world.Sleep(ctx, d.Net, time.Duration(d.delay.Load())) {
		return nil, ctx.Err()
	}
	return d.Net.Dial(ctx, network, address)
}

// A request that still waits for a connection when its client disconnects reaches no server, whether it is repeatable or not.
func TestNothingIsSentForDisconnectedClients(t *testing.T) {
	for _, path := range []string{"/get/", "/act/"} {
		t.Run(path, func(t *testing.T) {
			d := &slowDialer{}
			runManagedIn(t, false, func(n *sim.Net) world.World { d.Net = n; return d }, func(r *managedFixture) {
				r.behaviors = []serverBehavior{servedAnswer}
				r.configure()
				d.delay.Store(int64(180 * time.Millisecond))
				c := r.dial()
				_, err := io.WriteString(c, requestText(path, ""))
				assert.NilError(t, err)
				time.Sleep(50 * time.Millisecond)
				c.Close()
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(r.receivedRequests()), 0)
				d.delay.Store(0)
				assert.Equal(t, r.request(path, "").StatusCode, 200)
			})
		})
	}
}

// When a client disconnects while an answer is streamed to it, the proxy stops the server too, even if the server is silent then.
func TestStreamEndsWhenClientDisconnects(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		var stopped atomic.Int64
		r.behaviors = []serverBehavior{func(c net.Conn, q *standin.Request) bool {
			head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + q.Header.Get("Attempt-Id") + "\r\n" + sealField + "Content-Length: 100000\r\n\r\n"
			_, _ = c.Write(slices.Concat([]byte(head), content(bodyWindowBytes+4000)))
			return workUntilDisconnect(1200*time.Millisecond, &stopped)(c, q)
		}}
		r.configure()
		c := r.dial()
		_, err := io.WriteString(c, requestText("/get/", ""))
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, bodyWindowBytes))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		c.Close()
		time.Sleep(2 * time.Second)
		assert.Assert(t, stopped.Load() > 0 && time.Duration(stopped.Load()) < 150*time.Millisecond+noticeLimit, "%v", time.Duration(stopped.Load()))
	})
}
