package loadtest

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/emulator"
)

// Loopback is this machine's loopback network, where each machine of a cluster has an address of its own.
type Loopback struct {
	Dir string // for the disks
}

// IP is where a machine is.
func (*Loopback) IP(k emulator.Kind, zone, no int) string {
	switch k {
	case emulator.EdgeMachine:
		return fmt.Sprintf("127.1.%d.%d", zone+1, 10+no)
	case emulator.CoreMachine:
		return fmt.Sprintf("127.1.%d.%d", zone+1, 100+no)
	case emulator.ServerMachine:
		return fmt.Sprintf("127.1.%d.%d", zone+1, 150+no)
	case emulator.ClientMachine:
		return fmt.Sprintf("127.1.%d.1", zone+1)
	case emulator.PlatformMachine:
		return "127.1.0.1"
	}
	return "127.1.0.2"
}

// Machine is one at an address.
func (*Loopback) Machine(ip, _, _ string) emulator.Machine { return machine(ip) }

// Disk is a folder.
func (l *Loopback) Disk(no int) emulator.Disk {
	return &folder{dir: filepath.Join(l.Dir, fmt.Sprintf("disk-%d", no))}
}

type machine string

func (m machine) IP() string { return string(m) }

func (m machine) Start() emulator.Process {
	return &process{ip: net.ParseIP(string(m)), dead: make(chan struct{}), open: map[closer]bool{}}
}

// process holds what it has open, so that all of it can end at once.
type process struct {
	world.Real
	ip   net.IP
	dead chan struct{}

	mu   sync.Mutex
	gone bool
	open map[closer]bool
}

// closer is a socket.
type closer interface{ abort() }

// hold keeps a socket; it is false, and the socket closed, where the process has ended.
func (p *process) hold(c closer) bool {
	p.mu.Lock()
	gone := p.gone
	if !gone {
		p.open[c] = true
	}
	p.mu.Unlock()
	if gone {
		c.abort()
	}
	return !gone
}

func (p *process) forget(c closer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// Kill closes all sockets as the system does for a process that was killed; connections are reset.
func (p *process) Kill() {
	p.mu.Lock()
	all, was := p.open, p.gone
	p.open, p.gone = nil, true
	p.mu.Unlock()
	if was {
		return
	}
	close(p.dead)
	for c := range all {
		c.abort()
	}
}

func (p *process) Dead() <-chan struct{} { return p.dead }

func (p *process) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := p.Real.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l := &listener{ln, p}
	if !p.hold(l) {
		return nil, net.ErrClosed
	}
	return l, nil
}

// Dial comes from the machine's own address.
func (p *process) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: p.ip}}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return p.conn(c)
}

func (p *process) conn(c net.Conn) (net.Conn, error) {
	x := &conn{c.(*net.TCPConn), p}
	if !p.hold(x) {
		return nil, net.ErrClosed
	}
	return x, nil
}

func (p *process) ListenPacket(address string) (world.PacketConn, error) {
	s, err := p.Real.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	x := &packets{s, p}
	if !p.hold(x) {
		return nil, net.ErrClosed
	}
	return x, nil
}

type listener struct {
	net.Listener
	p *process
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.p.conn(c)
}

func (l *listener) Close() error {
	l.p.forget(l)
	return l.Listener.Close()
}

func (l *listener) abort() { _ = l.Listener.Close() }

type conn struct {
	*net.TCPConn
	p *process
}

func (c *conn) Close() error {
	c.p.forget(c)
	return c.TCPConn.Close()
}

func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

type packets struct {
	world.PacketConn
	p *process
}

func (s *packets) Close() error {
	s.p.forget(s)
	return s.PacketConn.Close()
}

func (s *packets) abort() { _ = s.PacketConn.Close() }

// folder is a disk.
type folder struct {
	dir string

	mu  sync.Mutex
	now *mount
}

func (f *folder) Dir() string { return f.dir }

func (f *folder) Mount() world.Disk {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = &mount{}
	return f.now
}

func (f *folder) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now != nil {
		f.now.end()
	}
}

func (f *folder) Wipe() error { return os.RemoveAll(f.dir) }
