package node

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// halting gives a byte at a time, with a time-out ahead of each.
type halting struct {
	b     []byte
	ready bool
}

func (h *halting) Read(b []byte) (int, error) {
	if h.ready = !h.ready; !h.ready || len(h.b) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b[:1], h.b)
	h.b = h.b[n:]
	return n, nil
}

// A body's pieces are the same however often reading them had to stop.
func TestPiecesAfterTimeOuts(t *testing.T) {
	want := content(3 * bodyWindow)
	_, wire := enframed(want, true)
	s := messageReader{src: io.MultiReader(bytes.NewReader(wire[:bodyWindow+100]), &halting{b: wire[bodyWindow+100:]}), maxBody: len(want), window: bodyWindow}
	got, err := s.readBody(&head{length: -1})
	got = bytes.Clone(got)
	for stops := 0; stops < 4*len(wire) && s.unread(); stops++ {
		var p []byte
		if p, err = s.piece(); err != nil {
			assert.Equal(t, err, os.ErrDeadlineExceeded)
		}
		got = append(got, p...)
	}
	assert.Assert(t, !s.unread() && bytes.Equal(got, want), "%d bytes", len(got))
}

// breaking takes so many bytes and breaks.
type breaking struct {
	net.Conn
	left int
}

func (c *breaking) Write(b []byte) (int, error) {
	n := min(c.left, len(b))
	if c.left -= n; n < len(b) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}
func (c *breaking) SetWriteDeadline(time.Time) error { return nil }
func (c *breaking) SetReadDeadline(time.Time) error  { return nil }
func (c *breaking) Peek() world.Peeked               { return world.PeekQuiet }

// With any byte of the end of a body in chunks written the server may take the request for whole.
func TestEndOfChunksMayRun(t *testing.T) {
	u := &upstream{clock: newClock(world.Real{})}
	const rest = "3\r\nabc\r\n"
	for n, code := range map[int]policy.Code{0: policy.ConnectFailed, len(rest): policy.ConnectFailed, len(rest) + 1: policy.Reset, len(rest) + 4: policy.Reset} {
		s := &server{clock: u.clock, events: make(chan any, 1)}
		s.tune.Store(&Tuning{BodyStall: time.Second})
		cc := &clientConn{Conn: &breaking{}, input: messageReader{src: bytes.NewReader([]byte("abc\r\n0\r\n\r\n")), maxBody: 99, window: 9, remainder: remainder{left: 3, total: 12, chunks: true}}}
		cc.request.length = -1
		cc.request.managed = &passing{front: front{s: s, cc: cc}}
		_, end := u.upload(&attempt{deadline: u.clock.now() + time.Second}, &upConn{Conn: &breaking{left: n}}, &cc.request)
		assert.Equal(t, end.Code(), code, "%d bytes written", n)
		assert.Assert(t, end.spent)
	}
}
