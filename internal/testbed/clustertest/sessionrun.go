package clustertest

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/emulator"
)

const calm = 4 * time.Second // before anything happens

// SessionRun is a cluster on which a story about sessions is played, with what was measured.
type SessionRun struct {
	*SimCluster
	mu     sync.Mutex
	jobs   sync.WaitGroup
	Leaves []time.Duration // how long each leave took
	Unfit  []string
	Breaks []emulator.Break
	Acts   *emulator.Account
	Asked  *emulator.Account // of searches alone
	lasted time.Duration     // of what was played
}

// Story is a sequence of events beside sessions of requests, with the bounds that its acts have to keep. In each story
// no act may be broken.
type Story struct {
	Layout func(l *emulator.Layout)
	Play   func(s *SessionRun)
	Served float64 // the least share of acts
	Gap    float64 // the most between tenants of one size
	Turned float64 // the most tries that are answered with a promise, of all acts
	Tries  float64 // the most tries an act; 0: 1.06
	But    string  // a tenant that counts for none of these
}

// Library is a cluster whose readers search, lend and pay.
func Library() emulator.Layout {
	service := func(name string, work time.Duration) emulator.Service {
		return emulator.Service{Name: name, Each: 2, Capacity: 5, Work: work, MaxConns: 100, Warmup: 3 * time.Second, WarmPerS: 21}
	}
	l := emulator.Layout{
		Seed: 1,
		Zones: []emulator.Zone{{Name: "north-a", Region: "north", Edges: 2, Cores: 1}, {Name: "north-b", Region: "north", Edges: 1, Cores: 1},
			{Name: "south-a", Region: "south", Edges: 2, Cores: 1}, {Name: "south-b", Region: "south", Edges: 1, Cores: 1}},
		Services: []emulator.Service{service("catalog", 60*time.Millisecond), service("loans", 80*time.Millisecond), service("fines", 40*time.Millisecond)},
		Routes: []emulator.Route{
			{Name: "search", Host: "one.example", Prefix: "/find/", Kind: "idempotent", Timeout: 2000, Target: 500, Prio: 2, Backend: "catalog", Tries: 2},
			{Name: "lend", Host: "one.example", Prefix: "/lend/", Kind: "mutating", Timeout: 2500, Target: 600, Prio: 1, Backend: "loans", Tries: 2},
			{Name: "pay", Host: "two.example", Prefix: "/", Kind: "mutating", Timeout: 1500, Target: 400, Backend: "fines", Tries: 2},
		},
		Scripts: [][]string{{"search", "lend", "pay"}, {"search", "search", "lend"}, {"search"}},
		Rate:    2,
	}
	for i, name := range []string{"ana", "ion", "eva", "dan", "uta"} {
		t := emulator.Tenant{Name: name, Keys: []string{"key-" + name}, Weight: 1, Rate: 30, Burst: 30}
		if i < 2 {
			t.Weight, t.Rate, t.Burst = 3, 60, 60
		}
		l.Tenants = append(l.Tenants, t)
	}
	return l
}

// Grown plays a story of a layout and settles it.
func (st *Story) Grown(t *testing.T, l emulator.Layout) (s *SessionRun) {
	t.Helper()
	inBubble(t, l, func(o *SimCluster) {
		s = &SessionRun{SimCluster: o}
		o.Pass(calm)
		st.Play(s)
		s.jobs.Wait()
		o.Pass(2 * time.Second)
		s.Breaks = o.Finish()
		s.Acts = o.Ledger.Settle(time.Time{}, time.Now())
		s.Asked = o.Ledger.Settle(time.Time{}, time.Now(), "idempotent")
	})
	return s
}

// Faults returns all that is wrong, broken rules first.
func (st *Story) Faults(s *SessionRun) (all []string) {
	for _, b := range slices.Concat(s.Breaks, s.Acts.Broken) {
		all = append(all, b.String())
	}
	all = append(all, s.Unfit...)
	sum := s.Acts.Sum()
	acts, served, turned, tries := 0, 0, 0, 0
	for _, g := range s.Acts.Groups {
		if g.Tenant != st.But {
			acts, served, turned, tries = acts+g.Acts, served+g.Served, turned+g.Turned, tries+g.Tries
		}
	}
	if sum.Acts < 100 {
		all = append(all, fmt.Sprintf("no more than %d acts", sum.Acts))
	}
	if float64(served) < st.Served*float64(acts) {
		all = append(all, fmt.Sprintf("SHARE: %d of %d acts served", served, acts))
	}
	if gap := s.Acts.Gap(st.But); gap > st.Gap {
		all = append(all, fmt.Sprintf("GAP: %.3f between tenants of one size", gap))
	}
	if most := cmp.Or(st.Tries, 1.06); float64(tries) > most*float64(acts) {
		all = append(all, fmt.Sprintf("TRIES: %d of %d acts", tries, acts))
	}
	if float64(turned) > st.Turned*float64(acts) {
		all = append(all, fmt.Sprintf("TURNED: %d tries of %d acts", turned, acts))
	}
	return all
}

// Beside runs f beside the story, which ends once f has returned.
func (s *SessionRun) Beside(f func()) { s.jobs.Go(f) }

// Leave tells a proxy to terminate and records how long that takes.
func (s *SessionRun) Leave(n *emulator.Node) {
	began := time.Now()
	s.Terminate(n)
	took := time.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Leaves = append(s.Leaves, took); took > s.Bounds().Grace {
		s.Unfit = append(s.Unfit, fmt.Sprintf("%s took %v to leave", n.Name, took))
	}
}

// Swap terminates a proxy, starts it again and waits until it is ready.
func (s *SessionRun) Swap(n *emulator.Node) {
	s.Leave(n)
	s.Start(n)
	if !s.Cluster.Await(10*time.Second, n.Ready) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Unfit = append(s.Unfit, n.Name+" is not ready again")
	}
}

// SwapTogether swaps some proxies at once.
func (s *SessionRun) SwapTogether(all ...*emulator.Node) {
	var jobs sync.WaitGroup
	for _, n := range all {
		jobs.Go(func() { s.Swap(n) })
	}
	jobs.Wait()
}

// SwapZones swaps the proxies of a zone at once, zone after zone.
func (s *SessionRun) SwapZones() {
	for _, z := range s.Cluster.Layout().Zones {
		s.SwapTogether(slices.DeleteFunc(s.Edges(), func(n *emulator.Node) bool { return n.Zone != z.Name })...)
		s.Pass(time.Second)
	}
}

// SwapAll swaps proxy after proxy.
func (s *SessionRun) SwapAll() {
	for _, n := range s.Edges() {
		s.Swap(n)
		s.Pass(time.Second)
	}
}

// UsualReaders starts readers on connections of their own, on shared ones and on new ones for each request.
func (s *SessionRun) UsualReaders() {
	s.Readers.Start(7, emulator.Own)
	s.Readers.Start(7, emulator.Shared)
	s.Readers.Start(4, emulator.Fresh)
}
