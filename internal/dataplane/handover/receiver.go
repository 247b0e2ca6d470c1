package handover

// maxSenders is the number of senders whose offers are remembered. The handover of a dropped sender ended long ago.
const maxSenders = 64

// Receiver is the receiving side of handovers. It accepts each batch at most once, however often it is offered.
type Receiver struct {
	Incarnation Incarnation
	Leaving     bool // once set, it stays set

	answeredOffers map[Incarnation]map[uint32]bool // by sender and number: whether the offer was accepted
	senderOrder    []Incarnation
}

// HandleMessage processes a message from a sender. It returns the answer, or nil for none, and the shares that this proxy now
// holds.
func (t *Receiver) HandleMessage(m *Message) (answer *Message, shares []Share) {
	switch m.Kind {
	case Query:
		if t.Leaving {
			return &Message{Kind: Unwilling, From: t.Incarnation, To: m.From}, nil
		}
		return &Message{Kind: Willing, From: t.Incarnation, To: m.From}, nil
	case Offer:
		if m.To != t.Incarnation { // for an earlier incarnation, which may have accepted and used the shares
			return nil, nil
		}
		accepted, answered := t.offersFrom(m.From)[m.Number]
		if !answered {
			accepted = !t.Leaving
			t.offersFrom(m.From)[m.Number] = accepted
			if accepted {
				shares = m.Shares
			}
		}
		kind := Rejected
		if accepted {
			kind = Accepted
		}
		return &Message{Kind: kind, From: t.Incarnation, To: m.From, Number: m.Number}, shares
	}
	return nil, nil
}

// offersFrom returns the answered offers of a sender. For a new sender it drops the oldest one if there are too many.
func (t *Receiver) offersFrom(sender Incarnation) map[uint32]bool {
	if m := t.answeredOffers[sender]; m != nil {
		return m
	}
	if t.answeredOffers == nil {
		t.answeredOffers = map[Incarnation]map[uint32]bool{}
	}
	if len(t.senderOrder) >= maxSenders {
		delete(t.answeredOffers, t.senderOrder[0])
		t.senderOrder = t.senderOrder[1:]
	}
	t.answeredOffers[sender] = map[uint32]bool{}
	t.senderOrder = append(t.senderOrder, sender)
	return t.answeredOffers[sender]
}
