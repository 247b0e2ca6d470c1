package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// actField names, in a request's query, the act that it is for. Servers record by it, whatever the try's id.
const actField = "act"

// Act is one thing that a reader wants done, however many tries it takes.
type Act struct {
	ID                       string
	Tenant, Key, Route, Kind string
	Zone                     string
	Began, Ended             time.Time

	tries []*Request
}

// Told is what a client knows of an act at its end.
type Told int

// What there is to know.
const (
	Nothing Told = iota // no answer
	Done                // success
	Not                 // it has not been done and never will be
	Denied              // refused for good
	Unclear             // an answer that promises nothing
)

// told is what the last try said.
func (a *Act) told() Told {
	if len(a.tries) == 0 {
		return Not
	}
	switch q := a.tries[len(a.tries)-1]; {
	case q.Status/100 == 2:
		return Done
	case promised(q.Status):
		return Not
	case denied(q.Status):
		return Denied
	case q.Status != 0:
		return Unclear
	}
	return Nothing
}

func (a *Act) served() bool { return a.told() == Done }

// Ledger is what clients know of their acts, and what servers recorded of them.
type Ledger struct {
	o *Cluster

	mu   sync.Mutex
	acts []*Act
	runs map[string][]*Server
}

func newLedger(o *Cluster) *Ledger { return &Ledger{o: o, runs: map[string][]*Server{}} }

func (l *Ledger) begun(a *Act) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acts = append(l.acts, a)
}

func (l *Ledger) tried(a *Act, q *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.tries = append(a.tries, q)
}

func (l *Ledger) ended(a *Act) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.Ended = time.Now()
}

// ran records a run at a server.
func (l *Ledger) ran(act string, s *Server) {
	if act == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[act] = append(l.runs[act], s)
}

// Group is the acts of a tenant.
type Group struct {
	Tenant                   string
	Size                     float64 // its weight
	Acts, Served             int
	Refused, Denied, Unclear int // refused: told that it was not done; unclear: told so
	Tries, Turned            int // turned: tries answered with a promise
	Took                     []time.Duration
}

// Share is the part of its acts that was served.
func (g *Group) Share() float64 { return float64(g.Served) / math.Max(1, float64(g.Acts)) }

// Add adds another group's acts, their times at the end.
func (g *Group) Add(x *Group) {
	g.Acts, g.Served, g.Refused, g.Denied = g.Acts+x.Acts, g.Served+x.Served, g.Refused+x.Refused, g.Denied+x.Denied
	g.Unclear, g.Tries, g.Turned = g.Unclear+x.Unclear, g.Tries+x.Tries, g.Turned+x.Turned
	g.Took = append(g.Took, x.Took...)
}

// Quantile is the time within which so much of what was served was served.
func (g *Group) Quantile(part float64) time.Duration {
	return (&Tally{Took: g.Took}).Quantile(part)
}

// Account is both sides of the ledger, joined by act.
type Account struct {
	Broken []Break // acts lost, doubled, untrue or without an answer
	Groups []*Group
}

// Sum is all groups as one.
func (c *Account) Sum() *Group {
	sum := &Group{Tenant: "all"}
	for _, g := range c.Groups {
		sum.Add(g)
	}
	slices.Sort(sum.Took)
	return sum
}

// Gap is the widest difference of the share served between two tenants of one size, without those named.
func (c *Account) Gap(but ...string) (gap float64) {
	for _, g := range c.Groups {
		for _, h := range c.Groups {
			if g.Size == h.Size && !slices.Contains(but, g.Tenant) && !slices.Contains(but, h.Tenant) {
				gap = max(gap, g.Share()-h.Share())
			}
		}
	}
	return gap
}

func (c *Account) String() string {
	var b strings.Builder
	for _, g := range append(slices.Clone(c.Groups), c.Sum()) {
		fmt.Fprintf(&b, "%-6s %6d acts, served %.4f, 95th %v, 99th %v, %.3f tries an act, %d turned away; %d refused, %d denied, %d unclear\n",
			g.Tenant, g.Acts, g.Share(), g.Quantile(0.95).Round(time.Millisecond), g.Quantile(0.99).Round(time.Millisecond),
			float64(g.Tries)/math.Max(1, float64(g.Acts)), g.Turned, g.Refused, g.Denied, g.Unclear)
	}
	fmt.Fprintf(&b, "widest gap %.4f, %d broken", c.Gap(), len(c.Broken))
	return b.String()
}

// Settle joins both sides over the acts that began in a stretch of time and are of one of the kinds, of any where
// none is named.
func (l *Ledger) Settle(from, to time.Time, kinds ...string) *Account {
	l.o.Book.mu.Lock()
	defer l.o.Book.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Account{}
	by := map[string]*Group{}
	for _, t := range l.o.layout.Tenants {
		g := &Group{Tenant: t.Name, Size: or(t.Weight)}
		by[t.Name], c.Groups = g, append(c.Groups, g)
	}
	for _, a := range l.acts {
		if a.Ended.IsZero() || a.Began.Before(from) || !a.Began.Before(to) || len(kinds) > 0 && !slices.Contains(kinds, a.Kind) {
			continue
		}
		by[a.Tenant].add(a)
		if rule, what := l.broken(a); rule != "" {
			b := Break{Rule: rule, What: "act " + a.ID + " of " + a.Tenant + " on " + a.Route + ": " + what, o: l.o}
			if len(a.tries) > 0 {
				b.Q = a.tries[len(a.tries)-1]
			}
			c.Broken = append(c.Broken, b)
		}
	}
	for _, g := range c.Groups {
		slices.Sort(g.Took)
	}
	return c
}

func (g *Group) add(a *Act) {
	g.Acts++
	g.Tries += len(a.tries)
	for _, q := range a.tries {
		if promised(q.Status) {
			g.Turned++
		}
	}
	switch a.told() {
	case Done:
		g.Served++
		g.Took = append(g.Took, a.Ended.Sub(a.Began))
	case Not:
		g.Refused++
	case Denied:
		g.Denied++
	case Unclear:
		g.Unclear++
	}
}

// Names of what can be wrong with an act.
const (
	ActLost       = "ACT LOST"       // told done, and not recorded
	ActDoubled    = "ACT DOUBLED"    // recorded twice, where that may not be
	ActUntrue     = "ACT UNTRUE"     // told that it was not done, and recorded
	ActUnanswered = "ACT UNANSWERED" // the session ends without a word on it
)

// broken tells what is wrong with an act; "": nothing.
func (l *Ledger) broken(a *Act) (rule, what string) {
	runs, told := len(l.runs[a.ID]), a.told()
	once := a.Kind == "mutating"
	switch {
	case told == Done && runs == 0:
		return ActLost, "told done, and no server has it"
	case once && runs > 1:
		return ActDoubled, fmt.Sprintf("recorded %d times in %d tries", runs, len(a.tries))
	case once && runs > 0 && (told == Not || told == Denied):
		return ActUntrue, "told that it was not done, and recorded"
	case told == Nothing && !l.excused(a.tries[len(a.tries)-1]):
		return ActUnanswered, cmp.Or(a.tries[len(a.tries)-1].End, "nothing")
	}
	return "", ""
}

// excused tells whether a try ended without an answer for a reason that no planned work has: its proxy or its server
// was in trouble.
func (l *Ledger) excused(q *Request) bool {
	return q.Proxy.unplanned(q.Sent.Add(-l.o.bounds.Contact), q.Ended) || slices.ContainsFunc(q.Arrivals, func(a *Arrival) bool {
		return a.Broke || !a.Ran.IsZero() && a.Done.IsZero() && a.Server.over()
	})
}

// over tells whether the server has ended.
func (s *Server) over() bool {
	select {
	case <-s.process.Dead():
		return true
	default:
		return false
	}
}
