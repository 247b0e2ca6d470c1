package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/control/delivery"
	"pepperfall.example/pepperfall/internal/dataplane/homing"
	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// hand is an open connection to an agent.
type agent struct {
	conn     *peerlink.Conn
	name     string
	life     int64
	no       uint64 // of the last change sent
	ack      uint64 // of the last change that is in force at its proxy
	gen      uint64 // the version in force there
	upstream bool   // it wants servers and census from here
	packs    bool   // it can unpack lists

	agent    delivery.Agent // what decides when it is told the configuration
	reported time.Duration  // when it was logged last that it stays behind; 0: it was not

	list   *peerlink.Servers // as told last; nil: not told. Shared with others
	census *peerlink.Census  // the same

	verdicts *serverhealth.Verdicts // as told last; nil: not told
	seat     uint64                 // tells this connection from others
}

// change sends numbered news; the replica's mutex is held.
func (h *agent) change(c *peerlink.Change) {
	h.no++
	c.No = h.no
	if h.packs {
		c = c.Pack() // many agents on narrow lines are told the same
	}
	_ = h.conn.Send(&peerlink.Frame{Change: c})
}

// attend runs a session with an agent.
func (b *Replica) attend(ctx context.Context, c *peerlink.Conn, hello *peerlink.Hello) error {
	h := &agent{conn: c, name: hello.Name, life: hello.Life, agent: delivery.Agent{ConnectedAt: b.now()}}
	b.mu.Lock()
	b.agents[h] = true
	h.seat = b.healthJudge.seat()
	b.arrive(*hello)
	h.change(&peerlink.Change{Zones: b.ordersFor(h.name)}) // its first Ping tells whether it lacks the configuration
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.agents, h)
		if g := b.proxies.proxies[h.name]; g != nil && g.hello.Life == h.life && !b.attended(h.name) {
			g.connected, g.ready = false, false
			b.stirred()
		}
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.hear(h, f)
		b.mu.Unlock()
	}
}

func (b *Replica) attended(name string) bool {
	for h := range b.agents {
		if h.name == name {
			return true
		}
	}
	return false
}

// arrive notes a proxy by its agent's word; the mutex is held.
func (b *Replica) arrive(h peerlink.Hello) {
	if old := b.proxies.proxies[h.Name]; old != nil && old.hello.Life > h.Life {
		return
	}
	if _, isNew := b.proxies.noteConnected(h, b.now()); isNew {
		b.store.SaveCensus(b.proxies.names())
	}
	b.stirred()
}

// meet notes proxies that another replica knows; the mutex is held.
func (b *Replica) meet(all []peerlink.Member) {
	isNew := false
	for _, m := range all {
		isNew = b.proxies.addKnown(m, b.now()) || isNew
	}
	if isNew {
		b.store.SaveCensus(b.proxies.names())
		b.stirred()
	}
}

// hear takes in what an agent says; the mutex is held.
func (b *Replica) hear(h *agent, f *peerlink.Frame) {
	now := b.now()
	if f.Hello != nil && f.Hello.Name == h.name {
		h.life = f.Hello.Life
		b.arrive(*f.Hello)
	}
	g := b.proxies.proxies[h.name]
	if g == nil || g.hello.Life != h.life {
		return // an earlier life's connection
	}
	if !g.isAlive(now) {
		b.stirred()
	}
	g.lastHeard = now
	if p := f.Ping; p != nil {
		if g.pingInterval = p.Every; h.agent.PingInterval != p.Every {
			h.agent.PingInterval = p.Every
			h.conn.SetSilence(peerlink.Suits(p.Every))
		}
		if h.gen = p.Gen; g.ready != p.Ready {
			if g.ready = p.Ready; g.ready && g.firstReadyAt == 0 {
				g.firstReadyAt = now
			}
			b.stirred()
		}
		g.readyButResting = p.Rests
		if p.Parts > 0 {
			g.quotaParts = p.Parts
		}
		if p.Figures != nil {
			g.figures, g.figuresAt = p.Figures, now
		}
		if p.Asked != nil {
			g.requestCounts, g.requestCountsAt = p.Asked, now
		}
		if p.Heads != nil {
			g.hostCounts, g.hostCountsAt = p.Heads[:min(len(p.Heads), homing.MostHosts)], now
		}
		h.packs, h.agent.Held, h.agent.IsUpstream = p.Packs, delivery.Version{Gen: p.Held, Checksum: p.Sum}, p.Upstream
		b.deliver(h)
		b.upstream(h, p.Upstream) // ahead of the Pong, which tells how old the list is that was sent
		pong := b.pong(p, now)
		pong.Want, pong.Asks, pong.Wanted = now < b.ops.wants, now < b.ops.asks, b.healthJudge.wanted(h)
		_ = h.conn.Send(&peerlink.Frame{Pong: pong})
	}
	if f.Report != nil && h.upstream {
		b.report(h, f.Report)
	}
	if a := f.Ack; a != nil {
		h.ack, h.gen = max(h.ack, a.No), a.Gen
	}
	if f.Leaving != nil {
		if g.leftAt = max(now, 1); *f.Leaving != peerlink.Gone {
			g.grace = b.liveSettings.Load().Terms.Bounds.Grace
		} else {
			g.grace = 0
		}
		g.quotaReleased = g.quotaReleased || *f.Leaving == peerlink.Given
		b.log.Info("proxy leaves", "name", h.name, "why", *f.Leaving)
		b.stirred()
	}
}

// pong tells how fresh what a proxy has in force is, and whether this replica is in
// touch with a majority; the mutex is held.
func (b *Replica) pong(p *peerlink.Ping, now time.Duration) *peerlink.Pong {
	pong := &peerlink.Pong{Sent: p.Sent, InTouch: b.majorityContact.IsKnown, List: b.newestReading.tell(now)}
	if pong.List != nil {
		pong.List.Pages = 0 // agents don't read the list
	}
	if b.majorityContact.IsKnown {
		pong.TouchAge = now - b.majorityContact.At
	}
	if at := b.configurationHistory.Confirmed(inForce(p), b.decidedConfirmed); at.IsKnown {
		pong.Fresh, pong.Age = true, now-at.At
	}
	return pong
}

// inForce is what a ping says that a proxy has in force. The text's sum is that of
// what the agent holds: where that is another configuration, it fits none and nothing
// is confirmed.
func inForce(p *peerlink.Ping) delivery.Version { return delivery.Version{Gen: p.Gen, Checksum: p.Sum} }

// deliver sends an agent the configuration in force where that is due; the mutex is
// held.
func (b *Replica) deliver(h *agent) {
	if b.configuration != nil && b.configurationHistory.ShouldSend(&h.agent, b.now()) {
		h.agent.Sent = b.configurationHistory.Current()
		h.change(&peerlink.Change{Configuration: b.configuration})
	}
}

// stirred notes that the census may have changed; the mutex may be held.
func (b *Replica) stirred() {
	select {
	case b.censusChanged <- struct{}{}:
	default:
	}
}

// watch tells the agents whenever the census has changed.
func (b *Replica) watch(ctx context.Context) {
	t := b.world.NewTimer(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C():
		case <-b.censusChanged:
		case <-ctx.Done():
			return
		}
		next := lookEvery
		b.mu.Lock()
		for h := range b.agents {
			b.deliver(h)
			b.logAgentLag(h)
		}
		b.logContactLoss()
		if b.recount(); b.sentCensus != b.census {
			if wait := b.owed(); wait > 0 {
				next = min(next, wait)
			} else {
				b.tellCensus()
			}
		}
		b.mu.Unlock()
		if !b.sleep(ctx, stirEvery) {
			return
		}
		t.Reset(next)
	}
}

// Standing is a proxy's state as its agent acknowledges it.
type Standing struct {
	Name   string
	Gen    uint64 // the version in force
	Behind uint64 // changes sent and not acknowledged
}

// Standing tells what is in force where.
func (b *Replica) Standing() []Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]Standing{}
	for h := range b.agents {
		all[h.name] = Standing{h.name, h.gen, h.no - h.ack}
	}
	var list []Standing
	for _, n := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[n])
	}
	return list
}
