package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Mix says of what kind days are drawn.
type Mix struct {
	Nodes    int      // machines of the system; from 3
	Seconds  float64  // of troubles
	Troubles int      // steps, on average
	Load     float64  // of the work that the servers bear
	Only     []string // kinds of steps; none: all
	Tight    float64  // share of the days whose troubles meet within 200 ms
}

// UsualMix is a day of 12 machines.
var UsualMix = Mix{Nodes: 12, Seconds: 12, Troubles: 7, Load: 0.2, Tight: 0.3}

// Draw makes a day by a seed: equal seeds and mixes make equal days.
func Draw(m Mix, seed uint64) *Day {
	r := rand.New(rand.NewPCG(seed, 0x77656174686572))
	d := cluster(r, m.Nodes)
	d.Name, d.Seed, d.Seconds, d.Rest = fmt.Sprintf("drawn-%d-%d", m.Nodes, seed), seed, m.Seconds, 10
	d.Expect = Expect{After: 0.9, LookS: 3}
	if r.Float64() < 0.3 {
		d.Spoil = 0.005
	}
	if r.Float64() < 0.2 {
		d.Long = 60_000
	}
	d.drawServers(rand.New(rand.NewPCG(seed, serverStream)))
	work := 0.0 // that a request takes on average, in seconds
	weights := 0.0
	for _, rt := range d.Routes {
		weights += or1(rt.Weight)
		work += or1(rt.Weight) * d.workOf(rt)
	}
	slots := 0.0
	for _, s := range d.Services {
		slots += float64(s.Slots * d.serversOf(s))
	}
	d.Rate = math.Round(m.Load*slots/(work/weights)*10) / 10
	for i := range d.Services { // a server that turns cold bears what it has had: nobody can know of it at once
		s := &d.Services[i]
		s.WarmPerS = math.Max(s.WarmPerS, math.Ceil(d.Rate/float64(d.serversOf(*s))))
	}
	var kinds []Trouble
	for _, t := range Troubles {
		if len(m.Only) == 0 || slices.Contains(m.Only, t.Name) {
			kinds = append(kinds, t)
		}
	}
	n := 1 + int(r.ExpFloat64()*float64(m.Troubles-1)+0.5)
	if m.Troubles == 0 || len(kinds) == 0 {
		n = 0
	}
	n = min(n, 3*m.Troubles)
	meet, free := -1.0, 0.0 // when troubles meet; when the core is whole again
	if r.Float64() < m.Tight {
		meet = r.Float64() * m.Seconds * 0.7
	}
	for range n {
		at := r.Float64() * m.Seconds
		if meet >= 0 && r.Float64() < 0.5 {
			at = meet + r.Float64()*0.2
		}
		s, t := d.step(r, kinds, at)
		if t.core && d.harmsCore(s, t) {
			if at < free {
				continue
			}
			free = at + s.For + coreRests
			for _, o := range d.Steps { // those drawn before may lie later
				if ot := TroubleOf(o.Do); ot.core && d.harmsCore(o, ot) && o.At >= at && o.At < free || ot.core && d.harmsCore(o, ot) && o.At < at && o.At+o.For+coreRests > at {
					s.Do = ""
				}
			}
			if s.Do == "" {
				continue
			}
		}
		d.Steps = append(d.Steps, s)
	}
	slices.SortStableFunc(d.Steps, func(a, b Step) int { return int(math.Copysign(1, a.At-b.At)) })
	return d
}

// serversOf returns how many servers a service has.
func (d *Day) serversOf(s Service) int {
	if len(s.Zones) > 0 {
		return s.Each * len(s.Zones)
	}
	return s.Each * len(d.Zones)
}

// serverStream is the stream of chances from which the kinds of servers are drawn, so that other draws don't depend on them.
const serverStream = 0x73657276657273

// drawServers lets some requests of some days take far longer than most, also where one region alone may serve them.
func (d *Day) drawServers(r *rand.Rand) {
	if r.Float64() >= 0.3 {
		return
	}
	for i := range d.Services {
		d.Services[i].LongPart, d.Services[i].LongWork = 0.05, 8
	}
	if len(d.Zones) == 1 || r.Float64() < 0.5 {
		d.Routes[0].Homes = []string{one(r, d.Zones).Region}
	}
}

// coreRests is how long the core has after each trouble, in seconds: the system bears the loss of one machine at once.
const coreRests = 5

func (d *Day) harmsCore(s Step, t *Trouble) bool {
	_, cores := d.Nodes()
	return t.whom != aNode || slices.Contains(cores, s.Node)
}

func or1(w float64) float64 {
	if w == 0 {
		return 1
	}
	return w
}

func (d *Day) workOf(r Route) (s float64) {
	of := func(name string) float64 {
		i := slices.IndexFunc(d.Services, func(x Service) bool { return x.Name == name })
		return d.Services[i].WorkMS / 1000
	}
	if r.Service != "" {
		return of(r.Service)
	}
	sum := 0.0
	for _, p := range r.Split {
		s, sum = s+p.Weight*of(p.Service), sum+p.Weight
	}
	return s / sum
}

// cluster draws the layout of a day.
func cluster(r *rand.Rand, nodes int) *Day {
	d := &Day{Links: usualLinks()}
	places := [][2]string{{"north-a", "north"}, {"south-a", "south"}, {"north-b", "north"}, {"south-b", "south"}, {"west-a", "west"}}
	zones := max(1, min(len(places), nodes/3))
	if zones > 1 {
		zones = 1 + r.IntN(zones)
	}
	cores := 3
	if nodes >= 12 && r.IntN(2) == 0 {
		cores = 5
	}
	for i := range zones {
		d.Zones = append(d.Zones, Zone{Name: places[i][0], Region: places[i][1]})
	}
	for i := range cores {
		d.Zones[i%zones].Cores++
	}
	for i := range max(1, nodes-cores) {
		d.Zones[i%zones].Edges++
	}
	each := max(1, int(math.Ceil(float64(max(2, nodes/3))/float64(zones))))
	for i, name := range []string{"pears", "plums"} {
		d.Services = append(d.Services, Service{Name: name, Each: each, Slots: 4, WorkMS: 60 + 30*float64(i), MaxConns: 110, WarmMS: 3000, WarmPerS: 21})
	}
	d.Routes = []Route{
		{Name: "find", Host: "one.example", Prefix: "/a/", Kind: "idempotent", TimeoutMS: 2000, AimMS: 500, Prio: 2, Service: "pears", Tries: 2, Weight: 2, Worth: 1, Late: 0.3},
		{Name: "lend", Host: "one.example", Prefix: "/a/b/", Kind: "mutating", TimeoutMS: 2500, AimMS: 600, Prio: 1, Service: "plums", Tries: 2, Worth: 2, Late: 0.6},
		{Name: "look", Host: "two.example", Prefix: "/", Kind: "idempotent", TimeoutMS: 1500, AimMS: 500, Tries: 3, Split: []Part{{"pears", 70}, {"plums", 30}}, Worth: 1, Late: 0.3},
		{Name: "pay", Host: "three.example", Prefix: "/p/", Kind: "mutating", TimeoutMS: 1500, AimMS: 400, Service: "pears", Tries: 2, Worth: 3, Late: 0.9},
	}
	if zones > 1 && r.IntN(2) == 0 {
		d.Routes[3].Homes = []string{"south"}
	}
	d.Tenants = []Tenant{{Name: "ana", Keys: []string{"key-ana-1", "key-ana-2"}, Weight: 3}, {Name: "ion", Keys: []string{"key-ion"}}, {Name: "eva", Keys: []string{"key-eva"}}}
	if r.IntN(2) == 0 {
		d.Tenants[0].Rate, d.Tenants[0].Burst = 60, 60
	}
	return d
}

// step draws one event.
func (d *Day) step(r *rand.Rand, kinds []Trouble, at float64) (Step, *Trouble) {
	sum := 0.0
	for _, t := range kinds {
		sum += or1(t.rare)
	}
	x, t := r.Float64()*sum, &kinds[0]
	for i := range kinds {
		if x -= or1(kinds[i].rare); x < 0 {
			t = &kinds[i]
			break
		}
	}
	round := func(f float64) float64 { return math.Round(f*1000) / 1000 }
	s := Step{At: round(at), Do: t.Name}
	edges, cores := d.Nodes()
	switch t.whom {
	case anEdge:
		s.Node = one(r, edges)
	case aCore:
		s.Node = one(r, cores)
	case aNode:
		s.Node = one(r, append(edges, cores...))
	case aZone:
		s.Zone = one(r, d.Zones).Name
	case aServer:
		x := one(r, d.Services)
		s.Service, s.Server = x.Name, r.IntN(d.serversOf(x))
	case aRoute:
		s.Route, s.Skip = one(r, d.Routes).Name, r.IntN(3)
	case aTenant:
		s.Tenant, s.Skip = one(r, d.Tenants).Name, r.IntN(2)
	}
	if t.long {
		s.For = round(0.2 + 4*r.Float64())
	}
	switch t.needs {
	case "share":
		s.Share = round(0.05 + 0.4*r.Float64())
	case "times":
		s.Times = round(1.5 + 4*r.Float64())
	}
	if t.Name == "disk-slow" {
		s.Times = round(20 + 200*r.Float64())
	}
	return s, t
}

func one[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }
