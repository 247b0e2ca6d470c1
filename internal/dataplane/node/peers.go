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
	maxDatagramBytes = 256
	maxQueuedToPeers = 256 // datagrams that wait to be sent; further ones are dropped
)

// peers exchanges the policy's messages with the other proxies.
type peers struct {
	conn      world.PacketConn
	addresses atomic.Pointer[peerAddresses]
	broadcast netip.AddrPort
	outgoing  chan datagram
	onMessage func(from int, data []byte)

	watch      *fleetWatch                 // nil: this proxy keeps no view of the fleet
	onHandover func(from int, data []byte) // receives handover messages; nil: they go to onMessage
}

// peerAddresses maps between the proxies' numbers and their addresses. An unknown address is invalid.
type peerAddresses struct {
	byNumber []netip.AddrPort
	numbers  map[netip.AddrPort]int
}

// setAddresses replaces the addresses of all proxies.
func (p *peers) setAddresses(byNumber []netip.AddrPort) {
	b := &peerAddresses{byNumber, make(map[netip.AddrPort]int, len(byNumber))}
	for i, a := range byNumber {
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

func listenPeers(w world.World, listen string, addresses []netip.AddrPort, broadcast netip.AddrPort, onMessage func(int, []byte)) (*peers, error) {
	conn, err := w.ListenPacket(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p := &peers{conn: conn, broadcast: broadcast, outgoing: make(chan datagram, maxQueuedToPeers), onMessage: onMessage}
	p.setAddresses(addresses)
	return p, nil
}

// sendMessage queues a message to one proxy, or to all if the number is negative. It never blocks; messages may be
// lost in any case.
func (p *peers) sendMessage(to int, data []byte) {
	peerAddrs := p.addresses.Load().byNumber
	switch {
	case len(data) > maxDatagramBytes:
		slog.Error("dropped a message to a peer: it exceeds the datagram limit", "to", to, "bytes", len(data))
	case to >= len(peerAddrs): // the number of proxies has shrunk since the policy decided
	case to >= 0 && peerAddrs[to].IsValid():
		p.enqueue(peerAddrs[to], data)
	case to >= 0:
	case p.broadcast.IsValid():
		p.enqueue(p.broadcast, data)
	default:
		for _, a := range peerAddrs {
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

// writeQueued sends queued datagrams until done is closed.
func (p *peers) writeQueued(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case d := <-p.outgoing:
			_, _ = p.conn.WriteTo(d.data, d.to) // a datagram that fails to be sent counts as lost
		}
	}
}

// receive dispatches datagrams from known proxies until the socket is closed.
func (p *peers) receive() {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, addr, err := p.conn.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error caused by an earlier datagram
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
