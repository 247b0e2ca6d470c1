package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
	"pepperfall.example/pepperfall/internal/edgefleet/supervisor"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/audit"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

const (
	loanServers  = 6
	racks        = 2
	readyLimit   = 60 * time.Second
	orderLimit   = 5 * time.Minute
	killLook     = 5 * time.Millisecond
	firstPort    = 21000 // of the instances, on an address of the demo's own
	firstPeer    = 31000
	progressLine = time.Second
)

// Report is how a demo ended.
type Report struct {
	Tally      standin.Tally
	Breaks     []audit.Break
	HighestUse float64         // of any ceiling; 1: the whole store
	Killed     int             // instances killed outright
	Orders     []OrderReport   // reloads and restarts
	Ready      []time.Duration // from a kill until the instance took clients again
	Duplicates int             // effects that took place twice
}

// OrderReport is how one order to the fleet went.
type OrderReport struct {
	Op   string
	Took time.Duration
	Code int
	Last string
}

// rig is the running installation.
type rig struct {
	Options
	ledger *audit.Ledger
	site   *standin.Site
	roster *standin.Roster
	loans  []*standin.LoanServer
	agents []*standin.Agent
	front  *standin.Front
	file   string     // the fleet file
	books  *catalogue // nil: no description is served
	addr   string     // of all instances
	begun  time.Time

	swaps  sync.Mutex // held for a change of the revision: each has its own goroutine
	mu     sync.Mutex
	report Report
}

// Run plays a demo to its end. The error is one of the demo itself; broken
// rules are in the report.
func Run(ctx context.Context, o Options) (rep Report, err error) {
	if o.Instances < 1 {
		return rep, fmt.Errorf("%d instances", o.Instances)
	}
	if o.Steps == nil {
		o.Steps = DefaultSteps(o.Instances)
	}
	if o.Load == 0 {
		o.Load = 1
	}
	r := &rig{Options: o, begun: o.World.Now()}
	defer r.close()
	if err := r.build(ctx); err != nil {
		return rep, err
	}
	logFile, err := os.OpenFile(filepath.Join(o.Dir, "supervisor.log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return rep, err
	}
	defer logFile.Close()
	stop, end := context.WithCancel(context.Background())
	defer end()
	supervised := make(chan error, 1)
	go func() {
		supervised <- supervisor.Run(stop, r.file, nil, supervisor.Options{World: o.World, Seed: o.Seed,
			Log: slog.New(slog.NewTextHandler(logFile, nil)), Compile: o.Compile})
	}()
	defer func() {
		end()
		if e := <-supervised; e != nil {
			err = errors.Join(err, fmt.Errorf("supervisor: %w", e))
		}
	}()
	ready, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if !r.front.Ready(ready) {
		return rep, fmt.Errorf("the fleet was not ready within %v; see %s", readyLimit, o.Dir)
	}
	r.say("%d instances serve; %d loan servers, %d libraries", o.Instances, len(r.loans), len(customers(o.Instances, 1)))
	r.play(ctx)
	return r.judge(), ctx.Err()
}

// build opens all stand-ins and writes the fleet's files.
func (r *rig) build(ctx context.Context) error {
	settings := standin.SiteSettings(r.Instances)
	if r.Description != "" {
		settings.Family["largest"] = mostUnits
	}
	r.ledger = audit.NewLedger(r.World, settings.AuditRules(r.Slack))
	r.site = standin.NewSite(r.World, r.ledger)
	var list []standin.Target
	for i := range loanServers {
		l, err := r.site.StartLoan(standin.LoanConfig{UID: fmt.Sprintf("s-%08x", i+1), Rack: fmt.Sprint(1 + i%racks),
			Zone: []string{"a", "b"}[i/racks%2], Cores: 2 + i%2, Queue: 40, Handshake: time.Millisecond, Warm: 4 * time.Second,
			FallMultiple: 2, FallTime: time.Second, Work: work})
		if err != nil {
			return err
		}
		r.loans = append(r.loans, l)
		list = append(list, l.Target())
	}
	r.roster = r.site.NewRoster(list...)
	rnd := rand.New(rand.NewPCG(r.Seed, uint64(os.Getpid())))
	r.addr = fmt.Sprintf("127.%d.%d.%d", 64+rnd.IntN(128), rnd.IntN(256), 1+rnd.IntN(254))
	var nodes []standin.NodeAddr
	var discovery []string
	for i := range r.Instances {
		name := fmt.Sprintf("n%d", i)
		a, err := r.roster.StartAgent(name, "127.0.0.1:0")
		if err != nil {
			return err
		}
		a.Lag(time.Duration(50+rnd.IntN(200)) * time.Millisecond)
		r.agents = append(r.agents, a)
		discovery = append(discovery, a.Addr())
		nodes = append(nodes, standin.NodeAddr{Name: name, Addr: fmt.Sprintf("%s:%d", r.addr, firstPort+i)})
	}
	clients := customers(r.Instances, r.Load)
	var asks []standin.Operation
	if r.Description != "" {
		if err := r.open(ctx); err != nil {
			return err
		}
		for i := range clients {
			clients[i].APIKey = keyOf(clients[i].Key)
		}
		if asks = r.books.asked(); len(asks) == 0 {
			return fmt.Errorf("%s: no operation that the demo's clients could ask", r.Description)
		}
		r.reign(0, false)
		r.reign(0, true)
	}
	var err error
	if r.front, err = r.site.NewFront(standin.FrontConfig{Nodes: nodes, Customers: clients, Asks: asks, Settings: settings,
		Seed: r.Seed, Retries: 1, Backoff: 50 * time.Millisecond, Honour: 0.7, HangUp: 0.005, Churn: r.Churn}); err != nil {
		return err
	}
	quoted, _ := json.Marshal(discovery)
	r.file = filepath.Join(r.Dir, "fleet.toml")
	for name, text := range map[string]string{
		"settings.json": string(settings.JSON()),
		"fleet.toml": fmt.Sprintf(`name = "demo"
state_dir = "state"
binary = %q
settings = "settings.json"
operator = "operator.toml"

[nodes]
count = %d
listen = "%s:%d"
peers = "%s:%d"
discovery = %s
zones = ["a", "b"]

[limits]
memory_mb = 96
sockets = 1024

[restarts]
backoff_least_ms = 100
crash_limit = 20

[rolls]
pause_ms = 50
look_every_ms = 100
`, r.Program, r.Instances, r.addr, firstPort, r.addr, firstPeer, quoted),
	} {
		if err := os.WriteFile(filepath.Join(r.Dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	if r.books != nil {
		return nil // with its description
	}
	return os.WriteFile(filepath.Join(r.Dir, "operator.toml"), []byte(operatorText(10000)), 0o600)
}

func operatorText(idleMS int) string {
	return fmt.Sprintf("# written by the demo\n[clients]\nidle_ms = %d\n", idleMS)
}

// work is the core time of a request: a loan takes more than a lookup.
func work(q *standin.Request) time.Duration {
	if q.Header.Get("Idempotency-Key") != "" {
		return 8 * time.Millisecond
	}
	return 4 * time.Millisecond
}

// play sends traffic and takes the steps.
func (r *rig) play(ctx context.Context) {
	r.begun = r.World.Now()
	traffic, end := context.WithTimeout(ctx, r.Length)
	defer end()
	var steps sync.WaitGroup
	for _, st := range r.Steps {
		steps.Go(func() {
			if world.Sleep(traffic, r.World, time.Duration(st.At*float64(r.Length))) {
				r.do(ctx, st)
			}
		})
	}
	steps.Go(func() {
		for world.Sleep(traffic, r.World, progressLine) {
			t := r.front.Tally()
			r.say("asked %d, served %d, refused %d, failed %d; highest use of a ceiling %.2f; broken rules %d",
				t.Asked, t.Served, t.Refused, t.Failed, r.ledger.HighestUse(), len(r.ledger.Breaks()))
		}
	})
	r.front.Run(traffic)
	steps.Wait()
}

func (r *rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.Out, "%6.1f s  %s\n", r.World.Now().Sub(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// do takes one step.
func (r *rig) do(ctx context.Context, st Step) {
	switch st.Do {
	case KillInstance:
		r.kill(ctx, st.What)
	case ReloadFleet:
		if r.books != nil {
			r.swap(ctx)
			return
		}
		r.mu.Lock()
		n := len(r.report.Orders)
		err := os.WriteFile(filepath.Join(r.Dir, "operator.toml"), []byte(operatorText(9000-10*n)), 0o600)
		r.mu.Unlock()
		if err != nil {
			r.say("operator file not written: %v", err)
			return
		}
		r.order(ctx, "reload")
	case RestartFleet:
		r.order(ctx, "restart")
	case DrainServer, RestartServer, SlowServer, HealServer:
		r.server(st)
	case SilenceRosters, WakeRosters:
		r.say("%s", st.Do)
		for _, a := range r.agents {
			a.Silence(st.Do == SilenceRosters)
		}
	}
}

func (r *rig) server(st Step) {
	l := r.loans[st.What%len(r.loans)]
	switch st.Do {
	case DrainServer:
		l.Drain()
		r.roster.Put(l.Target())
	case RestartServer:
		if err := l.Restart(); err != nil {
			r.say("loan server not restarted: %v", err)
			return
		}
		r.roster.Put(l.Target())
	case SlowServer:
		l.Slow(5)
	case HealServer:
		l.Slow(1)
	}
	r.say("%s %s", st.Do, l.Target().UID)
}

// order gives an order to the fleet, waits for its end and returns its code.
func (r *rig) order(ctx context.Context, op string) (code int) {
	ctx, end := context.WithTimeout(ctx, orderLimit)
	defer end()
	began := r.World.Now()
	r.say("order: %s", op)
	last := ""
	code, err := supervisor.Tell(ctx, r.World, r.file, op, func(l supervisor.Line) {
		if l.Say != "" {
			last = l.Say
		}
	})
	if err != nil {
		last = err.Error()
	}
	took := r.World.Now().Sub(began)
	r.say("%s ended after %.1f s with code %d: %s", op, took.Seconds(), code, last)
	r.mu.Lock()
	r.report.Orders = append(r.report.Orders, OrderReport{op, took, code, last})
	r.mu.Unlock()
	return code
}

// kill ends an instance outright and waits until it takes clients again.
func (r *rig) kill(ctx context.Context, number int) {
	name := fmt.Sprintf("n%d", number)
	lock := filepath.Join(r.Dir, "state", "instances", name, "lock")
	pid, held := daemon.Holder(lock)
	if !held || pid == 0 {
		r.say("%s does not run: nothing to kill", name)
		return
	}
	p, err := os.FindProcess(pid)
	if err != nil {
		return
	}
	defer func() { _ = p.Release() }()
	r.ledger.Note(audit.Dying{Node: name})
	r.front.Dying(name)
	began := r.World.Now()
	if now, held := daemon.Holder(lock); !held || now != pid {
		r.ledger.Note(audit.Killed{Node: name})
		return
	}
	err = p.Signal(syscall.SIGKILL)
	for {
		now, held := daemon.Holder(lock)
		if !held || now != pid && now != 0 || !world.Sleep(ctx, r.World, killLook) {
			break
		}
	}
	r.ledger.Note(audit.Killed{Node: name})
	r.mu.Lock()
	r.report.Killed++
	r.mu.Unlock()
	r.say("killed %s, process %d", name, pid)
	if err == nil && r.front.Await(ctx, name) {
		took := r.World.Now().Sub(began)
		r.say("%s takes clients again after %.2f s", name, took.Seconds())
		r.mu.Lock()
		r.report.Ready = append(r.report.Ready, took)
		r.mu.Unlock()
	}
}

// judge closes the ledger.
func (r *rig) judge() Report {
	breaks := r.ledger.Finish()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Tally, r.report.Breaks, r.report.HighestUse = r.front.Tally(), breaks, r.ledger.HighestUse()
	for _, b := range breaks {
		if b.Rule == audit.NoDoubleEffect {
			r.report.Duplicates++
		}
	}
	return r.report
}

func (r *rig) close() {
	for _, a := range r.agents {
		a.Close()
	}
	for _, l := range r.loans {
		l.Kill()
	}
}
