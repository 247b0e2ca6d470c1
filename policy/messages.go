package policy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// The fixed-size messages between gateways of a large fleet. On the wire: version, kind, fields, big-endian.

// askMessage asks a customer's root to admit and count a request.
type ask struct {
	Customer      uint64
	First, Spread uint16
	Plan, Class   byte
	Units, Left   uint16 // RemainingMS: milliseconds until the client gives up
	Tag           uint32 // identifies the request between the two gateways
	Thin          byte   // probability with which it was asked for, 250: always
	Fill          byte   // fill of the bucket as last known, 250: full; unknownStore: not known
	Flags         byte
}

const (
	flagRepeat byte = 1 << iota // a client's retry
	flagOwn                     // its ceiling units are taken from the sender's part
)

// askReply is the root's reply to an ask.
type answer struct {
	Tag           uint32
	Verdict, Fill byte // the decision; fill of the bucket, 250: full
	Strain        byte // the root's mean latency over the latency target, in percent
	Part          byte // share of the customer's demand that fits its limits, 250: all
}

// The decisions of a root.
const (
	granted byte = iota
	refused
	waits // the root holds the request and will reply again
)

// askEnded tells the root that an attempt it granted has ended or was never made (Unused).
type ended struct {
	Customer uint64
	Tag      uint32
	Unused   bool
}

// outcomeReport tells a server's watcher how an attempt ended.
type sight struct {
	Server  uint32
	Class   byte
	Code    byte
	Latency uint16 // milliseconds
}

// serverVerdict is a watcher's assessment of a server, sent to all gateways.
type verdict struct {
	Server uint32
	Bad    byte // bit i: the server is ejected for class i; for the first eight classes
	Pace   byte // 16 * (4 + log2 of the server's latency relative to the fleet's)
}

const shortVersion = 3

// loanRequest asks another gateway to lend units of a customer's ceiling.
type want struct {
	Customer uint64
	Tag      uint32
	Units    uint16
}

// loanReply transfers the units; 0: the lender does not have them.
type lent struct {
	Customer uint64
	Tag      uint32
	Units    uint16
}

// encode returns the wire form of one of the messages above.
func encode(m any) []byte {
	var kind byte
	switch m.(type) {
	case answer:
		kind = 1
	case ended:
		kind = 2
	case sight:
		kind = 3
	case verdict:
		kind = 4
	case want:
		kind = 5
	case lent:
		kind = 6
	}
	b, err := binary.Append([]byte{shortVersion, kind}, binary.BigEndian, m)
	if err != nil {
		panic(err) // m is not one of the messages above
	}
	return b
}

// decode returns the message or report in b, or nil if b is not exactly one well-formed message.
func decode(b []byte) any {
	if len(b) < 2 || b[0] != shortVersion {
		if m, ok := decodeReport(b); ok {
			return m
		}
		return nil
	}
	switch b[1] {
	case 0:
		return fixed[ask](b[2:])
	case 1:
		return fixed[answer](b[2:])
	case 2:
		return fixed[ended](b[2:])
	case 3:
		return fixed[sight](b[2:])
	case 4:
		return fixed[verdict](b[2:])
	case 5:
		return fixed[want](b[2:])
	case 6:
		return fixed[lent](b[2:])
	}
	return nil
}

// decodeFixed decodes a T of exactly len(b) bytes, or returns nil.
func fixed[T any](b []byte) any {
	var m T
	if n, err := binary.Decode(b, binary.BigEndian, &m); err != nil || n != len(b) {
		return nil
	}
	return m
}

// onAskEnded releases the lease of another gateway's attempt, and returns its units if it was never made. A
// request that is still held here leaves the queue.
func (g *Gateway) onEnded(from int, m ended) {
	c := g.customers[m.Customer]
	if c == nil {
		return
	}
	l, ok := c.leases[lease{from, m.Tag}]
	if !ok {
		if i := slices.IndexFunc(c.held, func(r *request) bool { return r.from(from, m.Tag) }); i >= 0 {
			g.unhold(c, i)
		}
		return
	}
	delete(c.leases, lease{from, m.Tag})
	c.count(g.now, -1)
	g.advance(c)
	if m.Unused {
		c.store = min(c.plan.Burst, c.store+l.r.units)
	}
	g.release(c)
}

// healthOf returns the health of a server for a class; nil: the class is not in the settings.
func (g *Gateway) record(s *server, cl *class) *record {
	if cl.Name == "" {
		return nil
	}
	for g.set.Field != nil && cl.no >= len(s.by) {
		s.by = append(s.by, record{})
	}
	if cl.no >= len(s.by) {
		return nil
	}
	return &s.by[cl.no]
}

// askFor returns the ask for a request.
func (g *Gateway) askOf(r *request) ask {
	c, remaining := r.c, (r.deadline - g.now).Milliseconds()
	m := ask{Customer: c.key, First: uint16(c.first), Spread: uint16(c.spread), Plan: c.plan.no,
		Class: byte(r.cl.no), Units: uint16(r.units), Left: uint16(min(max(0, remaining), math.MaxUint16)),
		Tag: r.tag, Fill: unknownStore, Thin: small(250 * r.asks)}
	if r.repeat {
		m.Flags |= flagRepeat
	}
	if r.own {
		m.Flags |= flagOwn
	}
	if c.told > 0 {
		m.Fill = small(250 * max(0, c.store) / max(1, c.plan.Burst))
	}
	return m
}

// requestFrom returns the request that another gateway asks for.
func (g *Gateway) requestOf(c *customer, from int, m ask) *request {
	return &request{c: c, cl: g.classes[g.set.Classes[m.Class].Name], effect: g.set.Classes[m.Class].Effect, units: float64(m.Units), arrived: g.now,
		deadline: g.now + time.Duration(m.Left)*time.Millisecond, repeat: m.Flags&flagRepeat != 0,
		own: m.Flags&flagOwn != 0, remote: true, root: from, tag: m.Tag}
}

// ejectionBits returns a bit for each class to eject the server from, whether this differs from the current
// state of any class, whether any class is to be ejected, and when the current ejection ends.
func (s *server) masks(shouldEject func(class int, v *record) bool) (bits byte, changed, anyEjected bool, until time.Duration) {
	for i := range s.by {
		v := &s.by[i]
		eject := shouldEject(i, v)
		if v.bad {
			until = v.until
		}
		if eject {
			bits |= 1 << i
		}
		changed, anyEjected = changed || eject != v.bad, anyEjected || eject
	}
	return bits, changed, anyEjected, until
}
