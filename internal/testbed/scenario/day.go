package scenario

import (
	"fmt"
	"slices"
	"strings"

	"pepperfall.example/pepperfall/internal/config/conffile"
)

// Day is a scenario. Its file holds all inputs of a run, except for the scheduling of goroutines.
type Day struct {
	Name     string    `toml:"name" min:"1" max:"80"`
	About    string    `toml:"about,omitempty" max:"400"`
	Seed     uint64    `toml:"seed"`                          // of all chances: wishes, latencies, work, losses
	Seconds  float64   `toml:"seconds" min:"0.5" max:"86400"` // in which steps begin; clients send from 0 on
	Rest     float64   `toml:"rest_s" min:"0" max:"600"`      // in which all that was taken is back, before the look at the end
	Rate     float64   `toml:"rate_per_s" min:"0" max:"100000"`
	Spoil    float64   `toml:"spoil" min:"0" max:"1"`            // share of the servers' answers that are spoilt
	Long     int       `toml:"long_bytes" min:"0" max:"1000000"` // most bytes of a fifth of all bodies; 0: none is long
	Bounds   []string  `toml:"bounds,omitempty" max:"200"`       // lines KEY=VALUE of the settings in place of the usual
	Links    Links     `toml:"links"`
	Zones    []Zone    `toml:"zones" min:"1" max:"60"`
	Services []Service `toml:"services" min:"1" max:"100"`
	Routes   []Route   `toml:"routes" min:"1" max:"1000"`
	Tenants  []Tenant  `toml:"tenants,omitempty" max:"1000"`
	Steps    []Step    `toml:"steps,omitempty" max:"1000"`
	Expect   Expect    `toml:"expect"`
}

// Links holds the latencies and losses between machines.
type Links struct {
	NearUS   int     `toml:"near_us" min:"0" max:"1000000"`   // one way inside a zone
	ZoneUS   int     `toml:"zone_us" min:"0" max:"1000000"`   // to another zone
	RegionUS int     `toml:"region_us" min:"0" max:"1000000"` // to another region
	JitterUS int     `toml:"jitter_us" min:"0" max:"1000000"` // at most, on top
	Lost     float64 `toml:"lost" min:"0" max:"1"`            // share of the datagrams
	Twice    float64 `toml:"twice" min:"0" max:"1"`
}

// Zone is a zone with its machines.
type Zone struct {
	Name   string `toml:"name" min:"1" max:"40"`
	Region string `toml:"region" min:"1" max:"40"`
	Edges  int    `toml:"edges" min:"0" max:"200"`
	Cores  int    `toml:"cores" min:"0" max:"9"`
}

// Service is a service and its servers.
type Service struct {
	Name     string   `toml:"name" min:"1" max:"40"`
	Zones    []string `toml:"zones,omitempty"`        // none: all
	Each     int      `toml:"each" min:"1" max:"500"` // servers in each of them
	Slots    int      `toml:"slots" min:"1" max:"1000"`
	WorkMS   float64  `toml:"work_ms" min:"0" max:"60000"`
	LongPart float64  `toml:"long_part,omitempty" min:"0" max:"1"` // share of the requests that take long_work times as long
	LongWork float64  `toml:"long_work,omitempty" min:"0" max:"100"`
	MaxConns int      `toml:"max_conns" min:"0" max:"100000"` // 0: any
	WarmMS   int      `toml:"warmup_ms" min:"0" max:"600000"`
	WarmPerS float64  `toml:"warmup_per_s" min:"0" max:"100000"`
}

// Route is a route of the first configuration, and how its requests count.
type Route struct {
	Name      string   `toml:"name" min:"1" max:"60"`
	Host      string   `toml:"host" min:"1" max:"100"`
	Prefix    string   `toml:"prefix" min:"1" max:"100"`
	Kind      string   `toml:"kind" one:"idempotent mutating"`
	TimeoutMS int      `toml:"timeout_ms" min:"1" max:"600000"`
	AimMS     int      `toml:"aim_ms" min:"1" max:"600000"`
	Prio      int      `toml:"prio" min:"0" max:"9"`
	Service   string   `toml:"service,omitempty" max:"40"`
	Split     []Part   `toml:"split,omitempty" max:"10"` // in place of service
	Tries     int      `toml:"tries" min:"1" max:"10"`
	Public    bool     `toml:"public,omitempty"`
	Homes     []string `toml:"home_regions,omitempty"`
	Weight    float64  `toml:"weight,omitempty" min:"0" max:"1000000"` // of the clients' requests; 0: 1
	Worth     float64  `toml:"worth,omitempty" min:"0" max:"1000000"`  // of a request served inside its aim; 0: 1
	Late      float64  `toml:"worth_late,omitempty" min:"0" max:"1000000"`
}

// Part is a part of a split route.
type Part struct {
	Service string  `toml:"service" min:"1" max:"40"`
	Weight  float64 `toml:"weight" min:"0" max:"1000000"`
}

// Tenant is a tenant of the first configuration.
type Tenant struct {
	Name   string   `toml:"name" min:"1" max:"60"`
	Keys   []string `toml:"keys" min:"1" max:"100"`
	Prio   int      `toml:"prio,omitempty" min:"0" max:"9"`
	Rate   float64  `toml:"rate_per_s,omitempty" min:"0" max:"1000000"` // 0: none is set
	Burst  float64  `toml:"burst,omitempty" min:"0" max:"1000000"`
	Homes  []string `toml:"home_regions,omitempty"`
	Weight float64  `toml:"weight,omitempty" min:"0" max:"1000000"`
}

// Expect holds requirements beside the rules, which always have to hold.
type Expect struct {
	Served float64 `toml:"served_least" min:"0" max:"1"` // share of the tries of the whole day
	After  float64 `toml:"after_least" min:"0" max:"1"`  // the same of the last LookS seconds
	LookS  float64 `toml:"look_s" min:"0" max:"600"`
}

// Parse reads a day's file strictly. The error holds every fault, with its line and key.
func Parse(file string, text []byte) (*Day, error) {
	d := &Day{Seed: 1, Seconds: 10, Rest: 15, Links: usualLinks(), Expect: Expect{LookS: 3}}
	faults := conffile.Decode(file, text, d)
	lines, _ := conffile.Lines(text)
	d.check(func(key, format string, args ...any) {
		faults = append(faults, conffile.Fault{File: file, Line: lines.Of(key), Key: key, Text: fmt.Sprintf(format, args...)})
	})
	return d, faults.Err()
}

func usualLinks() Links {
	return Links{NearUS: 500, ZoneUS: 2000, RegionUS: 15000, JitterUS: 200, Lost: 0.002}
}

// mostMachines bounds a day's machines: addresses hold no more, and memory hardly.
const mostMachines = 1200

type faultOf func(key, format string, args ...any)

func (d *Day) check(fault faultOf) {
	zones, services, hosts := map[string]bool{}, map[string]bool{}, map[string]bool{}
	edges, cores, servers := 0, 0, 0
	for i, z := range d.Zones {
		if zones[z.Name] {
			fault(fmt.Sprintf("zones.%d.name", i), "%q stands there twice", z.Name)
		}
		zones[z.Name] = true
		edges, cores = edges+z.Edges, cores+z.Cores
	}
	if edges == 0 || cores == 0 {
		fault("zones", "%d edges and %d cores: there has to be one of each", edges, cores)
	}
	if cores > 9 || edges+cores > mostMachines {
		fault("zones", "%d cores and %d machines in all: at most 9 and %d", cores, edges+cores, mostMachines)
	}
	for i, s := range d.Services {
		key := fmt.Sprintf("services.%d", i)
		if services[s.Name] {
			fault(key+".name", "%q stands there twice", s.Name)
		}
		services[s.Name] = true
		for _, z := range s.Zones {
			if !zones[z] {
				fault(key+".zones", "there is no zone %q", z)
			}
		}
		in := len(s.Zones)
		if in == 0 {
			in = len(d.Zones)
		}
		servers += in * s.Each
	}
	if servers > 120*250 {
		fault("services", "%d servers: at most %d", servers, 120*250)
	}
	for i, r := range d.Routes {
		key := fmt.Sprintf("routes.%d", i)
		at := r.Host + r.Prefix
		if hosts[at] {
			fault(key+".prefix", "%s stands there twice", at)
		}
		hosts[at] = true
		if (r.Service == "") == (len(r.Split) == 0) {
			fault(key+".service", "either service or split")
		}
		if r.Service != "" && !services[r.Service] {
			fault(key+".service", "there is no service %q", r.Service)
		}
		for _, p := range r.Split {
			if !services[p.Service] {
				fault(key+".split", "there is no service %q", p.Service)
			}
		}
	}
	keys := map[string]bool{}
	for i, t := range d.Tenants {
		for _, k := range t.Keys {
			if keys[k] {
				fault(fmt.Sprintf("tenants.%d.keys", i), "%q is held twice", k)
			}
			keys[k] = true
		}
	}
	for _, b := range d.Bounds {
		if k, _, ok := strings.Cut(b, "="); !ok || strings.TrimSpace(k) == "" {
			fault("bounds", "%q is not KEY=VALUE", b)
		}
	}
	for i := range d.Steps {
		d.Steps[i].check(d, fmt.Sprintf("steps.%d", i), fault)
	}
	if d.Expect.LookS > d.Seconds+d.Rest {
		fault("expect.look_s", "%v is longer than the day", d.Expect.LookS)
	}
}

// Nodes are the names of the machines: edges, cores.
func (d *Day) Nodes() (edges, cores []string) {
	for _, z := range d.Zones {
		for i := range z.Edges {
			edges = append(edges, fmt.Sprintf("edge-%s-%d", z.Name, i))
		}
		for i := range z.Cores {
			cores = append(cores, fmt.Sprintf("core-%s-%d", z.Name, i))
		}
	}
	return edges, cores
}

// Clone copies a day, deep enough for its steps and lists of zones to be changed.
func (d *Day) Clone() *Day {
	c := *d
	c.Steps, c.Zones, c.Bounds = slices.Clone(d.Steps), slices.Clone(d.Zones), slices.Clone(d.Bounds)
	c.Services, c.Tenants, c.Routes = slices.Clone(d.Services), slices.Clone(d.Tenants), slices.Clone(d.Routes)
	return &c
}
