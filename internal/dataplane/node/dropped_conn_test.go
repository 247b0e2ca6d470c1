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

// useDroppingServers replaces the servers by ones that silently drop a connection after it was idle for idleLimit. They answer
// the next byte on it with a reset, resetDelay later.
func (r *managedFixture) useDroppingServers(idleLimit, resetDelay time.Duration) *scriptedServers {
	h := r.startScriptedServers(nil, nil)
	for i := range r.servers {
		ln, err := r.net.Listen(r.t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(r.t, err)
		r.t.Cleanup(func() { ln.Close() })
		r.servers[i].Address = ln.Addr().String()
		go h.accept(&droppingListener{ln, idleLimit, resetDelay}, nil, nil)
	}
	r.SetServers(2, r.servers)
	return h
}

// droppingListener accepts connections that are dropped silently after being idle for idleLimit.
type droppingListener struct {
	net.Listener
	idleLimit, resetDelay time.Duration
}

func (d *droppingListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	return &droppingConn{Conn: c, droppingListener: d, lastRead: time.Now()}, err
}

// droppingConn is reset at the first byte that arrives after it was idle for too long.
type droppingConn struct {
	net.Conn
	*droppingListener
	lastRead time.Time
}

func (c *droppingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && time.Since(c.lastRead) > c.idleLimit {
		time.Sleep(c.resetDelay)
		_ = c.Conn.(interface{ SetLinger(int) error }).SetLinger(0)
		c.Conn.Close()
		return 0, io.EOF
	}
	c.lastRead = time.Now()
	return n, err
}

// A request that may run only once is not lost on a connection that its server has dropped silently: it goes to another
// connection at once and reaches a server once. A repeatable request does not spend its attempts on such connections either.
func TestDroppedConnectionsLoseNoRequests(t *testing.T) {
	for _, path := range []string{"/act/", "/get/"} {
		runManaged(t, false, func(r *managedFixture) {
			h := r.useDroppingServers(300*time.Millisecond, 0)
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
		h := r.useDroppingServers(300*time.Millisecond, 30*time.Millisecond)
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
