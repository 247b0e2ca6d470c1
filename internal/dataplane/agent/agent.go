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
	MaxListAge    time.Duration  // servers may have drained within this time, so an older list is too old
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
func (a *Agent) now() time.Duration { return a.w.Now().Sub(a.start) }

// Run serves the proxy and stays connected to the replicas until ctx ends. After Leave it
// returns once the proxy has disconnected or LeaveGrace has passed.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer a.sessions.Wait()
	defer func() {
		a.mu.Lock() // no replica is dialled after cancel
		defer a.mu.Unlock()
		cancel()
	}()
	ln, err := a.w.Listen(ctx, "tcp", a.cfg.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "agent")
	}
	serving.Go(func() {
		_ = peerlink.Serve(ctx, a.w, ln, a.currentHello, a.log, a.runProxySession) // returns only when ctx ends
	})
	a.mu.Lock()
	a.ctx = ctx
	a.maintainReplicas()
	a.mu.Unlock()
	t := a.w.NewTimer(heartbeatInterval)
	defer t.Stop()
	var until time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		case <-t.C():
			t.Reset(heartbeatInterval)
			a.mu.Lock()
			a.tick()
			a.mu.Unlock()
		}
		a.mu.Lock()
		leaving, disconnected, grace := a.leaveReason != "", a.proxy == nil, a.cfg.LeaveGrace
		a.mu.Unlock()
		if leaving && until == 0 {
			until = a.now() + grace
		}
		if leaving && (disconnected || a.now() >= until) {
			a.flushReplicas()
			return nil
		}
	}
}

// tick runs once per heartbeat interval. The caller holds the mutex.
func (a *Agent) tick() {
	if a.state.ApplyCensus(a.now()) {
		a.queueUpdate(PartCensus)
	}
	a.upstream.LongHeartbeats = a.state.ProxyCount() > maxProxiesAtUsualInterval
	a.chooseUpstream()
	a.maintainReplicas()
	a.reportStale()
	a.reportOldList()
	// Pings at longer intervals are spread over the ticks, so that some replica's answer is always recent.
	a.tickCount++
	for i, addr := range slices.Sorted(maps.Keys(a.replicas)) {
		if (a.tickCount+i)%int(a.upstream.PingInterval(addr)/heartbeatInterval) == 0 {
			a.pingOne(a.replicas[addr])
		}
	}
}

// flushReplicas waits, for at most finishTimeout, until all queued messages to replicas are written.
func (a *Agent) flushReplicas() {
	a.mu.Lock()
	var writers sync.WaitGroup
	for _, b := range a.replicas {
		if b.conn != nil {
			c := b.conn // b.conn may be set to nil before Finish is called
			writers.Go(func() { c.Finish(finishTimeout) })
		}
	}
	a.mu.Unlock()
	writers.Wait()
}

// Leave starts the shutdown: the agent notifies the replicas and serves its proxy until the
// proxy disconnects or LeaveGrace has passed.
func (a *Agent) Leave(why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaveReason != "" {
		return
	}
	a.leaveReason = why
	for _, b := range a.replicas {
		b.send(&peerlink.Frame{Leaving: &a.leaveReason})
	}
	a.wakeUp()
}

func (a *Agent) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// SetSeeds applies the seed addresses of a reloaded settings file.
func (a *Agent) SetSeeds(seeds []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(seeds, a.seeds) {
		return
	}
	a.log.Info("seed addresses changed", "seeds", seeds)
	if a.seeds = seeds; a.ctx != nil {
		a.maintainReplicas()
	}
}

// currentHello returns the agent's Hello, with the proxy's address once it is known.
func (a *Agent) currentHello() peerlink.Hello {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buildHello()
}

func (a *Agent) buildHello() peerlink.Hello {
	x := a.cfg.Hello
	x.Version, x.Role, x.Front = peerlink.Version, peerlink.Agent, a.front
	return x
}

// queueUpdate sends changed parts to the proxy: configuration and zones at once, the others
// together with changes that follow within proxyUpdateInterval. The caller holds the mutex.
func (a *Agent) queueUpdate(p Parts) {
	a.revision++
	if a.proxy == nil {
		return
	}
	a.pendingParts |= p
	switch {
	case p&(PartConfiguration|PartZones) != 0 || a.proxy.lastSentAt+proxyUpdateInterval <= a.now():
		a.sendUpdate()
	case !a.updateScheduled && a.ctx.Err() == nil:
		a.updateScheduled = true
		a.sessions.Go(a.sendUpdateWhenDue)
	}
}

// sendUpdateWhenDue waits until proxyUpdateInterval has passed since the last update, then sends the pending parts.
func (a *Agent) sendUpdateWhenDue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.proxy != nil && a.pendingParts != 0 {
		wait := a.proxy.lastSentAt + proxyUpdateInterval - a.now()
		if wait <= 0 {
			a.sendUpdate()
			break
		}
		a.mu.Unlock()
		awake := world.Sleep(a.ctx, a.w, wait)
		a.mu.Lock()
		if !awake {
			break
		}
	}
	a.updateScheduled = false
}

// sendUpdate sends the pending parts to the proxy. The caller holds the mutex.
func (a *Agent) sendUpdate() {
	if a.proxy != nil && a.pendingParts != 0 {
		a.proxy.sendChange(a.state.Change(a.pendingParts), a.revision)
		a.proxy.lastSentAt, a.pendingParts = a.now(), 0
	}
}
