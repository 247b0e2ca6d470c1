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

// simAgent is an agent on a host of its own, connected to one replica. It applies what it is sent and pings by itself.
type simAgent struct {
	f            *clusterFixture
	mu           sync.Mutex
	heldGen      uint64 // number of the newest configuration received
	heldChecksum uint32 // its checksum
	list         *peerlink.Servers
	census       *peerlink.Census
	confirmedAge time.Duration // time since the configuration in force was last confirmed, according to the last Pong
	confirmed    bool          // the last Pong confirmed the configuration in force
	stop         context.CancelFunc
	conn         *peerlink.Conn
}

// startAgent starts an agent of proxy-NAME and connects it to a replica.
func (f *clusterFixture) startAgent(name string, at int) *simAgent {
	host := f.net.Host("10.1.0." + name)
	ctx, stop := context.WithCancel(context.Background())
	agent := &simAgent{f: f, stop: stop}
	dialer := &peerlink.Dialer{Net: host, Log: logr.Discard(), Hello: peerlink.Hello{Role: peerlink.Agent, Name: "proxy-" + name, Life: time.Now().UnixNano(), Region: "r", Front: "10.1.0." + name + ":80"}}
	start := time.Now()
	go dialer.Keep(ctx, f.settings(at).Inner(ip(at)), func(_ context.Context, conn *peerlink.Conn, _ *peerlink.Hello) error {
		agent.mu.Lock()
		agent.conn = conn
		agent.mu.Unlock()
		go func() {
			for {
				agent.mu.Lock()
				ping := &peerlink.Ping{Sent: time.Since(start), Ready: true, Upstream: true, Gen: agent.heldGen, Held: agent.heldGen, Sum: agent.heldChecksum}
				agent.mu.Unlock()
				if conn.Send(&peerlink.Frame{Ping: ping}) != nil {
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		}()
		for {
			frame, err := conn.Receive()
			if err != nil {
				return err
			}
			agent.mu.Lock()
			if change := frame.Change; change != nil {
				if change.Configuration != nil {
					agent.heldGen, agent.heldChecksum = change.Configuration.Gen, change.Configuration.Sum()
				}
				if change.Servers != nil {
					agent.list = change.Servers.Onto(agent.list)
				}
				if change.Census != nil {
					agent.census = change.Census.Onto(agent.census)
				}
				_ = conn.Send(&peerlink.Frame{Ack: &peerlink.Ack{No: change.No, Gen: agent.heldGen}})
			}
			if pong := frame.Pong; pong != nil {
				agent.confirmed, agent.confirmedAge = pong.Fresh, time.Since(start)-pong.Sent+pong.Age
			}
			agent.mu.Unlock()
		}
	})
	return agent
}

// holds returns a function that reports whether a condition holds for what the agent was sent.
func (a *simAgent) holds(condition func(a *simAgent) bool) func() bool {
	return func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return condition(a)
	}
}

// call sends an HTTP request and returns the status and body of the response; status 0 if there was none.
func (f *clusterFixture) call(method, url string, body []byte) (int, string) {
	f.t.Helper()
	host := f.net.Host("10.9.0.1")
	defer host.Kill()
	client := &http.Client{Transport: &http.Transport{DialContext: host.Dial, DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(f.t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, string(got)
}

// Agents are sent only configurations that a majority has decided. They are also told how long ago these were confirmed.
func TestAgentsGetOnlyDecidedConfigurations(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		a, b := f.startAgent("1", 0), f.startAgent("2", 2)
		defer a.stop()
		defer b.stop()
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		f.waitFor(100*time.Millisecond, "sent by the replica that took it", a.holds(func(agent *simAgent) bool { return agent.heldGen == 2 }))
		f.waitFor(500*time.Millisecond, "sent by another replica", b.holds(func(agent *simAgent) bool { return agent.heldGen == 2 }))
		f.waitFor(time.Second, "confirmed", a.holds(func(agent *simAgent) bool { return agent.confirmed && agent.confirmedAge < 800*time.Millisecond }))
		f.acceptOnOneDisk(0, configurationBody(3, "a"))
		time.Sleep(3 * time.Second)
		assert.Assert(t, a.holds(func(agent *simAgent) bool { return agent.heldGen == 2 })())
		f.disks[1].Release()
		f.disks[2].Release()
		f.waitFor(3*time.Second, "sent once a majority can write again", b.holds(func(agent *simAgent) bool { return agent.heldGen == 3 }))
		f.waitFor(time.Second, "sent once a majority can write again", a.holds(func(agent *simAgent) bool { return agent.heldGen == 3 }))
		// A replica that is cut off confirms nothing any more, since it may lack what was decided.
		f.partition(ips(0), ips(1, 2), sim.Silent)
		time.Sleep(5 * time.Second)
		f.replaceUntilAcknowledged(1, configurationBody(4, "a"))
		assert.Assert(t, a.holds(func(agent *simAgent) bool { return agent.heldGen == 3 && agent.confirmedAge > 4*time.Second })())
		f.partition(ips(0), ips(1, 2), sim.Open)
		f.waitFor(3*time.Second, "sent after the cut", a.holds(func(agent *simAgent) bool { return agent.heldGen == 4 && agent.confirmedAge < time.Second }))
	})
}

func TestCensus(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		a, b := f.startAgent("1", 0), f.startAgent("2", 0)
		defer a.stop()
		counts := func(ready, shares int) func() bool {
			return a.holds(func(agent *simAgent) bool {
				readyCount := 0
				for _, proxy := range agent.census.Proxies {
					if proxy.Ready {
						readyCount++
					}
				}
				return readyCount == ready && agent.census.Shares == shares
			})
		}
		f.waitFor(2*time.Second, "both ready", func() bool {
			return a.holds(func(agent *simAgent) bool { return agent.census != nil })() && counts(2, 2)()
		})
		status, text := f.call("GET", "http://"+ip(0)+":8209/-/lookup?name=x&region=r&zone=z0", nil)
		assert.Equal(t, status, 200)
		assert.Equal(t, text, `{"addr_list":["10.1.0.1:80","10.1.0.2:80"],"ttl_s":1}`+"\n")
		b.stop()
		f.waitFor(2*time.Second, "one left", counts(1, 2)) // the silent one still has its share: it may be serving requests behind a cut
		_, text = f.call("GET", "http://"+ip(0)+":8209/-/lookup?name=x&region=r&zone=z0", nil)
		assert.Equal(t, text, `{"addr_list":["10.1.0.1:80"],"ttl_s":1}`+"\n")
		f.kill(0, true)
		f.start(0)
		f.waitFor(3*time.Second, "back", counts(1, 2)) // a restarted replica still knows all proxies
		time.Sleep(62 * time.Second)
		assert.Assert(t, counts(1, 1)())
	})
}

func TestCtl(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		base := "http://" + ip(1) + ":8200/-/"
		for _, call := range []struct {
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
			status, text := f.call(call.method, base+call.path, []byte(call.text))
			assert.Equal(t, status, call.status, "%s: %s", call.path, text)
			if call.path == "Config.Show" && status == 200 {
				assert.Equal(t, text, string(configurationBody(2, "a")))
			}
		}
		f.replicas[1].stop() // orders in flight are finished, then no calls are served
		assert.NilError(t, <-f.replicas[1].done)
		f.replicas[1].done <- nil
		status, _ := f.call("GET", base+"Config.Show", nil)
		assert.Equal(t, status, 0)
	})
}

// fakePlatform serves the platform's server list, with one server a page.
type fakePlatform struct {
	mu           sync.Mutex
	servers      []string // rows in JSON
	calls        int
	refusesCalls bool // all calls are refused
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.refusesCalls {
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

// serverRow returns the row of a server in JSON.
func serverRow(id, state string) string {
	return fmt.Sprintf(`["%s","s","10.5.0.1:80","z0","%s"]`, id, state)
}

func TestListLeaseIsTakenOver(t *testing.T) {
	platformList := &fakePlatform{servers: []string{serverRow("a", "ready"), serverRow("b", "ready")}}
	runClusterWithPlatform(t, 4, platformList, func(f *clusterFixture) {
		agent := f.startAgent("1", 0)
		defer agent.stop()
		states := func(want string) func() bool {
			return agent.holds(func(agent *simAgent) bool {
				got := ""
				for _, server := range agent.list.List {
					got += fmt.Sprint(server.ID, " ", server.Draining, ";")
				}
				return got == want
			})
		}
		set := func(rows ...string) {
			platformList.mu.Lock()
			defer platformList.mu.Unlock()
			platformList.servers = rows
		}
		f.waitFor(2*time.Second, "a list", agent.holds(func(agent *simAgent) bool { return agent.list != nil }))
		assert.Assert(t, states("a false;b false;")())
		platformList.mu.Lock()
		before := platformList.calls
		platformList.mu.Unlock()
		time.Sleep(10 * time.Second)
		platformList.mu.Lock()
		assert.Assert(t, platformList.calls-before <= 2*21, "%d calls", platformList.calls-before) // one replica reads, at most every 500 ms
		platformList.mu.Unlock()
		set(serverRow("a", "draining"), serverRow("b", "ready"))
		f.waitFor(time.Second, "drains", states("a true;b false;"))
		holder := 0
		for i := 1; i < 4; i++ {
			if f.replicas[i].holdsListLease() {
				holder = i
			}
		}
		if holder == 0 {
			f.partition(ips(0), []string{"10.8.0.1"}, sim.Silent) // the holder only loses its connection to the platform
		} else {
			f.kill(holder, true)
		}
		set(serverRow("a", "ready"), serverRow("b", "draining"), serverRow("c", "ready"))
		f.waitFor(3*time.Second, "taken over", states("a true;b true;c false;")) // a draining instance never becomes ready again
	})
}

// holdsListLease reports whether the replica holds the lease of the server list.
func (r *runningReplica) holdsListLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listLease.Holds()
}

// An agent that holds another text under the number of the configuration in force is sent the one in force.
func TestOtherTextOfTheSameNumberIsReplaced(t *testing.T) {
	runAgentCluster(t, 3, func(f *agentCluster) {
		f.replaceUntilAcknowledged(0, configurationBody(5, "a"))
		held := f.replicas[0].configurationInForce()
		agent, stop := f.startAgentWithPing(0, "1", peerlink.Ping{Gen: 5, Held: 5, Sum: held.Sum() + 1})
		defer stop()
		f.pingFor(2*time.Second, agent)
		assert.Equal(t, string(agent.lastNonCensusChange().Configuration.Body), string(held.Body))
		assert.Assert(t, !agent.pong.Fresh, "%+v", agent.pong)
	})
}

// The time at which a proxy's configuration was confirmed is never later than the decision of the next one. Otherwise a
// proxy would go on accepting keys that have been revoked, while the next configuration is being sent, while only the
// agent holds it, or while another text of the same number is in force.
func TestConfirmedUntilTheNextIsDecided(t *testing.T) {
	runAgentCluster(t, 3, func(f *agentCluster) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		ping := func(gen uint64) peerlink.Ping {
			return peerlink.Ping{Gen: gen, Held: gen, Sum: f.replicas[0].configurationInForce().Sum()}
		}
		proxy, stop := f.startAgentWithPing(0, "1", ping(2))
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
		outdated("the next being sent")
		assert.Assert(t, proxy.pong.Fresh && proxy.pong.Age < time.Since(decided)+800*time.Millisecond, "confirmed until then: %+v", proxy.pong)
		held, other := ping(3), ping(3)
		held.Gen = 2
		proxy.ping = held
		outdated("the next held by the agent only")
		other.Sum++
		proxy.ping = other
		outdated("another text in force")
		assert.Assert(t, !proxy.pong.Fresh, "%+v", proxy.pong)
		proxy.ping = ping(3)
		newest("the next in force")
		proxy.ping.Gen, proxy.ping.Held = 4, 4
		newest("one in force that is newer than the decided one")
	})
}

// The platform's address, its rate and the zones can change while replicas run.
func TestSettingsChange(t *testing.T) {
	one, two := &fakePlatform{servers: []string{serverRow("a", "ready")}}, &fakePlatform{servers: []string{serverRow("b", "ready")}}
	runClusterWithPlatform(t, 3, one, func(f *clusterFixture) {
		listener, err := f.net.Host("10.8.0.2").Listen(context.Background(), "tcp", "10.8.0.2:80")
		assert.NilError(t, err)
		server := &http.Server{Handler: two}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		hasList := func(id string) func() bool {
			return func() bool {
				for _, replica := range f.replicas {
					replica.mu.Lock()
					matches := replica.serverList != nil && len(replica.serverList.List) == 1 && replica.serverList.List[0].ID == id
					replica.mu.Unlock()
					if !matches {
						return false
					}
				}
				return true
			}
		}
		f.waitFor(2*time.Second, "the first list", hasList("a"))
		assert.ErrorIs(t, f.replicas[0].Drain(context.Background(), "z9", true), ErrUnknownZone)
		for i, replica := range f.replicas {
			next := f.settings(i)
			next.Provider.Cloud = settings.Cloud{Address: "10.8.0.2:80", RatePerS: 8}
			next.Network.Zones["z9"] = "r"
			replica.SetSettings(next)
		}
		f.waitFor(2*time.Second, "the other list", hasList("b"))
		assert.NilError(t, f.replicas[0].Drain(context.Background(), "z9", true))
		time.Sleep(2 * time.Second)
		two.mu.Lock()
		before := two.calls
		two.mu.Unlock()
		time.Sleep(10 * time.Second)
		two.mu.Lock()
		calls := two.calls - before
		two.mu.Unlock()
		assert.Assert(t, calls >= 9 && calls <= 11, "%d calls", calls) // one a second: reads use an eighth of the new rate
	})
}
