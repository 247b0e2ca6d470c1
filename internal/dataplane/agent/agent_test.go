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

const agentAddress = "127.0.0.1:7601"

// fixture runs a proxy, its agent and some replicas, each in goroutines of its own.
type fixture struct {
	t   *testing.T
	ctx context.Context
	net *sim.Net
}

func runFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := &fixture{t, ctx, sim.New(1)}
		f.net.Set(sim.Faults{Least: time.Millisecond, Most: 5 * time.Millisecond})
		test(f)
	})
}

// replica sends the same change to every agent that connects.
type replica struct {
	addr        string
	answerDelay time.Duration // delay of its answers
	mu          sync.Mutex
	conn        *peerlink.Conn
	sequence    uint64
	change      peerlink.Change
	receivedFrames
}

type receivedFrames struct {
	pings       []peerlink.Ping
	acks        []peerlink.Ack
	hellos      []peerlink.Hello
	leaveReason string
}

func (b *replica) snapshot() receivedFrames {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.receivedFrames
}

func (f *fixture) startReplica(addr string, c peerlink.Change) *replica {
	b := &replica{addr: addr, change: c}
	ln, err := f.net.Listen(f.ctx, "tcp", addr)
	assert.NilError(f.t, err)
	mine := func() peerlink.Hello {
		return peerlink.Hello{Role: peerlink.Replica, Name: addr, Zone: addr, Region: "r"}
	}
	go peerlink.Serve(f.ctx, f.net, ln, mine, logr.Discard(), func(_ context.Context, c *peerlink.Conn, h *peerlink.Hello) error {
		b.mu.Lock()
		b.conn, b.sequence = c, 0
		b.hellos = append(b.hellos, *h)
		b.mu.Unlock()
		b.sendChange(b.change)
		for {
			x, err := c.Receive()
			if err != nil {
				return err
			}
			b.handleFrame(x)
		}
	})
	return b
}

func (b *replica) handleFrame(x *peerlink.Frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.Hello != nil {
		b.hellos = append(b.hellos, *x.Hello)
	}
	if x.Ack != nil {
		b.acks = append(b.acks, *x.Ack)
	}
	if x.Leaving != nil {
		b.leaveReason = *x.Leaving
	}
	if x.Ping != nil {
		if n := len(b.pings); x.Ping.Upstream && n > 0 && !b.pings[n-1].Upstream {
			b.sequence++
			_ = b.conn.Send(&peerlink.Frame{Change: &peerlink.Change{No: b.sequence, Servers: b.change.Servers, Census: b.change.Census}})
		}
		b.pings = append(b.pings, *x.Ping)
		c := b.conn
		time.AfterFunc(b.answerDelay, func() { c.Send(&peerlink.Frame{Pong: &peerlink.Pong{Sent: x.Ping.Sent, Fresh: true, InTouch: true}}) })
	}
}

func (b *replica) sendChange(c peerlink.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	c.No = b.sequence
	_ = b.conn.Send(&peerlink.Frame{Change: &c})
}

// startAgent starts an agent; the returned function kills it.
func (f *fixture) startAgent(replicas ...string) (*agent.Agent, context.CancelFunc, <-chan error) {
	ctx, cancel := context.WithCancel(f.ctx)
	h := agent.New(agent.Config{Hello: peerlink.Hello{Name: "m", Life: time.Now().UnixNano(), Zone: replicas[0], Region: "r"}, ListenAddress: agentAddress, Seeds: replicas, LeaveGrace: 5 * time.Second}, f.net, logr.Discard())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	return h, cancel, done
}

// proxy records and acknowledges every change it receives.
type proxy struct {
	stop context.CancelFunc
	mu   sync.Mutex
	receivedState
}

type receivedState struct {
	changes   []peerlink.Change
	lastAge   time.Duration // of the last answer
	roundTrip time.Duration // time between that ping and its answer
	fresh     bool
}

func (g *proxy) snapshot() receivedState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.receivedState
}

func (g *proxy) generations() (all []uint64) {
	for _, c := range g.snapshot().changes {
		if c.Configuration != nil {
			all = append(all, c.Configuration.Gen)
		}
	}
	return all
}

func (f *fixture) startProxy() *proxy {
	ctx, cancel := context.WithCancel(f.ctx)
	g, start := &proxy{stop: cancel}, time.Now()
	d := &peerlink.Dialer{Net: f.net, Hello: peerlink.Hello{Role: peerlink.Proxy, Front: "10.0.0.9:80"}, Log: logr.Discard()}
	go d.Keep(ctx, agentAddress, func(ctx context.Context, c *peerlink.Conn, _ *peerlink.Hello) error {
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
				g.lastAge, g.fresh, g.roundTrip = x.Pong.Age, x.Pong.Fresh, time.Since(start)-x.Pong.Sent
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

// pass lets simulated time pass and waits for all goroutines to finish what is due.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func configuration(gen uint64) *peerlink.Configuration {
	return &peerlink.Configuration{Gen: gen, Body: []byte("{}")}
}

func TestUpdatesArriveOnceAndInOrder(t *testing.T) {
	runFixture(t, func(f *fixture) {
		a, b := f.startReplica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)}), f.startReplica("10.0.0.2:7600", peerlink.Change{Configuration: configuration(1)})
		// The agent learns of the second replica only through the census of the first.
		a.change.Census = &peerlink.Census{Replicas: []peerlink.Hello{{Name: "a", Inner: a.addr}, {Name: "b", Inner: b.addr}}}
		f.startAgent(a.addr)
		g := f.startProxy()
		pass(time.Second)
		a.sendChange(peerlink.Change{Configuration: configuration(3)})
		pass(100 * time.Millisecond)
		b.sendChange(peerlink.Change{Configuration: configuration(2)})
		b.sendChange(peerlink.Change{Configuration: configuration(3)})
		pass(time.Second)
		all := g.generations()
		assert.Assert(t, slices.IsSorted(all) && all[len(all)-1] == 3 && len(slices.Compact(all)) == len(g.generations()), "%v", g.generations())
		for i, c := range g.snapshot().changes {
			assert.Equal(t, c.No, uint64(i+1))
		}
		assert.DeepEqual(t, b.snapshot().acks[len(b.snapshot().acks)-1], peerlink.Ack{No: 3, Gen: 3})
		assert.DeepEqual(t, a.snapshot().acks[len(a.snapshot().acks)-1], peerlink.Ack{No: 2, Gen: 3})
		last := a.snapshot().hellos[len(a.snapshot().hellos)-1]
		assert.Assert(t, last.Front == "10.0.0.9:80" && last.Role == peerlink.Agent, "%v", last)
		p := b.snapshot().pings[len(b.snapshot().pings)-1]
		assert.Assert(t, p.Ready && p.Gen == 3, "%v", p)
		assert.Assert(t, g.snapshot().fresh && g.snapshot().lastAge < time.Second, "%v", g.snapshot().lastAge)
		n, at := len(a.snapshot().pings), time.Now()
		g.stop() // the replicas are notified of the disconnection at once
		pass(20 * time.Millisecond)
		assert.Assert(t, len(a.snapshot().pings) > n && !a.snapshot().pings[len(a.snapshot().pings)-1].Ready, time.Since(at))
	})
}

func TestSilentReplicaIsReplaced(t *testing.T) {
	runFixture(t, func(f *fixture) {
		censusChange := func(alive bool) peerlink.Change {
			return peerlink.Change{Census: &peerlink.Census{Proxies: []peerlink.Member{{Hello: peerlink.Hello{Name: "x"}, Alive: alive}}, Shares: 1}}
		}
		a, b := f.startReplica("10.0.0.1:7600", censusChange(true)), f.startReplica("10.0.0.2:7600", censusChange(false))
		f.startAgent(a.addr, b.addr)
		g := f.startProxy()
		alive := func() bool { c := g.snapshot().changes[len(g.snapshot().changes)-1]; return c.Census.Proxies[0].Alive }
		pass(7 * time.Second)
		assert.Assert(t, alive())
		f.net.Silence(a.addr, true)
		pass(2100 * time.Millisecond)
		assert.Assert(t, !alive())
		assert.Assert(t, g.snapshot().fresh && g.snapshot().lastAge < time.Second, "%v", g.snapshot().lastAge)
		f.net.Silence(b.addr, true) // from now on no replica confirms the state
		pass(5 * time.Second)
		assert.Assert(t, g.snapshot().lastAge > 4*time.Second, "%v", g.snapshot().lastAge)
		f.net.Silence(a.addr, false)
		pass(2500 * time.Millisecond)
		assert.Assert(t, alive() && g.snapshot().lastAge < time.Second, "%v", g.snapshot().lastAge)
	})
}

func TestDelayedAnswersDoNotLowerAge(t *testing.T) {
	runFixture(t, func(f *fixture) {
		a := f.startReplica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)})
		a.answerDelay = 900 * time.Millisecond
		f.startAgent(a.addr)
		g := f.startProxy()
		for range 50 {
			pass(100 * time.Millisecond)
			assert.Assert(t, !g.snapshot().fresh || g.snapshot().lastAge+g.snapshot().roundTrip >= a.answerDelay, "%v", g.snapshot().lastAge)
		}
		assert.Assert(t, g.snapshot().fresh)
	})
}

func TestAgentRestartsAndLeaves(t *testing.T) {
	runFixture(t, func(f *fixture) {
		a := f.startReplica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(4)})
		_, kill, done := f.startAgent(a.addr)
		g := f.startProxy()
		pass(2 * time.Second)
		kill()
		assert.NilError(t, <-done)
		n := len(g.snapshot().changes)
		h, _, done := f.startAgent(a.addr)
		pass(2 * time.Second)
		assert.Equal(t, g.snapshot().changes[n].No, uint64(1))
		assert.Assert(t, slices.Max(g.generations()) == 4 && g.generations()[len(g.generations())-1] == 4)
		assert.DeepEqual(t, a.snapshot().acks[len(a.snapshot().acks)-1], peerlink.Ack{No: 1, Gen: 4})
		assert.Assert(t, a.snapshot().hellos[len(a.snapshot().hellos)-1].Life > a.snapshot().hellos[0].Life)
		h.Leave("terminated")
		pass(time.Second)
		assert.Equal(t, a.snapshot().leaveReason, "terminated")
		assert.Equal(t, len(done), 0)
		a.sendChange(peerlink.Change{Configuration: configuration(5)}) // the agent serves the proxy until it disconnects
		pass(100 * time.Millisecond)
		assert.Equal(t, slices.Max(g.generations()), uint64(5))
		g.stop()
		began := time.Now()
		assert.NilError(t, <-done)
		assert.Assert(t, time.Since(began) < 300*time.Millisecond)
	})
}

// A change of seeds loses no updates: they still come from the replicas connected before, and also from the new ones.
func TestSeedsChange(t *testing.T) {
	runFixture(t, func(f *fixture) {
		a, b := f.startReplica("10.0.0.1:7600", peerlink.Change{Configuration: configuration(1)}), f.startReplica("10.0.0.2:7600", peerlink.Change{Configuration: configuration(1)})
		h, _, _ := f.startAgent(a.addr)
		g := f.startProxy()
		pass(time.Second)
		h.SetSeeds([]string{b.addr})
		pass(time.Second)
		b.sendChange(peerlink.Change{Configuration: configuration(2)})
		pass(100 * time.Millisecond)
		assert.Equal(t, slices.Max(g.generations()), uint64(2))
		a.sendChange(peerlink.Change{Configuration: configuration(3)})
		pass(100 * time.Millisecond)
		assert.Equal(t, slices.Max(g.generations()), uint64(3))
		assert.Equal(t, g.snapshot().changes[len(g.snapshot().changes)-1].No, uint64(len(g.snapshot().changes))) // the proxy's connection was never replaced
	})
}
