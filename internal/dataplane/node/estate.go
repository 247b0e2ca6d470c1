package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

const (
	managedDialTimeout        = 250 * time.Millisecond
	managedConnIdle           = 6 * time.Second // an idle connection to an app server is used again within it
	managedDrainGrace         = 0               // what is not sent yet when a server leaves goes elsewhere
	managedMessagesPerSecond  = 40.0            // datagrams a second from each to all others
	managedReportInterval     = 250 * time.Millisecond
	managedDisconnectInterval = 100 * time.Millisecond // for clients that have gone away: servers have to stop within half a second
	freshnessMargin           = 600 * time.Millisecond // control's word is held for old so long before the rules do
	clientTransitMargin       = 40 * time.Millisecond  // an answer is decided so long before the client's deadline
	otherZonePenalty          = 5 * time.Millisecond   // what a server of another zone is held to cost beside its latency
	otherRegionPenalty        = 250 * time.Millisecond // and of another region
	coldShare                 = 0.5
	coldWindow                = handover.ColdSpan
	retryBudgetShare          = 0.7                    // of the budget of further tries that is given out
	quotaExcessShare          = 0.5                    // of what a quota may be passed by, all the time
	idleConnShare             = 0.8                    // part of a server's connections that may stand idle at all edge nodes
	initialExcessShare        = 0.4                    // and at a start
	refusalRetryAfter         = 200 * time.Millisecond // told to those who come before there is a configuration
)

// ManagedConfig is what an edge node of the whole system is told at its start.
type ManagedConfig struct {
	Listen, Peer string // clients' address, and that of peers' datagrams
	Zone, Region string
	Seed         uint64
	Sockets      int
	World        world.World
	Regions      map[string]string // zone to region
	Grace        time.Duration     // a planned stop is over by then

	EnforceRevocation         bool          // keys taken away must be out of use within Revoke
	RevocationLimit           time.Duration // of their acknowledgement, here too when control is out of reach
	RetryRatio, RetrySlack    float64       // further tries: of a service's requests, and beside them
	QuotaExcess, QuotaSlack   float64
	QuotaWindow               time.Duration
	WarmupExcess, WarmupSlack float64
	ListLag                   time.Duration

	OnRequestFailed func(id string, why verdict.Verdict) // of a request that may have run and got no server's answer; nil: nobody is told

	OnUnitsTransferred func(units, of int) // its parts of quotas are others' from now on; so many units were taken over. nil: nobody asks
}

// ManagedNode is an edge node of the whole system: the same loop, sockets and decisions as Node, on the system's wire,
// and fed by its agent instead of the platform.
type ManagedNode struct {
	node       *Node
	cfg        ManagedConfig
	services   *policy.MultiService
	serverList *serverlist.ServerList // the loop's

	managed  *managedState
	ready    atomic.Bool
	handover handoverState // the loop's
	requests requestCounter
	health   serverHealthState // the loop's
}

// NewManagedNode opens the sockets of an edge node of the system.
func NewManagedNode(cfg ManagedConfig) (*ManagedNode, error) {
	field := &policy.MultiService{RetryBudgetPerAttempt: cfg.RetryRatio * retryBudgetShare, ColdShare: coldShare, ColdWindow: coldWindow, ReportInterval: managedReportInterval}
	set := policy.Settings{Gateways: 1, Zone: cfg.Zone, Resolution: time.Millisecond, CanCancel: true, CanMessagePeers: true,
		MessagesPerSecond: managedMessagesPerSecond, MaxRequestUnits: 1, MaxRetryAfter: time.Second, MultiService: field}
	g, err := policy.New(set, cfg.Seed)
	if err != nil {
		return nil, errors.WithMessage(err, "settings")
	}
	w := cfg.World
	clk := newClock(w)
	up := &upstream{clock: clk, network: w, dialTimeout: managedDialTimeout, idleTimeout: managedConnIdle, drainGrace: managedDrainGrace, reuseDelay: defaultReuseDelay,
		maxConns: int(serverSocketShare * float64(cfg.Sockets)), servers: map[policy.ServerID]*appServer{}, isManaged: true}
	n := &Node{world: w, upstream: up, loop: newLoop(clk, g, up)}
	n.loop.disconnectInterval = managedDisconnectInterval
	n.server = newServer(clk, set, up, n.loop.events, int(clientSocketShare*float64(cfg.Sockets)))
	e := &ManagedNode{node: n, cfg: cfg, services: field, serverList: &serverlist.ServerList{Terms: serverListOptions(&cfg)}}
	field.MaxRetryBudget = e.retryCap
	e.managed = &managedState{clock: clk, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x657374))}
	e.managed.maxStatementAge.Store(int64(maxStatementAge(&cfg)))
	n.server.managed, n.server.loopStopped, n.server.onRequestFailed = e.managed, n.loop.stopped, cfg.OnRequestFailed
	if n.peers, err = listenPeers(w, cfg.Peer, nil, netip.AddrPort{}, func(from int, data []byte) {
		select {
		case n.loop.events <- policy.PeerMessage{From: from, Data: data}:
		default: // lost, like one on the way
		}
	}); err != nil {
		return nil, err
	}
	n.loop.sendPeer = n.peers.sendMessage
	e.handover.taker.Life = handover.Life(max(cfg.Seed, 1))
	n.loop.onUnitsOffered = e.recordOfferedUnits
	n.peers.onHandover = e.receiveHandover
	if n.listener, err = w.Listen(context.Background(), "tcp", cfg.Listen); err != nil {
		n.closePeers()
		return nil, errors.WithMessage(err, "listen")
	}
	return e, nil
}

// Addr is where clients connect.
func (e *ManagedNode) Addr() net.Addr { return e.node.listener.Addr() }

// Run serves until stop ends, then answers what is open and returns.
func (e *ManagedNode) Run(stop context.Context) error {
	n := e.node
	ctx, end := context.WithCancel(context.Background())
	defer end()
	defer n.closePeers()
	go n.loop.run(ctx.Done())
	go n.sweep(ctx)
	go n.peers.writeQueued(ctx.Done())
	go n.peers.receive()
	served := make(chan error, 1)
	go func() { served <- n.server.serve(n.listener) }()
	select {
	case err := <-served:
		return errors.WithMessage(err, "serve")
	case <-stop.Done():
	}
	e.ready.Store(false)
	e.leave()
	return nil
}

// Ready tells whether it may be found by clients: it knows configuration, servers and peers, its word is fresh, and
// it does not stop.
func (e *ManagedNode) Ready() bool { return e.readyExceptResting() && !e.node.server.resting.Load() }

// ReadyButResting tells whether it would be ready, but for the order to rest.
func (e *ManagedNode) ReadyButResting() bool {
	return e.readyExceptResting() && e.node.server.resting.Load()
}

func (e *ManagedNode) readyExceptResting() bool {
	return e.ready.Load() && !e.node.server.draining.Load() && e.managed.isFresh(e.node.loop.clock.now())
}

// SetResting takes over whether it is to rest: then it is not ready, and lets go of each client after its next answer.
func (e *ManagedNode) SetResting(rest bool) { e.node.server.resting.Store(rest) }

// ConfirmConfiguration tells until when control's word is known to be the newest.
func (e *ManagedNode) ConfirmConfiguration(ago time.Duration) {
	at := int64(e.node.loop.clock.now() - ago)
	for {
		old := e.managed.confirmedAt.Load()
		if at <= old || e.managed.confirmedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// SetConfiguration puts a configuration in force. It is in force when Configuration returns.
func (e *ManagedNode) SetConfiguration(p *routeconfig.Configuration) {
	classes := e.managed.activate(p)
	t := DefaultTuning()
	t.FirstRequest, t.WholeRequest = p.Limits.HeaderTimeout, 2*p.Limits.HeaderTimeout
	t.ClientIdle, t.CloseUnused = p.Limits.IdleTimeout, false
	t.BodyStall = p.Limits.HeaderTimeout
	e.node.server.tune.Store(&t)
	services := map[string]serverlist.Service{}
	for _, b := range p.Backends {
		services[b.Name] = serverlist.Service{Warmup: b.Warmup, PerS: b.WarmupPerS, MostOut: b.MaxConns}
	}
	e.runOnLoop(func(l *loop) {
		e.serverList.Services(services)
		l.decide(e.configUpdate(p, classes))
		e.updateServers(l)
	})
}

// configUpdate are the module's classes and plans for a configuration.
func (e *ManagedNode) configUpdate(p *routeconfig.Configuration, classes map[string]*policy.Class) policy.ConfigUpdate {
	var t policy.ConfigUpdate
	for _, name := range slices.Sorted(maps.Keys(classes)) { // their order numbers them
		t.Classes = append(t.Classes, *classes[name])
	}
	for _, n := range p.Tenants {
		pl := policy.Plan{Name: n.Name}
		if n.RatePerS > 0 || n.Burst > 0 {
			more := e.cfg.QuotaExcess * quotaExcessShare
			pl.Rate, pl.Burst = max(n.RatePerS*(1+more), 0.01), max(n.Burst*(1+more), 1)
			pl.HardRate, pl.HardBurst = pl.Rate, pl.Burst+e.cfg.QuotaSlack*quotaExcessShare
			pl.HardInitial = (e.cfg.QuotaExcess*(n.RatePerS*e.cfg.QuotaWindow.Seconds()+n.Burst) + e.cfg.QuotaSlack) * initialExcessShare
		}
		t.Plans = append(t.Plans, pl)
	}
	return t
}

// SetServers takes the platform's list over, as it stood at a stamp.
func (e *ManagedNode) SetServers(stamp int64, list []serverlist.Listed) {
	e.runOnLoop(func(l *loop) {
		if e.serverList.List(l.clock.now(), stamp, list) {
			e.updateServers(l)
		}
	})
}

// SetDrainedZones takes over which zones are drained.
func (e *ManagedNode) SetDrainedZones(drained map[string]bool) {
	e.runOnLoop(func(l *loop) {
		e.serverList.Drained(l.clock.now(), drained)
		e.updateServers(l)
	})
}

// SetPeers takes over who is there: the number of this edge node, in how many parts quotas are divided, and the
// addresses of the others by number. Of its own parts it leaves a part unused.
func (e *ManagedNode) SetPeers(me, shares int, less float64, at []netip.AddrPort, regions []string) {
	numbers := max(len(at), me+1, shares)
	shares = max(shares, 1)
	to := make([]netip.AddrPort, numbers)
	copy(to, at)
	to[me] = netip.AddrPort{}
	e.node.peers.setAddresses(to)
	e.managed.gatewayCount.Store(int64(shares))
	e.runOnLoop(func(l *loop) {
		e.handover.peers = policy.GatewaySet{Me: me, Gateways: numbers, CeilingParts: shares, Regions: regions, UnusedShare: less}
		e.updateShares(l)
		e.updateServers(l)
	})
}

// runOnLoop runs a change on the loop and waits for it.
func (e *ManagedNode) runOnLoop(f func(l *loop)) {
	done := make(chan struct{})
	e.node.loop.events <- func() {
		f(e.node.loop)
		close(done)
	}
	select {
	case <-done:
	case <-e.node.loop.stopped:
	}
}

// updateServers tells the module and the upstream side of the servers there are.
func (e *ManagedNode) updateServers(l *loop) {
	if !e.serverList.Have() {
		return
	}
	list := &serverList{All: true}
	ev := policy.ServerList{Kind: policy.CompleteList}
	for _, s := range e.serverList.Lives() {
		t := target{UID: s.ID, Endpoint: s.Address, State: "SERVING"}
		if s.MostOut > 0 {
			t.maxIdleConns = max(1, int(idleConnShare*float64(s.MostOut)/float64(max(1, e.managed.gatewayCount.Load()))))
		}
		m := policy.Server{ID: serverID(s.ID), Zone: s.Zone, Region: s.Region, Service: s.Service, Slots: max(1, s.Slots),
			ColdUntil: s.ColdUntil, ColdSendRate: s.ColdSends}
		if s.Closed {
			t.State, m.State = "DRAINING", policy.Draining
		}
		switch {
		case s.Region != e.cfg.Region:
			m.ExtraLatency = otherRegionPenalty
		case s.Zone != e.cfg.Zone:
			m.ExtraLatency = otherZonePenalty
		}
		list.Targets = append(list.Targets, t)
		ev.Servers = append(ev.Servers, m)
	}
	l.upstream.update(list, true)
	l.decide(ev)
	if len(e.health.trust) > 0 {
		e.applyTrust(l) // of servers that are new to the module
	}
	e.ready.Store(e.managed.active.Load() != nil && e.managed.gatewayCount.Load() > 0)
}
