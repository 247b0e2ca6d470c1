package sim

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Process is one process' world: what it has open ends with it.
type Process struct {
	world.Real // the clock
	m          *Machine
	gone       bool // under the net's mutex
	dead       chan struct{}
	listeners  []*listener
	packets    []*packets
}

// Kill ends the process: its connections are reset.
func (p *Process) Kill() { p.end(true) }

// Dead is closed when the process has ended.
func (p *Process) Dead() <-chan struct{} { return p.dead }

func (p *Process) end(told bool) {
	n := p.m.net
	n.mu.Lock()
	if p.gone {
		n.mu.Unlock()
		return
	}
	p.gone = true
	p.m.processes = slices.DeleteFunc(p.m.processes, func(o *Process) bool { return o == p })
	var mine []*conn
	for c := range n.conns {
		if c.owner == p {
			mine = append(mine, c)
		}
	}
	listeners, sockets := p.listeners, p.packets
	n.mu.Unlock()
	close(p.dead)
	for _, l := range listeners {
		l.shut(told)
	}
	for _, s := range sockets {
		_ = s.Close()
	}
	for _, c := range mine {
		c.abort(told)
	}
}

func (p *Process) owns(ap netip.AddrPort) bool {
	return ap.Addr().IsLoopback() || ap.Addr().String() == p.m.ip
}

// Listen opens a listener on the machine's address or its loopback.
func (p *Process) Listen(_ context.Context, network, address string) (net.Listener, error) {
	n := p.m.net
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := func(err error) error {
		return &net.OpError{Op: "listen", Net: network, Err: os.NewSyscallError("bind", err)}
	}
	ap, err := n.address(address)
	if err != nil {
		return nil, err
	}
	key := p.m.key(ap.String())
	switch {
	case p.gone:
		return nil, fault(net.ErrClosed)
	case !p.owns(ap):
		return nil, fault(syscall.EADDRNOTAVAIL)
	case n.listeners[key] != nil:
		return nil, fault(syscall.EADDRINUSE)
	}
	l := &listener{net: n, key: key, addr: ap, owner: p, come: make(chan *conn, backlog), done: make(chan struct{})}
	n.listeners[key] = l
	p.listeners = append(p.listeners, l)
	return l, nil
}

// ListenPacket opens a socket for datagrams on the machine's address.
func (p *Process) ListenPacket(address string) (world.PacketConn, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n := p.m.net
	n.mu.Lock()
	gone := p.gone
	n.mu.Unlock()
	if gone || !p.owns(ap) {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: os.NewSyscallError("bind", syscall.EADDRNOTAVAIL)}
	}
	s, err := n.ListenPacket(address)
	if err == nil {
		n.mu.Lock()
		p.packets = append(p.packets, s.(*packets))
		n.mu.Unlock()
	}
	return s, err
}

// Dial opens a connection. An opening packet that gets lost is sent again after a second, then two, and so on.
func (p *Process) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	fault := func(err error) error { return &net.OpError{Op: "dial", Net: network, Err: err} }
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault(err)
	}
	n, from, to := p.m.net, p.m.ip, ap.Addr().String()
	if ap.Addr().IsLoopback() {
		to = from
	}
	for again := time.Second; ; again *= 2 {
		if !p.sleep(ctx, n.latencyFrom(from, to)) {
			return nil, fault(p.why(ctx))
		}
		n.mu.Lock()
		gone, known, there, back := p.gone, n.machines[to] != nil, n.bars[[2]string{from, to}], n.barred(to, from)
		lost := !known || n.dark[to] || there == Silent || back
		n.mu.Unlock()
		switch {
		case gone:
			return nil, fault(net.ErrClosed)
		case there == Refusing:
			return nil, fault(os.NewSyscallError("connect", syscall.ECONNREFUSED))
		case !lost:
			return p.connect(ctx, ap, to)
		}
		if !p.sleep(ctx, again) {
			return nil, fault(p.why(ctx))
		}
	}
}

func (p *Process) connect(ctx context.Context, ap netip.AddrPort, to string) (net.Conn, error) {
	n, from := p.m.net, p.m.ip
	n.mu.Lock()
	l := n.listeners[p.m.key(ap.String())]
	if l == nil {
		n.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", ap, os.NewSyscallError("connect", syscall.ECONNREFUSED))}
	}
	out, in := newPipe(), newPipe()
	out.net, out.from, out.to = n, from, to
	in.net, in.from, in.to = n, to, from
	out.mate, in.mate = in, out
	host := netip.MustParseAddr(from)
	if ap.Addr().IsLoopback() {
		host = ap.Addr()
	}
	local, remote := net.TCPAddrFromAddrPort(netip.AddrPortFrom(host, n.free())), net.TCPAddrFromAddrPort(ap)
	mine := &conn{net: n, in: in, out: out, local: local, remote: remote, owner: p}
	theirs := &conn{net: n, in: out, out: in, local: remote, remote: local, owner: l.owner}
	mine.peer, theirs.peer = theirs, mine
	n.conns[mine], n.conns[theirs] = ap.String(), ap.String()
	n.mu.Unlock()
	fail := func(err error) (net.Conn, error) {
		_ = mine.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	select {
	case l.come <- theirs:
	default:
		return fail(os.NewSyscallError("connect", syscall.ETIMEDOUT))
	}
	if !p.sleep(ctx, n.latencyFrom(to, from)) {
		return fail(p.why(ctx))
	}
	return mine, nil
}

// sleep waits for d; it is false when ctx or the process ended first.
func (p *Process) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-p.dead:
	case <-t.C:
		return true
	}
	return false
}

func (p *Process) why(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return net.ErrClosed
}

// abort ends this side as the end of its process does, with a reset for the other side or without a packet.
func (c *conn) abort(told bool) {
	c.once.Do(func() {
		c.net.forget(c)
		c.in.mu.Lock()
		c.closed.Store(true)
		c.in.left = true
		c.in.data, c.in.sent = nil, 0
		c.in.wake.Broadcast()
		c.in.mu.Unlock()
		c.out.mu.Lock()
		if c.out.held > 0 {
			c.out.way, c.out.held = nil, 0 // nobody sends these again
		}
		c.out.wake.Broadcast()
		c.out.mu.Unlock()
		if told {
			c.net.tell(c.out.from, c.out.to, func() {
				c.out.reset(syscall.ECONNRESET)
				c.in.reset(syscall.ECONNRESET)
			})
		}
		c.read.set(time.Time{}, c.in)
		c.write.set(time.Time{}, c.out)
	})
}

// Reset resets all connections of the process.
func (p *Process) Reset() {
	n := p.m.net
	n.mu.Lock()
	all := maps.Collect(maps.All(n.conns))
	n.mu.Unlock()
	for c := range all {
		if c.owner == p {
			c.in.reset(syscall.ECONNRESET)
			c.out.reset(syscall.ECONNRESET)
		}
	}
}
