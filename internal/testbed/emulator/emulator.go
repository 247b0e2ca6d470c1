package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/settings"
)

// Cluster is a cluster of the system with all that is around it.
type Cluster struct {
	layout   Layout
	ground   Ground
	Nodes    []*Node // edges and cores, by zone
	Platform *Platform
	Operator *Operator
	Clients  *Clients
	Readers  *Readers
	Book     *Book
	Ledger   *Ledger
	bounds   settings.Bounds
	began    time.Time
	begun    bool // the first start is over
	servers  int  // addresses given
	lives    int
	all      sync.WaitGroup

	mu  sync.Mutex
	rnd *rand.Rand
}

// New makes a cluster and starts all that is in it. Where it fails, what has begun is ended.
func New(l Layout, g Ground) (*Cluster, error) {
	o := &Cluster{layout: l, ground: g, began: time.Now(), rnd: rand.New(rand.NewPCG(l.Seed, 0x6f7263))}
	for zi, z := range l.Zones {
		for i := range z.Edges {
			o.plant(fmt.Sprintf("edge-%s-%d", z.Name, i), "edge", z, g.IP(EdgeMachine, zi, i))
		}
		for i := range z.Cores {
			o.plant(fmt.Sprintf("core-%s-%d", z.Name, i), "core", z, g.IP(CoreMachine, zi, i))
		}
	}
	set, err := o.settings(o.Nodes[0], Agent)
	if err != nil {
		return nil, err
	}
	o.bounds = set.Terms.Bounds
	o.Book = newBook(o)
	o.Ledger = newLedger(o)
	if o.Platform, err = newPlatform(o, set.Provider.Cloud); err != nil {
		return nil, err
	}
	o.Operator = newOperator(o)
	o.Clients = newClients(o)
	o.Readers = &Readers{o: o, press: map[string]float64{}}
	if err := o.begin(); err != nil {
		o.Close(closeWithin)
		return nil, err
	}
	o.begun = true
	return o, nil
}

// begin starts the servers and all processes.
func (o *Cluster) begin() error {
	for _, s := range o.layout.Services {
		for _, z := range o.layout.Zones {
			if !s.In(z.Name) {
				continue
			}
			for range s.Each {
				if _, err := o.serve(s.Name, z.Name); err != nil {
					return err
				}
			}
		}
	}
	for _, n := range o.Nodes {
		for _, r := range n.Roles() {
			if err := o.start(n, r); err != nil {
				return err
			}
		}
	}
	return nil
}

// In tells whether servers of the service stand in a zone at the start.
func (s Service) In(zone string) bool { return len(s.Zones) == 0 || slices.Contains(s.Zones, zone) }

const (
	readyWithin  = 15 * time.Second
	upstreamTime = time.Second // from the start of the machines to that of the clients at least
)

// Settle sends the first configuration until it is taken, and waits until all proxies are ready.
func (o *Cluster) Settle() error {
	began := time.Now()
	defer func() { time.Sleep(upstreamTime - time.Since(began)) }()
	first := &Word{Gen: 1, Routes: o.layout.Routes, Services: o.layout.Services, Tenants: o.layout.Tenants}
	if !o.Operator.Replace(first) {
		return errors.Errorf("r%d was not acknowledged%s", first.Gen, o.Book.faults())
	}
	if !o.Await(readyWithin, o.Ready) {
		return errors.Errorf("not all proxies were ready within %v%s", readyWithin, o.Book.faults())
	}
	return nil
}

// Ready tells whether all proxies say so.
func (o *Cluster) Ready() bool {
	return !slices.ContainsFunc(o.Edges(), func(n *Node) bool { return !n.Ready() })
}

// Word is the configuration that the clients go by.
func (o *Cluster) Word() *Word {
	o.Clients.mu.Lock()
	defer o.Clients.mu.Unlock()
	return o.Clients.word
}

const lookEvery = 50 * time.Millisecond

// Await waits until something is so, and tells whether it came to be.
func (o *Cluster) Await(most time.Duration, is func() bool) bool {
	for began := time.Now(); !is(); time.Sleep(lookEvery) {
		if time.Since(began) > most {
			return false
		}
	}
	return true
}

// Finish ends the traffic, reads the configuration back and judges.
func (o *Cluster) Finish() []Break {
	o.Clients.Stop()
	o.Operator.ReadBack(3 * o.bounds.Contact)
	return o.Book.Judge()
}

const closeWithin = 15 * time.Second

// Close kills all processes, and tells whether all that ran has ended in time.
func (o *Cluster) Close(most time.Duration) bool {
	o.Clients.Stop()
	for _, n := range o.Nodes {
		for _, r := range n.Roles() {
			o.end(n, r, true)
		}
	}
	o.Platform.close()
	o.Clients.close()
	o.Operator.process.Kill()
	done := make(chan struct{})
	go func() {
		o.all.Wait()
		close(done)
	}()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}

// Explain writes the last lines of all processes that hold any.
func (o *Cluster) Explain(out io.Writer, lines int) {
	for _, n := range o.Nodes {
		for _, r := range n.Roles() {
			n.mu.Lock()
			l := n.logs[r]
			n.mu.Unlock()
			if l == nil {
				continue
			}
			l.Dump("shown")
			if text := l.out.tail(lines); text != "" {
				fmt.Fprintf(out, "%s %s (began at %s):\n%s", n.Name, r, o.began.UTC().Format("15:04:05"), text)
			}
		}
	}
}

// Since is a moment in the cluster's time.
func (o *Cluster) Since(t time.Time) time.Duration {
	return t.Sub(o.began).Round(100 * time.Microsecond)
}

// chance draws from the seed's numbers.
func (o *Cluster) chance() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rnd.Float64()
}

func (o *Cluster) pick(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rnd.IntN(n)
}

// Bounds are the figures of the rules.
func (o *Cluster) Bounds() settings.Bounds { return o.bounds }

// Layout is what the cluster was like at its start.
func (o *Cluster) Layout() Layout { return o.layout }
