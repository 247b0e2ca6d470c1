package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/audit"
)

// door is an edge node as clients know it, with the connections they keep.
type door struct {
	front *Front
	NodeAddr

	mu     sync.Mutex
	up     bool
	ending time.Time // when its process was last about to be ended outright
	idle   []*link   // newest last
}

// link is a client's connection.
type link struct {
	net.Conn
	in     *bufio.Reader
	opened time.Time
	used   int // answers that came on it
}

// question is one try as it goes over the wire.
type question struct {
	*loan
	id       string
	retry    bool
	deadline time.Duration
}

// reply is what became of it; status 0: no whole answer.
type reply struct {
	status int
	took   time.Duration
	advice time.Duration
	left   bool // the client went away itself
	book   string
	units  float64
}

func (d *door) isUp() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.up
}

func (d *door) setUp(up bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.up = up
	return up
}

// look asks for healthz and takes the edge node in or out.
func (d *door) look(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, connectLimit)
	defer stop()
	l, err := d.connect(ctx)
	if err != nil {
		return d.setUp(false)
	}
	defer l.Close()
	_ = l.SetDeadline(d.now().Add(connectLimit))
	if _, err := fmt.Fprintf(l, "GET /healthz HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"); err != nil {
		return d.setUp(false)
	}
	resp, err := http.ReadResponse(l.in, nil)
	if err != nil {
		return d.setUp(false)
	}
	resp.Body.Close()
	return d.setUp(resp.StatusCode == http.StatusOK)
}

// outlived tells whether the process that a connection led to was ended
// outright since it was opened.
func (d *door) outlived(l *link) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.ending.Before(l.opened)
}

func (d *door) now() time.Time { return d.front.site.world.Now() }

func (d *door) connect(ctx context.Context) (*link, error) {
	c, err := d.front.site.world.Dial(ctx, "tcp", d.Addr)
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, in: bufio.NewReader(c), opened: d.now()}, nil
}

// take returns a connection that is kept, or a new one. One whose edge node
// has ended it is passed over.
func (d *door) take(fresh bool) (*link, error) {
	d.mu.Lock()
	for len(d.idle) > 0 && !fresh {
		l := d.idle[len(d.idle)-1]
		d.idle = d.idle[:len(d.idle)-1]
		if !hungUp(l.Conn) {
			d.mu.Unlock()
			return l, nil
		}
		l.Close()
	}
	d.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), connectLimit)
	defer stop()
	return d.connect(ctx)
}

func (d *door) keep(l *link) {
	d.mu.Lock()
	d.idle = append(d.idle, l)
	d.mu.Unlock()
}

func (d *door) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.idle {
		l.Close()
	}
	d.idle = nil
}

// ask sends a request; ok is false when the edge node could not be reached.
// One that crosses the end of its connection is sent once more on a new one,
// but not where the edge node's process was killed: it may have been at work.
func (d *door) ask(q *question) (r reply, ok bool) {
	churn := d.front.chance(d.front.cfg.Churn)
	l, err := d.take(churn)
	if err != nil {
		d.setUp(false)
		return reply{}, false
	}
	r, crossed, taken := d.exchange(l, q, churn)
	if crossed {
		d.front.mu.Lock()
		d.front.tally.Crossed++
		d.front.mu.Unlock()
		if l, err = d.take(true); err != nil {
			d.setUp(false)
			return reply{}, false
		}
		r, _, taken = d.exchange(l, q, churn)
	}
	return r, taken
}

// exchange writes a request and reads its answer. crossed tells that the
// connection ended before a byte of the answer, after others were answered on
// it; taken is false when the request could not be written whole.
func (d *door) exchange(l *link, q *question, churn bool) (r reply, crossed, taken bool) {
	f, began := d.front, d.now()
	limit := q.deadline + f.cfg.Patience
	if f.chance(f.cfg.HangUp) {
		r.left = true
		f.mu.Lock()
		limit = time.Duration(f.rnd.Float64() * float64(q.deadline) / 4)
		f.mu.Unlock()
	}
	_ = l.SetDeadline(began.Add(limit))
	asked := audit.Asked{Request: q.id, Node: d.Name, Customer: q.customer.Key, Plan: q.customer.Plan, Class: q.class,
		Key: q.key, Units: q.units, Deadline: q.deadline}
	if q.ask != nil {
		asked.Operation, asked.Query = q.ask.Name, q.query
	}
	f.note(asked)
	if _, err := l.Write(q.message()); err != nil {
		f.note(audit.Unasked{Request: q.id})
		l.Close()
		return r, l.used > 0, false
	}
	_, err := l.in.Peek(1)
	begun := err == nil
	var resp *http.Response
	var body []byte
	if begun {
		if resp, err = http.ReadResponse(l.in, nil); err == nil {
			body, err = io.ReadAll(resp.Body)
		}
	}
	r.took = d.now().Sub(began)
	switch {
	case err == nil:
		r.left = false
		r.status = resp.StatusCode
		if s, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil {
			r.advice = time.Duration(s * float64(time.Second))
		}
		if r.book = resp.Header.Get("Pepperfall-Book"); r.book != "" {
			r.units, _ = strconv.ParseFloat(resp.Header.Get("Pepperfall-Units"), 64)
			f.note(audit.ReadAs{Request: q.id, Revision: r.book, Units: r.units})
		}
		f.note(audit.Answered{Request: q.id, Status: r.status, Genuine: Genuine(string(body), q.id)})
		l.used++
		d.after(l, resp.Close, churn)
		return r, false, true
	case r.left && errors.Is(err, os.ErrDeadlineExceeded):
		f.note(audit.Left{Request: q.id})
		l.Close()
		return r, false, true
	}
	r.left = false
	f.note(audit.Lost{Request: q.id, Reused: l.used > 0 && !errors.Is(err, os.ErrDeadlineExceeded), Begun: begun,
		Age: d.now().Sub(l.opened)})
	crossed = l.used > 0 && !begun && !errors.Is(err, os.ErrDeadlineExceeded) && !d.outlived(l)
	l.Close()
	return r, crossed, true
}

// after puts a connection away once an answer has come.
func (d *door) after(l *link, over, churn bool) {
	switch {
	case over:
		l.Close()
	case churn: // it stands for a while, as some clients' do
		t := d.front.site.world.NewTimer(churnStand)
		d.front.tries.Go(func() {
			defer t.Stop()
			defer l.Close()
			<-t.C()
		})
	default:
		d.keep(l)
	}
}

// message is the request as PROTOCOL has it.
func (q *question) message() []byte {
	if q.ask != nil {
		return q.ordinary()
	}
	method, body := http.MethodGet, ""
	if q.key != "" {
		method, body = http.MethodPost, "loan="+q.id
	}
	b := fmt.Appendf(nil, "%s /%s?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tier: %s\r\n"+
		"Cookie: key=%s\r\nX-Deadline-Ms: %d\r\nX-Call-Terms: units=%.0f,spread=%d,first=%d\r\n", method, q.class, q.id,
		q.class, q.customer.Plan, q.customer.Key, q.deadline.Milliseconds(), q.units, q.customer.Spread, q.customer.First)
	if q.retry {
		b = append(b, "X-Retry: 1\r\n"...)
	}
	if q.key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\nContent-Length: %d\r\n", q.key, len(body))
	}
	return append(append(b, "\r\n"...), body...)
}

// ordinary is a request of a client that knows the description and its key.
func (q *question) ordinary() []byte {
	target := q.path
	if q.query != "" {
		target += "?" + q.query
	}
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: catalogue.example\r\nX-Api-Key: %s\r\nX-Request-Id: %s\r\n", q.ask.Method, target,
		q.customer.APIKey, q.id)
	if q.retry {
		b = append(b, "X-Retry: 1\r\n"...)
	}
	if q.key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", q.key)
	}
	body := ""
	if q.ask.Method != http.MethodGet && q.ask.Method != http.MethodDelete {
		body = "loan=" + q.id
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(body))
	}
	return append(append(b, "\r\n"...), body...)
}
