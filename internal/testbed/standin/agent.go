package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/audit"
)

// Target is a line of the roster in discovery's form (PROTOCOL, "Discovery").
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

const gone = "DELETED"

var stateNames = map[audit.State]string{audit.Serving: "SERVING", audit.Draining: "DRAINING", audit.Gone: gone}

// Roster is the truth about the loan servers; agents tell edge nodes of it.
type Roster struct {
	site *Site

	mu      sync.Mutex
	rev     int64
	entries map[string]entry // by uid
	news    chan struct{}    // closed at a change
}

type entry struct {
	Target
	rev int64
	at  time.Time // of the change
}

// NewRoster begins with the targets given.
func (s *Site) NewRoster(list ...Target) *Roster {
	r := &Roster{site: s, rev: 1, entries: map[string]entry{}, news: make(chan struct{})}
	for _, t := range list {
		r.entries[t.UID] = entry{t, 1, time.Time{}}
	}
	return r
}

// Put changes lines or adds them; one whose state is DELETED goes.
func (r *Roster) Put(list ...Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev++
	for _, t := range list {
		r.entries[t.UID] = entry{t, r.rev, r.site.world.Now()}
	}
	close(r.news)
	r.news = make(chan struct{})
}

// answer is discovery's message.
type answer struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// since returns what changed after a version and is at least as old as lag;
// a version below 0 asks for the whole list.
func (r *Roster) since(rev int64, lag time.Duration) (a answer, news <-chan struct{}, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.site.world.Now()
	a = answer{Rev: max(rev, 1), All: rev < 0, Targets: []Target{}}
	hidden := int64(0) // the oldest change that the lag still hides
	for _, e := range r.entries {
		if age := now.Sub(e.at); !e.at.IsZero() && age < lag {
			if hidden == 0 || e.rev < hidden {
				hidden = e.rev
			}
			if left := lag - age; wait == 0 || left < wait {
				wait = left
			}
		}
	}
	for _, e := range r.entries {
		if hidden > 0 && e.rev >= hidden {
			continue
		}
		a.Rev = max(a.Rev, e.rev)
		if a.All && e.State != gone || !a.All && e.rev > rev {
			a.Targets = append(a.Targets, e.Target)
		}
	}
	slices.SortFunc(a.Targets, func(x, y Target) int { return cmpString(x.UID, y.UID) })
	return a, r.news, wait
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Agent is the discovery agent on one edge node's machine.
type Agent struct {
	roster *Roster
	node   string
	http   *http.Server
	ln     net.Listener

	mu     sync.Mutex
	lag    time.Duration
	silent bool
	wake   chan struct{} // closed when lag or silence change
	calls  int
	known  map[string]bool // uids told to the edge node and not gone since
	broken string          // what it answers instead, when not empty
	status int             // what it answers with no list, when not 0
}

// StartAgent opens the agent of an edge node at an address.
func (r *Roster) StartAgent(node, addr string) (*Agent, error) {
	ln, err := r.site.world.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery agent: %w", err)
	}
	a := &Agent{roster: r, node: node, ln: ln, wake: make(chan struct{}), known: map[string]bool{}}
	a.http = &http.Server{Handler: a, ReadHeaderTimeout: writeLimit}
	go func() { _ = a.http.Serve(ln) }()
	return a, nil
}

// Addr is where it listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close ends it.
func (a *Agent) Close() { a.http.Close() }

// Calls returns how often it was asked.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func (a *Agent) set(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	close(a.wake)
	a.wake = make(chan struct{})
}

// Lag sets how old a change is before the edge node can be told of it.
func (a *Agent) Lag(d time.Duration) { a.set(func() { a.lag = d }) }

// Silence makes it answer nothing while on.
func (a *Agent) Silence(on bool) { a.set(func() { a.silent = on }) }

// Break makes it answer with status 200 and these bytes; empty ends that.
func (a *Agent) Break(body string) { a.set(func() { a.broken = body }) }

// Fail makes it answer with a status and no list; 0 ends that.
func (a *Agent) Fail(status int) { a.set(func() { a.status = status }) }

// ServeHTTP answers a call or a watch.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.calls++
	a.mu.Unlock()
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	since, limit, err := watchOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var end <-chan time.Time
	if since >= 0 {
		t := a.roster.site.world.NewTimer(limit)
		defer t.Stop()
		end = t.C()
	}
	for {
		a.mu.Lock()
		lag, silent, wake, broken, status := a.lag, a.silent, a.wake, a.broken, a.status
		a.mu.Unlock()
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		if broken != "" {
			_, _ = w.Write([]byte(broken))
			return
		}
		ans, news, left := a.roster.since(since, lag)
		if !silent && (since < 0 || len(ans.Targets) > 0) {
			a.tell(w, ans)
			return
		}
		var hidden <-chan time.Time
		if left > 0 {
			t := a.roster.site.world.NewTimer(left)
			defer t.Stop()
			hidden = t.C()
		}
		select {
		case <-r.Context().Done():
			return
		case <-wake:
		case <-news:
		case <-hidden:
		case <-end:
			if !silent {
				a.tell(w, ans)
				return
			}
			end = nil
		}
	}
}

func watchOf(r *http.Request) (since int64, limit time.Duration, err error) {
	q := r.URL.Query()
	if !q.Has("since") {
		return -1, 0, nil
	}
	if since, err = strconv.ParseInt(q.Get("since"), 10, 64); err != nil {
		return 0, 0, fmt.Errorf("since: %w", err)
	}
	ms, err := strconv.Atoi(q.Get("timeout_ms"))
	if err != nil || ms < 0 || ms > 60_000 {
		return 0, 0, fmt.Errorf("timeout_ms: %q", q.Get("timeout_ms"))
	}
	return since, time.Duration(ms) * time.Millisecond, nil
}

// tell writes an answer and notes what the edge node has been told.
func (a *Agent) tell(w http.ResponseWriter, ans answer) {
	b, err := json.Marshal(ans)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if _, err := w.Write(b); err != nil {
		return
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	told := map[string]bool{}
	for _, t := range ans.Targets {
		told[t.UID] = true
		state := audit.Serving
		for s, name := range stateNames {
			if name == t.State {
				state = s
			}
		}
		a.known[t.UID] = state != audit.Gone
		a.roster.site.notary.Note(audit.Told{Node: a.node, Server: t.UID, State: state, Started: t.BootMS > 0})
	}
	if !ans.All {
		return
	}
	for uid, on := range a.known {
		if on && !told[uid] {
			a.known[uid] = false
			a.roster.site.notary.Note(audit.Told{Node: a.node, Server: uid, State: audit.Gone})
		}
	}
}
