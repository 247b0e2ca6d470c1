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

// crowd is replicas and agents.
type crowd struct {
	*clusterFixture
	helping sync.Mutex // all helpers
}

func playAgents(t *testing.T, n int, story func(f *crowd)) {
	runCluster(t, n, func(f *clusterFixture) { story(&crowd{clusterFixture: f}) })
}

// helper is an agent that folds what it is told and pings as it is set to.
type helper struct {
	conn    *peerlink.Conn
	ping    peerlink.Ping
	changes []peerlink.Change
	servers *peerlink.Servers
	census  *peerlink.Census
	pong    peerlink.Pong // the last
}

// helper connects one to a replica; the function ends its session.
func (f *crowd) helper(i int, name string, ping peerlink.Ping) (*helper, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &helper{ping: ping}
	host := f.net.Host("10.9.0." + name)
	d := &peerlink.Dialer{Net: host, Log: logr.Discard(), Hello: peerlink.Hello{Role: peerlink.Agent, Name: name, Life: 1, Front: name + ":80", Peer: name + ":7602"}}
	go d.Keep(ctx, ip(i)+":7600", func(ctx context.Context, c *peerlink.Conn, _ *peerlink.Hello) error {
		f.helping.Lock()
		h.conn, h.servers, h.census, h.changes = c, nil, nil, nil
		h.say()
		f.helping.Unlock()
		defer context.AfterFunc(ctx, func() { _ = c.Close() })()
		for {
			x, err := c.Receive()
			if err != nil {
				return err
			}
			f.helping.Lock()
			if h.hear(x.Change); x.Pong != nil {
				h.pong = *x.Pong
			}
			f.helping.Unlock()
		}
	})
	synctest.Wait()
	return h, cancel
}

func (h *helper) hear(c *peerlink.Change) {
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

func (h *helper) say() { _ = h.conn.Send(&peerlink.Frame{Ping: &h.ping}) }

// pass lets time go by in which all agents ping.
func (f *crowd) pass(d time.Duration, all ...*helper) {
	f.helping.Lock()
	defer f.helping.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, h := range all {
			if h.conn != nil {
				h.say()
			}
		}
		f.helping.Unlock()
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		synctest.Wait()
		f.helping.Lock()
	}
}

// reads lets a replica have read a list.
func (f *crowd) reads(i int, list ...peerlink.Server) {
	b := f.replicas[i].Replica
	b.mu.Lock()
	b.listed(&peerlink.Servers{Stamp: b.world.Now().UnixNano(), By: b.self.Name, List: list})
	b.mu.Unlock()
}

func (h *helper) last() peerlink.Change { return h.changes[len(h.changes)-1] }

// news is the last that is not of the census alone.
func (h *helper) news() (c peerlink.Change) {
	for _, x := range h.changes {
		if x.Servers != nil || x.Configuration != nil {
			c = x
		}
	}
	return c
}

func TestOnlyLedAgentsAreTold(t *testing.T) {
	playAgents(t, 3, func(f *crowd) {
		a, b := peerlink.Server{ID: "a", Capacity: 1}, peerlink.Server{ID: "b", Capacity: 1}
		f.reads(0, a, b)
		led, stopLed := f.helper(0, "1", peerlink.Ping{Upstream: true, Ready: true})
		other, stop := f.helper(0, "2", peerlink.Ping{})
		defer stop()
		defer stopLed()
		f.pass(2*time.Second, led, other) // the second has joined, and the first has heard of it
		assert.Assert(t, len(other.changes) == 1 && other.servers == nil && other.census == nil)
		assert.Assert(t, led.changes[0].Servers == nil && !led.changes[1].Servers.Part && !led.changes[1].Census.Part)
		assert.Assert(t, len(led.servers.List) == 2 && len(led.census.Proxies) == 2 && led.census.Shares == 2)

		n := len(led.changes)
		f.reads(0, a, b)
		f.pass(300*time.Millisecond, led, other)
		assert.Equal(t, len(led.changes), n) // nothing is new
		b.Draining = true
		f.reads(0, a, b)
		f.pass(300*time.Millisecond, led, other)
		assert.Assert(t, led.news().Servers.Part && len(led.news().Servers.List) == 1 && led.servers.List[1].Draining)

		// A change of lead: a whole, with what was told to others meanwhile; and back.
		led.ping.Upstream, other.ping.Upstream = false, true
		f.pass(300*time.Millisecond, led, other)
		assert.Assert(t, !other.news().Servers.Part && other.servers.List[1].Draining)
		n = len(led.changes)
		f.reads(0, a)
		f.pass(300*time.Millisecond, led, other)
		assert.Assert(t, len(led.changes) == n && len(other.servers.List) == 1)
		assert.DeepEqual(t, other.news().Servers.Gone, []string{"b"})
		led.ping.Upstream = true
		f.pass(300*time.Millisecond, led, other)
		assert.Assert(t, !led.news().Servers.Part && len(led.servers.List) == 1)

		// A new connection begins with a whole.
		_ = led.conn.Close()
		f.reads(0, a, peerlink.Server{ID: "c"})
		f.pass(time.Second, led, other)
		assert.Assert(t, !led.changes[1].Servers.Part && len(led.servers.List) == 2)
		assert.DeepEqual(t, led.servers.List, other.servers.List)
	})
}

// Another replica is told parts too, and what was seen draining stays so.
func TestReplicasTellPartsOfTheList(t *testing.T) {
	playAgents(t, 3, func(f *crowd) {
		h, stop := f.helper(1, "1", peerlink.Ping{Upstream: true})
		defer stop()
		a, b := peerlink.Server{ID: "a"}, peerlink.Server{ID: "b", WarmLeft: 3 * time.Second}
		f.reads(0, a, b)
		f.pass(time.Second, h)
		a.Draining, b.WarmLeft = true, 2*time.Second
		f.reads(0, a, b)
		f.pass(time.Second, h)
		assert.Assert(t, h.servers.List[0].Draining && len(h.news().Servers.List) == 1)
		a.Draining, b.WarmLeft = false, 0
		f.reads(2, a, b) // who reads now has its own word from the first
		f.pass(time.Second, h)
		assert.Assert(t, h.servers.List[0].Draining && h.servers.List[1].WarmLeft == 0)
		var all *peerlink.Servers
		for i := range f.replicas {
			r := f.replicas[i].Replica
			r.mu.Lock()
			assert.Assert(t, all == nil || r.held().Since(all) == nil)
			all = r.held()
			r.mu.Unlock()
		}
	})
}

func TestManyProxiesAreToldLessOften(t *testing.T) {
	playAgents(t, 1, func(f *crowd) {
		var all []*helper
		for i := range manyProxies + 2 {
			h, stop := f.helper(0, fmt.Sprint(10+i), peerlink.Ping{Ready: true, Every: time.Second})
			defer stop()
			all = append(all, h)
		}
		led := all[0]
		led.ping.Upstream = true
		f.pass(2*time.Second, all...)
		assert.Equal(t, len(led.census.Proxies), manyProxies+2)
		n := len(led.changes)
		for i := range 10 { // they come back one after another
			all[i+1].ping.Ready = false
			all[i+1].say()
			f.pass(20 * time.Millisecond)
		}
		f.pass(time.Second, all...)
		fell := len(led.changes) - n
		for i := range 10 {
			all[i+1].ping.Ready = true
			all[i+1].say()
			f.pass(20 * time.Millisecond)
		}
		f.pass(time.Second, all...)
		assert.Assert(t, fell <= 3 && len(led.changes)-n-fell <= 2, "%d, %d", fell, len(led.changes)-n)
		assert.Assert(t, led.last().Census.Part && len(led.last().Census.Proxies) < manyProxies)

		_ = all[3].conn.Close()
		f.pass(300*time.Millisecond, all[:3]...)
		began := len(led.changes)
		all[5].ping.Ready = false
		all[5].say()
		f.pass(250 * time.Millisecond)
		assert.Assert(t, len(led.changes) > began && !led.census.Proxies[5].Ready)
		f.pass(2900 * time.Millisecond)
		assert.Assert(t, led.census.Proxies[8].Alive) // as long as its own heartbeats say
		f.pass(700*time.Millisecond, led)
		assert.Assert(t, !led.census.Proxies[8].Alive && led.census.Proxies[0].Alive)
	})
}
