package world

import (
	"context"
	"net"
	"time"
)

// Clock tells the time and sets timers.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) Timer
}

// Timer is a timer that was set once; its channel gets one value.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
}

// Network opens sockets.
type Network interface {
	Listen(ctx context.Context, network, address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
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

// Real is the machine's own clock and network.
type Real struct{}

type realTimer struct{ t *time.Timer }

func (t realTimer) C() <-chan time.Time { return t.t.C }
func (t realTimer) Stop() bool          { return t.t.Stop() }

// Now is the system's time, with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// NewTimer sets a timer.
func (Real) NewTimer(d time.Duration) Timer { return realTimer{time.NewTimer(d)} }

// Listen opens a listener.
func (Real) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	return lc.Listen(ctx, network, address)
}

// Dial opens a connection.
func (Real) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, network, address)
}
