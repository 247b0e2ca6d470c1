package policy

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// keyOf names a customer in messages, shortOf in reports.
func keyOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

func shortOf(key uint64) uint32 { return uint32(key >> 40) }

// report is what a gateway tells a peer once a tick. On the wire: version,
// incarnation, sequence number, flags, number of servers, servers, customers.
type report struct {
	inc       uint32 // drawn anew at each start of the sender
	seq       uint32
	complete  bool // customers not named have none out and none held
	servers   []serverOut
	customers []entry
}

// serverOut is the sender's attempts out at a server, up to maxOut; the hash
// has serverBits bits.
type serverOut struct {
	hash uint16
	out  byte
}

// entry is a report's part on one customer.
type entry struct {
	hash   uint32 // 24 bits
	out    byte   // mean attempts out over the tick: outScale times its root, up to 15
	held   byte   // up to maxHeld
	passed uint16 // running total of units passed
	rate   byte   // units asked for a second: rateScale * log2(1 + rate), up to maxRate
	store  byte   // estimate of the store, 250 full
}

const (
	reportVersion = 4
	flagComplete  = 1
	maxRate       = 0x7f
	maxHeld       = 15
	maxOut        = 31
	serverBits    = 11
	outScale      = 4
	maxServers    = 36
	unknownStore  = 255
	maxMessage    = 256
	headerSize    = 11
	serverSize    = 2
	entrySize     = 8
	rateScale     = 8
)

// fits tells whether one more customer fits in.
func (m *report) fits() bool {
	n := headerSize + serverSize*len(m.servers) + entrySize*(len(m.customers)+1)
	return n <= maxMessage
}

func (m *report) encode() []byte {
	b := make([]byte, 0, maxMessage)
	b = append(b, reportVersion)
	b = binary.BigEndian.AppendUint32(b, m.inc)
	b = binary.BigEndian.AppendUint32(b, m.seq)
	flags := byte(0)
	if m.complete {
		flags = flagComplete
	}
	b = append(b, flags, byte(len(m.servers)))
	for _, s := range m.servers {
		b = binary.BigEndian.AppendUint16(b, s.hash<<(16-serverBits)|uint16(s.out))
	}
	for _, e := range m.customers {
		b = append(b, byte(e.hash>>16), byte(e.hash>>8), byte(e.hash), e.out<<4|e.held)
		b = binary.BigEndian.AppendUint16(b, e.passed)
		b = append(b, e.rate, e.store)
	}
	return b
}

// decodeReport reads a report; anything but a whole, well-formed one is not ok.
func decodeReport(b []byte) (m report, ok bool) {
	if len(b) < headerSize || len(b) > maxMessage || b[0] != reportVersion {
		return m, false
	}
	m.inc, m.seq = binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])
	m.complete = b[9]&flagComplete != 0
	n := int(b[10])
	b = b[headerSize:]
	if len(b) < n*serverSize {
		return m, false
	}
	for range n {
		v := binary.BigEndian.Uint16(b)
		m.servers = append(m.servers, serverOut{v >> (16 - serverBits), byte(v & maxOut)})
		b = b[serverSize:]
	}
	for len(b) > 0 {
		if len(b) < entrySize {
			return m, false
		}
		e := entry{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), out: b[3] >> 4, held: b[3] & maxHeld,
			passed: binary.BigEndian.Uint16(b[4:]), rate: b[6] & maxRate, store: b[7]}
		b = b[entrySize:]
		m.customers = append(m.customers, e)
	}
	return m, true
}

// message makes the report for one peer: the servers this gateway has attempts
// out at, then the customers that come in through both, busiest first.
func (g *Gateway) message(p *peer, list []*customer) *report {
	m := &report{inc: g.inc, seq: g.seq, complete: true}
	for _, s := range g.fleet {
		if s.out > 0 && len(m.servers) < maxServers && !g.tree {
			m.servers = append(m.servers, serverOut{s.hash, byte(min(s.out, maxOut))})
		}
	}
	for _, c := range list {
		i := slices.IndexFunc(c.set, func(v *peerView) bool { return v.p == p })
		if i < 0 {
			continue
		}
		if !m.fits() {
			m.complete = false
			break
		}
		g.advance(c)
		e := entry{hash: c.hash, held: byte(min(len(c.held), maxHeld)),
			out:    byte(min(math.Round(outScale*math.Sqrt(c.mean)), 15)),
			passed: c.passed, store: unknownStore,
			rate: min(maxRate, small(rateScale*math.Log2(1+c.rate/demandSpan.Seconds())))}
		if c.known && c.plan.Burst > 0 {
			e.store = small(250 * max(c.store, 0) / c.plan.Burst)
		}
		m.customers = append(m.customers, e)
		c.told = g.ticks
	}
	return m
}

func (g *Gateway) onReport(p *peer, m report) {
	if p == nil {
		return
	}
	if p.heard && p.inc == m.inc && int32(m.seq-p.seq) <= 0 {
		return // old or repeated: the later report holds all it said
	}
	if m.complete || p.inc != m.inc {
		for _, v := range p.views {
			v.out, v.held = 0, 0
		}
	}
	p.heard, p.inc, p.seq, p.at, p.complete = true, m.inc, m.seq, g.now, m.complete
	p.outs = map[uint16]float64{}
	for _, o := range m.servers {
		p.outs[o.hash] = float64(o.out)
	}
	g.sumLoads()
	for _, e := range m.customers {
		if c := g.byHash[e.hash]; c != nil {
			g.hear(c, p, e)
		}
	}
}

// report tells each peer what has changed.
func (g *Gateway) report() {
	g.seq++
	var list []*customer
	for _, c := range g.ring {
		if c.news() {
			c.urgency = g.urgent(c)
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *customer) int { return cmp.Compare(b.urgency, a.urgency) })
	for _, p := range g.peers {
		if p == nil || p.num == g.set.Me || g.tree && len(list) == 0 {
			continue
		}
		if m := g.message(p, list); !g.tree || len(m.customers) > 0 {
			g.do(Tell{To: p.num, Data: m.encode()})
		}
	}
	for _, c := range list {
		if c.told == g.ticks {
			c.fresh, c.toldUnits = max(0, c.fresh-1), c.passed
		}
	}
}

// read takes over an entry's figures.
func (v *peerView) read(e entry, now time.Duration) {
	v.at, v.rate = now, (math.Exp2(float64(e.rate)/rateScale)-1)*demandSpan.Seconds()
	v.out, v.held = math.Pow(float64(e.out)/outScale, 2), float64(e.held)
}
