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

// timeoutReader returns one byte at a time, with a timeout before each.
type timeoutReader struct {
	data  []byte
	ready bool
}

func (h *timeoutReader) Read(b []byte) (int, error) {
	if h.ready = !h.ready; !h.ready || len(h.data) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b[:1], h.data)
	h.data = h.data[n:]
	return n, nil
}

// Timeouts between the pieces of a body must not change what is read.
func TestPiecesAfterTimeOuts(t *testing.T) {
	want := content(3 * bodyWindowBytes)
	_, wire := frameBody(want, true)
	s := messageReader{src: io.MultiReader(bytes.NewReader(wire[:bodyWindowBytes+100]), &timeoutReader{data: wire[bodyWindowBytes+100:]}), maxBody: len(want), window: bodyWindowBytes}
	got, err := s.readBody(&head{length: -1})
	got = bytes.Clone(got)
	for stops := 0; stops < 4*len(wire) && s.hasUnreadBody(); stops++ {
		var p []byte
		if p, err = s.nextPiece(); err != nil {
			assert.Equal(t, err, os.ErrDeadlineExceeded)
		}
		got = append(got, p...)
	}
	assert.Assert(t, !s.hasUnreadBody() && bytes.Equal(got, want), "%d bytes", len(got))
}

// breakingConn accepts the given number of bytes and then fails.
type breakingConn struct {
	net.Conn
	left int
}

func (c *breakingConn) Write(b []byte) (int, error) {
	n := min(c.left, len(b))
	if c.left -= n; n < len(b) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}
func (c *breakingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *breakingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *breakingConn) Peek() world.Peeked               { return world.PeekQuiet }

// Once any byte of a chunked body's last chunk is written, the server may take the request as complete, so the
// attempt must not count as one that never ran.
func TestEndOfChunksMayRun(t *testing.T) {
	u := &upstream{clock: newClock(world.Real{})}
	const rest = "3\r\nabc\r\n"
	for n, code := range map[int]policy.Code{0: policy.ConnectFailed, len(rest): policy.ConnectFailed, len(rest) + 1: policy.Reset, len(rest) + 4: policy.Reset} {
		s := &server{clock: u.clock, events: make(chan any, 1)}
		s.tuning.Store(&Tuning{BodyStall: time.Second})
		cc := &clientConn{Conn: &breakingConn{}, input: messageReader{src: bytes.NewReader([]byte("abc\r\n0\r\n\r\n")), maxBody: 99, window: 9, remainder: bodyRemainder{bytesLeft: 3, chunkBytes: 12, moreChunks: true}}}
		cc.request.length = -1
		cc.request.managed = &managedRequest{client: clientSide{server: s, conn: cc}}
		_, end := u.upload(&attempt{sendBy: u.clock.now() + time.Second}, &upConn{Conn: &breakingConn{left: n}}, &cc.request)
		assert.Equal(t, end.Code(), code, "%d bytes written", n)
		assert.Assert(t, end.cannotRepeat)
	}
}
