package node

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/verdict"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

const (
	idleTimeoutShare   = 0.6 // idle connections are closed after this share of the servers' own idle timeout
	drainGraceMargin   = 50 * time.Millisecond
	answerPrefix       = "HTTP/1.1 "
	defaultAnswerStall = 250 * time.Millisecond // an answer that has begun and then pauses for longer is treated as broken
	maxInterimAnswers  = 8                      // 1xx answers accepted before the final one
	maxLoadValue       = 1e6                    // a larger value in a load report makes the report invalid

	// Time before an idle connection is used again. Unexpected bytes that follow an answer must not be taken for the
	// next answer.
	defaultReuseDelay = 5 * time.Millisecond
)

// upstream keeps the connections to the app servers and carries out attempts. It writes each attempt exactly once
// itself, because the standard HTTP client may resend a request on its own and does not report whether the last byte
// was written.
type upstream struct {
	clock       clock
	network     world.Network
	dialTimeout time.Duration // for establishing a connection
	idleTimeout time.Duration
	drainGrace  time.Duration
	reuseDelay  time.Duration // time before an idle connection is used again
	maxConns    int           // limit on open connections to all servers together
	loadFields  []string      // names of the load report's fields, in the policy's order
	answerStall atomic.Int64  // longest pause within an answer, in nanoseconds
	isManaged   bool          // servers speak the managed protocol

	mu        sync.Mutex
	openConns int
	idleAges  idleAgeStats
	servers   map[policy.ServerID]*appServer
}

// upConn is a connection to an app server.
type upConn struct {
	net.Conn
	input     messageReader
	head      head
	idleSince time.Duration
	upstream  *upstream
	carried   carriedIDs // managed protocol

	fastestConnect time.Duration // shortest time that a connection to the server took to establish
	probedBytes    int           // bytes of the request that a probe has already written
}

// Read fails if an answer that has begun pauses for longer than answerStall.
func (c *upConn) Read(b []byte) (int, error) {
	if len(c.input.buf) > 0 && !c.upstream.isManaged {
		if err := c.SetReadDeadline(c.upstream.clock.Now().Add(time.Duration(c.upstream.answerStall.Load()))); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// attempt is one sending of a request to an app server.
type attempt struct {
	id          policy.RequestID
	number      int
	server      policy.ServerID
	requestedAt time.Duration // when the policy asked for the attempt
	sendBy      time.Duration // when the attempt is abandoned unless the whole request was sent
	repeatBy    time.Duration // a repeat sent later could run twice, because servers no longer recognize it
	deadline    time.Duration // when the attempt is abandoned
	atMostOnce  bool          // the request must not be sent again if it may have run

	mu          sync.Mutex
	isCancelled bool
	isPinned    bool // no other attempt may follow: parts of the request were discarded or parts of the answer sent
	conn        *upConn
	stopDial    context.CancelFunc
}

// cancel abandons the attempt. The goroutine that runs it then ends it.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isCancelled = true
	if a.stopDial != nil {
		a.stopDial()
	}
	if a.conn != nil {
		a.conn.Close()
	}
}

// cancelIfUnsent cancels the attempt unless it is already on a connection.
func (a *attempt) cancelIfUnsent() {
	a.mu.Lock()
	unsent := a.conn == nil
	a.mu.Unlock()
	if unsent {
		a.cancel()
	}
}

// cancelIfNotPinned cancels the attempt in favour of another one, unless no other attempt may follow.
func (a *attempt) cancelIfNotPinned() {
	a.mu.Lock()
	pinned := a.isPinned
	a.mu.Unlock()
	if !pinned {
		a.cancel()
	}
}

// pin rules out further attempts of the request. It returns false if this one was cancelled.
func (a *attempt) pin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isPinned = true
	return !a.isCancelled
}

// setConn records the attempt's connection; nil: none. It returns false if the attempt was cancelled.
func (a *attempt) setConn(c *upConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.isCancelled
}

// result is how an attempt ended.
type result struct {
	verdict.Verdict
	loadReport        []float64
	contentType       string // of a served answer
	body              string
	answer            []byte // managed protocol: the server's answer as the client gets it
	sawForeignAnswers bool   // managed protocol: answers to other requests arrived first

	// Managed protocol, for bodies that are longer than the window.
	clientFault  error         // error in the client's body while it was sent on; the request has not run
	cannotRepeat bool          // part of the request was discarded, so it can't be sent again
	isStreamed   bool          // the answer was streamed to the client
	held         *heldAnswer   // an answer that is still at its server; nil: none
	isComplete   bool          // the answer was streamed to its end
	latency      time.Duration // without the time that the client took; 0: the policy measures it
}

// endedResult returns a result that holds only the verdict for the given end and cause.
func endedResult(end verdict.End, cause error) result {
	return result{Verdict: verdict.New(end, cause)}
}

// errorResult returns the result of an attempt that was written completely but got an error instead of an answer.
func (u *upstream) errorResult(a *attempt, err error) result {
	if errors.Is(err, os.ErrDeadlineExceeded) && u.clock.now() >= a.deadline {
		return endedResult(verdict.TimedOut, err)
	}
	return endedResult(verdict.Broken, err)
}

// do carries out an attempt. If the attempt did not complete, its connection is closed before do returns, except for
// the connection of a held answer.
func (u *upstream) do(a *attempt, req *clientRequest) result {
	c, addr, ok := u.takeConnection(a.server, req.attemptID(), a.atMostOnce)
	for ok && c != nil && u.needsProbe(a, c) && !u.probe(a, c, req) {
		u.discard(c)
		c, addr, ok = u.takeConnection(a.server, req.attemptID(), a.atMostOnce)
	}
	if !ok {
		return endedResult(verdict.Unsent, errNoConnection)
	}
	if c == nil {
		began := u.clock.now()
		conn, err := u.dial(a, addr)
		if err != nil {
			u.discard(nil)
			return endedResult(verdict.Unsent, err)
		}
		c = &upConn{Conn: conn, upstream: u}
		c.input.src = c
		if u.isManaged {
			c.input.maxBody, c.input.window = math.MaxInt, bodyWindowBytes
			c.fastestConnect = u.recordConnectTime(a.server, u.clock.now()-began)
		}
	}
	now := u.clock.now()
	switch {
	case now >= a.sendBy:
		u.discard(c)
		return endedResult(verdict.SendAborted, errDeadlinePassed)
	case !a.setConn(c) || now >= a.repeatBy || u.isClosedToWork(a.server):
		u.discard(c)
		return endedResult(verdict.Unsent, errAttemptCancelled)
	}
	var r result
	var reuse bool
	if u.isManaged {
		r, reuse = u.forward(a, c, req, a.sendBy-now)
	} else {
		r, reuse = u.exchange(a, c, req, a.deadline-now)
	}
	if c.idleSince > 0 {
		u.mu.Lock()
		u.idleAges.recordUse(now-c.idleSince, u.clock.now(), u.clock.now()-now-c.fastestConnect, r.Code(), len(c.input.buf) > 0)
		u.mu.Unlock()
	}
	if !a.setConn(nil) { // cancelled: its connection is already closed
		reuse = false
		if r.End == verdict.Broken || r.End == verdict.TimedOut {
			r.Verdict = verdict.New(verdict.Cancelled, errAttemptCancelled)
		}
		r.held = nil
	}
	switch {
	case r.held != nil: // whoever streams or drops the held answer releases the connection
	case reuse:
		u.returnConnection(a.server, c)
	default:
		u.discard(c)
	}
	return r
}

// dial connects to a server. Cancelling the attempt interrupts it.
func (u *upstream) dial(a *attempt, addr string) (net.Conn, error) {
	ctx, stop := world.WithTimeout(context.Background(), u.clock.Clock, min(u.dialTimeout, a.sendBy-u.clock.now()))
	defer stop()
	a.mu.Lock()
	if a.isCancelled {
		a.mu.Unlock()
		return nil, context.Canceled
	}
	a.stopDial = stop
	a.mu.Unlock()
	return u.network.Dial(ctx, "tcp", addr)
}

// exchange writes the request in one call and reads its answer. A request whose last byte was not written can't have
// run; any other may have.
func (u *upstream) exchange(a *attempt, c *upConn, req *clientRequest, left time.Duration) (result, bool) {
	if err := c.SetDeadline(u.clock.time(a.deadline)); err != nil {
		return endedResult(verdict.Unsent, err), false
	}
	msg := requestBuffers.Get().(*[]byte)
	b := appendRequest((*msg)[:0], req, left)
	n, err := c.Write(b)
	complete := n == len(b)
	if *msg = b; cap(b) <= 4*minBufferBytes {
		requestBuffers.Put(msg)
	}
	if !complete {
		return endedResult(verdict.Unsent, err), false
	}
	var r result
	status, body, framed := 0, []byte(nil), false
	if err == nil {
		status, body, framed, err = c.readAnswer(string(req.method) == "HEAD", false)
	}
	if err != nil {
		return u.errorResult(a, err), false
	}
	r.Verdict, r.loadReport = verdict.New(verdict.Failed, nil), u.parseLoadReport(&c.head)
	switch {
	case status == 200 && !framed:
		r.Verdict = verdict.New(verdict.Broken, errFraming) // its end looks the same as a broken connection
	case status == 200:
		r.Verdict, r.contentType, r.body = verdict.New(verdict.Served, nil), string(c.head.get("Content-Type")), string(body)
	case (status == 503 || status == 504) && string(c.head.get("X-Not-Run")) == "1":
		r.Verdict = verdict.New(verdict.Declined, nil)
	case status/100 == 4:
		r.Verdict = verdict.New(verdict.InvalidRequest, nil)
	}
	// Bytes that follow an answer belong to no request, so the connection is not reused.
	reuse := framed && c.input.buffered() == 0 && !c.head.hasToken("Connection", "close")
	c.input.startMessage()
	return r, reuse
}

// readAnswer reads an answer. An answer that ends only with the connection is reported as not framed, and its body is
// not read. An answer to HEAD has no body, whatever length it announces (RFC 9112, 6.3). A 1xx answer is returned to
// the caller only if part of the request is still unsent.
func (c *upConn) readAnswer(headRequest, unsent bool) (status int, body []byte, framed bool, err error) {
	for range maxInterimAnswers + 1 {
		if err = c.input.readHead(&c.head, answerPrefix); err != nil {
			return 0, nil, false, err
		}
		code := c.head.firstLine[len(answerPrefix):]
		status, n := parseDecimal(code[:min(3, len(code))])
		switch {
		case n != 3 || status < 100 || status > 599 || len(code) > 3 && code[3] != ' ':
			return 0, nil, false, errSyntax
		case status == 101 || status < 200 && c.head.length != -2:
			return 0, nil, false, errFraming
		case status < 200 && unsent:
			return status, nil, true, nil
		case status < 200:
			c.input.startMessage() // an interim answer; the final one may take its time
			continue
		case status == 204 || status == 304 || headRequest:
			return status, nil, true, nil
		case c.head.length == -2:
			return status, nil, false, nil
		}
		body, err = c.input.readBody(&c.head)
		return status, body, true, err
	}
	return 0, nil, false, errSyntax
}

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

var forwardedFieldNames = []string{"Host", "X-Request-Id", "Idempotency-Key", "X-Class", "Content-Type"}

// appendRequest appends the request as an app server gets it.
func appendRequest(b []byte, req *clientRequest, left time.Duration) []byte {
	b = append(b, req.method...)
	b = append(b, ' ')
	if req.ticket != nil {
		b = append(b, req.ticket.Target...)
		b = append(b, " HTTP/1.1"...)
		b = req.appendForwardedFields(b)
	} else {
		b = append(b, req.target...)
		b = append(b, " HTTP/1.1"...)
		for _, key := range forwardedFieldNames {
			if v := req.get(key); len(v) > 0 {
				b = append(b, "\r\n"...)
				b = append(b, key...)
				b = append(b, ": "...)
				b = append(b, v...)
			}
		}
	}
	b = append(b, "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	if m := string(req.method); m != "GET" && m != "HEAD" || len(req.body) > 0 {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, req.body...)
}

// loadFieldAliases maps field names of the settings to the names that load reports may use instead.
var loadFieldAliases = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
	"rps": "qps", "err_rps": "eps"}

// parseLoadReport parses a load report: a word, then name=value pairs. A report that lacks a field or holds an
// invalid value is ignored.
func (u *upstream) parseLoadReport(h *head) []float64 {
	text, n := h.valueAndCount("X-Load")
	if n != 1 || len(u.loadFields) == 0 {
		return nil
	}
	out, found := make([]float64, len(u.loadFields)), 0
	_, rest, _ := strings.Cut(string(text), " ")
	for pair := range strings.SplitSeq(rest, ",") {
		k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "=")
		i := slices.IndexFunc(u.loadFields, func(f string) bool { return f == k || loadFieldAliases[f] == k })
		if i < 0 {
			continue
		}
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= 0 && x <= maxLoadValue) { // also rejects NaN
			return nil
		}
		out[i] = x
		found++
	}
	if found < len(u.loadFields) {
		return nil
	}
	return out
}
