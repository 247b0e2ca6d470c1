package routeconfig

import "slices"

// HomesOf returns the regions that all of a host's bound routes are bound to, and how many of its routes that need a key
// are bound and how many are free. Sent to a node of another region, the body of each request on a bound route
// goes from one region to the other.
func (p *Configuration) HomesOf(hostname string) (homes []string, bound, free int) {
	h := p.hosts[Bare(hostname)]
	if h == nil {
		return nil, 0, 0
	}
	return h.homes, h.bound, h.free
}

// count adds a route to what HomesOf tells.
func (h *host) count(r *Route) {
	switch {
	case r.Public:
	case len(r.Homes) == 0:
		h.free++
	default:
		if h.bound++; h.bound == 1 {
			h.homes = slices.Clone(r.Homes)
		}
		h.homes = slices.DeleteFunc(h.homes, func(v string) bool { return !slices.Contains(r.Homes, v) })
	}
}
