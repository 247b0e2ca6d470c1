package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// useForgetfulServers uses servers that drop a connection silently after it was idle for the time after. They answer the next
// byte on it with a reset, late by the given time.
func (r *managedFixture) useForgetfulServers(after, late time.Duration) *scriptedServers {
	h := r.startScriptedServers(nil, nil)
	for i := range r.list {
		ln, err := r.net.Listen(r.t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(r.t, err)
		r.t.Cleanup(func() { ln.Close() })
		r.list[i].Address = ln.Addr().String()
		go h.accept(&forgetfulListener{ln, after, late}, nil, nil)
	}
	r.SetServers(2, r.list)
	return h
}

// forgetfulListener accepts connections that are dropped after being idle for the time after.
type forgetfulListener struct {
	net.Listener
	after, late time.Duration
}

func (d *forgetfulListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	return &forgetfulConn{Conn: c, forgetfulListener: d, last: time.Now()}, err
}

// forgetfulConn resets its connection at the first byte after a long idle time.
type forgetfulConn struct {
	net.Conn
	*forgetfulListener
	last time.Time
}

func (c *forgetfulConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && time.Since(c.last) > c.after {
		time.Sleep(c.late)
		_ = c.Conn.(interface{ SetLinger(int) error }).SetLinger(0)
		c.Conn.Close()
		return 0, io.EOF
	}
	c.last = time.Now()
	return n, err
}

// A request that may run only once is not lost on a connection that its server has dropped silently: it goes to another
// connection at once and reaches a server once. A repeatable request does not spend its attempts on such connections either.
func TestDroppedConnectionsLoseNoRequests(t *testing.T) {
	for _, path := range []string{"/act/", "/get/"} {
		runManaged(t, false, func(r *managedFixture) {
			h := r.useForgetfulServers(300*time.Millisecond, 0)
			const n = 60
			for i := range n {
				a := r.request(path, "")
				assert.Equal(t, a.StatusCode, 200, "%s, %d: %s", path, i, a.body)
				assert.Assert(t, a.took < 60*time.Millisecond, "%v", a.took)
				time.Sleep(400 * time.Millisecond)
			}
			assert.Equal(t, len(h.received()), n)
			assert.Assert(t, r.ManagedNode.node.upstream.openConns <= 3)
		})
	}
}

// An idle connection that passes its probe is reused, also for requests that may run only once. A request that is sent in two
// parts because of the probe arrives unchanged.
func TestProbedConnectionsAreReused(t *testing.T) {
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		runManaged(t, false, func(r *managedFixture) {
			h := r.startScriptedServers(nil, nil)
			for i := range 12 {
				c := r.sendInBackground(uploadRequest("/act/", content(largeBodyBytes), chunked))
				a := r.readAnswer(c)
				c.Close()
				assert.Equal(t, a.StatusCode, 200, "%d: %s", i, a.body)
				time.Sleep(300 * time.Millisecond)
			}
			assert.Equal(t, h.countComplete(), 12)
			h.mu.Lock()
			defer h.mu.Unlock()
			assert.Assert(t, len(h.conns) <= 3, "%d connections", len(h.conns))
			for _, v := range h.requests {
				assert.Equal(t, fmt.Sprint(v.Method, len(v.body)), fmt.Sprint(http.MethodPost, largeBodyBytes))
			}
		})
	})
}

// If a server's resets come too late for a probe, one request is lost. No other is lost for suspicionPeriod, in which
// connections as old are not used.
func TestLateResetLosesOneRequest(t *testing.T) {
	runManaged(t, false, func(r *managedFixture) {
		h := r.useForgetfulServers(300*time.Millisecond, 30*time.Millisecond)
		lost, n := 0, 0
		for began := time.Now(); time.Since(began) < suspicionPeriod; n++ {
			if a := r.request("/act/", ""); a.StatusCode != 200 {
				assert.Equal(t, a.StatusCode, 502)
				lost++
			}
			time.Sleep(400 * time.Millisecond)
		}
		assert.Equal(t, lost, 1)
		assert.Equal(t, len(h.received()), n-1)
	})
}
