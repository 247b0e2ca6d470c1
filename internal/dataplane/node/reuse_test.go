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
		name          string
		again, unused int // connections noted, alternating as far as they go
		standing      int
		taken         int // of a room of 100
		over          bool
	}{
		{"nothing known", 0, 0, 0, 90, false},
		{"few unused", 0, 7, 0, 90, false},
		{"clients that churn", 0, 40, 0, 90, true},
		{"clients that churn, with room", 0, 40, 0, 25, false},
		{"and a connection more", 0, 40, 0, 26, true},
		{"some still stand", 0, 0, 8, 90, true},
		{"half are used again", 40, 40, 0, 90, false},
		{"one in eight is used again", 5, 40, 0, 90, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var u reuseStats
			for i := range max(c.again, c.unused) {
				if i < c.again {
					u.record(true)
				}
				if i < c.unused {
					u.record(false)
				}
			}
			closed := 0
			for range reuseTrialInterval {
				if u.shouldClose(time.Second, c.taken, 100, func() int { return c.standing }) {
					closed++
				}
			}
			want := 0
			if c.over {
				want = reuseTrialInterval - 1 // one is left open to learn from
			}
			if closed != want {
				t.Errorf("%d of %d first answers end their connection, want %d", closed, reuseTrialInterval, want)
			}
		})
	}
	// Clients that keep connections again are found by the trials.
	var u reuseStats
	for range 200 {
		u.record(false)
	}
	for range 40 {
		u.record(true)
	}
	if u.shouldClose(0, 90, 100, none) {
		t.Error("clients that use connections again now are still held to churn")
	}
}

// nodeWithSockets starts an edge node that may hold so many descriptors.
func nodeWithSockets(t *testing.T, sockets int, app string) *runningNode {
	t.Helper()
	cfg := testConfig(t, newDiscoveryFixture(t, servingTarget("s-00000001", app)).Addr())
	cfg.Sockets = sockets
	return start(t, cfg)
}

// sendOnNewConnections sends so many requests, each on a connection of its own that stays
// open until the end, and tells how many answers ended theirs.
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
		t.Fatalf("%d connections ended with three quarters of the room free", n)
	}
	eventually(t, "connections that stood for long", func() bool {
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
		t.Errorf("%d of 20 connections ended while clients leave theirs unused and room is short", n)
	}
}

// Clients that use their connections keep them, however short the room is.
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
				t.Fatalf("round %d: a connection that is used was ended", round)
			}
		}
	}
}
