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
	conn             *peerlink.Conn
	peer             peerlink.Hello
	dialled          bool
	lastChangeNumber uint64            // of the last change sent
	sentList         *peerlink.Servers // as told to the other last
	receivedList     *peerlink.Servers // as the other told last
	connectedAt      time.Duration     // when it came up
	leaving          bool
	openPolls        map[uint64]*poll

	sentVerdicts, receivedVerdicts *serverhealth.Verdicts // as told to the other last, and by it
}

// dialTarget is an address that is dialled, unless the one there has dialled us.
type dialTarget struct {
	stopDialling context.CancelFunc // of the present dialling; nil: it waits
	wakeup       chan struct{}
	removed      bool // it is dialled no more
}

// SetSettings takes over what a settings file says that may change in service.
func (b *Replica) SetSettings(s *settings.Settings) {
	b.liveSettings.Store(s)
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
		b.seeds = append(b.seeds, b.settings.Inner(host))
	}
	for _, s := range b.seeds {
		b.keepConnected(s)
	}
}

// keepConnected holds a connection to the replica at an address; the mutex is held.
func (b *Replica) keepConnected(addr string) {
	if addr == "" || addr == b.self.Inner || b.dialTargets[addr] != nil || b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	k := &dialTarget{wakeup: make(chan struct{}, 1)}
	b.dialTargets[addr] = k
	b.jobs.Go(func() { b.maintainConnection(b.ctx, addr, k) })
}

func (b *Replica) maintainConnection(ctx context.Context, addr string, k *dialTarget) {
	d := &peerlink.Dialer{Net: b.world, Hello: b.self, Log: b.log}
	for ctx.Err() == nil {
		b.mu.Lock()
		if k.removed {
			b.mu.Unlock()
			return
		}
		if b.isDialledBy(addr) {
			b.mu.Unlock()
			select {
			case <-k.wakeup:
			case <-ctx.Done():
			}
			continue
		}
		kctx, stop := context.WithCancel(ctx)
		k.stopDialling = stop
		b.mu.Unlock()
		d.Keep(kctx, addr, func(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello) error {
			return b.runReplicaSession(ctx, c, h, true)
		})
		stop()
		b.mu.Lock()
		k.stopDialling = nil
		b.mu.Unlock()
	}
}

// forgetAfter is how long a replica that is no voter may be silent before it is left for good.
const forgetAfter = time.Minute

// forgetSilentReplicas leaves replicas that are gone for good, so that neither this one nor agents dial them for ever; the mutex is
// held.
func (b *Replica) forgetSilentReplicas() {
	now := b.now()
	for name, h := range b.replicas {
		_, votes := b.contents.Record.Decided.Voter(h.ID)
		at := max(b.lastReports[h.ID].at, b.firstSeen[name])
		if name == b.self.Name || votes || len(b.links[name]) > 0 || now-at < forgetAfter {
			continue
		}
		b.log.Info("replica forgotten", "name", name)
		delete(b.replicas, name)
		delete(b.lastReports, h.ID)
		delete(b.firstSeen, name)
		if k := b.dialTargets[h.Inner]; k != nil && !slices.Contains(b.seeds, h.Inner) {
			k.removed = true
			if k.stopDialling != nil {
				k.stopDialling()
			}
			delete(b.dialTargets, h.Inner)
		}
		b.stirred()
	}
}

// isDialledBy tells whether the replica at an address has dialled this one and is the
// one of the two that is to: the one whose name is lower. The mutex is held.
func (b *Replica) isDialledBy(addr string) bool {
	for name, all := range b.links {
		for _, l := range all {
			if !l.dialled && l.peer.Inner == addr && name < b.self.Name {
				return true
			}
		}
	}
	return false
}

// acceptSession runs a session that another process has dialled.
func (b *Replica) acceptSession(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello) error {
	switch h.Role {
	case peerlink.Replica:
		return b.runReplicaSession(ctx, c, h, false)
	case peerlink.Agent:
		return b.attend(ctx, c, h)
	}
	return errors.Errorf("replica: a %q has no business here", h.Role)
}

// runReplicaSession runs a session with another replica.
func (b *Replica) runReplicaSession(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello, dialled bool) error {
	if h.Role != peerlink.Replica || h.Name == b.self.Name {
		return errors.Errorf("replica: %q %s is no other replica", h.Role, h.Name)
	}
	b.mu.Lock()
	l := &link{conn: c, peer: *h, dialled: dialled, connectedAt: b.now(), openPolls: map[uint64]*poll{}}
	b.links[h.Name] = append(b.links[h.Name], l)
	b.noteReplica(*h)
	l.sentList = b.held()
	duty := b.duty.Greeting()
	l.sendChange(&peerlink.Change{Census: b.knownMembers(), Servers: b.aged(l.sentList), Lately: b.healthJudge.inForce()}, &duty)
	b.sendDecided(l)
	if k := b.dialTargets[h.Inner]; k != nil && k.stopDialling != nil && b.isDialledBy(h.Inner) {
		k.stopDialling()
	}
	b.mu.Unlock()
	b.requestRound()
	b.spurred()
	b.log.Info("replica connected", "name", h.Name, "dialled", dialled)
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.links[h.Name] = slices.DeleteFunc(b.links[h.Name], func(x *link) bool { return x == l })
		if len(b.links[h.Name]) == 0 {
			delete(b.links, h.Name)
		}
		for _, p := range l.openPolls {
			p.answers <- pollAnswer{from: h.ID}
		}
		if k := b.dialTargets[h.Inner]; k != nil {
			select {
			case k.wakeup <- struct{}{}:
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
		b.handleFrame(ctx, l, f)
	}
}

// sendChange sends a numbered change with a word on the duty, which may be nil.
func (l *link) sendChange(c *peerlink.Change, d *peerlink.Duty) {
	l.lastChangeNumber++
	c.No = l.lastChangeNumber
	_ = l.conn.Send(&peerlink.Frame{Change: c, Duty: d})
}

// handleFrame takes in what another replica says.
func (b *Replica) handleFrame(ctx context.Context, l *link, f *peerlink.Frame) {
	if f.Ask != nil {
		b.answerQuestion(ctx, l, f.Ask)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.Leaving != nil {
		l.leaving = true
		h := b.lastReports[l.peer.ID]
		h.left = true
		b.lastReports[l.peer.ID] = h
		b.stirred()
	}
	if f.Duty != nil {
		b.hearDuty(l, f.Duty)
	}
	if f.Decided != nil {
		b.receiveDecided(l, f.Decided)
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
		if p := l.openPolls[r.ID]; p != nil {
			delete(l.openPolls, r.ID)
			p.answers <- pollAnswer{l.peer.ID, r}
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
	b.firstSeen[h.Name] = b.now()
	if !known {
		b.log.Info("new replica", "name", h.Name, "voter", h.Voter)
	}
	b.keepConnected(h.Inner)
	b.stirred()
}

// runInBackground runs a job with a bound of time; the mutex may be held.
func (b *Replica) runInBackground(job func(ctx context.Context)) {
	b.jobs.Go(func() {
		ctx, cancel := b.withTimeout(b.ctx, callTimeout)
		defer cancel()
		job(ctx)
	})
}

// knownMembers tells another replica whom this one knows; the mutex is held.
func (b *Replica) knownMembers() *peerlink.Census {
	c := &peerlink.Census{Replicas: sortedByName(b.replicas)}
	for _, n := range b.proxies.names() {
		c.Proxies = append(c.Proxies, peerlink.Member{Hello: memberHello(b.proxies.proxies[n].hello)})
	}
	return c
}

// pollAnswer is what came back on a question; a nil reply is a broken connection.
type pollAnswer struct {
	from  string // the ID of the replier's disk
	reply *peerlink.Reply
}

// poll is a number of questions whose answers are awaited.
type poll struct {
	replica     *Replica
	answers     chan pollAnswer
	sentCount   int
	questionIDs map[*link]uint64
}

func (b *Replica) newPoll() *poll {
	return &poll{replica: b, answers: make(chan pollAnswer, 64), questionIDs: map[*link]uint64{}}
}

// ask puts a question to another replica; it is false where that can't be sent.
// The mutex is held.
func (p *poll) ask(l *link, a peerlink.Ask) bool {
	if l == nil || p.sentCount == cap(p.answers) {
		return false
	}
	p.replica.lastQuestionID++
	a.ID = p.replica.lastQuestionID
	if l.conn.Send(&peerlink.Frame{Ask: &a}) != nil {
		return false
	}
	l.openPolls[a.ID] = p
	p.questionIDs[l] = a.ID
	p.sentCount++
	return true
}

// cancel forgets the questions that were not answered.
func (p *poll) cancel() {
	p.replica.mu.Lock()
	defer p.replica.mu.Unlock()
	for l, id := range p.questionIDs {
		delete(l.openPolls, id)
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

// withTimeout bounds a time by the replica's clock.
func (b *Replica) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return world.WithTimeout(ctx, b.world, d)
}
