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
func shortHash(key uint64) uint32 { return uint32(key >> 40) }

// hashFraction returns a pseudo-random number in [0, 1) that depends only on a and b.
func hashFraction(a, b uint32) float64 {
	x := a*0x9e3779b1 ^ b*0x85ebca6b
	x = (x ^ x>>15) * 0x2c1b3c6d
	x = (x ^ x>>12) * 0x297a2d39
	return float64(x^x>>15) / (1 << 32)
}

// report is the message that a gateway sends each peer at every report interval. Encoding:
// version, incarnation, sequence number, flags, number of servers, servers, customers.
type report struct {
	incarnation uint32 // random, new at each start of the sender
	seq         uint32
	complete    bool // customers not listed have no requests in flight or held
	servers     []serverLoad
	customers   []customerEntry
}

// serverLoad holds the sender's attempts in flight at a server, up to
// maxReportedInFlight; the hash has serverBits bits.
type serverLoad struct {
	hash     uint16
	inFlight byte
}

// customerEntry holds a report's figures of one customer.
type customerEntry struct {
	hash       uint32 // 24 bits
	inFlight   byte   // mean attempts in flight over the tick: inFlightScale times the square root, up to 15
	held       byte   // held requests, up to maxReportedHeld
	passed     byte   // running total of units passed, its lowest bits
	lent       byte   // running total of the ceiling units lent to this peer, times loanScale
	rate       byte   // demand in units a second: rateScale * log2(1 + rate), up to maxRateCode
	newTotal   bool   // the running total has just restarted from 0: the highest bit of the rate
	bucketFill byte   // estimated fill of the quota's bucket, 250 when full
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
	loanScale           = 4.0 // ceiling units are lent in steps of 1/loanScale
)

// hasRoom reports whether one more customer fits into the message.
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
		e := customerEntry{hash: uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2]),
			inFlight: b[3] >> 4, held: b[3] & maxReportedHeld, passed: b[4], lent: b[5],
			rate: b[6] & maxRateCode, newTotal: b[6]&flagNewTotal != 0, bucketFill: b[7]}
		b = b[entryBytes:]
		m.customers = append(m.customers, e)
	}
	return m, true
}

// applyEntry stores an entry's figures and returns the units passed and lent since the last one. isNew reports
// whether the sender's totals were unknown or have restarted from 0; the units passed then count from there.
func (v *peerView) applyEntry(e customerEntry, incarnation uint32, now time.Duration) (passed, lent float64, isNew bool) {
	outdated := now-v.reportedAt > newTotalSpan
	if isNew = !v.reported || v.incarnation != incarnation || e.newTotal && outdated; isNew {
		v.passedUnits, v.borrowedTotal = 0, e.lent
		if !v.reported && !e.newTotal {
			v.passedUnits = e.passed
		}
	}
	passed = float64(int8(e.passed - v.passedUnits)) // negative when settled units were given back
	if outdated {
		passed = max(0, passed)
	} else {
		lent = float64(e.lent-v.borrowedTotal) / loanScale
	}
	v.reported, v.incarnation, v.passedUnits, v.borrowedTotal = true, incarnation, e.passed, e.lent
	v.reportedAt, v.demand = now, (math.Exp2(float64(e.rate)/rateScale)-1)*demandDecay.Seconds()
	v.inFlight, v.held = math.Pow(float64(e.inFlight)/inFlightScale, 2), float64(e.held)
	return passed, lent, isNew
}
