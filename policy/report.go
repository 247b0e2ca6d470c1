package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// keyOf returns the hash that identifies a customer in messages.
func keyOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// shortHash returns the 24 bits of a key that identify the customer in reports.
func shortOf(key uint64) uint32 { return uint32(key >> 40) }

// hashFraction returns a pseudo-random number in [0, 1) that depends only on a and b.
func mixed(a, b uint32) float64 {
	x := a*0x9e3779b1 ^ b*0x85ebca6b
	x = (x ^ x>>15) * 0x2c1b3c6d
	x = (x ^ x>>12) * 0x297a2d39
	return float64(x^x>>15) / (1 << 32)
}

// report is the message that a gateway sends each peer at every report interval. Encoding:
// version, incarnation, sequence number, flags, number of servers, servers, customers.
type report struct {
	inc       uint32 // random, new at each start of the sender
	seq       uint32
	complete  bool // customers not listed have no requests in flight or held
	servers   []serverOut
	customers []entry
}

// serverLoad holds the sender's attempts in flight at a server, up to
// maxReportedInFlight; the hash has serverBits bits.
type serverOut struct {
	hash uint16
	out  byte
}

// customerEntry holds a report's figures of one customer.
type entry struct {
	hash   uint32 // 24 bits
	out    byte   // mean attempts in flight over the tick: inFlightScale times the square root, up to 15
	held   byte   // held requests, up to maxReportedHeld
	passed byte   // running total of units passed, its lowest bits
	given  byte   // running total of the ceiling units lent to this peer, times lendPartsPerUnit
	rate   byte   // demand in units a second: rateScale * log2(1 + rate), up to maxRateCode
	anew   bool   // the running total has just restarted from 0: the highest bit of the rate
	store  byte   // estimated fill of the quota's bucket, 250 when full
}

const (
	reportVersion = 6
	flagComplete  = 1
	flagAnew      = 0x80
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
	lendScale     = 4.0 // ceiling units are lent in steps of 1/lendPartsPerUnit
)

// hasRoom reports whether one more customer fits into the message.
func (m *report) fits() bool {
	n := headerSize + serverSize*len(m.servers) + entrySize*(len(m.customers)+1)
	return n <= maxMessage
}

// encode returns the report in its wire format.
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
		b = append(b, e.passed, e.given)
		rate := e.rate
		if e.anew {
			rate |= flagAnew
		}
		b = append(b, rate, e.store)
	}
	return b
}

// decodeReport decodes a report; ok is false unless b is a complete, well-formed one.
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
			passed: b[4], given: b[5], rate: b[6] & maxRate, anew: b[6]&flagAnew != 0, store: b[7]}
		b = b[entrySize:]
		m.customers = append(m.customers, e)
	}
	return m, true
}

// applyEntry stores an entry's figures and returns the units passed and lent since the last one. isNew reports
// whether the sender's totals were unknown or have restarted from 0; the units passed then count from there.
func (v *peerView) read(e entry, inc uint32, now time.Duration) (passed, lent float64, isNew bool) {
	outdated := now-v.reportedAt > anewFor
	if isNew = !v.reported || v.incarnation != inc || e.anew && outdated; isNew {
		v.passedUnits, v.borrowedTotal = 0, e.given
		if !v.reported && !e.anew {
			v.passedUnits = e.passed
		}
	}
	passed = float64(int8(e.passed - v.passedUnits)) // negative when settled units were given back
	if outdated {
		passed = max(0, passed)
	} else {
		lent = float64(e.given-v.borrowedTotal) / lendScale
	}
	v.reported, v.incarnation, v.passedUnits, v.borrowedTotal = true, inc, e.passed, e.given
	v.reportedAt, v.demand = now, (math.Exp2(float64(e.rate)/rateScale)-1)*demandSpan.Seconds()
	v.inFlight, v.held = math.Pow(float64(e.out)/outScale, 2), float64(e.held)
	return passed, lent, isNew
}
