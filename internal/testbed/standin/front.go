package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/audit"
)

// Customer is a member library: what it asks and how often.
type Customer struct {
	Key    string  // 16 hexadecimal digits of a number below 2^33
	Plan   string  //
	Rate   float64 // first tries a second, Poisson
	Loans  float64 // share of them that are loan requests
	Units  float64 // of a loan request; a lookup takes 1
	First  int     // its set of edge nodes
	Spread int
	Every  time.Duration // 0: it asks all the time; else anew each time,
	For    time.Duration // for so long

	APIKey string // an ordinary client's: it asks Operations, and says nothing that the platform's front says
}

// Operation is what ordinary clients ask.
type Operation struct {
	Name, Method string
	Path         string // as it is asked; a # stands for a number that is drawn
	Query        string // without the question mark; a # likewise
	Class        string // as whose deadline its client waits
	Keyed        bool   // sent with an Idempotency-Key
	Safe         bool   // its client asks again after a failure
	Share        float64
}

// FrontConfig says how clients behave. Zero values: clients that don't retry,
// don't hang up and keep connections.
type FrontConfig struct {
	Nodes     []NodeAddr
	Customers []Customer
	Settings  Settings
	Asks      []Operation // by customers with an API key
	Seed      uint64
	Retries   int           // further tries after the first
	Backoff   time.Duration // before a further try, doubled each time
	Honour    float64       // share of the advised waits that are heeded
	HangUp    float64       // share of the requests whose client goes away early
	Churn     float64       // share of the requests that open a connection of their own and let it stand
	Most      int           // tries open at once; more are not made and counted; default 2,000
	Patience  time.Duration // beyond the deadline, until a client gives up on an answer; default 3 s
}

// NodeAddr names an edge node and where clients find it.
type NodeAddr struct{ Name, Addr string }

// Front deals out the customers' requests among the edge nodes of their sets
// and notes what becomes of each.
type Front struct {
	site    *Site
	cfg     FrontConfig
	nodes   []*door
	classes map[string]Class
	tries   sync.WaitGroup

	mu     sync.Mutex
	rnd    *rand.Rand
	open   int
	serial uint64
	tally  Tally
}

const (
	frontMost    = 2000
	frontPoll    = 100 * time.Millisecond // between two looks at an edge node's healthz
	churnStand   = 2 * time.Second        // how long a churning client lets its connection stand
	mostSamples  = 200_000                // latencies kept of a class
	connectLimit = time.Second
)

// NewFront makes a front; Run sends.
func (s *Site) NewFront(cfg FrontConfig) (*Front, error) {
	if cfg.Most == 0 {
		cfg.Most = frontMost
	}
	if cfg.Patience == 0 {
		cfg.Patience = 3 * time.Second
	}
	f := &Front{site: s, cfg: cfg, classes: map[string]Class{}, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x66726f6e74)),
		tally: Tally{Classes: map[string]*ClassTally{}, Customers: map[string]*CustomerTally{}, Operations: map[string]*OperationTally{}, Statuses: map[int]int{}}}
	for _, n := range cfg.Nodes {
		f.nodes = append(f.nodes, &door{front: f, NodeAddr: n})
	}
	for _, c := range cfg.Settings.Classes {
		f.classes[c.Name] = c
		f.tally.Classes[c.Name] = &ClassTally{}
	}
	for _, o := range cfg.Asks {
		f.tally.Operations[o.Name] = &OperationTally{Books: map[string]int{}}
	}
	for _, c := range cfg.Customers {
		if c.Spread < 1 || c.Spread > len(f.nodes) || c.First < 0 || c.First >= len(f.nodes) {
			return nil, fmt.Errorf("customer %s: a set of %d edge nodes from number %d, of %d", c.Key, c.Spread, c.First, len(f.nodes))
		}
		f.tally.Customers[c.Key] = &CustomerTally{Plan: c.Plan}
	}
	return f, nil
}

// Ready waits until all edge nodes take clients; it is false when ctx ended
// first.
func (f *Front) Ready(ctx context.Context) bool {
	for _, d := range f.nodes {
		for !d.look(ctx) {
			if !world.Sleep(ctx, f.site.world, frontPoll) {
				return false
			}
		}
	}
	return true
}

// Run sends until ctx ends, then waits for what is open.
func (f *Front) Run(ctx context.Context) {
	var senders sync.WaitGroup
	began := f.site.world.Now()
	for _, d := range f.nodes {
		senders.Go(func() {
			for {
				d.look(ctx)
				if !world.Sleep(ctx, f.site.world, frontPoll) {
					return
				}
			}
		})
	}
	for i, c := range f.cfg.Customers {
		rnd := rand.New(rand.NewPCG(f.cfg.Seed, uint64(i)))
		senders.Go(func() {
			for world.Sleep(ctx, f.site.world, time.Duration(rnd.ExpFloat64()/c.Rate*float64(time.Second))) {
				if c.Every > 0 && f.site.world.Now().Sub(began)%c.Every >= c.For {
					continue
				}
				t := &loan{customer: c, class: "holdings-lookup", units: 1, safe: true}
				if c.APIKey != "" {
					t = f.ordinary(c, rnd)
				} else if rnd.Float64() < c.Loans {
					t.safe = false
					t.class, t.units, t.key = "loan-request", max(1, c.Units), fmt.Sprintf("%016x%016x", rnd.Uint64(), rnd.Uint64())
				}
				if !f.enter() {
					continue
				}
				f.tries.Go(func() {
					defer f.leave()
					f.pursue(ctx, t)
				})
			}
		})
	}
	senders.Wait()
	f.tries.Wait()
	for _, d := range f.nodes {
		d.closeIdle()
	}
}

func (f *Front) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open >= f.cfg.Most {
		f.tally.Unsent++
		return false
	}
	f.open++
	return true
}

func (f *Front) leave() {
	f.mu.Lock()
	f.open--
	f.mu.Unlock()
}

// chance is true with a probability.
func (f *Front) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.Float64() < p
}

func (f *Front) note(ev audit.Event) { f.site.notary.Note(ev) }

// Dying tells that an edge node's process is about to be ended outright. What
// was sent to it and not answered is not sent to it once more: it may have
// begun on that, which is not so where it closes a connection by itself.
func (f *Front) Dying(node string) {
	for _, d := range f.nodes {
		if d.Name == node {
			d.mu.Lock()
			d.ending = d.now()
			d.mu.Unlock()
		}
	}
}

// Await waits until an edge node takes clients; it is false when ctx ended
// first or there is no such edge node.
func (f *Front) Await(ctx context.Context, node string) bool {
	for _, d := range f.nodes {
		if d.Name != node {
			continue
		}
		for !d.look(ctx) {
			if !world.Sleep(ctx, f.site.world, frontPoll/4) {
				return false
			}
		}
		return true
	}
	return false
}
