package node

import (
	"io"
	"strconv"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	mostBad  = 3                      // requests in a row that can't be used, then the connection is closed
	badPause = 100 * time.Millisecond // before the next is read: one client must not take the core from others

	lingerFor  = 500 * time.Millisecond // a client that still sends is given so long to read why not
	lingerMost = 256 << 10              // bytes
	lingerBody = 16 << 20               // where bodies may be long
)

// turnAway answers what can't be read and lets go of the connection. What the
// client still sends is passed over for a while: were it closed at once, the
// answer might never reach it.
func (s *server) turnAway(cc *clientConn, status int, fields, why string) {
	s.setState(cc, connLinger)
	if s.answer(cc, status, fields+"Connection: close\r\n", why) == nil {
		s.passOver(cc)
	}
}

// passOver ends the sending and lets go of what the client still sends.
func (s *server) passOver(cc *clientConn) {
	most := int64(lingerMost)
	if s.estate != nil {
		most = lingerBody
	}
	if half, ok := cc.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if s.setReadTimeout(cc, lingerFor) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(cc.Conn, most))
	}
}

// answer writes an answer in one piece.
func (s *server) answer(cc *clientConn, status int, fields, body string) error {
	b := appendHead(cc.output[:0], status, fields, len(body))
	if string(cc.request.method) != "HEAD" { // RFC 9110, 9.3.2: the length that a GET would have, and no body
		b = append(b, body...)
	}
	return cc.write(b, s.clock.Now().Add(s.tune.Load().ClientWrite))
}

func appendHead(b []byte, status int, fields string, length int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	b = append(b, "\r\n"...)
	b = append(b, fields...)
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, "\r\n\r\n"...)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
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
	over := s.draining.Load() || s.resting.Load() || cc.request.over() || cc.input.unread() || s.shouldCloseAfterAnswer(cc)
	if over {
		fields += "Connection: close\r\n"
	}
	written := s.answer(cc, status, fields, body) == nil
	cc.finalAnswerSent = written && over
	return written && !over
}

// bad answers a request that can't be used, at once; the next one waits. A
// client that sends nothing else is let go.
func (s *server) bad(cc *clientConn, why *rejection) bool {
	if cc.badRequests++; cc.badRequests < mostBad {
		on := s.reply(cc, why.status, why.headerFields, why.text)
		world.Pause(s.clock, badPause)
		return on
	}
	s.turnAway(cc, why.status, why.headerFields, why.text)
	return false
}

// final writes the answer to what was not served.
func (s *server) final(cc *clientConn, cmd command) bool {
	switch {
	case cmd.clientErrorStatus != 0:
		return s.bad(cc, &rejection{cmd.clientErrorStatus, cc.request.bookFields(), "this request can't be used"})
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
