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
	lastChangeNumber uint64            // number of the last change sent
	sentList         *peerlink.Servers // server list as last sent to the peer
	receivedList     *peerlink.Servers // server list as last received from the peer
	connectedAt      time.Duration     // by this replica's clock
	leaving          bool              // the peer has said that it shuts down
	openPolls        map[uint64]*poll  // by question ID

	sentVerdicts, receivedVerdicts *serverhealth.Verdicts // as last sent to the peer and received from it
}

// dialTarget is the address of a replica that this one dials unless the other has dialled it and is to (see
// isDialledBy).
type dialTarget struct {
	stopDialling context.CancelFunc // stops the current dialling and its session; nil while none is running
	wakeup       chan struct{}
	removed      bool // it is not to be dialled any more
}

// SetSettings replaces the settings that may change without a restart.
func (b *Replica) SetSettings(s *settings.Settings) {
	b.liveSettings.Store(s)
	b.SetSeeds(s.Network.Seeds)
	b.signalLeaseChange()
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
		b.seeds = append(b.seeds, b.settings.Inner(host))
	}
	for _, s := range b.seeds {
		b.keepConnected(s)
	}
}

// keepConnected starts to maintain a connection to the replica at an address, unless it does already. The caller holds
// the mutex.
func (b *Replica) keepConnected(address string) {
	if address == "" || address == b.self.Inner || b.dialTargets[address] != nil || b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	target := &dialTarget{wakeup: make(chan struct{}, 1)}
	b.dialTargets[address] = target
	b.jobs.Go(func() { b.maintainConnection(b.ctx, address, target) })
}

// maintainConnection dials an address again and again, and pauses while the replica there has dialled this one. It
// returns when ctx ends or the target is removed.
func (b *Replica) maintainConnection(ctx context.Context, address string, target *dialTarget) {
	dialer := &peerlink.Dialer{Net: b.world, Hello: b.self, Log: b.log}
	for ctx.Err() == nil {
		b.mu.Lock()
		if target.removed {
			b.mu.Unlock()
			return
		}
		if b.isDialledBy(address) {
			b.mu.Unlock()
			select {
			case <-target.wakeup:
			case <-ctx.Done():
			}
			continue
		}
		dialCtx, stop := context.WithCancel(ctx)
		target.stopDialling = stop
		b.mu.Unlock()
		dialer.Keep(dialCtx, address, func(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello) error {
			return b.runReplicaSession(ctx, c, h, true)
		})
		stop()
		b.mu.Lock()
		target.stopDialling = nil
		b.mu.Unlock()
	}
}

// forgetAfter is how long a replica that is no voter may be silent before it is forgotten.
const forgetAfter = time.Minute

// forgetSilentReplicas removes replicas that are no voters, are not connected and have been silent for forgetAfter, so
// that neither this replica nor agents dial them forever. It goes on dialling seeds. The caller holds the mutex.
func (b *Replica) forgetSilentReplicas() {
	now := b.now()
	for name, h := range b.replicas {
		_, isVoter := b.contents.Record.Decided.Voter(h.ID)
		lastHeard := max(b.lastReports[h.ID].receivedAt, b.firstSeen[name])
		if name == b.self.Name || isVoter || len(b.links[name]) > 0 || now-lastHeard < forgetAfter {
			continue
		}
		b.log.Info("replica forgotten", "name", name)
		delete(b.replicas, name)
		delete(b.lastReports, h.ID)
		delete(b.firstSeen, name)
		if target := b.dialTargets[h.Inner]; target != nil && !slices.Contains(b.seeds, h.Inner) {
			target.removed = true
			if target.stopDialling != nil {
				target.stopDialling()
			}
			delete(b.dialTargets, h.Inner)
		}
		b.signalCensusChange()
	}
}

// isDialledBy reports whether the replica at an address has dialled this one and has the lower name of the two: that
// one's connection is kept, so that two replicas need only one. The caller holds the mutex.
func (b *Replica) isDialledBy(address string) bool {
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
func (b *Replica) acceptSession(ctx context.Context, conn *peerlink.Conn, hello *peerlink.Hello) error {
	switch hello.Role {
	case peerlink.Replica:
		return b.runReplicaSession(ctx, conn, hello, false)
	case peerlink.Agent:
		return b.serveAgent(ctx, conn, hello)
	}
	return errors.Errorf("replica: unexpected peer role %q", hello.Role)
}

// runReplicaSession runs a session with another replica until the connection ends. It first sends what this replica
// knows.
func (b *Replica) runReplicaSession(ctx context.Context, c *peerlink.Conn, h *peerlink.Hello, dialled bool) error {
	if h.Role != peerlink.Replica || h.Name == b.self.Name {
		return errors.Errorf("replica: peer with role %q and name %q is not another replica", h.Role, h.Name)
	}
	b.mu.Lock()
	l := &link{conn: c, peer: *h, dialled: dialled, connectedAt: b.now(), openPolls: map[uint64]*poll{}}
	b.links[h.Name] = append(b.links[h.Name], l)
	b.noteReplica(*h)
	l.sentList = b.currentList()
	leaseState := b.listLease.Greeting()
	l.sendChange(&peerlink.Change{Census: b.knownMembers(), Servers: b.listWithAge(l.sentList), Lately: b.healthJudge.verdictsInForce()}, &leaseState)
	b.sendDecided(l)
	if target := b.dialTargets[h.Inner]; target != nil && target.stopDialling != nil && b.isDialledBy(h.Inner) {
		target.stopDialling()
	}
	b.mu.Unlock()
	b.requestRound()
	b.signalLeaseChange()
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
		if target := b.dialTargets[h.Inner]; target != nil {
			select {
			case target.wakeup <- struct{}{}:
			default:
			}
		}
		b.signalCensusChange()
		b.signalLeaseChange()
	}()
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		b.handleFrame(ctx, l, f)
	}
}

// sendChange numbers a change and sends it, with the state of the list lease unless that is nil.
func (l *link) sendChange(c *peerlink.Change, d *peerlink.Duty) {
	l.lastChangeNumber++
	c.No = l.lastChangeNumber
	_ = l.conn.Send(&peerlink.Frame{Change: c, Duty: d})
}

// handleFrame processes a frame from another replica.
func (b *Replica) handleFrame(ctx context.Context, l *link, frame *peerlink.Frame) {
	if frame.Ask != nil {
		b.answerQuestion(ctx, l, frame.Ask)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if frame.Leaving != nil {
		l.leaving = true
		last := b.lastReports[l.peer.ID]
		last.hasLeft = true
		b.lastReports[l.peer.ID] = last
		b.signalCensusChange()
	}
	if frame.Duty != nil {
		b.handleLeaseMessage(l, frame.Duty)
	}
	if frame.Decided != nil {
		b.receiveDecided(l, frame.Decided)
	}
	if frame.Report != nil {
		b.handleForwardedReport(frame.Report)
	}
	if change := frame.Change; change != nil {
		b.handlePeerVerdicts(l, change)
		if change.Census != nil {
			for _, hello := range change.Census.Replicas {
				b.noteReplica(hello)
			}
			b.mergeProxies(change.Census.Proxies)
		}
		if change.Servers != nil {
			b.handlePeerList(l, change.Servers)
		}
	}
	if reply := frame.Reply; reply != nil {
		if poll := l.openPolls[reply.ID]; poll != nil {
			delete(l.openPolls, reply.ID)
			poll.answers <- pollAnswer{l.peer.ID, reply}
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
	b.firstSeen[hello.Name] = b.now()
	if !known {
		b.log.Info("new replica", "name", hello.Name, "voter", hello.Voter)
	}
	b.keepConnected(hello.Inner)
	b.signalCensusChange()
}

// runInBackground runs a job in a goroutine with a timeout of callTimeout. The caller may hold the mutex.
func (b *Replica) runInBackground(job func(ctx context.Context)) {
	b.jobs.Go(func() {
		ctx, cancel := b.withTimeout(b.ctx, callTimeout)
		defer cancel()
		job(ctx)
	})
}

// knownMembers returns the replicas and proxies that this replica knows, as sent to another one. The caller holds the
// mutex.
func (b *Replica) knownMembers() *peerlink.Census {
	census := &peerlink.Census{Replicas: sortedByName(b.replicas)}
	for _, name := range b.proxies.names() {
		census.Proxies = append(census.Proxies, peerlink.Member{Hello: memberHello(b.proxies.proxies[name].hello)})
	}
	return census
}

// pollAnswer is the reply to a question; reply is nil if the connection broke.
type pollAnswer struct {
	from  string // ID of the replier's disk
	reply *peerlink.Reply
}

// poll is a set of questions to other replicas whose answers are awaited.
type poll struct {
	replica     *Replica
	answers     chan pollAnswer
	sentCount   int
	questionIDs map[*link]uint64
}

// newPoll returns a poll without questions; the caller cancels it in the end.
func (b *Replica) newPoll() *poll {
	return &poll{replica: b, answers: make(chan pollAnswer, 64), questionIDs: map[*link]uint64{}}
}

// ask sends a question to another replica. It returns false if that can't be sent. The caller holds the mutex.
func (p *poll) ask(l *link, question peerlink.Ask) bool {
	if l == nil || p.sentCount == cap(p.answers) {
		return false
	}
	p.replica.lastQuestionID++
	question.ID = p.replica.lastQuestionID
	if l.conn.Send(&peerlink.Frame{Ask: &question}) != nil {
		return false
	}
	l.openPolls[question.ID] = p
	p.questionIDs[l] = question.ID
	p.sentCount++
	return true
}

// cancel drops the unanswered questions; replies to them are ignored from then on.
func (p *poll) cancel() {
	p.replica.mu.Lock()
	defer p.replica.mu.Unlock()
	for l, id := range p.questionIDs {
		delete(l.openPolls, id)
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
func (b *Replica) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return world.WithTimeout(ctx, b.world, d)
}
