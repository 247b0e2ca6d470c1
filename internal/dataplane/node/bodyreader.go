package node

// Reading of the part of a body that is longer than the window.

const (
	// A body up to this size is buffered whole, so that it can be sent again. Of a longer body no more than this is
	// buffered at a time. A proxy can afford this much for each of its server connections at once, and most bodies
	// are far smaller.
	bodyWindowBytes  = 16 << 10
	maxDoublingBytes = 8 << 10 // to read more bytes than this, the buffer grows to the exact size
)

// bodyRemainder is the unread part of a body that is longer than the window.
type bodyRemainder struct {
	bytesLeft     int  // unread bytes of the body or of its current chunk
	chunkBytes    int  // total size of the chunks announced so far
	moreChunks    bool // further chunks may follow
	chunkEndRead  bool // the line break after the last chunk has been read
	lastChunkRead bool // the last chunk's size line has been read, but not yet the trailer
	hasDiscarded  bool // part of the body is no longer buffered
}

// hasUnreadBody reports whether part of the body has not arrived yet.
func (s *messageReader) hasUnreadBody() bool {
	return s.remainder.bytesLeft > 0 || s.remainder.moreChunks
}

// grow makes room in the buffer. If the reader owns the buffer, it reuses the space of consumed bytes. Otherwise it
// allocates a new buffer, so that slices handed out earlier stay valid.
func (s *messageReader) grow() {
	rest := s.buf[s.off:]
	switch {
	case s.ownsBuffer && s.off > 0:
		s.buf, s.off = s.buf[:copy(s.buf, rest)], 0
	case s.window > 0 && 2*s.off >= cap(s.buf) && s.off > 0:
		s.buf, s.off = append(make([]byte, 0, cap(s.buf)), rest...), 0
	default:
		s.buf = append(make([]byte, 0, max(minBufferBytes, 2*cap(s.buf))), s.buf...)
	}
}

// nextPiece returns the next piece of the remainder, or no bytes at its end. The bytes are valid until the next call.
// After a timeout it may be called again.
func (s *messageReader) nextPiece() ([]byte, error) {
	r := &s.remainder
	for r.bytesLeft == 0 {
		switch {
		case !r.moreChunks:
			return nil, nil
		case r.lastChunkRead:
			if err := s.skipTrailer(); err != nil {
				return nil, err
			}
			r.moreChunks = false
			return nil, nil
		}
		if err := s.startNextChunk(); err != nil {
			return nil, err
		}
	}
	if s.buffered() == 0 {
		if !s.ownsBuffer {
			s.buf, s.ownsBuffer = make([]byte, 0, bodyWindowBytes), true
		}
		s.buf, s.off = s.buf[:0], 0
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
	n := min(r.bytesLeft, s.buffered())
	r.bytesLeft, r.hasDiscarded, s.off = r.bytesLeft-n, true, s.off+n
	return s.buf[s.off-n : s.off], nil
}

// startNextChunk reads past the end of a chunk and reads the next chunk's size.
func (s *messageReader) startNextChunk() error {
	r := &s.remainder
	if !r.chunkEndRead {
		b, err := s.readBytes(2)
		switch {
		case err != nil:
			return err
		case string(b) != "\r\n":
			return errFraming
		}
		r.chunkEndRead = true
	}
	n, err := s.readChunkSize(r.chunkBytes)
	if err != nil {
		return err
	}
	r.bytesLeft, r.chunkBytes, r.chunkEndRead, r.lastChunkRead = n, r.chunkBytes+n, false, n == 0
	return nil
}
