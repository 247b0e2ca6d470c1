package emulator

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// Keep is how a reader uses connections.
type Keep int

// The ways.
const (
	Own    Keep = iota // one of its own for as long as it may be used
	Shared             // those that the clients of its zone share
	Fresh              // a new one for each request
)

// Readers are clients whose requests belong to sessions.
type Readers struct {
	o *Cluster

	mu    sync.Mutex
	press map[string]float64 // by tenant: so many times its usual; missing: 1
	pace  float64            // all of them; 0: 1
	count int                // sessions
}

// think is the longest pause between two acts of a session.
const think = 300 * time.Millisecond

// Start lets sessions begin, so many a second over all zones, by the tenants' weights.
func (r *Readers) Start(perS float64, keep Keep) {
	c := r.o.Clients
	sum := 0.0
	for _, t := range r.o.layout.Tenants {
		sum += or(t.Weight)
	}
	for _, w := range c.crowds {
		for _, t := range r.o.layout.Tenants {
			c.jobs.Go(func() { r.come(w, t, perS/float64(len(c.crowds))*or(t.Weight)/sum, keep) })
		}
	}
}

// Desks opens desks in every zone for each tenant, which have one session after the other on one connection.
func (r *Readers) Desks(each int) {
	c := r.o.Clients
	for _, w := range c.crowds {
		for _, t := range r.o.layout.Tenants {
			for range each {
				c.jobs.Go(func() {
					p := newPurse()
					defer p.prune(nil)
					for c.pause(think) {
						r.session(w, t, Own, p)
					}
				})
			}
		}
	}
}

// Press has a tenant's sessions come so many times as often.
func (r *Readers) Press(tenant string, times float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.press[tenant] = times
}

// Pace has all sessions come so many times as often.
func (r *Readers) Pace(times float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = times
}

func (r *Readers) come(w *crowd, t Tenant, perS float64, keep Keep) {
	w.where()
	for {
		r.mu.Lock()
		now := perS * or(r.press[t.Name]) * or(r.pace)
		r.mu.Unlock()
		wait := time.Duration(-math.Log(1-r.o.chance()) / max(now, 0.001) * float64(time.Second))
		if !w.all.sleep(min(wait, time.Second)) {
			return
		}
		if wait <= time.Second {
			w.all.jobs.Go(func() {
				p := newPurse()
				defer p.prune(nil)
				r.session(w, t, keep, p)
			})
		}
	}
}

// sleep waits; it is false where the traffic has ended.
func (c *Clients) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.stop:
		return false
	}
}

// pause sleeps for some time up to the longest.
func (c *Clients) pause(most time.Duration) bool {
	return c.sleep(time.Duration(c.o.chance() * float64(most)))
}

// session goes through a script, and no further than to the first act that was not served.
func (r *Readers) session(w *crowd, t Tenant, keep Keep, p *purse) {
	c := w.all
	c.mu.Lock()
	word := c.word
	c.mu.Unlock()
	i := slices.IndexFunc(word.Tenants, func(x Tenant) bool { return x.Name == t.Name })
	if i < 0 || len(word.Tenants[i].Keys) == 0 {
		return
	}
	t = word.Tenants[i]
	key := t.Keys[r.o.pick(len(t.Keys))]
	r.mu.Lock()
	r.count++
	no := r.count
	r.mu.Unlock()
	script := r.o.layout.Scripts[r.o.pick(len(r.o.layout.Scripts))]
	for step, name := range script {
		if step > 0 && !c.pause(think) {
			return
		}
		at := slices.IndexFunc(word.Routes, func(x Route) bool { return x.Name == name })
		a := &Act{ID: fmt.Sprintf("s%d-%d", no, step), Tenant: t.Name, Key: key, Route: name, Kind: word.Routes[at].Kind, Zone: w.zone}
		if !r.act(w, a, word.Routes[at], keep, p) {
			return
		}
	}
}

// act asks for one act until it is done, or nothing more can be done for it; it tells whether it was served.
func (r *Readers) act(w *crowd, a *Act, route Route, keep Keep, p *purse) bool {
	x := wish{route: route, method: "GET", path: fmt.Sprintf("%s%d?%s=%s", route.Prefix, r.o.pick(1000), actField, a.ID), key: a.Key}
	if route.Kind == "mutating" {
		x.method, x.body = "POST", "record "+a.ID
	}
	from := p
	switch keep {
	case Shared:
		from = w.idle
	case Fresh:
		from = nil
	}
	a.Began = time.Now()
	until := a.Began.Add(time.Duration(route.Timeout) * time.Millisecond)
	r.o.Ledger.begun(a)
	for range mostTries {
		addr := w.where()
		if addr == "" {
			r.o.Book.homeless(x)
			break
		}
		if keep == Own && len(a.tries) == 0 {
			if held := p.held(); held != "" && w.knows(held) {
				addr = held
			}
			p.prune([]string{addr})
		}
		var first *Request
		if len(a.tries) > 0 {
			first = a.tries[0]
		}
		q := w.all.request(w, x, addr, time.Until(until), first)
		r.o.Ledger.tried(a, q)
		end := w.try(q, from, len(a.tries) > 1)
		wait, again := w.again(q, end, until)
		if !again {
			break
		}
		time.Sleep(wait)
	}
	r.o.Ledger.ended(a)
	return a.served()
}

// knows tells whether dir's last answer names a proxy.
func (w *crowd) knows(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.list, addr)
}
