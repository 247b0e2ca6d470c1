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
	bodyStep  = 50 * time.Millisecond // while one side is waited for, the other is looked at so often
	lastChunk = "0\r\n\r\n"
)

var (
	errSpoke  = errors.New("the server has said something before the request was whole")
	errLate   = errors.New("the time is over")
	errCalled = errors.New("the attempt was called back")
	errNoWay  = errors.New("no connection to the server may be made")
	errGone   = errors.New("the client takes no more")
)

// front is the client's side of a request, for who carries an attempt out.
type front struct {
	s    *server
	cc   *clientConn
	call *openRequest

	pending []byte // of what goes to the server
	last    bool   // nothing comes behind it
	buf     []byte
}

func (f *front) unread() bool { return f.cc != nil && f.cc.input.unread() }

// spent tells whether the request can't be sent again.
func (f *front) spent() bool { return f.cc != nil && f.cc.input.remainder.taken }

// ending tells whether some of the end of a body in chunks was written: it may be taken for whole.
func (f *front) ending() bool {
	return f.last && f.cc.request.length == -1 && len(f.pending) < len(lastChunk)
}

// pin rules out that the request is sent to another server for it.
func (f *front) pin(a *attempt) bool {
	if !a.pin() {
		return false
	}
	f.s.events <- started{f.call, a}
	return true
}

// appendFrame writes how the end of a body in pieces is told.
func appendFrame(b []byte, h *head) []byte {
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

// frame makes of a piece what is written next. Without bytes it is the end.
func (f *front) frame(h *head, p []byte) []byte {
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
func (f *front) write(b []byte, by time.Time) error {
	if err := f.cc.SetWriteDeadline(by); err != nil {
		return err
	}
	_, err := f.cc.Write(b)
	return err
}

// upload passes on what of a request's body is beyond the window. It comes back before the end, and tells so, when
// the server says something sooner; with an end when the attempt is over.
func (u *upstream) upload(a *attempt, c *upConn, req *clientRequest) (unsent bool, end *result) {
	f := &req.managed.front
	if !f.pin(a) {
		return true, stopped(verdict.Unsent, errCalled, false)
	}
	for {
		if len(f.pending) == 0 {
			if f.last {
				return false, nil
			}
			p, err := u.next(a, c, f)
			switch {
			case err == errSpoke:
				return true, nil
			case err == errCalled:
				return true, stopped(verdict.Unsent, err, f.spent())
			case err == errLate:
				return true, stopped(verdict.Moot, err, f.spent())
			case err != nil:
				return true, &result{Verdict: verdict.Of(verdict.Moot, err), fault: err}
			}
			req.body = nil // of no use any more
			f.pending = f.frame(&req.head, p)
			f.last = len(p) == 0 || !f.unread()
		}
		n, err := u.push(a, c, f.pending)
		f.pending = f.pending[n:]
		switch {
		case err == nil || len(f.pending) == 0:
		case err == errSpoke || world.Peek(c.Conn) == world.PeekBytes:
			return true, nil
		case f.ending():
			return true, stopped(verdict.Broken, err, true)
		default:
			return true, stopped(verdict.Unsent, err, true)
		}
	}
}

// stopped is the end of an attempt in the middle of its request's body.
func stopped(end verdict.End, cause error, spent bool) *result {
	return &result{Verdict: verdict.Of(end, cause), spent: spent}
}

// next waits for the client's next piece.
func (u *upstream) next(a *attempt, c *upConn, f *front) ([]byte, error) {
	stalled := u.clock.now() + f.s.tune.Load().BodyStall
	for {
		if c.in.buffered() > 0 || world.Peek(c.Conn) != world.PeekQuiet {
			return nil, errSpoke
		}
		now := u.clock.now()
		if err := f.cc.SetReadDeadline(u.clock.time(min(now+bodyStep, a.deadline, stalled))); err != nil {
			return nil, err
		}
		p, err := f.cc.input.piece()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return p, err
		}
		switch now = u.clock.now(); {
		case now >= a.deadline:
			return nil, errLate
		case now >= stalled:
			return nil, err
		case !a.hold(c):
			return nil, errCalled
		}
	}
}

// push writes to the server until it is done or the server says something; it tells how much is written.
func (u *upstream) push(a *attempt, c *upConn, b []byte) (n int, err error) {
	for {
		if err := c.SetWriteDeadline(u.clock.time(min(u.clock.now()+bodyStep, a.deadline))); err != nil {
			return n, err
		}
		k, err := c.Write(b[n:])
		n += k
		switch {
		case err == nil || n == len(b) || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case u.clock.now() >= a.deadline:
			return n, errLate
		case world.Peek(c.Conn) != world.PeekQuiet:
			return n, errSpoke
		}
	}
}

// heldAnswer is a server's answer beyond its window that waits, there and on its connection, for what comes of the
// request elsewhere.
type heldAnswer struct {
	a     *attempt
	c     *upConn
	begin []byte // what its client would get first
}

// download passes on an answer that is longer than its window, or holds it where another server may do better.
func (u *upstream) download(a *attempt, c *upConn, req *clientRequest, r *result) {
	f := &req.managed.front
	h := &heldAnswer{a, c, r.answer}
	r.answer = nil
	unknown := c.head.length < 0 && strings.HasSuffix(string(req.firstLine), "1.0") // this client would not know its end
	switch {
	case h.begin == nil:
	case r.End != verdict.Served && f.call.effect == policy.Safe:
		if !unknown {
			r.held = h
		}
	case unknown:
		r.Verdict, r.spent = verdict.Of(verdict.Recalled, errGone), true
	case !f.pin(a):
		r.Verdict = verdict.Of(verdict.Recalled, errCalled)
	default:
		u.flow(f, h, r)
	}
}

// flow passes an answer on to its end. One that breaks off never gets its end.
func (u *upstream) flow(f *front, h *heldAnswer, r *result) {
	r.begun = true
	answer, over := f.s.closing(f.cc, h.begin)
	f.call.managed.over = over
	for {
		by := min(u.clock.now()+f.s.tune.Load().ClientWrite, h.a.deadline)
		if len(answer) > 0 && f.write(answer, u.clock.time(by)) != nil {
			r.Verdict = verdict.Of(verdict.Recalled, errGone)
			return
		}
		if !h.c.in.unread() {
			r.whole = true
			return
		}
		p, err := h.c.in.piece()
		if err != nil {
			r.Verdict = u.unanswered(h.a, err).Verdict
			return
		}
		answer = f.frame(&h.c.head, p)
	}
}

// flows tells whether a held answer can still be passed on.
func (u *upstream) flows(h *heldAnswer) bool {
	return h != nil && u.clock.now() < h.a.deadline && (h.c.in.buffered() > 0 || world.Peek(h.c.Conn) != world.PeekEnd)
}

// drop lets go of a held answer; nil: there is none.
func (u *upstream) drop(h *heldAnswer) {
	if h != nil {
		u.discard(h.c)
	}
}
