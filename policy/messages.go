package policy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// The fixed-size messages between gateways of a large fleet. On the wire: version, kind, fields, big-endian.

// askMessage asks a customer's root to admit and count a request.
type askMessage struct {
	Customer                   uint64
	FirstGateway, GatewayCount uint16
	Plan, Class                byte
	Units, RemainingMS         uint16 // RemainingMS: milliseconds until the client gives up
	Tag                        uint32 // identifies the request between the two gateways
	AskChance                  byte   // probability with which it was asked for, 250: always
	BucketFill                 byte   // fill of the bucket as last known, 250: full; unknownFill: not known
	Flags                      byte
}

const (
	flagRetry      byte = 1 << iota // a client's retry
	flagOwnCeiling                  // its ceiling units are taken from the sender's part
)

// askReply is the root's reply to an ask.
type askReply struct {
	Tag                 uint32
	Verdict, BucketFill byte // the decision; fill of the bucket, 250: full
	Lateness            byte // the root's mean latency over the latency target, in percent
	FittingShare        byte // share of the customer's demand that fits its limits, 250: all
}

// The decisions of a root.
const (
	granted byte = iota
	refused
	heldAtRoot // the root holds the request and will reply again
)

// askEnded tells the root that an attempt it granted has ended or was never made (Unused).
type askEnded struct {
	Customer uint64
	Tag      uint32
	Unused   bool
}

// outcomeReport tells a server's watcher how an attempt ended.
type outcomeReport struct {
	Server    uint32
	Class     byte
	Code      byte
	LatencyMS uint16 // milliseconds
}

// serverVerdict is a watcher's assessment of a server, sent to all gateways.
type serverVerdict struct {
	Server      uint32
	EjectedBits byte // bit i: the server is ejected for class i; for the first eight classes
	Slowdown    byte // 16 * (4 + log2 of the server's latency relative to the fleet's)
}

const messageVersion = 3

// loanRequest asks another gateway to lend units of a customer's ceiling.
type loanRequest struct {
	Customer uint64
	Tag      uint32
	Units    uint16
}

// loanReply transfers the units; 0: the lender does not have them.
type loanReply struct {
	Customer uint64
	Tag      uint32
	Units    uint16
}

// encode returns the wire form of one of the messages above.
func encode(m any) []byte {
	var kind byte
	switch m.(type) {
	case askReply:
		kind = 1
	case askEnded:
		kind = 2
	case outcomeReport:
		kind = 3
	case serverVerdict:
		kind = 4
	case loanRequest:
		kind = 5
	case loanReply:
		kind = 6
	}
	b, err := binary.Append([]byte{messageVersion, kind}, binary.BigEndian, m)
	if err != nil {
		panic(err) // m is not one of the messages above
	}
	return b
}

// decode returns the message or report in b, or nil if b is not exactly one well-formed message.
func decode(b []byte) any {
	if len(b) < 2 || b[0] != messageVersion {
		if m, ok := decodeReport(b); ok {
			return m
		}
		return nil
	}
	switch b[1] {
	case 0:
		return decodeFixed[askMessage](b[2:])
	case 1:
		return decodeFixed[askReply](b[2:])
	case 2:
		return decodeFixed[askEnded](b[2:])
	case 3:
		return decodeFixed[outcomeReport](b[2:])
	case 4:
		return decodeFixed[serverVerdict](b[2:])
	case 5:
		return decodeFixed[loanRequest](b[2:])
	case 6:
		return decodeFixed[loanReply](b[2:])
	}
	return nil
}

// decodeFixed decodes a T of exactly len(b) bytes, or returns nil.
func decodeFixed[T any](b []byte) any {
	var m T
	if n, err := binary.Decode(b, binary.BigEndian, &m); err != nil || n != len(b) {
		return nil
	}
	return m
}

// onAskEnded releases the lease of another gateway's attempt, and returns its units if it was never made. A
// request that is still held here leaves the queue.
func (g *Gateway) onAskEnded(from int, m askEnded) {
	c := g.customers[m.Customer]
	if c == nil {
		return
	}
	l, ok := c.leases[leaseKey{from, m.Tag}]
	if !ok {
		if i := slices.IndexFunc(c.held, func(r *request) bool { return r.isAskFrom(from, m.Tag) }); i >= 0 {
			g.dequeue(c, i)
		}
		return
	}
	delete(c.leases, leaseKey{from, m.Tag})
	c.addInFlight(g.now, -1)
	g.advance(c)
	if m.Unused {
		c.bucket = min(c.plan.Burst, c.bucket+l.request.units)
	}
	g.releaseHeld(c)
}

// healthOf returns the health of a server for a class; nil: the class is not in the settings.
func (g *Gateway) healthOf(s *server, cl *class) *classHealth {
	if cl.Name == "" {
		return nil
	}
	for g.cfg.MultiService != nil && cl.index >= len(s.classes) {
		s.classes = append(s.classes, classHealth{})
	}
	if cl.index >= len(s.classes) {
		return nil
	}
	return &s.classes[cl.index]
}

// askFor returns the ask for a request.
func (g *Gateway) askFor(r *request) askMessage {
	c, remaining := r.customer, (r.deadline - g.now).Milliseconds()
	m := askMessage{Customer: c.key, FirstGateway: uint16(c.firstGateway), GatewayCount: uint16(c.gatewayCount),
		Plan: c.plan.index, Class: byte(r.class.index), Units: uint16(r.units),
		RemainingMS: uint16(min(max(0, remaining), math.MaxUint16)),
		Tag:         r.tag, BucketFill: unknownFill, AskChance: toByte(250 * r.askChance)}
	if r.isRetry {
		m.Flags |= flagRetry
	}
	if r.ownCeiling {
		m.Flags |= flagOwnCeiling
	}
	if c.reportedTick > 0 {
		m.BucketFill = toByte(250 * max(0, c.bucket) / max(1, c.plan.Burst))
	}
	return m
}

// requestFrom returns the request that another gateway asks for.
func (g *Gateway) requestFrom(c *customer, from int, m askMessage) *request {
	return &request{customer: c, class: g.classes[g.cfg.Classes[m.Class].Name],
		effect: g.cfg.Classes[m.Class].Effect, units: float64(m.Units), arrivedAt: g.now,
		deadline: g.now + time.Duration(m.RemainingMS)*time.Millisecond, isRetry: m.Flags&flagRetry != 0,
		ownCeiling: m.Flags&flagOwnCeiling != 0, remote: true, root: from, tag: m.Tag}
}

// ejectionBits returns a bit for each class to eject the server from, whether this differs from the current
// state of any class, whether any class is to be ejected, and when the current ejection ends.
func (s *server) ejectionBits(shouldEject func(class int, v *classHealth) bool) (
	bits byte, changed, anyEjected bool, until time.Duration,
) {
	for i := range s.classes {
		v := &s.classes[i]
		eject := shouldEject(i, v)
		if v.ejected {
			until = v.ejectedUntil
		}
		if eject {
			bits |= 1 << i
		}
		changed, anyEjected = changed || eject != v.ejected, anyEjected || eject
	}
	return bits, changed, anyEjected, until
}
