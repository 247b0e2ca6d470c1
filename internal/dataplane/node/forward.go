package node

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/verdict"
)

const (
	maxForeignAnswers = 4   // answers to other requests that are skipped before the expected one
	firstFinalStatus  = 200 // lower ones belong to interim answers
)

var errNoAnswer = errors.New("none of the answers that came belongs to the request")

// isHopByHop reports whether a header field concerns one connection only (RFC 9110, 7.6.1) or the body's framing, which the
// proxy writes itself.
func isHopByHop(name []byte) bool {
	switch len(name) {
	case 2, 7, 10, 14, 16, 17, 18, 19:
	default:
		return false
	}
	for _, f := range []string{"Te", "Trailer", "Upgrade", "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding",
		"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization"} {
		if len(f) == len(name) && strings.EqualFold(string(name), f) {
			return true
		}
	}
	return false
}

// equalsFieldName compares header field names without regard to case.
func equalsFieldName(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

// isSetByProxy reports whether a header field is dropped from clients' requests because the proxy sets or handles it.
func isSetByProxy(name []byte) bool {
	return equalsFieldName(name, fieldKey) || equalsFieldName(name, fieldTenant) || equalsFieldName(name, fieldTarget) || equalsFieldName(name, fieldDeadline) || equalsFieldName(name, "Expect")
}

// appendForwardedRequest appends the request as it is sent to a server.
func appendForwardedRequest(b []byte, req *clientRequest, server string, left time.Duration) []byte {
	b = append(b, req.method...)
	b = append(b, ' ')
	b = append(b, req.target...)
	b = append(b, " HTTP/1.1\r\n"...)
	connectionField := req.get("Connection")
	for i := range req.fields {
		f := &req.fields[i]
		if isHopByHop(f.name) || isSetByProxy(f.name) || len(connectionField) > 0 && req.hasToken("Connection", string(f.name)) {
			continue
		}
		b = appendField(b, f)
	}
	b = append(b, fieldDeadline+": "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\n"+fieldTarget+": "...)
	b = append(b, server...)
	if req.managed.tenant != "" {
		b = append(b, "\r\n"+fieldTenant+": "...)
		b = append(b, req.managed.tenant...)
	}
	if req.managed.client.hasUnreadBody() {
		b = appendFramingField(b, &req.head)
	} else if method := string(req.method); method != "GET" && method != "HEAD" || len(req.body) > 0 {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	if req.managed.client.hasUnreadBody() {
		return appendPiece(b, &req.head, req.body)
	}
	return append(b, req.body...)
}

func appendField(b []byte, f *field) []byte {
	b = append(b, f.name...)
	b = append(b, ": "...)
	b = append(b, f.value...)
	return append(b, "\r\n"...)
}

// buildClientAnswer returns a server's answer as its client gets it: status, fields and body are unchanged, only hop-by-hop
// fields and the framing are replaced. headRequest is set if the request's method is HEAD, and more if further parts of the
// body follow.
func buildClientAnswer(h *head, status int, body []byte, headRequest, more bool) []byte {
	b := make([]byte, 0, 256+len(body))
	b = append(b, answerPrefix...)
	b = append(b, h.firstLine[len(answerPrefix):]...)
	b = append(b, "\r\n"...)
	connectionField := h.get("Connection")
	for i := range h.fields {
		f := &h.fields[i]
		if isHopByHop(f.name) && !(headRequest && equalsFieldName(f.name, "Content-Length")) || equalsFieldName(f.name, fieldLoad) ||
			len(connectionField) > 0 && h.hasToken("Connection", string(f.name)) {
			continue
		}
		b = appendField(b, f)
	}
	if more {
		b = append(appendFramingField(b[:len(b)-2], h), "\r\n\r\n"...)
		return appendPiece(b, h, body)
	}
	if !headRequest && status != 204 && status != 304 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// forward writes the request in one call and reads its answer, which it recognizes by its id: the connection carries that id
// once. As in exchange, a request of which the last byte was not written can't have run, and any other may have. It also
// reports whether the connection can be reused.
func (u *upstream) forward(a *attempt, c *upConn, req *clientRequest, left time.Duration) (result, bool) {
	server := u.uid(a.server)
	if server == "" || c.SetReadDeadline(u.clock.time(a.deadline)) != nil || c.SetWriteDeadline(u.clock.time(a.sendBy)) != nil {
		return endedResult(verdict.Unsent, errNoConnection), false
	}
	c.carried.add(req.managed.id)
	msg := requestBuffers.Get().(*[]byte)
	b := appendForwardedRequest((*msg)[:0], req, server, req.managed.client.server.managed.workDuration(left, u.clock.now()))
	n, err := c.Write(b[c.probedBytes:])
	complete := c.probedBytes+n == len(b)
	c.probedBytes = 0
	if *msg = b; cap(b) <= 4*minBufferBytes {
		requestBuffers.Put(msg)
	}
	if !complete {
		return endedResult(verdict.Unsent, err), false
	}
	if err != nil {
		return u.errorResult(a, err), false
	}
	answer, end := u.awaitAnswer(a, c, req)
	if end != nil {
		return *end, false
	}
	return u.takeAnswer(a, c, req, answer)
}

// receivedAnswer is a server's answer of which the head and the first part of the body were read.
type receivedAnswer struct {
	status     int
	body       []byte
	framed     bool          // its end is known from its framing
	unsent     bool          // part of the request's body is not sent, and won't be
	sawForeign bool          // answers to other requests came first
	writtenAt  time.Duration // when the last byte of the request was written
}

// awaitAnswer reads up to the answer that bears the request's id, and sends the rest of a long body before it. end is nil
// unless the attempt has ended without an answer.
func (u *upstream) awaitAnswer(a *attempt, c *upConn, req *clientRequest) (answer receivedAnswer, end *result) {
	answer.unsent, answer.writtenAt = req.managed.client.hasUnreadBody(), u.clock.now()
	err := errNoAnswer
	for foreign, interim := 0, 0; foreign < maxForeignAnswers && interim <= maxInterimAnswers; {
		if answer.unsent {
			if answer.unsent, end = u.upload(a, c, req); end != nil {
				return answer, end
			}
			answer.writtenAt = u.clock.now()
		}
		answer.status, answer.body, answer.framed, err = c.readAnswer(string(req.method) == "HEAD", answer.unsent)
		if err == nil && answer.status < firstFinalStatus { // while the request is still being sent
			interim++
			err = errNoAnswer
			c.input.startMessage()
			continue
		}
		if err != nil || string(c.head.get(fieldID)) == req.managed.id {
			break
		}
		foreign++
		answer.sawForeign = true
		if err = c.skipAnswer(answer.framed); err != nil {
			break
		}
		err = errNoAnswer
	}
	if err == nil {
		return answer, nil
	}
	r := u.errorResult(a, err)
	if answer.unsent && !req.managed.client.hasBegunLastChunk() { // the remainder will never be sent, so the request can't run
		r = endedResult(verdict.Unsent, err)
	}
	r.cannotRepeat, r.sawForeignAnswers = req.managed.client.hasDiscardedBody(), answer.sawForeign
	return answer, &r
}

// skipAnswer reads the rest of an answer that belongs to another request.
func (c *upConn) skipAnswer(framed bool) error {
	if !framed {
		return errFraming
	}
	for c.input.hasUnreadBody() {
		piece, err := c.input.nextPiece()
		if err != nil {
			return err
		}
		if len(piece) == 0 {
			break
		}
	}
	c.input.startMessage()
	return nil
}

// takeAnswer classifies an answer and streams it if it is long. It also reports whether the connection can be reused.
func (u *upstream) takeAnswer(a *attempt, c *upConn, req *clientRequest, answer receivedAnswer) (result, bool) {
	r := classifyAnswer(c, answer.status, answer.body, answer.framed, string(req.method) == "HEAD")
	r.cannotRepeat = req.managed.client.hasDiscardedBody()
	if r.cannotRepeat || c.input.hasUnreadBody() {
		r.latency = max(1, u.clock.now()-answer.writtenAt)
	}
	if c.input.hasUnreadBody() {
		u.download(a, c, req, &r)
	}
	reuse := answer.framed && !answer.sawForeign && !answer.unsent && !c.carried.isFull() && !c.input.hasUnreadBody() && c.input.buffered() == 0 && !c.head.hasToken("Connection", "close")
	if r.held == nil {
		c.input.startMessage()
	}
	return r, reuse
}

// classifyAnswer returns the result of an attempt that a server answered, with the answer if the client may get it.
func classifyAnswer(c *upConn, status int, body []byte, framed, headRequest bool) result {
	h := &c.head
	count := func(field string) int { _, n := h.valueAndCount(field); return n }
	v, usable := verdict.ClassifyAnswer(verdict.ServerAnswer{Status: status, NotRun: count(fieldNotRun) > 0, Sealed: count(fieldSeal) == 1,
		ContentEncoded: count("Content-Encoding") > 0, Framed: framed})
	r := result{Verdict: v, loadReport: parseServerLoad(h)}
	if usable {
		r.answer = buildClientAnswer(h, status, body, headRequest, c.input.hasUnreadBody())
	}
	return r
}

// parseServerLoad returns the running requests, the waiting requests and the slots that a server reports, or nil if the
// field is missing or malformed.
func parseServerLoad(h *head) []float64 {
	text, n := h.valueAndCount(fieldLoad)
	if n != 1 {
		return nil
	}
	var values []float64
	for part := range bytes.SplitSeq(text, []byte(",")) {
		v, digits := parseDecimal(bytes.TrimSpace(part))
		if digits == 0 || v > maxLoadValue {
			return nil
		}
		values = append(values, float64(v))
	}
	if len(values) != 3 {
		return nil
	}
	return values
}
