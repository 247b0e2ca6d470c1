package sim

import (
	"slices"
	"strings"
	"syscall"
	"time"
)

// Machine is a machine with an address and a loopback of its own. Bytes between
// machines that are held up by a cut arrive once it is over.
type Machine struct {
	net       *Net
	ip        string
	processes []*Process // under the net's mutex
}

// Barrier is what stands between two machines.
type Barrier int

// The barriers.
const (
	Open     Barrier = iota
	Silent           // nothing gets through, and nobody is told
	Refusing         // connections are refused, and open ones reset
)

// Machine adds a machine to the network, which has power.
func (n *Net) Machine(ip string) *Machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &Machine{net: n, ip: ip}
	n.machines[ip] = m
	return m
}

// IP is its address.
func (m *Machine) IP() string { return m.ip }

// Start starts a process.
func (m *Machine) Start() *Process {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	p := &Process{m: m, dead: make(chan struct{})}
	m.processes = append(m.processes, p)
	return p
}

// PowerOff ends all processes without a packet to anybody.
func (m *Machine) PowerOff() {
	m.net.mu.Lock()
	m.net.dark[m.ip] = true
	all := slices.Clone(m.processes)
	m.net.mu.Unlock()
	for _, p := range all {
		p.end(false)
	}
}

// PowerOn lets processes be started again; what comes for connections of before is met by a reset.
func (m *Machine) PowerOn() {
	m.net.mu.Lock()
	delete(m.net.dark, m.ip)
	m.net.mu.Unlock()
	m.net.release()
}

// Bar puts a barrier between machines, one way, or takes it away.
func (n *Net) Bar(from, to []string, b Barrier) {
	n.mu.Lock()
	for _, x := range from {
		for _, y := range to {
			if x != y {
				n.bars[[2]string{x, y}] = b
			}
		}
	}
	var broken []*conn
	for c := range n.conns {
		if b == Refusing && n.bars[[2]string{c.out.from, c.out.to}] == Refusing {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.in.reset(syscall.ECONNRESET)
		c.out.reset(syscall.ECONNRESET)
	}
	n.release()
}

// barred tells whether nothing gets from one machine to another now; the mutex is held.
func (n *Net) barred(from, to string) bool {
	return n.dark[from] || n.dark[to] || from != to && n.bars[[2]string{from, to}] != Open
}

// tell does something at another machine once a packet with it would have arrived there.
func (n *Net) tell(from, to string, f func()) {
	time.AfterFunc(n.latencyFrom(from, to), func() {
		n.mu.Lock()
		if n.barred(from, to) {
			n.held = append(n.held, func() { n.tell(from, to, f) })
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		f()
	})
}

// release sends all that was held up on its way again.
func (n *Net) release() {
	n.mu.Lock()
	all := n.held
	n.held = nil
	n.mu.Unlock()
	for _, f := range all {
		f()
	}
}

// key is where a listener of an address is found: 127.0.0.1 is each machine's own.
func (m *Machine) key(address string) string {
	if strings.HasPrefix(address, "127.") {
		return m.ip + "/" + address
	}
	return address
}
