package peerlink

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Limits of a connection.
const (
	MostFrame  = 8 << 20 // bytes of one frame
	mostFrames = 256     // queued
	mostBytes  = 32 << 20
	chunk      = 64 << 10 // bytes that each have the whole silence to come, or to go
	Silence    = 1200 * time.Millisecond
)

// Errors of Send.
var (
	ErrFull   = errors.New("peerlink: the other side does not read")
	ErrClosed = errors.New("peerlink: connection closed")
	ErrLarge  = errors.New("peerlink: frame too large")
)

// Conn is a connection between two processes of the system. Send is safe for concurrent use; only one goroutine may call
// Receive.
type Conn struct {
	c       net.Conn
	clock   world.Clock
	silence atomic.Int64

	mu     sync.Mutex
	enc    *gob.Encoder // writes to queue
	queue  *bytes.Buffer
	frames int // queued or being written
	bytes  int
	ending bool // no more is taken
	closed bool
	wake   chan struct{}
	done   chan struct{}

	in   *bufio.Reader
	text bytes.Buffer // one frame
	dec  *gob.Decoder // reads from text
}

// encTo lets the encoder write to whichever buffer is the queue.
type encTo struct{ c *Conn }

func (e encTo) Write(b []byte) (int, error) { return e.c.queue.Write(b) }

// New makes a Conn of an open connection, which it owns from then on.
func New(c net.Conn, clock world.Clock) *Conn {
	x := &Conn{c: c, clock: clock, queue: &bytes.Buffer{}, wake: make(chan struct{}, 1), done: make(chan struct{}), in: bufio.NewReader(c)}
	x.silence.Store(int64(Silence))
	x.enc, x.dec = gob.NewEncoder(encTo{x}), gob.NewDecoder(&x.text)
	go x.write()
	return x
}

// Remote returns the other side's address.
func (c *Conn) Remote() string { return c.c.RemoteAddr().String() }

// Done returns a channel that is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// SetSilence sets the read timeout: for how long the other side may send nothing; 0: for ever.
func (c *Conn) SetSilence(d time.Duration) {
	c.silence.Store(int64(d))
	c.await()
}

func (c *Conn) deadline() time.Time {
	if d := time.Duration(c.silence.Load()); d > 0 {
		return c.clock.Now().Add(d)
	}
	return time.Time{}
}

func (c *Conn) await() { _ = c.c.SetReadDeadline(c.deadline()) } // fails on a closed connection only, as the read will

// Send queues a frame and never waits. The frame may be changed afterwards.
func (c *Conn) Send(f *Frame) error {
	c.mu.Lock()
	err := c.enqueue(f)
	c.mu.Unlock()
	if err != nil && err != ErrClosed {
		_ = c.Close()
	}
	return err
}

func (c *Conn) enqueue(f *Frame) error {
	if c.closed || c.ending {
		return ErrClosed
	}
	if c.frames >= mostFrames || c.bytes >= mostBytes {
		return ErrFull
	}
	from := c.queue.Len()
	c.queue.Write(make([]byte, 4))
	if err := c.enc.Encode(f); err != nil {
		return errors.Wrap(err, "peerlink: encode")
	}
	n := c.queue.Len() - from
	if n-4 > MostFrame {
		return ErrLarge
	}
	binary.BigEndian.PutUint32(c.queue.Bytes()[from:], uint32(n-4))
	c.frames++
	c.bytes += n
	c.rouse()
	return nil
}

func (c *Conn) rouse() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write sends what is queued, all that there is at once.
func (c *Conn) write() {
	spare := &bytes.Buffer{}
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		c.mu.Lock()
		out, frames, ending := c.queue, c.frames, c.ending
		c.queue = spare
		c.mu.Unlock()
		size := out.Len()
		for b := out.Bytes(); len(b) > 0; {
			k := min(len(b), chunk)
			if c.c.SetWriteDeadline(c.deadline()) != nil {
				break
			}
			if _, err := c.c.Write(b[:k]); err != nil {
				_ = c.Close()
				return
			}
			b = b[k:]
		}
		if out.Reset(); out.Cap() > chunk {
			out = &bytes.Buffer{}
		}
		spare = out
		c.mu.Lock()
		c.frames -= frames
		c.bytes -= size
		c.mu.Unlock()
		if ending {
			_ = c.Close()
			return
		}
	}
}

// Receive waits for the next frame. After an error the connection is closed.
func (c *Conn) Receive() (*Frame, error) {
	f, err := c.receive()
	if err != nil {
		_ = c.Close()
	}
	return f, err
}

func (c *Conn) receive() (*Frame, error) {
	c.await()
	var head [4]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return nil, errors.Wrap(err, "peerlink: receive")
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n > MostFrame {
		return nil, ErrLarge
	}
	c.text.Reset()
	for n > 0 {
		k := min(n, chunk)
		if _, err := io.CopyN(&c.text, c.in, k); err != nil {
			return nil, errors.Wrap(err, "peerlink: receive")
		}
		if n -= k; n > 0 {
			c.await()
		}
	}
	f := &Frame{}
	if err := c.dec.Decode(f); err != nil {
		return nil, errors.Wrap(err, "peerlink: decode")
	}
	if f.Change != nil {
		if err := f.Change.unpack(); err != nil {
			return nil, err
		}
	}
	if c.text.Len() > 0 {
		return nil, errors.Errorf("peerlink: decode: %d bytes left over", c.text.Len())
	}
	if c.text.Cap() > chunk {
		c.text = bytes.Buffer{}
	}
	return f, nil
}

// Finish sends what is queued, for at most d, and closes the connection.
func (c *Conn) Finish(d time.Duration) {
	c.mu.Lock()
	c.ending = true
	c.rouse()
	c.mu.Unlock()
	t := c.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.done:
	case <-t.C():
		_ = c.Close()
	}
}

// Close ends the connection; what is queued is lost.
func (c *Conn) Close() error {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return nil
	}
	close(c.done)
	return c.c.Close()
}
