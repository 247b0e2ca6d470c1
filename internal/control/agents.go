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

// agentConn is an open connection to an agent. The replica's mutex guards it.
type agent struct {
	conn     *peerlink.Conn
	name     string
	life     int64
	no       uint64 // of the last change that was sent
	ack      uint64 // of the last change that the agent acknowledged as in force at its proxy
	gen      uint64 // number of the configuration in force at its proxy
	upstream bool   // the agent wants the server list and the census from this replica
	packs    bool   // the agent can unpack compressed lists

	agent    delivery.Agent // decides when the configuration is sent
	reported time.Duration  // when its lag was last logged; 0: never

	list   *peerlink.Servers // as sent last, shared with other connections; nil: none was sent
	census *peerlink.Census  // likewise

	verdicts *serverhealth.Verdicts // as sent last; nil: none were sent
	seat     uint64                 // unique among this replica's agent connections
}

// sendChange numbers a change and sends it; the replica's mutex is held.
func (a *agent) change(change *peerlink.Change) {
	a.no++
	change.No = a.no
	if a.packs {
		change = change.Pack() // many agents on slow links get the same change
	}
	_ = a.conn.Send(&peerlink.Frame{Change: change})
}

// serveAgent runs a session with an agent until its connection ends.
func (b *Replica) attend(ctx context.Context, conn *peerlink.Conn, hello *peerlink.Hello) error {
	agent := &agent{conn: conn, name: hello.Name, life: hello.Life, agent: delivery.Agent{ConnectedAt: b.now()}}
	b.mu.Lock()
	b.agents[agent] = true
	agent.seat = b.healthJudge.seat()
	b.arrive(*hello)
	agent.change(&peerlink.Change{Zones: b.ordersFor(agent.name)}) // the configuration follows if the agent's first Ping shows that it lacks it
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.agents, agent)
		if known := b.proxies.proxies[agent.name]; known != nil && known.hello.Life == agent.life && !b.attended(agent.name) {
			known.connected, known.ready = false, false
			b.stirred()
		}
	}()
	for {
		frame, err := conn.Receive()
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.hear(agent, frame)
		b.mu.Unlock()
	}
}

// isAgentConnected reports whether an agent of this name is connected; the mutex is held.
func (b *Replica) attended(name string) bool {
	for agent := range b.agents {
		if agent.name == name {
			return true
		}
	}
	return false
}

// registerProxy records a proxy from its agent's Hello, unless a later incarnation is known; the mutex is held.
func (b *Replica) arrive(hello peerlink.Hello) {
	if old := b.proxies.proxies[hello.Name]; old != nil && old.hello.Life > hello.Life {
		return
	}
	if _, isNew := b.proxies.noteConnected(hello, b.now()); isNew {
		b.store.SaveCensus(b.proxies.names())
	}
	b.stirred()
}

// mergeProxies adds proxies that another replica knows; the mutex is held.
func (b *Replica) meet(members []peerlink.Member) {
	isNew := false
	for _, member := range members {
		isNew = b.proxies.addKnown(member, b.now()) || isNew
	}
	if isNew {
		b.store.SaveCensus(b.proxies.names())
		b.stirred()
	}
}

// handleAgentFrame processes a frame from an agent; the mutex is held.
func (b *Replica) hear(agent *agent, frame *peerlink.Frame) {
	now := b.now()
	if frame.Hello != nil && frame.Hello.Name == agent.name {
		agent.life = frame.Hello.Life
		b.arrive(*frame.Hello)
	}
	proxy := b.proxies.proxies[agent.name]
	if proxy == nil || proxy.hello.Life != agent.life {
		return // the connection of an earlier incarnation
	}
	if !proxy.isAlive(now) {
		b.stirred()
	}
	proxy.lastHeard = now
	if ping := frame.Ping; ping != nil {
		if proxy.pingInterval = ping.Every; agent.agent.PingInterval != ping.Every {
			agent.agent.PingInterval = ping.Every
			agent.conn.SetSilence(peerlink.Suits(ping.Every))
		}
		if agent.gen = ping.Gen; proxy.ready != ping.Ready {
			if proxy.ready = ping.Ready; proxy.ready && proxy.firstReadyAt == 0 {
				proxy.firstReadyAt = now
			}
			b.stirred()
		}
		proxy.readyButResting = ping.Rests
		if ping.Parts > 0 {
			proxy.quotaParts = ping.Parts
		}
		if ping.Figures != nil {
			proxy.figures, proxy.figuresAt = ping.Figures, now
		}
		if ping.Asked != nil {
			proxy.requestCounts, proxy.requestCountsAt = ping.Asked, now
		}
		if ping.Heads != nil {
			proxy.hostCounts, proxy.hostCountsAt = ping.Heads[:min(len(ping.Heads), homing.MostHosts)], now
		}
		agent.packs, agent.agent.Held, agent.agent.IsUpstream = ping.Packs, delivery.Version{Gen: ping.Held, Checksum: ping.Sum}, ping.Upstream
		b.deliver(agent)
		b.upstream(agent, ping.Upstream) // before the Pong, which says how old the sent list is
		pong := b.pong(ping, now)
		pong.Want, pong.Asks, pong.Wanted = now < b.ops.wants, now < b.ops.asks, b.healthJudge.wanted(agent)
		_ = agent.conn.Send(&peerlink.Frame{Pong: pong})
	}
	if frame.Report != nil && agent.upstream {
		b.report(agent, frame.Report)
	}
	if ack := frame.Ack; ack != nil {
		agent.ack, agent.gen = max(agent.ack, ack.No), ack.Gen
	}
	if frame.Leaving != nil {
		if proxy.leftAt = max(now, 1); *frame.Leaving != peerlink.Gone {
			proxy.grace = b.liveSettings.Load().Terms.Bounds.Grace
		} else {
			proxy.grace = 0
		}
		proxy.quotaReleased = proxy.quotaReleased || *frame.Leaving == peerlink.Given
		b.log.Info("proxy leaves", "name", agent.name, "why", *frame.Leaving)
		b.stirred()
	}
}

// newPong answers a Ping. It says how recently what the proxy has in force was confirmed, and whether this replica is in
// touch with a majority. The mutex is held.
func (b *Replica) pong(ping *peerlink.Ping, now time.Duration) *peerlink.Pong {
	pong := &peerlink.Pong{Sent: ping.Sent, InTouch: b.majorityContact.IsKnown, List: b.newestReading.tell(now)}
	if pong.List != nil {
		pong.List.Pages = 0 // agents don't read the list from the platform
	}
	if b.majorityContact.IsKnown {
		pong.TouchAge = now - b.majorityContact.At
	}
	if at := b.configurationHistory.Confirmed(inForce(ping), b.decidedConfirmed); at.IsKnown {
		pong.Fresh, pong.Age = true, now-at.At
	}
	return pong
}

// versionInForceOf returns the version that a proxy has in force according to a ping. The ping's checksum is that of the
// configuration that the agent holds. If the proxy has another one in force, number and checksum match no version, and
// nothing is confirmed.
func inForce(ping *peerlink.Ping) delivery.Version {
	return delivery.Version{Gen: ping.Gen, Checksum: ping.Sum}
}

// deliverConfiguration sends an agent the configuration in force if that is due; the mutex is held.
func (b *Replica) deliver(agent *agent) {
	if b.configuration != nil && b.configurationHistory.ShouldSend(&agent.agent, b.now()) {
		agent.agent.Sent = b.configurationHistory.Current()
		agent.change(&peerlink.Change{Configuration: b.configuration})
	}
}

// signalCensusChange makes runAgentUpdates check the census now; the mutex may be held.
func (b *Replica) stirred() {
	select {
	case b.censusChanged <- struct{}{}:
	default:
	}
}

// runAgentUpdates sends agents the configuration and census changes that are due, until ctx ends.
func (b *Replica) watch(ctx context.Context) {
	timer := b.world.NewTimer(lookEvery)
	defer timer.Stop()
	for {
		select {
		case <-timer.C():
		case <-b.censusChanged:
		case <-ctx.Done():
			return
		}
		next := lookEvery
		b.mu.Lock()
		for agent := range b.agents {
			b.deliver(agent)
			b.logAgentLag(agent)
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
		timer.Reset(next)
	}
}

// AgentProgress says how far a connected agent has got with the changes that it was sent.
type Standing struct {
	Name   string
	Gen    uint64 // number of the configuration in force at the proxy
	Behind uint64 // number of changes sent and not acknowledged
}

// AgentProgress returns the progress of all connected agents, by name.
func (b *Replica) Standing() []Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]Standing{}
	for agent := range b.agents {
		all[agent.name] = Standing{agent.name, agent.gen, agent.no - agent.ack}
	}
	var list []Standing
	for _, name := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[name])
	}
	return list
}
