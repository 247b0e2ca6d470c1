package agent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

func list(stamp int64, all ...peerlink.Server) *peerlink.Servers {
	return &peerlink.Servers{Stamp: stamp, List: all}
}

// servers is what the proxy was told last.
func (g *proxy) servers() *peerlink.Servers {
	all := g.look().changes
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].Servers != nil {
			return all[i].Servers
		}
	}
	return nil
}

func TestPartsReachTheProxyAsWholes(t *testing.T) {
	play(t, func(f *field) {
		a := f.replica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1), Servers: list(1, peerlink.Server{ID: "a"}, peerlink.Server{ID: "b"})})
		f.agent(a.addr)
		g := f.proxy()
		pass(time.Second)
		assert.Assert(t, a.look().pings[0].Upstream) // with the first one
		a.say(peerlink.Change{Servers: &peerlink.Servers{Stamp: 2, Part: true, List: []peerlink.Server{{ID: "b", Draining: true}, {ID: "c"}}, Gone: []string{"a"}}})
		pass(100 * time.Millisecond)
		want := []peerlink.Server{{ID: "b", Draining: true}, {ID: "c"}}
		assert.Assert(t, !g.servers().Part)
		assert.DeepEqual(t, g.servers().List, want)

		// What is said while the connection is broken comes with the whole of the next one.
		a.mu.Lock()
		a.change.Servers = list(3, peerlink.Server{ID: "c", Draining: true})
		_ = a.conn.Close()
		a.mu.Unlock()
		pass(500 * time.Millisecond)
		assert.DeepEqual(t, g.servers().List, []peerlink.Server{{ID: "c", Draining: true}})

		// A part without a whole ends the connection.
		a.mu.Lock()
		a.change.Servers = &peerlink.Servers{Stamp: 4, Part: true}
		_ = a.conn.Close()
		a.mu.Unlock()
		n := len(a.look().hellos)
		pass(500 * time.Millisecond)
		a.mu.Lock()
		a.change.Servers = list(5, peerlink.Server{ID: "d"})
		a.mu.Unlock()
		pass(2 * time.Second)
		assert.Assert(t, len(a.look().hellos) > n+1)
		assert.DeepEqual(t, g.servers().List, []peerlink.Server{{ID: "d"}})
	})
}

func TestNewsForTheProxyAreGathered(t *testing.T) {
	play(t, func(f *field) {
		a := f.replica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)})
		f.agent(a.addr)
		g := f.proxy()
		pass(time.Second)
		n := len(g.look().changes)
		for i := range 50 {
			a.say(peerlink.Change{Servers: list(int64(i+1), peerlink.Server{ID: "a", Capacity: i})})
			pass(time.Millisecond)
		}
		pass(50 * time.Millisecond)
		told := len(g.look().changes) - n
		assert.Assert(t, told >= 2 && told <= 5, "%d", told)
		assert.Equal(t, g.servers().List[0].Capacity, 49)
		assert.Equal(t, a.look().acks[len(a.look().acks)-1].No, uint64(51))

		a.say(peerlink.Change{Servers: list(60, peerlink.Server{ID: "b"})})
		a.say(peerlink.Change{Configuration: configuration(2)}) // waits for nothing
		pass(15 * time.Millisecond)
		all := g.configurations()
		assert.Equal(t, all[len(all)-1], uint64(2))
	})
}

// Whoever leads, a server told to be draining stays so; in a small fleet every replica is told of readiness as often.
func TestUpstreamGoesOver(t *testing.T) {
	play(t, func(f *field) {
		x, y := peerlink.Server{ID: "x", Draining: true}, peerlink.Server{ID: "y"}
		a := f.replica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1), Servers: list(7, x, y)})
		x.Draining = false
		b := f.replica("10.0.0.2:7600", peerlink.Change{Configuration: configuration(1), Servers: list(8, x, y)})
		f.agent(a.addr, b.addr)
		g := f.proxy()
		pass(7 * time.Second)
		led, other := len(a.look().pings), len(b.look().pings)
		pass(4 * time.Second)
		led, other = len(a.look().pings)-led, len(b.look().pings)-other
		assert.Assert(t, led >= 15 && led <= 17 && other >= 15 && other <= 17, "%d, %d", led, other)
		assert.Assert(t, g.servers().List[0].Draining)
		f.net.Silence(a.addr, true)
		pass(1500 * time.Millisecond)
		p := b.look().pings[len(b.look().pings)-1]
		assert.Assert(t, p.Upstream && p.Every == peerlink.Usual)
		b.say(peerlink.Change{Servers: list(9, x, y)})
		pass(100 * time.Millisecond)
		assert.Assert(t, g.servers().Stamp == 9 && g.servers().List[0].Draining && !g.servers().List[1].Draining)
		f.net.Silence(a.addr, false)
		pass(8 * time.Second) // back to the own zone
		assert.Assert(t, a.look().pings[len(a.look().pings)-1].Upstream && !b.look().pings[len(b.look().pings)-1].Upstream)
	})
}
