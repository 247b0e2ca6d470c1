package plot

import (
	"slices"
	"strings"
)

// HomesOf returns the regions to which clients of a host are best sent at once: those that its bound routes are bound
// to, where these are at least half of its routes that need a key. Sent to a node of another region, the body of
// each request on a bound route would go from one region to the other. The requests on the host's other routes then
// come from afar too, but no body does; were they the most, the homes' servers would have to bear the other
// regions' load as well.
func (p *Plot) HomesOf(host string) []string {
	var homes []string
	bound, free := 0, 0
	for i := range p.Routes {
		r := &p.Routes[i]
		switch {
		case r.Public || !strings.EqualFold(r.Host, host):
		case len(r.Homes) == 0:
			free++
		default:
			if bound++; bound == 1 {
				homes = slices.Clone(r.Homes)
			}
			homes = slices.DeleteFunc(homes, func(h string) bool { return !slices.Contains(r.Homes, h) })
		}
	}
	if bound < free {
		return nil
	}
	return homes
}
