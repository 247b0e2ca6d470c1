package experiment

import (
	"fmt"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/emulator"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// step lets one thing happen, and waits for its end.
func (g *game) step(s scenario.Step) {
	n, last := g.node(s.Node), func() { time.Sleep(seconds(s.For)) }
	switch s.Do {
	case "kill-proxy":
		g.Kill(n, emulator.Proxy)
	case "kill-agent":
		g.Kill(n, emulator.Agent)
	case "kill-core":
		g.Kill(n)
	case "kill-all":
		for _, n := range g.Nodes {
			g.Kill(n)
		}
	case "swap", "leave":
		g.Terminate(n)
		last()
		g.Start(n)
	case "power":
		g.PowerOff(n)
		last()
		g.PowerOn(n)
	case "power-all":
		g.PowerOff(g.Nodes...)
		last()
		g.PowerOn(g.Nodes...)
	case "blackout":
		g.Blackout(s.Zone)
		last()
		g.Relight(s.Zone)
	case "wipe":
		g.PowerOff(n)
		if err := g.Wipe(n); err != nil {
			panic(err) // a disk in memory
		}
		last()
		g.PowerOn(n)
	case "isolate":
		g.Isolate(n)
		last()
		g.Rejoin(n)
	case "cut-zone":
		in := g.Zone(s.Zone)
		g.apart(in, g.but(g.Nodes, in...), sim.Silent, last)
	case "cut-one-way":
		all := g.but(g.Nodes, n)
		g.CutOneWay([]*emulator.Node{n}, all, sim.Silent)
		last()
		g.Join([]*emulator.Node{n}, all)
	case "refuse":
		g.apart([]*emulator.Node{n}, g.but(g.Nodes, n), sim.Refusing, last)
	case "cut-proxies":
		g.apart([]*emulator.Node{n}, g.but(g.Edges(), n), sim.Silent, last)
	case "disk-slow", "disk-hang", "disk-full":
		g.Harmed(n, func() { g.disk(s, g.Disk(n), last) })
	default:
		g.serverStep(s, last)
	}
}

func (g *game) apart(a, b []*emulator.Node, how sim.Barrier, last func()) {
	g.Cut(a, b, how)
	last()
	g.Join(a, b)
}

func (g *game) but(all []*emulator.Node, not ...*emulator.Node) []*emulator.Node {
	return slices.DeleteFunc(slices.Clone(all), func(n *emulator.Node) bool { return slices.Contains(not, n) })
}

func (g *game) disk(s scenario.Step, d *sim.Disk, last func()) {
	switch s.Do {
	case "disk-slow":
		d.SetLatency(time.Duration(s.Times * float64(msec)))
		defer d.SetLatency(0)
	case "disk-hang":
		d.Hang()
		defer d.Release()
	case "disk-full":
		d.SetFull(true)
		defer d.SetFull(false)
	}
	last()
}

// idleForgotten is after what rest a server forgets a connection.
const idleForgotten = 200 * time.Millisecond

// serverStep lets something happen to servers, their list, or clients.
func (g *game) serverStep(s scenario.Step, last func()) {
	x := g.server(s)
	if x == nil && s.Service != "" {
		return // none is ready: nothing can befall it
	}
	switch s.Do {
	case "renew":
		g.Serve(x.Service, x.Zone)
		x.Drain()
	case "drain":
		x.Drain()
		last()
		g.Serve(x.Service, x.Zone)
	case "crash":
		x.Crash()
		last()
		g.Serve(x.Service, x.Zone)
	case "reuse":
		x.End()
		time.Sleep(g.Bounds().ReuseAfter)
		g.Reuse(x, x.Service)
	case "chill":
		x.Chill()
	case "spoil":
		x.Spoil(s.Share)
		last()
		x.Spoil(g.d.Spoil)
	case "grey":
		x.Grey(s.Share)
		last()
		x.Grey(0)
	case "slow":
		x.Slow(s.Times)
		last()
		x.Slow(1 / s.Times)
	case "lie":
		x.Lie(true)
		last()
		x.Lie(false)
	case "forget":
		x.Forget(idleForgotten)
		last()
		x.Forget(0)
	case "no-list":
		g.Platform.Down(true)
		last()
		g.Platform.Down(false)
	case "surge":
		g.surge(s.Times)
		last()
		g.surge(1 / s.Times)
	case "press":
		g.Clients.Press(s.Tenant, s.Times)
		last()
		g.Clients.Press(s.Tenant, 1)
	case "loss":
		for _, n := range g.Nodes {
			n.Harm()
		}
		g.Net.Set(links(g.d, s.Share))
		last()
		g.Net.Set(links(g.d, g.d.Links.Lost))
		for _, n := range g.Nodes {
			n.Mend()
		}
	default:
		g.order(s, last)
	}
}

func (g *game) surge(times float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load *= times
	g.Clients.SetRate(g.d.Rate * g.load)
}

// order is one of the operator's.
func (g *game) order(s scenario.Step, last func()) {
	switch s.Do {
	case "replace":
		g.Operator.Replace(g.turned(s, 0))
	case "revoke":
		w := g.Word().Clone()
		w.Gen += s.Skip
		w.Tenants = slices.Clone(w.Tenants)
		for i := range w.Tenants {
			if t := &w.Tenants[i]; t.Name == s.Tenant {
				t.Keys = []string{fmt.Sprintf("key-%s-r%d", t.Name, w.Gen)}
			}
		}
		g.Operator.Replace(w)
	case "race":
		a, b := g.turned(s, 0), g.turned(s, 1)
		g.jobs.Go(func() { g.Operator.Replace(b) })
		g.Operator.Replace(a)
	case "bad":
		g.Operator.Bad([]byte(`{"gen":"r99999","routes":[{"name":"nowhere","host":"one.example","prefix":"/a/","kind":"idempotent","backend":"nobody"}],"backends":[]}`))
	case "evacuate":
		g.Operator.Drain(s.Zone, true)
		last()
		g.Operator.Drain(s.Zone, false)
	default:
		panic("no such step: " + s.Do) // a day's check names them all
	}
}

// turned is the next configuration, by which a route leads to the service after its own.
func (g *game) turned(s scenario.Step, more int) *emulator.Word {
	w := g.Word().Clone()
	w.Gen += s.Skip + more
	for i := range w.Routes {
		r := &w.Routes[i]
		if r.Name != s.Route {
			continue
		}
		at := slices.IndexFunc(w.Services, func(x emulator.Service) bool { return x.Name == r.Backend })
		r.Split, r.Backend = nil, w.Services[(at+1+more)%len(w.Services)].Name
	}
	return w
}
