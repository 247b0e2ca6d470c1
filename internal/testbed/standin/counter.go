package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the counter's line protocol (PROTOCOL, "The counter").
const (
	counterName   = 64  // bytes of a name
	counterAmount = 1e9 // most of one call
	counterLife   = 60 * time.Second
	counterConns  = 32 // connections of one address
	counterLine   = 256
)

// Counter is the service that keeps numbers by name, on its line protocol.
type Counter struct {
	world Outside
	ln    net.Listener
	wg    sync.WaitGroup

	mu    sync.Mutex
	names map[string]*number
	conns map[net.Conn]string
	calls int
	fault CounterFault
	delay time.Duration
	sweep time.Time
}

type number struct {
	total float64
	until time.Time
}

// CounterFault is a way in which the counter fails.
type CounterFault int

// The counter's faults.
const (
	CounterWell    CounterFault = iota
	CounterBusy                 // turns every call away, nothing added
	CounterDeaf                 // adds, and answers nothing
	CounterLost                 // neither adds nor answers
	CounterCut                  // adds, then resets the connection
	CounterGarbage              // adds, and answers what is no answer
)

// StartCounter opens a counter at an address.
func StartCounter(w Outside, addr string) (*Counter, error) {
	ln, err := w.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("counter: %w", err)
	}
	c := &Counter{world: w, ln: ln, names: map[string]*number{}, conns: map[net.Conn]string{}}
	c.wg.Add(1)
	go c.accept()
	return c, nil
}

// Addr is where it listens.
func (c *Counter) Addr() string { return c.ln.Addr().String() }

// Close ends it and its connections.
func (c *Counter) Close() {
	c.ln.Close()
	c.mu.Lock()
	for conn := range c.conns {
		reset(conn)
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// Fail sets how it fails from now on, and how long each answer takes.
func (c *Counter) Fail(f CounterFault, delay time.Duration) {
	c.mu.Lock()
	c.fault, c.delay = f, delay
	c.mu.Unlock()
}

// Forget makes it start from nothing, as a fresh copy does.
func (c *Counter) Forget() {
	c.mu.Lock()
	c.names = map[string]*number{}
	c.mu.Unlock()
}

// Total returns a name's total; 0 where there is none.
func (c *Counter) Total(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.names[name]; n != nil && c.world.Now().Before(n.until) {
		return n.total
	}
	return 0
}

// Calls returns how many calls came.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *Counter) accept() {
	defer c.wg.Done()
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		c.mu.Lock()
		held := 0
		for _, h := range c.conns {
			if h == host {
				held++
			}
		}
		if held < counterConns {
			c.conns[conn] = host
		}
		c.mu.Unlock()
		if held >= counterConns {
			reset(conn)
			continue
		}
		c.wg.Add(1)
		go c.serve(conn)
	}
}

func (c *Counter) serve(conn net.Conn) {
	defer c.wg.Done()
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, counterLine)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				_, _ = conn.Write([]byte("error\r\n"))
			}
			return
		}
		c.mu.Lock()
		ans, fault, delay := c.call(strings.TrimSuffix(string(line), "\r\n")), c.fault, c.delay
		c.mu.Unlock()
		if delay > 0 {
			t := c.world.NewTimer(delay)
			<-t.C()
		}
		switch fault {
		case CounterDeaf, CounterLost:
			continue
		case CounterCut:
			reset(conn)
			return
		case CounterGarbage:
			ans = "o\x00k -NaN"
		}
		if _, err := conn.Write([]byte(ans + "\r\n")); err != nil {
			return
		}
	}
}

// call carries out a line.
func (c *Counter) call(line string) string {
	if line == "ping" {
		return "pong"
	}
	c.calls++
	w := strings.Split(line, " ")
	if len(w) != 4 || w[0] != "bump" || len(w[1]) == 0 || len(w[1]) > counterName {
		return "error"
	}
	amount, err := strconv.ParseFloat(w[2], 64)
	life, err2 := strconv.Atoi(w[3])
	if err != nil || err2 != nil || !(amount >= -counterAmount && amount <= counterAmount) || life < 1 {
		return "error"
	}
	switch c.fault {
	case CounterBusy:
		return "busy"
	case CounterLost:
		return ""
	}
	now := c.world.Now()
	if now.Sub(c.sweep) > counterLife {
		for name, n := range c.names {
			if !now.Before(n.until) {
				delete(c.names, name)
			}
		}
		c.sweep = now
	}
	n := c.names[w[1]]
	if n == nil || !now.Before(n.until) {
		n = &number{until: now.Add(min(counterLife, time.Duration(life)*time.Millisecond))}
		c.names[w[1]] = n
	}
	n.total += amount
	return "ok " + strconv.FormatFloat(n.total, 'g', 7, 64)
}
