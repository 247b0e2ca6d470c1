package node

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// Bounds of one HTTP/1.1 message.
const (
	maxBodyBytes      = 64 << 10
	maxHeadBytes      = 16 << 10
	maxHeadFields     = 100
	maxChunkLineBytes = 256 // of a chunk's size, with its extensions
	minBufferBytes    = 2 << 10
)

// What is wrong with a message. After any of these nothing more can be read
// from the connection: where the next message begins is not known.
var (
	errSyntax   = errors.New("the message can't be read")
	errFraming  = errors.New("the message's length is not clear")
	errLongHead = errors.New("the head is too long")
	errLongBody = errors.New("the body is too long")
)

// messageReader reads messages from a connection. It takes only what can't be
// understood in two ways, since an app server or a front might understand it
// the other way. Slices that it gives hold until begin.
type messageReader struct {
	src        io.Reader
	buf        []byte
	off        int           // what comes before has been used
	maxBody    int           // bytes of a body; 0: maxBodyBytes
	maxHead    int           // bytes of a head; 0: maxHeadBytes
	window     int           // bytes of a body that are read whole, the others in pieces; 0: all
	remainder  bodyRemainder // of a body longer than the window
	ownsBuffer bool          // nobody needs what has been used of buf
}

// bodyLimit is the most bytes that a body may have.
func (s *messageReader) bodyLimit() int {
	if s.maxBody > 0 {
		return s.maxBody
	}
	return maxBodyBytes
}

// headLimit is the most bytes that a head may have.
func (s *messageReader) headLimit() int {
	if s.maxHead > 0 {
		return s.maxHead
	}
	return maxHeadBytes
}

func (s *messageReader) buffered() int { return len(s.buf) - s.off }

// startMessage lets go of the message before.
func (s *messageReader) startMessage() {
	rest := s.buf[s.off:]
	if cap(s.buf) > 2*minBufferBytes && len(rest) < minBufferBytes {
		s.buf = append(make([]byte, 0, minBufferBytes), rest...)
	} else {
		s.buf = s.buf[:copy(s.buf, rest)]
	}
	s.off, s.remainder, s.ownsBuffer = 0, bodyRemainder{}, false
}

// fill reads what comes next, at least a byte.
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

// readBytes returns the next n bytes.
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

// readLines returns what comes up to the first CRLF, or, for a head, up to the first
// empty line. Bytes that can't stand in a line are noticed as they come.
func (s *messageReader) readLines(start string, whole bool, most int) ([]byte, error) {
	for i := 0; ; i++ {
		for s.buffered() <= i {
			if err := s.fill(); err != nil {
				return nil, err
			}
		}
		b := s.buf[s.off:]
		switch c := b[i]; {
		case i >= most:
			return nil, errLongHead
		case i < len(start) && c != start[i]:
			return nil, errSyntax
		case c == '\n':
			if i == 0 || b[i-1] != '\r' {
				return nil, errSyntax
			}
			if !whole || i < 2 || b[i-2] == '\n' {
				s.off += i + 1
				return b[:i+1], nil
			}
		case i > 0 && b[i-1] == '\r', c < ' ' && c != '\t' && c != '\r', c == 0x7f:
			return nil, errSyntax
		}
	}
}

// head is the head of a message.
type head struct {
	firstLine []byte // the start line
	fields    []field
	length    int // of the body; -1: in chunks, -2: not told
}

type field struct{ name, value []byte }

// readHead reads a head that begins with start.
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
			return errSyntax // a folded line and a blank before the colon too
		}
		h.fields = append(h.fields, field{name, bytes.Trim(value, " \t")})
	}
	return h.parseFraming(s.bodyLimit())
}

// parseFraming finds how the body's end is told. More than one way is none.
func (h *head) parseFraming(most int) error {
	length, n := h.valueAndCount("Content-Length")
	coding, m := h.valueAndCount("Transfer-Encoding")
	switch {
	case n+m > 1:
		return errFraming
	case n == 1:
		if h.length, n = parseDecimal(length); n == 0 {
			return errFraming
		}
		if h.length > most {
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

// valueAndCount returns a field's value and how often the field is there.
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

func (h *head) get(name string) []byte {
	v, _ := h.valueAndCount(name)
	return v
}

// hasToken tells whether a field that lists words lists this one.
func (h *head) hasToken(name, word string) bool {
	for i := range h.fields {
		if !strings.EqualFold(string(h.fields[i].name), name) {
			continue
		}
		for w := range strings.SplitSeq(string(h.fields[i].value), ",") {
			if strings.EqualFold(strings.Trim(w, " \t"), word) {
				return true
			}
		}
	}
	return false
}

// readBody reads the body that the head tells of, of a longer one what the window holds.
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
			s.remainder = bodyRemainder{bytesLeft: n - len(part), chunkBytes: len(body) + n, isChunked: true}
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

// readChunkSize reads the size of the next chunk of a body of which so many bytes have come.
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

// skipTrailer passes over what follows the last chunk.
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

func isToken(b []byte) bool {
	for _, c := range b {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// parseDecimal reads digits and nothing else; n is how many, 0 where that fails.
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
