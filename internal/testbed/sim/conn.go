package sim

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// window is how much may be on its way in one direction before a writer waits.
const window = 64 << 10

// pipe is one direction of a connection. Bytes arrive in order, each piece
// after its latency.
type pipe struct {
	net      *Net
	from, to string // machines; empty: not told
	mate     *pipe  // the other direction, where they are told

	mu      sync.Mutex
	wake    *sync.Cond
	data    []byte  // arrived and not read
	way     []piece // not arrived yet
	sent    int     // bytes in data and way
	ended   bool    // the writer has ended its sending, and that has arrived
	broken  error   // reset: neither side gets any further
	silent  bool    // nothing arrives any more, and nobody is told
	left    bool    // the reader is gone: what arrives is met by a reset
	held    int     // pieces that a barrier holds up
	arrives time.Time
}

// piece is what one write has put on the way; the end of sending has no bytes.
type piece struct {
	bytes []byte
	end   bool
}

func newPipe() *pipe {
	p := &pipe{}
	p.wake = sync.NewCond(&p.mu)
	return p
}

// put sends bytes, or the end, on their way.
func (p *pipe) put(x piece) {
	now := time.Now()
	if at := p.net.arrival(p.from, p.to, len(x.bytes), now); at.After(p.arrives) {
		p.arrives = at
	}
	p.way = append(p.way, x)
	p.sent += len(x.bytes)
	time.AfterFunc(p.arrives.Sub(now), p.arrive)
}

// arrive hands the next piece over.
func (p *pipe) arrive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent || len(p.way) == 0 {
		return
	}
	if p.stopped() {
		p.held++
		return
	}
	x := p.way[0]
	p.way = p.way[1:]
	if p.left && !x.end {
		p.net.tell(p.to, p.from, func() {
			p.reset(syscall.ECONNRESET)
			p.mate.reset(syscall.ECONNRESET)
		})
		return
	}
	p.data = append(p.data, x.bytes...)
	p.ended = p.ended || x.end
	p.wake.Broadcast()
}

// stopped tells whether a barrier holds up what arrives, and has it sent again once that is over.
func (p *pipe) stopped() bool {
	if p.from == "" {
		return false
	}
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.barred(p.from, p.to) {
		return false
	}
	n.held = append(n.held, func() {
		p.mu.Lock()
		again := p.held > 0
		p.held = max(0, p.held-1)
		p.mu.Unlock()
		if again {
			time.AfterFunc(n.latencyFrom(p.from, p.to), p.arrive)
		}
	})
	return true
}

func (p *pipe) reset(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = err
	}
	p.wake.Broadcast()
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

// limit is a deadline that wakes whoever waits.
type limit struct {
	at    time.Time
	timer *time.Timer
}

func (l *limit) set(t time.Time, p *pipe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	l.at = t
	if left := time.Until(t); !t.IsZero() && left > 0 { // else all are woken below
		l.timer = time.AfterFunc(left, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.wake.Broadcast()
		})
	}
	p.wake.Broadcast()
}

func (l *limit) over() bool { return !l.at.IsZero() && !time.Now().Before(l.at) }

// conn is one end of a connection.
type conn struct {
	net           *Net
	in, out       *pipe
	local, remote net.Addr
	read, write   limit // under the pipes' mutexes
	once          sync.Once
	closed        atomic.Bool
	peer          *conn
	owner         *Process // nil: no process of a machine
}

func (c *conn) fault(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Read takes what has arrived, and waits for it.
func (c *conn) Read(b []byte) (int, error) {
	p := c.in
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case c.closed.Load():
			return 0, c.fault("read", net.ErrClosed)
		case c.read.over():
			return 0, c.fault("read", os.ErrDeadlineExceeded)
		case len(p.data) > 0:
			n := copy(b, p.data)
			p.data = p.data[n:]
			p.sent -= n
			p.wake.Broadcast()
			return n, nil
		case p.broken != nil:
			return 0, c.fault("read", p.broken)
		case p.ended:
			return 0, io.EOF
		}
		p.wake.Wait()
	}
}

// Write puts bytes on their way; it waits while the window is full.
func (c *conn) Write(b []byte) (n int, err error) {
	p := c.out
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(b) > 0 {
		switch {
		case c.closed.Load():
			return n, c.fault("write", net.ErrClosed)
		case p.broken != nil:
			return n, c.fault("write", p.broken)
		case c.write.over():
			return n, c.fault("write", os.ErrDeadlineExceeded)
		case p.sent >= window:
			p.wake.Wait()
			continue
		}
		k := min(len(b), window-p.sent)
		p.put(piece{bytes: append([]byte(nil), b[:k]...)})
		n, b = n+k, b[k:]
	}
	return n, nil
}

// CloseWrite ends the sending of this side.
func (c *conn) CloseWrite() error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.put(piece{end: true})
	return nil
}

// Close ends the connection. Where bytes were not read, the other side gets a
// reset, as with TCP.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.net.forget(c)
		c.in.mu.Lock()
		c.closed.Store(true)
		unread := len(c.in.data) > 0
		c.in.wake.Broadcast()
		c.in.mu.Unlock()
		c.out.mu.Lock()
		c.out.put(piece{end: true})
		c.out.wake.Broadcast()
		c.out.mu.Unlock()
		switch from, to := c.out.from, c.out.to; {
		case from == "" && unread:
			c.out.reset(syscall.ECONNRESET)
			fallthrough
		case from == "": // what the other side still writes meets a closed connection
			time.AfterFunc(c.net.latency(), func() { c.in.reset(syscall.EPIPE) })
		case unread:
			c.net.tell(from, to, func() {
				c.out.reset(syscall.ECONNRESET)
				c.in.reset(syscall.ECONNRESET)
			})
		default:
			c.in.mu.Lock()
			c.in.left = true
			c.in.mu.Unlock()
		}
		c.read.set(time.Time{}, c.in)
		c.write.set(time.Time{}, c.out)
	})
	return nil
}

// Peek looks at what has arrived.
func (c *conn) Peek() world.Peeked {
	p := c.in
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.closed.Load():
		return world.PeekEnd
	case len(p.data) > 0:
		return world.PeekBytes
	case p.ended || p.broken != nil:
		return world.PeekEnd
	}
	return world.PeekQuiet
}

// PeerClosed tells whether the other side has closed the connection, though that
// may not have arrived: an attempt on it is out no more.
func (c *conn) PeerClosed() bool { return c.peer.closed.Load() }

// Untaken is how many of the bytes written here the other side has not read, on their way or there.
func (c *conn) Untaken() int {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	return c.out.sent
}

// SetLinger with 0 makes Close a reset.
func (c *conn) SetLinger(int) error {
	if c.owner != nil {
		c.abort(true)
		return nil
	}
	c.out.reset(syscall.ECONNRESET)
	c.in.reset(syscall.ECONNRESET)
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	if c.closed.Load() {
		return c.fault("set", net.ErrClosed)
	}
	c.read.set(t, c.in)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	if c.closed.Load() {
		return c.fault("set", net.ErrClosed)
	}
	c.write.set(t, c.out)
	return nil
}
