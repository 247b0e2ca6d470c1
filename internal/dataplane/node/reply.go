package node

import (
	"io"
	"strconv"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	maxInvalidRequests  = 3                      // consecutive invalid requests after which the connection is closed
	invalidRequestPause = 100 * time.Millisecond // before the next request is read, so that one client can't take the CPU from others

	lingerTime            = 500 * time.Millisecond // how long a client that is still sending may read its rejection
	maxLingerBytes        = 256 << 10
	maxManagedLingerBytes = 16 << 20 // under the managed protocol, where bodies may be long
)

// rejectAndClose answers a request that can't be read and closes the connection. It first discards what the client
// still sends, because closing at once could keep the answer from reaching the client.
func (s *server) rejectAndClose(cc *clientConn, status int, fields, why string) {
	s.setState(cc, connLinger)
	if s.writeAnswer(cc, status, fields+"Connection: close\r\n", why) == nil {
		s.discardInput(cc)
	}
}

// discardInput closes the sending side and discards what the client still sends, up to a limit.
func (s *server) discardInput(cc *clientConn) {
	limit := int64(maxLingerBytes)
	if s.managed != nil {
		limit = maxManagedLingerBytes
	}
	if half, ok := cc.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if s.setReadTimeout(cc, lingerTime) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(cc.Conn, limit))
	}
}

// writeAnswer writes an answer in one call.
func (s *server) writeAnswer(cc *clientConn, status int, fields, body string) error {
	b := appendHead(cc.output[:0], status, fields, len(body))
	if string(cc.request.method) != "HEAD" { // RFC 9110, 9.3.2: an answer to HEAD has the length that GET would have, and no body
		b = append(b, body...)
	}
	return cc.write(b, s.clock.Now().Add(s.tuning.Load().ClientWrite))
}

func appendHead(b []byte, status int, fields string, length int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\n"...)
	b = append(b, fields...)
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n\r\n"...)
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout"}

func (cc *clientConn) write(b []byte, by time.Time) error {
	if cc.output = b; cap(b) > 4*minBufferBytes {
		cc.output = nil // a large buffer is not kept
	}
	if err := cc.SetWriteDeadline(by); err != nil {
		return err
	}
	_, err := cc.Write(b)
	return err
}

// reply answers a request and reports whether the connection can go on.
func (s *server) reply(cc *clientConn, status int, fields, body string) bool {
	isLast := s.draining.Load() || s.resting.Load() || cc.request.wantsClose() || cc.input.hasUnreadBody() || s.shouldCloseAfterAnswer(cc)
	if isLast {
		fields += "Connection: close\r\n"
	}
	written := s.writeAnswer(cc, status, fields, body) == nil
	cc.finalAnswerSent = written && isLast
	return written && !isLast
}

// rejectInvalid answers an invalid request at once and delays the next one. A client that sends only invalid requests
// is disconnected.
func (s *server) rejectInvalid(cc *clientConn, why *rejection) bool {
	if cc.badRequests++; cc.badRequests < maxInvalidRequests {
		canGoOn := s.reply(cc, why.status, why.headerFields, why.text)
		world.Pause(s.clock, invalidRequestPause)
		return canGoOn
	}
	s.rejectAndClose(cc, why.status, why.headerFields, why.text)
	return false
}

// answerUnserved writes the final answer to a request that was not served.
func (s *server) answerUnserved(cc *clientConn, cmd command) bool {
	switch {
	case cmd.clientErrorStatus != 0:
		return s.rejectInvalid(cc, &rejection{cmd.clientErrorStatus, cc.request.bookFields(), "this request can't be used"})
	case !cmd.refused:
		cc.badRequests = 0
		return s.reply(cc, 502, cc.request.bookFields(), "failed")
	}
	cc.badRequests = 0
	fields := cc.request.bookFields()
	if cmd.retryAfter > 0 {
		fields += "Retry-After: " + strconv.FormatFloat(cmd.retryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	return s.reply(cc, 429, fields, "refused")
}
