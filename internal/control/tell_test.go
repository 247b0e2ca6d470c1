package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// agentCluster is replicas and agents.
type agentCluster struct {
	*clusterFixture
	agentsMu sync.Mutex // all helpers
}

func playAgents(t *testing.T, n int, story func(f *agentCluster)) {
	runCluster(t, n, func(f *clusterFixture) { story(&agentCluster{clusterFixture: f}) })
}

// pingingAgent is an agent that folds what it is told and pings as it is set to.
type pingingAgent struct {
	conn    *peerlink.Conn
	ping    peerlink.Ping
	changes []peerlink.Change
	servers *peerlink.Servers
	census  *peerlink.Census
	pong    peerlink.Pong // the last
}

// startAgentWithPing connects one to a replica; the function ends its session.
func (f *agentCluster) startAgentWithPing(i int, name string, ping peerlink.Ping) (*pingingAgent, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &pingingAgent{ping: ping}
	host := f.net.Host("10.9.0." + name)
	d := &peerlink.Dialer{Net: host, Log: logr.Discard(), Hello: peerlink.Hello{Role: peerlink.Agent, Name: name, Life: 1, Front: name + ":80", Peer: name + ":7602"}}
	go d.Keep(ctx, ip(i)+":7600", func(ctx context.Context, c *peerlink.Conn, _ *peerlink.Hello) error {
		f.agentsMu.Lock()
		h.conn, h.servers, h.census, h.changes = c, nil, nil, nil
		h.sendPing()
		f.agentsMu.Unlock()
		defer context.AfterFunc(ctx, func() { _ = c.Close() })()
		for {
			x, err := c.Receive()
			if err != nil {
				return err
			}
			f.agentsMu.Lock()
			if h.applyChange(x.Change); x.Pong != nil {
				h.pong = *x.Pong
			}
			f.agentsMu.Unlock()
		}
	})
	synctest.Wait()
	return h, cancel
}

func (h *pingingAgent) applyChange(c *peerlink.Change) {
	if c == nil {
		return
	}
	h.changes = append(h.changes, *c)
	if c.Servers != nil {
		h.servers = c.Servers.Onto(h.servers)
	}
	if c.Census != nil {
		h.census = c.Census.Onto(h.census)
	}
}

func (h *pingingAgent) sendPing() { _ = h.conn.Send(&peerlink.Frame{Ping: &h.ping}) }

// pingFor lets time go by in which all agents ping.
func (f *agentCluster) pingFor(d time.Duration, all ...*pingingAgent) {
	f.agentsMu.Lock()
	defer f.agentsMu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, h := range all {
			if h.conn != nil {
				h.sendPing()
			}
		}
		f.agentsMu.Unlock()
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		synctest.Wait()
		f.agentsMu.Lock()
	}
}

// applyListRead lets a replica have read a list.
func (f *agentCluster) applyListRead(i int, list ...peerlink.Server) {
	b := f.replicas[i].Replica
	b.mu.Lock()
	b.applyList(&peerlink.Servers{Stamp: b.world.Now().UnixNano(), By: b.self.Name, List: list})
	b.mu.Unlock()
}

func (h *pingingAgent) lastChange() peerlink.Change { return h.changes[len(h.changes)-1] }

// lastNonCensusChange is the last that is not of the census alone.
func (h *pingingAgent) lastNonCensusChange() (c peerlink.Change) {
	for _, x := range h.changes {
		if x.Servers != nil || x.Configuration != nil {
			c = x
		}
	}
	return c
}

func TestOnlyFollowingAgentsGetUpdates(t *testing.T) {
	playAgents(t, 3, func(f *agentCluster) {
		a, b := peerlink.Server{ID: "a", Capacity: 1}, peerlink.Server{ID: "b", Capacity: 1}
		f.applyListRead(0, a, b)
		led, stopLed := f.startAgentWithPing(0, "1", peerlink.Ping{Upstream: true, Ready: true})
		other, stop := f.startAgentWithPing(0, "2", peerlink.Ping{})
		defer stop()
		defer stopLed()
		f.pingFor(2*time.Second, led, other) // the second has joined, and the first has heard of it
		assert.Assert(t, len(other.changes) == 1 && other.servers == nil && other.census == nil)
		assert.Assert(t, led.changes[0].Servers == nil && !led.changes[1].Servers.Part && !led.changes[1].Census.Part)
		assert.Assert(t, len(led.servers.List) == 2 && len(led.census.Proxies) == 2 && led.census.Shares == 2)

		n := len(led.changes)
		f.applyListRead(0, a, b)
		f.pingFor(300*time.Millisecond, led, other)
		assert.Equal(t, len(led.changes), n) // nothing is new
		b.Draining = true
		f.applyListRead(0, a, b)
		f.pingFor(300*time.Millisecond, led, other)
		assert.Assert(t, led.lastNonCensusChange().Servers.Part && len(led.lastNonCensusChange().Servers.List) == 1 && led.servers.List[1].Draining)

		// A change of lead: a whole, with what was told to others meanwhile; and back.
		led.ping.Upstream, other.ping.Upstream = false, true
		f.pingFor(300*time.Millisecond, led, other)
		assert.Assert(t, !other.lastNonCensusChange().Servers.Part && other.servers.List[1].Draining)
		n = len(led.changes)
		f.applyListRead(0, a)
		f.pingFor(300*time.Millisecond, led, other)
		assert.Assert(t, len(led.changes) == n && len(other.servers.List) == 1)
		assert.DeepEqual(t, other.lastNonCensusChange().Servers.Gone, []string{"b"})
		led.ping.Upstream = true
		f.pingFor(300*time.Millisecond, led, other)
		assert.Assert(t, !led.lastNonCensusChange().Servers.Part && len(led.servers.List) == 1)

		// A new connection begins with a whole.
		_ = led.conn.Close()
		f.applyListRead(0, a, peerlink.Server{ID: "c"})
		f.pingFor(time.Second, led, other)
		assert.Assert(t, !led.changes[1].Servers.Part && len(led.servers.List) == 2)
		assert.DeepEqual(t, led.servers.List, other.servers.List)
	})
}

// Another replica is told parts too, and what was seen draining stays so.
func TestReplicasExchangePartialLists(t *testing.T) {
	playAgents(t, 3, func(f *agentCluster) {
		h, stop := f.startAgentWithPing(1, "1", peerlink.Ping{Upstream: true})
		defer stop()
		a, b := peerlink.Server{ID: "a"}, peerlink.Server{ID: "b", WarmLeft: 3 * time.Second}
		f.applyListRead(0, a, b)
		f.pingFor(time.Second, h)
		a.Draining, b.WarmLeft = true, 2*time.Second
		f.applyListRead(0, a, b)
		f.pingFor(time.Second, h)
		assert.Assert(t, h.servers.List[0].Draining && len(h.lastNonCensusChange().Servers.List) == 1)
		a.Draining, b.WarmLeft = false, 0
		f.applyListRead(2, a, b) // who reads now has its own word from the first
		f.pingFor(time.Second, h)
		assert.Assert(t, h.servers.List[0].Draining && h.servers.List[1].WarmLeft == 0)
		var all *peerlink.Servers
		for i := range f.replicas {
			r := f.replicas[i].Replica
			r.mu.Lock()
			assert.Assert(t, all == nil || r.currentList().Since(all) == nil)
			all = r.currentList()
			r.mu.Unlock()
		}
	})
}

func TestLargeCensusIsSentLessOften(t *testing.T) {
	playAgents(t, 1, func(f *agentCluster) {
		var all []*pingingAgent
		for i := range maxSmallCensusProxies + 2 {
			h, stop := f.startAgentWithPing(0, fmt.Sprint(10+i), peerlink.Ping{Ready: true, Every: time.Second})
			defer stop()
			all = append(all, h)
		}
		led := all[0]
		led.ping.Upstream = true
		f.pingFor(2*time.Second, all...)
		assert.Equal(t, len(led.census.Proxies), maxSmallCensusProxies+2)
		n := len(led.changes)
		for i := range 10 { // they come back one after another
			all[i+1].ping.Ready = false
			all[i+1].sendPing()
			f.pingFor(20 * time.Millisecond)
		}
		f.pingFor(time.Second, all...)
		fell := len(led.changes) - n
		for i := range 10 {
			all[i+1].ping.Ready = true
			all[i+1].sendPing()
			f.pingFor(20 * time.Millisecond)
		}
		f.pingFor(time.Second, all...)
		assert.Assert(t, fell <= 3 && len(led.changes)-n-fell <= 2, "%d, %d", fell, len(led.changes)-n)
		assert.Assert(t, led.lastChange().Census.Part && len(led.lastChange().Census.Proxies) < maxSmallCensusProxies)

		_ = all[3].conn.Close()
		f.pingFor(300*time.Millisecond, all[:3]...)
		began := len(led.changes)
		all[5].ping.Ready = false
		all[5].sendPing()
		f.pingFor(250 * time.Millisecond)
		assert.Assert(t, len(led.changes) > began && !led.census.Proxies[5].Ready)
		f.pingFor(2900 * time.Millisecond)
		assert.Assert(t, led.census.Proxies[8].Alive) // as long as its own heartbeats say
		f.pingFor(700*time.Millisecond, led)
		assert.Assert(t, !led.census.Proxies[8].Alive && led.census.Proxies[0].Alive)
	})
}
