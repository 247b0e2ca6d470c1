package node

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"

	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/edgefleet/members"
	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	maxDatagramBytes = 256 // bytes
	maxQueuedToPeers = 256 // datagrams that wait to be sent; more are dropped
)

// peers carries the module's messages to the other edge nodes and back.
type peers struct {
	conn      world.PacketConn
	addresses atomic.Pointer[peerAddresses]
	broadcast netip.AddrPort
	outgoing  chan datagram
	onMessage func(from int, data []byte)

	watch      *fleetWatch                 // nil: no view of the fleet is kept
	onHandover func(from int, data []byte) // nil: nothing is handed over
}

// peerAddresses are where the edge nodes of each number are; an address of none is not valid.
type peerAddresses struct {
	byNumber []netip.AddrPort
	numbers  map[netip.AddrPort]int
}

// setAddresses takes over the addresses of all.
func (p *peers) setAddresses(to []netip.AddrPort) {
	b := &peerAddresses{to, make(map[netip.AddrPort]int, len(to))}
	for i, a := range to {
		if a.IsValid() {
			b.numbers[a] = i
		}
	}
	p.addresses.Store(b)
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

func listenPeers(w world.World, listen string, to []netip.AddrPort, all netip.AddrPort, hear func(int, []byte)) (*peers, error) {
	conn, err := w.ListenPacket(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &peers{conn: conn, broadcast: all, outgoing: make(chan datagram, maxQueuedToPeers), onMessage: hear}
	p.setAddresses(to)
	return p, nil
}

// sendMessage queues a message to one edge node, or to all for a number below 0. It
// never blocks: messages may be lost in any case.
func (p *peers) sendMessage(to int, data []byte) {
	known := p.addresses.Load().byNumber
	switch {
	case len(data) > maxDatagramBytes:
		slog.Error("message to a peer dropped", "to", to, "bytes", len(data))
	case to >= len(known): // there are fewer since the module decided
	case to >= 0 && known[to].IsValid():
		p.enqueue(known[to], data)
	case to >= 0:
	case p.broadcast.IsValid():
		p.enqueue(p.broadcast, data)
	default:
		for _, a := range known {
			p.enqueue(a, data)
		}
	}
}

func (p *peers) enqueue(to netip.AddrPort, data []byte) {
	select {
	case p.outgoing <- datagram{to, data}:
	default:
	}
}

// writeQueued writes what is queued until done is closed.
func (p *peers) writeQueued(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case d := <-p.outgoing:
			_, _ = p.conn.WriteTo(d.data, d.to) // lost like any other
		}
	}
}

// receive hands over what known edge nodes send until the socket is closed.
func (p *peers) receive() {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, addr, err := p.conn.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error of an earlier send
		}
		num, known := p.addresses.Load().numbers[addr]
		switch {
		case !known || n == 0 || n > maxDatagramBytes:
		case buf[0] == handover.Magic && p.onHandover != nil:
			p.onHandover(num, append([]byte(nil), buf[:n]...))
		case buf[0] == members.Magic && p.watch != nil:
			p.watch.receive(addr, append([]byte(nil), buf[:n]...))
		default:
			p.onMessage(num, append([]byte(nil), buf[:n]...))
		}
	}
}
