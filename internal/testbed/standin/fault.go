package standin

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Fault is one way in which a loan server spoils a request. Each is a line of
// PROTOCOL's table of outcomes, or a spoilt answer.
type Fault int

// The faults.
const (
	NoFault       Fault = iota
	ErrorAnswer         // 500, and the request may have run: it has
	NotRun503           // turned away unrun
	NotRun504           // turned away unrun
	ResetUnread         // the connection breaks when the first byte has come
	ResetUnrun          // it breaks once the request is whole, before it runs
	ResetRun            // it breaks after the request has run
	SilentUnrun         // nothing comes, and it never runs
	SilentRun           // nothing comes, but it ran
	HalfAnswer          // the answer stops in its body, then the connection ends
	StalledAnswer       // the answer stops in its body and nothing more comes
	NoLength            // a 200 whose end only the connection's end would tell
	WrongLength         // a 200 with two lengths
	Garbage             // bytes that are no answer
	Trailing            // a whole answer with bytes behind it
	Hundreds            // interim answers ahead of the true one
	CloseAfter          // a whole answer, then the end of the connection without a word
	faults
)

var faultNames = [faults]string{"none", "error", "not-run-503", "not-run-504", "reset-unread", "reset-unrun",
	"reset-run", "silent-unrun", "silent-run", "half-answer", "stalled-answer", "no-length", "wrong-length", "garbage",
	"trailing", "hundreds", "close-after"}

func (f Fault) String() string { return faultNames[f] }

// ParseFault finds a fault by its name.
func ParseFault(name string) (Fault, error) {
	for f, n := range faultNames {
		if n == name {
			return Fault(f), nil
		}
	}
	return 0, fmt.Errorf("unknown fault %q: one of %s", name, strings.Join(faultNames[:], ", "))
}

// Faults lists all of them.
func Faults() (all []Fault) {
	for f := NoFault; f < faults; f++ {
		all = append(all, f)
	}
	return all
}

// runs tells whether a request that meets the fault takes effect.
func (f Fault) runs() bool {
	switch f {
	case NotRun503, NotRun504, ResetUnread, ResetUnrun, SilentUnrun:
		return false
	}
	return true
}

// write puts the answer on the connection as the fault would have it; it is
// false when the connection is over.
func (f Fault) write(c net.Conn, status, headers, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s", status, headers)
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	out, on := whole, true
	switch f {
	case HalfAnswer:
		out, on = whole[:len(whole)-len(body)/2-1], false
	case StalledAnswer:
		out = whole[:len(whole)-len(body)/2-1]
	case NoLength:
		out, on = head+"\r\n"+body, false
	case WrongLength:
		out = fmt.Sprintf("%sContent-Length: 1\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case Garbage:
		out, on = "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", false
	case Trailing:
		out = whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	case Hundreds:
		out = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + whole
	case CloseAfter:
		on = false
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := c.Write([]byte(out))
	return err == nil && on
}

const writeLimit = 5 * time.Second
