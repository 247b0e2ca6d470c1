package members

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is who is there, as one instance holds it. Equal hashes are equal views.
type View struct {
	Epoch       uint32 // rises with each change
	Hash        uint32 // of the names that are present, and their births
	Present     []Name // sorted, this instance among them
	Unreachable []Name
	isolated    bool
}

// Kind tells events apart.
type Kind uint8

// What happens.
const (
	Changed   Kind = iota // the view: Joined, Lost, Unreachable, Gone
	Suspected             // nothing is heard of Name, with Level
	Cleared               // it was heard of again
	Slept                 // this instance itself, For so long
	Fresh                 // it has heard from its neighbours again
	Isolated              // it hears from none of them
	Refuted               // it has risen above what was said of it
	Replaced              // another process has its name
	kinds
)

var kindNames = [kinds]string{"changed", "suspected", "cleared", "slept", "fresh", "isolated", "refuted", "replaced"}

// String names a kind.
func (k Kind) String() string { return kindNames[k] }

// Event is a change, in the order in which this instance came to it.
type Event struct {
	Kind   Kind
	At     time.Duration
	Name   Name
	Level  float64
	For    time.Duration
	Epoch  uint32
	Joined []Name // came, or came back
	Lost   []Name // are no longer there
}

const mostEvents = 1024

func (f *Fleet) note(e Event) {
	e.At = f.now
	if len(f.events) >= mostEvents {
		f.events = f.events[1:]
		f.lost++
	}
	f.events = append(f.events, e)
}

// Events hands over what has happened since it was last called, and how much was dropped
// because that was too long ago.
func (f *Fleet) Events() (list []Event, dropped int) {
	list, dropped = f.events, f.lost
	f.events, f.lost = nil, 0
	return list, dropped
}

// settle lets gathered changes into the view, once no more is to be expected or after a while.
func (f *Fleet) settle() {
	if f.changed == 0 || f.now-f.changed < f.t.Batch {
		return
	}
	if f.now-f.changed < f.t.BatchMost {
		for _, m := range f.members {
			if m.suspect && m.Standing == Present { // its end is near, or its answer
				return
			}
			if m.Standing != Present && m.Standing != Left && m.link != nil && f.now-m.heard < f.t.SuspectAfter {
				return // heard here just now: it will answer to this
			}
		}
	}
	f.publish()
}

// publish makes the view of what is known.
func (f *Fleet) publish() {
	f.changed = 0
	v := View{Epoch: f.view.Epoch, isolated: f.view.isolated}
	moves := uint32(f.self.Moves)
	d := xxhash.New()
	add := func(r Record) {
		if r.Standing == Unreachable {
			v.Unreachable = append(v.Unreachable, r.Name)
			return
		}
		var b [10]byte
		binary.BigEndian.PutUint16(b[:], uint16(r.Name))
		binary.BigEndian.PutUint64(b[2:], r.Incarnation.Birth)
		_, _ = d.Write(b[:])
		v.Present = append(v.Present, r.Name)
	}
	self := false
	for _, m := range f.members {
		if !self && m.Name > f.self.Name {
			add(f.self)
			self = true
		}
		if m.known {
			moves += uint32(m.Moves)
			if !m.Standing.Gone() {
				add(m.Record)
			}
		}
	}
	if !self {
		add(f.self)
	}
	v.Hash = uint32(d.Sum64())
	if v.Hash == f.view.Hash && f.view.Epoch > 0 {
		f.view.Unreachable = v.Unreachable
		return
	}
	v.Epoch = max(f.view.Epoch+1, moves)
	e := Event{Kind: Changed, Name: f.self.Name, Epoch: v.Epoch, Joined: without(v.Present, f.view.Present), Lost: without(f.view.Present, v.Present)}
	f.view, f.depth = v, 0
	f.overlay = newOverlay(v.Present)
	f.near = nil
	for _, m := range f.members {
		if l := m.link; l != nil && m.Standing == Present {
			f.near = append(f.near, m) // for a moment, to be kept or dropped below
		}
	}
	keep := f.overlay.neighbours(f.self.Name)
	f.near = f.near[:0]
	for _, m := range f.members {
		if !slices.Contains(keep, m.Name) {
			m.link = nil
			continue
		}
		if m.link == nil {
			l := newLink(f.now, time.Duration(max(1, len(keep)))*f.t.Heartbeat)
			m.link, m.watched = &l, f.now
		}
		f.near = append(f.near, m)
	}
	for _, m := range f.members {
		m.clashAt = 0
	}
	f.note(e)
}

// without are the names of a that are not in b.
func without(a, b []Name) (list []Name) {
	for _, n := range a {
		if _, ok := slices.BinarySearch(b, n); !ok {
			list = append(list, n)
		}
	}
	return list
}

// View is the numbered view that this instance holds.
func (f *Fleet) View() View {
	v := f.view
	v.Present, v.Unreachable = slices.Clone(v.Present), slices.Clone(v.Unreachable)
	return v
}

// Name is this instance's own.
func (f *Fleet) Name() Name { return f.self.Name }

// Names are all names that have been heard of and are not forgotten, sorted, with this instance's.
func (f *Fleet) Names() (list []Name) {
	for _, m := range f.members {
		if m.known {
			list = append(list, m.Name)
		}
	}
	list = append(list, f.self.Name)
	slices.Sort(list)
	return list
}

// Alive are the names to count on now: in the view and not suspected. One that hears nobody, or
// was replaced, counts on nobody else.
func (f *Fleet) Alive() (list []Name) {
	for _, n := range f.view.Present {
		if n == f.self.Name {
			list = append(list, n)
		} else if m := f.find(n); m != nil && f.there(m) && !f.view.isolated && !f.replaced {
			list = append(list, n)
		}
	}
	return list
}

// Owners are the k names of the view that a key falls to, the first before the second.
func (f *Fleet) Owners(key uint64, k int) []Name { return owners(f.view.Present, key, k) }

// Doubts are reasons not to rely on a view.
type Doubts uint8

// The reasons.
const (
	DoubtSlept    Doubts = 1 << iota // this instance has slept and not heard from most neighbours since
	DoubtIsolated                    // it hears nobody
	DoubtMinority                    // no majority of those not known to be gone is at hand
	DoubtChange                      // a change is known that is not in the view
	DoubtDiffer                      // not all within reach are known to hold the same view
	DoubtReplaced                    // another process has this instance's name
	DoubtSilent                      // a third or more of its neighbours are silent: part of the fleet may be cut off
)

var doubtNames = []string{"slept", "isolated", "minority", "change", "differ", "replaced", "silent"}

// Strings lists the reasons by name.
func (d Doubts) Strings() (list []string) {
	for i, s := range doubtNames {
		if d&(1<<i) != 0 {
			list = append(list, s)
		}
	}
	return list
}

// Doubts tells why the view may not be what all that can be reached hold; 0: it is.
func (f *Fleet) Doubts() Doubts { return f.doubts(f.quorum()) }

func (f *Fleet) doubts(majority bool) (d Doubts) {
	add := func(is bool, why Doubts) {
		if is {
			d |= why
		}
	}
	add(f.stale, DoubtSlept)
	add(f.view.isolated, DoubtIsolated)
	add(!majority, DoubtMinority)
	add(f.changed > 0, DoubtChange)
	add(f.depth < f.reach() && len(f.view.Present) > 1, DoubtDiffer)
	add(f.replaced, DoubtReplaced)
	silent, doubting := 0, 0
	for _, m := range f.near {
		switch {
		case f.now-m.link.last >= f.t.DeadAfter:
			silent++
		case m.doubts:
			doubting++
		}
	}
	// One silent neighbour is no cut, unless most of the others see one, too.
	add(silent > 1 && 3*silent >= len(f.near) || silent == 1 && 2*doubting > len(f.near), DoubtSilent)
	return d
}

// Doubt lists the reasons by name.
func (f *Fleet) Doubt() []string { return f.Doubts().Strings() }

func (f *Fleet) inDoubt() bool { return f.Doubts() != 0 }

// reach is how many hops are surely enough to come to all neighbours' neighbours.
func (f *Fleet) reach() int {
	if len(f.view.Present) <= wholeMesh {
		return 1
	}
	return int(math.Ceil(math.Log(float64(len(f.view.Present)))/math.Log(rings))) + 1
}

// State is what an operator sees of an instance.
type State uint8

// The states.
const (
	StateAlive   State = iota
	StatePaused        // it has told of a pause of its own, a short time ago
	StateSuspect       // nothing is heard of it by those who watch it
	StateOneWay        // a way to or from it is down, and others hear it
	StateUnreachable
	StateDead
	StateLeft
	StateUnknown
	states
)

var stateNames = [states]string{"alive", "paused", "suspect", "one-way", "unreachable", "dead", "left", "unknown"}

// String names a state as the operators' page does.
func (s State) String() string { return stateNames[s] }

// Status is what is known of one instance, and on whose evidence.
type Status struct {
	Name        Name
	Incarnation Incarnation
	State       State
	Since       time.Duration // of its standing
	Sign        time.Duration // age of the last sign of life; 0 for this instance
	Level       float64       // of suspicion
	Accusers    []Name        // watchers that miss it now
	Down        []Name        // at the other ends of ways that are down
	Slept       time.Duration // the pause it has told of
}

const pausedFor = 5 * time.Second

// Status tells what is known of a name.
func (f *Fleet) Status(n Name) Status {
	if n == f.self.Name {
		s := Status{Name: n, Incarnation: f.self.Incarnation, Since: f.start, State: standingState(f.self.Standing)}
		if f.stale {
			s.State, s.Slept = StatePaused, f.slept
		}
		return s
	}
	m := f.find(n)
	if m == nil || !m.known {
		return Status{Name: n, State: StateUnknown}
	}
	s := Status{Name: n, Incarnation: m.Incarnation, State: standingState(m.Standing), Since: m.since, Sign: f.now - m.sign}
	if m.link != nil && m.link.pings > 0 {
		s.Accusers = append(s.Accusers, f.self.Name)
	}
	for _, x := range m.seen {
		if x.level > 0 && f.now-x.at < witnessFor {
			s.Accusers = append(s.Accusers, x.from)
		}
	}
	slices.Sort(s.Accusers)
	for _, d := range f.downs {
		switch n {
		case d.from:
			s.Down = append(s.Down, d.to)
		case d.to:
			s.Down = append(s.Down, d.from)
		}
	}
	if m.Standing != Present {
		return s
	}
	switch {
	case m.suspect:
		s.State, s.Level = StateSuspect, m.level
	case len(s.Down) > 0:
		s.State = StateOneWay
	case m.sleptAt > 0 && f.now-m.sleptAt < pausedFor:
		s.State, s.Slept = StatePaused, m.slept
	}
	return s
}

func standingState(s Standing) State {
	return [standings]State{Present: StateAlive, Unreachable: StateUnreachable, Dead: StateDead, Left: StateLeft}[s]
}

// Reachability is whether messages from one instance arrive at another.
type Reachability uint8

// The answers.
const (
	ReachUnknown Reachability = iota // nobody watches that way
	ReachYes
	ReachNo
)

// Reach tells whether messages from a arrive at b, as far as is known here.
func (f *Fleet) Reach(a, b Name) Reachability {
	for _, n := range []Name{a, b} {
		if _, ok := slices.BinarySearch(f.view.Present, n); !ok {
			return ReachNo
		}
		if m := f.find(n); m != nil && m.suspect {
			return ReachNo
		}
	}
	if a == b {
		return ReachYes
	}
	if m := f.find(a); b == f.self.Name && m.link != nil && f.now-m.link.last >= f.t.DeadAfter {
		return ReachNo
	}
	if slices.ContainsFunc(f.downs, func(d downState) bool { return d.way == way{a, b} }) {
		return ReachNo
	}
	if slices.Contains(f.overlay.neighbours(a), b) {
		return ReachYes
	}
	return ReachUnknown
}
