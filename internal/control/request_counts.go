package control

import (
	"maps"
	"slices"
	"time"

	"pepperfall.example/pepperfall/api"
)

// maxRequestCountsAge is the age up to which a proxy's request counts are used; proxies report them every 5 s.
const maxRequestCountsAge = 15 * time.Second

// RequestCounts sums the proxies' requests of the last minute by route. Proxies report them only while operators ask
// for them: each call requests the reports for figuresWantedFor more.
func (b *Replica) RequestCounts() *api.Asked {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if now >= b.ops.routeCountsWantedUntil {
		b.ops.routeCountsWantedSince = now
	}
	b.ops.routeCountsWantedUntil = now + figuresWantedFor
	a := &api.Asked{Replica: b.self.Name, Gen: apiVersion(configIDOf(b.configuration)).Gen, Routes: []api.RouteAsked{}}
	sums := map[int]uint64{}
	for _, n := range b.proxies.names() {
		g := b.proxies.proxies[n]
		if !g.isAlive(now) || !g.ready || g.leftAt > 0 {
			continue
		}
		a.Ready++
		counts := g.requestCounts
		if counts == nil || counts.Span <= 0 || g.requestCountsAt < b.ops.routeCountsWantedSince || now-g.requestCountsAt > maxRequestCountsAge || b.configuration == nil || counts.Gen != b.configuration.Gen {
			continue
		}
		if ms := counts.Span.Milliseconds(); a.Proxies == 0 || ms < a.SpanMS {
			a.SpanMS = ms
		}
		a.Proxies++
		a.Rest += uint64(counts.Rest)
		for _, r := range counts.Routes {
			sums[int(r.Route)] += uint64(r.Requests)
		}
	}
	for _, r := range slices.Sorted(maps.Keys(sums)) {
		a.Routes = append(a.Routes, api.RouteAsked{Route: r, Requests: sums[r]})
	}
	return a
}
