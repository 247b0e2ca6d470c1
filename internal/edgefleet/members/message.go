package members

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Magic is the first byte of every message: no other kind of datagram between edge nodes begins so.
const Magic = 0xB5

// MostBytes is the longest datagram that is sent or read.
const MostBytes = 256

const (
	wireMagic   = Magic
	wireVersion = 1
	headBytes   = 56
	recordBytes = 23 // with an address of four bytes
	ageUnit     = 10 * time.Millisecond
	mostAge     = 65535 * ageUnit
	levelUnit   = 0.1
)

// Flags of a message.
const (
	flagAnswer  byte = 1 << iota // an answer at once is asked for
	flagWant                     // records from Want on are asked for
	flagSlept                    // the sender has just noticed a pause of its own
	flagDoubt                    // the sender's view is in doubt
	flagRecords                  // the last records follow one another by name
	flags
)

// sections of a message; those that do not fit are left to the next one
const (
	sectionRecords byte = 1 + iota
	sectionWitness      // what the sender itself has seen of others
	sectionVerdict      // what the watchers together hold of others
	sectionDown         // ways that are down
)

// evidence is a sign of life or its lack.
type evidence struct {
	name   Name
	number uint32        // of the incarnation
	level  float64       // of suspicion; 0: none
	age    time.Duration // of the last sign of life
}

// way is one direction between two instances.
type way struct{ from, to Name }

// down is a way on which nothing arrives while its sender is heard by others.
type down struct {
	way
	age time.Duration // since it was last found so
}

// message is all that instances send each other: any of them is a sign of life.
type message struct {
	Record   // the sender's own, but for its address
	to       Name
	knows    uint64 // the birth of the receiver that the sender holds; 0: none
	seq      uint32 // of the sender's messages, rising
	echo     uint32 // the last seq that the sender heard from the receiver; 0: none
	epoch    uint32
	hash     uint32 // of the view
	depth    byte   // so many hops round the sender hold that view
	degree   byte   // neighbours of the sender
	flags    byte
	want     Name
	slept    time.Duration
	records  []Record
	witness  []evidence
	verdicts []evidence
	down     []down
}

// What is wrong with a datagram.
var (
	ErrForeign = errors.New("members: not a message of this protocol")
	ErrVersion = errors.New("members: a message of another version")
	ErrSpoilt  = errors.New("members: the checksum does not fit")
	ErrForm    = errors.New("members: a message of a wrong form")
)

func units(d, unit time.Duration) uint16 { return uint16(min(max(d/unit, 0), 65535)) }

// encode writes a message; sections that do not fit are cut off at whole entries.
func (m *message) encode(key uint64) []byte {
	b := make([]byte, headBytes, MostBytes)
	b[0], b[1] = wireMagic, wireVersion
	put := binary.BigEndian
	put.PutUint16(b[6:], uint16(m.Name))
	put.PutUint32(b[8:], m.Incarnation.Number)
	put.PutUint64(b[12:], m.Incarnation.Birth)
	put.PutUint16(b[20:], uint16(m.to))
	put.PutUint32(b[22:], m.seq)
	put.PutUint32(b[26:], m.echo)
	put.PutUint32(b[30:], m.epoch)
	put.PutUint32(b[34:], m.hash)
	b[38], b[39], b[40] = m.depth, m.degree, m.flags
	put.PutUint16(b[41:], uint16(m.want))
	put.PutUint16(b[43:], units(m.slept, ageUnit))
	b[45] = byte(m.Standing)
	put.PutUint16(b[46:], m.Moves)
	put.PutUint64(b[48:], m.knows)
	b = section(b, sectionWitness, m.witness, appendEvidence)
	b = section(b, sectionVerdict, m.verdicts, appendEvidence)
	b = section(b, sectionDown, m.down, func(b []byte, d down) []byte {
		b = put.AppendUint16(b, uint16(d.from))
		b = put.AppendUint16(b, uint16(d.to))
		return put.AppendUint16(b, units(d.age, ageUnit))
	})
	b = section(b, sectionRecords, m.records, appendRecord)
	put.PutUint32(b[2:], sum(b, key))
	return b
}

// sum is the checksum of a message under the fleet's key, without the field it stands in.
func sum(b []byte, key uint64) uint32 {
	d := xxhash.NewWithSeed(key)
	_, _ = d.Write(b[:2])
	_, _ = d.Write(b[6:])
	return uint32(d.Sum64())
}

// section appends as many entries as fit.
func section[T any](b []byte, kind byte, list []T, add func([]byte, T) []byte) []byte {
	if len(list) == 0 || len(b)+2 > MostBytes {
		return b
	}
	at, n := len(b), 0
	b = append(b, kind, 0)
	for _, x := range list {
		end := len(b)
		if b = add(b, x); len(b) > MostBytes {
			b = b[:end]
			break
		}
		n++
	}
	if n == 0 {
		return b[:at]
	}
	b[at+1] = byte(n)
	return b
}

func appendEvidence(b []byte, e evidence) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(e.name))
	b = binary.BigEndian.AppendUint32(b, e.number)
	level := byte(min(math.Round(e.level/levelUnit), 255))
	if e.level > 0 {
		level = max(level, 1)
	}
	b = append(b, level)
	return binary.BigEndian.AppendUint16(b, units(e.age, ageUnit))
}

// A record's address follows its standing: no bytes, 6 or 18.
const (
	addrNone byte = iota << 4
	addrFour
	addrSix
)

func appendRecord(b []byte, r Record) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(r.Name))
	b = binary.BigEndian.AppendUint32(b, r.Incarnation.Number)
	b = binary.BigEndian.AppendUint64(b, r.Incarnation.Birth)
	b = binary.BigEndian.AppendUint16(b, r.Moves)
	switch a := r.Addr.Addr().Unmap(); {
	case !r.Addr.IsValid():
		return append(b, byte(r.Standing)|addrNone)
	case a.Is4():
		x := a.As4()
		b = append(append(b, byte(r.Standing)|addrFour), x[:]...)
	default:
		x := a.As16()
		b = append(append(b, byte(r.Standing)|addrSix), x[:]...)
	}
	return binary.BigEndian.AppendUint16(b, r.Addr.Port())
}

// reader takes a message apart; once short, it stays so.
type reader struct {
	b     []byte
	short bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.short = true
		return make([]byte, n)
	}
	x := r.b[:n]
	r.b = r.b[n:]
	return x
}

func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *reader) evidence() evidence {
	return evidence{name: Name(r.u16()), number: r.u32(), level: float64(r.u8()) * levelUnit,
		age: time.Duration(r.u16()) * ageUnit}
}

func (r *reader) record() (Record, error) {
	x := Record{Name: Name(r.u16()), Incarnation: Incarnation{r.u32(), r.u64()}, Moves: r.u16()}
	kind := r.u8()
	x.Standing = Standing(kind & 15)
	var a netip.Addr
	switch kind &^ 15 {
	case addrNone:
		return x, x.check()
	case addrFour:
		a = netip.AddrFrom4([4]byte(r.take(4)))
	case addrSix:
		a = netip.AddrFrom16([16]byte(r.take(16)))
	default:
		return x, fmt.Errorf("%w: a record's address is of kind %d", ErrForm, kind>>4)
	}
	x.Addr = netip.AddrPortFrom(a, r.u16())
	return x, x.check()
}

func (r Record) check() error {
	if r.Standing >= standings {
		return fmt.Errorf("%w: a record says %v", ErrForm, r.Standing)
	}
	return nil
}

// decode reads a datagram. The error says what is wrong with it.
func decode(b []byte, key uint64) (*message, error) {
	switch {
	case len(b) < 2 || b[0] != wireMagic:
		return nil, ErrForeign
	case b[1] != wireVersion:
		return nil, fmt.Errorf("%w: %d, this is %d", ErrVersion, b[1], wireVersion)
	case len(b) < headBytes || len(b) > MostBytes:
		return nil, fmt.Errorf("%w: %d bytes", ErrForm, len(b))
	case binary.BigEndian.Uint32(b[2:]) != sum(b, key):
		return nil, ErrSpoilt
	}
	r := &reader{b: b[6:]}
	m := &message{Record: Record{Name: Name(r.u16()), Incarnation: Incarnation{r.u32(), r.u64()}}, to: Name(r.u16()),
		seq: r.u32(), echo: r.u32(), epoch: r.u32(), hash: r.u32(), depth: r.u8(), degree: r.u8(),
		flags: r.u8(), want: Name(r.u16()), slept: time.Duration(r.u16()) * ageUnit}
	m.Standing, m.Moves, m.knows = Standing(r.u8()), r.u16(), r.u64()
	for len(r.b) > 0 && !r.short {
		kind, n := r.u8(), r.u8()
		for range n {
			switch kind {
			case sectionRecords:
				x, err := r.record()
				if err != nil {
					return nil, err
				}
				m.records = append(m.records, x)
			case sectionWitness:
				m.witness = append(m.witness, r.evidence())
			case sectionVerdict:
				m.verdicts = append(m.verdicts, r.evidence())
			case sectionDown:
				m.down = append(m.down, down{way{Name(r.u16()), Name(r.u16())}, time.Duration(r.u16()) * ageUnit})
			default:
				return nil, fmt.Errorf("%w: section %d is unknown", ErrForm, kind)
			}
			if r.short {
				break
			}
		}
	}
	if r.short {
		return nil, fmt.Errorf("%w: it ends within an entry", ErrForm)
	}
	if m.flags >= flags {
		return nil, fmt.Errorf("%w: flags %#x", ErrForm, m.flags)
	}
	return m, m.check()
}
