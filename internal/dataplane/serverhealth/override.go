package serverhealth

import (
	"cmp"
	"slices"
	"strings"
)

// Override is a level that an operator set for a server.
type Override struct {
	Level Level
	Why   string
}

// ApplyOverrides replaces verdicts by operators' overrides, to which LimitExcluded does not apply, and returns a new list.
func ApplyOverrides(servers []Server, list []Verdict, overrides map[string]Override) []Verdict {
	if len(overrides) == 0 {
		return list
	}
	all := index(list)
	for _, s := range servers {
		w, ok := overrides[s.ID]
		if !ok {
			continue
		}
		v := all[s.ID]
		v.Server, v.Service, v.Level, v.Why, v.Trial, v.Round = s.ID, s.Service, w.Level, w.Why, false, 0
		all[s.ID] = v
	}
	return sorted(all)
}

// ProxyEvidence sums up what one proxy observed of a server with requests of one kind.
type ProxyEvidence struct {
	Proxy, Zone string
	Kind        Kind
	Counts      [outcomeCount]int
	Weight      float64 // of the proxy's evidence, 0 to 1
}

// EvidenceByProxy returns the evidence on a server by proxy and kind, summed over the incarnations of each proxy.
func (f *Evaluator) EvidenceByProxy(server string) (list []ProxyEvidence) {
	type key struct {
		name string
		kind Kind
	}
	all, usual := map[key]*ProxyEvidence{}, f.medianFailingShare(server)
	for k, c := range f.cells[server] {
		if f.now-f.cellStart(&k, c) > Window {
			continue
		}
		t := all[key{k.name, k.kind}]
		if t == nil {
			t = &ProxyEvidence{Proxy: k.name, Zone: c.from.zone, Kind: k.kind}
			all[key{k.name, k.kind}] = t
		}
		for i, n := range c.counts {
			t.Counts[i] += int(n)
		}
		t.Weight = max(t.Weight, f.proxyWeight(c.from, server, usual))
	}
	for _, t := range all {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b ProxyEvidence) int {
		return cmp.Or(strings.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
