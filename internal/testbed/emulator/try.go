package emulator

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// line is a client's connection to a proxy.
type line struct {
	c  net.Conn
	in *bufio.Reader
}

// ending is what a client makes of a try beside its answer.
type ending struct {
	node       bool // the proxy has failed it
	unread     bool // the proxy can't have read the request
	retryAfter time.Duration
}

// purse holds idle connections by proxy.
type purse struct {
	mu   sync.Mutex
	idle map[string][]*line
}

func newPurse() *purse { return &purse{idle: map[string][]*line{}} }

// take hands out the newest connection to a proxy; nil: there is none.
func (p *purse) take(addr string) *line {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[addr]
	if len(all) == 0 {
		return nil
	}
	p.idle[addr] = all[:len(all)-1]
	return all[len(all)-1]
}

func (p *purse) put(addr string, l *line) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], l)
}

// prune closes the connections to proxies that a list lacks.
func (p *purse) prune(list []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, all := range p.idle {
		if !slices.Contains(list, addr) {
			for _, l := range all {
				l.c.Close()
			}
			delete(p.idle, addr)
		}
	}
}

// held is a proxy to which there is a connection; "": none.
func (p *purse) held() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, all := range p.idle {
		if len(all) > 0 {
			return addr
		}
	}
	return ""
}

// open takes an idle connection or opens one.
func (w *crowd) open(q *Request, p *purse, fresh bool) (*line, error) {
	addr := q.Proxy.Front()
	for p != nil && !fresh {
		l := p.take(addr)
		if l == nil {
			break
		}
		switch world.Peek(l.c) {
		case world.PeekQuiet:
			return l, nil
		case world.PeekBytes:
			w.all.o.Book.broken("MIXED", q, "bytes on a connection where no request waited")
		}
		l.c.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := w.process.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &line{c, bufio.NewReader(c)}, nil
}

// unread tells whether the other side has read none of the last bytes sent, as far as the network can tell.
func (l *line) unread(sent int) bool {
	u, ok := l.c.(interface{ Untaken() int })
	return ok && u.Untaken() >= sent
}

// first waits for the answer's first byte; a repeatable request that nobody reads is given up early.
func (l *line) first(q *Request, until time.Time, sent int) error {
	if q.Kind == "idempotent" {
		_ = l.c.SetReadDeadline(time.Now().Add(min(time.Second, time.Until(until)/3)))
		_, err := l.in.Peek(1)
		if err == nil || !os.IsTimeout(err) || l.unread(sent) {
			return err
		}
		_ = l.c.SetReadDeadline(until)
	}
	_, err := l.in.Peek(1)
	return err
}

// try sends a request and reads its answer. The connection comes from the purse unless it is to be a fresh one, and goes
// there; without a purse it is for this request only.
func (w *crowd) try(q *Request, p *purse, fresh bool) (end ending) {
	book := w.all.o.Book
	l, err := w.open(q, p, fresh)
	if err != nil {
		book.ended(q, "no connection")
		return ending{node: true, unread: true}
	}
	until := q.Sent.Add(q.Deadline)
	_ = l.c.SetDeadline(until)
	sent := q.bytes(until, w.all.o.chance() < 0.3)
	if _, err := l.c.Write(sent); err != nil {
		l.c.Close()
		book.ended(q, "not sent: "+err.Error())
		return ending{node: true, unread: true}
	}
	book.wrote(q)
	if d := w.all.leaves(); d > 0 {
		defer time.AfterFunc(d, func() {
			book.left(q)
			l.c.Close()
		}).Stop()
	}
	var r *http.Response
	if err = l.first(q, until, len(sent)); err == nil {
		r, err = http.ReadResponse(l.in, &http.Request{Method: q.Method})
	}
	if err != nil {
		end.unread = l.unread(len(sent))
		l.c.Close()
		if book.hasLeft(q) {
			book.ended(q, "left")
			return ending{}
		}
		if !time.Now().Before(until) {
			book.ended(q, "deadline")
			return ending{}
		}
		book.ended(q, "no answer: "+err.Error())
		return ending{node: true, unread: end.unread}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		l.c.Close()
		if book.hasLeft(q) {
			book.ended(q, "left")
			return ending{}
		}
		if time.Now().Before(until) {
			book.ended(q, "cut short: "+err.Error())
			return ending{node: true}
		}
		book.ended(q, "deadline")
		return ending{}
	}
	if id := r.Header.Get("Attempt-Id"); id != "" && id != q.ID {
		book.broken("MIXED", q, "an answer with the id "+id)
	}
	if l.in.Buffered() > 0 {
		book.broken("MIXED", q, fmt.Sprintf("%d bytes behind the answer", l.in.Buffered()))
		r.Close = true
	}
	if r.Header.Get("Content-Encoding") != "" {
		book.broken("MIXED", q, "an encoded body")
	}
	book.answer(q, r.StatusCode, r.Header.Get("Server-Seal"), string(body))
	if s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		end.retryAfter = time.Duration(s * float64(time.Second))
	}
	if r.Close || p == nil {
		l.c.Close()
		return end
	}
	p.put(q.Proxy.Front(), l)
	return end
}

// bytes is the request on the wire.
func (q *Request) bytes(until time.Time, chunked bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Trace: t-%s\r\nTenant: nobody\r\n",
		q.Method, q.Path, q.Host, q.ID, time.Until(until).Milliseconds(), q.ID[8:])
	if q.Key != "" {
		fmt.Fprintf(&b, "X-Api-Key: %s\r\n", q.Key)
	}
	switch {
	case q.Body == "":
		b.WriteString("\r\n")
	case chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(q.Body), q.Body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	}
	return b.Bytes()
}
