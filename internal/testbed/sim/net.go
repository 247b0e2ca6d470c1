package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Faults are what befalls the network. The zero value is a network without any
// latency or loss.
type Faults struct {
	Least, Most time.Duration // of a piece's or a datagram's way
	Lost        float64       // share of the datagrams
	Twice       float64       // share of them that come twice
}

// Net is a network in memory. It is a world.World by the clock around it.
type Net struct {
	world.Real // the clock; its sockets are not reached

	mu        sync.Mutex
	rnd       *rand.Rand
	faults    Faults
	carried   map[[2]string]*Load // by the machines from and to
	listeners map[string]*listener
	packets   map[netip.AddrPort]*packets
	conns     map[*conn]string // by the address that was dialled
	silent    map[string]bool  // addresses that say nothing
	machines  map[string]*Machine
	dark      map[string]bool       // machines without power
	bars      map[[2]string]Barrier // between machines, one way
	ways      func(from, to string) time.Duration
	links     map[[2]string]*link // narrow lines, by machine and direction
	held      []func()            // what waits for a barrier's end
	port      uint16
}

// New makes a network whose chances follow from a seed.
func New(seed uint64) *Net {
	return &Net{rnd: rand.New(rand.NewPCG(seed, 0x73696d)), listeners: map[string]*listener{}, packets: map[netip.AddrPort]*packets{},
		conns: map[*conn]string{}, silent: map[string]bool{}, port: 20000,
		machines: map[string]*Machine{}, links: map[[2]string]*link{}, dark: map[string]bool{}, bars: map[[2]string]Barrier{}}
}

// Set changes what befalls the network from now on.
func (n *Net) Set(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

func (n *Net) latency() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.way()
}

// way draws a latency; the mutex is held.
func (n *Net) way() time.Duration {
	d := n.faults.Least
	if more := n.faults.Most - n.faults.Least; more > 0 {
		d += time.Duration(n.rnd.Int64N(int64(more)))
	}
	return d
}

// Silence cuts an address off without a packet, or joins it again: open
// connections stay open and say nothing, new ones never come up.
func (n *Net) Silence(address string, silent bool) {
	n.mu.Lock()
	n.silent[address] = silent
	var cut []*conn
	for c, at := range n.conns {
		if at == address && silent {
			cut = append(cut, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		c.in.silence()
		c.out.silence()
	}
}

func (n *Net) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// free returns the next port that was never given.
func (n *Net) free() uint16 {
	n.port++
	return n.port
}

// address gives a port where none is named.
func (n *Net) address(a string) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(a)
	if err == nil && ap.Port() == 0 {
		ap = netip.AddrPortFrom(ap.Addr(), n.free())
	}
	return ap, err
}

type listener struct {
	net   *Net
	key   string // in listeners
	addr  netip.AddrPort
	owner *Process // nil: no process of a machine
	come  chan *conn
	done  chan struct{}
	once  sync.Once
}

const backlog = 1024

// Listen opens a listener.
func (n *Net) Listen(_ context.Context, network, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ap, err := n.address(address)
	if err != nil {
		return nil, err
	}
	if n.listeners[ap.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: net.TCPAddrFromAddrPort(ap), Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &listener{net: n, key: ap.String(), addr: ap, come: make(chan *conn, backlog), done: make(chan struct{})}
	n.listeners[ap.String()] = l
	return l, nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
	default:
		select {
		case c := <-l.come:
			return c, nil
		case <-l.done:
		}
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
}

// Close ends the listener; connections that nobody accepted are reset.
func (l *listener) Close() error {
	l.shut(true)
	return nil
}

func (l *listener) shut(told bool) {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.key)
		l.net.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.come:
				if l.owner != nil {
					c.abort(told)
					continue
				}
				_ = c.SetLinger(0)
				c.Close()
			default:
				return
			}
		}
	})
}

// Dial opens a connection: refused where nobody listens, never up where the
// address is silent.
func (n *Net) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	fault := func(err error) error { return &net.OpError{Op: "dial", Net: network, Err: err} }
	if !world.Sleep(ctx, n, n.latency()) {
		return nil, fault(ctx.Err())
	}
	n.mu.Lock()
	l, silent := n.listeners[address], n.silent[address]
	if silent {
		n.mu.Unlock()
		<-ctx.Done()
		return nil, fault(ctx.Err())
	}
	if l == nil {
		n.mu.Unlock()
		return nil, fault(fmt.Errorf("%s: %w", address, os.NewSyscallError("connect", syscall.ECONNREFUSED)))
	}
	there, back := newPipe(), newPipe()
	there.net, back.net = n, n
	from := net.TCPAddrFromAddrPort(netip.AddrPortFrom(l.addr.Addr(), n.free()))
	to := net.TCPAddrFromAddrPort(l.addr)
	mine := &conn{net: n, in: back, out: there, local: from, remote: to}
	theirs := &conn{net: n, in: there, out: back, local: to, remote: from}
	mine.peer, theirs.peer = theirs, mine
	n.conns[mine], n.conns[theirs] = address, address
	n.mu.Unlock()
	select {
	case l.come <- theirs:
		return mine, nil
	default:
		n.forget(mine)
		n.forget(theirs)
		return nil, fault(os.NewSyscallError("connect", syscall.ETIMEDOUT))
	}
}

// packets is a socket for datagrams.
type packets struct {
	net  *Net
	addr netip.AddrPort
	come chan datagram
	done chan struct{}
	once sync.Once
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

const mostPackets = 1024 // that wait to be read; more are lost

// ListenPacket opens a socket for datagrams.
func (n *Net) ListenPacket(address string) (world.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ap, err := n.address(address)
	if err != nil {
		return nil, err
	}
	if n.packets[ap] != nil {
		return nil, &net.OpError{Op: "listen", Net: "udp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	p := &packets{net: n, addr: ap, come: make(chan datagram, mostPackets), done: make(chan struct{})}
	n.packets[ap] = p
	return p, nil
}

func (p *packets) ReadFrom(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-p.come:
		return copy(b, d.data), d.from, nil
	case <-p.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteTo sends a datagram, which may be lost, come twice, or overtake others.
func (p *packets) WriteTo(b []byte, to netip.AddrPort) (int, error) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets[p.addr] != p {
		return 0, net.ErrClosed
	}
	n.carry(p.addr.Addr().String(), to.Addr().String(), len(b))
	times := 1
	switch x := n.rnd.Float64(); {
	case x < n.faults.Lost || n.silent[p.addr.String()] || n.silent[to.String()]:
		times = 0
	case x < n.faults.Lost+n.faults.Twice:
		times = 2
	}
	d := datagram{p.addr, append([]byte(nil), b...)}
	for range times {
		time.AfterFunc(n.wayBetween(p.addr.Addr().String(), to.Addr().String()), func() { n.deliver(to, d) })
	}
	return len(b), nil
}

func (n *Net) deliver(to netip.AddrPort, d datagram) {
	n.mu.Lock()
	p := n.packets[to]
	if n.barred(d.from.Addr().String(), to.Addr().String()) {
		p = nil
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.come <- d:
	default:
	}
}

func (p *packets) Close() error {
	p.once.Do(func() {
		p.net.mu.Lock()
		delete(p.net.packets, p.addr)
		p.net.mu.Unlock()
		close(p.done)
	})
	return nil
}

// Addr is where the socket is reached.
func (p *packets) Addr() netip.AddrPort { return p.addr }

// Port returns an address of this network that nobody has.
func (n *Net) Port() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return "127.0.0.1:" + strconv.Itoa(int(n.free()))
}
