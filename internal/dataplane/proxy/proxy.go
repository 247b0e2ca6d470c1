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
	heartbeatsPerCount = 20                     // one ping in this many carries the request counts
	finalSendTimeout   = 200 * time.Millisecond // to deliver the last messages to the agent at shutdown
)

// Proxy is a proxy process: a managed node and the connection to its agent.
type Proxy struct {
	settings    *settings.Settings
	world       world.World
	log         logr.Logger
	managed     *node.ManagedNode
	start       time.Time
	incarnation int64

	mu          sync.Mutex
	earlyCensus *peerlink.Census // applied during handover.InitialPhase, to be applied again after it; nil: none

	configuration *peerlink.Configuration  // the one in force
	zoneOrders    map[string]peerlink.Zone // newest order by zone or proxy: an agent that restarts may send older ones first
	generation    atomic.Uint64
	quotaDivisor  atomic.Int64 // number of shares that quotas are divided into
	listReadAt    atomic.Int64 // when control began to read the server list in use, in ns since start; 0: no list
	conn          atomic.Pointer[peerlink.Conn]
	health        healthExchange
}

// New returns a proxy whose sockets are open. Run starts to serve.
func New(s *settings.Settings, w world.World, log logr.Logger) (*Proxy, error) {
	now := w.Now()
	g := &Proxy{settings: s, world: w, log: log, start: now, incarnation: now.UnixNano(), zoneOrders: map[string]peerlink.Zone{}}
	cfg := managedConfig(s, w, uint64(now.UnixNano()))
	cfg.OnUnitsTransferred = g.reportUnitsTransferred
	cfg.OnRequestFailed = func(id string, why verdict.Verdict) {
		log.V(1).Info("request failed", "attempt", id, "why", why.Error())
	}
	managed, err := node.NewManagedNode(cfg)
	if err != nil {
		return nil, err
	}
	g.managed = managed
	return g, nil
}

// managedConfig returns the settings of the proxy's managed node. The seed is mixed with the proxy's name, so that proxies
// started at the same instant differ.
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

// SetSettings applies the settings that may change while Run serves.
func (g *Proxy) SetSettings(s *settings.Settings) { g.managed.Retune(managedConfig(s, g.world, 0)) }

// Run serves until ctx ends or leave is closed, and then until open requests are answered.
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
	if c := g.conn.Load(); c != nil { // no more requests pass here: other proxies may use its quota shares
		why := peerlink.Gone
		_ = c.Send(&peerlink.Frame{Leaving: &why})
		c.Finish(finalSendTimeout)
	}
	return err
}

// ConfigurationInForce returns the number of the configuration that requests are served by; 0 if there is none.
func (g *Proxy) ConfigurationInForce() uint64 { return g.generation.Load() }

// now returns the time since the proxy started, on its monotonic clock.
func (g *Proxy) now() time.Duration { return g.world.Now().Sub(g.start) }

// reportUnitsTransferred tells the agent that this proxy admits no more requests and that the quota units it held
// belong to other proxies now.
func (g *Proxy) reportUnitsTransferred(units, of int) {
	g.log.Info("quota units transferred", "units taken over", units, "of", of)
	if c := g.conn.Load(); c != nil {
		why := peerlink.Given
		_ = c.Send(&peerlink.Frame{Leaving: &why})
	}
}

// receiveFromAgent applies and acknowledges the agent's messages until the connection fails, and starts to send pings.
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

// newPing returns a ping that carries the proxy's state and traffic statistics.
func (g *Proxy) newPing() *peerlink.Ping {
	f := g.managed.TrafficStats()
	return &peerlink.Ping{Sent: g.now(), Ready: g.managed.Ready(), Rests: g.managed.ReadyButResting(), Gen: g.generation.Load(),
		Parts: int(g.quotaDivisor.Load()), Figures: (*peerlink.Figures)(&f), Heads: g.managed.RequestsByHost()}
}

// requestCounts returns the recent number of requests by route, in the form sent to the agent; nil if there is nothing to
// report.
func (g *Proxy) requestCounts() *peerlink.Asked {
	counts := g.managed.RequestCounts()
	if counts == nil {
		return nil
	}
	out := &peerlink.Asked{Gen: counts.Gen, Span: counts.Span, Rest: counts.OtherRequests}
	for _, r := range counts.Routes {
		out.Routes = append(out.Routes, peerlink.RouteAsked(r))
	}
	return out
}

// ping sends a ping once per heartbeat, with the work due at each, until ctx ends or the connection fails.
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

// applyChange applies a change that the agent sent. A configuration that can't be parsed is logged and ignored: control has
// already validated it, so the fault is in this process.
func (g *Proxy) applyChange(c *peerlink.Change) {
	if p := c.Configuration; p != nil && (g.configuration == nil || routeconfig.Above(p.Gen, p.Digest, g.configuration.Gen, g.configuration.Digest)) {
		if parsed, err := routeconfig.Parse(p.Body); err != nil {
			g.log.Error(err, "configuration can't be parsed", "gen", p.Gen)
		} else {
			g.managed.SetConfiguration(parsed)
			g.configuration = p
			g.generation.Store(p.Gen)
			g.log.Info("configuration in force", "gen", p.Gen)
		}
	}
	if c.Zones != nil {
		drained, resting := map[string]bool{}, false
		for _, z := range c.Zones {
			if z.Supersedes(g.zoneOrders[z.Zone]) {
				g.zoneOrders[z.Zone] = z
			}
		}
		for name, z := range g.zoneOrders {
			if proxyName, isProxy := z.Node(); !isProxy {
				drained[name] = z.Drain
			} else if proxyName == g.settings.Self.Name {
				resting = z.Drain
			}
		}
		g.managed.SetResting(resting)
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

// reapplyEarlyCensus applies the early census again once InitialPhase has ended: from then on it is known which proxies know
// of this one.
func (g *Proxy) reapplyEarlyCensus() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.earlyCensus != nil && g.now() >= handover.InitialPhase {
		g.applyCensusLocked(g.earlyCensus)
	}
}

// applyCensus applies a new list of the proxies and the shares of quotas.
func (g *Proxy) applyCensus(s *peerlink.Census) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyCensusLocked(s)
}

// applyCensusLocked does the work of applyCensus; the caller holds g.mu.
func (g *Proxy) applyCensusLocked(s *peerlink.Census) {
	g.health.setTrialCandidates(s.Proxies)
	self := slices.IndexFunc(s.Proxies, func(m peerlink.Member) bool { return m.Hello.Name == g.settings.Self.Name })
	if self < 0 {
		return // control doesn't know this proxy yet
	}
	joined := 0
	for _, m := range s.Proxies {
		if m.Silent > 0 {
			joined++
		}
	}
	unused := handover.UnusedShare(s.Shares, joined, s.Proxies[self].Silent)
	if g.earlyCensus = nil; unused > 0 && g.now() < handover.InitialPhase {
		unused, g.earlyCensus = min(unused, 1-handover.InitialShare(s.Shares, joined)), s
	}
	addresses, regions := make([]netip.AddrPort, 0, len(s.Proxies)), make([]string, 0, len(s.Proxies))
	for _, m := range s.Proxies {
		if m.Slot < 0 || m.Slot > maxSlot {
			continue
		}
		for len(addresses) <= m.Slot {
			addresses, regions = append(addresses, netip.AddrPort{}), append(regions, "")
		}
		regions[m.Slot] = m.Hello.Region
		if address, err := netip.ParseAddrPort(m.Hello.Peer); err == nil && m.Alive {
			addresses[m.Slot] = address
		}
	}
	g.managed.SetPeers(s.Proxies[self].Slot, s.Shares, unused, addresses, regions)
	g.quotaDivisor.Store(int64(s.Shares)) // from here on this proxy uses addresses most one share of this many
}

const maxSlot = 1 << 12 // limit on the proxies ever known: members with a higher slot are ignored
