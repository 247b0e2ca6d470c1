package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Server is one life of a server.
type Server struct {
	o            *Cluster
	ID           string
	Service      string
	Address      string
	Zone, Region string
	spec         Service
	machine      Machine
	process      Process

	mu       sync.Mutex
	began    time.Time
	cold     []span // not to be sent to at full rate
	state    string // ready, draining, gone
	shown    time.Time
	gone     time.Time
	running  int
	waiting  []chan struct{}
	conns    int
	pace     float64 // work takes so many times as long
	spoil    float64
	grey     float64 // share of requests that fail
	once     float64 // share of those that may run once that end without an answer
	onceTo   func(tenant, ip string) bool
	lies     bool          // its health answer says the reverse
	forgets  time.Duration // connections that stood idle for so long
	sealed   int
	previous []byte              // the last whole answer
	copies   map[net.Conn][]byte // by connection, a copy of an answer that comes in the place of the next one
}

const (
	portServer  = 8080
	queueLength = 4    // a slot's waiting requests
	idleServer  = 10   // seconds after which idle connections are closed
	slowStart   = 4.0  // how much slower a server is right after its start
	slowFor     = 2000 // milliseconds
)

// Serve starts a new server at an address of its own.
func (o *Cluster) Serve(service, zone string) *Server {
	s, err := o.serve(service, zone)
	if err != nil {
		o.Book.note("%v", err)
	}
	return s
}

func (o *Cluster) serve(service, zone string) (*Server, error) {
	o.mu.Lock()
	no := o.servers
	o.servers++
	o.mu.Unlock()
	at := slices.IndexFunc(o.layout.Zones, func(z Zone) bool { return z.Name == zone })
	region := o.layout.Zones[at].Region
	return o.serveAt(o.ground.Machine(o.ground.IP(ServerMachine, at, no), zone, region), service, zone, region)
}

// Reuse starts a server of a service at the address of one that has ended.
func (o *Cluster) Reuse(old *Server, service string) *Server {
	s, err := o.serveAt(old.machine, service, old.Zone, old.Region)
	if err != nil {
		o.Book.note("%v", err)
	}
	return s
}

func (o *Cluster) serveAt(m Machine, service, zone, region string) (*Server, error) {
	s := &Server{o: o, Service: service, Zone: zone, Region: region, machine: m, process: m.Start(), Address: address(m.IP(), portServer),
		began: time.Now(), state: "ready", pace: 0.7 + 0.6*o.chance(), spoil: o.layout.Spoil, copies: map[net.Conn][]byte{}}
	for _, spec := range o.layout.Services {
		if spec.Name == service {
			s.spec = spec
		}
	}
	o.mu.Lock()
	o.lives++
	s.ID = fmt.Sprintf("i-%08x", 0x7f3a0000+o.lives)
	o.mu.Unlock()
	if o.begun && s.spec.Warmup > 0 {
		s.cold = append(s.cold, span{s.began, s.began.Add(s.spec.Warmup)})
	}
	ln, err := s.process.Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return s, errors.WithMessagef(err, "server of %s", service)
	}
	o.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			o.all.Go(func() { s.talk(c) })
		}
	})
	o.Platform.put(s)
	return s, nil
}

// Drain has the platform show the server as draining, and end it after drain_ms and some.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state, s.shown = "draining", time.Now().Add(s.o.Platform.lag)
	s.mu.Unlock()
	s.o.Platform.changed()
	time.AfterFunc(s.o.Platform.lag+s.o.bounds.Drain+500*time.Millisecond, s.End)
}

// End ends the server; the platform lists it no more.
func (s *Server) End() {
	s.process.Kill()
	s.mu.Lock()
	s.state, s.gone = "gone", time.Now()
	s.mu.Unlock()
	s.o.Platform.changed()
}

// Crash ends the server, which the platform goes on listing for some seconds.
func (s *Server) Crash() {
	s.process.Kill()
	time.AfterFunc(3*time.Second, s.End)
}

// Chill turns the server cold.
func (s *Server) Chill() {
	s.mu.Lock()
	now := time.Now()
	s.cold = append(s.cold, span{now, now.Add(s.spec.Warmup)})
	s.mu.Unlock()
	s.o.Platform.changed()
}

// Spoil sets the share of its answers that are spoilt.
func (s *Server) Spoil(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = share
}

func (s *Server) coldAt(t time.Time) (left time.Duration) {
	for _, c := range s.cold {
		if !t.Before(c.from) && t.Before(c.to) {
			left = max(left, c.to.Sub(t))
		}
	}
	return left
}

// unwell is what its health answer says.
func (s *Server) unwell() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.state != "ready") != s.lies
}

// talk serves a connection, one request at a time.
func (s *Server) talk(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	s.conns++
	over := s.spec.MaxConns > 0 && s.conns > s.spec.MaxConns
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns--
		delete(s.copies, c)
	}()
	if over {
		_ = c.(interface{ SetLinger(int) error }).SetLinger(0)
		return
	}
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleServer * time.Second))
		if s.forgot(c, in) {
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.serve(c, r, string(body)) {
			return
		}
	}
}

// serve answers a request; it is false when the connection is over.
func (s *Server) serve(c net.Conn, r *http.Request, body string) bool {
	if r.URL.Path == "/healthz" && r.Header.Get("Attempt-Id") == "" {
		status := 200
		if s.unwell() {
			status = 503
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d Health\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, s.ID)
		return err == nil
	}
	v := &visit{s: s, c: c, id: r.Header.Get("Attempt-Id"), body: body}
	v.arrival = s.o.Book.arrive(s, r, body)
	switch target := r.Header.Get("Target-Instance"); {
	case target != "" && target != s.ID:
		return v.refuse(421)
	case v.id == "":
		return v.refuse(400)
	}
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 1000
	}
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	if !s.enter(c, until) {
		return v.refuse(503)
	}
	defer s.leave()
	if gone(c) {
		return false // it was not begun
	}
	work := min(s.work(), time.Until(until))
	s.o.Book.ran(v.arrival, work)
	s.o.Ledger.ran(r.URL.Query().Get(actField), s)
	if !s.workFor(c, work) {
		s.o.Book.stopped(v.arrival)
		return false
	}
	if !time.Now().Before(until) {
		return v.answer(504, 0)
	}
	if s.loses(v) {
		return v.answer(200, reset)
	}
	return v.answer(200, s.fate())
}

// connectionLook is how often a server that works looks whether its caller is still there.
const connectionLook = 50 * time.Millisecond

// workFor works on a request of a connection, or till the server's end; it is false where the connection has gone before.
func (s *Server) workFor(c net.Conn, work time.Duration) bool {
	for until := time.Now().Add(work); time.Now().Before(until); {
		began, d := time.Now(), min(connectionLook, time.Until(until))
		s.o.Pause(s.process, d)
		if time.Since(began) < d {
			return true // the server has ended
		}
		if gone(c) {
			return false
		}
	}
	return true
}

// Pause lets a process work for a while, or till its end.
func (o *Cluster) Pause(p Process, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.Dead():
	}
}

func gone(c net.Conn) bool { return world.Peek(c) == world.PeekEnd }

// work draws how long a request takes.
func (s *Server) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.spec.Work) * s.pace * (0.6 + 0.8*s.o.chance())
	if s.o.begun && time.Since(s.began) < slowFor*time.Millisecond {
		d *= slowStart
	}
	if s.spec.LongPart > 0 && s.o.chance() < s.spec.LongPart {
		d *= s.spec.LongWork
	}
	return time.Duration(d)
}

// enter waits for a slot.
func (s *Server) enter(c net.Conn, until time.Time) bool {
	s.mu.Lock()
	if s.running < s.spec.Capacity {
		s.running++
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= queueLength*s.spec.Capacity {
		s.mu.Unlock()
		return false
	}
	mine := make(chan struct{}, 1)
	s.waiting = append(s.waiting, mine)
	s.mu.Unlock()
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-mine:
		return true
	case <-t.C:
	case <-s.process.Dead():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == mine {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return false
		}
	}
	<-mine
	s.yield()
	return false
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.yield()
}

// yield gives a slot on; the mutex is held.
func (s *Server) yield() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	s.waiting[0] <- struct{}{}
	s.waiting = s.waiting[1:]
}
