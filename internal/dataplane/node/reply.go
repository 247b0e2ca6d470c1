package node

import (
	"io"
	"strconv"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	maxInvalidRequests  = 3                      // requests in a row that can't be used, then the connection is closed
	invalidRequestPause = 100 * time.Millisecond // before the next is read: one client must not take the core from others

	lingerTime            = 500 * time.Millisecond // a client that still sends is given so long to read why not
	maxLingerBytes        = 256 << 10              // bytes
	maxManagedLingerBytes = 16 << 20               // where bodies may be long
)

// rejectAndClose answers what can't be read and lets go of the connection. What the
// client still sends is passed over for a while: were it closed at once, the
// answer might never reach it.
func (s *server) rejectAndClose(cc *clientConn, status int, fields, why string) {
	s.setState(cc, connLinger)
	if s.writeAnswer(cc, status, fields+"Connection: close\r\n", why) == nil {
		s.discardInput(cc)
	}
}

// discardInput ends the sending and lets go of what the client still sends.
func (s *server) discardInput(cc *clientConn) {
	most := int64(maxLingerBytes)
	if s.managed != nil {
		most = maxManagedLingerBytes
	}
	if half, ok := cc.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if s.setReadTimeout(cc, lingerTime) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(cc.Conn, most))
	}
}

// writeAnswer writes an answer in one piece.
func (s *server) writeAnswer(cc *clientConn, status int, fields, body string) error {
	b := appendHead(cc.output[:0], status, fields, len(body))
	if string(cc.request.method) != "HEAD" { // RFC 9110, 9.3.2: the length that a GET would have, and no body
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
		cc.output = nil // a large one is not kept
	}
	if err := cc.SetWriteDeadline(by); err != nil {
		return err
	}
	_, err := cc.Write(b)
	return err
}

// reply answers a request; the connection goes on if both sides want it.
func (s *server) reply(cc *clientConn, status int, fields, body string) bool {
	over := s.draining.Load() || s.resting.Load() || cc.request.wantsClose() || cc.input.hasUnreadBody() || s.shouldCloseAfterAnswer(cc)
	if over {
		fields += "Connection: close\r\n"
	}
	written := s.writeAnswer(cc, status, fields, body) == nil
	cc.finalAnswerSent = written && over
	return written && !over
}

// rejectInvalid answers a request that can't be used, at once; the next one waits. A
// client that sends nothing else is let go.
func (s *server) rejectInvalid(cc *clientConn, why *rejection) bool {
	if cc.badRequests++; cc.badRequests < maxInvalidRequests {
		on := s.reply(cc, why.status, why.headerFields, why.text)
		world.Pause(s.clock, invalidRequestPause)
		return on
	}
	s.rejectAndClose(cc, why.status, why.headerFields, why.text)
	return false
}

// answerUnserved writes the answer to what was not served.
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
