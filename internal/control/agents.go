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
type agentConn struct {
	conn            *peerlink.Conn
	name            string
	incarnation     int64
	lastSentNumber  uint64 // of the last change that was sent
	lastAckedNumber uint64 // of the last change that the agent acknowledged as in force at its proxy
	versionInForce  uint64 // number of the configuration in force at its proxy
	follows         bool   // the agent wants the server list and the census from this replica
	acceptsPacked   bool   // the agent can unpack compressed lists

	delivery    delivery.Agent // decides when the configuration is sent
	lagLoggedAt time.Duration  // when its lag was last logged; 0: never

	sentList   *peerlink.Servers // as sent last, shared with other connections; nil: none was sent
	sentCensus *peerlink.Census  // likewise

	sentVerdicts     *serverhealth.Verdicts // as sent last; nil: none were sent
	connectionNumber uint64                 // unique among this replica's agent connections
}

// sendChange numbers a change and sends it; the replica's mutex is held.
func (a *agentConn) sendChange(change *peerlink.Change) {
	a.lastSentNumber++
	change.No = a.lastSentNumber
	if a.acceptsPacked {
		change = change.Pack() // many agents on slow links get the same change
	}
	_ = a.conn.Send(&peerlink.Frame{Change: change})
}

// serveAgent runs a session with an agent until its connection ends.
func (b *Replica) serveAgent(ctx context.Context, conn *peerlink.Conn, hello *peerlink.Hello) error {
	agent := &agentConn{conn: conn, name: hello.Name, incarnation: hello.Life, delivery: delivery.Agent{ConnectedAt: b.now()}}
	b.mu.Lock()
	b.agents[agent] = true
	agent.connectionNumber = b.healthJudge.nextConnectionNumber()
	b.registerProxy(*hello)
	agent.sendChange(&peerlink.Change{Zones: b.ordersFor(agent.name)}) // the configuration follows if the agent's first Ping shows that it lacks it
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.agents, agent)
		if known := b.proxies.proxies[agent.name]; known != nil && known.hello.Life == agent.incarnation && !b.isAgentConnected(agent.name) {
			known.connected, known.ready = false, false
			b.signalCensusChange()
		}
	}()
	for {
		frame, err := conn.Receive()
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.handleAgentFrame(agent, frame)
		b.mu.Unlock()
	}
}

// isAgentConnected reports whether an agent of this name is connected; the mutex is held.
func (b *Replica) isAgentConnected(name string) bool {
	for agent := range b.agents {
		if agent.name == name {
			return true
		}
	}
	return false
}

// registerProxy records a proxy from its agent's Hello, unless a later incarnation is known; the mutex is held.
func (b *Replica) registerProxy(hello peerlink.Hello) {
	if old := b.proxies.proxies[hello.Name]; old != nil && old.hello.Life > hello.Life {
		return
	}
	if _, isNew := b.proxies.noteConnected(hello, b.now()); isNew {
		b.store.SaveCensus(b.proxies.names())
	}
	b.signalCensusChange()
}

// mergeProxies adds proxies that another replica knows; the mutex is held.
func (b *Replica) mergeProxies(members []peerlink.Member) {
	isNew := false
	for _, member := range members {
		isNew = b.proxies.addKnown(member, b.now()) || isNew
	}
	if isNew {
		b.store.SaveCensus(b.proxies.names())
		b.signalCensusChange()
	}
}

// handleAgentFrame processes a frame from an agent; the mutex is held.
func (b *Replica) handleAgentFrame(agent *agentConn, frame *peerlink.Frame) {
	now := b.now()
	if frame.Hello != nil && frame.Hello.Name == agent.name {
		agent.incarnation = frame.Hello.Life
		b.registerProxy(*frame.Hello)
	}
	proxy := b.proxies.proxies[agent.name]
	if proxy == nil || proxy.hello.Life != agent.incarnation {
		return // the connection of an earlier incarnation
	}
	if !proxy.isAlive(now) {
		b.signalCensusChange()
	}
	proxy.lastHeard = now
	if ping := frame.Ping; ping != nil {
		if proxy.pingInterval = ping.Every; agent.delivery.PingInterval != ping.Every {
			agent.delivery.PingInterval = ping.Every
			agent.conn.SetSilence(peerlink.Suits(ping.Every))
		}
		if agent.versionInForce = ping.Gen; proxy.ready != ping.Ready {
			if proxy.ready = ping.Ready; proxy.ready && proxy.firstReadyAt == 0 {
				proxy.firstReadyAt = now
			}
			b.signalCensusChange()
		}
		proxy.readyButResting = ping.Rests
		if ping.Parts > 0 {
			proxy.quotaDivisor = ping.Parts
		}
		if ping.Figures != nil {
			proxy.figures, proxy.figuresAt = ping.Figures, now
		}
		if ping.Asked != nil {
			proxy.requestCounts, proxy.requestCountsAt = ping.Asked, now
		}
		if ping.Heads != nil {
			proxy.hostCounts, proxy.hostCountsAt = ping.Heads[:min(len(ping.Heads), homing.MaxReportedHosts)], now
		}
		agent.acceptsPacked, agent.delivery.Held, agent.delivery.IsUpstream = ping.Packs, delivery.Version{Gen: ping.Held, Checksum: ping.Sum}, ping.Upstream
		b.deliverConfiguration(agent)
		b.setFollowing(agent, ping.Upstream) // before the Pong, which says how old the sent list is
		pong := b.newPong(ping, now)
		pong.Want, pong.Asks, pong.Wanted = now < b.ops.figuresWantedUntil, now < b.ops.routeCountsWantedUntil, b.healthJudge.evidenceRequestNumber(agent)
		_ = agent.conn.Send(&peerlink.Frame{Pong: pong})
	}
	if frame.Report != nil && agent.follows {
		b.handleProxyReport(agent, frame.Report)
	}
	if ack := frame.Ack; ack != nil {
		agent.lastAckedNumber, agent.versionInForce = max(agent.lastAckedNumber, ack.No), ack.Gen
	}
	if frame.Leaving != nil {
		if proxy.leftAt = max(now, 1); *frame.Leaving != peerlink.Gone {
			proxy.leaveGrace = b.liveSettings.Load().Terms.Bounds.Grace
		} else {
			proxy.leaveGrace = 0
		}
		proxy.quotaReleased = proxy.quotaReleased || *frame.Leaving == peerlink.Given
		b.log.Info("proxy leaves", "name", agent.name, "why", *frame.Leaving)
		b.signalCensusChange()
	}
}

// newPong answers a Ping. It says how long ago the proxy's configuration in force was last confirmed, and whether this
// replica is in touch with a majority. The mutex is held.
func (b *Replica) newPong(ping *peerlink.Ping, now time.Duration) *peerlink.Pong {
	pong := &peerlink.Pong{Sent: ping.Sent, InTouch: b.majorityContact.IsKnown, List: b.latestListRead.message(now)}
	if pong.List != nil {
		pong.List.Pages = 0 // agents don't read the list from the platform
	}
	if b.majorityContact.IsKnown {
		pong.TouchAge = now - b.majorityContact.At
	}
	if at := b.configurationHistory.Confirmed(versionInForceOf(ping), b.decidedConfirmed); at.IsKnown {
		pong.Fresh, pong.Age = true, now-at.At
	}
	return pong
}

// versionInForceOf returns the version that a proxy has in force according to a ping. The ping's checksum is that of the
// configuration that the agent holds. If the proxy has another one in force, number and checksum match no version, and
// nothing is confirmed.
func versionInForceOf(ping *peerlink.Ping) delivery.Version {
	return delivery.Version{Gen: ping.Gen, Checksum: ping.Sum}
}

// deliverConfiguration sends an agent the configuration in force if that is due; the mutex is held.
func (b *Replica) deliverConfiguration(agent *agentConn) {
	if b.configuration != nil && b.configurationHistory.ShouldSend(&agent.delivery, b.now()) {
		agent.delivery.Sent = b.configurationHistory.Current()
		agent.sendChange(&peerlink.Change{Configuration: b.configuration})
	}
}

// signalCensusChange makes runAgentUpdates check the census now; the mutex may be held.
func (b *Replica) signalCensusChange() {
	select {
	case b.censusChanged <- struct{}{}:
	default:
	}
}

// runAgentUpdates sends agents the configuration and census changes that are due, until ctx ends.
func (b *Replica) runAgentUpdates(ctx context.Context) {
	timer := b.world.NewTimer(censusCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C():
		case <-b.censusChanged:
		case <-ctx.Done():
			return
		}
		next := censusCheckInterval
		b.mu.Lock()
		for agent := range b.agents {
			b.deliverConfiguration(agent)
			b.logAgentLag(agent)
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
		timer.Reset(next)
	}
}

// AgentProgress says how far a connected agent has got with the changes that it was sent.
type AgentProgress struct {
	Name   string
	Gen    uint64 // number of the configuration in force at the proxy
	Behind uint64 // number of changes sent and not acknowledged
}

// AgentProgress returns the progress of all connected agents, by name.
func (b *Replica) AgentProgress() []AgentProgress {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[string]AgentProgress{}
	for agent := range b.agents {
		all[agent.name] = AgentProgress{agent.name, agent.versionInForce, agent.lastSentNumber - agent.lastAckedNumber}
	}
	var list []AgentProgress
	for _, name := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[name])
	}
	return list
}
