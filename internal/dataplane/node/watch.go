package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pepperfall.example/pepperfall/internal/edgefleet/fleetview"
	"pepperfall.example/pepperfall/internal/edgefleet/members"
)

const (
	maxQueuedFromPeers = 256 // received datagrams that wait to be processed; further ones are dropped
	statusInterval     = 200 * time.Millisecond
)

// fleetWatch maintains this proxy's view of the other proxies on a goroutine of its own, which blocks only on its
// clock and on incoming datagrams.
type fleetWatch struct {
	fleet        *members.Fleet
	clock        clock
	peers        *peers
	incoming     chan receivedDatagram
	status       atomic.Pointer[string] // the view as JSON, for healthz
	hasNewEvents bool
}

type receivedDatagram struct {
	from netip.AddrPort
	data []byte
}

// newFleetWatch starts a view. All proxies of a fleet use the same numbers for each other, from the configuration;
// the addresses are as this proxy reaches them.
func newFleetWatch(cfg *Config, t members.Timing, c clock, p *peers, seed uint64) (*fleetWatch, error) {
	seeds := make([]members.Peer, 0, len(cfg.Peers))
	for i, a := range cfg.Peers {
		seeds = append(seeds, members.Peer{Name: members.Name(i), Addr: a})
	}
	birth := c.now()
	f, err := members.New(members.Config{Peer: members.Peer{Name: members.Name(cfg.Settings.Me)}, Birth: uint64(birth),
		Fixed: true, Seeds: seeds, Key: xxhash.Sum64String(fmt.Sprint("pepperfall members of ", len(cfg.Peers))), Timing: t},
		rand.New(rand.NewPCG(seed, uint64(birth))), birth)
	if err != nil {
		return nil, err
	}
	return &fleetWatch{fleet: f, clock: c, peers: p, incoming: make(chan receivedDatagram, maxQueuedFromPeers)}, nil
}

// receive queues a datagram from another proxy; it never blocks.
func (w *fleetWatch) receive(from netip.AddrPort, data []byte) {
	select {
	case w.incoming <- receivedDatagram{from, data}:
	default:
	}
}

// run processes datagrams and timers until ctx ends, and then tells the other proxies that this one leaves.
func (w *fleetWatch) run(ctx context.Context) {
	t := w.clock.NewTimer(0)
	defer t.Stop()
	published := w.clock.now()
	for {
		select {
		case <-ctx.Done():
			for _, d := range w.fleet.Leave(w.clock.now()) {
				_, _ = w.peers.conn.WriteTo(d.Data, d.To)
			}
			return
		case h := <-w.incoming:
			out, err := w.fleet.Receive(w.clock.now(), h.from, h.data)
			if err != nil {
				slog.Debug("ignored a datagram of the fleet view", "from", h.from, "err", err)
			}
			w.send(out)
		case <-t.C():
			w.send(w.fleet.Tick(w.clock.now()))
			t.Reset(max(0, w.fleet.Next()-w.clock.now()))
		}
		w.logEvents()
		if now := w.clock.now(); w.hasNewEvents || now-published >= statusInterval {
			published, w.hasNewEvents = now, false
			w.publishStatus()
		}
	}
}

func (w *fleetWatch) send(out []members.Datagram) {
	for _, d := range out {
		w.peers.enqueue(d.To, d.Data)
	}
}

// logEvents logs the view's recent events.
func (w *fleetWatch) logEvents() {
	list, dropped := w.fleet.Events()
	if dropped > 0 {
		slog.Warn("dropped events of the fleet view", "events", dropped)
	}
	for _, e := range list {
		w.hasNewEvents = true
		switch e.Kind {
		case members.Changed:
			slog.Info("view changed", "epoch", e.Epoch, "joined", e.Joined, "lost", e.Lost)
		case members.Slept:
			slog.Warn("this process has slept", "for", e.For)
		case members.Suspected:
			slog.Warn("edge node suspected", "number", e.Name, "level", e.Level)
		case members.Replaced:
			slog.Error("another process uses this proxy's number")
		default:
			slog.Info("view", "event", e.Kind.String(), "number", e.Name)
		}
	}
}

// publishStatus stores the view's status for healthz.
func (w *fleetWatch) publishStatus() {
	b, err := json.Marshal(fleetview.Of(w.fleet))
	if err != nil {
		slog.Error("cannot encode the fleet view", "err", err)
		return
	}
	s := string(b)
	w.status.Store(&s)
}
