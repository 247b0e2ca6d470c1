package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// Changes of the server list take effect. While discovery fails the current list stays in use, and calls are repeated soon.
func TestDiscovery(t *testing.T) {
	a, b := newAppServer(t, standin.Answer("200 OK", "", "a")), newAppServer(t, standin.Answer("200 OK", "", "b"))
	first, second := servingTarget("s-00000001", a.Addr()), servingTarget("s-00000002", b.Addr())
	g := newDiscoveryFixture(t, first)
	n := start(t, testConfig(t, g.Addr()))
	serves := func(want string) func() bool {
		return func() bool {
			resp, body := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout))
			return resp.StatusCode == 200 && body == want
		}
	}
	eventually(t, "an answer of the first server", serves("a"))
	gone := first
	gone.State = "DELETED"
	g.setTargets(false, gone, second)
	eventually(t, "an answer of the second server", serves("b"))
	g.setTargets(true, gone, second)
	calls := g.Calls()
	eventually(t, "further calls while discovery fails", func() bool { return g.Calls() > calls+2 })
	if !serves("b")() {
		t.Error("the current list is not used while discovery fails")
	}
	g.setTargets(false, first, target{UID: "s-00000002", State: "DELETED"})
	eventually(t, "the list after discovery is back", serves("a"))
}

// After SIGHUP the open watch ends at once and the list is read from the new address. The file's address applies even if
// GW_DISCOVERY set the old one. An invalid file changes nothing and is read again.
func TestReload(t *testing.T) {
	a, b := newAppServer(t, standin.Answer("200 OK", "", "a")), newAppServer(t, standin.Answer("200 OK", "", "b"))
	older := newDiscoveryFixture(t, servingTarget("s-00000001", a.Addr()))
	newer := newDiscoveryFixture(t, servingTarget("s-00000002", b.Addr()))
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, discovery, testSettings)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
	}
	write(older.Addr())
	cfg, err := LoadConfig(func(key string) string {
		return map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": older.Addr()}[key]
	})
	if err != nil {
		t.Fatal(err)
	}
	reads, reread := atomic.Int32{}, cfg.Reload
	cfg.Reload = func() (*Config, error) {
		reads.Add(1)
		return reread()
	}
	n := start(t, cfg)
	if err := os.WriteFile(path, []byte(`{"listen":"127.0.0.1:0","disc`), 0o600); err != nil {
		t.Fatal(err)
	}
	n.hup <- syscall.SIGHUP
	eventually(t, "the half-written file read again", func() bool { return reads.Load() > 2 })
	if _, body := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout)); body != "a" {
		t.Errorf("%q while the new file can't be used", body)
	}
	write(newer.Addr())
	eventually(t, "an answer of the server that the new discovery lists", func() bool {
		resp, body := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout))
		return resp.StatusCode == 200 && body == "b"
	})
	calls := older.Calls()
	older.setTargets(false, servingTarget("s-00000001", a.Addr())) // an open watch would report this
	eventually(t, "a watch at the new address", func() bool { return newer.Calls() > 1 })
	if _, body := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout)); body != "b" || older.Calls() != calls {
		t.Errorf("%q; %d calls at the old address after the new one was set", body, older.Calls()-calls)
	}
}

// If discovery does not answer at the start, the proxy serves from the cached list.
func TestCachedListServesWhileDiscoveryFails(t *testing.T) {
	a := newAppServer(t, standin.Answer("200 OK", "", "hits"))
	cfg := testConfig(t, refusingAddress(t))
	cfg.CachedList = &serverList{Rev: 4, All: true, Targets: []target{servingTarget("s-00000001", a.Addr())}}
	n := start(t, cfg)
	if resp, _ := sendTestRequest(t, newTestRequest(n.url, "lookup", testTimeout)); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
}

// All proxies must derive the same server id from a uid, because messages between them contain it.
func TestServerID(t *testing.T) {
	if id := serverID("s-5be2a07c"); id != 0x5be2a07c {
		t.Errorf("%x", id)
	}
	if a, b := serverID("loan-7"), serverID("loan-8"); a == b || a != serverID("loan-7") {
		t.Errorf("%x %x", a, b)
	}
}

// Start times in the list and the policy package's clock both count from the Unix epoch.
func TestClock(t *testing.T) {
	c := newClock(world.Real{})
	now := c.now()
	if d := time.Since(time.Unix(0, int64(now))); d < -time.Minute || d > time.Minute {
		t.Errorf("off Unix time by %v", d)
	}
	if back := c.time(now).Sub(c.anchor); back != now-time.Duration(c.anchor.UnixNano()) {
		t.Errorf("%v", back)
	}
	booted := target{UID: "x", State: "SERVING", BootMS: float64(c.anchor.UnixMilli())}
	if s := booted.policyServer(); !s.HasStartTime || now-s.StartTime < 0 || now-s.StartTime > time.Minute {
		t.Errorf("%+v", s)
	}
}

// Configuration errors name the invalid setting.
func TestConfigErrors(t *testing.T) {
	good := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:5"],
		"limits":{"sockets":1024},"settings":%s}`, strings.Replace(testSettings, `"cancel"`, `"peers":true,"cancel"`, 1))
	none := func(string) string { return "" }
	if _, err := parseConfig([]byte(good), none); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string][2]string{
		"listen":                 {`"listen":"127.0.0.1:0"`, `"listen":"here"`},
		"discovery":              {`"127.0.0.1:1"`, `""`},
		"peers[0]":               {`"127.0.0.1:5"`, `"five"`},
		"peers: 0 addresses":     {`["127.0.0.1:5"]`, `[]`},
		"peer_listen":            {`"peer_listen":"127.0.0.1:0"`, `"peer_listen":"x"`},
		"limits.sockets":         {`"sockets":1024`, `"sockets":3`},
		"classes.0.semantics":    {`"repeatable"`, `"often"`},
		"classes.0.aim_ms":       {`"aim_ms":400.0`, `"aim_ms":"long"`},
		"caps.dial_timeout_ms":   {`"dial_timeout_ms":250.0`, `"dial_timeout_ms":-1`},
		"settings":               {`"settings":{`, `"settings":{},"x":{`},
		"unexpected end of JSON": {`]}}`, ``},
	} {
		bad := strings.Replace(good, change[0], change[1], 1)
		if bad == good {
			t.Fatalf("%s: nothing changed", want)
		}
		if _, err := parseConfig([]byte(bad), none); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if _, err := LoadConfig(none); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("%v, want GW_CONFIG", err)
	}
}
