package world

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Clock tells the time and sets timers.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) Timer
}

// Timer is a timer; its channel gets one value each time that it runs out.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
	Reset(d time.Duration) bool // as time.Timer has it since Go 1.23: no old value is left in the channel
}

// Network opens sockets.
type Network interface {
	Listen(ctx context.Context, network, address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// PacketConn sends and receives datagrams.
type PacketConn interface {
	ReadFrom(b []byte) (n int, from netip.AddrPort, err error) // net.ErrClosed once it is closed
	WriteTo(b []byte, to netip.AddrPort) (int, error)
	Addr() netip.AddrPort // where it is reached
	Close() error
}

// World is all that an edge node takes from outside.
type World interface {
	Clock
	Network
	ListenPacket(address string) (PacketConn, error)
}

// Sleep waits for d; it is false when ctx ended first.
func Sleep(ctx context.Context, c Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C():
		return true
	}
}

// Pause waits for d, whatever happens.
func Pause(c Clock, d time.Duration) { Sleep(context.Background(), c, d) }

// WithTimeout is context.WithTimeout by a clock.
func WithTimeout(ctx context.Context, c Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if _, real := c.(Real); real {
		return context.WithTimeout(ctx, d)
	}
	ctx, cancel := context.WithCancel(ctx)
	t := c.NewTimer(d)
	go func() {
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C():
			cancel()
		}
	}()
	return ctx, cancel
}

// DialWithin is Dial that gives up after d, for those whose dialling outlives
// the call that it was for.
func DialWithin(w World, d time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := WithTimeout(ctx, w, d)
		defer cancel()
		return w.Dial(ctx, network, address)
	}
}

// Real is the machine's own clock and network.
type Real struct{}

type realTimer struct{ t *time.Timer }

func (t realTimer) C() <-chan time.Time        { return t.t.C }
func (t realTimer) Stop() bool                 { return t.t.Stop() }
func (t realTimer) Reset(d time.Duration) bool { return t.t.Reset(d) }

// Now is the system's time, with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// NewTimer sets a timer.
func (Real) NewTimer(d time.Duration) Timer { return realTimer{time.NewTimer(d)} }

// Listen opens a listener. TCP keep-alive is off: the program's own time-outs
// are shorter, and each accept saves four system calls.
func (Real) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	return lc.Listen(ctx, network, address)
}

// Dial opens a connection.
func (Real) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, network, address)
}

type realPackets struct{ c *net.UDPConn }

func (p realPackets) ReadFrom(b []byte) (int, netip.AddrPort, error) {
	n, from, err := p.c.ReadFromUDPAddrPort(b)
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), err
}
func (p realPackets) WriteTo(b []byte, to netip.AddrPort) (int, error) {
	return p.c.WriteToUDPAddrPort(b, to)
}
func (p realPackets) Close() error { return p.c.Close() }
func (p realPackets) Addr() netip.AddrPort {
	return p.c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// ListenPacket opens a UDP socket.
func (Real) ListenPacket(address string) (PacketConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	return realPackets{c}, nil
}
