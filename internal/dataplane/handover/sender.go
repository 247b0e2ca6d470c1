package handover

import (
	"maps"
	"slices"
	"time"
)

// Time limits of a handover.
const (
	HandoverTimeout = 400 * time.Millisecond // of the whole handover; shares not accepted by then are lost
	queryTimeout    = 150 * time.Millisecond // a receiver that has not answered by then is skipped
	resendInterval  = 40 * time.Millisecond  // between two sends of an unanswered message
)

// OutgoingMessage is a message with the number of the proxy that it goes to.
type OutgoingMessage struct {
	To int
	*Message
}

// Batch is a set of shares with the numbers of the proxies that may receive them, in order of preference.
type Batch struct {
	Shares    []Share
	Receivers []int
}

// Sender is the leaving proxy's side of a handover: it offers the shares that its proxy no longer uses. It offers a batch
// to the first willing receiver, and to the next one only after that receiver has answered Rejected. If no answer comes,
// the receiver may have accepted the batch, so it is offered to no other.
type Sender struct {
	incarnation Incarnation
	startedAt   time.Duration
	lastNumber  uint32
	receivers   map[int]*receiverState
	batches     []*batchState
}

type receiverState struct {
	incarnation Incarnation // of the receiver, once it has answered Willing; 0 before
	unwilling   bool
	queriedAt   time.Duration
	wasQueried  bool
}

type batchState struct {
	Batch
	number   uint32 // of the current offer; 0 if the batch is not on offer
	receiver int
	sentAt   time.Duration
	finished bool // accepted, or no receiver is left
	accepted bool
}

// NewSender begins a handover. The proxy must no longer use the shares in the batches.
func NewSender(incarnation Incarnation, batches []Batch, now time.Duration) *Sender {
	g := &Sender{incarnation: incarnation, startedAt: now, receivers: map[int]*receiverState{}}
	for _, l := range batches {
		g.batches = append(g.batches, &batchState{Batch: l})
		for _, t := range l.Receivers {
			if g.receivers[t] == nil {
				g.receivers[t] = &receiverState{}
			}
		}
	}
	return g
}

// Step returns the messages to be sent now. The caller calls it every few milliseconds.
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
		newOffer := l.number == 0 && g.assignReceiver(l, now)
		if l.finished || l.number == 0 || !newOffer && now-l.sentAt < resendInterval {
			continue
		}
		l.sentAt = now
		out = append(out, OutgoingMessage{l.receiver, &Message{Kind: Offer, From: g.incarnation, To: g.receivers[l.receiver].incarnation,
			Number: l.number, Shares: l.Shares}})
	}
	return out
}

// assignReceiver picks a receiver for a batch that is not on offer. It reports whether there is one now; if none is left, the
// batch is finished.
func (g *Sender) assignReceiver(l *batchState, now time.Duration) bool {
	for _, t := range l.Receivers {
		a := g.receivers[t]
		switch {
		case a.incarnation != 0 && !a.unwilling:
			g.lastNumber++
			l.number, l.receiver = g.lastNumber, t
			return true
		case !a.unwilling && now-g.startedAt < queryTimeout:
			return false // it may still answer Willing
		}
	}
	l.finished = true
	return false
}

// HandleMessage processes a message from a receiver.
func (g *Sender) HandleMessage(from int, m *Message) {
	a := g.receivers[from]
	if a == nil || m.To != g.incarnation {
		return
	}
	switch m.Kind {
	case Willing:
		if a.incarnation == 0 { // a later incarnation must not get what this one may have accepted
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

// Done reports whether the handover is over: all batches are finished, or the time limit has passed.
func (g *Sender) Done(now time.Duration) bool {
	return now-g.startedAt >= HandoverTimeout || !slices.ContainsFunc(g.batches, func(l *batchState) bool { return !l.finished })
}

// AcceptedUnits returns how many units receivers have acknowledged, and how many there were in total.
func (g *Sender) AcceptedUnits() (units, total int) {
	for _, l := range g.batches {
		for _, s := range l.Shares {
			if total += int(s.Units); l.accepted {
				units += int(s.Units)
			}
		}
	}
	return units, total
}
