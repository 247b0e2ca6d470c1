package node

// What of a body is beyond its window.

const (
	// A body up to here is held whole, so that it may be sent again; of a longer one no more is held at a time.
	// It is what an edge node's memory bears for each of its connections to servers at once, and far above what most
	// bodies have.
	bodyWindow  = 16 << 10
	mostDoubled = 8 << 10 // a body beyond gets room of its size
)

// remainder is what is to come of a body beyond the window.
type remainder struct {
	left   int  // bytes of the body, or of its chunk
	total  int  // bytes of all chunks that were told
	chunks bool // more chunks may follow
	parted bool // the line's end behind the last one has been passed over
	ended  bool // the last one has come, and its trailer not yet
	taken  bool // some of it is held no more
}

// unread tells whether something of the body has not come yet.
func (s *messageReader) unread() bool { return s.remainder.left > 0 || s.remainder.chunks }

// widen makes room. What has been used is let go where nobody needs it there; who still has a slice keeps the old
// buffer.
func (s *messageReader) widen() {
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

// piece returns what comes next of the rest, and no bytes at its end. They hold until the next call. After a
// time-out it may be called again.
func (s *messageReader) piece() ([]byte, error) {
	r := &s.remainder
	for r.left == 0 {
		switch {
		case !r.chunks:
			return nil, nil
		case r.ended:
			if err := s.skipTrailer(); err != nil {
				return nil, err
			}
			r.chunks = false
			return nil, nil
		}
		if err := s.chunkEnd(); err != nil {
			return nil, err
		}
	}
	if s.buffered() == 0 {
		if !s.ownsBuffer {
			s.buf, s.ownsBuffer = make([]byte, 0, bodyWindow), true
		}
		s.buf, s.off = s.buf[:0], 0
		if err := s.fill(); err != nil {
			return nil, err
		}
	}
	n := min(r.left, s.buffered())
	r.left, r.taken, s.off = r.left-n, true, s.off+n
	return s.buf[s.off-n : s.off], nil
}

// chunkEnd passes over the end of a chunk and reads the size of the next one.
func (s *messageReader) chunkEnd() error {
	r := &s.remainder
	if !r.parted {
		b, err := s.readBytes(2)
		switch {
		case err != nil:
			return err
		case string(b) != "\r\n":
			return errFraming
		}
		r.parted = true
	}
	n, err := s.readChunkSize(r.total)
	if err != nil {
		return err
	}
	r.left, r.total, r.parted, r.ended = n, r.total+n, false, n == 0
	return nil
}
