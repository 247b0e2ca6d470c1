package handover

import (
	"maps"
	"slices"
	"time"
)

// Times of a handover.
const (
	HandoverTimeout = 400 * time.Millisecond // for the whole of it; shares not taken by then are lost
	queryTimeout    = 150 * time.Millisecond // a taker that has not answered by then is skipped
	resendInterval  = 40 * time.Millisecond  // between two sends of an unanswered message
)

// OutgoingMessage is a message to a proxy, by its number.
type OutgoingMessage struct {
	To int
	*Message
}

// Batch is a set of shares with the proxies that may take them, the preferred first.
type Batch struct {
	Shares    []Share
	Receivers []int
}

// Sender is the leaving proxy's side of a handover: it offers the shares that its proxy no longer uses. A lot is offered to
// the first of its takers that is willing, and to the next one only after that taker has answered Never. If no answer
// comes, the lot may have been taken, so it is offered to nobody else.
type Sender struct {
	incarnation Incarnation
	startedAt   time.Duration
	lastNumber  uint32
	receivers   map[int]*receiverState
	batches     []*batchState
}

type receiverState struct {
	incarnation Incarnation // of the taker, once it has said that it would; 0: it has not
	unwilling   bool
	queriedAt   time.Duration
	wasQueried  bool // it was told
}

type batchState struct {
	Batch
	number   uint32 // as offered now; 0: it is not
	receiver int
	sentAt   time.Duration
	finished bool // taken, or nobody is left
	accepted bool
}

// NewSender begins a handover. The proxy must no longer use the shares in the lots.
func NewSender(life Incarnation, lots []Batch, now time.Duration) *Sender {
	g := &Sender{incarnation: life, startedAt: now, receivers: map[int]*receiverState{}}
	for _, l := range lots {
		g.batches = append(g.batches, &batchState{Batch: l})
		for _, t := range l.Receivers {
			if g.receivers[t] == nil {
				g.receivers[t] = &receiverState{}
			}
		}
	}
	return g
}

// Step returns the messages to be sent now. It is to be called every few milliseconds.
func (g *Sender) Step(now time.Duration) (out []OutgoingMessage) {
	if g.Done(now) {
		return nil
	}
	for _, num := range slices.Sorted(maps.Keys(g.receivers)) {
		a := g.receivers[num]
		if a.incarnation != 0 || a.unwilling || a.wasQueried && now-a.queriedAt < resendInterval {
			continue
		}
		a.queriedAt, a.wasQueried = now, true
		out = append(out, OutgoingMessage{num, &Message{Kind: Query, From: g.incarnation}})
	}
	for _, l := range g.batches {
		if l.finished {
			continue
		}
		fresh := l.number == 0 && g.assignReceiver(l, now)
		if l.finished || l.number == 0 || !fresh && now-l.sentAt < resendInterval {
			continue
		}
		l.sentAt = now
		out = append(out, OutgoingMessage{l.receiver, &Message{Kind: Offer, From: g.incarnation, To: g.receivers[l.receiver].incarnation, Number: l.number, Shares: l.Shares}})
	}
	return out
}

// assignReceiver finds the taker of a lot that is offered to none, and tells whether there is one.
func (g *Sender) assignReceiver(l *batchState, now time.Duration) bool {
	for _, t := range l.Receivers {
		a := g.receivers[t]
		switch {
		case a.incarnation != 0 && !a.unwilling:
			g.lastNumber++
			l.number, l.receiver = g.lastNumber, t
			return true
		case !a.unwilling && now-g.startedAt < queryTimeout:
			return false // it may say so yet
		}
	}
	l.finished = true
	return false
}

// HandleMessage processes a message of a taker.
func (g *Sender) HandleMessage(from int, m *Message) {
	a := g.receivers[from]
	if a == nil || m.To != g.incarnation {
		return
	}
	switch m.Kind {
	case Willing:
		if a.incarnation == 0 { // a later life is not offered what this one may have had
			a.incarnation = m.From
		}
	case Unwilling:
		a.unwilling = true
	case Accepted, Rejected:
		for _, l := range g.batches {
			if l.finished || l.number == 0 || l.number != m.Number || l.receiver != from || m.From != a.incarnation {
				continue
			}
			if m.Kind == Accepted {
				l.finished, l.accepted = true, true
			} else {
				l.number, a.unwilling = 0, true
			}
		}
	}
}

// Done tells whether the handover is over: no lot is left, or its time has run out.
func (g *Sender) Done(now time.Duration) bool {
	return now-g.startedAt >= HandoverTimeout || !slices.ContainsFunc(g.batches, func(l *batchState) bool { return !l.finished })
}

// AcceptedUnits returns how many units were acknowledged by takers, and how many there were in all.
func (g *Sender) AcceptedUnits() (units, all int) {
	for _, l := range g.batches {
		for _, s := range l.Shares {
			if all += int(s.Units); l.accepted {
				units += int(s.Units)
			}
		}
	}
	return units, all
}
