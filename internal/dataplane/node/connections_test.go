package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/standin"
	"pepperfall.example/pepperfall/policy"
)

// When a client closes its connection, its held requests are dropped and nothing more is sent for it. Under the
// standalone protocol an attempt in flight is not cancelled.
func TestClientGone(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1")
	gateway, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	l := newLoop(newClock(world.Real{}), gateway, newTestUpstream(refusingAddress(t)))
	waiting, sent := &openRequest{conn: conn, commands: make(chan command, 1)}, &openRequest{conn: conn, commands: make(chan command, 1)}
	waiting.ID, sent.ID, sent.inFlight = 1, 2, &attempt{id: 2}
	waiting.answerBy, sent.answerBy = l.clock.now()+time.Hour, l.clock.now()+time.Hour
	l.requests[1], l.requests[2] = waiting, sent
	l.checkDisconnects()
	if len(l.requests) != 2 {
		t.Fatalf("%d open requests while the client is connected", len(l.requests))
	}
	client.Close()
	eventually(t, "the disconnect is noticed", func() bool { l.checkDisconnects(); return len(l.requests) == 0 })
	if len(waiting.commands) != 1 || len(sent.commands) != 0 || sent.inFlight.isCancelled {
		t.Errorf("answers to the waiting request %d, to the one in flight %d, attempt cancelled %v", len(waiting.commands), len(sent.commands), sent.inFlight.isCancelled)
	}
	l.sendAttempt(policy.Send{ID: 2, Server: 1})
	l.endAttempt(outcome{sent, sent.inFlight, endedResult(verdict.Failed, nil)})
	if cmd := <-sent.commands; cmd.attempt != nil || len(sent.commands) != 0 {
		t.Errorf("after the attempt: %+v", cmd)
	}
}

// A connection that sends no request or an incomplete one is closed. This must happen within 3 s, the longest time that the
// rules allow for such a client.
func TestSilentClientsAreDisconnected(t *testing.T) {
	n := startNodeFor(t, refusingAddress(t))
	silent, half := dial(t, n), dial(t, n)
	_, _ = half.Write([]byte("GET /lookup HTTP/1.1\r\nHost: a"))
	began := time.Now()
	if all, err := io.ReadAll(silent); err != nil || len(all) > 0 {
		t.Errorf("silent: %q, %v", all, err)
	}
	if all, err := io.ReadAll(half); err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 408 ") {
		t.Errorf("incomplete request: %q, %v", all, err)
	}
	if defaultFirstRequestTimeout > 2500*time.Millisecond || time.Since(began) > testTimeout-time.Second {
		t.Errorf("closed after %v", time.Since(began))
	}
}

// At the connection limit, connections without a valid request are closed before those that have carried valid requests,
// however old these are.
func TestUsefulClientsAreKept(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	n := startNodeFor(t, a.Addr())
	http.DefaultClient.CloseIdleConnections()
	eventually(t, "no connection", func() bool { open, _ := n.server.connectionActivity(); return open == 0 })
	n.server.mu.Lock()
	n.server.maxConns = 4
	n.server.mu.Unlock()
	useful := dial(t, n)
	writeRequest(t, useful, newTestRequest(n.url, "lookup", testTimeout))()
	for range 40 {
		dial(t, n)
	}
	silent := dial(t, n)
	eventually(t, "connections evicted", func() bool { open, _ := n.server.connectionActivity(); return open <= 4 })
	if resp := writeRequest(t, useful, newTestRequest(n.url, "lookup", testTimeout))(); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	silent.Close()
}

// A request with the id of an open request is rejected, and the first one continues. Otherwise two attempts under one id would
// be in flight at once.
func TestIDOfOpenRequestIsRejected(t *testing.T) {
	release := make(chan struct{})
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		<-release
		return standin.Answer("200 OK", "", "hits")(c, r)
	})
	n := startNodeFor(t, a.Addr())
	first := writeRequest(t, dial(t, n), newTestRequest(n.url, "loan", testTimeout))
	eventually(t, "the first request is at the server", func() bool { return a.Seen.Load() == 1 })
	if resp := writeRequest(t, dial(t, n), newTestRequest(n.url, "loan", testTimeout))(); resp.StatusCode != http.StatusConflict {
		t.Errorf("second request: %d", resp.StatusCode)
	}
	close(release)
	if resp := first(); resp.StatusCode != 200 || a.Seen.Load() != 1 {
		t.Errorf("first request: %d, %d attempts", resp.StatusCode, a.Seen.Load())
	}
	if resp := writeRequest(t, dial(t, n), newTestRequest(n.url, "loan", testTimeout))(); resp.StatusCode != 200 {
		t.Errorf("after the first has ended: %d", resp.StatusCode)
	}
}

func dial(t *testing.T, n *runningNode) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// writeRequest writes a request to a connection and returns a function that reads the answer.
func writeRequest(t *testing.T, c net.Conn, r *http.Request) func() *http.Response {
	t.Helper()
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	return func() *http.Response {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(c), r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp
	}
}

// Idle client connections are closed, the oldest first, before file descriptors run out. Busy connections stay open.
func TestClosesIdleClients(t *testing.T) {
	release := make(chan struct{})
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		<-release
		return standin.Answer("200 OK", "", "hits")(c, r)
	})
	n := startNodeFor(t, a.Addr())
	http.DefaultClient.CloseIdleConnections()
	eventually(t, "no connection", func() bool { open, _ := n.server.connectionActivity(); return open == 0 })
	n.server.mu.Lock()
	n.server.maxConns = 2
	n.server.mu.Unlock()
	busy := dial(t, n)
	held := writeRequest(t, busy, newTestRequest(n.url, "loan", testTimeout))
	eventually(t, "the open request is at the server", func() bool { return a.Seen.Load() == 1 })
	idle := dial(t, n)
	eventually(t, "two connections", func() bool { open, _ := n.server.connectionActivity(); return open == 2 })
	dial(t, n)
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection beyond the limit: %v", err)
	}
	close(release)
	if resp := held(); resp.StatusCode != 200 {
		t.Errorf("busy connection: %d", resp.StatusCode)
	}
}

// A request that arrives while its idle connection is being closed is sent again by the client. If it were processed as well,
// it would take effect twice.
func TestRequestOnClosedConnectionIsNotProcessed(t *testing.T) {
	n := startNodeFor(t, refusingAddress(t))
	pipe, other := net.Pipe()
	defer other.Close()
	c := n.server.addConnection(pipe)
	n.server.closeIdle(0)
	if n.server.beginRequest(c) {
		t.Error("a closed connection counts as open")
	}
	c = n.server.addConnection(pipe)
	if !n.server.beginRequest(c) {
		t.Error("an open connection counts as closed")
	}
	n.server.closeIdle(0)
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	if c.closedByProxy {
		t.Error("a busy connection was closed")
	}
}

// Clients that never finish their requests must not exhaust the file descriptors: other clients still connect, and busy
// connections stay open.
func TestSlowRequestsAreEvicted(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	n := startNodeFor(t, a.Addr())
	http.DefaultClient.CloseIdleConnections()
	n.server.mu.Lock()
	n.server.maxConns = 4
	n.server.mu.Unlock()
	first := dial(t, n)
	if _, err := first.Write([]byte("GET /lookup HTTP/1.1\r\nHost: a")); err != nil {
		t.Fatal(err)
	}
	for range 12 {
		_, _ = dial(t, n).Write([]byte("GET /lookup HTTP/1.1\r\nHost: a")) // may be closed already
	}
	c := dial(t, n)
	if resp := writeRequest(t, c, newTestRequest(n.url, "lookup", testTimeout))(); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	// At its read timeout the client would get a 408 answer instead.
	if got, _ := first.Read(make([]byte, 1)); got != 0 {
		t.Error("the slowest connection was not closed before its timeout")
	}
}
