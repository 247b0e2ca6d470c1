package handover

import (
	"bytes"
	"encoding/binary"
)

// Incarnation identifies one run of a proxy's process. 0 identifies none.
type Incarnation uint64

// Kind is what a message says.
type Kind byte

// The kinds of messages.
const (
	Query     Kind = 1 + iota // giver: who would take?
	Willing                   // taker: this life would
	Unwilling                 // taker: it leaves itself, or does not know yet what there is
	Offer                     // giver: these shares are yours, under a number
	Accepted                  // taker: what has the number is taken
	Rejected                  // taker: it is not taken, and never will be
)

// Share is a number of units of one key's quota, held by one proxy only.
type Share struct {
	Key   uint64
	Units uint16
}

// Message is a message between giver and taker. It may be lost, late or duplicated.
type Message struct {
	Kind     Kind
	From, To Incarnation
	Number   uint32 // of a handover; counted by the giver, from 1
	Shares   []Share
}

// Magic begins each message on the wire: no other datagram between proxies begins so.
const Magic = 0xE7

// MaxShares is how many shares one message holds at most, so that it is below 256 bytes.
const MaxShares = 22

type wireHeader struct {
	Magic    byte
	Kind     Kind
	From, To Incarnation
	No       uint32
}

// Encode returns the message in its form on the wire.
func (m *Message) Encode() []byte {
	b, err := binary.Append(nil, binary.BigEndian, wireHeader{Magic, m.Kind, m.From, m.To, m.Number})
	if err == nil {
		b, err = binary.Append(b, binary.BigEndian, m.Shares)
	}
	if err != nil {
		panic(err) // fixed sizes only
	}
	return b
}

// Decode reads a message; it returns nil for anything but a complete, well-formed one.
func Decode(b []byte) *Message {
	var h wireHeader
	n, err := binary.Decode(b, binary.BigEndian, &h)
	if err != nil || h.Magic != Magic || h.Kind < Query || h.Kind > Rejected {
		return nil
	}
	size := binary.Size(Share{})
	if rest := len(b) - n; rest%size != 0 || rest/size > MaxShares || h.Kind != Offer && rest > 0 {
		return nil
	}
	m := &Message{Kind: h.Kind, From: h.From, To: h.To, Number: h.No}
	if len(b) > n {
		m.Shares = make([]Share, (len(b)-n)/size)
		if binary.Read(bytes.NewReader(b[n:]), binary.BigEndian, m.Shares) != nil {
			return nil
		}
	}
	return m
}
