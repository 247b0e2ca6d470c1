package node

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// Shares of the file descriptors: a request needs one for its client and one for its server. The remaining ones are for
// listeners, discovery and files.
const (
	clientSocketShare, serverSocketShare = 0.5, 0.35
	sweepInterval                        = time.Second
	cachedListDelay                      = time.Second // how long to wait for discovery before serving from the cached list
)

// The steps of a planned stop. Clients still connect for up to 0.4 s after the signal.
const (
	drainCloseIdleAfter  = 250 * time.Millisecond // idle connections are closed while new ones are still accepted
	drainStopAcceptAfter = 550 * time.Millisecond
	drainQuietTime       = 100 * time.Millisecond
	drainReadTimeout     = 2 * time.Second // how long a request that has started to arrive may take
	drainTimeout         = 65 * time.Second
	drainPollInterval    = 10 * time.Millisecond
)

// drainSchedule holds the times of the steps of a planned stop, from its start.
type drainSchedule struct{ closeIdle, stopAccept, timeout time.Duration }

// Node is a standalone proxy whose sockets are open.
type Node struct {
	cfg           *Config
	world         world.World
	loop          *loop
	server        *server
	upstream      *upstream
	peers         *peers
	discovery     *discovery
	listener      net.Listener
	drainSchedule drainSchedule

	tuningMu            sync.Mutex // serializes changes of the tuning and of configuredDiscovery
	configuredDiscovery string     // the discovery address in the configuration file
}

// New opens the sockets of a standalone proxy.
func New(cfg *Config) (*Node, error) {
	gateway, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	machine := cfg.World
	if machine == nil {
		machine = world.Real{}
	}
	clk := newClock(machine)
	up := &upstream{clock: clk, network: machine, dialTimeout: cfg.DialTimeout,
		idleTimeout: time.Duration(idleTimeoutShare * float64(cfg.ConnIdle)), drainGrace: cfg.DrainGrace,
		maxConns: int(serverSocketShare * float64(cfg.Sockets)), loadFields: cfg.Settings.LoadReportNames,
		servers: map[policy.ServerID]*appServer{}}
	n := &Node{cfg: cfg, world: machine, upstream: up, loop: newLoop(clk, gateway, up), configuredDiscovery: cfg.Discovery,
		drainSchedule: drainSchedule{drainCloseIdleAfter, drainStopAcceptAfter, drainTimeout}}
	n.server = newServer(clk, cfg.Settings, up, n.loop.events, int(clientSocketShare*float64(cfg.Sockets)))
	n.server.bookReader.random = cfg.Random
	if cfg.Random == nil {
		n.server.bookReader.random = rand.Reader
	}
	n.loop.reportWatchFailures = cfg.Settings.MustWatch
	n.loop.onList = func(kind policy.ServerListKind) {
		switch kind {
		case policy.CompleteList:
			n.server.ready.Store(true)
		case policy.CachedList: // used until discovery answers
			if cfg.Settings.MustWatch {
				n.server.ready.Store(true)
				break // discovery is slow to answer: its calls are spread over time
			}
			go func() {
				world.Pause(machine, cachedListDelay)
				n.server.ready.Store(true)
			}()
		}
	}
	if cfg.Settings.CanMessagePeers {
		n.peers, err = listenPeers(machine, cfg.PeerListen, cfg.Peers, cfg.PeerBroadcast, func(from int, data []byte) {
			select {
			case n.loop.events <- policy.PeerMessage{From: from, Data: data}:
			default: // dropped; datagrams may also be lost in the network
			}
		})
		if err != nil {
			return nil, err
		}
		n.loop.sendPeer = n.peers.sendMessage
		if t := cfg.Membership; t != nil {
			if n.peers.watch, err = newFleetWatch(cfg, *t, clk, n.peers, cfg.Seed); err != nil {
				n.closePeers()
				return nil, err
			}
			n.server.watch = n.peers.watch
		}
	}
	if n.listener, err = machine.Listen(context.Background(), "tcp", cfg.Listen); err != nil {
		n.closePeers()
		return nil, fmt.Errorf("listen: %w", err)
	}
	up.applyTuning(DefaultTuning())
	if cached := cfg.CachedList; cached != nil {
		if len(cached.Targets) == 0 {
			cfg.CachedList = nil
		} else if err := cached.validate(); err != nil {
			slog.Warn("ignoring the invalid cached server list", "err", err)
			cfg.CachedList = nil
		}
	}
	n.discovery = newDiscovery(machine, cfg.Discovery, cfg.CachedList, func(l *serverList, kind policy.ServerListKind) {
		n.loop.events <- listUpdate{l, kind}
	})
	if cfg.Settings.MustWatch {
		n.discovery.pacing = newSharedPacing(cfg.Settings.Gateways, cfg.Seed)
	}
	return n, nil
}

// Addr returns the address that clients connect to.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

func (n *Node) closePeers() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
}

// Run serves clients until stop ends, then answers the open requests and returns. A signal on hup means that the
// configuration file has changed.
func (n *Node) Run(stop context.Context, hup <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.closePeers()
	if cached := n.cfg.CachedList; cached != nil {
		n.loop.events <- listUpdate{cached, policy.CachedList}
	}
	go n.loop.run(ctx.Done())
	go n.discovery.run(ctx)
	go n.reload(ctx, hup)
	go n.sweep(ctx)
	if n.peers != nil {
		go n.peers.writeQueued(ctx.Done())
		go n.peers.receive()
		if watch := n.peers.watch; watch != nil {
			watchDone := make(chan struct{})
			go func() { watch.run(ctx); close(watchDone) }()
			defer func() { cancel(); <-watchDone }()
		}
	}
	served := make(chan error, 1)
	go func() { served <- n.server.serve(n.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	n.drain()
	return nil
}

// drain accepts connections for a while longer, then answers the open requests. It returns when no connection is open and no
// request has arrived for drainQuietTime, or after the schedule's timeout.
func (n *Node) drain() {
	began := n.world.Now()
	n.server.draining.Store(true)
	accepting := true
	for n.world.Now().Sub(began) < n.drainSchedule.timeout {
		world.Pause(n.world, drainPollInterval)
		elapsed := n.world.Now().Sub(began)
		if elapsed >= n.drainSchedule.closeIdle {
			n.server.closeIdle(drainQuietTime)
		}
		open, quiet := n.server.connectionActivity()
		if accepting && elapsed >= n.drainSchedule.stopAccept && quiet >= drainQuietTime {
			n.listener.Close()
			accepting = false
		}
		if !accepting && open == 0 && quiet >= drainQuietTime {
			return
		}
	}
}

// sweep runs the periodic cleanup of server connections until ctx ends.
func (n *Node) sweep(ctx context.Context) {
	for world.Sleep(ctx, n.world, sweepInterval) {
		n.upstream.closeStaleConnections()
	}
}
