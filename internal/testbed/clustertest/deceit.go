package clustertest

import (
	"context"
	"net"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/emulator"
)

// Deceit is the world of a process with a wrong clock, or with connections whose content a test sees and changes.
type Deceit struct {
	emulator.Process
	Shift   time.Duration                         // its time of day is so far off
	Front   func(c net.Conn) net.Conn             // changes what passes on connections that clients opened
	Redial  time.Duration                         // the first connection that it opens to one of the system lasts so long; 0: as long as it may
	Dialled func(f *peerlink.Frame, in bool) bool // looks at what passes on those that it opened; false: it is dropped
}

// Now returns the wrong time of day.
func (d *Deceit) Now() time.Time { return time.Now().Add(d.Shift) }

// Dial opens a connection, and relays its frames by Dialled if it leads to a process of the system.
func (d *Deceit) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Process.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.Dialled != nil && inner(address) {
		if d.Redial > 0 {
			time.AfterFunc(d.Redial, func() { c.Close() })
			d.Redial = 0
		}
		return d.relay(c, d.Dialled), nil
	}
	return d.shifted(c), nil
}

// Listen opens a listener whose connections are changed by Front and Shift.
func (d *Deceit) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	l, err := d.Process.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &deceived{l, d, address}, nil
}

// deceived is a listener whose connections are changed.
type deceived struct {
	net.Listener
	d  *Deceit
	at string
}

func (l *deceived) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	switch _, port, _ := net.SplitHostPort(l.at); {
	case port == readyPort: // served by net/http, which goes by a clock of its own
		return c, nil
	case port == frontPort && l.d.Front != nil:
		c = l.d.Front(c)
	}
	return l.d.shifted(c), nil
}

// Ports of an edge machine.
const (
	frontPort = "8389" // for clients
	readyPort = "8390" // for the platform
)

// inner tells whether an address is that of a process of the system that speaks in frames.
func inner(address string) bool {
	_, port, _ := net.SplitHostPort(address)
	return port == "7600" || port == "7601"
}

// passed is a connection behind which there is another one.
type passed struct{ net.Conn }

func (c passed) Peek() world.Peeked { return world.Peek(c.Conn) }

func (c passed) PeerClosed() bool {
	p, ok := c.Conn.(interface{ PeerClosed() bool })
	return ok && p.PeerClosed()
}

func (c passed) SetLinger(s int) error {
	if p, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return p.SetLinger(s)
	}
	return nil
}

func (c passed) CloseWrite() error {
	if p, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return p.CloseWrite()
	}
	return nil
}

// shifted is a connection whose deadlines come from a clock that is off.
func (d *Deceit) shifted(c net.Conn) net.Conn {
	if d.Shift == 0 {
		return c
	}
	return &late{passed{c}, d.Shift}
}

type late struct {
	passed
	shift time.Duration
}

func (c *late) true(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-c.shift)
}

func (c *late) SetDeadline(t time.Time) error      { return c.Conn.SetDeadline(c.true(t)) }
func (c *late) SetReadDeadline(t time.Time) error  { return c.Conn.SetReadDeadline(c.true(t)) }
func (c *late) SetWriteDeadline(t time.Time) error { return c.Conn.SetWriteDeadline(c.true(t)) }

// relay stands between a process and one that it called: look sees each frame, and may change or drop it.
func (d *Deceit) relay(c net.Conn, look func(f *peerlink.Frame, in bool) bool) net.Conn {
	mine, other := net.Pipe()
	near, far := peerlink.New(other, world.Real{}), peerlink.New(c, world.Real{})
	near.SetSilence(0)
	far.SetSilence(0)
	carry := func(from, to *peerlink.Conn, in bool) {
		defer from.Close()
		defer to.Finish(time.Second)
		for {
			f, err := from.Receive()
			if err != nil {
				return
			}
			if look(f, in) && to.Send(f) != nil {
				return
			}
		}
	}
	go carry(near, far, false)
	go carry(far, near, true)
	return addressed{mine, c}
}

// addressed is one end of a pipe with the addresses of what it stands for.
type addressed struct {
	net.Conn
	real net.Conn
}

func (a addressed) LocalAddr() net.Addr  { return a.real.LocalAddr() }
func (a addressed) RemoteAddr() net.Addr { return a.real.RemoteAddr() }
