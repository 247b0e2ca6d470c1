package supervisor

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
	"pepperfall.example/pepperfall/internal/edgefleet/fleetview"
	"pepperfall.example/pepperfall/internal/edgefleet/rollout"
	"pepperfall.example/pepperfall/internal/platform/statefile"
	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	socketName = "control.sock"
	eventQueue = 1024
)

// Outside is what a supervisor takes from the world.
type Outside interface {
	world.Clock
	world.Network
}

// Options say how a supervisor runs.
type Options struct {
	World Outside
	Log   *slog.Logger
	Seed  uint64 // spreads backoffs

	Compile daemon.Compile // of descriptions; nil: only compiled books are read
}

// Supervisor runs one fleet. All its state belongs to its loop.
type Supervisor struct {
	path    string
	file    *Loaded
	dir     string
	names   []string
	world   Outside
	log     *slog.Logger
	begun   time.Time
	planner *rollout.Planner
	procs   []*process
	known   map[string]*generation
	events  chan any
	ctx     context.Context
	wg      sync.WaitGroup
	next    *Loaded  // what the roll that is on brings
	asker   *control // who ordered it; nil: nobody who listens
	found   bool     // instances were found running, whose generation is not yet compared
	over    bool

	compile daemon.Compile
	pending *Pending // a revision that waits to be accepted
	reading bool     // files are read for a reload
	again   bool     // a watched file has changed since
	watched atomic.Pointer[Loaded]
	views   []atomic.Pointer[fleetview.View] // as instances tell them; nil: none is told
}

// memory is what a supervisor leaves for the next one.
type memory struct {
	Fleet, Listen, Peers string
	Count                int
	Good                 string // the generation in force
}

// Run supervises the fleet that a file describes until it is stopped: by the
// control socket, or by the end of stop. A signal on hup is an order to reload.
func Run(stop context.Context, path string, hup <-chan os.Signal, o Options) error {
	l, err := Load(path)
	if err != nil {
		return err
	}
	warnings, err := l.ReadBook(stop, o.Compile)
	if err != nil {
		return err
	}
	if warnings != "" {
		o.Log.Warn("routes", "say", warnings)
	}
	s := &Supervisor{compile: o.Compile, path: path, file: l, dir: l.Dir, names: l.Instances(), world: o.World, log: o.Log, begun: o.World.Now(),
		procs: make([]*process, l.Nodes.Count), views: make([]atomic.Pointer[fleetview.View], l.Nodes.Count), known: map[string]*generation{}, events: make(chan any, eventQueue)}
	for i := range s.names {
		if err := os.MkdirAll(s.instanceDir(i), 0o700); err != nil {
			return fmt.Errorf("state_dir: %w", err)
		}
	}
	if err := os.MkdirAll(filepath.Join(s.dir, "generations"), 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	lock, err := daemon.Hold(o.World, filepath.Join(s.dir, "supervisor.lock"))
	if err != nil {
		return fmt.Errorf("fleet %s: another supervisor runs: %w", l.Name, err)
	}
	defer lock.Close()
	socket, err := s.listen()
	if err != nil {
		return err
	}
	defer socket.Close()
	ctx, end := context.WithCancel(context.Background())
	s.ctx = ctx
	defer s.wg.Wait()
	defer end()
	rnd := rand.New(rand.NewPCG(o.Seed, 0x666c656574))
	s.planner = rollout.New(l.planner(), s.names, rnd.Float64)
	if err := s.begin(); err != nil {
		return err
	}
	s.wg.Go(func() { s.serve(socket) })
	defer socket.Close()
	for i := range s.names {
		s.wg.Go(func() { s.look(i, time.Duration(l.Rolls.LookEveryMS)*time.Millisecond) })
	}
	s.wg.Go(s.watch)
	s.loop(stop, hup)
	return nil
}

// listen opens the control socket. The lock is held: a socket that lies there
// is a dead supervisor's.
func (s *Supervisor) listen() (net.Listener, error) {
	path := filepath.Join(s.dir, socketName)
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	ln, err := s.world.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("control socket: %w", err)
	}
	return ln, nil
}

func (s *Supervisor) memoryPath() string { return filepath.Join(s.dir, "fleet") }

// begin takes over what runs and starts the rest.
func (s *Supervisor) begin() error {
	var m memory
	note, err := statefile.Load(s.memoryPath(), &m)
	switch {
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		s.log.Warn("what the last supervisor left can't be read; the fleet file holds", "err", err)
	case note != "":
		s.log.Warn(note)
	}
	if m.Good != "" {
		s.compareWith(m.Good)
	}
	s.watched.Store(s.file)
	g, err := s.file.generation()
	if err != nil {
		return err
	}
	running := []int{}
	for i := range s.names {
		if _, held := daemon.Holder(s.lockPath(i)); held {
			running = append(running, i)
		}
	}
	good := g.Name
	if len(running) > 0 && m.Good != "" {
		if m.Fleet != s.file.Name || m.Listen != s.file.Nodes.Listen || m.Peers != s.file.Nodes.Peers || m.Count != s.file.Nodes.Count {
			return fmt.Errorf("fleet %s: %d instances run under another name, number or addresses than %s has; stop them first",
				s.file.Name, len(running), s.path)
		}
		if old, err := s.recall(m.Good); err != nil {
			s.log.Warn("the generation in force can't be read; the fleet file holds", "generation", m.Good, "err", err)
		} else if m.Good != g.Name {
			s.log.Warn("the fleet file has changed; the old generation stays until an order to reload", "in_force", m.Good, "file", g.Name)
			good = old.Name
			s.file.seen = "" // a watched description is looked at once more
		}
	}
	if err := s.keep(g); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	for _, i := range running {
		s.adopt(i)
		s.found = true
		s.carry(s.planner.Handle(s.now(), rollout.Found{Name: s.names[i]}))
	}
	s.carry(s.planner.Handle(s.now(), rollout.Order{Kind: rollout.Start, Generation: good}))
	s.remember()
	return nil
}

// compareWith holds the file's book back where it has to be accepted first:
// what was in force before a stop counts, too.
func (s *Supervisor) compareWith(generation string) {
	old, err := s.recall(generation)
	if err == nil {
		s.pending, err = s.file.holdBack(old.Book)
	}
	if err != nil {
		s.log.Warn("the last revision of the route book can't be compared with", "err", err)
	}
	if s.pending != nil {
		s.log.Warn(s.pending.String())
	}
}

// remember writes down what the next supervisor needs.
func (s *Supervisor) remember() {
	m := memory{Fleet: s.file.Name, Listen: s.file.Nodes.Listen, Peers: s.file.Nodes.Peers, Count: s.file.Nodes.Count,
		Good: s.planner.Generation()}
	if err := statefile.Save(s.memoryPath(), m); err != nil {
		s.log.Error("the fleet's state was not written", "err", err)
	}
	s.prune()
}

func (s *Supervisor) now() time.Duration { return s.world.Now().Sub(s.begun) }

// loop runs the planner until the fleet is stopped.
func (s *Supervisor) loop(stop context.Context, hup <-chan os.Signal) {
	done := stop.Done()
	for !s.over {
		var due <-chan time.Time
		var t world.Timer
		if at, ok := s.planner.Next(); ok {
			t = s.world.NewTimer(max(0, at-s.now()))
			due = t.C()
		}
		var ev rollout.Event = rollout.Tick{}
		select {
		case <-done:
			done = nil
			s.log.Info("stopping the fleet")
			ev = rollout.Order{Kind: rollout.Stop}
		case <-hup:
			s.order(nil)
		case <-due:
		case e := <-s.events:
			ev = s.take(e)
		}
		if t != nil {
			t.Stop()
		}
		if ev != nil {
			s.carry(s.planner.Handle(s.now(), ev))
		}
		s.settle()
	}
}

// take turns what was posted into the planner's event; nil: there is none.
func (s *Supervisor) take(e any) rollout.Event {
	switch e := e.(type) {
	case ended:
		i := e.p.number
		if s.procs[i] != nil && s.procs[i] != e.p {
			return nil // an older process of the instance
		}
		s.procs[i] = nil
		return rollout.Died{Name: s.names[i], Why: e.why}
	case rollout.Health:
		i := slices.Index(s.names, e.Name)
		if s.procs[i] == nil {
			return nil // somebody else's answer, or one that is late
		}
		return e
	case *control:
		s.command(e)
	case loaded:
		s.reload(e)
	case changed:
		s.retake()
	}
	return nil
}

// carry does what the planner wants.
func (s *Supervisor) carry(acts []rollout.Action) {
	number := func(name string) int { return slices.Index(s.names, name) }
	for _, a := range acts {
		switch a := a.(type) {
		case rollout.Launch:
			s.launch(number(a.Name), a.Generation)
		case rollout.Offer:
			i := number(a.Name)
			if _, err := s.place(i, a.Generation); err != nil {
				s.log.Error("generation not put in place", "name", a.Name, "generation", a.Generation, "err", err)
				continue // the roll's time runs out and it goes back
			}
			s.signal(i, syscall.SIGHUP)
		case rollout.Terminate:
			s.signal(number(a.Name), syscall.SIGTERM)
		case rollout.Kill:
			s.log.Warn("instance killed", "name", a.Name, "why", a.Why)
			s.signal(number(a.Name), syscall.SIGKILL)
		case rollout.Say:
			s.log.Info(a.Text)
			s.asker.say(a.Text)
		case rollout.Ended:
			s.finished(a)
		}
	}
}

// finished books the end of an order.
func (s *Supervisor) finished(e rollout.Ended) {
	switch {
	case e.Kind == rollout.Stop:
		s.over = true
	case e.Kind == rollout.Start:
		return
	case e.OK && s.next != nil:
		s.file = s.next
		s.watched.Store(s.file)
	}
	if e.Kind != rollout.Stop {
		s.next = nil
		s.remember()
	}
	s.log.Info("order ended", "order", e.Kind, "ok", e.OK, "why", e.Why, "generation", e.Generation)
	if e.OK {
		s.asker.end(0, fmt.Sprintf("%v done; generation %s is in force", e.Kind, e.Generation))
	} else {
		s.asker.end(1, fmt.Sprintf("%v not done: %s; generation %s is in force", e.Kind, e.Why, e.Generation))
	}
	s.asker = nil
	if s.again && e.Kind != rollout.Stop {
		s.retake()
	}
}

// settle brings instances that were found under another generation than the
// one in force to that, once all serve: their supervisor died in a roll.
func (s *Supervisor) settle() {
	if _, rolling := s.planner.Rolling(); !s.found || rolling {
		return
	}
	same := true
	for _, st := range s.planner.Status() {
		if st.Phase != rollout.Serving {
			return
		}
		same = same && st.Generation == s.planner.Generation()
	}
	s.found = false
	if !same {
		s.log.Warn("instances were found under different generations; the one in force is rolled out", "generation", s.planner.Generation())
		s.carry(s.planner.Handle(s.now(), rollout.Order{Kind: rollout.Restart, Generation: s.planner.Generation()}))
	}
}
