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
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request as a loan server read it.
type Request struct {
	*http.Request
	Content string
	Began   time.Time // when its first byte had come
	Nth     int       // on its connection, from 1
}

// Raw is a server of HTTP/1.1 messages that does with each request what a
// function says: the plainest stand-in for a loan server.
type Raw struct {
	do    func(c net.Conn, r *Request) bool
	now   func() time.Time
	idle  time.Duration
	most  int
	wg    sync.WaitGroup
	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}

	Accepted atomic.Int64 // connections
	Seen     atomic.Int64 // requests that came whole
	Ended    atomic.Int64 // connections that the other side ended
}

// ServeRaw listens at an address. do answers a request on the connection and
// returns false to end it.
func ServeRaw(w Outside, addr string, do func(c net.Conn, r *Request) bool) (*Raw, error) {
	return serveRaw(w, addr, do, 0, 0)
}

// serveRaw also closes connections that are idle for so long, and resets new
// ones beyond so many; 0: neither.
func serveRaw(w Outside, addr string, do func(c net.Conn, r *Request) bool, idle time.Duration, most int) (*Raw, error) {
	ln, err := w.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("loan server: %w", err)
	}
	r := &Raw{do: do, now: w.Now, ln: ln, idle: idle, most: most, conns: map[net.Conn]struct{}{}}
	r.wg.Add(1)
	go r.accept(ln)
	return r, nil
}

// Addr is where it listens.
func (s *Raw) Addr() string { return s.ln.Addr().String() }

// Close stops listening, resets all connections and waits for what serves them.
func (s *Raw) Close() {
	s.cut()
	s.wg.Wait()
}

func (s *Raw) cut() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
}

// Connections returns how many are open.
func (s *Raw) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Raw) accept(ln net.Listener) {
	defer s.wg.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := s.most > 0 && len(s.conns) >= s.most
		if !full {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if full {
			reset(c)
			continue
		}
		s.Accepted.Add(1)
		s.wg.Add(1)
		go s.serve(c)
	}
}

func (s *Raw) serve(c net.Conn) {
	defer s.wg.Done()
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for n := 1; ; n++ {
		if s.idle > 0 {
			_ = c.SetReadDeadline(s.now().Add(s.idle))
		}
		if _, err := br.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
				s.Ended.Add(1)
			}
			return
		}
		began := s.now()
		_ = c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(br)
		if err != nil {
			s.Ended.Add(1)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			s.Ended.Add(1)
			return
		}
		s.Seen.Add(1)
		if !s.do(c, &Request{Request: r, Content: string(body), Began: began, Nth: n}) {
			return
		}
	}
}

// Answer returns a function for ServeRaw that gives every request the same
// answer. Headers end in CRLF each.
func Answer(status, headers, body string) func(net.Conn, *Request) bool {
	return func(c net.Conn, _ *Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		return err == nil
	}
}

// Deaf reads requests and never answers.
func Deaf(net.Conn, *Request) bool { return true }

// Refusing returns an address of this machine where nothing listens.
func Refusing(w Outside) (string, error) {
	ln, err := w.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
