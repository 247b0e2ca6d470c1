package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/audit"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

const (
	firstPort, firstPeer = 20000, 24000
	mostInstances        = 100
	lookLimit            = 2 * time.Second
	stopLimit            = 20 * time.Second // a process that was told to stop is given so long
)

// Options say what fleet to run. Traffic is off where Load is 0.
type Options struct {
	Instances int
	Program   string // the program; it is run with serve
	Dir       string // for configurations and logs
	World     world.World
	Out       io.Writer // progress
	Seed      uint64
	Load      float64       // of the demonstration's libraries, 1 as there
	Slack     time.Duration // for the machine that the run is on, in the audit
	Operator  string        // the operator file's text; empty: a view is kept, else defaults
}

// Lab is a running fleet.
type Lab struct {
	o      Options
	host   string
	relays *relays
	ledger *audit.Ledger
	site   *standin.Site
	loans  []*standin.LoanServer
	agents []*standin.Agent
	front  *standin.Front
	http   *http.Client
	begun  time.Time

	mu    sync.Mutex
	procs []*process // by number; nil: none runs
	out   sync.Mutex
}

var opened atomic.Int64 // fleets of this process: each has addresses of its own

// Open starts the fleet and waits until it serves. Close ends it in any case.
func Open(ctx context.Context, o Options) (l *Lab, err error) {
	if o.Instances < 1 || o.Instances > mostInstances {
		return nil, fmt.Errorf("%d instances: 1 to %d can be run", o.Instances, mostInstances)
	}
	if o.Operator == "" {
		o.Operator = "[members]\non = true\n"
	}
	rnd := rand.New(rand.NewPCG(o.Seed, uint64(os.Getpid())<<16+uint64(opened.Add(1))))
	l = &Lab{o: o, procs: make([]*process, o.Instances), begun: o.World.Now(),
		host: fmt.Sprintf("127.%d.%d.%d", 64+rnd.IntN(128), rnd.IntN(256), 1+rnd.IntN(254)),
		http: &http.Client{Timeout: lookLimit, Transport: &http.Transport{DisableKeepAlives: true, DialContext: o.World.Dial}}}
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	var real []netip.AddrPort
	for i := range o.Instances {
		real = append(real, netip.AddrPortFrom(netip.MustParseAddr(l.host), uint16(firstPeer+i)))
	}
	if l.relays, err = newRelays(o.World, l.host, real, o.Seed); err != nil {
		return nil, err
	}
	settings := standin.SiteSettings(o.Instances)
	l.ledger = audit.NewLedger(o.World, settings.AuditRules(o.Slack))
	l.site = standin.NewSite(o.World, l.ledger)
	if err := l.outside(settings, rnd); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "operator.toml"), []byte(o.Operator), 0o600); err != nil {
		return nil, err
	}
	for i := range o.Instances {
		if err := l.configure(i, settings); err != nil {
			return nil, err
		}
		if err := l.Start(i); err != nil {
			return nil, err
		}
	}
	ready, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if !l.front.Ready(ready) {
		return nil, fmt.Errorf("the fleet was not ready within a minute; its logs are in %s", o.Dir)
	}
	l.say("%d instances serve", o.Instances)
	return l, nil
}

// outside starts loan servers, discovery and the front.
func (l *Lab) outside(settings standin.Settings, rnd *rand.Rand) error {
	var list []standin.Target
	for i := range 4 {
		s, err := l.site.StartLoan(standin.LoanConfig{UID: fmt.Sprintf("s-%08x", i+1), Rack: fmt.Sprint(1 + i%2), Zone: []string{"a", "b"}[i%2],
			Cores: 2, Queue: 40, Handshake: time.Millisecond, Warm: 4 * time.Second, FallMultiple: 2, FallTime: time.Second,
			Work: func(*standin.Request) time.Duration { return 4 * time.Millisecond }})
		if err != nil {
			return err
		}
		l.loans = append(l.loans, s)
		list = append(list, s.Target())
	}
	roster := l.site.NewRoster(list...)
	var nodes []standin.NodeAddr
	for i := range l.o.Instances {
		a, err := roster.StartAgent(l.name(i), "127.0.0.1:0")
		if err != nil {
			return err
		}
		a.Lag(time.Duration(50+rnd.IntN(200)) * time.Millisecond)
		l.agents = append(l.agents, a)
		nodes = append(nodes, standin.NodeAddr{Name: l.name(i), Addr: l.listen(i)})
	}
	var customers []standin.Customer
	for i := range 6 {
		customers = append(customers, standin.Customer{Key: fmt.Sprintf("%016x", i+1), Plan: []string{"municipal", "judetean", "orasenesc"}[i%3],
			Rate: 2 * l.o.Load, Loans: 0.3, Units: 1, First: i % l.o.Instances, Spread: l.o.Instances})
	}
	var err error
	l.front, err = l.site.NewFront(standin.FrontConfig{Nodes: nodes, Customers: customers, Settings: settings, Seed: l.o.Seed,
		Retries: 1, Backoff: 50 * time.Millisecond, Honour: 0.7})
	return err
}

func (l *Lab) name(i int) string   { return fmt.Sprintf("n%d", i) }
func (l *Lab) listen(i int) string { return fmt.Sprintf("%s:%d", l.host, firstPort+i) }

// Log is where an instance writes.
func (l *Lab) Log(i int) string { return filepath.Join(l.o.Dir, l.name(i)+".log") }

func (l *Lab) configure(i int, settings standin.Settings) error {
	settings.Me = i
	b, err := json.MarshalIndent(map[string]any{"name": l.name(i), "listen": l.listen(i), "discovery": l.agents[i].Addr(),
		"peer_listen": l.relays.real[i].String(), "peers": l.relays.peers(i),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512},
		"settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.o.Dir, l.name(i)+".json"), b, 0o600)
}

func (l *Lab) say(format string, args ...any) {
	l.out.Lock()
	defer l.out.Unlock()
	if l.o.Out != nil {
		fmt.Fprintf(l.o.Out, "%6.1f s  %s\n", l.o.World.Now().Sub(l.begun).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Way sets the faults of the link from one instance to another.
func (l *Lab) Way(from, to int, f Fault) { l.relays.set(from, to, f) }

// Ways sets the same for all ways that are asked for.
func (l *Lab) Ways(f Fault, which func(from, to int) bool) {
	for a := range l.o.Instances {
		for b := range l.o.Instances {
			if a != b && which(a, b) {
				l.Way(a, b, f)
			}
		}
	}
}

// Repeat sends the last datagrams from one instance to another once more, each changed by a function
// where there is one, and returns how many.
func (l *Lab) Repeat(from, to int, change func([]byte) []byte) int {
	return l.relays.repeat(pair{from, to}, change)
}

// Traffic sends the libraries' requests until ctx ends.
func (l *Lab) Traffic(ctx context.Context) { l.front.Run(ctx) }

// Close ends all that the lab has started and returns the rules that were broken.
func (l *Lab) Close() []audit.Break {
	for i, p := range l.procs {
		if p == nil {
			continue
		}
		if p.paused {
			_ = l.Resume(i)
		}
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for i, p := range l.procs {
		if p == nil {
			continue
		}
		select {
		case <-p.ended:
		case <-l.after(stopLimit):
			l.say("%s did not stop in time and is killed", l.name(i))
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	for _, a := range l.agents {
		a.Close()
	}
	for _, s := range l.loans {
		s.Kill()
	}
	if l.relays != nil {
		l.relays.close()
	}
	if l.ledger == nil {
		return nil
	}
	return l.ledger.Finish()
}
