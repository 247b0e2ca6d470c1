package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const patience = 10 * time.Second // how long a test waits for a condition

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// app is an app server that does with each request what the test says.
type app struct {
	ln    net.Listener
	conns atomic.Int32 // accepted
	seen  atomic.Int32 // requests that came whole
	ended atomic.Int32 // connections that the edge node ended
}

// newApp serves with do, which returns false to end the connection.
func newApp(t *testing.T, do func(c net.Conn, r *http.Request, body string) bool) *app {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &app{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			a.conns.Add(1)
			t.Cleanup(func() { c.Close() })
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						a.ended.Add(1)
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					a.seen.Add(1)
					if !do(c, r, string(body)) {
						return
					}
				}
			}()
		}
	}()
	return a
}

func (a *app) addr() string { return a.ln.Addr().String() }

// answer writes a plain answer with the given status line and headers.
func answer(status, headers, body string) func(net.Conn, *http.Request, string) bool {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		return true
	}
}

// deaf reads requests and never answers.
func deaf(net.Conn, *http.Request, string) bool { return true }

// refusing returns an address where nothing listens.
func refusing(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// registry is a discovery agent.
type registry struct {
	mu    sync.Mutex
	rev   int64
	list  []target
	news  chan struct{} // closed at a change
	down  bool
	calls atomic.Int32
	http  *http.Server
	addr  string
}

func newRegistry(t *testing.T, list ...target) *registry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &registry{rev: 1, list: list, news: make(chan struct{}), addr: ln.Addr().String()}
	g.http = &http.Server{Handler: g}
	go g.http.Serve(ln)
	t.Cleanup(func() { g.http.Close() })
	return g
}

func (g *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	g.mu.Lock()
	since, news, down := r.URL.Query().Get("since"), g.news, g.down
	if down {
		g.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if since == fmt.Sprint(g.rev) {
		g.mu.Unlock()
		select {
		case <-news:
		case <-r.Context().Done():
			return
		}
		g.mu.Lock()
	}
	defer g.mu.Unlock()
	_ = json.NewEncoder(w).Encode(serverList{Rev: g.rev, All: since == "", Targets: g.list})
}

func (g *registry) set(down bool, list ...target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rev++
	g.list, g.down = list, down
	close(g.news)
	g.news = make(chan struct{})
}

func serving(uid, addr string) target {
	return target{UID: uid, Endpoint: addr, Zone: "a", State: "SERVING", Weight: 1}
}

const testSettings = `{"me":0,"balancers":1,"zone":"a","zones":["a"],"tick_ms":1,"discovery":"push",
 "caps":{"max_attempts":3,"cancel":true,"retry_after":true,"max_retry_after_ms":1500.0,"dial_timeout_ms":250.0,"conn_idle_ms":15000.0},
 "family_info":{"largest":6,"mail_per_s":60},"report":{"names":["cpu","rps"]},"rules":{"drain_grace_ms":250},
 "classes":[{"name":"lookup","aim_ms":400.0,"hard_limit_ms":10000.0,"semantics":"repeatable","group":"all"},
  {"name":"loan","aim_ms":1000,"hard_limit_ms":10000,"semantics":"by_key","group":"cell","window_ms":2500}],
 "plans":[{"name":"town"},{"name":"tiny","rate":0.001,"store_size":0.5}]}`

func testConfig(t *testing.T, discovery string) *Config {
	t.Helper()
	c, err := parseConfig([]byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`, discovery, testSettings)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// running is an edge node under test.
type running struct {
	*Node
	url  string
	stop context.CancelFunc
	hup  chan os.Signal
	done chan error
}

func start(t *testing.T, cfg *Config) *running {
	t.Helper()
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Node: n, url: "http://" + n.Addr().String(), stop: stop, hup: make(chan os.Signal, 1),
		done: make(chan error, 1)}
	go func() { r.done <- n.Run(ctx, r.hup) }()
	t.Cleanup(func() {
		stop()
		http.DefaultClient.CloseIdleConnections()
	})
	eventually(t, "healthz 200", func() bool {
		resp, err := http.Get(r.url + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

// nodeWith starts an edge node that knows the app servers at the addresses.
func nodeWith(t *testing.T, addrs ...string) *running {
	t.Helper()
	var list []target
	for i, a := range addrs {
		list = append(list, serving(fmt.Sprintf("s-%08x", i+1), a))
	}
	return start(t, testConfig(t, newRegistry(t, list...).addr))
}

// request makes a client's request; POST for the keyed class.
func request(url, class string, deadline time.Duration) *http.Request {
	method, body := http.MethodGet, ""
	if class == "loan" {
		method, body = http.MethodPost, "order=17"
	}
	r, err := http.NewRequest(method, url+"/"+class+"?q=1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", "9b1f03aa5c7e2d41")
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Tier", "town")
	r.Header.Set("Cookie", "key=00000000b4d65521")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Call-Terms", "units=2,spread=1,first=0")
	if class == "loan" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	return r
}

// ask sends a request and returns the whole answer.
func ask(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}
