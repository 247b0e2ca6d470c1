package emulator

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

// visit is a request at a server.
type visit struct {
	s       *Server
	c       net.Conn
	id      string
	body    string
	arrival *Arrival
}

// fate is what a server in trouble does to an answer.
type fate int

const (
	whole   fate = iota
	lost         // it never comes, nor anything further
	reset        // the connection is reset in its place
	cut          // it ends in the middle
	garbled      // bytes that form no answer
	surplus      // more comes behind it
	belated      // the one before comes once more, ahead of it
	copied       // it comes once more, ahead of the next one on the connection
	failed       // a 500
	last         // the connection is closed behind it
	fates
)

func (s *Server) fate() fate {
	s.mu.Lock()
	share, grey, leaving := s.spoil, s.grey, s.state != "ready"
	s.mu.Unlock()
	switch {
	case s.o.chance() < share:
		return fate(1 + s.o.pick(int(fates)-1))
	case grey > 0 && s.o.chance() < grey:
		return []fate{failed, reset}[s.o.pick(2)]
	case leaving:
		return last
	}
	return whole
}

// refuse answers that the request did not run.
func (v *visit) refuse(status int) bool {
	v.s.o.Book.answered(v.arrival, status, "", "", false)
	all := fmt.Appendf(nil, "HTTP/1.1 %d Refused\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, v.id)
	return v.write(all, v.s.fate())
}

// write writes an answer behind the copy that is due on the connection. A copied one will come again.
func (v *visit) write(all []byte, f fate) bool {
	v.s.mu.Lock()
	due := v.s.copies[v.c]
	delete(v.s.copies, v.c)
	if f == copied {
		v.s.copies[v.c] = all
	}
	v.s.mu.Unlock()
	_, err := v.c.Write(append(due, all...))
	return err == nil
}

// answer answers a request that ran.
func (v *visit) answer(status int, f fate) bool {
	s := v.s
	if f == failed {
		status = 500
	}
	s.mu.Lock()
	s.sealed++
	seal := fmt.Sprintf("%s.%d.%s", s.ID, s.sealed, v.id)
	load := fmt.Sprintf("%d,%d,%d", s.running, len(s.waiting), s.spec.Capacity)
	previous := s.previous
	s.mu.Unlock()
	body := fmt.Sprintf("%s says %s %s", s.ID, v.id, strings.Repeat("x", s.o.pick(300))) + s.o.long()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d Answer\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nServer-Load: %s\r\n", status, v.id, seal, load)
	if f == last {
		b.WriteString("Connection: close\r\n")
	}
	if s.o.chance() < 0.2 {
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	all := b.Bytes()
	broke := f == lost || f == reset || f == cut || f == garbled
	s.o.Book.answered(v.arrival, status, seal, body, broke)
	s.mu.Lock()
	s.previous = bytes.Clone(all)
	s.mu.Unlock()
	switch f {
	case lost:
		s.o.Pause(s.process, 3*time.Second)
		return false
	case reset:
		_ = v.c.(interface{ SetLinger(int) error }).SetLinger(0)
		return false
	case cut:
		_, _ = v.c.Write(all[:len(all)-1-s.o.pick(len(body)+20)])
		return false
	case garbled:
		_, _ = v.c.Write([]byte("\x00\x01 not an answer\r\n\r\n" + body))
		return false
	case surplus:
		_, err := v.c.Write(append(bytes.Clone(all), previous...))
		return err == nil
	case belated:
		_, err := v.c.Write(append(bytes.Clone(previous), all...))
		return err == nil
	}
	return v.write(all, f) && f != last
}
