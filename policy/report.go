package policy

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// keyOf names a customer in messages, shortHash in reports.
func keyOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

func shortHash(key uint64) uint32 { return uint32(key >> 40) }

// hashFraction is a number from 0 to 1 that two others determine, as if drawn for them.
func hashFraction(a, b uint32) float64 {
	x := a*0x9e3779b1 ^ b*0x85ebca6b
	x = (x ^ x>>15) * 0x2c1b3c6d
	x = (x ^ x>>12) * 0x297a2d39
	return float64(x^x>>15) / (1 << 32)
}

// report is the message that a gateway sends each peer at every report interval. Encoding:
// version, incarnation, sequence number, flags, number of servers, servers, customers.
type report struct {
	incarnation uint32 // drawn anew at each start of the sender
	seq         uint32
	complete    bool // customers not named have none out and none held
	servers     []serverLoad
	customers   []customerEntry
}

// serverLoad is the sender's attempts out at a server, up to maxOut; the hash
// has serverBits bits.
type serverLoad struct {
	hash     uint16
	inFlight byte
}

// customerEntry is a report's part on one customer.
type customerEntry struct {
	hash       uint32 // 24 bits
	inFlight   byte   // mean attempts out over the tick: inFlightScale times its root, up to 15
	held       byte   // up to maxReportedHeld
	passed     byte   // running total of units passed, its lowest bits
	lent       byte   // running total of what was lent to this peer of the ceiling: lendPartsPerUnit a unit
	rate       byte   // units asked for a second: rateScale * log2(1 + rate), up to maxRateCode
	newTotal   bool   // the total began at nothing a moment ago: the highest bit of the rate
	bucketFill byte   // estimate of the store, 250 full
}

const (
	reportVersion       = 6
	flagComplete        = 1
	flagNewTotal        = 0x80
	maxRateCode         = 0x7f
	maxReportedHeld     = 15
	maxReportedInFlight = 31
	serverBits          = 11
	inFlightScale       = 4
	maxReportServers    = 36
	unknownFill         = 255
	maxMessageBytes     = 256
	headerBytes         = 11
	serverBytes         = 2
	entryBytes          = 8
	rateScale           = 8
	lendPartsPerUnit    = 4.0 // parts of a unit in which a ceiling is lent
)

// hasRoom tells whether one more customer fits in.
func (m *report) hasRoom() bool {
	n := headerBytes + serverBytes*len(m.servers) + entryBytes*(len(m.customers)+1)
	return n <= maxMessageBytes
}

// encode returns the report in its wire format.
func (m *report) encode() []byte {
	b := make([]byte, 0, maxMessageBytes)
	b = append(b, reportVersion)
	b = binary.BigEndian.AppendUint32(b, m.incarnation)
	b = binary.BigEndian.AppendUint32(b, m.seq)
	flags := byte(0)
	if m.complete {
		flags = flagComplete
	}
	b = append(b, flags, byte(len(m.servers)))
	for _, s := range m.servers {
		b = binary.BigEndian.AppendUint16(b, s.hash<<(16-serverBits)|uint16(s.inFlight))
	}
	for _, e := range m.customers {
		b = append(b, byte(e.hash>>16), byte(e.hash>>8), byte(e.hash), e.inFlight<<4|e.held)
		b = append(b, e.passed, e.lent)
		rate := e.rate
		if e.newTotal {
			rate |= flagNewTotal
		}
		b = append(b, rate, e.bucketFill)
	}
	return b
}

// decodeReport decodes a report; ok is false unless b is a complete, well-formed one.
func decodeReport(b []byte) (m report, ok bool) {
	if len(b) < headerBytes || len(b) > maxMessageBytes || b[0] != reportVersion {
		return m, false
	}
	m.incarnation, m.seq = binary.BigEndian.Uint32(b[1:]), binary.BigEndian.Uint32(b[5:])
	m.complete = b[9]&flagComplete != 0
	n := int(b[10])
	b = b[headerBytes:]
	if len(b) < n*serverBytes {
		return m, false
	}
	for range n {
		v := binary.BigEndian.Uint16(b)
		m.servers = append(m.servers, serverLoad{v >> (16 - serverBits), byte(v & maxReportedInFlight)})
		b = b[serverBytes:]
	}
	for len(b) > 0 {
		if len(b) < entryBytes {
			return m, false
		}
		e := customerEntry{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]), inFlight: b[3] >> 4, held: b[3] & maxReportedHeld,
			passed: b[4], lent: b[5], rate: b[6] & maxRateCode, newTotal: b[6]&flagNewTotal != 0, bucketFill: b[7]}
		b = b[entryBytes:]
		m.customers = append(m.customers, e)
	}
	return m, true
}

// applyEntry takes over an entry's figures, and tells what has been passed and lent
// since the last. It tells too whether the sender's totals were not known, or
// began at nothing: then what was passed counts from there.
func (v *peerView) applyEntry(e customerEntry, inc uint32, now time.Duration) (passed, lent float64, met bool) {
	quiet := now-v.reportedAt > newTotalSpan
	if met = !v.reported || v.incarnation != inc || e.newTotal && quiet; met {
		v.passedUnits, v.borrowedTotal = 0, e.lent
		if !v.reported && !e.newTotal {
			v.passedUnits = e.passed
		}
	}
	passed = float64(int8(e.passed - v.passedUnits)) // negative when settled units were given back
	if outdated {
		passed = max(0, passed)
	} else {
		lent = float64(e.lent-v.borrowedTotal) / lendPartsPerUnit
	}
	v.reported, v.incarnation, v.passedUnits, v.borrowedTotal = true, inc, e.passed, e.lent
	v.reportedAt, v.demand = now, (math.Exp2(float64(e.rate)/rateScale)-1)*demandTimeConstant.Seconds()
	v.inFlight, v.held = math.Pow(float64(e.inFlight)/inFlightScale, 2), float64(e.held)
	return passed, lent, met
}
