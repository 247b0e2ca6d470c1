package node

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// Limits of one HTTP/1.1 message.
const (
	maxBodyBytes      = 64 << 10
	maxHeadBytes      = 16 << 10
	maxHeadFields     = 100
	maxChunkLineBytes = 256 // line with a chunk's size and extensions
	minBufferBytes    = 2 << 10
)

// Errors in a message. After any of these nothing more can be read from the connection, because the start of the next message
// is unknown.
var (
	errSyntax   = errors.New("the message can't be read")
	errFraming  = errors.New("the message's length is not clear")
	errLongHead = errors.New("the head is too long")
	errLongBody = errors.New("the body is too long")
)

// messageReader reads HTTP/1.1 messages from a connection. It rejects ambiguous messages, since a server or another proxy might
// interpret them differently, which would allow request smuggling. The slices that it returns are valid until startMessage.
type messageReader struct {
	src        io.Reader
	buf        []byte
	off        int           // bytes of buf before this offset are consumed
	maxBody    int           // limit of a body in bytes; 0: maxBodyBytes
	maxHead    int           // limit of a head in bytes; 0: maxHeadBytes
	window     int           // bytes of a body that readBody reads at once, the others follow in pieces; 0: all
	remainder  bodyRemainder // unread part of a body longer than the window
	ownsBuffer bool          // no caller needs the consumed bytes of buf any more
}

// bodyLimit returns the maximum size of a body in bytes.
func (s *messageReader) bodyLimit() int {
	if s.maxBody > 0 {
		return s.maxBody
	}
	return maxBodyBytes
}

// headLimit returns the maximum size of a head in bytes.
func (s *messageReader) headLimit() int {
	if s.maxHead > 0 {
		return s.maxHead
	}
	return maxHeadBytes
}

// buffered returns the number of bytes that were read from the connection and not consumed yet.
func (s *messageReader) buffered() int { return len(s.buf) - s.off }

// startMessage releases the previous message and prepares for the next one. A buffer that grew for a large message is
// replaced by a small one.
func (s *messageReader) startMessage() {
	unread := s.buf[s.off:]
	if cap(s.buf) > 2*minBufferBytes && len(unread) < minBufferBytes {
		s.buf = append(make([]byte, 0, minBufferBytes), unread...)
	} else {
		s.buf = s.buf[:copy(s.buf, unread)]
	}
	s.off, s.remainder, s.ownsBuffer = 0, bodyRemainder{}, false
}

// fill reads at least one more byte into the buffer.
func (s *messageReader) fill() error {
	if len(s.buf) == cap(s.buf) {
		s.grow()
	}
	n, err := s.src.Read(s.buf[len(s.buf):cap(s.buf)])
	s.buf = s.buf[:len(s.buf)+n]
	switch {
	case n > 0:
		return nil
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// readBytes returns the next n bytes and consumes them.
func (s *messageReader) readBytes(n int) ([]byte, error) {
	if s.window > 0 && n > maxDoublingBytes && s.off+n > cap(s.buf) {
		s.buf, s.off = append(make([]byte, 0, n), s.buf[s.off:]...), 0
	}
	for s.buffered() < n {
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
	s.off += n
	return s.buf[s.off-n : s.off], nil
}

// readLines returns the bytes up to and including the first CRLF or, for a whole head, the first empty line. The message must
// begin with start and have at most limit bytes. A byte that is invalid in a line is an error as soon as it arrives.
func (s *messageReader) readLines(start string, wholeHead bool, limit int) ([]byte, error) {
	for i := 0; ; i++ {
		for s.buffered() <= i {
			if err := s.fill(); err != nil {
				return nil, err
			}
		}
		b := s.buf[s.off:]
		switch c := b[i]; {
		case i >= limit:
			return nil, errLongHead
		case i < len(start) && c != start[i]:
			return nil, errSyntax
		case c == '\n':
			if i == 0 || b[i-1] != '\r' {
				return nil, errSyntax
			}
			if !wholeHead || i < 2 || b[i-2] == '\n' {
				s.off += i + 1
				return b[:i+1], nil
			}
		case i > 0 && b[i-1] == '\r', c < ' ' && c != '\t' && c != '\r', c == 0x7f:
			return nil, errSyntax
		}
	}
}

// head is the parsed head of a message.
type head struct {
	firstLine []byte // the start line
	fields    []field
	length    int // of the body in bytes; -1: chunked, -2: not given
}

// field is a header field.
type field struct{ name, value []byte }

// readHead reads and parses a head, which must begin with start.
func (s *messageReader) readHead(h *head, start string) error {
	b, err := s.readLines(start, true, s.headLimit())
	if err != nil {
		return err
	}
	h.firstLine, b, _ = bytes.Cut(b, []byte("\r\n"))
	h.fields, h.length = h.fields[:0], -2
	for string(b) != "\r\n" && len(b) > 0 {
		var line []byte
		line, b, _ = bytes.Cut(b, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || len(h.fields) == maxHeadFields {
			return errSyntax // covers folded lines and blanks before the colon too
		}
		h.fields = append(h.fields, field{name, bytes.Trim(value, " \t")})
	}
	return h.parseFraming(s.bodyLimit())
}

// parseFraming determines the body's length from Content-Length or Transfer-Encoding. A head with more than one of these
// fields is rejected.
func (h *head) parseFraming(maxBody int) error {
	length, n := h.valueAndCount("Content-Length")
	coding, m := h.valueAndCount("Transfer-Encoding")
	switch {
	case n+m > 1:
		return errFraming
	case n == 1:
		if h.length, n = parseDecimal(length); n == 0 {
			return errFraming
		}
		if h.length > maxBody {
			return errLongBody
		}
	case m == 1:
		if !strings.EqualFold(string(coding), "chunked") {
			return errFraming
		}
		h.length = -1
	}
	return nil
}

// valueAndCount returns the value of the first field of a name, and the number of fields of that name.
func (h *head) valueAndCount(name string) (value []byte, n int) {
	for i := range h.fields {
		if f := &h.fields[i]; len(f.name) == len(name) && strings.EqualFold(string(f.name), name) {
			if n++; n == 1 {
				value = f.value
			}
		}
	}
	return value, n
}

// get returns the value of the first field of a name, or nil.
func (h *head) get(name string) []byte {
	v, _ := h.valueAndCount(name)
	return v
}

// hasToken reports whether a field with a comma-separated list contains a token.
func (h *head) hasToken(name, token string) bool {
	for i := range h.fields {
		if !strings.EqualFold(string(h.fields[i].name), name) {
			continue
		}
		for listed := range strings.SplitSeq(string(h.fields[i].value), ",") {
			if strings.EqualFold(strings.Trim(listed, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// readBody reads the body that the head announces, up to the size of the window.
func (s *messageReader) readBody(h *head) ([]byte, error) {
	window := s.bodyLimit()
	if s.window > 0 {
		window = s.window
	}
	if h.length >= 0 {
		n := min(h.length, window)
		s.remainder.bytesLeft = h.length - n
		return s.readBytes(n)
	}
	var body []byte
	for h.length == -1 {
		n, err := s.readChunkSize(len(body))
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return body, s.skipTrailer()
		}
		if len(body)+n > window {
			part, err := s.readBytes(window - len(body))
			s.remainder = bodyRemainder{bytesLeft: n - len(part), chunkBytes: len(body) + n, moreChunks: true}
			return append(body, part...), err
		}
		chunk, err := s.readBytes(n + 2)
		if err != nil {
			return nil, err
		}
		if string(chunk[n:]) != "\r\n" {
			return nil, errFraming
		}
		body = append(body, chunk[:n]...)
	}
	return body, nil
}

// readChunkSize reads the size of the next chunk. The body's earlier chunks have total bytes.
func (s *messageReader) readChunkSize(total int) (int, error) {
	line, err := s.readLines("", false, maxChunkLineBytes)
	if err != nil {
		return 0, err
	}
	size, _, _ := bytes.Cut(line[:len(line)-2], []byte(";"))
	n, ok := parseHex(size)
	switch {
	case !ok:
		return 0, errFraming
	case n > s.bodyLimit()-total:
		return 0, errLongBody
	}
	return n, nil
}

// skipTrailer skips the trailer fields after the last chunk.
func (s *messageReader) skipTrailer() error {
	for range maxHeadFields {
		line, err := s.readLines("", false, maxHeadBytes)
		if err != nil {
			return err
		}
		if len(line) == 2 {
			return nil
		}
		if name, _, ok := bytes.Cut(line, []byte(":")); !ok || !isToken(name) {
			return errSyntax
		}
	}
	return errLongHead
}

// isToken reports whether the text is a token by RFC 9110, 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// parseDecimal parses a number that consists of digits only. It returns the number of digits, 0 if the text is invalid.
func parseDecimal(b []byte) (v, n int) {
	if len(b) == 0 || len(b) > 18 {
		return 0, 0
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, 0
		}
		v = 10*v + int(c-'0')
	}
	return v, len(b)
}

// parseHex parses a hexadecimal number of at most 8 digits.
func parseHex(b []byte) (v int, ok bool) {
	for _, c := range b {
		d := strings.IndexByte("0123456789abcdef", c|0x20)
		if d < 0 || c < '0' {
			return 0, false
		}
		v = 16*v + d
	}
	return v, len(b) > 0 && len(b) <= 8
}
