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

// notices is how soon what is done for a client that has left has to be over.
const notices = 150 * time.Millisecond

// worker works on a request for so long, unless its connection goes before.
func worker(d time.Duration, stopped *atomic.Int64) act {
	return func(c net.Conn, q *standin.Request) bool {
		began := time.Now()
		for time.Since(began) < d {
			time.Sleep(10 * time.Millisecond)
			if world.Peek(c) == world.PeekEnd {
				stopped.Store(int64(time.Since(began)))
				return false
			}
		}
		return served(c, q)
	}
}

// However a client leaves in the middle of a run, the server stops where the request may be repeated, and works on where
// it may run once.
func TestServersStopForClientsThatLeft(t *testing.T) {
	const work, after = 1200 * time.Millisecond, 200 * time.Millisecond
	for how, end := range disconnects {
		if how == "stall" {
			continue
		}
		for path, stops := range map[string]bool{"/get/": true, "/act/": false} {
			t.Run(how+path, func(t *testing.T) {
				play(t, false, func(r *rig) {
					var stopped atomic.Int64
					r.acts = []act{worker(work, &stopped)}
					r.tell()
					c := r.dial()
					defer c.Close()
					_, err := io.WriteString(c, wired(path, ""))
					assert.NilError(t, err)
					time.Sleep(after)
					end(c)
					time.Sleep(2 * time.Second)
					at := time.Duration(stopped.Load())
					if stops {
						assert.Assert(t, at > 0 && at < after+notices, "stopped after %v", at)
					} else {
						assert.Equal(t, at, time.Duration(0))
					}
					assert.Equal(t, len(r.seen()), 1, "nothing is sent again for it")
					r.in(func(l *loop) { assert.Equal(t, len(l.calls), 0) })
					assert.Equal(t, r.Left(), uint64(1))
				})
			})
		}
	}
}

// One that holds a kept connection does the same: its next request is on a new one.
func TestKeptConnectionThatLeaves(t *testing.T) {
	play(t, false, func(r *rig) {
		var stopped atomic.Int64
		r.acts = []act{served, worker(time.Second, &stopped), served}
		r.tell()
		c := r.dial()
		_, err := io.WriteString(c, wired("/get/", ""))
		assert.NilError(t, err)
		assert.Equal(t, r.answer(c).StatusCode, 200)
		_, err = io.WriteString(c, wired("/get/", ""))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		c.Close()
		time.Sleep(time.Second)
		assert.Assert(t, stopped.Load() > 0 && time.Duration(stopped.Load()) < 100*time.Millisecond+notices)
		assert.Equal(t, r.ask("/get/", "").StatusCode, 200)
	})
}

// slowDials lets connections to servers come up late.
type slowDials struct {
	*sim.Net
	late atomic.Int64
}

func (d *slowDials) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !world.Sleep(ctx, d.Net, time.Duration(d.late.Load())) {
		return nil, ctx.Err()
	}
	return d.Net.Dial(ctx, network, address)
}

// What waits for a connection when its client leaves reaches no server any more, of whatever kind it is.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	for _, path := range []string{"/get/", "/act/"} {
		t.Run(path, func(t *testing.T) {
			d := &slowDials{}
			playIn(t, false, func(n *sim.Net) world.World { d.Net = n; return d }, func(r *rig) {
				r.acts = []act{served}
				r.tell()
				d.late.Store(int64(180 * time.Millisecond))
				c := r.dial()
				_, err := io.WriteString(c, wired(path, ""))
				assert.NilError(t, err)
				time.Sleep(50 * time.Millisecond)
				c.Close()
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(r.seen()), 0)
				d.late.Store(0)
				assert.Equal(t, r.ask(path, "").StatusCode, 200)
			})
		})
	}
}

// An answer that is passed on while its client leaves ends at its server, too, also while that says nothing.
func TestStreamEndsForClientsThatLeft(t *testing.T) {
	play(t, false, func(r *rig) {
		var stopped atomic.Int64
		r.acts = []act{func(c net.Conn, q *standin.Request) bool {
			head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + q.Header.Get("Attempt-Id") + "\r\n" + seal + "Content-Length: 100000\r\n\r\n"
			_, _ = c.Write(slices.Concat([]byte(head), content(bodyWindow+4000)))
			return worker(1200*time.Millisecond, &stopped)(c, q)
		}}
		r.tell()
		c := r.dial()
		_, err := io.WriteString(c, wired("/get/", ""))
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, bodyWindow))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		c.Close()
		time.Sleep(2 * time.Second)
		assert.Assert(t, stopped.Load() > 0 && time.Duration(stopped.Load()) < 150*time.Millisecond+notices, "%v", time.Duration(stopped.Load()))
	})
}
