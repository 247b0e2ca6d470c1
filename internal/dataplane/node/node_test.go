package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/standin"
	"pepperfall.example/pepperfall/policy"
)

// Requests and answers are forwarded unchanged, and each request is sent once.
func TestServes(t *testing.T) {
	var got atomic.Value
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		got.Store(fmt.Sprint(r.Method, r.RequestURI, r.Content, r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")))
		return standin.Answer("200 OK", "", "placed\x00")(c, r)
	})
	n := startNodeFor(t, a.Addr())
	for class, want := range map[string]string{
		"lookup": "GET/lookup?q=19b1f03aa5c7e2d41",
		"loan":   "POST/loan?q=1order=179b1f03aa5c7e2d415c0f6e1a2b3d4c59a8b7c6d5e4f30211",
	} {
		resp, body := sendTestRequest(t, newTestRequest(n.url, class, testTimeout))
		if resp.StatusCode != 200 || body != "placed\x00" || got.Load() != want {
			t.Errorf("%s: %d %q, forwarded %q, want %q", class, resp.StatusCode, body, got.Load(), want)
		}
	}
	if s := a.Seen.Load(); s != 2 {
		t.Errorf("2 requests were written %d times", s)
	}
}

// An attempt that did not run is retried at another server; the client gets one answer.
func TestRetriesOnAnotherServer(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	n := startNodeFor(t, refusingAddress(t), a.Addr())
	for range 20 {
		if resp, body := sendTestRequest(t, newTestRequest(n.url, "loan", testTimeout)); resp.StatusCode != 200 || body != "hits" {
			t.Fatalf("%d %q", resp.StatusCode, body)
		}
	}
}

// A keyed request that may have run is retried only within its own group of servers. It is never refused, because a refusal
// tells the client that a retry is harmless.
func TestKeyedMayHaveRun(t *testing.T) {
	breaks := func(net.Conn, *standin.Request) bool { return false }
	a, b := newAppServer(t, breaks), newAppServer(t, breaks)
	other := servingTarget("s-00000002", b.Addr())
	other.Cell = 1
	n := start(t, testConfig(t, newDiscoveryFixture(t, servingTarget("s-00000001", a.Addr()), other).Addr()))
	resp, _ := sendTestRequest(t, newTestRequest(n.url, "loan", testTimeout))
	if resp.StatusCode != http.StatusBadGateway || a.Seen.Load()+b.Seen.Load() != 1 {
		t.Errorf("%d after %d and %d attempts", resp.StatusCode, a.Seen.Load(), b.Seen.Load())
	}
}

// If a server never answers, the client gets a failure before its deadline and the attempt is ended.
func TestAnswersBeforeTheDeadline(t *testing.T) {
	a := newAppServer(t, standin.Deaf)
	n := startNodeFor(t, a.Addr())
	resp, _ := sendTestRequest(t, newTestRequest(n.url, "loan", 300*time.Millisecond))
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%d", resp.StatusCode)
	}
	eventually(t, "the end of the attempt", func() bool { return a.Ended.Load() == 1 })
}

// A request that the policy refuses is answered at once, with the retry time that the policy returned.
func TestRefusesAtOnce(t *testing.T) {
	n := startNodeFor(t, refusingAddress(t))
	r := newTestRequest(n.url, "loan", testTimeout)
	r.Header.Set("X-Tier", "tiny") // the plan's token bucket holds less than the request costs
	began := time.Now()
	resp, _ := sendTestRequest(t, r)
	if time.Since(began) > testTimeout/2 {
		t.Error("the refusal was delayed")
	}
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") != "1.5" {
		t.Errorf("%d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// A request that is still open at its deadline fails. It is not refused while an attempt is in flight, and the attempt is
// cancelled first.
func TestBackstop(t *testing.T) {
	c := newClock(world.Real{})
	l := newLoop(c, nil, nil)
	out := &attempt{id: 1, isCancelled: false}
	open := &openRequest{commands: make(chan command, 1), inFlight: out}
	open.ID = 1
	l.requests[1] = open
	l.finish(open, command{refused: true})
	if !out.isCancelled || len(open.commands) != 0 {
		t.Fatalf("cancelled %v, answers %d", out.isCancelled, len(open.commands))
	}
	l.finish(open, command{}) // finishing it again has no effect
	open.inFlight = nil
	l.answer(open, *open.pendingAnswer)
	if cmd := <-open.commands; cmd.refused || cmd.attempt != nil || len(l.requests) != 0 {
		t.Errorf("%+v, %d open", cmd, len(l.requests))
	}
}

// A 4xx answer of a server is the client's fault: the request is not retried, and the server is not considered failing.
func TestBadRequestIsNotRetried(t *testing.T) {
	a := newAppServer(t, standin.Answer("400 No", "", ""))
	n := startNodeFor(t, a.Addr())
	for i := range 5 {
		if resp, _ := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout)); resp.StatusCode != 400 || int(a.Seen.Load()) != i+1 {
			t.Fatalf("%d after %d attempts", resp.StatusCode, a.Seen.Load())
		}
	}
}

// A planned stop loses no request: open requests are answered, and so are those that arrive on old and new connections for a
// while after the signal. Each answer, including refusals, closes the connection.
func TestStopAnswersAll(t *testing.T) {
	release := make(chan struct{})
	a := newAppServer(t, func(c net.Conn, r *standin.Request) bool {
		if r.Method == http.MethodPost {
			<-release
		}
		return standin.Answer("200 OK", "", "hits")(c, r)
	})
	n := startNodeFor(t, a.Addr())
	old, open, idle := dial(t, n), dial(t, n), dial(t, n)
	writeRequest(t, old, newTestRequest(n.url, "lookup", testTimeout))()
	writeRequest(t, idle, newTestRequest(n.url, "lookup", testTimeout))()
	held := writeRequest(t, open, newTestRequest(n.url, "loan", testTimeout))
	eventually(t, "the open request at the server", func() bool { return a.Seen.Load() == 3 })
	n.stop()
	eventually(t, "the stop", n.server.draining.Load)
	fresh := dial(t, n)
	refused := newTestRequest(n.url, "lookup", testTimeout)
	again := newTestRequest(n.url, "lookup", testTimeout)
	again.Header.Set("X-Request-Id", "again") // the first request is still open under the default id
	refused.Header.Set("X-Request-Id", "refused")
	refused.Header.Set("X-Tier", "tiny")
	refused.Header.Set("Cookie", "key=0000000000000001") // each customer has one plan
	for what, c := range map[string]struct {
		conn net.Conn
		r    *http.Request
		want int
	}{
		"old connection": {old, again, 200},
		"new connection": {fresh, refused, 429},
	} {
		if resp := writeRequest(t, c.conn, c.r)(); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: %d, close %v", what, resp.StatusCode, resp.Close)
		}
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection: %v", err)
	}
	select {
	case <-n.done:
		t.Error("stopped with a request open")
	default:
	}
	close(release)
	if resp := held(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("open request: %d, close %v", resp.StatusCode, resp.Close)
	}
	select {
	case err := <-n.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("did not stop once all was answered")
	}
}

// Only messages of known proxies that fit into a datagram are accepted.
func TestPeers(t *testing.T) {
	type msg struct {
		from int
		text string
	}
	received := make(chan msg, 10)
	sock := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger := sock(), sock()
	to := peer.LocalAddr().(*net.UDPAddr).AddrPort()
	p, err := listenPeers(world.Real{}, "127.0.0.1:0", []netip.AddrPort{to}, netip.AddrPort{}, func(from int, data []byte) {
		received <- msg{from, string(data)}
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	defer close(done)
	defer p.conn.Close()
	go p.receive()
	go p.writeQueued(done)
	me := p.conn.Addr()
	for _, d := range []struct {
		c    *net.UDPConn
		text string
	}{{stranger, "hello"}, {peer, strings.Repeat("x", maxDatagramBytes+1)}, {peer, strings.Repeat("y", maxDatagramBytes)}} {
		if _, err := d.c.WriteToUDPAddrPort([]byte(d.text), me); err != nil {
			t.Fatal(err)
		}
	}
	if m := <-received; m.from != 0 || m.text != strings.Repeat("y", maxDatagramBytes) {
		t.Errorf("received %d bytes from %d", len(m.text), m.from)
	}
	p.sendMessage(0, make([]byte, maxDatagramBytes+1)) // must not be sent: a run in which a proxy sends a larger datagram than the limit is invalid
	p.sendMessage(5, []byte("nobody"))
	p.sendMessage(-1, []byte("all"))
	_ = peer.SetReadDeadline(time.Now().Add(testTimeout))
	buf := make([]byte, 1000)
	if n, err := peer.Read(buf); err != nil || string(buf[:n]) != "all" {
		t.Errorf("%q %v", buf[:n], err)
	}
}

// The policy package ignores malformed messages of peers.
func TestGarbageFromPeers(t *testing.T) {
	n := startNodeFor(t, refusingAddress(t))
	for _, data := range []string{"", "\x04", "\x03\x00", strings.Repeat("\xff", 256), "\x04" + strings.Repeat("\xff", 255)} {
		n.loop.events <- policy.PeerMessage{From: 0, Data: []byte(data)}
		n.loop.events <- policy.PeerMessage{From: 99, Data: []byte(data)}
	}
	if resp, _ := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout)); resp.StatusCode == 0 {
		t.Error("no answer")
	}
}

// Frequent requests for /healthz do not keep a proxy from stopping.
func TestHealthChecksDoNotDelayStop(t *testing.T) {
	r := startNodeFor(t)
	stop := make(chan struct{})
	var checks sync.WaitGroup
	for range 2 {
		checks.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				c, err := net.Dial("tcp", r.Addr().String())
				if err != nil {
					continue
				}
				fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}
		})
	}
	r.stop()
	select {
	case err := <-r.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("a proxy with a health check every few milliseconds has not stopped")
	}
	close(stop)
	checks.Wait()
}
