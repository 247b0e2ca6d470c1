package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/dataplane/homing"
	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// proxy is the connected proxy beside the agent. The agent's mutex guards all
// fields.
type proxy struct {
	conn             *peerlink.Conn
	ready            bool
	resting          bool // it would be ready, but control has ordered it to rest
	trafficStats     *peerlink.Figures
	requestCounts    *peerlink.Asked
	hostTraffic      []homing.HostTraffic
	activeGeneration uint64           // of the configuration in force at the proxy; 0: none
	quotaDivisor     int              // number by which the proxy divides quotas; 0: unknown
	lastSequence     uint64           // of the last change sent
	lastSentAt       time.Duration    // when the last change was sent
	unacknowledged   []changeRevision // changes that the proxy has not acknowledged
	activeRevision   uint64           // revision of the agent's state that is in force at the proxy; 0: none
	leaveReason      *string          // from the proxy's last Leaving message; nil: none
}

// sendChange sends a change with the next sequence number.
func (g *proxy) sendChange(c *peerlink.Change, rev uint64) {
	g.lastSequence++
	c.No = g.lastSequence
	g.unacknowledged = appendRevision(g.unacknowledged, changeRevision{g.lastSequence, rev})
	_ = g.conn.Send(&peerlink.Frame{Change: c}) // when a send fails, the connection ends and its receive loop returns the error
}

// runProxySession serves a connection from the proxy. A newer connection replaces an older one.
func (a *Agent) runProxySession(_ context.Context, c *peerlink.Conn, o *peerlink.Hello) error {
	if o.Role != peerlink.Proxy {
		return errors.Errorf("agent: %s at %s has role %q instead of proxy", o.Name, c.Remote(), o.Role)
	}
	g := &proxy{conn: c}
	a.mu.Lock()
	old := a.proxy
	a.proxy = g
	a.handleProxyHello(o)
	if a.proxyIncarnation != o.Life && a.proxyIncarnation != 0 && old == nil && a.leaveReason == "" { // a proxy that had left has restarted
		x := a.buildHello()
		for _, b := range a.replicas {
			b.send(&peerlink.Frame{Hello: &x})
		}
	}
	a.proxyIncarnation = o.Life
	a.revision = max(a.revision, 1)
	a.pendingParts = PartsAll
	a.sendUpdate()
	if old != nil {
		_ = old.conn.Close()
		if old.ready {
			a.pingAll()
		}
	}
	a.mu.Unlock()
	a.log.Info("proxy connected", "front", o.Front)
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.proxy != g {
			return
		}
		if a.proxy = nil; g.ready {
			a.pingAll()
		}
		a.wakeUp()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		a.mu.Lock()
		if a.proxy == g {
			a.handleProxyFrame(g, f)
		}
		a.mu.Unlock()
	}
}

// handleProxyHello stores the proxy's address and sends it to the replicas if it has changed. The
// caller holds the mutex.
func (a *Agent) handleProxyHello(o *peerlink.Hello) {
	if o.Front == "" || o.Front == a.front {
		return
	}
	a.front = o.Front
	for _, b := range a.replicas {
		a.sendChangedHello(b)
	}
}

// handleProxyFrame processes a message from the proxy. The caller holds the mutex.
func (a *Agent) handleProxyFrame(g *proxy, f *peerlink.Frame) {
	if f.Hello != nil {
		a.handleProxyHello(f.Hello)
	}
	if ack := f.Ack; ack != nil {
		g.activeGeneration = max(g.activeGeneration, ack.Gen)
		n := 0
		for n < len(g.unacknowledged) && g.unacknowledged[n].sequence <= ack.No {
			g.activeRevision = g.unacknowledged[n].revision
			n++
		}
		g.unacknowledged = g.unacknowledged[n:]
		for _, b := range a.replicas {
			a.acknowledge(b)
		}
	}
	ready, rests := g.ready, g.resting
	if p := f.Ping; p != nil {
		ready, rests, g.activeGeneration, g.trafficStats, g.hostTraffic, g.quotaDivisor = p.Ready, p.Rests, max(g.activeGeneration, p.Gen), p.Figures, p.Heads, p.Parts
		if p.Asked != nil {
			g.requestCounts = p.Asked
		}
		pong := a.freshness.Pong(p.Sent, a.now())
		pong.List = a.serverListAge.reading(a.now())
		if b := a.replicas[a.upstream.Chosen()]; b != nil {
			pong.Wanted = b.wantedEvidence
		}
		_ = g.conn.Send(&peerlink.Frame{Pong: pong})
	}
	if b := a.replicas[a.upstream.Chosen()]; f.Report != nil && b != nil && b.wantedEvidence != 0 && len(f.Report) <= serverhealth.MaxReportBytes {
		b.send(&peerlink.Frame{Report: f.Report})
	}
	if f.Leaving != nil {
		a.log.Info("proxy is leaving", "why", *f.Leaving)
		ready, rests, g.leaveReason = false, false, f.Leaving
		for _, b := range a.replicas {
			b.send(&peerlink.Frame{Leaving: f.Leaving})
		}
	}
	if ready != g.ready || rests != g.resting {
		g.ready, g.resting = ready, rests
		a.pingAll()
	}
}
