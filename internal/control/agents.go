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
type agentConn struct {
	conn            *peerlink.Conn
	name            string
	incarnation     int64
	lastSentNumber  uint64 // of the last change sent
	lastAckedNumber uint64 // of the last change that is in force at its proxy
	versionInForce  uint64 // the version in force there
	follows         bool   // it wants servers and census from here
	acceptsPacked   bool   // it can unpack lists

	delivery    delivery.Agent // what decides when it is told the configuration
	lagLoggedAt time.Duration  // when it was logged last that it stays behind; 0: it was not

	sentServers *peerlink.Servers // as told last; nil: not told. Shared with others
	sentCensus  *peerlink.Census  // the same

	sentVerdicts     *serverhealth.Verdicts // as told last; nil: not told
	connectionNumber uint64                 // tells this connection from others
}

// sendChange sends numbered news; the replica's mutex is held.
func (h *agentConn) sendChange(c *peerlink.Change) {
	h.lastSentNumber++
	c.No = h.lastSentNumber
	if h.acceptsPacked {
		c = c.Pack() // many agents on narrow lines are told the same
	}
	_ = h.conn.Send(&peerlink.Frame{Change: c})
}

// serveAgent runs a session with an agent.
func (b *Replica) serveAgent(ctx context.Context, c *peerlink.Conn, hello *peerlink.Hello) error {
	h := &agentConn{conn: c, name: hello.Name, incarnation: hello.Life, delivery: delivery.Agent{ConnectedAt: b.now()}}
	b.mu.Lock()
	b.agents[h] = true
	h.connectionNumber = b.healthJudge.nextConnectionNumber()
	b.registerProxy(*hello)
	h.sendChange(&peerlink.Change{Zones: b.ordersFor(h.name)}) // its first Ping tells whether it lacks the configuration
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.agents, h)
		if g := b.proxies.proxies[h.name]; g != nil && g.hello.Life == h.incarnation && !b.isAgentConnected(h.name) {
			g.connected, g.ready = false, false
			b.signalCensusChange()
		}
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.handleAgentFrame(h, f)
		b.mu.Unlock()
	}
}

func (b *Replica) isAgentConnected(name string) bool {
	for h := range b.agents {
		if h.name == name {
			return true
		}
	}
	return false
}

// registerProxy notes a proxy by its agent's word; the mutex is held.
func (b *Replica) registerProxy(h peerlink.Hello) {
	if old := b.proxies.proxies[h.Name]; old != nil && old.hello.Life > h.Life {
		return
	}
	if _, isNew := b.proxies.noteConnected(h, b.now()); isNew {
		b.store.SaveCensus(b.proxies.names())
	}
	b.signalCensusChange()
}

// mergeProxies notes proxies that another replica knows; the mutex is held.
func (b *Replica) mergeProxies(all []peerlink.Member) {
	isNew := false
	for _, m := range all {
		isNew = b.proxies.addKnown(m, b.now()) || isNew
	}
	if isNew {
		b.store.SaveCensus(b.proxies.names())
		b.signalCensusChange()
	}
}

// handleAgentFrame takes in what an agent says; the mutex is held.
func (b *Replica) handleAgentFrame(h *agentConn, f *peerlink.Frame) {
	now := b.now()
	if f.Hello != nil && f.Hello.Name == h.name {
		h.incarnation = f.Hello.Life
		b.registerProxy(*f.Hello)
	}
	g := b.proxies.proxies[h.name]
	if g == nil || g.hello.Life != h.incarnation {
		return // an earlier life's connection
	}
	if !g.isAlive(now) {
		b.signalCensusChange()
	}
	g.lastHeard = now
	if p := f.Ping; p != nil {
		if g.pingInterval = p.Every; h.delivery.PingInterval != p.Every {
			h.delivery.PingInterval = p.Every
			h.conn.SetSilence(peerlink.Suits(p.Every))
		}
		if h.versionInForce = p.Gen; g.ready != p.Ready {
			if g.ready = p.Ready; g.ready && g.firstReadyAt == 0 {
				g.firstReadyAt = now
			}
			b.signalCensusChange()
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
		h.acceptsPacked, h.delivery.Held, h.delivery.IsUpstream = p.Packs, delivery.Version{Gen: p.Held, Checksum: p.Sum}, p.Upstream
		b.deliverConfiguration(h)
		b.setFollowing(h, p.Upstream) // ahead of the Pong, which tells how old the list is that was sent
		pong := b.newPong(p, now)
		pong.Want, pong.Asks, pong.Wanted = now < b.ops.figuresWantedUntil, now < b.ops.routeCountsWantedUntil, b.healthJudge.evidenceNumber(h)
		_ = h.conn.Send(&peerlink.Frame{Pong: pong})
	}
	if f.Report != nil && h.follows {
		b.handleProxyReport(h, f.Report)
	}
	if a := f.Ack; a != nil {
		h.lastAckedNumber, h.versionInForce = max(h.lastAckedNumber, a.No), a.Gen
	}
	if f.Leaving != nil {
		if g.leftAt = max(now, 1); *f.Leaving != peerlink.Gone {
			g.grace = b.liveSettings.Load().Terms.Bounds.Grace
		} else {
			g.grace = 0
		}
		g.quotaReleased = g.quotaReleased || *f.Leaving == peerlink.Given
		b.log.Info("proxy leaves", "name", h.name, "why", *f.Leaving)
		b.signalCensusChange()
	}
}

// newPong tells how fresh what a proxy has in force is, and whether this replica is in
// touch with a majority; the mutex is held.
func (b *Replica) newPong(p *peerlink.Ping, now time.Duration) *peerlink.Pong {
	pong := &peerlink.Pong{Sent: p.Sent, InTouch: b.majorityContact.IsKnown, List: b.newestReading.message(now)}
	if pong.List != nil {
		pong.List.Pages = 0 // agents don't read the list
	}
	if b.majorityContact.IsKnown {
		pong.TouchAge = now - b.majorityContact.At
	}
	if at := b.configurationHistory.Confirmed(versionInForceOf(p), b.decidedConfirmed); at.IsKnown {
		pong.Fresh, pong.Age = true, now-at.At
	}
	return pong
}

// versionInForceOf is what a ping says that a proxy has in force. The text's sum is that of
// what the agent holds: where that is another configuration, it fits none and nothing
// is confirmed.
func versionInForceOf(p *peerlink.Ping) delivery.Version {
	return delivery.Version{Gen: p.Gen, Checksum: p.Sum}
}

// deliverConfiguration sends an agent the configuration in force where that is due; the mutex is
// held.
func (b *Replica) deliverConfiguration(h *agentConn) {
	if b.configuration != nil && b.configurationHistory.ShouldSend(&h.delivery, b.now()) {
		h.delivery.Sent = b.configurationHistory.Current()
		h.sendChange(&peerlink.Change{Configuration: b.configuration})
	}
}

// signalCensusChange notes that the census may have changed; the mutex may be held.
func (b *Replica) signalCensusChange() {
	select {
	case b.censusChanged <- struct{}{}:
	default:
	}
}

// runAgentUpdates tells the agents whenever the census has changed.
func (b *Replica) runAgentUpdates(ctx context.Context) {
	t := b.world.NewTimer(censusCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C():
		case <-b.censusChanged:
		case <-ctx.Done():
			return
		}
		next := censusCheckInterval
		b.mu.Lock()
		for h := range b.agents {
			b.deliverConfiguration(h)
			b.logAgentLag(h)
		}
		b.logContactLoss()
		if b.updateCensus(); b.sentCensus != b.census {
			if wait := b.censusDelay(); wait > 0 {
				next = min(next, wait)
			} else {
				b.sendCensusToFollowers()
			}
		}
		b.mu.Unlock()
		if !b.sleep(ctx, minCensusInterval) {
			return
		}
		t.Reset(next)
	}
}

// AgentProgress is a proxy's state as its agent acknowledges it.
type AgentProgress struct {
	Name   string
	Gen    uint64 // the version in force
	Behind uint64 // changes sent and not acknowledged
}

// AgentProgress tells what is in force where.
func (b *Replica) AgentProgress() []AgentProgress {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]AgentProgress{}
	for h := range b.agents {
		all[h.name] = AgentProgress{h.name, h.versionInForce, h.lastSentNumber - h.lastAckedNumber}
	}
	var list []AgentProgress
	for _, n := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[n])
	}
	return list
}
