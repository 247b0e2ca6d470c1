package node

// What of a body is beyond its window.

const (
	// A body up to here is held whole, so that it may be sent again; of a longer one no more is held at a time.
	// It is what an edge node's memory bears for each of its connections to servers at once, and far above what most
	// bodies have.
	bodyWindowBytes  = 16 << 10
	maxDoublingBytes = 8 << 10 // a body beyond gets room of its size
)

// bodyRemainder is what is to come of a body beyond the window.
type bodyRemainder struct {
	bytesLeft     int  // bytes of the body, or of its chunk
	chunkBytes    int  // bytes of all chunks that were told
	moreChunks    bool // more chunks may follow
	chunkEndRead  bool // the line's end behind the last one has been passed over
	lastChunkRead bool // the last one has come, and its trailer not yet
	hasDiscarded  bool // some of it is held no more
}

// hasUnreadBody tells whether something of the body has not come yet.
func (s *messageReader) hasUnreadBody() bool {
	return s.remainder.bytesLeft > 0 || s.remainder.moreChunks
}

// grow makes room. What has been used is let go where nobody needs it there; who still has a slice keeps the old
// buffer.
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

// nextPiece returns what comes next of the rest, and no bytes at its end. They hold until the next call. After a
// time-out it may be called again.
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

// startNextChunk passes over the end of a chunk and reads the size of the next one.
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
