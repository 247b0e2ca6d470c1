package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

const (
	largeBodyBytes         = 300_001
	configuredMaxBodyBytes = 4 << 20
	longDeadlineField      = "Deadline-Ms: 1900\r\n"
)

var contentSource = sync.OnceValue(func() (b []byte) {
	for i := range 512 << 10 {
		b = fmt.Appendf(b, "%07x ", i)
	}
	return b
})

// content returns a body in which no part equals another, so that misplaced pieces are noticed.
func content(n int) []byte { return contentSource()[:n:n] }

// frameBody returns a body as it follows a head on the wire, and the header fields that describe its framing.
func frameBody(body []byte, chunked bool) (fields string, wire []byte) {
	if !chunked {
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	}
	for len(body) > 0 {
		n := min(len(body), 10007)
		wire = append(fmt.Appendf(wire, "%x;x=y\r\n", n), body[:n]...)
		wire, body = append(wire, "\r\n"...), body[n:]
	}
	return "Transfer-Encoding: chunked\r\n", append(wire, "0\r\nA: b\r\n\r\n"...)
}

// uploadRequest returns a request with such a body.
func uploadRequest(path string, body []byte, chunked bool) []byte {
	fields, wire := frameBody(body, chunked)
	head := requestText(path, longDeadlineField)
	head = strings.TrimSuffix(head, "Content-Length: 4\r\n\r\nbody")
	return append([]byte(head+fields+"\r\n"), wire...)
}

// receivedRequest is a request as a server received it.
type receivedRequest struct {
	*http.Request
	body []byte
	err  error // an error before the body's end
}

// scriptedServers are servers whose connections are handled by a test.
type scriptedServers struct {
	mu          sync.Mutex
	requests    []receivedRequest
	closedConns int // connections that the proxy has closed
	conns       []net.Conn
}

func (h *scriptedServers) received() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests
}

// countComplete counts the requests that arrived completely.
func (h *scriptedServers) countComplete() (n int) {
	for _, v := range h.received() {
		if v.err == nil {
			n++
		}
	}
	return n
}

// startScriptedServers starts the servers of the site and sets a configuration with limits. A server calls before
// when a request's head has arrived and after when its body has; each closes the connection by returning false. A nil
// before does nothing, and a nil after sends an answer.
func (r *managedFixture) startScriptedServers(before, after func(c net.Conn, q *http.Request) bool) *scriptedServers {
	h := &scriptedServers{}
	r.t.Cleanup(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, c := range h.conns {
			c.Close()
		}
	})
	for i := range r.servers {
		ln, err := r.net.Listen(r.t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(r.t, err)
		r.t.Cleanup(func() { ln.Close() })
		r.servers[i].Address = ln.Addr().String()
		go h.accept(ln, before, after)
	}
	r.configure()
	p, err := routeconfig.Parse([]byte(strings.Replace(managedConfiguration, `"gen":"r1",`, fmt.Sprintf(
		`"gen":"r2","limits":{"max_body_bytes":%d,"header_timeout_ms":700},`, configuredMaxBodyBytes), 1)))
	assert.NilError(r.t, err)
	r.SetConfiguration(p)
	return h
}

// accept serves connections with the functions of a test.
func (h *scriptedServers) accept(ln net.Listener, before, after func(c net.Conn, q *http.Request) bool) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns = append(h.conns, c)
		h.mu.Unlock()
		go h.serveConnection(c, before, after)
	}
}

func (h *scriptedServers) serveConnection(c net.Conn, before, after func(c net.Conn, q *http.Request) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			h.mu.Lock()
			h.closedConns++
			h.mu.Unlock()
			return
		}
		if before != nil && !before(c, q) {
			return
		}
		body, err := io.ReadAll(q.Body)
		h.mu.Lock()
		h.requests = append(h.requests, receivedRequest{q, body, err})
		h.mu.Unlock()
		if err != nil || after != nil && !after(c, q) {
			return
		}
		if after == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nyes", q.Header.Get(fieldID))
		}
	}
}

// sendInBackground writes a request without waiting until it is written.
func (r *managedFixture) sendInBackground(b []byte) net.Conn {
	c := r.dial()
	go func() { _, _ = c.Write(b) }()
	return c
}

// serverAnswer returns an answer with a body, as a server writes it.
func serverAnswer(q *http.Request, status string, body []byte, chunked bool) []byte {
	fields, wire := frameBody(body, chunked)
	return append(fmt.Appendf(nil, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%s\r\n", status, q.Header.Get(fieldID), fields), wire...)
}

func runForEachFraming(t *testing.T, test func(t *testing.T, chunked bool)) {
	for _, chunked := range []bool{false, true} {
		t.Run(map[bool]string{false: "length", true: "chunks"}[chunked], func(t *testing.T) { test(t, chunked) })
	}
}

// Bodies of any size pass unchanged in both directions, and the connections stay usable afterwards.
func TestBodiesPassUnchanged(t *testing.T) {
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		runManaged(t, false, func(r *managedFixture) {
			h := r.startScriptedServers(nil, func(c net.Conn, q *http.Request) bool {
				n := int(q.ContentLength)
				_, _ = fmt.Sscan(q.Header.Get("X-Want"), &n)
				_, err := c.Write(serverAnswer(q, "200 OK", content(n), chunked))
				return err == nil
			})
			c := r.dial()
			defer c.Close()
			in := bufio.NewReader(c)
			for _, n := range []int{0, 1, bodyWindowBytes - 1, bodyWindowBytes, bodyWindowBytes + 1, 2 * bodyWindowBytes, 5*10007 + 1, 3<<20 + 5} {
				b := bytes.Replace(uploadRequest("/act/", content(n), chunked), []byte("Deadline-Ms"), fmt.Appendf(nil, "X-Want: %d\r\nExpect: 100-continue\r\nDeadline-Ms", n), 1)
				head := bytes.Index(b, []byte("\r\n\r\n")) + 4
				_, err := c.Write(b[:head])
				assert.NilError(t, err)
				if head < len(b) {
					a, err := http.ReadResponse(in, nil)
					assert.Assert(t, err == nil && a.StatusCode == 100, "%v", err)
				}
				go func() { _, _ = c.Write(b[head:]) }()
				a, err := http.ReadResponse(in, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(a.Body)
				assert.NilError(t, err, n)
				v := h.received()[len(h.received())-1]
				assert.Assert(t, v.err == nil && bytes.Equal(v.body, content(n)), "%d bytes sent, %d came, %v", n, len(v.body), v.err)
				assert.Assert(t, a.StatusCode == 200 && bytes.Equal(body, content(n)), "%d: %d bytes came back", n, len(body))
				assert.Assert(t, !a.Close)
			}
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			assert.Equal(t, h.closedConns, 0)
		})
	})
}

// countedConn counts the bytes written through it.
type countedConn struct {
	net.Conn
	mu sync.Mutex
	n  int
}

func (c *countedConn) Write(b []byte) (all int, err error) {
	for len(b) > 0 {
		n, err := c.Conn.Write(b[:min(len(b), 1024)])
		c.mu.Lock()
		c.n += n
		c.mu.Unlock()
		if all, b = all+n, b[n:]; err != nil {
			return all, err
		}
	}
	return all, nil
}

func (c *countedConn) written() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// If one side stops reading, the other can send only as much as two sockets and the proxy's windows hold. A side that
// never reads must not block a request beyond its deadline.
func TestBodiesBackpressure(t *testing.T) {
	const socketBytes, proxyBytes = 2 * 64 << 10, 4 * bodyWindowBytes
	runForEachFraming(t, func(t *testing.T, chunked bool) {
		t.Run("server", func(t *testing.T) {
			runManaged(t, false, func(r *managedFixture) {
				stuck := make(chan bool)
				h := r.startScriptedServers(func(net.Conn, *http.Request) bool { <-stuck; return true }, nil)
				c := &countedConn{Conn: r.dial()}
				defer c.Close()
				go func() { _, _ = c.Write(uploadRequest("/act/", content(largeBodyBytes), chunked)) }()
				time.Sleep(time.Second)
				assert.Assert(t, c.written() > socketBytes && c.written() < socketBytes+proxyBytes, "%d", c.written())
				began := time.Now()
				close(stuck)
				assert.Equal(t, r.readAnswer(c).body, "yes")
				assert.Assert(t, time.Since(began) < 900*time.Millisecond)
				assert.Equal(t, len(h.received()[0].body), largeBodyBytes)
			})
		})
		t.Run("client", func(t *testing.T) {
			runManaged(t, false, func(r *managedFixture) {
				var serverConn *countedConn
				var writeErr error // how the server's write ended
				h := r.startScriptedServers(nil, func(c net.Conn, q *http.Request) bool {
					serverConn = &countedConn{Conn: c}
					_, err := serverConn.Write(serverAnswer(q, "200 OK", content(largeBodyBytes), chunked))
					writeErr = err
					return err == nil
				})
				c := r.sendInBackground([]byte(requestText("/get/", longDeadlineField)))
				defer c.Close()
				time.Sleep(time.Second)
				synctest.Wait()
				assert.Assert(t, serverConn.written() >= socketBytes && serverConn.written() < socketBytes+proxyBytes, "%d", serverConn.written())
				time.Sleep(2 * time.Second) // the deadline has passed: the server's connection is released
				synctest.Wait()
				assert.Assert(t, h.countComplete() == 1 && writeErr != nil)
				open, _ := r.ManagedNode.node.server.connectionActivity()
				assert.Equal(t, open, 0)
				n, err := readAnswerBody(c)
				assert.Assert(t, err != nil && n < largeBodyBytes, "%d bytes: %v", n, err)
			})
		})
	})
}

// readAnswerBody reads an answer's body and returns its length; it fails if the body is incomplete.
func readAnswerBody(c io.Reader) (int, error) {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	n, err := io.Copy(io.Discard, a.Body)
	return int(n), err
}
