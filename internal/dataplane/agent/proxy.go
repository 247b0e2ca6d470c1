package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/dataplane/homing"
	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// proxy is the one beside the agent while it is connected; all under the agent's
// mutex.
type proxy struct {
	conn             *peerlink.Conn
	ready            bool
	resting          bool // it would be, but for the order to rest
	trafficStats     *peerlink.Figures
	requestCounts    *peerlink.Asked
	hostTraffic      []homing.HostTraffic
	activeGeneration uint64           // in force there; 0: none
	quotaDivisor     int              // by which it divides quotas; 0: not told
	lastSequence     uint64           // of the last change sent
	lastSentAt       time.Duration    // when it was
	unacknowledged   []changeRevision // changes that it has not acknowledged
	activeRevision   uint64           // revision that is in force there; 0: none
	leaveReason      *string          // what it said last of its leaving; nil: nothing
}

// sendChange sends a change under the next number.
func (g *proxy) sendChange(c *peerlink.Change, rev uint64) {
	g.lastSequence++
	c.No = g.lastSequence
	g.unacknowledged = appendRevision(g.unacknowledged, changeRevision{g.lastSequence, rev})
	_ = g.conn.Send(&peerlink.Frame{Change: c}) // a connection that fails ends, and its reader sees that
}

// runProxySession runs a session with the proxy. The newest connection is the proxy's.
func (h *Agent) runProxySession(_ context.Context, c *peerlink.Conn, o *peerlink.Hello) error {
	if o.Role != peerlink.Proxy {
		return errors.Errorf("agent: %s at %s is no proxy but %q", o.Name, c.Remote(), o.Role)
	}
	g := &proxy{conn: c}
	h.mu.Lock()
	old := h.proxy
	h.proxy = g
	h.handleProxyHello(o)
	if h.proxyIncarnation != o.Life && h.proxyIncarnation != 0 && old == nil && h.leaveReason == "" { // one that had left is back
		x := h.buildHello()
		for _, b := range h.replicas {
			b.send(&peerlink.Frame{Hello: &x})
		}
	}
	h.proxyIncarnation = o.Life
	h.revision = max(h.revision, 1)
	h.pendingParts = PartsAll
	h.sendUpdate()
	if old != nil {
		_ = old.conn.Close()
		if old.ready {
			h.pingAll()
		}
	}
	h.mu.Unlock()
	h.log.Info("proxy connected", "front", o.Front)
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.proxy != g {
			return
		}
		if h.proxy = nil; g.ready {
			h.pingAll()
		}
		h.wakeUp()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		h.mu.Lock()
		if h.proxy == g {
			h.handleProxyFrame(g, f)
		}
		h.mu.Unlock()
	}
}

// handleProxyHello takes the proxy's Hello in and tells the replicas what is new in it; the
// mutex is held.
func (h *Agent) handleProxyHello(o *peerlink.Hello) {
	if o.Front == "" || o.Front == h.front {
		return
	}
	h.front = o.Front
	for _, b := range h.replicas {
		h.sendChangedHello(b)
	}
}

// handleProxyFrame takes in what the proxy says; the mutex is held.
func (h *Agent) handleProxyFrame(g *proxy, f *peerlink.Frame) {
	if f.Hello != nil {
		h.handleProxyHello(f.Hello)
	}
	if a := f.Ack; a != nil {
		g.activeGeneration = max(g.activeGeneration, a.Gen)
		n := 0
		for n < len(g.unacknowledged) && g.unacknowledged[n].sequence <= a.No {
			g.activeRevision = g.unacknowledged[n].revision
			n++
		}
		g.unacknowledged = g.unacknowledged[n:]
		for _, b := range h.replicas {
			h.acknowledge(b)
		}
	}
	ready, rests := g.ready, g.resting
	if p := f.Ping; p != nil {
		ready, rests, g.activeGeneration, g.trafficStats, g.hostTraffic, g.quotaDivisor = p.Ready, p.Rests, max(g.activeGeneration, p.Gen), p.Figures, p.Heads, p.Parts
		if p.Asked != nil {
			g.requestCounts = p.Asked
		}
		pong := h.freshness.Pong(p.Sent, h.now())
		pong.List = h.serverListAge.reading(h.now())
		if b := h.replicas[h.upstream.Chosen()]; b != nil {
			pong.Wanted = b.wantedEvidence
		}
		_ = g.conn.Send(&peerlink.Frame{Pong: pong})
	}
	if b := h.replicas[h.upstream.Chosen()]; f.Report != nil && b != nil && b.wantedEvidence != 0 && len(f.Report) <= serverhealth.MaxReportBytes {
		b.send(&peerlink.Frame{Report: f.Report})
	}
	if f.Leaving != nil {
		h.log.Info("proxy leaves", "why", *f.Leaving)
		ready, rests, g.leaveReason = false, false, f.Leaving
		for _, b := range h.replicas {
			b.send(&peerlink.Frame{Leaving: f.Leaving})
		}
	}
	if ready != g.ready || rests != g.resting {
		g.ready, g.resting = ready, rests
		h.pingAll()
	}
}
