package control

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// link is an open connection to another replica.
type link struct {
	conn    *peerlink.Conn
	peer    peerlink.Hello
	dialled bool
	no      uint64            // of the last change sent
	told    *peerlink.Servers // as told to the other last
	heard   *peerlink.Servers // as the other told last
	since   time.Duration     // when it came up
	leaving bool
	pending map[uint64]*poll

	verdicts, verdictsHeard *serverhealth.Verdicts // as told to the other last, and by it
}

// keep is an address that is dialled, unless the one there has dialled us.
type keep struct {
	stop context.CancelFunc // of the present dialling; nil: it waits
	wake chan struct{}
	gone bool // it is dialled no more
}

// SetSettings takes over what a settings file says that may change in service.
func (b *Replica) SetSettings(s *settings.Settings) {
	b.live.Store(s)
	b.SetSeeds(s.Network.Seeds)
	b.spurred()
}

// SetSeeds takes over whom to dial first.
func (b *Replica) SetSeeds(seeds []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seeds = nil
	for _, s := range seeds {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			continue
		}
		b.seeds = append(b.seeds, b.set.Inner(host))
	}
	for _, s := range b.seeds {
		b.keep(s)
	}
}

// keep holds a connection to the replica at an address; the mutex is held.
func (b *Replica) keep(addr string) {
	if addr == "" || addr == b.self.Inner || b.keeps[addr] != nil || b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	k := &keep{wake: make(chan struct{}, 1)}
	b.keeps[addr] = k
	b.jobs.Go(func() { b.hold(b.ctx, addr, k) })
}

func (b *Replica) hold(ctx context.Context, addr string, k *keep) {
	d := &peerlink.Dialer{Net: b.w, Hello: b.self, Log: b.log}
	for ctx.Err() == nil {
		b.mu.Lock()
		if k.gone {
			b.mu.Unlock()
			return
		}
		if b.calledBy(addr) {
			b.mu.Unlock()
			select {
			case <-k.wake:
			case <-ctx.Done():
			}
			continue
		}
		kctx, stop := context.WithCancel(ctx)
		k.stop = stop
		b.mu.Unlock()
		d.Keep(kctx, addr, func(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello) error { return b.talk(ctx, c, h, true) })
		stop()
		b.mu.Lock()
		k.stop = nil
		b.mu.Unlock()
	}
}

// forgottenAfter is how long a replica that is no voter may be silent before it is left for good.
const forgottenAfter = time.Minute

// forget leaves replicas that are gone for good, so that neither this one nor agents dial them for ever; the mutex is
// held.
func (b *Replica) forget() {
	now := b.now()
	for name, h := range b.replicas {
		_, votes := b.contents.Record.Decided.Voter(h.ID)
		at := max(b.heardOf[h.ID].at, b.firstHeard[name])
		if name == b.self.Name || votes || len(b.links[name]) > 0 || now-at < forgottenAfter {
			continue
		}
		b.log.Info("replica forgotten", "name", name)
		delete(b.replicas, name)
		delete(b.heardOf, h.ID)
		delete(b.firstHeard, name)
		if k := b.keeps[h.Inner]; k != nil && !slices.Contains(b.seeds, h.Inner) {
			k.gone = true
			if k.stop != nil {
				k.stop()
			}
			delete(b.keeps, h.Inner)
		}
		b.stirred()
	}
}

// calledBy tells whether the replica at an address has dialled this one and is the
// one of the two that is to: the one whose name is lower. The mutex is held.
func (b *Replica) calledBy(addr string) bool {
	for name, all := range b.links {
		for _, l := range all {
			if !l.dialled && l.peer.Inner == addr && name < b.self.Name {
				return true
			}
		}
	}
	return false
}

// accept runs a session that another process has dialled.
func (b *Replica) accept(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello) error {
	switch h.Role {
	case peerlink.Replica:
		return b.talk(ctx, c, h, false)
	case peerlink.Agent:
		return b.attend(ctx, c, h)
	}
	return errors.Errorf("replica: a %q has no business here", h.Role)
}

// talk runs a session with another replica.
func (b *Replica) talk(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello, dialled bool) error {
	if h.Role != peerlink.Replica || h.Name == b.self.Name {
		return errors.Errorf("replica: %q %s is no other replica", h.Role, h.Name)
	}
	b.mu.Lock()
	l := &link{conn: c, peer: *h, dialled: dialled, since: b.now(), pending: map[uint64]*poll{}}
	b.links[h.Name] = append(b.links[h.Name], l)
	b.noteReplica(*h)
	l.told = b.held()
	duty := b.duty.Greeting()
	l.news(&peerlink.Change{Census: b.known(), Servers: b.aged(l.told), Lately: b.fit.inForce()}, &duty)
	b.tellDecided(l)
	if k := b.keeps[h.Inner]; k != nil && k.stop != nil && b.calledBy(h.Inner) {
		k.stop()
	}
	b.mu.Unlock()
	b.rouse()
	b.spurred()
	b.log.Info("replica connected", "name", h.Name, "dialled", dialled)
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.links[h.Name] = slices.DeleteFunc(b.links[h.Name], func(x *link) bool { return x == l })
		if len(b.links[h.Name]) == 0 {
			delete(b.links, h.Name)
		}
		for _, p := range l.pending {
			p.answers <- answer{from: h.ID}
		}
		if k := b.keeps[h.Inner]; k != nil {
			select {
			case k.wake <- struct{}{}:
			default:
			}
		}
		b.stirred()
		b.spurred()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		b.take(ctx, l, f)
	}
}

// news sends a numbered change with a word on the duty, which may be nil.
func (l *link) news(c *peerlink.Change, d *peerlink.Duty) {
	l.no++
	c.No = l.no
	_ = l.conn.Send(&peerlink.Frame{Change: c, Duty: d})
}

// take takes in what another replica says.
func (b *Replica) take(ctx context.Context, l *link, f *peerlink.Frame) {
	if f.Ask != nil {
		b.answer(ctx, l, f.Ask)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.Leaving != nil {
		l.leaving = true
		h := b.heardOf[l.peer.ID]
		h.left = true
		b.heardOf[l.peer.ID] = h
		b.stirred()
	}
	if f.Duty != nil {
		b.hearDuty(l, f.Duty)
	}
	if f.Decided != nil {
		b.hearDecided(l, f.Decided)
	}
	if f.Report != nil {
		b.reaped(f.Report)
	}
	if c := f.Change; c != nil {
		b.verdictsTold(l, c)
		if c.Census != nil {
			for _, h := range c.Census.Replicas {
				b.noteReplica(h)
			}
			b.meet(c.Census.Proxies)
		}
		if c.Servers != nil {
			b.listTold(l, c.Servers)
		}
	}
	if r := f.Reply; r != nil {
		if p := l.pending[r.ID]; p != nil {
			delete(l.pending, r.ID)
			p.answers <- answer{l.peer.ID, r}
		}
	}
}

// noteReplica notes another replica; the mutex is held.
func (b *Replica) noteReplica(h peerlink.Hello) {
	old, known := b.replicas[h.Name]
	if h.Name == b.self.Name || h.Name == "" || known && old.Life >= h.Life {
		return
	}
	b.replicas[h.Name] = h
	b.firstHeard[h.Name] = b.now()
	if !known {
		b.log.Info("new replica", "name", h.Name, "voter", h.Voter)
	}
	b.keep(h.Inner)
	b.stirred()
}

// background runs a job with a bound of time; the mutex may be held.
func (b *Replica) background(job func(ctx context.Context)) {
	b.jobs.Go(func() {
		ctx, cancel := b.within(b.ctx, callWithin)
		defer cancel()
		job(ctx)
	})
}

// known tells another replica whom this one knows; the mutex is held.
func (b *Replica) known() *peerlink.Census {
	c := &peerlink.Census{Replicas: byName(b.replicas)}
	for _, n := range b.proxies.names() {
		c.Proxies = append(c.Proxies, peerlink.Member{Hello: lean(b.proxies.proxies[n].hello)})
	}
	return c
}

// answer is what came back on a question; a nil reply is a broken connection.
type answer struct {
	from  string // the ID of the replier's disk
	reply *peerlink.Reply
}

// poll is a number of questions whose answers are awaited.
type poll struct {
	b       *Replica
	answers chan answer
	out     int
	asked   map[*link]uint64
}

func (b *Replica) newPoll() *poll {
	return &poll{b: b, answers: make(chan answer, 64), asked: map[*link]uint64{}}
}

// ask puts a question to another replica; it is false where that can't be sent.
// The mutex is held.
func (p *poll) ask(l *link, a peerlink.Ask) bool {
	if l == nil || p.out == cap(p.answers) {
		return false
	}
	p.b.asks++
	a.ID = p.b.asks
	if l.conn.Send(&peerlink.Frame{Ask: &a}) != nil {
		return false
	}
	l.pending[a.ID] = p
	p.asked[l] = a.ID
	p.out++
	return true
}

// end forgets the questions that were not answered.
func (p *poll) end() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	for l, id := range p.asked {
		delete(l.pending, id)
	}
}

// linkTo is the connection to the replica with a disk; nil: there is none. The
// mutex is held.
func (b *Replica) linkTo(id string) *link {
	for _, all := range b.links {
		if l := all[len(all)-1]; l.peer.ID == id {
			return l
		}
	}
	return nil
}

// within bounds a time by the replica's clock.
func (b *Replica) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return world.WithTimeout(ctx, b.w, d)
}
