package logring

import (
	"bytes"
	"time"
)

// Line is a line that the ring holds, written out or not.
type Line struct {
	No   uint64 // from 0, in the order of logging
	At   time.Time
	Text string // as it is written out, without its time
}

// Lines formats the newest lines with a number of from or more, most of them at
// most, each cut to so many bytes. next is the number that the next line gets.
func (s *Ring) Lines(from uint64, most, bytesEach int) (lines []Line, next uint64) {
	s.mu.Lock()
	next = s.next
	size := uint64(min(most, len(s.ring)))
	if next > size {
		from = max(from, next-size)
	}
	var held []line
	first := from
	for ; from < next; from++ {
		held = append(held, s.ring[from%uint64(len(s.ring))])
	}
	s.mu.Unlock()
	for i, l := range held {
		var b bytes.Buffer
		l.format(&b)
		text := bytes.TrimSuffix(b.Bytes(), []byte("\n"))[len("15:04:05.000 "):]
		if len(text) > bytesEach {
			text = text[:bytesEach]
		}
		lines = append(lines, Line{first + uint64(i), l.at, string(bytes.ToValidUTF8(text, []byte("?")))})
	}
	return lines, next
}
