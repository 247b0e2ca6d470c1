package node

// Bodies beyond their window, passed on as they come: a client's to a server, a server's to a client.

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

const (
	bodyPollInterval = 50 * time.Millisecond // while one side is waited for, the other is looked at so often
	lastChunk        = "0\r\n\r\n"
)

var (
	errEarlyAnswer      = errors.New("the server has said something before the request was whole")
	errDeadlinePassed   = errors.New("the time is over")
	errAttemptCancelled = errors.New("the attempt was called back")
	errNoConnection     = errors.New("no connection to the server may be made")
	errClientGone       = errors.New("the client takes no more")
)

// clientSide is the client's side of a request, for who carries an attempt out.
type clientSide struct {
	server  *server
	conn    *clientConn
	request *openRequest

	pending []byte // of what goes to the server
	isLast  bool   // nothing comes behind it
	buf     []byte
}

func (f *clientSide) hasUnreadBody() bool { return f.conn != nil && f.conn.input.hasUnreadBody() }

// hasDiscardedBody tells whether the request can't be sent again.
func (f *clientSide) hasDiscardedBody() bool {
	return f.conn != nil && f.conn.input.remainder.hasDiscarded
}

// hasBegunLastChunk tells whether some of the end of a body in chunks was written: it may be taken for whole.
func (f *clientSide) hasBegunLastChunk() bool {
	return f.isLast && f.conn.request.length == -1 && len(f.pending) < len(lastChunk)
}

// pin rules out that the request is sent to another server for it.
func (f *clientSide) pin(a *attempt) bool {
	if !a.pin() {
		return false
	}
	f.server.events <- started{f.request, a}
	return true
}

// appendFramingField writes how the end of a body in pieces is told.
func appendFramingField(b []byte, h *head) []byte {
	if h.length < 0 {
		return append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	return strconv.AppendInt(b, int64(h.length), 10)
}

// appendPiece writes a piece of such a body, in a chunk of its own where there are chunks.
func appendPiece(b []byte, h *head, p []byte) []byte {
	if h.length >= 0 || len(p) == 0 {
		return append(b, p...)
	}
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	return append(b, "\r\n"...)
}

// framePiece makes of a piece what is written next. Without bytes it is the end.
func (f *clientSide) framePiece(h *head, p []byte) []byte {
	switch {
	case h.length >= 0:
		return p
	case len(p) == 0:
		f.buf = append(f.buf[:0], lastChunk...)
	default:
		f.buf = appendPiece(f.buf[:0], h, p)
	}
	return f.buf
}

// write writes to the client.
func (f *clientSide) write(b []byte, by time.Time) error {
	if err := f.conn.SetWriteDeadline(by); err != nil {
		return err
	}
	_, err := f.conn.Write(b)
	return err
}

// upload passes on what of a request's body is beyond the window. It comes back before the end, and tells so, when
// the server says something sooner; with an end when the attempt is over.
func (u *upstream) upload(a *attempt, c *upConn, req *clientRequest) (unsent bool, end *result) {
	f := &req.managed.client
	if !f.pin(a) {
		return true, stoppedResult(verdict.Unsent, errAttemptCancelled, false)
	}
	for {
		if len(f.pending) == 0 {
			if f.isLast {
				return false, nil
			}
			p, err := u.nextPiece(a, c, f)
			switch {
			case err == errEarlyAnswer:
				return true, nil
			case err == errAttemptCancelled:
				return true, stoppedResult(verdict.Unsent, err, f.hasDiscardedBody())
			case err == errDeadlinePassed:
				return true, stoppedResult(verdict.Moot, err, f.hasDiscardedBody())
			case err != nil:
				return true, &result{Verdict: verdict.Of(verdict.Moot, err), clientFault: err}
			}
			req.body = nil // of no use any more
			f.pending = f.framePiece(&req.head, p)
			f.isLast = len(p) == 0 || !f.hasUnreadBody()
		}
		n, err := u.writePart(a, c, f.pending)
		f.pending = f.pending[n:]
		switch {
		case err == nil || len(f.pending) == 0:
		case err == errEarlyAnswer || world.Peek(c.Conn) == world.PeekBytes:
			return true, nil
		case f.hasBegunLastChunk():
			return true, stoppedResult(verdict.Broken, err, true)
		default:
			return true, stoppedResult(verdict.Unsent, err, true)
		}
	}
}

// stoppedResult is the end of an attempt in the middle of its request's body.
func stoppedResult(end verdict.End, cause error, spent bool) *result {
	return &result{Verdict: verdict.Of(end, cause), cannotRepeat: spent}
}

// nextPiece waits for the client's next piece.
func (u *upstream) nextPiece(a *attempt, c *upConn, f *clientSide) ([]byte, error) {
	stalled := u.clock.now() + f.server.tuning.Load().BodyStall
	for {
		if c.input.buffered() > 0 || world.Peek(c.Conn) != world.PeekQuiet {
			return nil, errEarlyAnswer
		}
		now := u.clock.now()
		if err := f.conn.SetReadDeadline(u.clock.time(min(now+bodyPollInterval, a.deadline, stalled))); err != nil {
			return nil, err
		}
		p, err := f.conn.input.nextPiece()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return p, err
		}
		switch now = u.clock.now(); {
		case now >= a.deadline:
			return nil, errDeadlinePassed
		case now >= stalled:
			return nil, err
		case !a.setConn(c):
			return nil, errAttemptCancelled
		}
	}
}

// writePart writes to the server until it is done or the server says something; it tells how much is written.
func (u *upstream) writePart(a *attempt, c *upConn, b []byte) (n int, err error) {
	for {
		if err := c.SetWriteDeadline(u.clock.time(min(u.clock.now()+bodyPollInterval, a.deadline))); err != nil {
			return n, err
		}
		k, err := c.Write(b[n:])
		n += k
		switch {
		case err == nil || n == len(b) || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case u.clock.now() >= a.deadline:
			return n, errDeadlinePassed
		case world.Peek(c.Conn) != world.PeekQuiet:
			return n, errEarlyAnswer
		}
	}
}

// heldAnswer is a server's answer beyond its window that waits, there and on its connection, for what comes of the
// request elsewhere.
type heldAnswer struct {
	attempt    *attempt
	conn       *upConn
	firstBytes []byte // what its client would get first
}

// download passes on an answer that is longer than its window, or holds it where another server may do better.
func (u *upstream) download(a *attempt, c *upConn, req *clientRequest, r *result) {
	f := &req.managed.client
	h := &heldAnswer{a, c, r.answer}
	r.answer = nil
	unknown := c.head.length < 0 && strings.HasSuffix(string(req.firstLine), "1.0") // this client would not know its end
	switch {
	case h.firstBytes == nil:
	case r.End != verdict.Served && f.request.effect == policy.Safe:
		if !unknown {
			r.held = h
		}
	case unknown:
		r.Verdict, r.cannotRepeat = verdict.Of(verdict.Recalled, errClientGone), true
	case !f.pin(a):
		r.Verdict = verdict.Of(verdict.Recalled, errAttemptCancelled)
	default:
		u.streamAnswer(f, h, r)
	}
}

// streamAnswer passes an answer on to its end. One that breaks off never gets its end.
func (u *upstream) streamAnswer(f *clientSide, h *heldAnswer, r *result) {
	r.isStreamed = true
	answer, over := f.server.markLastAnswer(f.conn, h.firstBytes)
	f.request.managed.closeAfterAnswer = over
	for {
		by := min(u.clock.now()+f.server.tuning.Load().ClientWrite, h.attempt.deadline)
		if len(answer) > 0 && f.write(answer, u.clock.time(by)) != nil {
			r.Verdict = verdict.Of(verdict.Recalled, errClientGone)
			return
		}
		if !h.conn.input.hasUnreadBody() {
			r.isComplete = true
			return
		}
		p, err := h.conn.input.nextPiece()
		if err != nil {
			r.Verdict = u.errorResult(h.attempt, err).Verdict
			return
		}
		answer = f.framePiece(&h.conn.head, p)
	}
}

// canStream tells whether a held answer can still be passed on.
func (u *upstream) canStream(h *heldAnswer) bool {
	return h != nil && u.clock.now() < h.attempt.deadline && (h.conn.input.buffered() > 0 || world.Peek(h.conn.Conn) != world.PeekEnd)
}

// dropHeldAnswer lets go of a held answer; nil: there is none.
func (u *upstream) dropHeldAnswer(h *heldAnswer) {
	if h != nil {
		u.discard(h.conn)
	}
}
