package handover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// handoverModel is the state of one sender and two receivers. Each message that was ever sent may arrive at any time, any
// number of times, or never, so messages are lost, duplicated, delayed and reordered.
type handoverModel struct {
	fault           string
	now             time.Duration
	sender          *Sender
	senderEnded     bool // the sender has ended or crashed
	receivers       [2]*Receiver
	lastIncarnation Incarnation
	messages        []OutgoingMessage // to the receivers 1 and 2, and to the sender as 0
	messageSenders  []int
	messageTexts    []string       // each with sender, receiver and content, to find duplicates
	heldRequests    int            // requests at the sender that wait for a server
	reservedUnits   int            // units that the sender keeps for them
	holderCounts    map[uint64]int // by share: how many proxies have held it and may have used it
	faultCount      int            // crashes and leaves so far
	maxFaults       int            // limit of faultCount
}

func newHandoverModel(fault string, batches, maxFaults int) *handoverModel {
	f := &handoverModel{fault: fault, lastIncarnation: 10, holderCounts: map[uint64]int{}, maxFaults: maxFaults}
	if maxFaults == 1 { // with more faults there are too many states
		f.heldRequests, f.reservedUnits = 1, 1
	}
	f.receivers = [2]*Receiver{{Incarnation: 1}, {Incarnation: 2}}
	if fault == "no reserved unit" {
		f.reservedUnits = 0
	}
	if fault == "keeps using its shares" {
		f.holderCounts[7]++
	}
	f.sender = NewSender(9, []Batch{{[]Share{{7, 1}}, []int{1, 2}}, {[]Share{{8, 1}}, []int{2, 1}}}[:batches], 0)
	f.step()
	return f
}

func (f *handoverModel) copy() *handoverModel {
	c := *f
	g := *f.sender
	g.receivers = map[int]*receiverState{}
	for k, v := range f.sender.receivers {
		a := *v
		g.receivers[k] = &a
	}
	g.batches = nil
	for _, l := range f.sender.batches {
		x := *l
		g.batches = append(g.batches, &x)
	}
	c.sender = &g
	for i, t := range f.receivers {
		x := *t
		x.answeredOffers, x.senderOrder = map[Incarnation]map[uint32]bool{}, slices.Clone(t.senderOrder)
		for k, v := range t.answeredOffers {
			x.answeredOffers[k] = map[uint32]bool{}
			for n, b := range v {
				x.answeredOffers[k][n] = b
			}
		}
		c.receivers[i] = &x
	}
	c.messages, c.messageSenders, c.holderCounts = slices.Clone(f.messages), slices.Clone(f.messageSenders), maps.Clone(f.holderCounts)
	c.messageTexts = slices.Clone(f.messageTexts)
	return &c
}

func (f *handoverModel) key() string {
	s := fmt.Sprint(f.now, f.senderEnded, f.heldRequests, f.reservedUnits, f.holderCounts, f.faultCount)
	for _, l := range f.sender.batches {
		s += fmt.Sprint(l.number, l.receiver, l.finished, l.accepted, "/")
	}
	for _, n := range []int{1, 2} {
		s += fmt.Sprint(f.sender.receivers[n].incarnation, f.sender.receivers[n].unwilling, ";")
	}
	for _, t := range f.receivers {
		s += fmt.Sprint(t.Incarnation, t.Leaving, t.answeredOffers)
	}
	return s + strings.Join(slices.Sorted(slices.Values(f.messageTexts)), "|")
}

func (f *handoverModel) send(from, to int, m *Message) {
	text := fmt.Sprint(from, to, *m)
	if slices.Contains(f.messageTexts, text) {
		return
	}
	f.messageTexts = append(f.messageTexts, text)
	f.messages, f.messageSenders = append(f.messages, OutgoingMessage{to, m}), append(f.messageSenders, from)
}

func (f *handoverModel) step() {
	if f.senderEnded {
		return
	}
	for _, l := range f.sender.Step(f.now) {
		f.send(0, l.To, l.Message)
	}
}

// deliver passes a message to its destination.
func (f *handoverModel) deliver(i int) {
	m, from := f.messages[i], f.messageSenders[i]
	if m.To == 0 {
		if !f.senderEnded {
			f.sender.HandleMessage(from, m.Message)
		}
		return
	}
	t, msg := f.receivers[m.To-1], *m.Message
	switch f.fault {
	case "not numbered":
		t.answeredOffers = nil
	case "to any incarnation":
		msg.To = t.Incarnation
	}
	answer, shares := t.HandleMessage(&msg)
	for _, s := range shares {
		f.holderCounts[s.Key]++
	}
	if answer != nil {
		f.send(m.To, 0, answer)
	}
}

// next returns the states after each event that can happen now.
func (f *handoverModel) next() (all []*handoverModel) {
	add := func(do func(c *handoverModel)) {
		c := f.copy()
		do(c)
		c.step()
		all = append(all, c)
	}
	for i, m := range f.messages {
		if m.To == 0 && f.senderEnded {
			continue
		}
		add(func(c *handoverModel) { c.deliver(i) })
	}
	if !f.senderEnded {
		for _, at := range []time.Duration{queryTimeout, HandoverTimeout} {
			if f.now < at {
				add(func(c *handoverModel) {
					c.now = at
					switch {
					case c.fault == "offered again without a rejection":
						for _, l := range c.sender.batches {
							if l.number != 0 && !l.finished {
								c.sender.receivers[l.receiver].unwilling, l.number = true, 0
							}
						}
					case c.fault == "takes shares back" && at == HandoverTimeout:
						for _, l := range c.sender.batches {
							if !l.accepted {
								c.holderCounts[l.Shares[0].Key]++
							}
						}
					}
				})
				break
			}
		}
		if f.heldRequests > 0 {
			add(func(c *handoverModel) { // a server has capacity
				c.heldRequests, c.reservedUnits = c.heldRequests-1, c.reservedUnits-1
			})
			add(func(c *handoverModel) { c.heldRequests-- }) // its wait is over, so it is refused
		}
		if f.sender.Done(f.now) && (f.heldRequests == 0 || f.fault == "ends with held requests") {
			add(func(c *handoverModel) { c.senderEnded = true })
		}
	}
	if f.faultCount < f.maxFaults {
		if !f.senderEnded {
			add(func(c *handoverModel) {
				c.faultCount, c.senderEnded, c.heldRequests, c.reservedUnits = c.faultCount+1, true, 0, 0
			})
		}
		for i := range f.receivers {
			add(func(c *handoverModel) { // the receiver crashes and restarts
				c.faultCount, c.lastIncarnation = c.faultCount+1, c.lastIncarnation+1
				c.receivers[i] = &Receiver{Incarnation: c.lastIncarnation}
			})
			add(func(c *handoverModel) {
				c.faultCount++
				c.receivers[i].Leaving = !(c.fault == "stops leaving" && c.receivers[i].Leaving)
				if c.fault == "stops leaving" {
					c.receivers[i].answeredOffers = nil
				}
			})
		}
	}
	return all
}

// violation describes the rule that this state violates; empty if it violates none.
func (f *handoverModel) violation() string {
	for k, n := range f.holderCounts {
		if n > 1 {
			return fmt.Sprint("share ", k, " had more than one holder")
		}
	}
	if f.senderEnded && f.heldRequests > 0 {
		return "a held request has no answer"
	}
	if f.heldRequests > 0 && f.reservedUnits < f.heldRequests {
		return "a held request has no reserved unit left"
	}
	return ""
}

// exploreHandover visits all reachable states and returns how many there are. It stops at the first violation.
func exploreHandover(first *handoverModel) (states int, violation string) {
	seen := map[string]bool{first.key(): true}
	for queue := []*handoverModel{first}; len(queue) > 0; queue = queue[1:] {
		if violation := queue[0].violation(); violation != "" {
			return len(seen), violation
		}
		for _, n := range queue[0].next() {
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

func TestHandoverInAllOrders(t *testing.T) {
	t.Parallel()
	for _, size := range [][2]int{{1, 1}, {1, 2}, {2, 0}} { // batches, and crashes and leaves
		states, violation := exploreHandover(newHandoverModel("", size[0], size[1]))
		assert.Equal(t, violation, "")
		t.Logf("%d batches, %d faults: %d states, each share with one holder at most, each held request answered", size[0], size[1], states)
		assert.Assert(t, states > 100)
	}
}

func TestModelFindsInjectedFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"not numbered", "to any incarnation", "keeps using its shares", "no reserved unit", "offered again without a rejection", "takes shares back",
		"ends with held requests", "stops leaving"} {
		t.Run(fault, func(t *testing.T) {
			states, violation := exploreHandover(newHandoverModel(fault, 1, 1))
			if violation == "" {
				states, violation = exploreHandover(newHandoverModel(fault, 1, 2))
			}
			assert.Assert(t, violation != "")
			t.Logf("%s, after %d states", violation, states)
		})
	}
}
