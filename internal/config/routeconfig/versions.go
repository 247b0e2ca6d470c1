package routeconfig

import (
	"iter"
	"maps"
	"slices"

	"pepperfall.example/pepperfall/api"
)

// VersionsAt joins proxies by the version that they have in force, newest first.
func VersionsAt(proxies iter.Seq[api.ProxyView]) []api.VersionAt {
	at := map[uint64]*api.VersionAt{}
	for g := range proxies {
		n, err := Number(g.Gen)
		if err != nil {
			n = 0
		}
		if at[n] == nil {
			at[n] = &api.VersionAt{Gen: g.Gen, Lag: []string{}}
		}
		if at[n].Proxies++; g.Lags != "" {
			at[n].Lag = append(at[n].Lag, g.Name)
		}
	}
	all := []api.VersionAt{}
	for _, n := range slices.Backward(slices.Sorted(maps.Keys(at))) {
		all = append(all, *at[n])
	}
	return all
}
