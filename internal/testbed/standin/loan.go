package standin

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/audit"
)

// LoanConfig says what a loan server is like. The zero value of a field that
// has a default means that default.
type LoanConfig struct {
	UID, Rack, Zone string
	Addr            string        // default 127.0.0.1:0
	Cores           int           // default 1
	Speed           float64       // core milliseconds done in a millisecond of one core; default 1
	Slots           int           // requests in work at once, which share the cores; default 4 a core
	Queue           int           // requests that wait for a slot; more are turned away; default 64
	Connections     int           // held at once, more are reset; default 256
	IdleFor         time.Duration // after which an idle connection is closed; default 15 s
	Handshake       time.Duration // that the first request of a connection waits
	ColdShare       float64       // of the full capacity after a start; default 0.3
	Warm            time.Duration // to the full capacity, evenly; 0: at once
	FallMultiple    float64       // of its present capacity pushes it over while cold; 0: nothing does
	FallTime        time.Duration
	Window          time.Duration // for which its rack remembers keys; default 2.5 s
	ReportEvery     time.Duration // age of load reports; default 100 ms

	Work   func(r *Request) time.Duration // core time of a request; default 2 ms
	Script func(r *Request) Fault         // nil: no faults
}

// LoanServer is an app server with cores, a queue and a rack's memory for
// keys. It may be killed and started again under its address.
type LoanServer struct {
	site *Site
	cfg  LoanConfig

	mu       sync.Mutex
	raw      *Raw
	addr     string
	state    audit.State
	tempo    atomic.Pointer[tempo]
	engine   *engine
	fallen   bool
	arrivals []arrival // while cold, within FallTime
	ran      int
	report   string
	reported time.Time
	lately   []time.Time // answers within the last second
	stop     chan struct{}
}

// tempo is what its pace follows from, beside its configuration.
type tempo struct {
	slow    float64   // times slower than configured
	started time.Time // of this process; zero: long ago
}

type arrival struct {
	at   time.Time
	work time.Duration
}

// StartLoan starts a loan server that is warm.
func (s *Site) StartLoan(cfg LoanConfig) (*LoanServer, error) {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	def(&cfg.Cores, 1)
	def(&cfg.Slots, 4*cfg.Cores)
	def(&cfg.Queue, 64)
	def(&cfg.Connections, 256)
	if cfg.Speed == 0 {
		cfg.Speed = 1
	}
	if cfg.ColdShare == 0 {
		cfg.ColdShare = 0.3
	}
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{{&cfg.IdleFor, 15 * time.Second}, {&cfg.Window, 2500 * time.Millisecond}, {&cfg.ReportEvery, 100 * time.Millisecond}} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if cfg.Work == nil {
		cfg.Work = func(*Request) time.Duration { return 2 * time.Millisecond }
	}
	l := &LoanServer{site: s, cfg: cfg}
	l.tempo.Store(&tempo{slow: 1})
	s.notary.Note(audit.Rack{Server: cfg.UID, Rack: cfg.Rack})
	return l, l.listen(cfg.Addr)
}

func (l *LoanServer) listen(addr string) error {
	raw, err := serveRaw(l.site.world, addr, l.serve, l.cfg.IdleFor, l.cfg.Connections)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raw, l.addr, l.fallen, l.arrivals = raw, raw.Addr(), false, nil
	l.stop = make(chan struct{})
	l.engine = newEngine(l.site.world, l.cfg.Cores, l.cfg.Slots, l.cfg.Queue, l.pace)
	e, stop := l.engine, l.stop
	raw.wg.Go(func() { e.run(stop) })
	return nil
}

// Target is its line in a roster.
func (l *LoanServer) Target() Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Target{UID: l.cfg.UID, Endpoint: l.addr, Zone: l.cfg.Zone, State: stateNames[l.state], Weight: float64(l.cfg.Cores)}
	if n, err := strconv.Atoi(l.cfg.Rack); err == nil {
		t.Group = n
	}
	if at := l.tempo.Load().started; !at.IsZero() {
		t.BootMS = float64(at.UnixMilli())
	}
	return t
}

// Ran returns how many requests took effect.
func (l *LoanServer) Ran() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran
}

// Connections returns how many are open.
func (l *LoanServer) Connections() int {
	l.mu.Lock()
	raw := l.raw
	l.mu.Unlock()
	return raw.Connections()
}

// Slow makes it so many times slower than it is.
func (l *LoanServer) Slow(times float64) {
	l.mu.Lock()
	l.tempo.Store(&tempo{times, l.tempo.Load().started})
	l.mu.Unlock()
}

// Drain makes it turn new requests away; the roster is to be told apart.
func (l *LoanServer) Drain() {
	l.mu.Lock()
	l.state = audit.Draining
	l.mu.Unlock()
}

// Kill ends its process: connections break, new ones are refused.
func (l *LoanServer) Kill() {
	l.mu.Lock()
	raw, stop := l.raw, l.stop
	l.stop = nil
	l.mu.Unlock()
	if stop != nil {
		close(stop)
		raw.Close()
	}
}

// Restart starts it anew under its address, cold where the configuration says so.
func (l *LoanServer) Restart() error {
	l.Kill()
	l.mu.Lock()
	l.state = audit.Serving
	l.tempo.Store(&tempo{l.tempo.Load().slow, l.site.world.Now()})
	l.mu.Unlock()
	if l.cfg.Warm > 0 {
		full := float64(l.cfg.Cores) * l.cfg.Speed
		l.site.notary.Note(audit.Started{Server: l.cfg.UID, Low: full * l.cfg.ColdShare, High: full, Warm: l.cfg.Warm})
	}
	return l.listen(l.addr)
}

// share is the part of its capacity that it has at a time.
func (l *LoanServer) share(now time.Time) float64 {
	at := l.tempo.Load().started
	if at.IsZero() || l.cfg.Warm <= 0 {
		return 1
	}
	return min(1, l.cfg.ColdShare+(1-l.cfg.ColdShare)*now.Sub(at).Seconds()/l.cfg.Warm.Seconds())
}

// pace is what one core does at a time, in core seconds a second.
func (l *LoanServer) pace(now time.Time) float64 {
	return l.cfg.Speed * l.share(now) / l.tempo.Load().slow
}

// pushed takes in what a cold server is sent and tells whether it falls over.
func (l *LoanServer) pushed(now time.Time, work time.Duration) bool {
	if l.cfg.FallMultiple <= 0 || l.share(now) >= 1 {
		return false
	}
	l.arrivals = append(l.arrivals, arrival{now, work})
	for now.Sub(l.arrivals[0].at) > l.cfg.FallTime {
		l.arrivals = l.arrivals[1:]
	}
	sum := time.Duration(0)
	for _, a := range l.arrivals {
		sum += a.work
	}
	can := float64(l.cfg.Cores) * l.cfg.Speed * l.share(now.Add(-l.cfg.FallTime/2)) * float64(l.cfg.FallTime)
	return float64(sum) > l.cfg.FallMultiple*can
}

// serve answers one request.
func (l *LoanServer) serve(c net.Conn, r *Request) bool {
	id, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	fault := NoFault
	if l.cfg.Script != nil {
		fault = l.cfg.Script(r)
	}
	if fault == ResetUnread {
		reset(c) // as if it had broken before the last byte: the request is not seen
		return false
	}
	if id == "" {
		return NoFault.write(c, "404 Not Found", "", "no request id")
	}
	work := l.cfg.Work(r)
	now := l.site.world.Now()
	if book := r.Header.Get("Pepperfall-Book"); book != "" {
		units, _ := strconv.ParseFloat(r.Header.Get("Pepperfall-Units"), 64)
		l.site.notary.Note(audit.ReadAs{Request: id, Server: l.cfg.UID, Revision: book, Units: units})
	}
	a := &attempt{request: id, server: l.cfg.UID, conn: c}
	l.site.began(a, audit.Sent{Request: id, Server: l.cfg.UID, Began: now.Sub(r.Began), Work: work.Seconds() * 1000})
	defer l.site.over(a)

	l.mu.Lock()
	stop := l.stop
	falls := !l.fallen && l.pushed(now, work)
	if falls {
		l.fallen = true
	}
	var j *job
	ok := !l.fallen && stop != nil && fault != NotRun503 && fault != NotRun504 && fault != ResetUnrun && fault != SilentUnrun
	if ok {
		if l.state == audit.Serving {
			j = l.engine.admit(work)
		}
		ok = j != nil
	}
	load := l.load(now)
	l.mu.Unlock()
	if falls {
		l.site.notary.Note(audit.Fell{Server: l.cfg.UID})
		go l.Kill()
		return false
	}
	switch {
	case fault == ResetUnrun:
		reset(c)
		return false
	case fault == SilentUnrun:
		l.hold(c, stop)
		return false
	case !ok:
		l.site.notary.Note(audit.NotRun{Request: id, Server: l.cfg.UID})
		l.site.over(a)
		status := "503 Service Unavailable"
		if fault == NotRun504 {
			status = "504 Gateway Timeout"
		}
		return NoFault.write(c, status, "X-Not-Run: 1\r\n"+load, "")
	}
	fresh := key == "" || l.site.claim(l.cfg.Rack, key, l.cfg.Window)
	if r.Nth == 1 && !l.wait(now.Add(l.cfg.Handshake), stop) {
		return false
	}
	select {
	case <-stop:
		return false
	case <-j.done:
	}
	if fresh {
		l.mu.Lock()
		l.ran++
		l.mu.Unlock()
		l.site.notary.Note(audit.Ran{Request: id, Server: l.cfg.UID, Key: key})
	}
	switch fault {
	case ErrorAnswer:
		l.site.over(a)
		return NoFault.write(c, "500 Internal Server Error", load, "failed")
	case ResetRun:
		reset(c)
		return false
	case SilentRun:
		l.hold(c, stop)
		return false
	}
	body := Body(id, l.cfg.UID)
	if fault != StalledAnswer {
		l.site.over(a)
	}
	on := fault.write(c, "200 OK", "Content-Type: text/plain\r\n"+load, body)
	if fault == StalledAnswer {
		l.hold(c, stop)
		return false
	}
	return on
}

// Body is a loan server's answer to a request; Genuine recognizes it.
func Body(request, server string) string { return "request=" + request + " server=" + server + "\n" }

// Genuine tells whether a body was made by a loan server for the request.
func Genuine(body, request string) bool {
	return strings.HasPrefix(body, "request="+request+" server=") && strings.HasSuffix(body, "\n")
}

// wait waits until a time; it is false when the server was killed.
func (l *LoanServer) wait(until time.Time, stop <-chan struct{}) bool {
	d := until.Sub(l.site.world.Now())
	if d <= 0 {
		return true
	}
	t := l.site.world.NewTimer(d)
	defer t.Stop()
	select {
	case <-stop:
		return false
	case <-t.C():
		return true
	}
}

const holdLook = 5 * time.Millisecond

// hold keeps a connection open until the other side ends it.
func (l *LoanServer) hold(c net.Conn, stop <-chan struct{}) {
	for !hungUp(c) && l.wait(l.site.world.Now().Add(holdLook), stop) {
	}
}

// load is the header field of a load report, no fresher than ReportEvery.
func (l *LoanServer) load(now time.Time) string {
	l.lately = append(l.lately, now)
	l.lately = slices.DeleteFunc(l.lately, func(t time.Time) bool { return now.Sub(t) > time.Second })
	if l.report == "" || now.Sub(l.reported) >= l.cfg.ReportEvery {
		l.report = fmt.Sprintf("X-Load: TEXT util=%.2f, qps=%d\r\n", l.engine.busy(), len(l.lately))
		l.reported = now
	}
	return l.report
}

// Open returns how many attempts are out at it.
func (l *LoanServer) Open() (n int) {
	l.site.mu.Lock()
	defer l.site.mu.Unlock()
	for _, list := range l.site.out {
		for _, a := range list {
			if a.server == l.cfg.UID {
				n++
			}
		}
	}
	return n
}
