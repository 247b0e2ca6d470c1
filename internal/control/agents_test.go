package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// simAgent is an agent on a machine of its own, connected to one replica.
type simAgent struct {
	f            *clusterFixture
	mu           sync.Mutex
	held         uint64 // of the newest configuration told
	sum          uint32
	list         *peerlink.Servers
	census       *peerlink.Census
	confirmedAge time.Duration // of the last answer, from when it was asked for
	confirmed    bool
	stop         context.CancelFunc
	conn         *peerlink.Conn
}

func (f *clusterFixture) startAgent(name string, at int) *simAgent {
	p := f.net.Host("10.1.0." + name)
	ctx, stop := context.WithCancel(context.Background())
	h := &simAgent{f: f, stop: stop}
	d := &peerlink.Dialer{Net: p, Log: logr.Discard(), Hello: peerlink.Hello{Role: peerlink.Agent, Name: "proxy-" + name, Life: time.Now().UnixNano(), Region: "r", Front: "10.1.0." + name + ":80"}}
	began := time.Now()
	go d.Keep(ctx, f.settings(at).Inner(ip(at)), func(_ context.Context, c *peerlink.Conn, _ *peerlink.Hello) error {
		h.mu.Lock()
		h.conn = c
		h.mu.Unlock()
		go func() {
			for {
				h.mu.Lock()
				p := &peerlink.Ping{Sent: time.Since(began), Ready: true, Upstream: true, Gen: h.held, Held: h.held, Sum: h.sum}
				h.mu.Unlock()
				if c.Send(&peerlink.Frame{Ping: p}) != nil {
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		}()
		for {
			fr, err := c.Receive()
			if err != nil {
				return err
			}
			h.mu.Lock()
			if ch := fr.Change; ch != nil {
				if ch.Configuration != nil {
					h.held, h.sum = ch.Configuration.Gen, ch.Configuration.Sum()
				}
				if ch.Servers != nil {
					h.list = ch.Servers.Onto(h.list)
				}
				if ch.Census != nil {
					h.census = ch.Census.Onto(h.census)
				}
				_ = c.Send(&peerlink.Frame{Ack: &peerlink.Ack{No: ch.No, Gen: h.held}})
			}
			if po := fr.Pong; po != nil {
				h.confirmed, h.confirmedAge = po.Fresh, time.Since(began)-po.Sent+po.Age
			}
			h.mu.Unlock()
		}
	})
	return h
}

// holds tells whether something holds of what the agent was told.
func (h *simAgent) holds(what func(h *simAgent) bool) func() bool {
	return func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return what(h)
	}
}

// get calls a replica's ctl or dir.
func (f *clusterFixture) call(method, url string, text []byte) (int, string) {
	f.t.Helper()
	p := f.net.Host("10.9.0.1")
	defer p.Kill()
	c := &http.Client{Transport: &http.Transport{DialContext: p.Dial, DisableKeepAlives: true}}
	req, err := http.NewRequest(method, url, bytes.NewReader(text))
	assert.NilError(f.t, err)
	res, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	assert.NilError(f.t, err)
	return res.StatusCode, string(got)
}

// An agent hears of what a majority holds and of nothing else, and how fresh that is.
func TestAgentsGetOnlyDecidedConfigurations(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		a, b := f.startAgent("1", 0), f.startAgent("2", 2)
		defer a.stop()
		defer b.stop()
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		f.waitFor(100*time.Millisecond, "told by who took it", a.holds(func(h *simAgent) bool { return h.held == 2 }))
		f.waitFor(500*time.Millisecond, "told by another", b.holds(func(h *simAgent) bool { return h.held == 2 }))
		f.waitFor(time.Second, "fresh", a.holds(func(h *simAgent) bool { return h.confirmed && h.confirmedAge < 800*time.Millisecond }))
		f.acceptOnOneDisk(0, configurationBody(3, "a"))
		time.Sleep(3 * time.Second)
		assert.Assert(t, a.holds(func(h *simAgent) bool { return h.held == 2 })())
		f.disks[1].Release()
		f.disks[2].Release()
		f.waitFor(3*time.Second, "mended", b.holds(func(h *simAgent) bool { return h.held == 3 }))
		f.waitFor(time.Second, "mended", a.holds(func(h *simAgent) bool { return h.held == 3 }))
		// Cut off, a replica's word ages; what it does not know may be in force.
		f.partition(ips(0), ips(1, 2), sim.Silent)
		time.Sleep(5 * time.Second)
		f.replaceUntilAcknowledged(1, configurationBody(4, "a"))
		assert.Assert(t, a.holds(func(h *simAgent) bool { return h.held == 3 && h.confirmedAge > 4*time.Second })())
		f.partition(ips(0), ips(1, 2), sim.Open)
		f.waitFor(3*time.Second, "told after the cut", a.holds(func(h *simAgent) bool { return h.held == 4 && h.confirmedAge < time.Second }))
	})
}

func TestCensus(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		a, b := f.startAgent("1", 0), f.startAgent("2", 0)
		defer a.stop()
		is := func(ready, shares int) func() bool {
			return a.holds(func(h *simAgent) bool {
				n := 0
				for _, g := range h.census.Proxies {
					if g.Ready {
						n++
					}
				}
				return n == ready && h.census.Shares == shares
			})
		}
		f.waitFor(2*time.Second, "both ready", func() bool { return a.holds(func(h *simAgent) bool { return h.census != nil })() && is(2, 2)() })
		status, text := f.call("GET", "http://"+ip(0)+":8209/-/lookup?name=x&region=r&zone=z0", nil)
		assert.Equal(t, status, 200)
		assert.Equal(t, text, `{"addr_list":["10.1.0.1:80","10.1.0.2:80"],"ttl_s":1}`+"\n")
		b.stop()
		f.waitFor(2*time.Second, "one left", is(1, 2)) // the silent one may be passing
		_, text = f.call("GET", "http://"+ip(0)+":8209/-/lookup?name=x&region=r&zone=z0", nil)
		assert.Equal(t, text, `{"addr_list":["10.1.0.1:80"],"ttl_s":1}`+"\n")
		f.kill(0, true)
		f.start(0)
		f.waitFor(3*time.Second, "back", is(1, 2)) // a restart forgets no proxy
		time.Sleep(62 * time.Second)
		assert.Assert(t, is(1, 1)())
	})
}

func TestCtl(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		at := "http://" + ip(1) + ":8200/-/"
		for _, c := range []struct {
			method, path, text string
			status             int
		}{
			{"GET", "Config.Show", "", 503},
			{"POST", "Config.Replace", `{"gen":"r1"`, 400},
			{"POST", "Config.Replace", string(configurationBody(2, "a")), 200},
			{"POST", "Config.Replace", string(configurationBody(1, "a")), 200},
			{"POST", "Config.Replace", "x" + string(make([]byte, maxBodyBytes)), 413},
			{"GET", "Config.Show", "", 200},
			{"POST", "Drain.Begin/z1", "", 200},
			{"POST", "Drain.Begin/z1", "", 200},
			{"POST", "Drain.Finish/z1", "", 200},
			{"POST", "Drain.Begin/nowhere", "", 404},
			{"GET", "Drain.Begin/z1", "", 405},
		} {
			status, text := f.call(c.method, at+c.path, []byte(c.text))
			assert.Equal(t, status, c.status, "%s: %s", c.path, text)
			if c.path == "Config.Show" && status == 200 {
				assert.Equal(t, text, string(configurationBody(2, "a")))
			}
		}
		f.replicas[1].stop() // an order in flight is finished, then nobody is served
		assert.NilError(t, <-f.replicas[1].done)
		f.replicas[1].done <- nil
		status, _ := f.call("GET", at+"Config.Show", nil)
		assert.Equal(t, status, 0)
	})
}

// fakePlatform is the platform's list, of one page for each server.
type fakePlatform struct {
	mu      sync.Mutex
	servers []string // rows
	calls   int
	down    bool
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		w.WriteHeader(429)
		return
	}
	i, next := 0, "null"
	fmt.Sscan(r.URL.Query().Get("page_token"), &i)
	if i+1 < len(p.servers) {
		next = fmt.Sprintf(`"%d"`, i+1)
	}
	fmt.Fprintf(w, `{"servers":{"cols":["id","backend","address","zone","state"],"rows":[%s]},"next_token":%s}`, p.servers[i], next)
}

func serverRow(id, state string) string {
	return fmt.Sprintf(`["%s","s","10.5.0.1:80","z0","%s"]`, id, state)
}

func TestListLeaseIsTakenOver(t *testing.T) {
	p := &fakePlatform{servers: []string{serverRow("a", "ready"), serverRow("b", "ready")}}
	runClusterWithPlatform(t, 4, p, func(f *clusterFixture) {
		h := f.startAgent("1", 0)
		defer h.stop()
		states := func(want string) func() bool {
			return h.holds(func(h *simAgent) bool {
				got := ""
				for _, s := range h.list.List {
					got += fmt.Sprint(s.ID, " ", s.Draining, ";")
				}
				return got == want
			})
		}
		set := func(rows ...string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.servers = rows
		}
		f.waitFor(2*time.Second, "a list", h.holds(func(h *simAgent) bool { return h.list != nil }))
		assert.Assert(t, states("a false;b false;")())
		p.mu.Lock()
		before := p.calls
		p.mu.Unlock()
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		assert.Assert(t, p.calls-before <= 2*21, "%d calls", p.calls-before) // one replica asks
		p.mu.Unlock()
		set(serverRow("a", "draining"), serverRow("b", "ready"))
		f.waitFor(time.Second, "drains", states("a true;b false;"))
		holder := 0
		for i := 1; i < 4; i++ {
			if f.replicas[i].holdsListLease() {
				holder = i
			}
		}
		if holder == 0 {
			f.partition(ips(0), []string{"10.8.0.1"}, sim.Silent) // it only loses the platform
		} else {
			f.kill(holder, true)
		}
		set(serverRow("a", "ready"), serverRow("b", "draining"), serverRow("c", "ready"))
		f.waitFor(3*time.Second, "taken over", states("a true;b true;c false;")) // no life comes back from draining
	})
}

func (r *runningReplica) holdsListLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duty.Holds()
}

// An agent that was told another text of the same number is told the one that holds.
func TestOtherTextOfTheSameNumberIsReplaced(t *testing.T) {
	playAgents(t, 3, func(f *agentCluster) {
		f.replaceUntilAcknowledged(0, configurationBody(5, "a"))
		held := f.replicas[0].configurationInForce()
		h, stop := f.startAgentWithPing(0, "1", peerlink.Ping{Gen: 5, Held: 5, Sum: held.Sum() + 1})
		defer stop()
		f.pingFor(2*time.Second, h)
		assert.Equal(t, string(h.lastNonCensusChange().Configuration.Body), string(held.Body))
		assert.Assert(t, !h.pong.Fresh, "%+v", h.pong)
	})
}

// What a proxy has in force is confirmed for as long as it was the newest, and from the decision of the next one on no
// more. While that is on its way, in force of another text, or held by the agent alone, the proxy goes on with keys that
// may have been taken away.
func TestConfirmedUntilTheNextIsDecided(t *testing.T) {
	playAgents(t, 3, func(f *agentCluster) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		in := func(gen uint64) peerlink.Ping {
			return peerlink.Ping{Gen: gen, Held: gen, Sum: f.replicas[0].configurationInForce().Sum()}
		}
		proxy, stop := f.startAgentWithPing(0, "1", in(2))
		defer stop()
		newest := func(what string) {
			f.pingFor(time.Second, proxy)
			assert.Assert(t, proxy.pong.Fresh && proxy.pong.Age < time.Second && proxy.pong.InTouch && proxy.pong.TouchAge < time.Second, "%s: %+v", what, proxy.pong)
		}
		newest("the newest in force")
		f.replaceUntilAcknowledged(1, configurationBody(3, "a"))
		decided := time.Now()
		outdated := func(what string) {
			f.pingFor(time.Second, proxy)
			assert.Assert(t, !proxy.pong.Fresh || proxy.pong.Age >= time.Since(decided)-250*time.Millisecond, "%s: %+v, decided %v ago", what, proxy.pong, time.Since(decided))
			assert.Assert(t, proxy.pong.InTouch && proxy.pong.TouchAge < time.Second, "%s: %+v", what, proxy.pong)
		}
		outdated("the next on its way")
		assert.Assert(t, proxy.pong.Fresh && proxy.pong.Age < time.Since(decided)+800*time.Millisecond, "confirmed until then: %+v", proxy.pong)
		held, other := in(3), in(3)
		held.Gen = 2
		proxy.ping = held
		outdated("the next held by the agent")
		other.Sum++
		proxy.ping = other
		outdated("another text in force")
		assert.Assert(t, !proxy.pong.Fresh, "%+v", proxy.pong)
		proxy.ping = in(3)
		newest("the next in force")
		proxy.ping.Gen, proxy.ping.Held = 4, 4
		newest("one above in force")
	})
}

// The platform's address, the zones and the rate change in service.
func TestSettingsChange(t *testing.T) {
	one, two := &fakePlatform{servers: []string{serverRow("a", "ready")}}, &fakePlatform{servers: []string{serverRow("b", "ready")}}
	runClusterWithPlatform(t, 3, one, func(f *clusterFixture) {
		ln, err := f.net.Host("10.8.0.2").Listen(context.Background(), "tcp", "10.8.0.2:80")
		assert.NilError(t, err)
		s := &http.Server{Handler: two}
		defer s.Close()
		go func() { _ = s.Serve(ln) }()
		lists := func(id string) func() bool {
			return func() bool {
				for _, r := range f.replicas {
					r.mu.Lock()
					is := r.serverList != nil && len(r.serverList.List) == 1 && r.serverList.List[0].ID == id
					r.mu.Unlock()
					if !is {
						return false
					}
				}
				return true
			}
		}
		f.waitFor(2*time.Second, "the first list", lists("a"))
		assert.ErrorIs(t, f.replicas[0].Drain(context.Background(), "z9", true), ErrUnknownZone)
		for i, r := range f.replicas {
			next := f.settings(i)
			next.Provider.Cloud = settings.Cloud{Address: "10.8.0.2:80", RatePerS: 8}
			next.Network.Zones["z9"] = "r"
			r.SetSettings(next)
		}
		f.waitFor(2*time.Second, "the other list", lists("b"))
		assert.NilError(t, f.replicas[0].Drain(context.Background(), "z9", true))
		time.Sleep(2 * time.Second)
		two.mu.Lock()
		before := two.calls
		two.mu.Unlock()
		time.Sleep(10 * time.Second)
		two.mu.Lock()
		calls := two.calls - before
		two.mu.Unlock()
		assert.Assert(t, calls >= 9 && calls <= 11, "%d calls", calls) // one a second
	})
}
