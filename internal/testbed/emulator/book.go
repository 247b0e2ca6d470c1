package emulator

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Request is one try of a client, with all that was seen of it.
type Request struct {
	ID, Host, Path, Method, Key, Body string
	Kind                              string
	Zone, Region                      string // the client's
	Proxy                             *Node
	Sent, Written, Ended              time.Time
	Deadline                          time.Duration
	Status                            int // 0: no whole answer
	Seal, Got                         string
	End                               string    // how it ended without an answer
	Probe                             bool      // asked by the story, not by the traffic
	Left                              time.Time // when its client closed the connection unanswered; zero: it did not
	First                             *Request  // the first try for the same; nil: this is it
	Route                             string    // the client's name for what it asks
	Aim                               time.Duration
	Arrivals                          []*Arrival
}

// Arrival is a request at a server.
type Arrival struct {
	Server  *Server
	At      time.Time
	Ran     time.Time // when work began; zero: it did not
	Would   time.Time // when the work would end
	Stopped time.Time // when it was given up because the connection had gone; zero: it was not
	Done    time.Time
	Status  int
	Seal    string
	Body    string // of the answer
	Broke   bool   // the server broke off, or spoilt its answer
	Tenant  string
	Cold    bool
	Changed string // what of the request was not as sent
}

type orderKind int

const (
	replaced orderKind = iota
	evacuated
	finished
)

// order is one of the operator's.
type order struct {
	kind         orderKind
	word         *Word
	zone         string
	sent, acked  time.Time
	refusedAsBad bool
}

// term is an order to a node to end.
type term struct {
	n  *Node
	at time.Time
}

// Break is a broken rule.
type Break struct {
	Rule, What string
	Q          *Request
	o          *Cluster
}

// Book is what the stand-ins saw.
type Book struct {
	o *Cluster

	mu       sync.Mutex
	requests map[string]*Request
	all      []*Request
	seals    map[string]*Arrival
	orders   []*order
	terms    []term
	breaks   []Break
	lonely   []lone
	last     []byte // configuration read back
	read     bool
	closing  span // from the closing fault until all machines are back; zero: there was none
}

func newBook(o *Cluster) *Book {
	return &Book{o: o, requests: map[string]*Request{}, seals: map[string]*Arrival{}}
}

// fault notes a process that has ended by itself.
func (b *Book) fault(n *Node, role Role, err error) {
	b.note("%s %s ended by itself: %v", n.Name, role, err)
}

// faults tells of processes that are in trouble, for a message that says more.
func (b *Book) faults() (text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.breaks {
		text += "; " + k.What
	}
	return text
}

// note adds a break that no request is to blame for.
func (b *Book) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaks = append(b.breaks, Break{Rule: "FAULT", What: fmt.Sprintf(format, args...), o: b.o})
}

func (b *Book) broken(rule string, q *Request, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(rule, q, "%s", what)
}

// add notes a broken rule; the mutex is held.
func (b *Book) add(rule string, q *Request, format string, args ...any) {
	b.breaks = append(b.breaks, Break{rule, fmt.Sprintf(format, args...), q, b.o})
}

func (b *Book) term(n *Node, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = append(b.terms, term{n, at})
}

// lone is a wish for which no proxy was known.
type lone struct {
	at    time.Time
	route string
}

func (b *Book) homeless(x wish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lonely = append(b.lonely, lone{time.Now(), x.route.Name})
}

func (b *Book) sent(q *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.Sent = time.Now()
	b.requests[q.ID] = q
	b.all = append(b.all, q)
}

func (b *Book) wrote(q *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.Written = time.Now()
}

func (b *Book) ended(q *Request, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.Ended, q.End = time.Now(), how
}

func (b *Book) answer(q *Request, status int, seal, body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.Ended, q.Status, q.Seal, q.Got = time.Now(), status, seal, body
}

// arrive notes a request at a server.
func (b *Book) arrive(s *Server, r *http.Request, body string) *Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.mu.Lock()
	a := &Arrival{Server: s, At: time.Now(), Tenant: r.Header.Get("Tenant"), Cold: s.coldAt(time.Now()) > 0}
	s.mu.Unlock()
	q := b.requests[r.Header.Get("Attempt-Id")]
	if q == nil {
		b.add("UNASKED", nil, "%s got %s %s with the id %q that no client sent", s.ID, r.Method, r.RequestURI, r.Header.Get("Attempt-Id"))
		return a
	}
	q.Arrivals = append(q.Arrivals, a)
	for _, x := range [][3]string{{"method", q.Method, r.Method}, {"path", q.Path, r.RequestURI}, {"host", q.Host, r.Host}, {"body", q.Body, body},
		{"key", "", r.Header.Get("X-Api-Key")}, {"field", "t-" + q.ID[8:], r.Header.Get("X-Trace")}} {
		if x[1] != x[2] {
			a.Changed += fmt.Sprintf("%s %q, sent was %q; ", x[0], x[2], x[1])
		}
	}
	return a
}

// kind is that of a client's request, by its id.
func (b *Book) kind(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.requests[id]; q != nil {
		return q.Kind
	}
	return ""
}

// ran notes that work on a request begins, for so long.
func (b *Book) ran(a *Arrival, work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Ran = time.Now()
	a.Would = a.Ran.Add(work)
}

// stopped notes that work on a request is given up, since the connection it came by has gone.
func (b *Book) stopped(a *Arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Stopped = time.Now()
}

// left notes that a client closes its connection before it has an answer.
func (b *Book) left(q *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.Ended.IsZero() {
		q.Left = time.Now()
	}
}

// hasLeft tells whether a request's client did.
func (b *Book) hasLeft(q *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !q.Left.IsZero()
}

func (b *Book) answered(a *Arrival, status int, seal, body string, broke bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Done, a.Status, a.Seal, a.Body, a.Broke = time.Now(), status, seal, body, broke
	if seal != "" {
		b.seals[seal] = a
	}
}

// order notes an order that is about to be sent.
func (b *Book) order(x *order) *order {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.sent = time.Now()
	b.orders = append(b.orders, x)
	return x
}

func (b *Book) outcome(x *order, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case status == 200:
		x.acked = time.Now()
	case status/100 == 4:
		x.refusedAsBad = true
	}
}

func (b *Book) shown(body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last, b.read = body, true
}

// Served counts the requests sent in a stretch of time that were answered with success, and all of them.
// A client's further tries count as the first.
func (b *Book) Served(from, to time.Time) (served, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.all {
		if q.Sent.Before(from) || q.Sent.After(to) {
			continue
		}
		all++
		if q.Status/100 == 2 {
			served++
		}
	}
	return served, all
}

// Answers counts how requests ended since a moment.
func (b *Book) Answers(since time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ends := map[string]int{}
	for _, q := range b.all {
		if !q.Sent.Before(since) {
			ends[fmt.Sprint(q.Status, " ", q.End)]++
		}
	}
	ends["no proxy known"] = len(b.lonely)
	var out []string
	for _, k := range slices.Sorted(maps.Keys(ends)) {
		out = append(out, fmt.Sprintf("%6d %s", ends[k], k))
	}
	return strings.Join(out, "\n")
}

func (k Break) String() string {
	if k.Q == nil {
		return k.Rule + ": " + k.What
	}
	return fmt.Sprintf("%s: %s: %s\n%s", k.Rule, k.Q.ID, k.What, k.Q.way(k.o))
}

// way tells through which processes a request went, and when.
func (q *Request) way(o *Cluster) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %9v  %s client: %s %s%s key=%q kind=%s, %v to go\n", o.Since(q.Sent), q.Zone, q.Method, q.Host, q.Path, q.Key, q.Kind, q.Deadline.Round(time.Millisecond))
	if q.Proxy != nil {
		fmt.Fprintf(&b, "  %9v  %s proxy\n", o.Since(q.Written), q.Proxy.Name)
	}
	for _, a := range q.Arrivals {
		fmt.Fprintf(&b, "  %9v  %s %s %s in %s, tenant=%q", o.Since(a.At), a.Server.ID, a.Server.Service, a.Server.Address, a.Server.Zone, a.Tenant)
		if !a.Ran.IsZero() {
			fmt.Fprintf(&b, ", ran %v", o.Since(a.Ran))
		}
		if !a.Done.IsZero() {
			fmt.Fprintf(&b, ", %d at %v", a.Status, o.Since(a.Done))
		}
		if a.Broke {
			b.WriteString(", spoilt")
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "  %9v  client: %d %s", o.Since(q.Ended), q.Status, q.End)
	return b.String()
}

func (x *order) String(o *Cluster) string {
	what := x.zone
	if x.word != nil {
		what = string(x.word.Body())
	}
	return fmt.Sprintf("%v order %d %s, acknowledged %v, refused %v", o.Since(x.sent), x.kind, what, o.Since(x.acked), x.refusedAsBad)
}
