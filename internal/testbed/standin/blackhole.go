package standin

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// Blackhole is an address at which connections neither come up nor are
// refused: a listener whose queue is full and that nobody accepts from.
type Blackhole struct {
	fd   int
	addr string
	held []net.Conn
}

const (
	blackholeFill = 8 // connections that fill a queue of one
	blackholeDial = 200 * time.Millisecond
)

// NewBlackhole opens one on this machine.
func NewBlackhole() (*Blackhole, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("black hole: %w", err)
	}
	b := &Blackhole{fd: fd}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		b.Close()
		return nil, fmt.Errorf("black hole: %w", err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		b.Close()
		return nil, fmt.Errorf("black hole: %w", err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		b.Close()
		return nil, fmt.Errorf("black hole: %w", err)
	}
	b.addr = fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	for range blackholeFill {
		c, err := net.DialTimeout("tcp", b.addr, blackholeDial)
		if err != nil {
			return b, nil // the queue is full
		}
		b.held = append(b.held, c)
	}
	b.Close()
	return nil, fmt.Errorf("black hole: its queue took %d connections", blackholeFill)
}

// Addr is where nothing comes up.
func (b *Blackhole) Addr() string { return b.addr }

// Close lets go of the address.
func (b *Blackhole) Close() {
	for _, c := range b.held {
		c.Close()
	}
	syscall.Close(b.fd)
}
