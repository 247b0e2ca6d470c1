package agent

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// mostMarks bounds what waits for the proxy. The oldest go first: a later
// acknowledgement holds for them too.
const mostMarks = 1024

// headsEvery is the time between two tellings of requests by host to one replica.
const headsEvery = 4 * time.Second

// mark says that what came or went with a number is in the state since a revision.
type mark struct{ no, rev uint64 }

// put appends a mark, over the last one where only the number has risen.
func put(all []mark, m mark) []mark {
	if n := len(all); n > 0 && all[n-1].rev == m.rev {
		all[n-1] = m
		return all
	}
	if len(all) >= mostMarks {
		all = slices.Delete(all, 0, 1)
	}
	return append(all, m)
}

// replica is one that the agent holds on to; all under the agent's mutex.
type replica struct {
	addr   string
	cancel context.CancelFunc
	conn   *peerlink.Conn  // nil: not connected
	told   peerlink.Hello  // by us
	seen   time.Duration   // when it was last connected, or first known
	marks  []mark          // its changes that are not acknowledged
	spoke  bool            // it has sent a change on this connection
	every  time.Duration   // as told last
	wants  bool            // figures, as it said last
	asks   bool            // and what was asked for
	asked  *peerlink.Asked // as told last
	wanted uint64          // evidence on servers, as it said last; 0: none
	heads  time.Duration   // when it was last told of requests by host; 0: not on this connection

	servers *peerlink.Servers // as told on this connection
	census  *peerlink.Census

	verdicts *serverhealth.Verdicts
}

func (b *replica) send(f *peerlink.Frame) {
	if b.conn != nil {
		_ = b.conn.Send(f) // a connection that fails ends, and its reader sees that
	}
}

// hold dials every replica that is known and leaves those that are gone for good;
// the mutex is held.
func (h *Agent) hold() {
	if h.ctx.Err() != nil {
		return
	}
	now := h.now()
	for _, addr := range slices.Concat(h.seeds, h.state.Replicas()) {
		if h.replicas[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		b := &replica{addr: addr, cancel: cancel, seen: now}
		h.replicas[addr] = b
		d := &peerlink.Dialer{Net: h.w, Log: h.log, Mine: func() peerlink.Hello {
			h.mu.Lock()
			defer h.mu.Unlock()
			b.told = h.self()
			return b.told
		}}
		h.talks.Go(func() {
			d.Keep(ctx, addr, func(ctx context.Context, c *peerlink.Conn, o *peerlink.Hello) error { return h.talk(ctx, b, c, o) })
		})
	}
	for addr, b := range h.replicas {
		if b.conn == nil && now-b.seen >= dropped && !slices.Contains(h.seeds, addr) && !h.state.Listed(addr) {
			h.log.Info("replica given up", "address", addr)
			b.cancel()
			delete(h.replicas, addr)
		}
	}
}

// talk runs a session with a replica.
func (h *Agent) talk(ctx context.Context, b *replica, c *peerlink.Conn, o *peerlink.Hello) error {
	if o.Role != peerlink.Replica {
		return errors.Errorf("agent: %s at %s is no replica but %q", o.Name, b.addr, o.Role)
	}
	h.mu.Lock()
	b.conn, b.marks, b.spoke, b.every, b.wants, b.wanted, b.servers, b.census, b.verdicts = c, nil, false, 0, false, 0, nil, nil, nil
	b.asks, b.asked, b.heads = false, nil, 0
	if h.leaving != "" {
		b.send(&peerlink.Frame{Leaving: &h.leaving})
	}
	if h.proxy != nil && h.proxy.left != nil {
		b.send(&peerlink.Frame{Leaving: h.proxy.left})
	}
	h.greet(b)
	h.upstream.Up(b.addr, o, h.now())
	if !h.choose() {
		h.pingOne(b)
	}
	h.mu.Unlock()
	h.log.Info("replica connected", "address", b.addr, "name", o.Name)
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		b.conn, b.wanted, b.seen = nil, 0, h.now()
		h.upstream.Down(b.addr)
		h.choose()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		h.mu.Lock()
		if ctx.Err() == nil {
			err = h.take(b, f)
		}
		h.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// take takes in what a replica says; the mutex is held.
func (h *Agent) take(b *replica, f *peerlink.Frame) error {
	now := h.now()
	h.upstream.Heard(b.addr, f, now)
	if f.Leaving != nil {
		h.log.Info("replica leaves", "address", b.addr, "why", *f.Leaving)
	}
	if c := f.Change; c != nil {
		b.spoke = true
		if err := b.whole(c); err != nil {
			return err
		}
		if p := h.state.Take(b.addr, c, now); p != 0 {
			h.tell(p)
			if p&PartCensus != 0 {
				h.hold()
			}
		}
		b.marks = put(b.marks, mark{c.No, h.rev})
		h.acknowledge(b)
	}
	if f.Pong != nil {
		if b.wants, b.asks, b.wanted = f.Pong.Want, f.Pong.Asks, f.Pong.Wanted; !b.asks {
			b.asked = nil // one who asks anew hears all
		}
	}
	if f.Pong != nil && b.addr == h.upstream.Chosen() {
		h.list.take(f.Pong)
	}
	if f.Pong != nil && b.spoke { // it vouches for what was sent before it
		h.fresh.Take(f.Pong, now)
	}
	if f.Pong != nil || f.Leaving != nil {
		h.choose()
	}
	return nil
}

// whole makes wholes of the parts in a change. A part of nothing ends the
// connection: the next one begins with a whole.
func (b *replica) whole(c *peerlink.Change) error {
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

// choose names the lead anew, tells whether that changed, and in that case has
// told all replicas; the mutex is held.
func (h *Agent) choose() bool {
	was := h.upstream.Chosen()
	is := h.upstream.Choose(h.now())
	if is == was {
		return false
	}
	h.log.V(1).Info("upstream", "address", is, "before", was)
	h.state.Upstream(is)
	h.list.follow(h.now())
	h.ping()
	return true
}

// acknowledge tells a replica how far the proxy has taken its changes over; the
// mutex is held.
func (h *Agent) acknowledge(b *replica) {
	if h.proxy == nil {
		return
	}
	n := 0
	for n < len(b.marks) && b.marks[n].rev <= h.proxy.rev {
		n++
	}
	if n == 0 {
		return
	}
	b.send(&peerlink.Frame{Ack: &peerlink.Ack{No: b.marks[n-1].no, Gen: h.proxy.gen}})
	b.marks = slices.Delete(b.marks, 0, n)
}

// greet tells a replica what has changed about us since the first Hello.
func (h *Agent) greet(b *replica) {
	if x := h.self(); b.conn != nil && b.told != x {
		b.told = x
		b.send(&peerlink.Frame{Hello: &x})
	}
}

// ping asks all replicas, and tells them how the proxy stands; the mutex is held.
func (h *Agent) ping() {
	for _, b := range h.replicas {
		h.pingOne(b)
	}
}

func (h *Agent) pingOne(b *replica) {
	p := &peerlink.Ping{Sent: h.now(), Upstream: b.addr == h.upstream.Chosen(), Every: h.upstream.Every(b.addr), Packs: true}
	p.Held, p.Sum = h.state.Held()
	if h.proxy != nil {
		p.Ready, p.Gen, p.Rests, p.Parts = h.proxy.ready, h.proxy.gen, h.proxy.rests, h.proxy.parts
		if b.wants {
			p.Figures = h.proxy.figures
		}
		if b.asks && b.asked != h.proxy.asked {
			b.asked = h.proxy.asked
			p.Asked = b.asked
		}
		if len(h.proxy.heads) > 0 && (b.heads == 0 || p.Sent-b.heads >= headsEvery) {
			p.Heads, b.heads = h.proxy.heads, max(p.Sent, 1)
		}
	}
	if b.conn != nil && b.every != p.Every {
		b.every = p.Every
		b.conn.SetSilence(peerlink.Suits(p.Every))
	}
	b.send(&peerlink.Frame{Ping: p})
}
