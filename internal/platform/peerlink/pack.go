package peerlink

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/gob"
	"io"

	"github.com/pkg/errors"
)

const (
	packHead  = 8 + 32 // bytes: number and digest
	mostPlain = 64 << 20
)

// Pack readies a configuration for being sent many times.
func (p *Configuration) Pack() *Configuration {
	p.packed, _ = p.GobEncode()
	return p
}

// GobEncode writes number, digest and the body, compressed: links are narrow, and it goes down many of them.
func (p *Configuration) GobEncode() ([]byte, error) {
	if p.packed != nil {
		return p.packed, nil
	}
	b := bytes.NewBuffer(binary.BigEndian.AppendUint64(make([]byte, 0, packHead+len(p.Body)/4), p.Gen))
	b.Write(p.Digest[:])
	w, err := flate.NewWriter(b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(p.Body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// GobDecode reads what GobEncode wrote.
func (p *Configuration) GobDecode(b []byte) error {
	if len(b) < packHead {
		return errors.New("peerlink: a configuration cut short")
	}
	p.Gen = binary.BigEndian.Uint64(b)
	copy(p.Digest[:], b[8:])
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[packHead:])), mostPlain+1))
	switch {
	case err != nil:
		return errors.Wrap(err, "peerlink: a configuration")
	case len(body) > mostPlain:
		return errors.New("peerlink: a configuration is too large")
	}
	p.Body = body
	return nil
}

// packFrom is how many lines a list or a census has that goes compressed: a short one comes out longer.
const packFrom = 32

// packed is the compressed form of one slice of lines; whoever copies its owner and gives the copy other lines has it
// made anew.
type packed[T any] struct {
	of   *T // the first line
	n    int
	text []byte
}

// pack returns lines as a compressed gob, made once for the same lines; nil: they go as they are.
func (p *packed[T]) pack(lines []T) []byte {
	if len(lines) < packFrom {
		return nil
	}
	if p.of == &lines[0] && p.n == len(lines) {
		return p.text
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil || gob.NewEncoder(w).Encode(lines) != nil || w.Close() != nil {
		return nil
	}
	*p = packed[T]{&lines[0], len(lines), b.Bytes()}
	return p.text
}

func unpack[T any](text []byte, lines *[]T) error {
	r := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(text)), N: mostPlain}
	return errors.Wrap(gob.NewDecoder(r).Decode(lines), "peerlink: packed lines")
}

// Pack returns the change as it is best sent to one that can unpack. It is kept with the list and the census, so their
// owner sees to it that no two do so at once.
func (c *Change) Pack() *Change {
	x := *c
	if s := c.Servers; s != nil {
		if text := s.packed.pack(s.List); text != nil {
			x.Servers = &Servers{Stamp: s.Stamp, By: s.By, Term: s.Term, Part: s.Part, Gone: s.Gone, Packed: text}
		}
	}
	if s := c.Census; s != nil {
		if text := s.packed.pack(s.Proxies); text != nil {
			x.Census = &Census{Part: s.Part, Replicas: s.Replicas, Gone: s.Gone, Shares: s.Shares, Packed: text}
		}
	}
	return &x
}

// unpack makes lines of what was packed.
func (c *Change) unpack() error {
	if s := c.Servers; s != nil && s.Packed != nil {
		if err := unpack(s.Packed, &s.List); err != nil {
			return err
		}
		s.Packed = nil
	}
	if s := c.Census; s != nil && s.Packed != nil {
		if err := unpack(s.Packed, &s.Proxies); err != nil {
			return err
		}
		s.Packed = nil
	}
	return nil
}
