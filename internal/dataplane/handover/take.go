package handover

// maxSenders is how many givers are remembered. The handover of a forgotten one ended long ago.
const maxSenders = 64

// Receiver is the receiving side of handovers. It takes each lot once, however often it is offered.
type Receiver struct {
	Incarnation Incarnation
	Leaving     bool // never false again

	answeredOffers map[Incarnation]map[uint32]bool // by giver: hand-overs answered, and whether they were taken
	senderOrder    []Incarnation
}

// HandleMessage processes a message of a giver. It returns the answer, nil for none, and the shares that are now this proxy's.
func (t *Receiver) HandleMessage(m *Message) (answer *Message, shares []Share) {
	switch m.Kind {
	case Query:
		if t.Leaving {
			return &Message{Kind: Unwilling, From: t.Incarnation, To: m.From}, nil
		}
		return &Message{Kind: Willing, From: t.Incarnation, To: m.From}, nil
	case Offer:
		if m.To != t.Incarnation { // an earlier life's: that one may have had it, and used it
			return nil, nil
		}
		took, again := t.offersFrom(m.From)[m.Number]
		if !again {
			took = !t.Leaving
			t.offersFrom(m.From)[m.Number] = took
			if took {
				shares = m.Shares
			}
		}
		kind := Rejected
		if took {
			kind = Accepted
		}
		return &Message{Kind: kind, From: t.Incarnation, To: m.From, Number: m.Number}, shares
	}
	return nil, nil
}

func (t *Receiver) offersFrom(giver Incarnation) map[uint32]bool {
	if m := t.answeredOffers[giver]; m != nil {
		return m
	}
	if t.answeredOffers == nil {
		t.answeredOffers = map[Incarnation]map[uint32]bool{}
	}
	if len(t.senderOrder) >= maxSenders {
		delete(t.answeredOffers, t.senderOrder[0])
		t.senderOrder = t.senderOrder[1:]
	}
	t.answeredOffers[giver] = map[uint32]bool{}
	t.senderOrder = append(t.senderOrder, giver)
	return t.answeredOffers[giver]
}
