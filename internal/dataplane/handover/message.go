package handover

import (
	"bytes"
	"encoding/binary"
)

// Incarnation identifies one run of a proxy's process. 0 means none.
type Incarnation uint64

// Kind is the kind of a message. Its values are sent between proxies.
type Kind byte

// The kinds of messages.
const (
	Query     Kind = 1 + iota // from the sender: would you receive shares?
	Willing                   // from the receiver: this incarnation would
	Unwilling                 // from the receiver: it leaves itself, or is not informed yet
	Offer                     // from the sender: these shares are yours; the offer has a number
	Accepted                  // from the receiver: the offer with this number is accepted
	Rejected                  // from the receiver: the offer is not accepted, and never will be
)

// Share is a number of units of one key's quota. Only one proxy may hold it.
type Share struct {
	Key   uint64
	Units uint16
}

// Message is a message between sender and receiver. It may be lost, delayed or duplicated.
type Message struct {
	Kind     Kind
	From, To Incarnation
	Number   uint32 // of an offer; counted by the sender, from 1
	Shares   []Share
}

// Magic is the first byte of each encoded message. No other datagram between proxies begins with it.
const Magic = 0xE7

// MaxShares is the maximum number of shares in a message; it keeps messages below 256 bytes.
const MaxShares = 22

type wireHeader struct {
	Magic    byte
	Kind     Kind
	From, To Incarnation
	No       uint32
}

// Encode returns the message in its encoded form.
func (m *Message) Encode() []byte {
	b, err := binary.Append(nil, binary.BigEndian, wireHeader{Magic, m.Kind, m.From, m.To, m.Number})
	if err == nil {
		b, err = binary.Append(b, binary.BigEndian, m.Shares)
	}
	if err != nil {
		panic(err) // can't happen: all types have a fixed size
	}
	return b
}

// Decode decodes a message. It returns nil unless the bytes are a complete, well-formed message.
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
