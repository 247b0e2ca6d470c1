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

// Replica is one process of control.
type Replica struct {
	world         world.World
	log           logr.Logger
	settings      *settings.Settings                // as told at the start
	liveSettings  atomic.Pointer[settings.Settings] // as told last; only what may change in service differs
	self          peerlink.Hello
	store         *statestore.Store
	startedAt     time.Time // of its steady clock
	cloudClient   *http.Client
	roundWanted   chan struct{} // a round of reports is wanted now
	censusChanged chan struct{} // the census has changed
	dutyWakeup    chan struct{} // the duty may have changed
	jobs          sync.WaitGroup
	ctx           context.Context // of all that runs

	mu             sync.Mutex
	leaving        bool
	seeds          []string                  // inner addresses
	replicas       map[string]peerlink.Hello // all ever heard of, itself included
	dialTargets    map[string]*dialTarget    // by inner address
	links          map[string][]*link        // open ones to other replicas, by name
	lastQuestionID uint64                    // id of the last question
	agents         map[*agent]bool
	proxies        *proxyRegistry
	hostRoutes     homing.Roads     // where clients of hosts are sent
	census         *peerlink.Census // as counted last
	sentCensus     *peerlink.Census // to the agents that are led here
	censusSentAt   time.Duration

	contents            statestore.Contents      // this replica's record and the configurations in it, as they are to be on disk
	highestRound        uint64                   // of the highest ballot that was used or heard of
	lastOnePhaseVersion uint64                   // the newest version that was proposed without promises
	pendingChanges      []*stateChange           // not proposed yet
	versionLearned      chan struct{}            // a version was learnt
	promisedAt          time.Duration            // when the record's promise was given
	proposerWakeup      chan struct{}            // something is pending
	lastReports         map[string]lastReport    // reports, by ID
	firstSeen           map[string]time.Duration // when a life of a replica was first heard of, by name
	acceptedUndecided   map[string]undecided     // in the last round, by ID: what nobody had decided yet
	finishInProgress    bool                     // that is being done
	fetchInProgress     bool                     // a configuration is being fetched
	voterChange         voterChangeState         // the change of voters that is wanted

	configuration        *peerlink.Configuration    // decided
	parsedConfiguration  *routeconfig.Configuration // the same
	ordersInForce        map[string]peerlink.Zone   // orders, decided
	decidedConfirmed     delivery.Confirmation      // of what is decided: when the round began that told so last
	majorityContact      delivery.Confirmation      // of a majority that this replica is not behind: when the round began that heard it last
	newestReported       uint64                     // version that anybody reported in the round before
	configurationHistory delivery.History           // of configurations in force here
	contactAlarmedAt     time.Duration              // when it was logged last that this replica is out of touch
	observedLock         lockObservation

	serverList      *peerlink.Servers // the newest that is known
	listStamp       int64             // of the newest reading, which may have told the same
	newestReading   lastReading       // the same reading
	othersReadingAt time.Duration     // when one of another replica's began
	drainedServers  map[string]bool   // lives that were seen draining

	duty       *lease.Lease // of the list's duty
	ownReading reading

	healthJudge *fit // servers judged by what all proxies saw

	ops ops // what operators ask beyond the platform's calls
}

// New makes a replica; disk is nil where it has none.
func New(set *settings.Settings, w world.World, disk world.Disk, log logr.Logger) *Replica {
	b := &Replica{world: w, log: log, settings: set, startedAt: w.Now(), roundWanted: make(chan struct{}, 1), censusChanged: make(chan struct{}, 1), dutyWakeup: make(chan struct{}, 1),
		proposerWakeup: make(chan struct{}, 1), versionLearned: make(chan struct{}, 1), lastReports: map[string]lastReport{}, firstSeen: map[string]time.Duration{}, replicas: map[string]peerlink.Hello{}, dialTargets: map[string]*dialTarget{}, links: map[string][]*link{}, agents: map[*agent]bool{},
		ordersInForce: map[string]peerlink.Zone{}, drainedServers: map[string]bool{}}
	b.liveSettings.Store(set)
	s := set.Self
	b.self = peerlink.Hello{Version: peerlink.Version, Role: peerlink.Replica, Name: s.Name, Life: b.startedAt.UnixNano(), IP: s.IP, Zone: s.Zone, Region: s.Region,
		Voter: s.Voter, Inner: set.Inner(s.IP), Ctl: set.Network.Listen.Ctl, Dir: set.Network.Listen.Dir, Judges: set.Judge.Records}
	b.restoreFromDisk(disk)
	b.replicas[s.Name] = b.self
	b.proxies = newProxyRegistry(b.store.Census(), 0)
	b.applyRestoredState()
	b.cloudClient = newCloud(w)
	b.healthJudge = newFit()
	b.duty = lease.New(listDuty, peerlink.Seat{Name: s.Name, Life: b.self.Life}, s.Zone)
	return b
}

// now is the replica's steady clock.
func (b *Replica) now() time.Duration { return b.world.Now().Sub(b.startedAt) }

func (b *Replica) hello() peerlink.Hello { return b.self }

// Run serves until ctx ends, and then leaves in order.
func (b *Replica) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.Background())
	defer b.jobs.Wait()
	defer stop()
	b.ctx = inner
	ln, err := b.world.Listen(inner, "tcp", b.self.Inner)
	if err != nil {
		return errors.Wrap(err, "replica")
	}
	b.jobs.Go(func() { b.store.Run(inner) })
	b.jobs.Go(func() { _ = peerlink.Serve(inner, b.world, ln, b.hello, b.log, b.acceptSession) })
	b.jobs.Go(func() { b.runProposer(inner) })
	b.jobs.Go(func() { b.compare(inner) })
	b.jobs.Go(func() { b.watch(inner) })
	b.jobs.Go(func() { b.duties(inner) })
	b.jobs.Go(func() { metrics.Serve(inner, b.world, b.self.IP, metrics.PortControl, b.log, b.figures) })
	if b.self.Judges {
		b.jobs.Go(func() { b.judges(inner) })
	}
	b.SetSeeds(b.settings.Network.Seeds)
	b.mu.Lock()
	for _, v := range b.contents.Record.Decided.Voters {
		b.keepConnected(v.Inner)
	}
	b.mu.Unlock()
	closeHTTP, err := b.serveHTTP(inner)
	if err != nil {
		return err
	}
	<-ctx.Done()
	b.announceLeaving()
	b.resign()
	closeHTTP()
	b.flushConnections()
	return nil
}

// announceLeaving tells everybody that this replica goes.
func (b *Replica) announceLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	why := "told to end"
	var duty *peerlink.Duty
	for _, t := range b.duty.Leave() {
		duty = &t.Duty
	}
	for _, all := range b.links {
		for _, l := range all {
			_ = l.conn.Send(&peerlink.Frame{Leaving: &why, Duty: duty})
		}
	}
	for h := range b.agents {
		_ = h.conn.Send(&peerlink.Frame{Leaving: &why})
	}
}

// flushConnections lets what was said last be written.
func (b *Replica) flushConnections() {
	var all sync.WaitGroup
	b.mu.Lock()
	for _, links := range b.links {
		for _, l := range links {
			all.Go(func() { l.conn.Finish(flushTimeout) })
		}
	}
	for h := range b.agents {
		all.Go(func() { h.conn.Finish(flushTimeout) })
	}
	b.mu.Unlock()
	all.Wait()
}

const flushTimeout = 200 * time.Millisecond

// requestRound asks for a round of reports now.
func (b *Replica) requestRound() {
	select {
	case b.roundWanted <- struct{}{}:
	default:
	}
}
