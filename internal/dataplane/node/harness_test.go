package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

const testTimeout = 10 * time.Second // how long a test waits for a condition

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// newAppServer starts an app server that handles each request with the given function.
func newAppServer(t *testing.T, do func(c net.Conn, r *standin.Request) bool) *standin.Raw {
	t.Helper()
	a, err := standin.ServeRaw(world.Real{}, "127.0.0.1:0", do)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// refusingAddress returns an address where nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	addr, err := standin.Refusing(world.Real{})
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// discoveryFixture is a discovery agent and the server list that it serves.
type discoveryFixture struct {
	*standin.Agent
	roster *standin.Roster
}

func newDiscoveryFixture(t *testing.T, list ...target) *discoveryFixture {
	t.Helper()
	r := standin.NewSite(world.Real{}, standin.Nobody{}).NewRoster(rosterTargets(list)...)
	a, err := r.StartAgent("n0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return &discoveryFixture{a, r}
}

// setTargets changes servers in the list, and whether the agent answers.
func (g *discoveryFixture) setTargets(down bool, list ...target) {
	status := 0
	if down {
		status = http.StatusInternalServerError
	}
	g.roster.Put(rosterTargets(list)...)
	g.Fail(status)
}

func rosterTargets(list []target) (out []standin.Target) {
	for _, t := range list {
		out = append(out, standin.Target{UID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Group: t.Cell, State: t.State,
			Weight: t.Weight, BootMS: t.BootMS})
	}
	return out
}

func servingTarget(uid, addr string) target {
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

// runningNode is a proxy under test.
type runningNode struct {
	*Node
	url  string
	stop context.CancelFunc
	hup  chan os.Signal
	done chan error
}

func start(t *testing.T, cfg *Config) *runningNode {
	t.Helper()
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningNode{Node: n, url: "http://" + n.Addr().String(), stop: stop, hup: make(chan os.Signal, 1),
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

// startNodeFor starts a proxy that knows the app servers at the addresses.
func startNodeFor(t *testing.T, addrs ...string) *runningNode {
	t.Helper()
	var list []target
	for i, a := range addrs {
		list = append(list, servingTarget(fmt.Sprintf("s-%08x", i+1), a))
	}
	return start(t, testConfig(t, newDiscoveryFixture(t, list...).Addr()))
}

// newTestRequest makes a client's request: POST for the keyed class, else GET.
func newTestRequest(url, class string, deadline time.Duration) *http.Request {
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

// sendTestRequest sends a request and returns the complete answer.
func sendTestRequest(t *testing.T, r *http.Request) (*http.Response, string) {
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
