package agent

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// maxUnacknowledged bounds what waits for the proxy. The oldest go first: a later
// acknowledgement holds for them too.
const maxUnacknowledged = 1024

// hostTrafficInterval is the time between two tellings of requests by host to one replica.
const hostTrafficInterval = 4 * time.Second

// changeRevision says that what came or went with a number is in the state since a revision.
type changeRevision struct{ sequence, revision uint64 }

// appendRevision appends a mark, over the last one where only the number has risen.
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

// replica is one that the agent holds on to; all under the agent's mutex.
type replica struct {
	addr               string
	cancel             context.CancelFunc
	conn               *peerlink.Conn   // nil: not connected
	sentHello          peerlink.Hello   // by us
	lastConnected      time.Duration    // when it was last connected, or first known
	unacknowledged     []changeRevision // its changes that are not acknowledged
	hasSentChange      bool             // it has sent a change on this connection
	pingInterval       time.Duration    // as told last
	wantsStats         bool             // figures, as it said last
	wantsRequestCounts bool             // and what was asked for
	sentRequestCounts  *peerlink.Asked  // as told last
	wantedEvidence     uint64           // evidence on servers, as it said last; 0: none
	hostTrafficSentAt  time.Duration    // when it was last told of requests by host; 0: not on this connection

	servers *peerlink.Servers // as told on this connection
	census  *peerlink.Census

	verdicts *serverhealth.Verdicts
}

func (b *replica) send(f *peerlink.Frame) {
	if b.conn != nil {
		_ = b.conn.Send(f) // a connection that fails ends, and its reader sees that
	}
}

// maintainReplicas dials every replica that is known and leaves those that are gone for good;
// the mutex is held.
func (h *Agent) maintainReplicas() {
	if h.ctx.Err() != nil {
		return
	}
	now := h.now()
	for _, addr := range slices.Concat(h.seeds, h.state.ReplicaAddresses()) {
		if h.replicas[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		b := &replica{addr: addr, cancel: cancel, lastConnected: now}
		h.replicas[addr] = b
		d := &peerlink.Dialer{Net: h.w, Log: h.log, Mine: func() peerlink.Hello {
			h.mu.Lock()
			defer h.mu.Unlock()
			b.sentHello = h.buildHello()
			return b.sentHello
		}}
		h.sessions.Go(func() {
			d.Keep(ctx, addr, func(ctx context.Context, c *peerlink.Conn, o *peerlink.Hello) error {
				return h.runReplicaSession(ctx, b, c, o)
			})
		})
	}
	for addr, b := range h.replicas {
		if b.conn == nil && now-b.lastConnected >= dropReplicaAfter && !slices.Contains(h.seeds, addr) && !h.state.IsListed(addr) {
			h.log.Info("replica given up", "address", addr)
			b.cancel()
			delete(h.replicas, addr)
		}
	}
}

// runReplicaSession runs a session with a replica.
func (h *Agent) runReplicaSession(ctx context.Context, b *replica, c *peerlink.Conn, o *peerlink.Hello) error {
	if o.Role != peerlink.Replica {
		return errors.Errorf("agent: %s at %s is no replica but %q", o.Name, b.addr, o.Role)
	}
	h.mu.Lock()
	b.conn, b.unacknowledged, b.hasSentChange, b.pingInterval, b.wantsStats, b.wantedEvidence, b.servers, b.census, b.verdicts = c, nil, false, 0, false, 0, nil, nil, nil
	b.wantsRequestCounts, b.sentRequestCounts, b.hostTrafficSentAt = false, nil, 0
	if h.leaveReason != "" {
		b.send(&peerlink.Frame{Leaving: &h.leaveReason})
	}
	if h.proxy != nil && h.proxy.leaveReason != nil {
		b.send(&peerlink.Frame{Leaving: h.proxy.leaveReason})
	}
	h.sendChangedHello(b)
	h.upstream.AddReplica(b.addr, o, h.now())
	if !h.chooseUpstream() {
		h.pingOne(b)
	}
	h.mu.Unlock()
	h.log.Info("replica connected", "address", b.addr, "name", o.Name)
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		b.conn, b.wantedEvidence, b.lastConnected = nil, 0, h.now()
		h.upstream.RemoveReplica(b.addr)
		h.chooseUpstream()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		h.mu.Lock()
		if ctx.Err() == nil {
			err = h.handleReplicaFrame(b, f)
		}
		h.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// handleReplicaFrame takes in what a replica says; the mutex is held.
func (h *Agent) handleReplicaFrame(b *replica, f *peerlink.Frame) error {
	now := h.now()
	h.upstream.HandleFrame(b.addr, f, now)
	if f.Leaving != nil {
		h.log.Info("replica leaves", "address", b.addr, "why", *f.Leaving)
	}
	if c := f.Change; c != nil {
		b.hasSentChange = true
		if err := b.expandDeltas(c); err != nil {
			return err
		}
		if p := h.state.Merge(b.addr, c, now); p != 0 {
			h.queueUpdate(p)
			if p&PartCensus != 0 {
				h.maintainReplicas()
			}
		}
		b.unacknowledged = appendRevision(b.unacknowledged, changeRevision{c.No, h.revision})
		h.acknowledge(b)
	}
	if f.Pong != nil {
		if b.wantsStats, b.wantsRequestCounts, b.wantedEvidence = f.Pong.Want, f.Pong.Asks, f.Pong.Wanted; !b.wantsRequestCounts {
			b.sentRequestCounts = nil // one who asks anew hears all
		}
	}
	if f.Pong != nil && b.addr == h.upstream.Chosen() {
		h.serverListAge.addPong(f.Pong)
	}
	if f.Pong != nil && b.hasSentChange { // it vouches for what was sent before it
		h.freshness.AddPong(f.Pong, now)
	}
	if f.Pong != nil || f.Leaving != nil {
		h.chooseUpstream()
	}
	return nil
}

// expandDeltas makes wholes of the parts in a change. A part of nothing ends the
// connection: the next one begins with a whole.
func (b *replica) expandDeltas(c *peerlink.Change) error {
	if c.Servers != nil {
		if c.Servers = c.Servers.Onto(b.servers); c.Servers == nil {
			return errors.New("agent: a part of a list that was never told")
		}
		b.servers = c.Servers
	}
	if c.Census != nil {
		if c.Census = c.Census.Onto(b.census); c.Census == nil {
			return errors.New("agent: a part of a census that was never told")
		}
		b.census = c.Census
	}
	if c.Verdicts != nil {
		if c.Verdicts = c.Verdicts.ApplyTo(b.verdicts); c.Verdicts == nil {
			return errors.New("agent: a part of verdicts that were never told")
		}
		b.verdicts = c.Verdicts
	}
	return nil
}

// chooseUpstream names the lead anew, tells whether that changed, and in that case has
// told all replicas; the mutex is held.
func (h *Agent) chooseUpstream() bool {
	was := h.upstream.Chosen()
	is := h.upstream.Choose(h.now())
	if is == was {
		return false
	}
	h.log.V(1).Info("upstream", "address", is, "before", was)
	h.state.SetUpstream(is)
	h.serverListAge.restart(h.now())
	h.pingAll()
	return true
}

// acknowledge tells a replica how far the proxy has taken its changes over; the
// mutex is held.
func (h *Agent) acknowledge(b *replica) {
	if h.proxy == nil {
		return
	}
	n := 0
	for n < len(b.unacknowledged) && b.unacknowledged[n].revision <= h.proxy.activeRevision {
		n++
	}
	if n == 0 {
		return
	}
	b.send(&peerlink.Frame{Ack: &peerlink.Ack{No: b.unacknowledged[n-1].sequence, Gen: h.proxy.activeGeneration}})
	b.unacknowledged = slices.Delete(b.unacknowledged, 0, n)
}

// sendChangedHello tells a replica what has changed about us since the first Hello.
func (h *Agent) sendChangedHello(b *replica) {
	if x := h.buildHello(); b.conn != nil && b.sentHello != x {
		b.sentHello = x
		b.send(&peerlink.Frame{Hello: &x})
	}
}

// pingAll asks all replicas, and tells them how the proxy stands; the mutex is held.
func (h *Agent) pingAll() {
	for _, b := range h.replicas {
		h.pingOne(b)
	}
}

func (h *Agent) pingOne(b *replica) {
	p := &peerlink.Ping{Sent: h.now(), Upstream: b.addr == h.upstream.Chosen(), Every: h.upstream.PingInterval(b.addr), Packs: true}
	p.Held, p.Sum = h.state.HeldConfiguration()
	if h.proxy != nil {
		p.Ready, p.Gen, p.Rests, p.Parts = h.proxy.ready, h.proxy.activeGeneration, h.proxy.resting, h.proxy.quotaDivisor
		if b.wantsStats {
			p.Figures = h.proxy.trafficStats
		}
		if b.wantsRequestCounts && b.sentRequestCounts != h.proxy.requestCounts {
			b.sentRequestCounts = h.proxy.requestCounts
			p.Asked = b.sentRequestCounts
		}
		if len(h.proxy.hostTraffic) > 0 && (b.hostTrafficSentAt == 0 || p.Sent-b.hostTrafficSentAt >= hostTrafficInterval) {
			p.Heads, b.hostTrafficSentAt = h.proxy.hostTraffic, max(p.Sent, 1)
		}
	}
	if b.conn != nil && b.pingInterval != p.Every {
		b.pingInterval = p.Every
		b.conn.SetSilence(peerlink.Suits(p.Every))
	}
	b.send(&peerlink.Frame{Ping: p})
}
