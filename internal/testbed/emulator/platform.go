package emulator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/settings"
)

const pageRows = 5 // so that lists have pages

// Platform holds the list of servers.
type Platform struct {
	o       *Cluster
	process Process
	http    *http.Server
	lag     time.Duration
	rate    float64

	mu      sync.Mutex
	servers []*Server
	views   []view // oldest first
	down    bool
	downs   []span
	calls   []time.Time
	Asked   int    // calls in all
	Refused int    // calls over the rate
	caller  string // address of the last call
	reads   []call // first pages
}

type call struct {
	at time.Time
	by string // address
}

// mostReads bounds what is kept of the calls.
const mostReads = 10000

// Readings are the moments since one at which somebody, or one of some nodes, began to read the list.
func (p *Platform) Readings(since time.Time, by ...*Node) (at []time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.reads {
		if c.at.After(since) && (len(by) == 0 || slices.ContainsFunc(by, func(n *Node) bool { return n.machine.IP() == c.by })) {
			at = append(at, c.at)
		}
	}
	return at
}

// view is the list as it stood at a time.
type view struct {
	at   time.Time
	rows []row
}

type row struct {
	s     *Server
	state string
}

func newPlatform(o *Cluster, c settings.Cloud) (*Platform, error) {
	p := &Platform{o: o, process: o.ground.Machine(o.ground.IP(PlatformMachine, 0, 0), "", "").Start(), lag: c.MaxLag, rate: c.RatePerS}
	ln, err := p.process.Listen(context.Background(), "tcp", c.Address)
	if err != nil {
		return nil, errors.WithMessage(err, "list of servers")
	}
	p.http = &http.Server{Handler: http.HandlerFunc(p.list)}
	o.all.Go(func() { _ = p.http.Serve(ln) })
	return p, nil
}

func (p *Platform) close() {
	for _, s := range p.servers {
		s.process.Kill()
	}
	_ = p.http.Close()
	p.process.Kill()
}

func (p *Platform) put(s *Server) {
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	p.changed()
}

// Servers are those of a service that are not gone.
func (p *Platform) Servers(service string) (all []*Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.mu.Lock()
		if (service == "" || s.Service == service) && s.state == "ready" {
			all = append(all, s)
		}
		s.mu.Unlock()
	}
	return all
}

// changed keeps the list as it stands now.
func (p *Platform) changed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := view{at: time.Now()}
	for _, s := range p.servers {
		s.mu.Lock()
		if s.state != "gone" {
			v.rows = append(v.rows, row{s, s.state})
		}
		s.mu.Unlock()
	}
	p.views = append(p.views, v)
}

// Down makes the platform answer nothing but 503, or answer again.
func (p *Platform) Down(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if down && !p.down {
		p.downs = append(p.downs, span{from: time.Now()})
	}
	if !down && p.down {
		p.downs[len(p.downs)-1].to = time.Now()
	}
	p.down = down
}

// away is for how long of a stretch of time the platform was down.
func (p *Platform) away(from, to time.Time) (d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.downs {
		end := s.to
		if end.IsZero() || end.After(to) {
			end = to
		}
		begin := s.from
		if begin.Before(from) {
			begin = from
		}
		d += max(0, end.Sub(begin))
	}
	return d
}

// list answers a call.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.caller, _, _ = net.SplitHostPort(r.RemoteAddr)
	recent := p.calls[:0]
	for _, t := range p.calls {
		if now.Sub(t) < time.Second {
			recent = append(recent, t)
		}
	}
	p.calls = append(recent, now)
	p.Asked++
	if r.URL.Query().Get(api.ServersToken) == "" && len(p.reads) < mostReads {
		p.reads = append(p.reads, call{now, p.caller})
	}
	if p.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if float64(len(p.calls)) > p.rate {
		p.Refused++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	var old view
	for _, v := range p.views {
		if !v.at.After(now.Add(-p.lag)) || len(old.rows) == 0 && now.Sub(p.o.began) < 2*p.lag {
			old = v
		}
	}
	rows := old.rows
	if zone := r.URL.Query().Get(api.ServersZone); zone != "" {
		rows = nil
		for _, x := range old.rows {
			if x.s.Zone == zone {
				rows = append(rows, x)
			}
		}
	}
	from, _ := strconv.Atoi(r.URL.Query().Get(api.ServersToken))
	from = min(from, len(rows))
	to := min(from+pageRows, len(rows))
	page := api.Page{Table: api.Table{Cols: []string{"backend", "address", "zone", "gen", "capacity", "state", "warm_left_ms", "id"}, Rows: [][]any{}}}
	for _, x := range rows[from:to] {
		x.s.mu.Lock()
		warm := x.s.coldAt(now).Milliseconds()
		x.s.mu.Unlock()
		page.Table.Rows = append(page.Table.Rows, []any{x.s.Service, x.s.Address, x.s.Zone, "v1", x.s.spec.Capacity, x.state, warm, x.s.ID})
	}
	if to < len(rows) {
		token := strconv.Itoa(to)
		page.NextToken = &token
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// ListsCaller is the node that called for the list last.
func (o *Cluster) ListsCaller() *Node {
	o.Platform.mu.Lock()
	defer o.Platform.mu.Unlock()
	for _, n := range o.Cores() {
		if n.machine.IP() == o.Platform.caller {
			return n
		}
	}
	return nil
}
