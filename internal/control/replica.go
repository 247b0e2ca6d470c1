package control

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/control/delivery"
	"pepperfall.example/pepperfall/internal/control/lease"
	"pepperfall.example/pepperfall/internal/control/statestore"
	"pepperfall.example/pepperfall/internal/dataplane/homing"
	"pepperfall.example/pepperfall/internal/platform/metrics"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Replica is one process of control. It takes part in deciding the operators' configuration, and keeps the connected
// agents up to date.
type Replica struct {
	w     world.World
	log   logr.Logger
	set   *settings.Settings                // as read at the start
	live  atomic.Pointer[settings.Settings] // the latest settings; they differ from settings only in what may change without a restart
	self  peerlink.Hello
	store *statestore.Store
	start time.Time // zero of the replica's monotonic clock
	cloud *http.Client
	kick  chan struct{} // signals that a round of reports is wanted now
	stir  chan struct{} // signals that the census may have changed
	spur  chan struct{} // signals that the holder of the duty may have changed
	jobs  sync.WaitGroup
	ctx   context.Context // parent of every background job's context

	mu       sync.Mutex
	leaving  bool
	seeds    []string                  // inner addresses
	replicas map[string]peerlink.Hello // by name: all known replicas, this one included
	keeps    map[string]*keep          // by inner address: the replicas to stay connected to
	links    map[string][]*link        // open connections to other replicas, by name
	asks     uint64                    // ID of the last question sent to another replica
	agents   map[*agent]bool
	proxies  *register
	roads    homing.Roads     // per host, whether clients are sent to its home region
	census   *peerlink.Census // the latest count
	told     *peerlink.Census // the census last sent to the agents that use this replica as upstream
	toldAt   time.Duration

	contents   statestore.Contents      // this replica's record and the configurations that it refers to, as they are written to disk
	rounds     uint64                   // round of the highest ballot that was used or seen
	firstUsed  uint64                   // the newest version that this process proposed in one phase, without promises
	pending    []*change                // changes that no proposal contains yet
	advanced   chan struct{}            // signals that a newer decided version was learned
	promisedAt time.Duration            // when this replica last granted a promise or an acceptance
	asked      chan struct{}            // signals that pendingChanges is not empty
	heardOf    map[string]lastReport    // by the ID of the replica's disk
	firstHeard map[string]time.Duration // by name: when the current incarnation of a replica was first seen
	accepted   map[string]undecided     // by disk ID: values that were accepted and not decided in the last round
	finishing  bool                     // a proposal that decides such a value is running
	catching   bool                     // a configuration is being fetched from another replica
	joining    joining                  // the wanted change of the voters

	configuration *peerlink.Configuration    // the decided one
	parsed        *routeconfig.Configuration // configuration, parsed; nil until parsing ends
	zones         map[string]peerlink.Zone   // decided orders by subject: a zone, a proxy or a server
	fresh         delivery.Confirmation      // start of the last round in which a majority confirmed the decided state as the latest
	touched       delivery.Confirmation      // start of the last round in which a majority answered and this replica was not behind
	newest        uint64                     // highest version that another replica reported in the previous round
	versions      delivery.History           // configurations that have been in force at this replica
	alarmed       time.Duration              // when the loss of contact with a majority was last logged
	locks         lockSeen

	list    *peerlink.Servers // the newest known list
	stamp   int64             // stamp of the newest reading, which may have found the list unchanged
	read    lastReading       // age and period of the newest reading
	others  time.Duration     // when the newest reading by another replica began
	drained map[string]bool   // by ID: server instances that were seen draining

	duty  *lease.Lease // the lease on the duty to read the server list
	reads reading

	fit *fit // health verdicts on servers, from the evidence of all proxies

	ops ops // state of the operators' read-only calls
}

// New returns a replica with the state that it finds on disk; disk is nil for a replica without one.
func New(initial *settings.Settings, w world.World, disk world.Disk, log logr.Logger) *Replica {
	b := &Replica{w: w, log: log, set: initial, start: w.Now(), kick: make(chan struct{}, 1), stir: make(chan struct{}, 1), spur: make(chan struct{}, 1),
		asked: make(chan struct{}, 1), advanced: make(chan struct{}, 1), heardOf: map[string]lastReport{}, firstHeard: map[string]time.Duration{}, replicas: map[string]peerlink.Hello{}, keeps: map[string]*keep{}, links: map[string][]*link{}, agents: map[*agent]bool{},
		zones: map[string]peerlink.Zone{}, drained: map[string]bool{}}
	b.live.Store(initial)
	s := initial.Self
	b.self = peerlink.Hello{Version: peerlink.Version, Role: peerlink.Replica, Name: s.Name, Life: b.start.UnixNano(), IP: s.IP, Zone: s.Zone, Region: s.Region,
		Voter: s.Voter, Inner: initial.Inner(s.IP), Ctl: initial.Network.Listen.Ctl, Dir: initial.Network.Listen.Dir, Judges: initial.Judge.Records}
	b.restore(disk)
	b.replicas[s.Name] = b.self
	b.proxies = newRegister(b.store.Census(), 0)
	b.enforce()
	b.cloud = newCloud(w)
	b.fit = newFit()
	b.duty = lease.New(listDuty, peerlink.Seat{Name: s.Name, Life: b.self.Life}, s.Zone)
	return b
}

// now returns the time since the replica's start by its monotonic clock.
func (b *Replica) now() time.Duration { return b.w.Now().Sub(b.start) }

func (b *Replica) hello() peerlink.Hello { return b.self }

// Run serves until ctx ends and then shuts down gracefully: it tells its peers, resigns as a voter and flushes its
// connections. It returns an error if it can't listen.
func (b *Replica) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer b.jobs.Wait()
	defer stop()
	b.ctx = inner
	ln, err := b.w.Listen(inner, "tcp", b.self.Inner)
	if err != nil {
		return errors.Wrap(err, "replica")
	}
	b.jobs.Go(func() { b.store.Run(inner) })
	b.jobs.Go(func() { _ = peerlink.Serve(inner, b.w, ln, b.hello, b.log, b.accept) })
	b.jobs.Go(func() { b.propose(inner) })
	b.jobs.Go(func() { b.compare(inner) })
	b.jobs.Go(func() { b.watch(inner) })
	b.jobs.Go(func() { b.duties(inner) })
	b.jobs.Go(func() { metrics.Serve(inner, b.w, b.self.IP, metrics.PortControl, b.log, b.figures) })
	if b.self.Judges {
		b.jobs.Go(func() { b.judges(inner) })
	}
	b.SetSeeds(b.set.Network.Seeds)
	b.mu.Lock()
	for _, v := range b.contents.Record.Decided.Voters {
		b.keep(v.Inner)
	}
	b.mu.Unlock()
	closeHTTP, err := b.serveHTTP(inner)
	if err != nil {
		return err
	}
	<-ctx.Done()
	b.leave()
	b.resign()
	closeHTTP()
	b.farewell()
	return nil
}

// announceLeaving tells all connected replicas and agents that this replica shuts down, and hands its duty over.
func (b *Replica) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	why := "told to end"
	var duty *peerlink.Duty
	for _, message := range b.duty.Leave() {
		duty = &message.Duty
	}
	for _, all := range b.links {
		for _, l := range all {
			_ = l.conn.Send(&peerlink.Frame{Leaving: &why, Duty: duty})
		}
	}
	for agent := range b.agents {
		_ = agent.conn.Send(&peerlink.Frame{Leaving: &why})
	}
}

// flushConnections waits until the frames sent last are written, for at most flushTimeout.
func (b *Replica) farewell() {
	var all sync.WaitGroup
	b.mu.Lock()
	for _, links := range b.links {
		for _, l := range links {
			all.Go(func() { l.conn.Finish(finishWithin) })
		}
	}
	for agent := range b.agents {
		all.Go(func() { agent.conn.Finish(finishWithin) })
	}
	b.mu.Unlock()
	all.Wait()
}

const finishWithin = 200 * time.Millisecond

// requestRound asks for a round of reports now.
func (b *Replica) rouse() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}
