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

// Intervals and limits of an agent.
const (
	heartbeatInterval         = peerlink.Usual         // between two checks of which replicas are due for a ping
	maxProxiesAtUsualInterval = 16                     // with more proxies, heartbeats are sent less often
	proxyUpdateInterval       = 20 * time.Millisecond  // between two updates of the server list or the census sent to the proxy
	dropReplicaAfter          = 60 * time.Second       // how long a replica that is not listed may be disconnected before the agent drops it
	finishTimeout             = 200 * time.Millisecond // to write queued messages before the agent exits
)

// Config holds the settings that an agent starts with.
type Config struct {
	Hello         peerlink.Hello // sent to the replicas; Front is filled in once the proxy connects
	ListenAddress string         // on which the agent accepts its proxy's connection
	Seeds         []string       // addresses of the replicas' internal ports that are known at startup
	LeaveGrace    time.Duration  // how long the agent still serves its proxy after Leave
	MaxListAge    time.Duration  // a server receives no requests this long after the platform lists it as leaving, so an older list is too old
}

// Agent runs beside a proxy and relays between it and the control replicas.
type Agent struct {
	cfg   Config
	w     world.World
	log   logr.Logger
	start time.Time // zero point of the agent's monotonic clock

	mu               sync.Mutex
	ctx              context.Context // set by Run
	sessions         sync.WaitGroup
	state            *State
	revision         uint64 // incremented with each change of state
	upstream         Upstream
	tickCount        int
	pendingParts     Parts // changed parts that have not been sent to the proxy
	updateScheduled  bool  // a goroutine is waiting to send pendingParts
	freshness        Freshness
	staleReport      staleness
	serverListAge    listAge
	seeds            []string
	replicas         map[string]*replica // by address
	proxy            *proxy              // nil: not connected
	front            string
	proxyIncarnation int64  // of the proxy that connected last
	leaveReason      string // empty: the agent is not leaving
	wake             chan struct{}
}

// New returns an agent that does nothing until Run is called.
func New(cfg Config, w world.World, log logr.Logger) *Agent {
	return &Agent{cfg: cfg, w: w, log: log, start: w.Now(), state: NewState(), upstream: Upstream{Self: cfg.Hello}, seeds: cfg.Seeds, replicas: map[string]*replica{}, wake: make(chan struct{}, 1)}
}

// now returns the time on the agent's monotonic clock.
func (h *Agent) now() time.Duration { return h.w.Now().Sub(h.start) }

// Run serves the proxy and stays connected to the replicas until ctx ends. After Leave it
// returns once the proxy has disconnected or LeaveGrace has passed.
func (h *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer h.sessions.Wait()
	defer func() {
		h.mu.Lock() // no replica is dialled after cancel
		defer h.mu.Unlock()
		cancel()
	}()
	ln, err := h.w.Listen(ctx, "tcp", h.cfg.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "agent")
	}
	serving.Go(func() {
		_ = peerlink.Serve(ctx, h.w, ln, h.currentHello, h.log, h.runProxySession) // returns only when ctx ends
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
		leaving, disconnected, grace := h.leaveReason != "", h.proxy == nil, h.cfg.LeaveGrace
		h.mu.Unlock()
		if leaving && until == 0 {
			until = h.now() + grace
		}
		if leaving && (disconnected || h.now() >= until) {
			h.flushReplicas()
			return nil
		}
	}
}

// tick runs once per heartbeat interval. The caller holds the mutex.
func (h *Agent) tick() {
	if h.state.ApplyCensus(h.now()) {
		h.queueUpdate(PartCensus)
	}
	h.upstream.LongHeartbeats = h.state.ProxyCount() > maxProxiesAtUsualInterval
	h.chooseUpstream()
	h.maintainReplicas()
	h.reportStale()
	h.reportOldList()
	// Pings at longer intervals are spread over the ticks, so that some replica's answer is always recent.
	h.tickCount++
	for i, addr := range slices.Sorted(maps.Keys(h.replicas)) {
		if (h.tickCount+i)%int(h.upstream.PingInterval(addr)/heartbeatInterval) == 0 {
			h.pingOne(h.replicas[addr])
		}
	}
}

// flushReplicas waits, for at most finishTimeout, until all queued messages to replicas are written.
func (h *Agent) flushReplicas() {
	h.mu.Lock()
	var writers sync.WaitGroup
	for _, b := range h.replicas {
		if b.conn != nil {
			c := b.conn // b.conn may be set to nil before Finish is called
			writers.Go(func() { c.Finish(finishTimeout) })
		}
	}
	h.mu.Unlock()
	writers.Wait()
}

// Leave starts the shutdown: the agent notifies the replicas and serves its proxy until the
// proxy disconnects or LeaveGrace has passed.
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

// SetSeeds applies the seed addresses of a reloaded settings file.
func (h *Agent) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(seeds, h.seeds) {
		return
	}
	h.log.Info("seed addresses changed", "seeds", seeds)
	if h.seeds = seeds; h.ctx != nil {
		h.maintainReplicas()
	}
}

// currentHello returns the agent's Hello, with the proxy's address once it is known.
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

// queueUpdate sends changed parts to the proxy: configuration and zones at once, the others
// together with changes that follow within proxyUpdateInterval. The caller holds the mutex.
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

// sendUpdateWhenDue waits until proxyUpdateInterval has passed since the last update, then sends the pending parts.
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

// sendUpdate sends the pending parts to the proxy. The caller holds the mutex.
func (h *Agent) sendUpdate() {
	if h.proxy != nil && h.pendingParts != 0 {
		h.proxy.sendChange(h.state.Change(h.pendingParts), h.revision)
		h.proxy.lastSentAt, h.pendingParts = h.now(), 0
	}
}
