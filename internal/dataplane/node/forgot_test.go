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

// useForgetfulServers has servers reset a connection that stood idle for long at the first byte that comes then, some time later
// and without a packet before.
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

type forgetfulListener struct {
	net.Listener
	after, late time.Duration
}

func (d *forgetfulListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	return &forgetfulConn{Conn: c, forgetfulListener: d, last: time.Now()}, err
}

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

// A request that may run once is not lost on a connection that its server has dropped without a packet: it goes on
// another, at once, and reaches a server once. Nor does one that may be repeated spend its tries there for long.
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

// A connection that its server still knows is used again, for what may run once too, and a request that goes there in
// two parts is the same as in one.
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

// Where a reset comes too late for a trial one request is lost, and no other for as long as it is held against
// connections as old.
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
