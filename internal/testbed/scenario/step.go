package scenario

import (
	"slices"
	"strings"
)

// Step is one event of a day.
type Step struct {
	At      float64 `toml:"at" min:"0" max:"86400"` // seconds since the clients began
	Do      string  `toml:"do" min:"1"`             // a trouble's name: see Troubles
	Node    string  `toml:"node,omitempty" max:"60"`
	Zone    string  `toml:"zone,omitempty" max:"40"`
	Service string  `toml:"service,omitempty" max:"40"`
	Server  int     `toml:"server,omitempty" min:"0" max:"100000"` // the so manieth of the service's that are ready then
	Tenant  string  `toml:"tenant,omitempty" max:"60"`
	Route   string  `toml:"route,omitempty" max:"60"`
	For     float64 `toml:"for_s,omitempty" min:"0" max:"86400"`
	Share   float64 `toml:"share,omitempty" min:"0" max:"1"`
	Times   float64 `toml:"times,omitempty" min:"0" max:"1000"`
	Skip    int     `toml:"skip,omitempty" min:"0" max:"100"` // numbers of configurations left out
}

// What a trouble concerns.
type whom int

const (
	nobody whom = iota // the cluster as a whole
	anEdge
	aCore
	aNode
	aZone
	aServer
	aRoute
	aTenant
)

// Trouble is a kind of step.
type Trouble struct {
	Name  string
	Tells string // what it does
	whom  whom
	long  bool    // it lasts for for_s
	needs string  // share or times, where it wants one
	core  bool    // something befalls the core: only one such at a time is drawn
	rare  float64 // how often it is drawn beside the others; 0: 1
}

// Troubles are all kinds of steps.
var Troubles = []Trouble{
	{Name: "kill-proxy", Tells: "a proxy is killed and started again", whom: anEdge},
	{Name: "kill-agent", Tells: "an agent is killed and started again", whom: anEdge},
	{Name: "kill-core", Tells: "a replica is killed and started again", whom: aCore, core: true},
	{Name: "kill-all", Tells: "all processes are killed at once and started again", core: true, rare: 0.4},
	{Name: "swap", Tells: "a machine is told to end and started again", whom: anEdge},
	{Name: "leave", Tells: "a machine is told to end, and comes again after for_s", whom: anEdge, long: true},
	{Name: "power", Tells: "a machine is without power for for_s", whom: aNode, long: true, core: true},
	{Name: "power-all", Tells: "all machines are without power for for_s", long: true, core: true, rare: 0.4},
	{Name: "blackout", Tells: "a zone with its servers is without power for for_s", whom: aZone, long: true, core: true},
	{Name: "wipe", Tells: "a core machine loses power and its disk, and comes again after for_s", whom: aCore, long: true, core: true},
	{Name: "isolate", Tells: "a machine reaches no other machine of the system for for_s", whom: aNode, long: true, core: true},
	{Name: "cut-zone", Tells: "a zone's machines and the others reach each other no more for for_s", whom: aZone, long: true, core: true},
	{Name: "cut-one-way", Tells: "nothing gets from a machine to the others of the system for for_s", whom: aNode, long: true, core: true},
	{Name: "refuse", Tells: "connections between a machine and the others are refused and reset for for_s", whom: aNode, long: true, core: true},
	{Name: "cut-proxies", Tells: "an edge machine reaches no other edge for for_s", whom: anEdge, long: true},
	{Name: "disk-slow", Tells: "each wait for a core machine's disk takes times x 1 ms for for_s", whom: aCore, long: true, needs: "times", core: true},
	{Name: "disk-hang", Tells: "a core machine's disk does nothing for for_s", whom: aCore, long: true, core: true},
	{Name: "disk-full", Tells: "a core machine's disk takes no more for for_s", whom: aCore, long: true, core: true},
	{Name: "replace", Tells: "a route leads to another service by a new configuration", whom: aRoute},
	{Name: "revoke", Tells: "a tenant's keys are others by a new configuration", whom: aTenant},
	{Name: "race", Tells: "two configurations are sent at once", whom: aRoute},
	{Name: "bad", Tells: "something that is no configuration is sent", rare: 0.5},
	{Name: "evacuate", Tells: "a zone is out of use for for_s", whom: aZone, long: true},
	{Name: "renew", Tells: "a server is drained, and a new one started", whom: aServer},
	{Name: "drain", Tells: "a server is drained, and another comes after for_s", whom: aServer, long: true},
	{Name: "crash", Tells: "a server ends at once, and another comes after for_s", whom: aServer, long: true},
	{Name: "reuse", Tells: "a server ends, and another one begins at its address", whom: aServer},
	{Name: "chill", Tells: "a server turns cold", whom: aServer},
	{Name: "spoil", Tells: "a share of a server's answers is spoilt for for_s", whom: aServer, long: true, needs: "share"},
	{Name: "grey", Tells: "a server fails a share of its requests for for_s", whom: aServer, long: true, needs: "share"},
	{Name: "slow", Tells: "a server's work takes times as long for for_s", whom: aServer, long: true, needs: "times"},
	{Name: "lie", Tells: "a server's health answer says the reverse for for_s", whom: aServer, long: true},
	{Name: "forget", Tells: "a server forgets idle connections after 200 ms for for_s", whom: aServer, long: true},
	{Name: "no-list", Tells: "the platform answers 503 for for_s", long: true},
	{Name: "surge", Tells: "clients send times as many requests for for_s", long: true, needs: "times"},
	{Name: "press", Tells: "one tenant sends times its usual for for_s", whom: aTenant, long: true, needs: "times"},
	{Name: "loss", Tells: "a share of the datagrams is lost for for_s", long: true, needs: "share"},
}

// TroubleOf finds a kind by its name; nil: there is none.
func TroubleOf(name string) *Trouble {
	if i := slices.IndexFunc(Troubles, func(t Trouble) bool { return t.Name == name }); i >= 0 {
		return &Troubles[i]
	}
	return nil
}

func (s *Step) check(d *Day, key string, fault faultOf) {
	t := TroubleOf(s.Do)
	if t == nil {
		var all []string
		for _, x := range Troubles {
			all = append(all, x.Name)
		}
		fault(key+".do", "%q is none of %s", s.Do, strings.Join(all, ", "))
		return
	}
	if s.At > d.Seconds {
		fault(key+".at", "after the day's %v s", d.Seconds)
	}
	edges, cores := d.Nodes()
	named := func(what, name string, all []string) {
		if !slices.Contains(all, name) {
			fault(key+"."+what, "%s wants one of the day's, %q is none", s.Do, name)
		}
	}
	switch t.whom {
	case anEdge:
		named("node", s.Node, edges)
	case aCore:
		named("node", s.Node, cores)
	case aNode:
		named("node", s.Node, append(edges, cores...))
	case aZone:
		named("zone", s.Zone, names(d.Zones, func(z Zone) string { return z.Name }))
	case aServer:
		named("service", s.Service, names(d.Services, func(x Service) string { return x.Name }))
	case aRoute:
		named("route", s.Route, names(d.Routes, func(r Route) string { return r.Name }))
	case aTenant:
		named("tenant", s.Tenant, names(d.Tenants, func(x Tenant) string { return x.Name }))
	}
	if t.long && s.For == 0 {
		fault(key+".for_s", "%s lasts for a while: say how long", s.Do)
	}
	if t.needs == "share" && s.Share == 0 {
		fault(key+".share", "%s wants a share", s.Do)
	}
	if t.needs == "times" && s.Times == 0 {
		fault(key+".times", "%s wants how many times", s.Do)
	}
}

func names[T any](all []T, name func(T) string) (list []string) {
	for _, x := range all {
		list = append(list, name(x))
	}
	return list
}
