package agent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

func serverList(stamp int64, all ...peerlink.Server) *peerlink.Servers {
	return &peerlink.Servers{Stamp: stamp, List: all}
}

// lastServers returns the server list that the proxy received last.
func (g *proxy) lastServers() *peerlink.Servers {
	all := g.snapshot().changes
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Servers != nil {
			return all[i].Servers
		}
	}
	return nil
}

func TestProxyReceivesCompleteLists(t *testing.T) {
	runFixture(t, func(f *fixture) {
		a := f.startReplica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1), Servers: serverList(1, peerlink.Server{ID: "a"}, peerlink.Server{ID: "b"})})
		f.startAgent(a.addr)
		g := f.startProxy()
		pass(time.Second)
		assert.Assert(t, a.snapshot().pings[0].Upstream) // the first ping already names the upstream replica
		a.sendChange(peerlink.Change{Servers: &peerlink.Servers{Stamp: 2, Part: true, List: []peerlink.Server{{ID: "b", Draining: true}, {ID: "c"}}, Gone: []string{"a"}}})
		pass(100 * time.Millisecond)
		want := []peerlink.Server{{ID: "b", Draining: true}, {ID: "c"}}
		assert.Assert(t, !g.lastServers().Part)
		assert.DeepEqual(t, g.lastServers().List, want)

		// A change made while the connection is down arrives with the complete list of the next connection.
		a.mu.Lock()
		a.change.Servers = serverList(3, peerlink.Server{ID: "c", Draining: true})
		_ = a.conn.Close()
		a.mu.Unlock()
		pass(500 * time.Millisecond)
		assert.DeepEqual(t, g.lastServers().List, []peerlink.Server{{ID: "c", Draining: true}})

		// A delta without a base ends the connection.
		a.mu.Lock()
		a.change.Servers = &peerlink.Servers{Stamp: 4, Part: true}
		_ = a.conn.Close()
		a.mu.Unlock()
		n := len(a.snapshot().hellos)
		pass(500 * time.Millisecond)
		a.mu.Lock()
		a.change.Servers = serverList(5, peerlink.Server{ID: "d"})
		a.mu.Unlock()
		pass(2 * time.Second)
		assert.Assert(t, len(a.snapshot().hellos) > n+1)
		assert.DeepEqual(t, g.lastServers().List, []peerlink.Server{{ID: "d"}})
	})
}

func TestProxyUpdatesAreBatched(t *testing.T) {
	runFixture(t, func(f *fixture) {
		a := f.startReplica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)})
		f.startAgent(a.addr)
		g := f.startProxy()
		pass(time.Second)
		n := len(g.snapshot().changes)
		for i := range 50 {
			a.sendChange(peerlink.Change{Servers: serverList(int64(i+1), peerlink.Server{ID: "a", Capacity: i})})
			pass(time.Millisecond)
		}
		pass(50 * time.Millisecond)
		updates := len(g.snapshot().changes) - n
		assert.Assert(t, updates >= 2 && updates <= 5, "%d", updates)
		assert.Equal(t, g.lastServers().List[0].Capacity, 49)
		assert.Equal(t, a.snapshot().acks[len(a.snapshot().acks)-1].No, uint64(51))

		a.sendChange(peerlink.Change{Servers: serverList(60, peerlink.Server{ID: "b"})})
		a.sendChange(peerlink.Change{Configuration: configuration(2)}) // sent at once
		pass(15 * time.Millisecond)
		all := g.generations()
		assert.Equal(t, all[len(all)-1], uint64(2))
	})
}

// After a switch of the upstream replica a draining server stays draining; with few proxies all replicas are pinged equally often.
func TestUpstreamSwitch(t *testing.T) {
	runFixture(t, func(f *fixture) {
		x, y := peerlink.Server{ID: "x", Draining: true}, peerlink.Server{ID: "y"}
		a := f.startReplica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1), Servers: serverList(7, x, y)})
		x.Draining = false
		b := f.startReplica("10.0.0.2:7600", peerlink.Change{Configuration: configuration(1), Servers: serverList(8, x, y)})
		f.startAgent(a.addr, b.addr)
		g := f.startProxy()
		pass(7 * time.Second)
		upstreamPings, otherPings := len(a.snapshot().pings), len(b.snapshot().pings)
		pass(4 * time.Second)
		upstreamPings, otherPings = len(a.snapshot().pings)-upstreamPings, len(b.snapshot().pings)-otherPings
		assert.Assert(t, upstreamPings >= 15 && upstreamPings <= 17 && otherPings >= 15 && otherPings <= 17, "%d, %d", upstreamPings, otherPings)
		assert.Assert(t, g.lastServers().List[0].Draining)
		f.net.Silence(a.addr, true)
		pass(1500 * time.Millisecond)
		p := b.snapshot().pings[len(b.snapshot().pings)-1]
		assert.Assert(t, p.Upstream && p.Every == peerlink.Usual)
		b.sendChange(peerlink.Change{Servers: serverList(9, x, y)})
		pass(100 * time.Millisecond)
		assert.Assert(t, g.lastServers().Stamp == 9 && g.lastServers().List[0].Draining && !g.lastServers().List[1].Draining)
		f.net.Silence(a.addr, false)
		pass(8 * time.Second) // switched back to the agent's own zone
		assert.Assert(t, a.snapshot().pings[len(a.snapshot().pings)-1].Upstream && !b.snapshot().pings[len(b.snapshot().pings)-1].Upstream)
	})
}
