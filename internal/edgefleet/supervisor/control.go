package supervisor

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/config/bookmaker"
	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/edgefleet/fleetview"
	"pepperfall.example/pepperfall/internal/edgefleet/rollout"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Exit codes that an order can end with.
const (
	OrderDone    = 0
	OrderFailed  = 1
	OrderInvalid = 2 // a file is at fault: nothing was begun
)

// Line is a message of the control socket to whoever gave an order: lines of
// progress, then one that ends it.
type Line struct {
	Say    string  `json:"say,omitempty"`
	Status *Status `json:"status,omitempty"`
	End    bool    `json:"end,omitempty"`
	Code   int     `json:"code,omitempty"`
}

// Status is the state of a fleet.
type Status struct {
	Fleet      string           `json:"fleet"`
	Generation string           `json:"generation"`
	Rolling    string           `json:"rolling,omitempty"`
	Book       string           `json:"book,omitempty"` // the revision that instances serve by
	Pending    *Pending         `json:"pending,omitempty"`
	Instances  []InstanceStatus `json:"instances"`
	Views      []fleetview.View `json:"views,omitempty"`  // of those that keep one
	Differ     []string         `json:"differ,omitempty"` // where the views differ or are in doubt
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name       string  `json:"name"`
	Listen     string  `json:"listen"`
	PID        int     `json:"pid,omitempty"`
	Phase      string  `json:"phase"`
	SinceS     float64 `json:"since_s"` // how long ago the phase began
	Generation string  `json:"generation"`
	Deaths     int     `json:"deaths"`
	LastDeath  string  `json:"last_death,omitempty"`
	StartsInS  float64 `json:"starts_in_s,omitempty"`
}

// control is one order that came in over the socket.
type control struct {
	op    string
	lines chan Line
	once  sync.Once
	gone  <-chan struct{} // the asker has gone
}

const (
	controlQueue = 256
	controlLimit = 2 * time.Second // for an order to be read, and for a line to be taken
	mostOrder    = 4 << 10
)

// say sends a line of progress; a slow asker loses lines, never the supervisor
// time.
func (c *control) say(text string) {
	if c == nil {
		return
	}
	select {
	case c.lines <- Line{Say: text}:
	default:
	}
}

// end sends the last line.
func (c *control) end(code int, text string) {
	if c == nil {
		return
	}
	c.once.Do(func() {
		select {
		case c.lines <- Line{Say: text, End: true, Code: code}:
		case <-c.gone:
		default:
		}
		close(c.lines)
	})
}

// serve accepts orders until the socket is closed.
func (s *Supervisor) serve(ln net.Listener) {
	go func() {
		<-s.ctx.Done()
		ln.Close()
	}()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		open.Go(func() {
			defer c.Close()
			s.talk(c)
		})
	}
}

// talk takes one order and passes on what becomes of it.
func (s *Supervisor) talk(c net.Conn) {
	_ = c.SetReadDeadline(s.world.Now().Add(controlLimit))
	var order struct {
		Op string `json:"op"`
	}
	if err := json.NewDecoder(io.LimitReader(c, mostOrder)).Decode(&order); err != nil {
		return
	}
	gone := make(chan struct{})
	ctl := &control{op: order.Op, lines: make(chan Line, controlQueue), gone: gone}
	defer close(gone)
	s.post(ctl)
	out := json.NewEncoder(c)
	for {
		select {
		case l, ok := <-ctl.lines:
			if !ok {
				return
			}
			_ = c.SetWriteDeadline(s.world.Now().Add(controlLimit))
			if out.Encode(l) != nil {
				return
			}
		case <-s.ctx.Done():
			for l := range drained(ctl.lines) {
				_ = c.SetWriteDeadline(s.world.Now().Add(controlLimit))
				if out.Encode(l) != nil {
					return
				}
			}
			return
		}
	}
}

// drained gives what a channel holds already.
func drained(lines chan Line) func(func(Line) bool) {
	return func(yield func(Line) bool) {
		for {
			select {
			case l, ok := <-lines:
				if !ok || !yield(l) {
					return
				}
			default:
				return
			}
		}
	}
}

// command carries out an order.
func (s *Supervisor) command(c *control) {
	switch c.op {
	case "status":
		st := s.status()
		c.lines <- Line{Status: &st}
		c.end(OrderDone, "")
	case "reload":
		s.order(c)
	case "restart":
		s.give(c, rollout.Order{Kind: rollout.Restart, Generation: s.planner.Generation()})
	case "stop":
		if s.asker != nil {
			s.asker.end(OrderFailed, "the fleet is stopped")
		}
		s.asker = c
		s.carry(s.planner.Handle(s.now(), rollout.Order{Kind: rollout.Stop}))
	default:
		c.end(OrderInvalid, fmt.Sprintf("unknown order %q", c.op))
	}
}

// give hands an order for a roll to the planner, unless one is on.
func (s *Supervisor) give(c *control, o rollout.Order) bool {
	if kind, on := s.planner.Rolling(); on {
		c.end(OrderFailed, fmt.Sprintf("%v not begun: a %v is on", o.Kind, kind))
		return false
	}
	s.asker = c
	s.carry(s.planner.Handle(s.now(), o))
	return true
}

// order has the fleet file and all that it names read, for a reload.
func (s *Supervisor) order(c *control) {
	switch kind, on := s.planner.Rolling(); {
	case on:
		s.unbegun(c, OrderFailed, "reload not begun: a %v is on", kind)
	case s.reading:
		s.unbegun(c, OrderFailed, "reload not begun: the files are being read for another")
	default:
		s.read(c)
	}
}

// unbegun ends an order to reload that changes nothing.
func (s *Supervisor) unbegun(c *control, code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.log.Error("reload not begun; the old generation stays in force", "err", text)
	c.end(code, text)
}

// reload rolls out what has changed in the files read, in the way that it
// needs. Without an asker a watched file was the cause.
func (s *Supervisor) reload(r loaded) {
	s.reading = false
	c, l := r.c, r.l
	if kind, on := s.planner.Rolling(); on { // begun while the files were read
		s.again = s.again || c == nil
		s.unbegun(c, OrderFailed, "reload not begun: a %v is on", kind)
		return
	}
	var hostile *bookmaker.Faults
	if r.err != nil {
		code := OrderFailed
		if isFault(r.err) || errors.As(r.err, &hostile) {
			code = OrderInvalid
		}
		s.unbegun(c, code, "%v\nnothing is changed; generation %s stays in force", r.err, s.planner.Generation())
		return
	}
	if r.warnings != "" {
		s.log.Warn("routes", "say", r.warnings)
		c.say(r.warnings)
	}
	book, _ := s.inForce()
	pending, err := l.holdBack(book)
	if err != nil {
		s.unbegun(c, OrderFailed, "%v", err)
		return
	}
	if s.pending = pending; pending != nil {
		s.log.Warn(pending.String())
		c.say(pending.String())
	}
	need, changes := Compare(s.file, l)
	for _, ch := range changes {
		c.say(ch.String())
	}
	g, err := l.generation()
	if err == nil && need != FullStop {
		err = s.keep(g)
	}
	kind := rollout.Reload
	switch {
	case err != nil:
		s.unbegun(c, OrderFailed, "%v", err)
		return
	case need == FullStop:
		s.unbegun(c, OrderInvalid, "what has changed needs %v; nothing is changed", need)
		return
	case g.Name == s.planner.Generation():
		c.end(OrderDone, fmt.Sprintf("nothing has changed; generation %s is in force", g.Name))
		if s.again {
			s.retake()
		}
		return
	case need == RollingRestart:
		kind = rollout.Restart
	}
	c.say(fmt.Sprintf("this takes %v", max(need, LiveReload)))
	s.next = l
	if !s.give(c, rollout.Order{Kind: kind, Generation: g.Name}) {
		s.next = nil
	}
}

func isFault(err error) bool {
	var faults conffile.Faults
	var fault conffile.Fault
	return errors.As(err, &faults) || errors.As(err, &fault)
}

func (s *Supervisor) status() Status {
	_, revision := s.inForce()
	st := Status{Fleet: s.file.Name, Generation: s.planner.Generation(), Book: revision, Pending: s.pending}
	if kind, on := s.planner.Rolling(); on {
		st.Rolling = kind.String()
	}
	now := s.now()
	for i, p := range s.planner.Status() {
		is := InstanceStatus{Name: p.Name, Listen: s.file.Listen(i), Phase: p.Phase.String(), SinceS: (now - p.Since).Seconds(),
			Generation: p.Generation, Deaths: p.Deaths, LastDeath: p.LastDeath}
		if s.procs[i] != nil {
			is.PID = s.procs[i].pid
		}
		if p.Phase == rollout.Waiting || p.Phase == rollout.Resting {
			is.StartsInS = max(0, (p.Wake - now).Seconds())
		}
		st.Instances = append(st.Instances, is)
		if v := s.views[i].Load(); v != nil {
			st.Views = append(st.Views, *v)
		}
	}
	st.Differ = fleetview.Differ(st.Views)
	return st
}

// Tell gives an order to the supervisor of the fleet that a file describes and
// passes its lines to each until the last. It returns the order's exit code.
func Tell(ctx context.Context, n world.Network, path, op string, each func(Line)) (code int, err error) {
	text, err := conffile.Read(path)
	if err != nil {
		return OrderInvalid, err
	}
	// Only the folder of the state is needed: an order must reach the supervisor
	// also while the file has faults.
	f := Default()
	faults := conffile.Decode(path, text, &f)
	if f.StateDir == "" {
		return OrderInvalid, faults.Err()
	}
	dir := f.StateDir
	if !filepath.IsAbs(dir) {
		dir = filepath.Join(filepath.Dir(path), dir)
	}
	c, err := n.Dial(ctx, "unix", filepath.Join(dir, socketName))
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return OrderFailed, fmt.Errorf("%s: %w", path, errNotSupervised)
	}
	if err != nil {
		return OrderFailed, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if err := json.NewEncoder(c).Encode(map[string]string{"op": op}); err != nil {
		return OrderFailed, err
	}
	in := bufio.NewReader(c)
	for {
		text, err := in.ReadBytes('\n')
		if err != nil {
			return OrderFailed, fmt.Errorf("the supervisor ended before the order did: %w", err)
		}
		var l Line
		if err := json.Unmarshal(text, &l); err != nil {
			return OrderFailed, err
		}
		each(l)
		if l.End {
			return l.Code, nil
		}
	}
}
