package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/standin"
)

func TestShouldCloseUnusedConnections(t *testing.T) {
	none := func() int { return 0 }
	for _, c := range []struct {
		name           string
		reused, unused int // connections recorded as reused or unused, alternately until one count is used up
		unusedOpen     int
		taken          int // of 100 possible connections
		wantClose      bool
	}{
		{"nothing recorded", 0, 0, 0, 90, false},
		{"few unused", 0, 7, 0, 90, false},
		{"clients do not reuse", 0, 40, 0, 90, true},
		{"no reuse, few connections in use", 0, 40, 0, 25, false},
		{"no reuse, one connection more", 0, 40, 0, 26, true},
		{"unused connections still open", 0, 0, 8, 90, true},
		{"half are reused", 40, 40, 0, 90, false},
		{"one reused for each eight unused", 5, 40, 0, 90, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var u reuseStats
			for i := range max(c.reused, c.unused) {
				if i < c.reused {
					u.record(true)
				}
				if i < c.unused {
					u.record(false)
				}
			}
			closed := 0
			for range reuseTrialInterval {
				if u.shouldClose(time.Second, c.taken, 100, func() int { return c.unusedOpen }) {
					closed++
				}
			}
			want := 0
			if c.wantClose {
				want = reuseTrialInterval - 1 // one is left open as a trial
			}
			if closed != want {
				t.Errorf("%d of %d first answers close their connection, want %d", closed, reuseTrialInterval, want)
			}
		})
	}
	// The trials detect that clients reuse connections again.
	var u reuseStats
	for range 200 {
		u.record(false)
	}
	for range 40 {
		u.record(true)
	}
	if u.shouldClose(0, 90, 100, none) {
		t.Error("connections of clients that reuse them again are still closed")
	}
}

// nodeWithSockets starts a proxy with the given limit on descriptors.
func nodeWithSockets(t *testing.T, sockets int, app string) *runningNode {
	t.Helper()
	cfg := testConfig(t, newDiscoveryFixture(t, servingTarget("s-00000001", app)).Addr())
	cfg.Sockets = sockets
	return start(t, cfg)
}

// sendOnNewConnections sends n requests, each on a connection of its own that stays open until the end of the test,
// and returns how many answers closed theirs.
func sendOnNewConnections(t *testing.T, r *runningNode, n int, pause time.Duration) (closed int) {
	t.Helper()
	for i := range n {
		tr := &http.Transport{}
		req := newTestRequest(r.url, "lookup", 2*time.Second)
		req.Header.Set("X-Request-Id", pause.String()+time.Duration(n*i).String())
		resp, err := tr.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.Close {
			closed++
		}
		t.Cleanup(tr.CloseIdleConnections)
		time.Sleep(pause)
	}
	return closed
}

func TestUnusedConnectionsMakeRoom(t *testing.T) {
	app := newAppServer(t, standin.Answer("200 OK", "", "ok"))
	r := nodeWithSockets(t, 80, app.Addr()) // clients have half: 40
	if n := sendOnNewConnections(t, r, 10, time.Millisecond); n > 0 {
		t.Fatalf("%d connections closed with three quarters of them free", n)
	}
	eventually(t, "connections that count as unused", func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		n := 0
		for cc := range r.server.conns {
			if cc.isUnused(r.server.clock.now()) {
				n++
			}
		}
		return n >= int(minUnusedConns)
	})
	if n := sendOnNewConnections(t, r, 20, 0); n < 15 {
		t.Errorf("%d of 20 connections closed while clients leave theirs unused and few are free", n)
	}
}

// Clients that reuse their connections keep them, however few are free.
func TestUsedConnectionsStay(t *testing.T) {
	app := newAppServer(t, standin.Answer("200 OK", "", "ok"))
	r := nodeWithSockets(t, 64, app.Addr()) // clients have half: 32
	var conns []*http.Transport
	for range 28 {
		tr := &http.Transport{MaxConnsPerHost: 1, DialContext: (&net.Dialer{}).DialContext}
		conns = append(conns, tr)
		t.Cleanup(tr.CloseIdleConnections)
	}
	for round := range 6 {
		for i, tr := range conns {
			req := newTestRequest(r.url, "lookup", 2*time.Second)
			req.Header.Set("X-Request-Id", time.Duration(round*100+i).String())
			resp, err := tr.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.Close {
				t.Fatalf("round %d: a connection in use was closed", round)
			}
		}
	}
}
