package logring

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	most  = 1                // verbosity that is kept
	back  = 10 * time.Second // how old a line an error still brings out
	apart = time.Second      // between two errors that are written
)

// Ring is a ring of log lines. Values are formatted when written out: they must
// not change after they were logged.
type Ring struct {
	clock world.Clock
	out   io.Writer

	mu      sync.Mutex
	ring    []line
	next    uint64 // number of the next line
	written uint64 // lines below are written out or lost
	last    time.Time
}

type line struct {
	at         time.Time
	name, text string
	failed     bool
	err        error
	with, more []any
}

// New makes a ring for so many lines.
func New(clock world.Clock, size int, out io.Writer) *Ring {
	return &Ring{clock: clock, out: out, ring: make([]line, max(size, 1))}
}

// Logger returns a logger whose lines go in here.
func (s *Ring) Logger() logr.Logger { return logr.New(&sink{ring: s}) }

// Dump writes out what was not yet, whatever its age.
func (s *Ring) Dump(why string) {
	s.mu.Lock()
	now := s.clock.Now()
	s.keep(line{at: now, text: why})
	text := s.unwritten(time.Time{})
	s.last = now
	s.mu.Unlock()
	_, _ = s.out.Write(text)
}

// keep puts a line in the ring, over the oldest; the mutex is held.
func (s *Ring) keep(l line) {
	s.ring[s.next%uint64(len(s.ring))] = l
	s.next++
}

func (s *Ring) info(l line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.at = s.clock.Now()
	s.keep(l)
}

func (s *Ring) fault(l line) {
	s.mu.Lock()
	l.at = s.clock.Now()
	s.keep(l)
	if !s.last.IsZero() && l.at.Sub(s.last) < apart {
		s.mu.Unlock()
		return
	}
	s.last = l.at
	text := s.unwritten(l.at.Add(-back))
	s.mu.Unlock()
	_, _ = s.out.Write(text)
}

// unwritten formats the lines since a time that were not written, and says how many were lost.
func (s *Ring) unwritten(since time.Time) []byte {
	var b bytes.Buffer
	if size := uint64(len(s.ring)); s.next-s.written > size {
		fmt.Fprintf(&b, "... %d lines lost\n", s.next-s.written-size)
		s.written = s.next - size
	}
	for ; s.written < s.next; s.written++ {
		l := &s.ring[s.written%uint64(len(s.ring))]
		if !l.at.Before(since) {
			l.format(&b)
		}
	}
	return b.Bytes()
}

func (l *line) format(b *bytes.Buffer) {
	b.Write(l.at.UTC().AppendFormat(b.AvailableBuffer(), "15:04:05.000 "))
	if l.failed {
		b.WriteString("ERROR ")
	}
	if l.name != "" {
		b.WriteString(l.name + ": ")
	}
	b.WriteString(l.text)
	if l.err != nil {
		pair(b, "err", l.err)
	}
	for _, kv := range [][]any{l.with, l.more} {
		for i := 0; i < len(kv); i += 2 {
			if i+1 == len(kv) {
				pair(b, "?", kv[i])
				break
			}
			pair(b, fmt.Sprint(kv[i]), kv[i+1])
		}
	}
	b.WriteByte('\n')
}

func pair(b *bytes.Buffer, key string, v any) {
	text := fmt.Sprint(v)
	if text == "" || strings.ContainsAny(text, " \t\n\"=") {
		text = strconv.Quote(text)
	}
	b.WriteString(" " + key + "=" + text)
}

// sink is a ring as one logger sees it.
type sink struct {
	ring *Ring
	name string
	with []any
}

func (k *sink) Init(logr.RuntimeInfo) {}

func (k *sink) Enabled(level int) bool { return level <= most }

func (k *sink) Info(_ int, text string, kv ...any) {
	k.ring.info(line{name: k.name, text: text, with: k.with, more: kv})
}

func (k *sink) Error(err error, text string, kv ...any) {
	k.ring.fault(line{name: k.name, text: text, failed: true, err: err, with: k.with, more: kv})
}

func (k *sink) WithValues(kv ...any) logr.LogSink {
	return &sink{k.ring, k.name, append(k.with[:len(k.with):len(k.with)], kv...)}
}

func (k *sink) WithName(name string) logr.LogSink {
	if k.name != "" {
		name = k.name + "/" + name
	}
	return &sink{k.ring, name, k.with}
}
