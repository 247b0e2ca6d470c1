package emulator

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/control"
	"pepperfall.example/pepperfall/internal/dataplane/agent"
	"pepperfall.example/pepperfall/internal/dataplane/proxy"
	"pepperfall.example/pepperfall/internal/platform/logring"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Role names a process of a machine.
type Role string

// The roles.
const (
	Proxy   Role = "proxy"
	Agent   Role = "agent"
	Replica Role = "replica"
)

// Node is a machine of the system with its processes.
type Node struct {
	o            *Cluster
	Name         string
	Zone, Region string
	class        string
	machine      Machine
	disk         Disk // a core's

	mu     sync.Mutex
	runs   map[Role]*run
	harms  []span      // when its processes were not in order or its links not whole
	faults []span      // the same without what was planned
	harmed int         // troubles that last
	faulty int         // those that are not planned
	births []time.Time // of its proxy
	logs   map[Role]*ring
}

// span is a stretch of time; an end of zero is not reached yet.
type span struct{ from, to time.Time }

// run is a process.
type run struct {
	process Process
	leave   chan struct{}
	stop    context.CancelFunc
	done    chan struct{}
	left    bool
	inForce func() uint64 // of a proxy
	held    *settings.Settings
	settle  func(*settings.Settings)
}

// ring keeps a process' log, to be shown where a story fails.
type ring struct {
	*logring.Ring
	out *lines
}

func (o *Cluster) plant(name, class string, z Zone, ip string) {
	n := &Node{o: o, Name: name, Zone: z.Name, Region: z.Region, class: class, machine: o.ground.Machine(ip, z.Name, z.Region), runs: map[Role]*run{}, logs: map[Role]*ring{}}
	if class == "core" {
		n.disk = o.ground.Disk(len(o.Nodes))
	}
	o.Nodes = append(o.Nodes, n)
}

// Roles are the processes of the node.
func (n *Node) Roles() []Role {
	if n.class == "core" {
		return []Role{Replica}
	}
	return []Role{Agent, Proxy}
}

// Edges are the edge machines in their order.
func (o *Cluster) Edges() []*Node { return o.class("edge") }

// Cores are the core machines in their order.
func (o *Cluster) Cores() []*Node { return o.class("core") }

func (o *Cluster) class(c string) (all []*Node) {
	for _, n := range o.Nodes {
		if n.class == c {
			all = append(all, n)
		}
	}
	return all
}

// Edge is the edge machine of a number.
func (o *Cluster) Edge(i int) *Node { return o.Edges()[i] }

// Core is the core machine of a number.
func (o *Cluster) Core(i int) *Node { return o.Cores()[i] }

// Zone are the nodes of a zone.
func (o *Cluster) Zone(zone string) (all []*Node) {
	for _, n := range o.Nodes {
		if n.Zone == zone {
			all = append(all, n)
		}
	}
	return all
}

// start starts a process with the settings of this moment.
func (o *Cluster) start(n *Node, role Role) error {
	set, err := o.settings(n, role)
	if err != nil {
		return err
	}
	p := n.machine.Start()
	ctx, stop := context.WithCancel(context.Background())
	r := &run{held: set, process: p, leave: make(chan struct{}), stop: stop, done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runs[role] != nil {
		stop()
		return nil
	}
	logs := &ring{out: &lines{}}
	logs.Ring = logring.New(p, 400, logs.out)
	n.runs[role], n.logs[role] = r, logs
	w := world.World(p)
	if o.layout.Plant != nil {
		w = o.layout.Plant(n, role, p)
	}
	var serve func() error
	switch role {
	case Proxy:
		n.births = append(n.births, time.Now())
		g, err := proxy.New(set, w, logs.Logger())
		if err != nil {
			stop()
			p.Kill()
			delete(n.runs, role)
			return errors.WithMessage(err, n.Name)
		}
		r.inForce, r.settle = g.ConfigurationInForce, g.SetSettings
		serve = func() error { return g.Run(ctx, r.leave) }
	case Agent:
		h := agent.New(agent.ConfigFromSettings(set, p.Now()), w, logs.Logger())
		r.settle = h.SetSettings
		serve = func() error {
			defer context.AfterFunc(told(ctx, r.leave), func() { h.Leave("told to end") })()
			return h.Run(ctx)
		}
	case Replica:
		b := control.New(set, w, n.disk.Mount(), logs.Logger())
		b.SetLogRing(logs.Ring)
		r.settle = b.SetSettings
		serve = func() error { return b.Run(told(ctx, r.leave)) }
	}
	o.all.Go(func() {
		defer close(r.done)
		if err := serve(); err != nil {
			o.Book.fault(n, role, err)
		}
		p.Kill()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.runs[role] == r {
			delete(n.runs, role)
		}
	})
	return nil
}

// told is a context that ends when the process is told to leave.
func told(ctx context.Context, leave <-chan struct{}) context.Context {
	ctx, stop := context.WithCancel(ctx)
	go func() {
		select {
		case <-leave:
		case <-ctx.Done():
		}
		stop()
	}()
	return ctx
}

// end kills a process, or only waits for one whose power is gone.
func (o *Cluster) end(n *Node, role Role, told bool) {
	n.mu.Lock()
	r := n.runs[role]
	delete(n.runs, role)
	n.mu.Unlock()
	if r == nil {
		return
	}
	if told {
		r.process.Kill()
	}
	if n.disk != nil && told {
		n.disk.Kill()
	}
	r.stop()
}

// running tells whether a process runs.
func (n *Node) running(role Role) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[role] != nil
}

// lines is what a process has written.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() > mostWritten {
		l.buf.Reset()
	}
	return l.buf.Write(b)
}

const mostWritten = 1 << 20 // of a process that never ends its complaints

func (l *lines) tail(most int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := bytes.Split(l.buf.Bytes(), []byte("\n"))
	return string(bytes.Join(all[max(0, len(all)-most-1):], []byte("\n")))
}

// Harm notes that a node is in trouble from now on, and Mend that it is over.
func (n *Node) Harm() {
	n.mu.Lock()
	defer n.mu.Unlock()
	begin(&n.harms, &n.harmed)
	begin(&n.faults, &n.faulty)
}

// leave notes a planned end.
func (n *Node) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	begin(&n.harms, &n.harmed)
}

// Mend ends one trouble of a node.
func (n *Node) Mend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.harmed == n.faulty {
		finish(&n.faults, &n.faulty)
	}
	finish(&n.harms, &n.harmed)
}

func begin(all *[]span, now *int) {
	if *now++; *now == 1 {
		*all = append(*all, span{from: time.Now()})
	}
}

func finish(all *[]span, now *int) {
	if *now == 0 {
		return
	}
	if *now--; *now == 0 {
		(*all)[len(*all)-1].to = time.Now()
	}
}

func touches(all []span, from, to time.Time) bool {
	return slices.ContainsFunc(all, func(s span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) })
}

// whole tells whether nothing befell a node in a stretch of time.
func (n *Node) whole(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !touches(n.harms, from, to)
}

// unplanned tells whether something befell it that was not planned.
func (n *Node) unplanned(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return touches(n.faults, from, to)
}

// inTouch tells whether a node was in touch all the while: for contact before nothing befell it, and the core was settled.
func (o *Cluster) inTouch(n *Node, from, to time.Time) bool {
	from = from.Add(-o.bounds.Contact)
	return n.whole(from, to) && o.settled(from, to)
}

// settled tells whether more than half of the core was whole all the while, no trouble of the others began or ended
// meanwhile, and no more was lost than is to be borne. A trouble that lasts unsettles the core for a time only.
func (o *Cluster) settled(from, to time.Time) bool {
	whole, cores := 0, o.Cores()
	for i, c := range cores {
		if c.turns(from, to) || slices.ContainsFunc(cores[:i], func(d *Node) bool { return touches(o.rests(c, d), from, to) }) {
			return false
		}
		if c.whole(from, to) {
			whole++
		}
	}
	return 2*whole > len(cores)
}

// rests are the stretches in which service may rest since two core machines of different zones were lost at once, which
// is beyond what is to be borne: until recover_s after both are back. One is lost for sync_s after it is back.
func (o *Cluster) rests(c, d *Node) (all []span) {
	if c.Zone == d.Zone {
		return nil
	}
	for _, x := range c.lost() {
		for _, y := range d.lost() {
			if !touches([]span{x}, y.from, y.last()) {
				continue
			}
			rest := span{from: x.from}
			if y.from.After(x.from) {
				rest.from = y.from
			}
			if rest.to = x.to; y.last().After(x.last()) {
				rest.to = y.to
			}
			if !rest.to.IsZero() {
				rest.to = rest.to.Add(o.bounds.Recover)
			}
			all = append(all, rest)
		}
	}
	return all
}

// lost are the stretches in which the node counts as lost.
func (n *Node) lost() (all []span) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.harms {
		if !s.to.IsZero() {
			s.to = s.to.Add(n.o.bounds.Sync)
		}
		all = append(all, s)
	}
	return all
}

// last is when a stretch ends; one that has not is taken to end long from now.
func (s span) last() time.Time {
	if s.to.IsZero() {
		return time.Now().Add(time.Hour)
	}
	return s.to
}

// turns tells whether a trouble of the node began or ended in a stretch of time.
func (n *Node) turns(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	within := func(t time.Time) bool { return !t.IsZero() && !t.Before(from) && !t.After(to) }
	return slices.ContainsFunc(n.harms, func(s span) bool { return within(s.from) || within(s.to) })
}

// Ready asks the node's readyz as the platform does.
func (n *Node) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(n.machine.IP(), portReadyz)+"/-/readyz", nil)
	if err != nil {
		return false
	}
	res, err := n.o.Operator.http.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

// lived tells whether no new life of the node's proxy began in a stretch of time.
func (n *Node) lived(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.births, func(t time.Time) bool { return t.After(from) && !t.After(to) })
}
