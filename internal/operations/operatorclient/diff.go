package operatorclient

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

// Diff says in lines what a new configuration changes; keys are told by their prints.
func Diff(old, next *routeconfig.Configuration) (lines []string) {
	named := func(kind string, was, is map[string]string) {
		for _, k := range slices.Sorted(maps.Keys(is)) {
			switch before, ok := was[k]; {
			case !ok:
				lines = append(lines, fmt.Sprintf("+ %s %s: %s", kind, k, is[k]))
			case before != is[k]:
				lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", kind, k, before, is[k]))
			}
		}
		for _, k := range slices.Sorted(maps.Keys(was)) {
			if _, ok := is[k]; !ok {
				lines = append(lines, fmt.Sprintf("- %s %s: %s", kind, k, was[k]))
			}
		}
	}
	named("route", routes(old), routes(next))
	named("service", services(old), services(next))
	named("tenant", tenants(old), tenants(next))
	named("limits", limits(old), limits(next))
	return lines
}

func routes(p *routeconfig.Configuration) map[string]string {
	all := map[string]string{}
	if p == nil {
		return all
	}
	for _, r := range p.Routes {
		var to []string
		for _, s := range r.Split {
			to = append(to, fmt.Sprintf("%s %.3g%%", s.Backend, share(&r, s.Backend)*100))
		}
		text := fmt.Sprintf("%s, %s, timeout %v, tries %d, prio %d", strings.Join(to, " + "), r.Kind, r.Timeout, r.Tries, r.Prio)
		if r.Public {
			text += ", public"
		}
		if len(r.Homes) > 0 {
			text += ", homes " + strings.Join(r.Homes, " ")
		}
		all[r.Host+r.Prefix] = text
	}
	return all
}

func services(p *routeconfig.Configuration) map[string]string {
	all := map[string]string{}
	if p == nil {
		return all
	}
	for _, s := range p.Backends {
		all[s.Name] = fmt.Sprintf("%s, health %s, at most %d connections, cold for %v at %g a second", s.Protocol, s.HealthPath, s.MaxConns, s.Warmup, s.WarmupPerS)
	}
	return all
}

func tenants(p *routeconfig.Configuration) map[string]string {
	all := map[string]string{}
	if p == nil {
		return all
	}
	for _, t := range p.Tenants {
		var prints []string
		for _, k := range t.Keys {
			prints = append(prints, Print(k))
		}
		slices.Sort(prints)
		text, _ := json.Marshal(t.Homes)
		all[t.Name] = fmt.Sprintf("rate %g, burst %g, homes %s, keys %s", t.RatePerS, t.Burst, text, strings.Join(prints, " "))
	}
	return all
}

func limits(p *routeconfig.Configuration) map[string]string {
	if p == nil {
		return nil
	}
	return map[string]string{"of clients": fmt.Sprintf("%+v", p.Limits)}
}
