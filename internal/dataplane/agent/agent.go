package agent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Times of an agent.
const (
	heartbeatInterval         = peerlink.Usual         // between two looks at who is to be pinged
	maxProxiesAtUsualInterval = 16                     // more are many
	proxyUpdateInterval       = 20 * time.Millisecond  // between two tellings of the list or the census to the proxy
	dropReplicaAfter          = 60 * time.Second       // a replica that nobody lists and that was not reached for so long is left
	finishTimeout             = 200 * time.Millisecond // to write what is queued at the end
)

// Config is what an agent is told at its start.
type Config struct {
	Hello         peerlink.Hello // what it tells the replicas; its proxy adds the Front
	ListenAddress string         // where it listens for its proxy
	Seeds         []string       // replicas' furrows that are known from the start
	LeaveGrace    time.Duration  // for how long it serves its proxy after Leave
	MaxListAge    time.Duration  // so long after the platform lists a server as leaving, nothing reaches it any more
}

// Hand runs beside a proxy.
type Agent struct {
	cfg   Config
	w     world.World
	log   logr.Logger
	start time.Time // of its steady clock

	mu               sync.Mutex
	ctx              context.Context // of Run
	sessions         sync.WaitGroup
	state            *State
	revision         uint64 // rises with each change of state
	upstream         Upstream
	tickCount        int
	pendingParts     Parts // news that the proxy is not told yet
	updateScheduled  bool  // somebody waits to tell them
	freshness        Freshness
	staleReport      staleness
	serverListAge    listAge
	seeds            []string
	replicas         map[string]*replica // by address
	proxy            *proxy              // nil: none is connected
	front            string
	proxyIncarnation int64  // of the last proxy
	leaveReason      string // why it leaves; empty: it does not
	wake             chan struct{}
}

// New makes an agent.
func New(cfg Config, w world.World, log logr.Logger) *Agent {
	return &Agent{cfg: cfg, w: w, log: log, start: w.Now(), state: NewState(), upstream: Upstream{Self: cfg.Hello}, seeds: cfg.Seeds, replicas: map[string]*replica{}, wake: make(chan struct{}, 1)}
}

// now is the agent's steady clock.
func (h *Agent) now() time.Duration { return h.w.Now().Sub(h.start) }

// Run serves the proxy and holds the replicas until ctx ends, or until an agent that
// leaves has no proxy or no time any more.
func (h *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer h.sessions.Wait()
	defer func() {
		h.mu.Lock() // nothing is dialled after it
		defer h.mu.Unlock()
		cancel()
	}()
	ln, err := h.w.Listen(ctx, "tcp", h.cfg.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "agent")
	}
	serving.Go(func() {
		_ = peerlink.Serve(ctx, h.w, ln, h.currentHello, h.log, h.runProxySession) // ends with ctx only
	})
	h.mu.Lock()
	h.ctx = ctx
	h.maintainReplicas()
	h.mu.Unlock()
	t := h.w.NewTimer(heartbeatInterval)
	defer t.Stop()
	var until time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.wake:
		case <-t.C():
			t.Reset(heartbeatInterval)
			h.mu.Lock()
			h.tick()
			h.mu.Unlock()
		}
		h.mu.Lock()
		leaving, alone, grace := h.leaveReason != "", h.proxy == nil, h.cfg.LeaveGrace
		h.mu.Unlock()
		if leaving && until == 0 {
			until = h.now() + grace
		}
		if leaving && (alone || h.now() >= until) {
			h.flushReplicas()
			return nil
		}
	}
}

// tick runs once a heartbeat; the mutex is held.
func (h *Agent) tick() {
	if h.state.ApplyCensus(h.now()) {
		h.queueUpdate(PartCensus)
	}
	h.upstream.LongHeartbeats = h.state.ProxyCount() > maxProxiesAtUsualInterval
	h.chooseUpstream()
	h.maintainReplicas()
	h.reportStale()
	h.reportOldList()
	// Replicas of longer heartbeats are asked in turn, so that some word is always young.
	h.tickCount++
	for i, addr := range slices.Sorted(maps.Keys(h.replicas)) {
		if (h.tickCount+i)%int(h.upstream.PingInterval(addr)/heartbeatInterval) == 0 {
			h.pingOne(h.replicas[addr])
		}
	}
}

// flushReplicas lets what was said last be written.
func (h *Agent) flushReplicas() {
	h.mu.Lock()
	var all sync.WaitGroup
	for _, b := range h.replicas {
		if b.conn != nil {
			c := b.conn // it may be over, and nil, before it is finished
			all.Go(func() { c.Finish(finishTimeout) })
		}
	}
	h.mu.Unlock()
	all.Wait()
}

// Leave begins the end: the replicas are told, and the proxy is served until it has
// gone or the grace is over.
func (h *Agent) Leave(why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaveReason != "" {
		return
	}
	h.leaveReason = why
	for _, b := range h.replicas {
		b.send(&peerlink.Frame{Leaving: &h.leaveReason})
	}
	h.wakeUp()
}

func (h *Agent) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// SetSeeds takes over what a new settings file says.
func (h *Agent) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(seeds, h.seeds) {
		return
	}
	h.log.Info("new seeds", "seeds", seeds)
	if h.seeds = seeds; h.ctx != nil {
		h.maintainReplicas()
	}
}

// currentHello is what the agent is, with its proxy's address once that is known.
func (h *Agent) currentHello() peerlink.Hello {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buildHello()
}

func (h *Agent) buildHello() peerlink.Hello {
	x := h.cfg.Hello
	x.Version, x.Role, x.Front = peerlink.Version, peerlink.Agent, h.front
	return x
}

// queueUpdate sends parts that have changed to the proxy: the operator's word at once,
// the rest in one with what comes soon after. The mutex is held.
func (h *Agent) queueUpdate(p Parts) {
	h.revision++
	if h.proxy == nil {
		return
	}
	h.pendingParts |= p
	switch {
	case p&(PartConfiguration|PartZones) != 0 || h.proxy.lastSentAt+proxyUpdateInterval <= h.now():
		h.sendUpdate()
	case !h.updateScheduled && h.ctx.Err() == nil:
		h.updateScheduled = true
		h.sessions.Go(h.sendUpdateWhenDue)
	}
}

// sendUpdateWhenDue tells the proxy what it is owed when that may be.
func (h *Agent) sendUpdateWhenDue() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.proxy != nil && h.pendingParts != 0 {
		wait := h.proxy.lastSentAt + proxyUpdateInterval - h.now()
		if wait <= 0 {
			h.sendUpdate()
			break
		}
		h.mu.Unlock()
		awake := world.Sleep(h.ctx, h.w, wait)
		h.mu.Lock()
		if !awake {
			break
		}
	}
	h.updateScheduled = false
}

// sendUpdate tells the proxy what it is owed; the mutex is held.
func (h *Agent) sendUpdate() {
	if h.proxy != nil && h.pendingParts != 0 {
		h.proxy.sendChange(h.state.Change(h.pendingParts), h.revision)
		h.proxy.lastSentAt, h.pendingParts = h.now(), 0
	}
}
