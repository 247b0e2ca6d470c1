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

// Parts of the file descriptors: a request needs one for its client and one
// for its app server; the rest is for the listeners, discovery and files.
const (
	clientSocketShare, serverSocketShare = 0.5, 0.35
	sweepInterval                        = time.Second
	cachedListDelay                      = time.Second // discovery is given so long before the known list has to do
)

// The steps of a planned stop. Clients go on coming for up to 0.4 s after the
// signal.
const (
	drainCloseIdleAfter  = 250 * time.Millisecond // idle connections are closed while new ones still find an open door
	drainStopAcceptAfter = 550 * time.Millisecond
	drainQuietTime       = 100 * time.Millisecond
	drainReadTimeout     = 2 * time.Second // a request that has begun to come by then is given so long
	drainTimeout         = 65 * time.Second
	drainPollInterval    = 10 * time.Millisecond
)

// drainSchedule is when a planned stop takes its steps.
type drainSchedule struct{ closeIdle, stopAccept, timeout time.Duration }

// Node is an edge node whose sockets are open.
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

	tuningMu            sync.Mutex // one change at a time
	configuredDiscovery string     // where the platform's configuration says that it is
}

// New opens the sockets of an edge node.
func New(cfg *Config) (*Node, error) {
	g, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	w := cfg.World
	if w == nil {
		w = world.Real{}
	}
	clk := newClock(w)
	up := &upstream{clock: clk, network: w, limit: cfg.DialTimeout,
		idleFor: time.Duration(idlePart * float64(cfg.ConnIdle)), grace: cfg.DrainGrace,
		most: int(serverSocketShare * float64(cfg.Sockets)), fields: cfg.Settings.LoadReportNames,
		servers: map[policy.ServerID]*appServer{}}
	n := &Node{cfg: cfg, world: w, upstream: up, loop: newLoop(clk, g, up), configuredDiscovery: cfg.Discovery,
		drainSchedule: drainSchedule{drainCloseIdleAfter, drainStopAcceptAfter, drainTimeout}}
	n.server = newServer(clk, cfg.Settings, up, n.loop.events, int(clientSocketShare*float64(cfg.Sockets)))
	n.server.booked.random = cfg.Random
	if cfg.Random == nil {
		n.server.booked.random = rand.Reader
	}
	n.loop.mustAsk = cfg.Settings.MustWatch
	n.loop.onList = func(kind policy.ServerListKind) {
		switch kind {
		case policy.CompleteList:
			n.server.ready.Store(true)
		case policy.CachedList: // has to do while discovery is silent
			if cfg.Settings.MustWatch {
				n.server.ready.Store(true)
				break // its answer is not to be had at once
			}
			go func() {
				world.Pause(w, cachedListDelay)
				n.server.ready.Store(true)
			}()
		}
	}
	if cfg.Settings.CanMessagePeers {
		n.peers, err = listenPeers(w, cfg.PeerListen, cfg.Peers, cfg.PeerBroadcast, func(from int, data []byte) {
			select {
			case n.loop.events <- policy.PeerMessage{From: from, Data: data}:
			default: // lost, like one on the way
			}
		})
		if err != nil {
			return nil, err
		}
		n.loop.tell = n.peers.tell
		if t := cfg.Membership; t != nil {
			if n.peers.watch, err = newWatch(cfg, *t, clk, n.peers, cfg.Seed); err != nil {
				n.closePeers()
				return nil, err
			}
			n.server.watch = n.peers.watch
		}
	}
	if n.listener, err = w.Listen(context.Background(), "tcp", cfg.Listen); err != nil {
		n.closePeers()
		return nil, fmt.Errorf("listen: %w", err)
	}
	up.tune(DefaultTuning())
	if k := cfg.CachedList; k != nil {
		if len(k.Targets) == 0 {
			cfg.CachedList = nil
		} else if err := k.validate(); err != nil {
			slog.Warn("known list passed over", "err", err)
			cfg.CachedList = nil
		}
	}
	n.discovery = newDiscovery(w, cfg.Discovery, cfg.CachedList, func(l *serverList, kind policy.ServerListKind) {
		n.loop.events <- listed{l, kind}
	})
	if cfg.Settings.MustWatch {
		n.discovery.pacing = newSharedPacing(cfg.Settings.Gateways, cfg.Seed)
	}
	return n, nil
}

// Addr is where clients connect.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

func (n *Node) closePeers() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
}

// Run serves until stop ends, then answers what is open and returns. Signals on
// hup tell that the configuration file is new.
func (n *Node) Run(stop context.Context, hup <-chan os.Signal) error {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	defer n.closePeers()
	if k := n.cfg.CachedList; k != nil {
		n.loop.events <- listed{k, policy.CachedList}
	}
	go n.loop.run(ctx.Done())
	go n.discovery.run(ctx)
	go n.reload(ctx, hup)
	go n.sweep(ctx)
	if n.peers != nil {
		go n.peers.send(ctx.Done())
		go n.peers.receive()
		if w := n.peers.watch; w != nil {
			left := make(chan struct{})
			go func() { w.run(ctx); close(left) }()
			defer func() { end(); <-left }()
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

// drain goes on accepting for a while, then answers what is open. It returns
// once nothing is open and nothing has come for a moment.
func (n *Node) drain() {
	began := n.world.Now()
	n.server.draining.Store(true)
	accepting := true
	for n.world.Now().Sub(began) < n.drainSchedule.timeout {
		world.Pause(n.world, drainPollInterval)
		past := n.world.Now().Sub(began)
		if past >= n.drainSchedule.closeIdle {
			n.server.closeIdle(drainQuietTime)
		}
		open, quiet := n.server.connectionActivity()
		if accepting && past >= n.drainSchedule.stopAccept && quiet >= drainQuietTime {
			n.listener.Close()
			accepting = false
		}
		if !accepting && open == 0 && quiet >= drainQuietTime {
			return
		}
	}
}

func (n *Node) sweep(ctx context.Context) {
	for world.Sleep(ctx, n.world, sweepInterval) {
		n.upstream.sweep()
	}
}
