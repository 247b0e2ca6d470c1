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
	no      uint64            // number of the last change sent
	told    *peerlink.Servers // server list as last sent to the peer
	heard   *peerlink.Servers // server list as last received from the peer
	since   time.Duration     // by this replica's clock
	leaving bool              // the peer has said that it shuts down
	pending map[uint64]*poll  // by question ID

	verdicts, verdictsHeard *serverhealth.Verdicts // as last sent to the peer and received from it
}

// dialTarget is the address of a replica that this one dials unless the other has dialled it and is to (see
// isDialledBy).
type keep struct {
	stop context.CancelFunc // stops the current dialling and its session; nil while none is running
	wake chan struct{}
	gone bool // it is not to be dialled any more
}

// SetSettings replaces the settings that may change without a restart.
func (b *Replica) SetSettings(s *settings.Settings) {
	b.live.Store(s)
	b.SetSeeds(s.Network.Seeds)
	b.spurred()
}

// SetSeeds replaces the addresses that are dialled first, and dials new ones. It skips addresses that can't be parsed.
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

// keepConnected starts to maintain a connection to the replica at an address, unless it does already. The caller holds
// the mutex.
func (b *Replica) keep(address string) {
	if address == "" || address == b.self.Inner || b.keeps[address] != nil || b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	target := &keep{wake: make(chan struct{}, 1)}
	b.keeps[address] = target
	b.jobs.Go(func() { b.hold(b.ctx, address, target) })
}

// maintainConnection dials an address again and again, and pauses while the replica there has dialled this one. It
// returns when ctx ends or the target is removed.
func (b *Replica) hold(ctx context.Context, address string, target *keep) {
	dialer := &peerlink.Dialer{Net: b.w, Hello: b.self, Log: b.log}
	for ctx.Err() == nil {
		b.mu.Lock()
		if target.gone {
			b.mu.Unlock()
			return
		}
		if b.calledBy(address) {
			b.mu.Unlock()
			select {
			case <-target.wake:
			case <-ctx.Done():
			}
			continue
		}
		dialCtx, stop := context.WithCancel(ctx)
		target.stop = stop
		b.mu.Unlock()
		dialer.Keep(dialCtx, address, func(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello) error { return b.talk(ctx, c, h, true) })
		stop()
		b.mu.Lock()
		target.stop = nil
		b.mu.Unlock()
	}
}

// forgetAfter is how long a replica that is no voter may be silent before it is forgotten.
const forgottenAfter = time.Minute

// forgetSilentReplicas removes replicas that are no voters, are not connected and have been silent for forgetAfter, so
// that neither this replica nor agents dial them forever. It goes on dialling seeds. The caller holds the mutex.
func (b *Replica) forget() {
	now := b.now()
	for name, h := range b.replicas {
		_, isVoter := b.contents.Record.Decided.Voter(h.ID)
		lastHeard := max(b.heardOf[h.ID].at, b.firstHeard[name])
		if name == b.self.Name || isVoter || len(b.links[name]) > 0 || now-lastHeard < forgottenAfter {
			continue
		}
		b.log.Info("replica forgotten", "name", name)
		delete(b.replicas, name)
		delete(b.heardOf, h.ID)
		delete(b.firstHeard, name)
		if target := b.keeps[h.Inner]; target != nil && !slices.Contains(b.seeds, h.Inner) {
			target.gone = true
			if target.stop != nil {
				target.stop()
			}
			delete(b.keeps, h.Inner)
		}
		b.stirred()
	}
}

// isDialledBy reports whether the replica at an address has dialled this one and has the lower name of the two: that
// one's connection is kept, so that two replicas need only one. The caller holds the mutex.
func (b *Replica) calledBy(address string) bool {
	for name, all := range b.links {
		for _, l := range all {
			if !l.dialled && l.peer.Inner == address && name < b.self.Name {
				return true
			}
		}
	}
	return false
}

// acceptSession runs a session that another process has dialled. It rejects peers that are neither replica nor agent.
func (b *Replica) accept(ctx context.Context, conn *peerlink.Conn, hello *peerlink.Hello) error {
	switch hello.Role {
	case peerlink.Replica:
		return b.talk(ctx, conn, hello, false)
	case peerlink.Agent:
		return b.attend(ctx, conn, hello)
	}
	return errors.Errorf("replica: unexpected peer role %q", hello.Role)
}

// runReplicaSession runs a session with another replica until the connection ends. It first sends what this replica
// knows.
func (b *Replica) talk(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello, dialled bool) error {
	if h.Role != peerlink.Replica || h.Name == b.self.Name {
		return errors.Errorf("replica: peer with role %q and name %q is not another replica", h.Role, h.Name)
	}
	b.mu.Lock()
	l := &link{conn: c, peer: *h, dialled: dialled, since: b.now(), pending: map[uint64]*poll{}}
	b.links[h.Name] = append(b.links[h.Name], l)
	b.noteReplica(*h)
	l.told = b.held()
	duty := b.duty.Greeting()
	l.news(&peerlink.Change{Census: b.known(), Servers: b.aged(l.told), Lately: b.fit.inForce()}, &duty)
	b.tellDecided(l)
	if target := b.keeps[h.Inner]; target != nil && target.stop != nil && b.calledBy(h.Inner) {
		target.stop()
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
		if target := b.keeps[h.Inner]; target != nil {
			select {
			case target.wake <- struct{}{}:
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

// sendChange numbers a change and sends it, with the state of the duty unless that is nil.
func (l *link) news(c *peerlink.Change, d *peerlink.Duty) {
	l.no++
	c.No = l.no
	_ = l.conn.Send(&peerlink.Frame{Change: c, Duty: d})
}

// handleFrame processes a frame from another replica.
func (b *Replica) take(ctx context.Context, l *link, frame *peerlink.Frame) {
	if frame.Ask != nil {
		b.answer(ctx, l, frame.Ask)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if frame.Leaving != nil {
		l.leaving = true
		last := b.heardOf[l.peer.ID]
		last.left = true
		b.heardOf[l.peer.ID] = last
		b.stirred()
	}
	if frame.Duty != nil {
		b.hearDuty(l, frame.Duty)
	}
	if frame.Decided != nil {
		b.hearDecided(l, frame.Decided)
	}
	if frame.Report != nil {
		b.reaped(frame.Report)
	}
	if change := frame.Change; change != nil {
		b.verdictsTold(l, change)
		if change.Census != nil {
			for _, hello := range change.Census.Replicas {
				b.noteReplica(hello)
			}
			b.meet(change.Census.Proxies)
		}
		if change.Servers != nil {
			b.listTold(l, change.Servers)
		}
	}
	if reply := frame.Reply; reply != nil {
		if poll := l.pending[reply.ID]; poll != nil {
			delete(l.pending, reply.ID)
			poll.answers <- answer{l.peer.ID, reply}
		}
	}
}

// noteReplica registers another replica, or a newer incarnation of a known one, and dials it. The caller holds the
// mutex.
func (b *Replica) noteReplica(hello peerlink.Hello) {
	old, known := b.replicas[hello.Name]
	if hello.Name == b.self.Name || hello.Name == "" || known && old.Life >= hello.Life {
		return
	}
	b.replicas[hello.Name] = hello
	b.firstHeard[hello.Name] = b.now()
	if !known {
		b.log.Info("new replica", "name", hello.Name, "voter", hello.Voter)
	}
	b.keep(hello.Inner)
	b.stirred()
}

// runInBackground runs a job in a goroutine with a timeout of callTimeout. The caller may hold the mutex.
func (b *Replica) background(job func(ctx context.Context)) {
	b.jobs.Go(func() {
		ctx, cancel := b.within(b.ctx, callWithin)
		defer cancel()
		job(ctx)
	})
}

// knownMembers returns the replicas and proxies that this replica knows, as sent to another one. The caller holds the
// mutex.
func (b *Replica) known() *peerlink.Census {
	census := &peerlink.Census{Replicas: byName(b.replicas)}
	for _, name := range b.proxies.names() {
		census.Proxies = append(census.Proxies, peerlink.Member{Hello: lean(b.proxies.proxies[name].hello)})
	}
	return census
}

// pollAnswer is the reply to a question; reply is nil if the connection broke.
type answer struct {
	from  string // ID of the replier's disk
	reply *peerlink.Reply
}

// poll is a set of questions to other replicas whose answers are awaited.
type poll struct {
	b       *Replica
	answers chan answer
	out     int
	asked   map[*link]uint64
}

// newPoll returns a poll without questions; the caller cancels it in the end.
func (b *Replica) newPoll() *poll {
	return &poll{b: b, answers: make(chan answer, 64), asked: map[*link]uint64{}}
}

// ask sends a question to another replica. It returns false if that can't be sent. The caller holds the mutex.
func (p *poll) ask(l *link, question peerlink.Ask) bool {
	if l == nil || p.out == cap(p.answers) {
		return false
	}
	p.b.asks++
	question.ID = p.b.asks
	if l.conn.Send(&peerlink.Frame{Ask: &question}) != nil {
		return false
	}
	l.pending[question.ID] = p
	p.asked[l] = question.ID
	p.out++
	return true
}

// cancel drops the unanswered questions; replies to them are ignored from then on.
func (p *poll) end() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	for l, id := range p.asked {
		delete(l.pending, id)
	}
}

// linkTo returns the newest connection to the replica with a disk ID; nil if there is none. The caller holds the mutex.
func (b *Replica) linkTo(id string) *link {
	for _, all := range b.links {
		if l := all[len(all)-1]; l.peer.ID == id {
			return l
		}
	}
	return nil
}

// withTimeout returns a context that ends after d by the replica's clock.
func (b *Replica) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return world.WithTimeout(ctx, b.w, d)
}
