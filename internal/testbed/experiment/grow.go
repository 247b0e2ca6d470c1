package experiment

import (
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/clustertest"
	"pepperfall.example/pepperfall/internal/testbed/emulator"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

const (
	msec = time.Millisecond
	usec = time.Microsecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// layout is a day's cluster at its start.
func layout(d *scenario.Day) emulator.Layout {
	l := emulator.Layout{Seed: d.Seed, Rate: d.Rate, Spoil: d.Spoil, Long: d.Long, Bounds: map[string]string{}}
	for _, b := range d.Bounds {
		k, v, _ := strings.Cut(b, "=")
		l.Bounds[strings.TrimSpace(k)] = strings.TrimSpace(v)
	}
	for _, z := range d.Zones {
		l.Zones = append(l.Zones, emulator.Zone{Name: z.Name, Region: z.Region, Edges: z.Edges, Cores: z.Cores})
	}
	for _, s := range d.Services {
		l.Services = append(l.Services, emulator.Service{Name: s.Name, Zones: s.Zones, Each: s.Each, Capacity: s.Slots,
			LongPart: s.LongPart, LongWork: s.LongWork,
			Work: time.Duration(s.WorkMS * float64(msec)), MaxConns: s.MaxConns, Warmup: time.Duration(s.WarmMS) * msec, WarmPerS: s.WarmPerS})
	}
	for _, r := range d.Routes {
		o := emulator.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind, Timeout: r.TimeoutMS, Target: r.AimMS, Prio: r.Prio,
			Backend: r.Service, Tries: r.Tries, Public: r.Public, Homes: r.Homes, Weight: r.Weight}
		for _, p := range r.Split {
			o.Split = append(o.Split, emulator.Share{Backend: p.Service, Weight: p.Weight})
		}
		l.Routes = append(l.Routes, o)
	}
	for _, t := range d.Tenants {
		l.Tenants = append(l.Tenants, emulator.Tenant{Name: t.Name, Keys: t.Keys, Prio: t.Prio, Rate: t.Rate, Burst: t.Burst, Homes: t.Homes, Weight: t.Weight})
	}
	return l
}

// network is the simulated network that it runs on.
func network(d *scenario.Day) *clustertest.SimNetwork {
	g := clustertest.NewSimNetwork(d.Seed)
	g.Ways = clustertest.Ways{Near: time.Duration(d.Links.NearUS) * usec, Zone: time.Duration(d.Links.ZoneUS) * usec, Region: time.Duration(d.Links.RegionUS) * usec}
	g.Net.Set(links(d, d.Links.Lost))
	return g
}

func links(d *scenario.Day, lost float64) sim.Faults {
	return sim.Faults{Most: time.Duration(d.Links.JitterUS) * usec, Lost: lost, Twice: d.Links.Twice}
}

// gain is what requests of a route earn.
func gain(d *scenario.Day) func(route string) emulator.Gain {
	by := map[string]emulator.Gain{}
	for _, r := range d.Routes {
		g := emulator.Gain{Full: r.Worth, Late: r.Late}
		if g.Full == 0 {
			g.Full = 1
		}
		by[r.Name] = g
	}
	return func(route string) emulator.Gain { return by[route] }
}
