package operatorclient

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

// Look is what came of asking one replica.
type Look struct {
	Addr   string      `json:"addr"`
	Status *api.Status `json:"status"` // nil: it did not tell
	Err    string      `json:"err"`
	TookMS int64       `json:"took_ms"`
	SkewMS int64       `json:"skew_ms"` // its time of day less this machine's, give or take TookMS
}

// View is what the replicas that answered say, joined.
type View struct {
	At       time.Time       `json:"at"`
	Looks    []Look          `json:"looks"`
	Settled  bool            `json:"settled"` // one replica hears an eligible majority
	Voters   int             `json:"voters"`
	Majority int             `json:"majority"`
	Replicas []Replica       `json:"replicas"`
	Proxies  []Proxy         `json:"proxies"`
	Zones    []Zone          `json:"zones"`
	Nodes    []api.NodeOrder `json:"nodes"`
	Duty     api.Duty        `json:"duty"`     // the list's, by the highest term that an answering replica knows
	Versions []api.VersionAt `json:"versions"` // in force at proxies, newest first, by the replica that heard of each last
	Lock     api.LockView    `json:"lock"`     // by a replica that has granted it; Who empty: nobody has it
	Config   *Summary        `json:"config"`   // nil: not known
	Troubles []string        `json:"troubles"`
}

// Replica is a replica by all that is said of it.
type Replica struct {
	Name      string      `json:"name"`
	Zone      string      `json:"zone"`
	Ctl       string      `json:"ctl"`
	Voter     bool        `json:"voter"`
	Answers   bool        `json:"answers"` // this client
	Eligible  bool        `json:"eligible"`
	Held      api.Version `json:"held"`
	Confirmed api.Version `json:"confirmed"`
	FreshMS   int64       `json:"fresh_ms"`
	Disk      string      `json:"disk"`
	Leaving   bool        `json:"leaving"`
	SeenBy    []string    `json:"seen_by"` // replicas that it answers, itself left out
}

// Proxy is a proxy by the replica that heard of it last.
type Proxy struct {
	api.ProxyView
	By string `json:"by"`
}

// Awake tells whether it takes clients and is not to rest.
func (g *Proxy) Awake() bool { return g.Ready && !g.ToRest }

// Proxy finds a proxy; nil: nobody spoke of it.
func (v *View) Proxy(name string) *Proxy {
	for i := range v.Proxies {
		if v.Proxies[i].Name == name {
			return &v.Proxies[i]
		}
	}
	return nil
}

// Node is the newest order about a proxy; Count 0: none was ever given.
func (v *View) Node(name string) api.NodeOrder {
	for _, o := range v.Nodes {
		if o.Node == name {
			return o
		}
	}
	return api.NodeOrder{Node: name}
}

// Zone is a zone with all that is known of it.
type Zone struct {
	Name      string        `json:"name"`
	Order     api.ZoneOrder `json:"order"` // Count 0: none was ever given
	Replicas  int           `json:"replicas"`
	Answering int           `json:"answering"`
	Proxies   int           `json:"proxies"`
	Ready     int           `json:"ready"`
	Awake     int           `json:"awake"` // ready and not to rest
	Servers   api.ServersIn `json:"servers"`
}

// Look asks all replicas that it is given or hears of, each once and all at once.
func (c *Client) Look(ctx context.Context) *View {
	asked := map[string]bool{}
	var looks []Look
	for next := c.addrs; len(next) > 0; {
		found := make([]Look, len(next))
		var all sync.WaitGroup
		for i, addr := range next {
			asked[addr] = true
			all.Go(func() { found[i] = c.lookAt(ctx, addr) })
		}
		all.Wait()
		looks = append(looks, found...)
		next = nil
		for _, l := range found {
			if l.Status == nil {
				continue
			}
			for _, b := range l.Status.Replicas {
				if b.Ctl != "" && !asked[b.Ctl] && len(asked) < mostReplicas {
					asked[b.Ctl] = true
					next = append(next, b.Ctl)
				}
			}
		}
	}
	v := Join(c.w.Now(), looks)
	if body, err := c.Show(ctx); err == nil {
		if p, err := routeconfig.Parse(body); err == nil {
			v.Config = Summarise(p)
		}
	}
	return v
}

func (c *Client) lookAt(ctx context.Context, addr string) Look {
	l := Look{Addr: addr}
	began := c.w.Now()
	s := &api.Status{}
	err := c.get(ctx, addr, api.OpsStatus, s)
	took := c.w.Now().Sub(began)
	l.TookMS = took.Milliseconds()
	if err == nil {
		err = sound(s)
	}
	if err != nil {
		l.Err = clean(err.Error())
		return l
	}
	l.Status, l.SkewMS = s, s.At.Sub(began.Add(took/2)).Milliseconds()
	return l
}

// Join joins what replicas said. Of what they differ in, the newest counts: for
// proxies the youngest hearing, for orders the highest number.
func Join(at time.Time, looks []Look) *View {
	v := &View{At: at.UTC(), Looks: looks, Replicas: []Replica{}, Proxies: []Proxy{}, Zones: []Zone{}, Nodes: []api.NodeOrder{}, Troubles: []string{}}
	replicas, proxies, zones, nodes, figures := map[string]*Replica{}, map[string]*Proxy{}, map[string]*Zone{}, map[string]api.NodeOrder{}, map[string]*api.Figures{}
	zone := func(name string) *Zone {
		if zones[name] == nil {
			zones[name] = &Zone{Name: name, Servers: api.ServersIn{Zone: name}, Order: api.ZoneOrder{Zone: name}}
		}
		return zones[name]
	}
	newest := int64(0)
	slices.SortStableFunc(v.Looks, func(a, b Look) int { return cmp.Compare(a.Addr, b.Addr) })
	for _, l := range v.Looks {
		s := l.Status
		if s == nil {
			continue
		}
		v.Voters = max(v.Voters, s.Voters)
		for _, told := range s.Replicas {
			b := replicas[told.Name]
			if b == nil {
				b = &Replica{Name: told.Name, Zone: told.Zone, Ctl: told.Ctl, FreshMS: -1, SeenBy: []string{}}
				replicas[told.Name] = b
			}
			b.Voter = b.Voter || told.Voter
			if told.Name == s.Replica {
				b.Answers, b.Eligible, b.Held, b.Confirmed = true, s.Eligible, s.Held, s.Confirmed
				b.FreshMS, b.Disk, b.Leaving = s.FreshMS, s.Disk, s.Leaving
			} else if told.Answered {
				b.SeenBy = append(b.SeenBy, s.Replica)
				if !b.Answers {
					b.Eligible, b.Held = told.Eligible, told.Held
				}
			}
		}
		for _, g := range s.Proxies {
			if old := proxies[g.Name]; old == nil || g.HeardMS < old.HeardMS {
				proxies[g.Name] = &Proxy{g, s.Replica}
			}
			if f := g.Figures; f != nil && (figures[g.Name] == nil || f.AgeMS < figures[g.Name].AgeMS) {
				figures[g.Name] = f
			}
		}
		for _, o := range s.Nodes {
			if old := nodes[o.Node]; o.Count > old.Count || o.Count == old.Count && (o.By > old.By || o.By == old.By && o.Confirmed) {
				nodes[o.Node] = o
			}
		}
		if s.Lock.Who != "" && (v.Lock.Who == "" || s.Lock.LeftMS > v.Lock.LeftMS) {
			v.Lock = s.Lock
		}
		for _, d := range s.Duties {
			if old := v.Duty; d.Epoch > old.Epoch || d.Epoch == old.Epoch && (d.Step > old.Step || d.Step == old.Step && d.Holder >= old.Holder) {
				v.Duty = d
			}
		}
		for _, o := range s.Zones {
			z := zone(o.Zone)
			if old := z.Order; o.Count > old.Count || o.Count == old.Count && (o.By > old.By || o.By == old.By && o.Confirmed) {
				z.Order = o
			}
		}
		if s.List.Stamp > newest {
			newest = s.List.Stamp
			for _, in := range s.List.Servers {
				zone(in.Zone).Servers = in
			}
		}
	}
	v.Majority = v.Voters/2 + 1
	for _, name := range slices.Sorted(maps.Keys(replicas)) {
		b := *replicas[name]
		v.Replicas = append(v.Replicas, b)
		z := zone(b.Zone)
		if z.Replicas++; b.Answers {
			z.Answering++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(proxies)) {
		g := *proxies[name]
		g.Figures, g.ToRest = figures[name], nodes[name].Rests && nodes[name].Confirmed
		v.Proxies = append(v.Proxies, g)
		z := zone(g.Zone)
		if z.Proxies++; g.Ready {
			z.Ready++
		}
		if g.Awake() {
			z.Awake++
		}
	}
	v.Versions = routeconfig.VersionsAt(func(yield func(api.ProxyView) bool) {
		for i := range v.Proxies {
			if !yield(v.Proxies[i].ProxyView) {
				return
			}
		}
	})
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		v.Nodes = append(v.Nodes, nodes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if name != "" {
			v.Zones = append(v.Zones, *zones[name])
		}
	}
	v.Settled = v.settled()
	v.Troubles = append(v.Troubles, v.troubles()...)
	return v
}

// settled tells whether one replica that answers hears a majority of eligible voters.
func (v *View) settled() bool {
	for _, l := range v.Looks {
		if l.Status == nil || l.Status.Voters == 0 {
			continue
		}
		n := 0
		for _, b := range l.Status.Replicas {
			if b.Voter && b.Answered && b.Eligible {
				n++
			}
		}
		if n >= max(l.Status.Majority, v.Majority) {
			return true
		}
	}
	return false
}

// Answering counts the replicas that told something.
func (v *View) Answering() (n int) {
	for _, l := range v.Looks {
		if l.Status != nil {
			n++
		}
	}
	return n
}

// Zone finds a zone; nil: nobody spoke of it.
func (v *View) Zone(name string) *Zone {
	for i := range v.Zones {
		if v.Zones[i].Name == name {
			return &v.Zones[i]
		}
	}
	return nil
}

// Held is the newest version that an answering replica's disk holds or has confirmed.
func (v *View) Held() (newest api.Version) {
	for _, b := range v.Replicas {
		for _, x := range []api.Version{b.Held, b.Confirmed} {
			if number(x.Gen) > number(newest.Gen) {
				newest = x
			}
		}
	}
	return newest
}

// number is 0 for none.
func number(gen string) uint64 {
	n, err := routeconfig.Number(gen)
	if err != nil {
		return 0
	}
	return n
}

// addresses are the ctl addresses of all replicas that were spoken of.
func (v *View) addresses() (all []string) {
	for _, b := range v.Replicas {
		if b.Ctl != "" {
			all = append(all, b.Ctl)
		}
	}
	return all
}
