package proxy

import (
	"context"
	"hash/fnv"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/dataplane/node"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/metrics"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	heartbeatInterval  = 250 * time.Millisecond // between two pings to the agent
	heartbeatsPerCount = 20                     // such pings between two that tell what was asked for
	finalSendTimeout   = 200 * time.Millisecond // for what is to be told at the end
)

// Proxy is a proxy.
type Proxy struct {
	settings    *settings.Settings
	world       world.World
	log         logr.Logger
	managed     *node.ManagedNode
	start       time.Time
	incarnation int64

	mu          sync.Mutex
	earlyCensus *peerlink.Census // taken over before it was known who had heard of this proxy; nil: a later one was

	configuration *peerlink.Configuration  // in force
	zoneOrders    map[string]peerlink.Zone // orders in force: an agent that starts anew may first hear of older ones
	generation    atomic.Uint64
	quotaDivisor  atomic.Int64 // by which quotas are divided
	listReadAt    atomic.Int64 // nanoseconds of its steady clock at which the reading of the list in force began; 0: none is known
	conn          atomic.Pointer[peerlink.Conn]
	health        healthExchange
}

// New opens a proxy's sockets.
func New(s *settings.Settings, w world.World, log logr.Logger) (*Proxy, error) {
	now := w.Now()
	g := &Proxy{settings: s, world: w, log: log, start: now, incarnation: now.UnixNano(), zoneOrders: map[string]peerlink.Zone{}}
	cfg := managedConfig(s, w, uint64(now.UnixNano()))
	cfg.OnUnitsTransferred = g.reportUnitsTransferred
	cfg.OnRequestFailed = func(id string, why verdict.Verdict) {
		log.V(1).Info("request failed", "attempt", id, "why", why.Error())
	}
	e, err := node.NewManagedNode(cfg)
	if err != nil {
		return nil, err
	}
	g.managed = e
	return g, nil
}

// managedConfig is what an edge node is told by the settings.
func managedConfig(s *settings.Settings, w world.World, seed uint64) node.ManagedConfig {
	h := fnv.New64a()
	h.Write([]byte(s.Self.Name))
	b := s.Terms.Bounds
	return node.ManagedConfig{Listen: s.Network.Listen.HTTP, Peer: s.Peer(s.Self.IP), Zone: s.Self.Zone,
		Region: s.Self.Region, Seed: h.Sum64() ^ seed, Sockets: s.Self.Limits.MaxFDs, World: w,
		Regions: s.Network.Zones, Grace: b.Grace, EnforceRevocation: b.Revoked, RevocationLimit: b.Revoke, RetryRatio: b.RetryRatio,
		RetrySlack: b.RetrySlack, QuotaExcess: b.QuotaExcess, QuotaSlack: b.QuotaSlack, QuotaWindow: b.QuotaWindow, WarmupExcess: b.WarmupExcess,
		WarmupSlack: b.WarmupSlack, ListLag: s.Provider.Cloud.MaxLag}
}

// SetSettings takes over what of the settings may change in service, once Run serves.
func (g *Proxy) SetSettings(s *settings.Settings) { g.managed.Retune(managedConfig(s, g.world, 0)) }

// Run serves until leave is closed, and then until what is open is answered.
func (g *Proxy) Run(ctx context.Context, leave <-chan struct{}) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := g.serveReady(ctx); err != nil {
		return err
	}
	go metrics.Serve(ctx, g.world, g.settings.Self.IP, metrics.PortProxy, g.log, g.collectMetrics)
	d := peerlink.Dialer{Net: g.world, Log: g.log, Hello: peerlink.Hello{Version: peerlink.Version, Role: peerlink.Proxy, Name: g.settings.Self.Name,
		Life: g.incarnation, IP: g.settings.Self.IP, Zone: g.settings.Self.Zone, Region: g.settings.Self.Region, Front: g.settings.Network.Listen.HTTP,
		Peer: g.settings.Peer(g.settings.Self.IP)}}
	go d.Keep(ctx, g.settings.AgentInner(), g.receiveFromAgent)
	end, done := context.WithCancel(ctx)
	defer done()
	go func() {
		select {
		case <-ctx.Done():
		case <-leave:
			if c := g.conn.Load(); c != nil {
				why := "told to end"
				_ = c.Send(&peerlink.Frame{Leaving: &why})
			}
		}
		done()
	}()
	err := g.managed.Run(end)
	if c := g.conn.Load(); c != nil { // nothing more passes here: its parts are others'
		why := peerlink.Gone
		_ = c.Send(&peerlink.Frame{Leaving: &why})
		c.Finish(finalSendTimeout)
	}
	return err
}

// ConfigurationInForce is the number of the configuration that requests are served by; 0: none.
func (g *Proxy) ConfigurationInForce() uint64 { return g.generation.Load() }

func (g *Proxy) now() time.Duration { return g.world.Now().Sub(g.start) }

// reportUnitsTransferred tells that nothing is taken in here any more, and that what was held of quotas is others'.
func (g *Proxy) reportUnitsTransferred(units, of int) {
	g.log.Info("parts given up", "units taken over", units, "of", of)
	if c := g.conn.Load(); c != nil {
		why := peerlink.Given
		_ = c.Send(&peerlink.Frame{Leaving: &why})
	}
}

// receiveFromAgent takes in what the agent says while the connection lasts.
func (g *Proxy) receiveFromAgent(ctx context.Context, c *peerlink.Conn, _ *peerlink.Hello) error {
	g.conn.Store(c)
	defer g.conn.CompareAndSwap(c, nil)
	go g.ping(ctx, c)
	for {
		f, err := c.Receive()
		if err != nil {
			return err
		}
		if p := f.Pong; p != nil && p.Fresh {
			g.managed.ConfirmConfiguration(g.now() - p.Sent + p.Age)
		}
		if p := f.Pong; p != nil && p.List != nil {
			g.listReadAt.Store(int64(p.Sent - p.List.Age))
		}
		g.health.receive(f, g.now())
		if ch := f.Change; ch != nil {
			g.applyChange(ch)
			if err := c.Send(&peerlink.Frame{Ack: &peerlink.Ack{No: ch.No, Gen: g.generation.Load()}}); err != nil {
				return err
			}
			g.sendHeartbeat(c)
		}
	}
}

func (g *Proxy) sendHeartbeat(c *peerlink.Conn) error {
	return c.Send(&peerlink.Frame{Ping: g.newPing()})
}

func (g *Proxy) newPing() *peerlink.Ping {
	f := g.managed.TrafficStats()
	return &peerlink.Ping{Sent: g.now(), Ready: g.managed.Ready(), Rests: g.managed.ReadyButResting(), Gen: g.generation.Load(),
		Parts: int(g.quotaDivisor.Load()), Figures: (*peerlink.Figures)(&f), Heads: g.managed.RequestsByHost()}
}

// requestCounts tells the agent what was asked for lately, by route.
func (g *Proxy) requestCounts() *peerlink.Asked {
	a := g.managed.RequestCounts()
	if a == nil {
		return nil
	}
	out := &peerlink.Asked{Gen: a.Gen, Span: a.Span, Rest: a.OtherRequests}
	for _, r := range a.Routes {
		out.Routes = append(out.Routes, peerlink.RouteAsked(r))
	}
	return out
}

func (g *Proxy) ping(ctx context.Context, c *peerlink.Conn) {
	for n := 0; ; n++ {
		p := g.newPing()
		if n%heartbeatsPerCount == 0 {
			p.Asked = g.requestCounts()
		}
		if c.Send(&peerlink.Frame{Ping: p}) != nil || !world.Sleep(ctx, g.world, heartbeatInterval) {
			return
		}
		g.reapplyEarlyCensus()
		if g.settings.Judge.Records {
			g.reportHealth(c)
		}
	}
}

// applyChange puts a change in force. What can't be read changes nothing: control has checked it, so the fault is here.
func (g *Proxy) applyChange(c *peerlink.Change) {
	if p := c.Configuration; p != nil && (g.configuration == nil || routeconfig.Above(p.Gen, p.Digest, g.configuration.Gen, g.configuration.Digest)) {
		if parsed, err := routeconfig.Parse(p.Body); err != nil {
			g.log.Error(err, "a configuration that can't be read", "gen", p.Gen)
		} else {
			g.managed.SetConfiguration(parsed)
			g.configuration = p
			g.generation.Store(p.Gen)
			g.log.Info("configuration in force", "gen", p.Gen)
		}
	}
	if c.Zones != nil {
		drained, rest := map[string]bool{}, false
		for _, z := range c.Zones {
			if z.Supersedes(g.zoneOrders[z.Zone]) {
				g.zoneOrders[z.Zone] = z
			}
		}
		for name, z := range g.zoneOrders {
			if node, is := z.Node(); !is {
				drained[name] = z.Drain
			} else if node == g.settings.Self.Name {
				rest = z.Drain
			}
		}
		g.managed.SetResting(rest)
		g.managed.SetDrainedZones(drained)
	}
	if s := c.Servers; s != nil && s.List != nil {
		list := make([]serverlist.Entry, 0, len(s.List))
		for _, v := range s.List {
			list = append(list, serverlist.Entry{ID: v.ID, Service: v.Backend, Address: v.Address, Zone: v.Zone, Slots: v.Capacity,
				Draining: v.Draining, WarmLeft: v.WarmLeft})
		}
		g.managed.SetServers(s.Stamp, list)
	}
	if s := c.Census; s != nil {
		g.applyCensus(s)
	}
}

// reapplyEarlyCensus takes the census over again once it is known who has heard of this proxy.
func (g *Proxy) reapplyEarlyCensus() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.earlyCensus != nil && g.now() >= handover.InitialPhase {
		g.applyCensusLocked(g.earlyCensus)
	}
}

// applyCensus takes over who the other proxies are.
func (g *Proxy) applyCensus(s *peerlink.Census) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyCensusLocked(s)
}

func (g *Proxy) applyCensusLocked(s *peerlink.Census) {
	g.health.setTrialCandidates(s.Proxies)
	me := slices.IndexFunc(s.Proxies, func(m peerlink.Member) bool { return m.Hello.Name == g.settings.Self.Name })
	if me < 0 {
		return // control doesn't know of this one yet
	}
	joined := 0
	for _, m := range s.Proxies {
		if m.Silent > 0 {
			joined++
		}
	}
	less := handover.UnusedShare(s.Shares, joined, s.Proxies[me].Silent)
	if g.earlyCensus = nil; less > 0 && g.now() < handover.InitialPhase {
		less, g.earlyCensus = min(less, 1-handover.InitialShare(s.Shares, joined)), s
	}
	at, regions := make([]netip.AddrPort, 0, len(s.Proxies)), make([]string, 0, len(s.Proxies))
	for _, m := range s.Proxies {
		if m.Slot < 0 || m.Slot > maxSlot {
			continue
		}
		for len(at) <= m.Slot {
			at, regions = append(at, netip.AddrPort{}), append(regions, "")
		}
		regions[m.Slot] = m.Hello.Region
		if a, err := netip.ParseAddrPort(m.Hello.Peer); err == nil && m.Alive {
			at[m.Slot] = a
		}
	}
	g.managed.SetPeers(s.Proxies[me].Slot, s.Shares, less, at, regions)
	g.quotaDivisor.Store(int64(s.Shares)) // it holds no more than its part of so many from here on
}

const maxSlot = 1 << 12 // proxies ever known
