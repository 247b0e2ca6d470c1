package operatorclient

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// askedWithin is how long proxies have to begin telling what they were asked for.
const askedWithin = 8 * time.Second

// Asked is what proxies were asked for in the last minute, by the replica that the most proxies tell; nil: no replica answers,
// or none knows this call.
func (c *Client) Asked(ctx context.Context) (best *api.Asked) {
	addrs := c.all(ctx)
	for began := c.w.Now(); ; {
		found := make([]*api.Asked, len(addrs))
		var all sync.WaitGroup
		for i, addr := range addrs {
			all.Go(func() {
				a := &api.Asked{}
				if c.get(ctx, addr, api.OpsAsked, a) == nil && len(a.Routes) <= api.MostProxies {
					a.Replica, a.Gen = clean(a.Replica), clean(a.Gen)
					found[i] = a
				}
			})
		}
		all.Wait()
		for _, a := range found {
			if a != nil && (best == nil || a.Proxies >= best.Proxies) {
				best = a
			}
		}
		if best == nil || best.Proxies > 0 && best.Proxies >= best.Ready || c.w.Now().Sub(began) > askedWithin || !world.Sleep(ctx, c.w, lookEvery) {
			return best
		}
	}
}

// Elsewhere says which of the requests that were asked for would go elsewhere under a new configuration. Counts are by
// route, so of a route that would lose paths to a longer prefix it says so without a number. Keys, limits and homes are
// not in it.
func Elsewhere(old, next *routeconfig.Configuration, asked *api.Asked) (lines []string) {
	switch {
	case old == nil:
		return nil
	case asked == nil || asked.Proxies == 0:
		return []string{"which requests of the last minute would go elsewhere is not known: no proxy tells what it was asked for"}
	case number(asked.Gen) != old.Gen:
		return []string{fmt.Sprintf("which requests of the last minute would go elsewhere is not known: they are counted by %s", or(asked.Gen))}
	}
	moved, all := 0.0, float64(asked.Rest)
	for _, x := range asked.Routes {
		if x.Route < 0 || x.Route >= len(old.Routes) {
			all += float64(x.Requests)
			continue
		}
		n := float64(x.Requests)
		part, to := moves(&old.Routes[x.Route], old, next)
		if all, moved = all+n, moved+n*part; to != "" {
			lines = append(lines, fmt.Sprintf("route %s%s: %s, of %g requests", old.Routes[x.Route].Host, old.Routes[x.Route].Prefix, to, n))
		}
	}
	head := fmt.Sprintf("of %g requests in the last %d s at %d of %d proxies about %.0f would go elsewhere", all, asked.SpanMS/1000, asked.Proxies, asked.Ready, moved)
	if asked.Rest > 0 {
		head += fmt.Sprintf("; %d of routes that are told no more are taken to stay", asked.Rest)
	}
	return append([]string{head}, lines...)
}

// moves tells what part of a route's requests would go elsewhere, and where.
func moves(r *routeconfig.Route, old, next *routeconfig.Configuration) (part float64, to string) {
	now := next.Find(r.Host, r.Prefix)
	if now == nil {
		return 1, "all would find no route (404)"
	}
	var says []string
	for _, s := range now.Split {
		if more := share(now, s.Backend) - share(r, s.Backend); more > 1e-9 {
			part += more
			says = append(says, fmt.Sprintf("%.3g%% more to %s", more*100, s.Backend))
		}
	}
	if now.Prefix != r.Prefix && len(says) > 0 {
		says = append(says, "by the route "+now.Prefix)
	}
	for i := range next.Routes {
		x := &next.Routes[i]
		if next.Find(x.Host, x.Prefix) == x && x.Prefix != now.Prefix && old.Find(x.Host, x.Prefix) == r && !same(r, x) {
			says = append(says, "those below "+x.Prefix+" by a route of their own, how many is not known")
		}
	}
	return part, strings.Join(says, ", ")
}
