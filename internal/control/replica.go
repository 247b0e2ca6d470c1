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
	world           world.World
	log             logr.Logger
	settings        *settings.Settings                // as read at the start
	liveSettings    atomic.Pointer[settings.Settings] // the latest; only what may change without a restart differs
	self            peerlink.Hello
	store           *statestore.Store
	startedAt       time.Time // zero of the replica's monotonic clock
	cloudClient     *http.Client
	roundWanted     chan struct{} // signals that a round of reports is wanted now
	censusChanged   chan struct{} // signals that the census may have changed
	listLeaseWakeup chan struct{} // signals that the list lease may have a new holder
	jobs            sync.WaitGroup
	ctx             context.Context // parent of every background job's context

	mu             sync.Mutex
	leaving        bool
	seeds          []string                  // inner addresses
	replicas       map[string]peerlink.Hello // by name: all known replicas, this one included
	dialTargets    map[string]*dialTarget    // by inner address: the replicas to stay connected to
	links          map[string][]*link        // open connections to other replicas, by name
	lastQuestionID uint64                    // ID of the last question sent to another replica
	agents         map[*agentConn]bool
	proxies        *proxyRegistry
	hostRoutes     homing.Decisions // per host, whether clients are sent to its home region
	census         *peerlink.Census // the latest count
	sentCensus     *peerlink.Census // the census last sent to the agents that use this replica as upstream
	censusSentAt   time.Duration

	contents            statestore.Contents         // this replica's record and its configurations, as written to disk
	highestRound        uint64                      // round of the highest ballot that was used or seen
	lastOnePhaseVersion uint64                      // the newest version that this process proposed in one phase
	pendingChanges      []*stateChange              // changes that no proposal contains yet
	versionLearned      chan struct{}               // signals that a newer decided version was learned
	promisedAt          time.Duration               // when this replica last granted a promise or an acceptance
	proposerWakeup      chan struct{}               // signals that pendingChanges is not empty
	lastReports         map[string]lastReport       // by the ID of the replica's disk
	firstSeen           map[string]time.Duration    // by name: when the current incarnation of a replica was first seen
	acceptedUndecided   map[string]acceptedProposal // by disk ID: values that were accepted and not decided in the last round
	finishInProgress    bool                        // a proposal that decides such a value is running
	fetchInProgress     bool                        // a configuration is being fetched from another replica
	voterChange         voterChangeState            // the wanted change of the voters

	configuration        *peerlink.Configuration    // the decided one
	parsedConfiguration  *routeconfig.Configuration // configuration, parsed; an earlier one, or nil, until parsing ends
	ordersInForce        map[string]peerlink.Zone   // decided orders by subject: a zone, a proxy or a server
	decidedConfirmed     delivery.Confirmation      // start of the last round that confirmed the decided state as the latest
	majorityContact      delivery.Confirmation      // start of the last round that a majority answered with this replica not behind
	newestReported       uint64                     // highest version that another replica reported in the previous round
	configurationHistory delivery.History           // configurations that have been in force at this replica
	contactAlarmedAt     time.Duration              // when the loss of contact with a majority was last logged
	observedLock         lockObservation

	serverList       *peerlink.Servers // the newest known list
	listStamp        int64             // stamp of the latest read of the list, which may have found it unchanged
	latestListRead   latestListRead    // age and period of the latest read of the list
	othersListReadAt time.Duration     // when the latest read by another replica began
	drainedServers   map[string]bool   // by ID: server instances that were seen draining

	listLease    *lease.Lease // the lease on reading the server list
	ownListReads ownListReads

	healthJudge *serverJudge // health verdicts on servers, from the evidence of all proxies

	ops operatorState // state of the operators' read-only calls
}

// New returns a replica with the state that it finds on disk; disk is nil for a replica without one.
func New(initial *settings.Settings, w world.World, disk world.Disk, log logr.Logger) *Replica {
	b := &Replica{world: w, log: log, settings: initial, startedAt: w.Now(),
		roundWanted: make(chan struct{}, 1), censusChanged: make(chan struct{}, 1), listLeaseWakeup: make(chan struct{}, 1),
		proposerWakeup: make(chan struct{}, 1), versionLearned: make(chan struct{}, 1),
		lastReports: map[string]lastReport{}, firstSeen: map[string]time.Duration{}, replicas: map[string]peerlink.Hello{},
		dialTargets: map[string]*dialTarget{}, links: map[string][]*link{}, agents: map[*agentConn]bool{},
		ordersInForce: map[string]peerlink.Zone{}, drainedServers: map[string]bool{}}
	b.liveSettings.Store(initial)
	s := initial.Self
	b.self = peerlink.Hello{Version: peerlink.Version, Role: peerlink.Replica, Name: s.Name, Life: b.startedAt.UnixNano(), IP: s.IP, Zone: s.Zone, Region: s.Region,
		Voter: s.Voter, Inner: initial.Inner(s.IP), Ctl: initial.Network.Listen.Ctl, Dir: initial.Network.Listen.Dir, Judges: initial.Judge.Records}
	b.restoreFromDisk(disk)
	b.replicas[s.Name] = b.self
	b.proxies = newProxyRegistry(b.store.Census(), 0)
	b.applyRestoredState()
	b.cloudClient = newCloudClient(w)
	b.healthJudge = newServerJudge()
	b.listLease = lease.New(listLeaseName, peerlink.Seat{Name: s.Name, Life: b.self.Life}, s.Zone)
	return b
}

// now returns the time since the replica's start by its monotonic clock.
func (b *Replica) now() time.Duration { return b.world.Now().Sub(b.startedAt) }

func (b *Replica) hello() peerlink.Hello { return b.self }

// Run serves until ctx ends and then shuts down gracefully: it tells its peers, resigns as a voter and flushes its
// connections. It returns an error if it can't listen.
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
	b.jobs.Go(func() { b.runReportRounds(inner) })
	b.jobs.Go(func() { b.runAgentUpdates(inner) })
	b.jobs.Go(func() { b.runListLease(inner) })
	b.jobs.Go(func() { metrics.Serve(inner, b.world, b.self.IP, metrics.PortControl, b.log, b.collectMetrics) })
	if b.self.Judges {
		b.jobs.Go(func() { b.runServerJudge(inner) })
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

// announceLeaving tells all connected replicas and agents that this replica shuts down, and hands the list lease over.
func (b *Replica) announceLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	why := "told to end"
	var duty *peerlink.Duty
	for _, message := range b.listLease.Leave() {
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
func (b *Replica) flushConnections() {
	var all sync.WaitGroup
	b.mu.Lock()
	for _, links := range b.links {
		for _, l := range links {
			all.Go(func() { l.conn.Finish(flushTimeout) })
		}
	}
	for agent := range b.agents {
		all.Go(func() { agent.conn.Finish(flushTimeout) })
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
