package agent_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/dataplane/agent"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

const inner = "127.0.0.1:7601"

// field is a proxy, its agent and some replicas, each in their own goroutines.
type field struct {
	t   *testing.T
	ctx context.Context
	net *sim.Net
}

func play(t *testing.T, test func(f *field)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := &field{t, ctx, sim.New(1)}
		f.net.Set(sim.Faults{Least: time.Millisecond, Most: 5 * time.Millisecond})
		test(f)
	})
}

// replica says the same to every agent, whenever it is asked.
type replica struct {
	addr   string
	late   time.Duration // its answers
	mu     sync.Mutex
	conn   *peerlink.Conn
	no     uint64
	change peerlink.Change
	heard
}

type heard struct {
	pings  []peerlink.Ping
	acks   []peerlink.Ack
	hellos []peerlink.Hello
	left   string
}

func (b *replica) look() heard {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heard
}

func (f *field) replica(addr string, c peerlink.Change) *replica {
	b := &replica{addr: addr, change: c}
	ln, err := f.net.Listen(f.ctx, "tcp", addr)
	assert.NilError(f.t, err)
	mine := func() peerlink.Hello {
		return peerlink.Hello{Role: peerlink.Replica, Name: addr, Zone: addr, Region: "r"}
	}
	go peerlink.Serve(f.ctx, f.net, ln, mine, logr.Discard(), func(_ context.Context, c *peerlink.Conn, h *peerlink.Hello) error {
		b.mu.Lock()
		b.conn, b.no = c, 0
		b.hellos = append(b.hellos, *h)
		b.mu.Unlock()
		b.say(b.change)
		for {
			x, err := c.Receive()
			if err != nil {
				return err
			}
			b.hear(x)
		}
	})
	return b
}

func (b *replica) hear(x *peerlink.Frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.Hello != nil {
		b.hellos = append(b.hellos, *x.Hello)
	}
	if x.Ack != nil {
		b.acks = append(b.acks, *x.Ack)
	}
	if x.Leaving != nil {
		b.left = *x.Leaving
	}
	if x.Ping != nil {
		if n := len(b.pings); x.Ping.Upstream && n > 0 && !b.pings[n-1].Upstream {
			b.no++
			_ = b.conn.Send(&peerlink.Frame{Change: &peerlink.Change{No: b.no, Servers: b.change.Servers, Census: b.change.Census}})
		}
		b.pings = append(b.pings, *x.Ping)
		c := b.conn
		time.AfterFunc(b.late, func() { c.Send(&peerlink.Frame{Pong: &peerlink.Pong{Sent: x.Ping.Sent, Fresh: true, InTouch: true}}) })
	}
}

func (b *replica) say(c peerlink.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.no++
	c.No = b.no
	_ = b.conn.Send(&peerlink.Frame{Change: &c})
}

// hand starts one; the function kills it.
func (f *field) agent(replicas ...string) (*agent.Agent, context.CancelFunc, <-chan error) {
	ctx, cancel := context.WithCancel(f.ctx)
	h := agent.New(agent.Config{Hello: peerlink.Hello{Name: "m", Life: time.Now().UnixNano(), Zone: replicas[0], Region: "r"}, ListenAddress: inner, Seeds: replicas, LeaveGrace: 5 * time.Second}, f.net, logr.Discard())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	return h, cancel, done
}

// proxy takes over all that it is told.
type proxy struct {
	stop context.CancelFunc
	mu   sync.Mutex
	told
}

type told struct {
	changes []peerlink.Change
	age     time.Duration // its last answer's
	asked   time.Duration // from that question to its answer
	fresh   bool
}

func (g *proxy) look() told {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.told
}

func (g *proxy) configurations() (all []uint64) {
	for _, c := range g.look().changes {
		if c.Configuration != nil {
			all = append(all, c.Configuration.Gen)
		}
	}
	return all
}

func (f *field) proxy() *proxy {
	ctx, cancel := context.WithCancel(f.ctx)
	g, start := &proxy{stop: cancel}, time.Now()
	d := &peerlink.Dialer{Net: f.net, Hello: peerlink.Hello{Role: peerlink.Proxy, Front: "10.0.0.9:80"}, Log: logr.Discard()}
	go d.Keep(ctx, inner, func(ctx context.Context, c *peerlink.Conn, _ *peerlink.Hello) error {
		gen := uint64(0)
		go func() {
			for world.Sleep(ctx, f.net, 200*time.Millisecond) {
				_ = c.Send(&peerlink.Frame{Ping: &peerlink.Ping{Sent: time.Since(start), Ready: true}})
			}
		}()
		for {
			x, err := c.Receive()
			if err != nil {
				return err
			}
			g.mu.Lock()
			if x.Pong != nil {
				g.age, g.fresh, g.asked = x.Pong.Age, x.Pong.Fresh, time.Since(start)-x.Pong.Sent
			}
			if x.Change != nil {
				g.changes = append(g.changes, *x.Change)
				if x.Change.Configuration != nil {
					gen = x.Change.Configuration.Gen
				}
				c.Send(&peerlink.Frame{Ack: &peerlink.Ack{No: x.Change.No, Gen: gen}})
			}
			g.mu.Unlock()
		}
	})
	return g
}

// pass lets time go by, and what is due be done.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func configuration(gen uint64) *peerlink.Configuration {
	return &peerlink.Configuration{Gen: gen, Body: []byte("{}")}
}

func TestNewsComeOnceAndNeverGoBack(t *testing.T) {
	play(t, func(f *field) {
		a, b := f.replica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)}), f.replica("10.0.0.2:7600", peerlink.Change{Configuration: configuration(1)})
		// The second replica is only known by the census of the first.
		a.change.Census = &peerlink.Census{Replicas: []peerlink.Hello{{Name: "a", Inner: a.addr}, {Name: "b", Inner: b.addr}}}
		f.agent(a.addr)
		g := f.proxy()
		pass(time.Second)
		a.say(peerlink.Change{Configuration: configuration(3)})
		pass(100 * time.Millisecond)
		b.say(peerlink.Change{Configuration: configuration(2)})
		b.say(peerlink.Change{Configuration: configuration(3)})
		pass(time.Second)
		all := g.configurations()
		assert.Assert(t, slices.IsSorted(all) && all[len(all)-1] == 3 && len(slices.Compact(all)) == len(g.configurations()), "%v", g.configurations())
		for i, c := range g.look().changes {
			assert.Equal(t, c.No, uint64(i+1))
		}
		assert.DeepEqual(t, b.look().acks[len(b.look().acks)-1], peerlink.Ack{No: 3, Gen: 3})
		assert.DeepEqual(t, a.look().acks[len(a.look().acks)-1], peerlink.Ack{No: 2, Gen: 3})
		last := a.look().hellos[len(a.look().hellos)-1]
		assert.Assert(t, last.Front == "10.0.0.9:80" && last.Role == peerlink.Agent, "%v", last)
		p := b.look().pings[len(b.look().pings)-1]
		assert.Assert(t, p.Ready && p.Gen == 3, "%v", p)
		assert.Assert(t, g.look().fresh && g.look().age < time.Second, "%v", g.look().age)
		n, at := len(a.look().pings), time.Now()
		g.stop() // its end is told at once
		pass(20 * time.Millisecond)
		assert.Assert(t, len(a.look().pings) > n && !a.look().pings[len(a.look().pings)-1].Ready, time.Since(at))
	})
}

func TestReplicaCutOff(t *testing.T) {
	play(t, func(f *field) {
		word := func(alive bool) peerlink.Change {
			return peerlink.Change{Census: &peerlink.Census{Proxies: []peerlink.Member{{Hello: peerlink.Hello{Name: "x"}, Alive: alive}}, Shares: 1}}
		}
		a, b := f.replica("10.0.0.1:7600", word(true)), f.replica("10.0.0.2:7600", word(false))
		f.agent(a.addr, b.addr)
		g := f.proxy()
		alive := func() bool { c := g.look().changes[len(g.look().changes)-1]; return c.Census.Proxies[0].Alive }
		pass(7 * time.Second)
		assert.Assert(t, alive())
		f.net.Silence(a.addr, true)
		pass(2100 * time.Millisecond)
		assert.Assert(t, !alive())
		assert.Assert(t, g.look().fresh && g.look().age < time.Second, "%v", g.look().age)
		f.net.Silence(b.addr, true) // and from now on nothing gets fresher
		pass(5 * time.Second)
		assert.Assert(t, g.look().age > 4*time.Second, "%v", g.look().age)
		f.net.Silence(a.addr, false)
		pass(2500 * time.Millisecond)
		assert.Assert(t, alive() && g.look().age < time.Second, "%v", g.look().age)
	})
}

func TestLateAnswersFreshenNothing(t *testing.T) {
	play(t, func(f *field) {
		a := f.replica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)})
		a.late = 900 * time.Millisecond
		f.agent(a.addr)
		g := f.proxy()
		for range 50 {
			pass(100 * time.Millisecond)
			assert.Assert(t, !g.look().fresh || g.look().age+g.look().asked >= a.late, "%v", g.look().age)
		}
		assert.Assert(t, g.look().fresh)
	})
}

func TestAgentRestartsAndLeaves(t *testing.T) {
	play(t, func(f *field) {
		a := f.replica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(4)})
		_, kill, done := f.agent(a.addr)
		g := f.proxy()
		pass(2 * time.Second)
		kill()
		assert.NilError(t, <-done)
		n := len(g.look().changes)
		h, _, done := f.agent(a.addr)
		pass(2 * time.Second)
		assert.Equal(t, g.look().changes[n].No, uint64(1))
		assert.Assert(t, slices.Max(g.configurations()) == 4 && g.configurations()[len(g.configurations())-1] == 4)
		assert.DeepEqual(t, a.look().acks[len(a.look().acks)-1], peerlink.Ack{No: 1, Gen: 4})
		assert.Assert(t, a.look().hellos[len(a.look().hellos)-1].Life > a.look().hellos[0].Life)
		h.Leave("terminated")
		pass(time.Second)
		assert.Equal(t, a.look().left, "terminated")
		assert.Equal(t, len(done), 0)
		a.say(peerlink.Change{Configuration: configuration(5)}) // the proxy is served to its end
		pass(100 * time.Millisecond)
		assert.Equal(t, slices.Max(g.configurations()), uint64(5))
		g.stop()
		began := time.Now()
		assert.NilError(t, <-done)
		assert.Assert(t, time.Since(began) < 300*time.Millisecond)
	})
}

// Seeds that change take nothing away: news go on by way of the replicas of before, and come from the new ones.
func TestSeedsChange(t *testing.T) {
	play(t, func(f *field) {
		a, b := f.replica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)}), f.replica("10.0.0.2:7600", peerlink.Change{Configuration: configuration(1)})
		h, _, _ := f.agent(a.addr)
		g := f.proxy()
		pass(time.Second)
		h.SetSeeds([]string{b.addr})
		pass(time.Second)
		b.say(peerlink.Change{Configuration: configuration(2)})
		pass(100 * time.Millisecond)
		assert.Equal(t, slices.Max(g.configurations()), uint64(2))
		a.say(peerlink.Change{Configuration: configuration(3)})
		pass(100 * time.Millisecond)
		assert.Equal(t, slices.Max(g.configurations()), uint64(3))
		assert.Equal(t, g.look().changes[len(g.look().changes)-1].No, uint64(len(g.look().changes))) // one connection throughout
	})
}
