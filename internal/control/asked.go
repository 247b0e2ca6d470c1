package control

import (
	"maps"
	"slices"
	"time"

	"pepperfall.example/pepperfall/api"
)

// maxRequestCountsAge is how long a proxy's counts by route are told on; it tells them every 5 s.
const maxRequestCountsAge = 15 * time.Second

// RequestCounts sums what proxies were asked for in the last minute, and has them tell it.
func (b *Replica) RequestCounts() *api.Asked {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now >= b.ops.asks {
		b.ops.since = now
	}
	b.ops.asks = now + wantsFor
	a := &api.Asked{Replica: b.self.Name, Gen: version(idOf(b.configuration)).Gen, Routes: []api.RouteAsked{}}
	sums := map[int]uint64{}
	for _, n := range b.proxies.names() {
		g := b.proxies.proxies[n]
		if !g.isAlive(now) || !g.ready || g.leftAt > 0 {
			continue
		}
		a.Ready++
		x := g.requestCounts
		if x == nil || x.Span <= 0 || g.requestCountsAt < b.ops.since || now-g.requestCountsAt > maxRequestCountsAge || b.configuration == nil || x.Gen != b.configuration.Gen {
			continue
		}
		if ms := x.Span.Milliseconds(); a.Proxies == 0 || ms < a.SpanMS {
			a.SpanMS = ms
		}
		a.Proxies++
		a.Rest += uint64(x.Rest)
		for _, r := range x.Routes {
			sums[int(r.Route)] += uint64(r.Requests)
		}
	}
	for _, r := range slices.Sorted(maps.Keys(sums)) {
		a.Routes = append(a.Routes, api.RouteAsked{Route: r, Requests: sums[r]})
	}
	return a
}
