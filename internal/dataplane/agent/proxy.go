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
	conn    *peerlink.Conn
	ready   bool
	rests   bool // it would be, but for the order to rest
	figures *peerlink.Figures
	asked   *peerlink.Asked
	heads   []homing.HostTraffic
	gen     uint64        // in force there; 0: none
	parts   int           // by which it divides quotas; 0: not told
	no      uint64        // of the last change sent
	at      time.Duration // when it was
	sent    []mark        // changes that it has not acknowledged
	rev     uint64        // revision that is in force there; 0: none
	left    *string       // what it said last of its leaving; nil: nothing
}

// tell sends a change under the next number.
func (g *proxy) tell(c *peerlink.Change, rev uint64) {
	g.no++
	c.No = g.no
	g.sent = put(g.sent, mark{g.no, rev})
	_ = g.conn.Send(&peerlink.Frame{Change: c}) // a connection that fails ends, and its reader sees that
}

// serve runs a session with the proxy. The newest connection is the proxy's.
func (h *Agent) serve(_ context.Context, c *peerlink.Conn, o *peerlink.Hello) error {
	if o.Role != peerlink.Proxy {
		return errors.Errorf("agent: %s at %s is no proxy but %q", o.Name, c.Remote(), o.Role)
	}
	g := &proxy{conn: c}
	h.mu.Lock()
	old := h.proxy
	h.proxy = g
	h.meet(o)
	if h.life != o.Life && h.life != 0 && old == nil && h.leaving == "" { // one that had left is back
		x := h.self()
		for _, b := range h.replicas {
			b.send(&peerlink.Frame{Hello: &x})
		}
	}
	h.life = o.Life
	h.rev = max(h.rev, 1)
	h.owed = PartsAll
	h.settle()
	if old != nil {
		_ = old.conn.Close()
		if old.ready {
			h.ping()
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
			h.ping()
		}
		h.rouse()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		h.mu.Lock()
		if h.proxy == g {
			h.hear(g, f)
		}
		h.mu.Unlock()
	}
}

// meet takes the proxy's Hello in and tells the replicas what is new in it; the
// mutex is held.
func (h *Agent) meet(o *peerlink.Hello) {
	if o.Front == "" || o.Front == h.front {
		return
	}
	h.front = o.Front
	for _, b := range h.replicas {
		h.greet(b)
	}
}

// hear takes in what the proxy says; the mutex is held.
func (h *Agent) hear(g *proxy, f *peerlink.Frame) {
	if f.Hello != nil {
		h.meet(f.Hello)
	}
	if a := f.Ack; a != nil {
		g.gen = max(g.gen, a.Gen)
		n := 0
		for n < len(g.sent) && g.sent[n].no <= a.No {
			g.rev = g.sent[n].rev
			n++
		}
		g.sent = g.sent[n:]
		for _, b := range h.replicas {
			h.acknowledge(b)
		}
	}
	ready, rests := g.ready, g.rests
	if p := f.Ping; p != nil {
		ready, rests, g.gen, g.figures, g.heads, g.parts = p.Ready, p.Rests, max(g.gen, p.Gen), p.Figures, p.Heads, p.Parts
		if p.Asked != nil {
			g.asked = p.Asked
		}
		pong := h.fresh.Pong(p.Sent, h.now())
		pong.List = h.list.tell(h.now())
		if b := h.replicas[h.upstream.Chosen()]; b != nil {
			pong.Wanted = b.wanted
		}
		_ = g.conn.Send(&peerlink.Frame{Pong: pong})
	}
	if b := h.replicas[h.upstream.Chosen()]; f.Report != nil && b != nil && b.wanted != 0 && len(f.Report) <= serverhealth.MaxReportBytes {
		b.send(&peerlink.Frame{Report: f.Report})
	}
	if f.Leaving != nil {
		h.log.Info("proxy leaves", "why", *f.Leaving)
		ready, rests, g.left = false, false, f.Leaving
		for _, b := range h.replicas {
			b.send(&peerlink.Frame{Leaving: f.Leaving})
		}
	}
	if ready != g.ready || rests != g.rests {
		g.ready, g.rests = ready, rests
		h.ping()
	}
}
