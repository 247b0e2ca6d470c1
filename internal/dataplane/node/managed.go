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
	managedConnIdle           = 6 * time.Second // how long an idle connection to a server may be reused
	managedDrainGrace         = 0               // requests not sent yet when a server leaves go to another server at once
	managedMessagesPerSecond  = 40.0            // datagrams per second that a proxy sends to all its peers together
	managedReportInterval     = 250 * time.Millisecond
	managedDisconnectInterval = 100 * time.Millisecond // servers must stop working for a disconnected client within half a second
	freshnessMargin           = 600 * time.Millisecond // control's statements count as stale this long before the rules say so
	otherZonePenalty          = 5 * time.Millisecond   // assumed cost of a server in another zone, on top of its latency
	otherRegionPenalty        = 250 * time.Millisecond // the same for a server in another region
	coldShare                 = 0.5
	coldWindow                = handover.ColdSendDelay
	retryBudgetShare          = 0.7                    // share of the retry budget that is used
	quotaExcessShare          = 0.5                    // share of the allowed quota excess that is used continuously
	idleConnShare             = 0.8                    // share of a server's connections that may be idle, over all proxies
	initialExcessShare        = 0.4                    // share of the allowed quota excess that is available at a start
	refusalRetryAfter         = 200 * time.Millisecond // Retry-After for requests refused before there is a configuration
)

// ManagedConfig holds the settings of a proxy that control configures.
type ManagedConfig struct {
	Listen, Peer string // addresses for clients and for peers' datagrams
	Zone, Region string
	Seed         uint64
	Sockets      int
	World        world.World
	Regions      map[string]string // region by zone
	Grace        time.Duration     // longest duration of a planned stop

	EnforceRevocation         bool          // revoked keys must be refused within RevocationLimit
	RevocationLimit           time.Duration // of their acknowledgement, also while control is unreachable
	RetryRatio, RetrySlack    float64       // allowed retries: per request of a service, and in addition
	QuotaExcess, QuotaSlack   float64       // allowed excess over a quota: as a part of it, and in addition, in units
	QuotaWindow               time.Duration // the excess is allowed in each period of this length
	WarmupExcess, WarmupSlack float64       // a cold server may get its service's cold rate times WarmupExcess, plus WarmupSlack, in requests/s
	ListLag                   time.Duration // how late the server list may be

	// OnRequestFailed, unless nil, is called for each request that may have run and got no server's answer.
	OnRequestFailed func(id string, why verdict.Verdict)

	// OnUnitsTransferred, unless nil, is called when the proxy has handed over its quota units: peers have acknowledged taken
	// of total units.
	OnUnitsTransferred func(taken, total int)
}

// ManagedNode is a proxy that control configures through its agent. It has the same loop, sockets and decisions as Node, but
// uses the managed protocol, and its agent takes the place of discovery.
type ManagedNode struct {
	node       *Node
	cfg        ManagedConfig
	services   *policy.MultiService
	serverList *serverlist.ServerList // owned by the loop

	managed  *managedState
	ready    atomic.Bool
	handover handoverState // owned by the loop
	requests requestCounter
	health   serverHealthState // owned by the loop
}

// NewManagedNode returns a proxy with its sockets open. It fails if the settings are invalid or an address is in use.
func NewManagedNode(cfg ManagedConfig) (*ManagedNode, error) {
	services := &policy.MultiService{RetryBudgetPerAttempt: cfg.RetryRatio * retryBudgetShare, ColdShare: coldShare, ColdWindow: coldWindow, ReportInterval: managedReportInterval}
	settings := policy.Settings{Gateways: 1, Zone: cfg.Zone, Resolution: time.Millisecond, CanCancel: true, CanMessagePeers: true,
		MessagesPerSecond: managedMessagesPerSecond, MaxRequestUnits: 1, MaxRetryAfter: time.Second, MultiService: services}
	gateway, err := policy.New(settings, cfg.Seed)
	if err != nil {
		return nil, errors.WithMessage(err, "settings")
	}
	w := cfg.World
	clk := newClock(w)
	up := &upstream{clock: clk, network: w, dialTimeout: managedDialTimeout, idleTimeout: managedConnIdle, drainGrace: managedDrainGrace, reuseDelay: defaultReuseDelay,
		maxConns: int(serverSocketShare * float64(cfg.Sockets)), servers: map[policy.ServerID]*appServer{}, isManaged: true}
	n := &Node{world: w, upstream: up, loop: newLoop(clk, gateway, up)}
	n.loop.disconnectInterval = managedDisconnectInterval
	n.server = newServer(clk, settings, up, n.loop.events, int(clientSocketShare*float64(cfg.Sockets)))
	e := &ManagedNode{node: n, cfg: cfg, services: services, serverList: &serverlist.ServerList{Settings: serverListOptions(&cfg)}}
	services.MaxRetryBudget = e.retryCap
	e.managed = &managedState{clock: clk, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x657374))}
	e.managed.maxStatementAge.Store(int64(maxStatementAge(&cfg)))
	n.server.managed, n.server.loopStopped, n.server.onRequestFailed = e.managed, n.loop.stopped, cfg.OnRequestFailed
	if n.peers, err = listenPeers(w, cfg.Peer, nil, netip.AddrPort{}, func(from int, data []byte) {
		select {
		case n.loop.events <- policy.PeerMessage{From: from, Data: data}:
		default: // queue full: dropped, as datagrams may be anyway
		}
	}); err != nil {
		return nil, err
	}
	n.loop.sendPeer = n.peers.sendMessage
	e.handover.taker.Incarnation = handover.Incarnation(max(cfg.Seed, 1))
	n.loop.onUnitsOffered = e.recordOfferedUnits
	n.peers.onHandover = e.receiveHandover
	if n.listener, err = w.Listen(context.Background(), "tcp", cfg.Listen); err != nil {
		n.closePeers()
		return nil, errors.WithMessage(err, "listen")
	}
	return e, nil
}

// Addr returns the address that clients connect to.
func (e *ManagedNode) Addr() net.Addr { return e.node.listener.Addr() }

// Run serves until stop is done, then answers the open requests and returns.
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

// Ready reports whether clients may be sent to the proxy: it has a configuration, servers and peers, control's statements are
// fresh, and it is neither stopping nor ordered to rest.
func (e *ManagedNode) Ready() bool { return e.readyExceptResting() && !e.node.server.resting.Load() }

// ReadyButResting reports whether only the order to rest keeps the proxy from being ready.
func (e *ManagedNode) ReadyButResting() bool {
	return e.readyExceptResting() && e.node.server.resting.Load()
}

func (e *ManagedNode) readyExceptResting() bool {
	return e.ready.Load() && !e.node.server.draining.Load() && e.managed.isFresh(e.node.loop.clock.now())
}

// SetResting sets whether the proxy rests. A resting proxy is not ready, and closes each client's connection after its next
// answer.
func (e *ManagedNode) SetResting(rest bool) { e.node.server.resting.Store(rest) }

// ConfirmConfiguration records that control's statements were confirmed to be the newest at the time ago before now.
func (e *ManagedNode) ConfirmConfiguration(ago time.Duration) {
	at := int64(e.node.loop.clock.now() - ago)
	for {
		previous := e.managed.confirmedAt.Load()
		if at <= previous || e.managed.confirmedAt.CompareAndSwap(previous, at) {
			return
		}
	}
}

// SetConfiguration makes a configuration current. It is current when SetConfiguration returns.
func (e *ManagedNode) SetConfiguration(configuration *routeconfig.Configuration) {
	classes := e.managed.activate(configuration)
	tuning := DefaultTuning()
	tuning.FirstRequest, tuning.WholeRequest = configuration.Limits.HeaderTimeout, 2*configuration.Limits.HeaderTimeout
	tuning.ClientIdle, tuning.CloseUnused = configuration.Limits.IdleTimeout, false
	tuning.BodyStall = configuration.Limits.HeaderTimeout
	e.node.server.tuning.Store(&tuning)
	services := map[string]serverlist.Service{}
	for _, b := range configuration.Backends {
		services[b.Name] = serverlist.Service{Warmup: b.Warmup, ColdRate: b.WarmupPerS, MaxConnections: b.MaxConns}
	}
	e.runOnLoop(func(l *loop) {
		e.serverList.SetServices(services)
		l.decide(e.configUpdate(configuration, classes))
		e.updateServers(l)
	})
}

// configUpdate returns the policy package's classes and plans for a configuration.
func (e *ManagedNode) configUpdate(configuration *routeconfig.Configuration, classes map[string]*policy.Class) policy.ConfigUpdate {
	var update policy.ConfigUpdate
	for _, name := range slices.Sorted(maps.Keys(classes)) { // classes are numbered in this order
		update.Classes = append(update.Classes, *classes[name])
	}
	for _, tenant := range configuration.Tenants {
		plan := policy.Plan{Name: tenant.Name}
		if tenant.RatePerS > 0 || tenant.Burst > 0 {
			excess := e.cfg.QuotaExcess * quotaExcessShare
			plan.Rate, plan.Burst = max(tenant.RatePerS*(1+excess), 0.01), max(tenant.Burst*(1+excess), 1)
			plan.HardRate, plan.HardBurst = plan.Rate, plan.Burst+e.cfg.QuotaSlack*quotaExcessShare
			plan.HardInitial = (e.cfg.QuotaExcess*(tenant.RatePerS*e.cfg.QuotaWindow.Seconds()+tenant.Burst) + e.cfg.QuotaSlack) * initialExcessShare
		}
		update.Plans = append(update.Plans, plan)
	}
	return update
}

// SetServers applies the platform's server list with its stamp. An older list than the current one is ignored.
func (e *ManagedNode) SetServers(stamp int64, list []serverlist.Entry) {
	e.runOnLoop(func(l *loop) {
		if e.serverList.Update(l.clock.now(), stamp, list) {
			e.updateServers(l)
		}
	})
}

// SetDrainedZones sets which zones are drained.
func (e *ManagedNode) SetDrainedZones(drained map[string]bool) {
	e.runOnLoop(func(l *loop) {
		e.serverList.SetDrainedZones(l.clock.now(), drained)
		e.updateServers(l)
	})
}

// SetPeers sets the peers: the index of this proxy, into how many shares quotas are divided, and the peers' addresses and
// regions by index. Of its own share the proxy leaves the part unusedShare unused.
func (e *ManagedNode) SetPeers(self, shares int, unusedShare float64, addrs []netip.AddrPort, regions []string) {
	peerCount := max(len(addrs), self+1, shares)
	shares = max(shares, 1)
	byIndex := make([]netip.AddrPort, peerCount)
	copy(byIndex, addrs)
	byIndex[self] = netip.AddrPort{}
	e.node.peers.setAddresses(byIndex)
	e.managed.gatewayCount.Store(int64(shares))
	e.runOnLoop(func(l *loop) {
		e.handover.peers = policy.GatewaySet{Me: self, Gateways: peerCount, CeilingParts: shares, Regions: regions, UnusedShare: unusedShare}
		e.updateShares(l)
		e.updateServers(l)
	})
}

// runOnLoop runs a function on the loop and waits until it has returned or the loop has stopped.
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

// updateServers passes the current servers to the policy package and to the upstream connections.
func (e *ManagedNode) updateServers(l *loop) {
	if !e.serverList.HasList() {
		return
	}
	list := &serverList{All: true}
	ev := policy.ServerList{Kind: policy.CompleteList}
	for _, s := range e.serverList.Servers() {
		t := target{UID: s.ID, Endpoint: s.Address, State: "SERVING"}
		if s.MaxConnections > 0 {
			t.maxIdleConns = max(1, int(idleConnShare*float64(s.MaxConnections)/float64(max(1, e.managed.gatewayCount.Load()))))
		}
		m := policy.Server{ID: serverID(s.ID), Zone: s.Zone, Region: s.Region, Service: s.Service, Slots: max(1, s.Slots),
			ColdUntil: s.ColdUntil, ColdSendRate: s.MaxColdRate}
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
		e.applyTrust(l) // also covers servers that are new to the policy package
	}
	e.ready.Store(e.managed.active.Load() != nil && e.managed.gatewayCount.Load() > 0)
}
