package emulator

import (
	"slices"
	"time"
)

// Gain is what a route's requests earn: Full inside their aim, counted from the client's first try, Late after it.
type Gain struct{ Full, Late float64 }

// Worth is what requests earned of what they were worth.
type Worth struct {
	Earned, Owed   float64
	Wishes, Served int // of what clients wanted, however often they tried
}

// Part is the share earned; 1 where nothing was owed.
func (w Worth) Part() float64 {
	if w.Owed == 0 {
		return 1
	}
	return w.Earned / w.Owed
}

func (w *Worth) add(x Worth) {
	w.Earned, w.Owed, w.Wishes, w.Served = w.Earned+x.Earned, w.Owed+x.Owed, w.Wishes+x.Wishes, w.Served+x.Served
}

// Fortune is the worth of a day in all its parts.
type Fortune struct {
	All                     Worth
	Routes, Zones, Tenants  map[string]*Worth // zones: the clients'
	Cells                   map[string]*Worth // by TENANT/ZONE
	Windows                 []Worth           // by ten seconds since the first request
	Late                    []time.Duration   // what those served took, from the first try, in order
	Probes                  int
	Tries, Refused, Further int // tries of clients; arrivals at servers beyond the first of a try
}

// fortuneWindow is the length of a window.
const fortuneWindow = 10 * time.Second

// Fortune counts what clients wanted from a moment on. What no configuration allows, and what lies beyond a tenant's limit, isn't owed.
func (b *Book) Fortune(since time.Time, gain func(route string) Gain) *Fortune {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &Fortune{Routes: map[string]*Worth{}, Zones: map[string]*Worth{}, Tenants: map[string]*Worth{}, Cells: map[string]*Worth{}}
	again := map[*Request][]*Request{}
	for _, q := range b.all {
		if q.First != nil {
			again[q.First] = append(again[q.First], q)
		}
	}
	var began time.Time
	full := map[string]*store{}
	for _, q := range b.all {
		counts := !q.Sent.Before(since)
		switch {
		case q.Probe:
			f.Probes++
			continue
		case counts:
			f.Tries++
			f.Further += max(0, len(q.Arrivals)-1)
			if promised(q.Status) {
				f.Refused++
			}
			if began.IsZero() {
				began = q.Sent
			}
		}
		if q.First != nil {
			continue
		}
		t, allowed := b.allows(q)
		if !allowed {
			continue
		}
		name := ""
		if t != nil {
			if name = t.Name; full[name] == nil {
				full[name] = &store{left: t.Burst, at: q.Sent}
			}
		}
		w := worthOf(append([]*Request{q}, again[q]...), gain(q.Route))
		if t != nil && t.Rate > 0 && !full[name].take(t, q.Sent, w.Served > 0) || !counts {
			continue
		}
		f.All.add(w)
		if w.Served > 0 {
			f.Late = append(f.Late, lastOf(q, again).Ended.Sub(q.Sent))
		}
		for m, k := range map[*map[string]*Worth]string{&f.Routes: q.Route, &f.Zones: q.Zone, &f.Tenants: name, &f.Cells: name + "/" + q.Zone} {
			if (*m)[k] == nil {
				(*m)[k] = &Worth{}
			}
			(*m)[k].add(w)
		}
		at := int(q.Sent.Sub(began) / fortuneWindow)
		for len(f.Windows) <= at {
			f.Windows = append(f.Windows, Worth{})
		}
		f.Windows[at].add(w)
	}
	for _, x := range b.lonely {
		if !x.at.Before(since) {
			f.All.add(Worth{Owed: gain(x.route).Full, Wishes: 1})
		}
	}
	slices.Sort(f.Late)
	return f
}

func lastOf(q *Request, again map[*Request][]*Request) *Request {
	if all := again[q]; len(all) > 0 {
		return all[len(all)-1]
	}
	return q
}

// worthOf is the worth of a wish by its tries.
func worthOf(tries []*Request, g Gain) Worth {
	w, first, last := Worth{Owed: g.Full, Wishes: 1}, tries[0], tries[len(tries)-1]
	if last.Status/100 != 2 {
		return w
	}
	w.Served = 1
	switch took := last.Ended.Sub(first.Sent); {
	case took <= first.Aim:
		w.Earned = g.Full
	case len(tries) > 1 && last.Ended.Sub(last.Sent) <= first.Aim && promised(first.Status) && first.Ended.Sub(first.Sent) <= first.Aim/4:
		w.Earned = (g.Full + g.Late) / 2
	default:
		w.Earned = g.Late
	}
	return w
}

// allows tells whether the configuration in force, or one that may be, allows a request, and whose it is.
func (b *Book) allows(q *Request) (t *Tenant, yes bool) {
	for _, x := range b.since(b.acked(q.Sent), q.Sent.Add(b.o.bounds.Apply)) {
		r := x.word.route(q.Host, q.Path)
		t = x.word.tenant(q.Key)
		if r != nil && (len(x.word.Tenants) == 0 || r.Public || t != nil) {
			return t, true
		}
	}
	return nil, false
}

// store is what a tenant may still ask for.
type store struct {
	left float64
	at   time.Time
}

// take tells whether a wish is owed. One beyond the limit that is served nevertheless takes the place of a later one: proxies
// can't know which of those that come at once are meant.
func (s *store) take(t *Tenant, now time.Time, served bool) bool {
	s.left = min(t.Burst, s.left+now.Sub(s.at).Seconds()*t.Rate)
	s.at = now
	if s.left < 1 && !served {
		return false
	}
	s.left--
	return true
}

// Trace calls f with each line of the joined record, in the order in which clients sent: what was asked, where it came
// to and when, how it ended, and each order. Equal runs have equal lines.
func (b *Book) Trace(f func(line string)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.all {
		f(q.way(b.o))
	}
	for _, x := range b.orders {
		f(x.String(b.o))
	}
}
