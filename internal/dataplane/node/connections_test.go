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

// A client that closes its connection has gone away: nothing more may be sent
// for it, and what is held for it is let go.
func TestClientGone(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1")
	g, err := policy.New(cfg.Settings, cfg.Seed)
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
	l := newLoop(newClock(world.Real{}), g, newTestUpstream(refusingAddress(t)))
	held, out := &openRequest{conn: conn, commands: make(chan command, 1)}, &openRequest{conn: conn, commands: make(chan command, 1)}
	held.ID, out.ID, out.inFlight = 1, 2, &attempt{id: 2}
	held.answerBy, out.answerBy = l.clock.now()+time.Hour, l.clock.now()+time.Hour
	l.requests[1], l.requests[2] = held, out
	l.checkDisconnects()
	if len(l.requests) != 2 {
		t.Fatalf("%d open while the client is there", len(l.requests))
	}
	client.Close()
	eventually(t, "notice of the close", func() bool { l.checkDisconnects(); return len(l.requests) == 0 })
	if len(held.commands) != 1 || len(out.commands) != 0 || out.inFlight.isCancelled {
		t.Errorf("held let go %d, out told %d, called back %v", len(held.commands), len(out.commands), out.inFlight.isCancelled)
	}
	l.sendAttempt(policy.Send{ID: 2, Server: 1})
	l.endAttempt(outcome{out, out.inFlight, endedResult(verdict.Failed, nil)})
	if cmd := <-out.commands; cmd.attempt != nil || len(out.commands) != 0 {
		t.Errorf("after the attempt: %+v", cmd)
	}
}

// A connection that brings no request, or half of one, is let go within the 3 s
// that such a client is owed.
func TestSilentClientsAreDisconnected(t *testing.T) {
	n := startNodeFor(t, refusingAddress(t))
	silent, half := dial(t, n), dial(t, n)
	_, _ = half.Write([]byte("GET /lookup HTTP/1.1\r\nHost: a"))
	began := time.Now()
	if all, err := io.ReadAll(silent); err != nil || len(all) > 0 {
		t.Errorf("silent: %q, %v", all, err)
	}
	if all, err := io.ReadAll(half); err != nil || !strings.HasPrefix(string(all), "HTTP/1.1 408 ") {
		t.Errorf("half a request: %q, %v", all, err)
	}
	if defaultFirstRequestTimeout > 2500*time.Millisecond || time.Since(began) > testTimeout-time.Second {
		t.Errorf("let go after %v", time.Since(began))
	}
}

// Connections that bring nothing of use make room before those that have
// carried good requests, however old these are.
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
	eventually(t, "room made", func() bool { open, _ := n.server.connectionActivity(); return open <= 4 })
	if resp := writeRequest(t, useful, newTestRequest(n.url, "lookup", testTimeout))(); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	silent.Close()
}

// A request under the id of one that is open is refused, and the first goes on:
// two under one id would be two attempts out at once.
func TestIDOfOpenRequestIsRejected(t *testing.T) {
	release := make(chan struct{})
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		<-release
		return standin.Answer("200 OK", "", "hits")(c, r)
	})
	n := startNodeFor(t, a.Addr())
	first := writeRequest(t, dial(t, n), newTestRequest(n.url, "loan", testTimeout))
	eventually(t, "the first at the app server", func() bool { return a.Seen.Load() == 1 })
	if resp := writeRequest(t, dial(t, n), newTestRequest(n.url, "loan", testTimeout))(); resp.StatusCode != http.StatusConflict {
		t.Errorf("the second: %d", resp.StatusCode)
	}
	close(release)
	if resp := first(); resp.StatusCode != 200 || a.Seen.Load() != 1 {
		t.Errorf("the first: %d, %d attempts", resp.StatusCode, a.Seen.Load())
	}
	if resp := writeRequest(t, dial(t, n), newTestRequest(n.url, "loan", testTimeout))(); resp.StatusCode != 200 {
		t.Errorf("once it is free again: %d", resp.StatusCode)
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

// writeRequest writes a request on a connection of the test's own.
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

// Idle client connections are shut before the descriptors run out, oldest
// first, and busy ones are not.
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
	eventually(t, "the open request at the app server", func() bool { return a.Seen.Load() == 1 })
	idle := dial(t, n)
	eventually(t, "two connections", func() bool { open, _ := n.server.connectionActivity(); return open == 2 })
	dial(t, n)
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection over the bound: %v", err)
	}
	close(release)
	if resp := held(); resp.StatusCode != 200 {
		t.Errorf("busy connection: %d", resp.StatusCode)
	}
}

// A request that crossed the closing of its idle connection is sent again by
// the client: worked on here too it would have its effect twice.
func TestRequestOnClosedConnectionIsNotProcessed(t *testing.T) {
	n := startNodeFor(t, refusingAddress(t))
	pipe, other := net.Pipe()
	defer other.Close()
	c := n.server.addConnection(pipe)
	n.server.closeIdle(0)
	if n.server.beginRequest(c) {
		t.Error("a shut connection counts as open")
	}
	c = n.server.addConnection(pipe)
	if !n.server.beginRequest(c) {
		t.Error("an open connection counts as shut")
	}
	n.server.closeIdle(0)
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	if c.closedByProxy {
		t.Error("a busy connection was shut")
	}
}

// Clients that never finish their requests must not use up the descriptors:
// others still get in, and busy connections stay.
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
	// At its read time-out it would get an answer that says so.
	if got, _ := first.Read(make([]byte, 1)); got != 0 {
		t.Error("the slowest was not shut before its time-out")
	}
}
