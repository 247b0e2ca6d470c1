package agent

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// maxUnacknowledged limits the changes that await the proxy's acknowledgement. The oldest are
// dropped first: a later acknowledgement covers them too.
const maxUnacknowledged = 1024

// hostTrafficInterval is the time between two reports of requests by host to one replica.
const hostTrafficInterval = 4 * time.Second

// changeRevision records the state revision that contains the change with this sequence number.
type changeRevision struct{ sequence, revision uint64 }

// appendRevision appends m, or replaces the last entry if that has the same revision.
func appendRevision(all []changeRevision, m changeRevision) []changeRevision {
	if n := len(all); n > 0 && all[n-1].revision == m.revision {
		all[n-1] = m
		return all
	}
	if len(all) >= maxUnacknowledged {
		all = slices.Delete(all, 0, 1)
	}
	return append(all, m)
}

// replica is a control replica that the agent stays connected to. The agent's mutex guards all fields.
type replica struct {
	addr               string
	cancel             context.CancelFunc
	conn               *peerlink.Conn   // nil: not connected
	sentHello          peerlink.Hello   // the last Hello sent to it
	lastConnected      time.Duration    // when it was last connected, or first known
	unacknowledged     []changeRevision // its changes that the agent has not acknowledged
	hasSentChange      bool             // on this connection
	pingInterval       time.Duration    // as last sent to it
	wantsStats         bool             // as requested in its last Pong
	wantsRequestCounts bool             // as requested in its last Pong
	sentRequestCounts  *peerlink.Asked  // as last sent to it
	wantedEvidence     uint64           // number of the evidence on servers requested in its last Pong; 0: none
	hostTrafficSentAt  time.Duration    // when requests by host were last sent to it; 0: not on this connection

	servers *peerlink.Servers // received on this connection; the base of the next delta
	census  *peerlink.Census

	verdicts *serverhealth.Verdicts
}

func (b *replica) send(f *peerlink.Frame) {
	if b.conn != nil {
		_ = b.conn.Send(f) // when a send fails, the connection ends and its receive loop returns the error
	}
}

// maintainReplicas dials every known replica and drops those that have disappeared.
// The caller holds the mutex.
func (a *Agent) maintainReplicas() {
	if a.ctx.Err() != nil {
		return
	}
	now := a.now()
	for _, addr := range slices.Concat(a.seeds, a.state.ReplicaAddresses()) {
		if a.replicas[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(a.ctx)
		b := &replica{addr: addr, cancel: cancel, lastConnected: now}
		a.replicas[addr] = b
		d := &peerlink.Dialer{Net: a.w, Log: a.log, Mine: func() peerlink.Hello {
			a.mu.Lock()
			defer a.mu.Unlock()
			b.sentHello = a.buildHello()
			return b.sentHello
		}}
		a.sessions.Go(func() {
			d.Keep(ctx, addr, func(ctx context.Context, c *peerlink.Conn, o *peerlink.Hello) error {
				return a.runReplicaSession(ctx, b, c, o)
			})
		})
	}
	for addr, b := range a.replicas {
		if b.conn == nil && now-b.lastConnected >= dropReplicaAfter && !slices.Contains(a.seeds, addr) && !a.state.IsListed(addr) {
			a.log.Info("dropping unreachable replica", "address", addr)
			b.cancel()
			delete(a.replicas, addr)
		}
	}
}

// runReplicaSession runs a connection to a replica until it fails.
func (a *Agent) runReplicaSession(ctx context.Context, b *replica, c *peerlink.Conn, o *peerlink.Hello) error {
	if o.Role != peerlink.Replica {
		return errors.Errorf("agent: %s at %s has role %q instead of replica", o.Name, b.addr, o.Role)
	}
	a.mu.Lock()
	b.conn, b.unacknowledged, b.hasSentChange, b.pingInterval, b.wantsStats, b.wantedEvidence, b.servers, b.census, b.verdicts = c, nil, false, 0, false, 0, nil, nil, nil
	b.wantsRequestCounts, b.sentRequestCounts, b.hostTrafficSentAt = false, nil, 0
	if a.leaveReason != "" {
		b.send(&peerlink.Frame{Leaving: &a.leaveReason})
	}
	if a.proxy != nil && a.proxy.leaveReason != nil {
		b.send(&peerlink.Frame{Leaving: a.proxy.leaveReason})
	}
	a.sendChangedHello(b)
	a.upstream.AddReplica(b.addr, o, a.now())
	if !a.chooseUpstream() {
		a.pingOne(b)
	}
	a.mu.Unlock()
	a.log.Info("replica connected", "address", b.addr, "name", o.Name)
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		b.conn, b.wantedEvidence, b.lastConnected = nil, 0, a.now()
		a.upstream.RemoveReplica(b.addr)
		a.chooseUpstream()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		a.mu.Lock()
		if ctx.Err() == nil {
			err = a.handleReplicaFrame(b, f)
		}
		a.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// handleReplicaFrame processes a message from a replica. The caller holds the mutex.
func (a *Agent) handleReplicaFrame(b *replica, f *peerlink.Frame) error {
	now := a.now()
	a.upstream.HandleFrame(b.addr, f, now)
	if f.Leaving != nil {
		a.log.Info("replica is leaving", "address", b.addr, "why", *f.Leaving)
	}
	if c := f.Change; c != nil {
		b.hasSentChange = true
		if err := b.expandDeltas(c); err != nil {
			return err
		}
		if p := a.state.Merge(b.addr, c, now); p != 0 {
			a.queueUpdate(p)
			if p&PartCensus != 0 {
				a.maintainReplicas()
			}
		}
		b.unacknowledged = appendRevision(b.unacknowledged, changeRevision{c.No, a.revision})
		a.acknowledge(b)
	}
	if f.Pong != nil {
		if b.wantsStats, b.wantsRequestCounts, b.wantedEvidence = f.Pong.Want, f.Pong.Asks, f.Pong.Wanted; !b.wantsRequestCounts {
			b.sentRequestCounts = nil // a replica that asks again gets the complete counts
		}
	}
	if f.Pong != nil && b.addr == a.upstream.Chosen() {
		a.serverListAge.addPong(f.Pong)
	}
	if f.Pong != nil && b.hasSentChange { // the Pong confirms the changes sent before it
		a.freshness.AddPong(f.Pong, now)
	}
	if f.Pong != nil || f.Leaving != nil {
		a.chooseUpstream()
	}
	return nil
}

// expandDeltas replaces the deltas in a change by complete values. A delta without a base ends
// the connection, since a new connection begins with complete values.
func (b *replica) expandDeltas(c *peerlink.Change) error {
	if c.Servers != nil {
		if c.Servers = c.Servers.Onto(b.servers); c.Servers == nil {
			return errors.New("agent: received a server list delta without its base")
		}
		b.servers = c.Servers
	}
	if c.Census != nil {
		if c.Census = c.Census.Onto(b.census); c.Census == nil {
			return errors.New("agent: received a census delta without its base")
		}
		b.census = c.Census
	}
	if c.Verdicts != nil {
		if c.Verdicts = c.Verdicts.ApplyTo(b.verdicts); c.Verdicts == nil {
			return errors.New("agent: received a verdicts delta without its base")
		}
		b.verdicts = c.Verdicts
	}
	return nil
}

// chooseUpstream selects the upstream replica again, reports whether it changed, and if so
// pings all replicas. The caller holds the mutex.
func (a *Agent) chooseUpstream() bool {
	previous := a.upstream.Chosen()
	chosen := a.upstream.Choose(a.now())
	if chosen == previous {
		return false
	}
	a.log.V(1).Info("upstream", "address", chosen, "before", previous)
	a.state.SetUpstream(chosen)
	a.serverListAge.restart(a.now())
	a.pingAll()
	return true
}

// acknowledge tells a replica which of its changes are in force at the proxy. The
// caller holds the mutex.
func (a *Agent) acknowledge(b *replica) {
	if a.proxy == nil {
		return
	}
	n := 0
	for n < len(b.unacknowledged) && b.unacknowledged[n].revision <= a.proxy.activeRevision {
		n++
	}
	if n == 0 {
		return
	}
	b.send(&peerlink.Frame{Ack: &peerlink.Ack{No: b.unacknowledged[n-1].sequence, Gen: a.proxy.activeGeneration}})
	b.unacknowledged = slices.Delete(b.unacknowledged, 0, n)
}

// sendChangedHello sends a replica the agent's Hello if it differs from the last one sent.
func (a *Agent) sendChangedHello(b *replica) {
	if x := a.buildHello(); b.conn != nil && b.sentHello != x {
		b.sentHello = x
		b.send(&peerlink.Frame{Hello: &x})
	}
}

// pingAll pings all replicas; a ping also reports the proxy's state. The caller holds the mutex.
func (a *Agent) pingAll() {
	for _, b := range a.replicas {
		a.pingOne(b)
	}
}

func (a *Agent) pingOne(b *replica) {
	p := &peerlink.Ping{Sent: a.now(), Upstream: b.addr == a.upstream.Chosen(), Every: a.upstream.PingInterval(b.addr), Packs: true}
	p.Held, p.Sum = a.state.HeldConfiguration()
	if a.proxy != nil {
		p.Ready, p.Gen, p.Rests, p.Parts = a.proxy.ready, a.proxy.activeGeneration, a.proxy.resting, a.proxy.quotaDivisor
		if b.wantsStats {
			p.Figures = a.proxy.trafficStats
		}
		if b.wantsRequestCounts && b.sentRequestCounts != a.proxy.requestCounts {
			b.sentRequestCounts = a.proxy.requestCounts
			p.Asked = b.sentRequestCounts
		}
		if len(a.proxy.hostTraffic) > 0 && (b.hostTrafficSentAt == 0 || p.Sent-b.hostTrafficSentAt >= hostTrafficInterval) {
			p.Heads, b.hostTrafficSentAt = a.proxy.hostTraffic, max(p.Sent, 1)
		}
	}
	if b.conn != nil && b.pingInterval != p.Every {
		b.pingInterval = p.Every
		b.conn.SetSilence(peerlink.Suits(p.Every))
	}
	b.send(&peerlink.Frame{Ping: p})
}
