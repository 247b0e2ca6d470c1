package world

import (
	"net"
	"syscall"
)

// Peeked is what stands in a connection's receive buffer.
type Peeked int

// What can stand there.
const (
	PeekQuiet Peeked = iota // nothing
	PeekBytes
	PeekEnd // it is closed or broken
)

// Peek looks at a connection without reading and without waiting, neither for
// bytes nor for a goroutine that reads. A connection of another network has to
// have a method Peek of its own.
func Peek(c net.Conn) Peeked {
	if p, ok := c.(interface{ Peek() Peeked }); ok {
		return p.Peek()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return PeekEnd
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PeekEnd
	}
	found := PeekEnd
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == syscall.EAGAIN || e == syscall.EWOULDBLOCK || e == syscall.EINTR:
			found = PeekQuiet
		case e == nil && n > 0:
			found = PeekBytes
		}
	})
	if err != nil {
		return PeekEnd
	}
	return found
}
