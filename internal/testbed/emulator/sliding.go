package emulator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// seen is a request as it counts for a rule about a span of time.
type seen struct {
	sent, at time.Time
	q        *Request
}

// reverts judges whether a proxy went back to an older configuration in one life.
func (b *Book) reverts() {
	words := b.words()
	type sight struct {
		at       time.Time
		from, to int // the versions that allow it
		q        *Request
	}
	all := map[*Node][]sight{}
	for _, q := range b.all {
		for _, a := range q.Arrivals {
			if a.Ran.IsZero() {
				continue
			}
			s := sight{at: a.At, q: q}
			for _, x := range words {
				if x.word.runs(q, a.Server.Service) {
					if s.from == 0 {
						s.from = x.word.Gen
					}
					s.to = x.word.Gen
				}
			}
			all[q.Proxy] = append(all[q.Proxy], s)
		}
	}
	for n, sights := range all {
		slices.SortFunc(sights, func(x, y sight) int { return x.at.Compare(y.at) })
		first := map[int]time.Time{} // when a version's effect was seen
		for _, s := range sights {
			for gen, at := range first {
				if s.to < gen && s.q.Sent.Sub(at) > b.o.bounds.Revert && n.lived(at, s.at) {
					b.add("CONFIG", s.q, "%s went back from r%d to r%d", n.Name, gen, s.to)
				}
			}
			if at, ok := first[s.from]; !ok || !n.lived(at, s.at) {
				first[s.from] = s.at
			}
		}
	}
}

// budgets judges the further tries.
func (b *Book) budgets() {
	further, owed := map[string][]time.Time{}, map[string][]time.Time{}
	for _, q := range b.all {
		services := map[string]bool{}
		for _, x := range b.words() {
			if r := x.word.route(q.Host, q.Path); r != nil {
				for _, s := range b.o.layout.Services {
					services[s.Name] = services[s.Name] || r.to(s.Name)
				}
			}
		}
		for s, is := range services {
			if is {
				owed[s] = append(owed[s], q.Sent)
			}
		}
		for i, a := range q.Arrivals {
			if i > 0 {
				further[a.Server.Service] = append(further[a.Server.Service], a.At)
			}
		}
	}
	w := b.o.bounds.RetryWindow
	count := func(all []time.Time, from time.Time) (n int) {
		for _, t := range all {
			if !t.Before(from) && t.Before(from.Add(w)) {
				n++
			}
		}
		return n
	}
	for s, all := range further {
		for _, from := range all {
			n, base := count(all, from), 0
			for _, back := range []time.Duration{0, w / 2, w} {
				base = max(base, count(owed[s], from.Add(-back)))
			}
			if most := b.o.bounds.RetryRatio*float64(base) + b.o.bounds.RetrySlack; float64(n) > most {
				b.add("BUDGET", nil, "%s got %d further tries within %v from %v, at most %.1f", s, n, w, b.o.Since(from), most)
				break
			}
		}
	}
}

// within finds the span of a length that has the most of all that were both sent and arrived in it.
func within(all []seen, w time.Duration) (most int, from time.Time, q *Request) {
	slices.SortFunc(all, func(x, y seen) int { return cmp.Or(x.sent.Compare(y.sent), x.at.Compare(y.at)) })
	for i, x := range all {
		n := 0
		end := x.sent.Add(w)
		for _, y := range all[i:] {
			if !y.sent.Before(end) {
				break
			}
			if y.at.Before(end) {
				n++
			}
		}
		if n > most {
			most, from, q = n, x.sent, x.q
		}
	}
	return most, from, q
}

// quotas judges what was run for each tenant.
func (b *Book) quotas() {
	all := map[string][]seen{}
	for _, q := range b.all {
		for _, a := range q.Arrivals {
			if !a.Ran.IsZero() && a.Tenant != "" {
				all[a.Tenant] = append(all[a.Tenant], seen{q.Sent, a.At, q})
				break
			}
		}
	}
	for name, runs := range all {
		limit, known := 0.0, false
		for _, x := range b.words() {
			for _, t := range x.word.Tenants {
				known = known || t.Name == name
				if t.Name == name && t.Rate == 0 && t.Burst == 0 {
					limit = math.Inf(1)
				} else if t.Name == name {
					limit = max(limit, t.Rate*b.o.bounds.QuotaWindow.Seconds()+t.Burst)
				}
			}
		}
		limit = limit*(1+b.o.bounds.QuotaExcess) + b.o.bounds.QuotaSlack
		if n, from, q := within(runs, b.o.bounds.QuotaWindow); known && float64(n) > limit {
			b.add("QUOTA", q, "%s: %d runs within %v from %v, at most %.1f", name, n, b.o.bounds.QuotaWindow, b.o.Since(from), limit)
		}
	}
}

// colds judges what cold servers got in a second.
func (b *Book) colds() {
	all := map[*Server][]seen{}
	for _, q := range b.all {
		for _, a := range q.Arrivals {
			if a.Cold && a.Status != 421 {
				all[a.Server] = append(all[a.Server], seen{q.Sent, a.At, q})
			}
		}
	}
	for s, got := range all {
		limit := s.spec.WarmPerS*b.o.bounds.WarmupExcess + b.o.bounds.WarmupSlack
		if n, from, q := within(got, time.Second); float64(n) > limit {
			b.add("FAILBACK", q, "%s, which is cold, got %d requests in the second from %v, at most %.1f", s.ID, n, b.o.Since(from), limit)
		}
	}
}
