package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/drove"
	"pepperfall.example/pepperfall/internal/furrow"
	"pepperfall.example/pepperfall/internal/winnow"
)

// hand is an open connection to a hand.
type hand struct {
	conn  *furrow.Conn
	name  string
	life  int64
	no    uint64        // of the last change sent
	ack   uint64        // of the last change that is in force at its gate
	gen   uint64        // the version in force there
	lead  bool          // it wants servers and census from here
	every time.Duration // between two of its Pings, as it says
	held  uint64        // the version that it holds, as it says
	sum   uint32        // of that version's text
	packs bool          // it can unpack lists
	owes  time.Duration // since when it is owed the configuration; 0: it is not
	lags  lag           // behind the decided configuration, as it says

	list   *furrow.Servers // as told last; nil: not told. Shared with others
	census *furrow.Census  // the same

	verdicts *winnow.Verdicts // as told last; nil: not told
	seat     uint64           // tells this connection from others
}

// change sends numbered news; the barn's mutex is held.
func (h *hand) change(c *furrow.Change) {
	h.no++
	c.No = h.no
	if h.packs {
		c = c.Pack() // many hands on narrow lines are told the same
	}
	_ = h.conn.Send(&furrow.Frame{Change: c})
}

// attend runs a session with a hand.
func (b *Replica) attend(ctx context.Context, c *furrow.Conn, hello *furrow.Hello) error {
	h := &hand{conn: c, name: hello.Name, life: hello.Life}
	b.mu.Lock()
	b.hands[h] = true
	h.seat = b.fit.seat()
	b.arrive(*hello)
	h.change(&furrow.Change{Zones: b.orders(h.name)}) // its first Ping tells whether it lacks the configuration
	b.owe(h)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.hands, h)
		if g := b.gates.gates[h.name]; g != nil && g.hello.Life == h.life && !b.attended(h.name) {
			g.up, g.ready = false, false
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
	for h := range b.hands {
		if h.name == name {
			return true
		}
	}
	return false
}

// arrive notes a gate by its hand's word; the mutex is held.
func (b *Replica) arrive(h furrow.Hello) {
	if old := b.gates.gates[h.Name]; old != nil && old.hello.Life > h.Life {
		return
	}
	if _, isNew := b.gates.see(h, b.now()); isNew {
		b.store.KeepCensus(b.gates.names())
	}
	b.stirred()
}

// meet notes gates that another barn knows; the mutex is held.
func (b *Replica) meet(all []furrow.Member) {
	isNew := false
	for _, m := range all {
		isNew = b.gates.add(m, b.now()) || isNew
	}
	if isNew {
		b.store.KeepCensus(b.gates.names())
		b.stirred()
	}
}

// hear takes in what a hand says; the mutex is held.
func (b *Replica) hear(h *hand, f *furrow.Frame) {
	now := b.now()
	if f.Hello != nil && f.Hello.Name == h.name {
		h.life = f.Hello.Life
		b.arrive(*f.Hello)
	}
	g := b.gates.gates[h.name]
	if g == nil || g.hello.Life != h.life {
		return // an earlier life's connection
	}
	if !g.alive(now) {
		b.stirred()
	}
	g.heard = now
	if p := f.Ping; p != nil {
		if g.every = p.Every; h.every != p.Every {
			h.every = p.Every
			h.conn.SetSilence(furrow.Suits(p.Every))
		}
		if h.gen = p.Gen; g.ready != p.Ready {
			if g.ready = p.Ready; g.ready && g.risen == 0 {
				g.risen = now
			}
			b.stirred()
		}
		g.rests = p.Rests
		if p.Parts > 0 {
			g.parts = p.Parts
		}
		if p.Figures != nil {
			g.figures, g.figuresAt = p.Figures, now
		}
		if p.Asked != nil {
			g.asked, g.askedAt = p.Asked, now
		}
		if p.Heads != nil {
			g.heads, g.headsAt = p.Heads[:min(len(p.Heads), drove.MostHosts)], now
		}
		h.held, h.sum, h.packs = p.Held, p.Sum, p.Packs
		b.pay(h, p.Lead)
		// Word is fresh where the newest is in force: it may still be on its way there.
		pong := &furrow.Pong{Sent: p.Sent, Fresh: b.ever && inForce(p, b.plot), Want: now < b.ops.wants, Asks: now < b.ops.asks,
			Reap: b.fit.reap(h)}
		if b.ever {
			pong.Age = now - b.fresh
		}
		_ = h.conn.Send(&furrow.Frame{Pong: pong})
		b.lead(h, p.Lead)
	}
	if f.Sheaf != nil && h.lead {
		b.sheaf(h, f.Sheaf)
	}
	if a := f.Ack; a != nil {
		h.ack, h.gen = max(h.ack, a.No), a.Gen
	}
	if f.Leaving != nil {
		if g.left = max(now, 1); *f.Leaving != furrow.Gone {
			g.grace = b.live.Load().Terms.Bounds.Grace
		} else {
			g.grace = 0
		}
		g.given = g.given || *f.Leaving == furrow.Given
		b.log.Info("gate leaves", "name", h.name, "why", *f.Leaving)
		b.stirred()
	}
}

// inForce tells whether a ping says that a gate has this configuration, or a higher one.
func inForce(p *furrow.Ping, held *furrow.Plot) bool {
	return held == nil || p.Gen > held.Gen || p.Gen == held.Gen && p.Held == held.Gen && p.Sum == held.Sum()
}

// payWithin and a beat after it is known, a hand is told what its lead has not told it.
const payWithin = 400 * time.Millisecond

// owe notes that a hand is to have the configuration; the mutex is held.
func (b *Replica) owe(h *hand) {
	if h.owes = 0; b.plot != nil {
		h.owes = max(b.now(), 1)
	}
}

// pay tells a hand the configuration that it is owed: at once where this barn is its lead, and where another
// has not told it within a time. The mutex is held.
func (b *Replica) pay(h *hand, leads bool) {
	switch {
	case h.owes == 0:
	case h.held > b.plot.Gen, h.held == b.plot.Gen && h.sum == b.plot.Sum():
		h.owes = 0
	case leads, b.now()-h.owes >= payWithin+h.every:
		h.owes = 0
		h.change(&furrow.Change{Plot: b.plot})
	}
}

// stirred notes that the census may have changed; the mutex may be held.
func (b *Replica) stirred() {
	select {
	case b.stir <- struct{}{}:
	default:
	}
}

// watch tells the hands whenever the census has changed.
func (b *Replica) watch(ctx context.Context) {
	t := b.w.NewTimer(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C():
		case <-b.stir:
		case <-ctx.Done():
			return
		}
		next := lookEvery
		b.mu.Lock()
		for h := range b.hands {
			b.pay(h, h.lead)
			b.reportLag(h)
		}
		b.reportContact()
		if b.recount(); b.told != b.census {
			if wait := b.owed(); wait > 0 {
				next = min(next, wait)
			} else {
				b.tellCensus()
			}
		}
		b.mu.Unlock()
		if !b.pause(ctx, stirEvery) {
			return
		}
		t.Reset(next)
	}
}

// Standing is a gate's state as its hand acknowledges it.
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
	for h := range b.hands {
		all[h.name] = Standing{h.name, h.gen, h.no - h.ack}
	}
	var list []Standing
	for _, n := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[n])
	}
	return list
}
