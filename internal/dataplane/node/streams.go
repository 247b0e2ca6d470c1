package node

// Streaming of bodies that are longer than the window (bodyWindowBytes): requests to servers and answers to clients.

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
	bodyPollInterval = 50 * time.Millisecond // while waiting for one side, how often the other side is checked
	lastChunk        = "0\r\n\r\n"
)

var (
	errEarlyAnswer      = errors.New("the server sent something before the request was complete")
	errDeadlinePassed   = errors.New("the attempt's deadline has passed")
	errAttemptCancelled = errors.New("the attempt was cancelled")
	errNoConnection     = errors.New("the server is unknown or the connection limit is reached")
	errClientGone       = errors.New("the client can't take the rest of the answer")
)

// clientSide is the client's side of a request, used by the goroutine that carries out an attempt.
type clientSide struct {
	server  *server
	conn    *clientConn
	request *openRequest

	pending []byte // bytes that still have to be written to the server
	isLast  bool   // pending holds the end of the body
	buf     []byte
}

func (f *clientSide) hasUnreadBody() bool { return f.conn != nil && f.conn.input.hasUnreadBody() }

// hasDiscardedBody reports whether part of the body was discarded, so that the request can't be sent again.
func (f *clientSide) hasDiscardedBody() bool {
	return f.conn != nil && f.conn.input.remainder.hasDiscarded
}

// hasBegunLastChunk reports whether part of a chunked body's last chunk was written: the server may then take the
// request as complete.
func (f *clientSide) hasBegunLastChunk() bool {
	return f.isLast && f.conn.request.length == -1 && len(f.pending) < len(lastChunk)
}

// pin rules out further attempts of the request and reports that to the loop. It returns false if this attempt was
// cancelled.
func (f *clientSide) pin(a *attempt) bool {
	if !a.pin() {
		return false
	}
	f.server.events <- started{f.request, a}
	return true
}

// appendFramingField appends the header field that tells how a streamed body ends.
func appendFramingField(b []byte, h *head) []byte {
	if h.length < 0 {
		return append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	return strconv.AppendInt(b, int64(h.length), 10)
}

// appendPiece appends a piece of a streamed body, as a chunk of its own if the body is chunked.
func appendPiece(b []byte, h *head, p []byte) []byte {
	if h.length >= 0 || len(p) == 0 {
		return append(b, p...)
	}
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	return append(b, "\r\n"...)
}

// framePiece returns a piece as it is written to the other side. An empty piece stands for the end of the body.
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

// upload streams the part of a request's body that is beyond the window. unsent reports that the body was not sent
// completely. end is nil unless the attempt has ended: if the server answers early, unsent is true and end is nil.
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
				return true, stoppedResult(verdict.SendAborted, err, f.hasDiscardedBody())
			case err != nil:
				return true, &result{Verdict: verdict.New(verdict.SendAborted, err), clientFault: err}
			}
			req.body = nil // the buffered part can't be sent again, so its memory is released
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

// stoppedResult returns the result of an attempt that ended in the middle of its request's body.
func stoppedResult(end verdict.End, cause error, discarded bool) *result {
	return &result{Verdict: verdict.New(end, cause), cannotRepeat: discarded}
}

// nextPiece waits for the next piece of the client's body.
func (u *upstream) nextPiece(a *attempt, c *upConn, f *clientSide) ([]byte, error) {
	stalled := u.clock.now() + f.server.tuning.Load().BodyStall
	for {
		if c.input.buffered() > 0 || world.Peek(c.Conn) != world.PeekQuiet {
			return nil, errEarlyAnswer
		}
		now := u.clock.now()
		if err := f.conn.SetReadDeadline(u.clock.time(min(now+bodyPollInterval, a.sendBy, stalled))); err != nil {
			return nil, err
		}
		p, err := f.conn.input.nextPiece()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return p, err
		}
		switch now = u.clock.now(); {
		case now >= a.sendBy:
			return nil, errDeadlinePassed
		case now >= stalled:
			return nil, err
		case !a.setConn(c): // it has this connection already: only the result matters
			return nil, errAttemptCancelled
		}
	}
}

// writePart writes to the server until everything is written or the server sends something. It returns the number of
// bytes written.
func (u *upstream) writePart(a *attempt, c *upConn, b []byte) (n int, err error) {
	for {
		if err := c.SetWriteDeadline(u.clock.time(min(u.clock.now()+bodyPollInterval, a.sendBy))); err != nil {
			return n, err
		}
		k, err := c.Write(b[n:])
		n += k
		switch {
		case err == nil || n == len(b) || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case u.clock.now() >= a.sendBy:
			return n, errDeadlinePassed
		case world.Peek(c.Conn) != world.PeekQuiet:
			return n, errEarlyAnswer
		}
	}
}

// heldAnswer is a server's answer that is longer than the window and waits, unread, on its connection while the
// request is tried at other servers.
type heldAnswer struct {
	attempt    *attempt
	conn       *upConn
	firstBytes []byte // start of the answer as the client would get it
}

// download streams an answer that is longer than its window to the client, or holds it if another server may give a
// better one.
func (u *upstream) download(a *attempt, c *upConn, req *clientRequest, r *result) {
	f := &req.managed.client
	h := &heldAnswer{a, c, r.answer}
	r.answer = nil
	endUnknown := c.head.length < 0 && strings.HasSuffix(string(req.firstLine), "1.0") // HTTP/1.0 has no chunks
	switch {
	case h.firstBytes == nil:
	case r.End != verdict.Served && f.request.effect == policy.Safe:
		if !endUnknown {
			r.held = h
		}
	case endUnknown:
		r.Verdict, r.cannotRepeat = verdict.New(verdict.Cancelled, errClientGone), true
	case !f.pin(a):
		r.Verdict = verdict.New(verdict.Cancelled, errAttemptCancelled)
	default:
		u.streamAnswer(f, h, r)
	}
}

// streamAnswer streams an answer to the client. An answer that breaks off gets no end mark, so the client notices.
func (u *upstream) streamAnswer(f *clientSide, h *heldAnswer, r *result) {
	r.isStreamed = true
	answer, isLast := f.server.markLastAnswer(f.conn, h.firstBytes)
	f.request.managed.closeAfterAnswer = isLast
	for {
		by := min(u.clock.now()+f.server.tuning.Load().ClientWrite, h.attempt.deadline)
		if len(answer) > 0 && f.write(answer, u.clock.time(by)) != nil {
			r.Verdict = verdict.New(verdict.Cancelled, errClientGone)
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

// canStream reports whether a held answer can still be streamed to the client.
func (u *upstream) canStream(h *heldAnswer) bool {
	return h != nil && u.clock.now() < h.attempt.deadline && (h.conn.input.buffered() > 0 || world.Peek(h.conn.Conn) != world.PeekEnd)
}

// dropHeldAnswer closes the connection of a held answer; nil: there is none.
func (u *upstream) dropHeldAnswer(h *heldAnswer) {
	if h != nil {
		u.discard(h.conn)
	}
}
