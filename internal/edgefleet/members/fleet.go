package members

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	steps       = 3   // times that an instance looks at its fleet in each heartbeat
	echoWindow  = 64  // an echo of one of so many last messages shows that the sender lives now
	strainLearn = 0.1 // weight of one step's lateness in an instance's own strain
	witnessFor  = 1500 * time.Millisecond
	tellEach    = time.Second // a silence is told again to those watchers whom no heartbeat tells
	tellLevel   = 1.5         // of its own suspicion from which an instance tells others
	muteFor     = 4500 * time.Millisecond
	helpTells   = 3 // who has not answered so many is no help
	refuteEach  = 500 * time.Millisecond
	suspectFor  = 3 * time.Second  // a suspicion that nobody renews ends
	downFor     = 6 * time.Second  // and so does what is said of a way
	fewestSends = 3                // a rumor goes out so often, and more with the fleet's size
	outsideEach = 4                // of so many heartbeats one goes to those who are not in the view
	quorumFor   = 30 * time.Second // the dead count as not there for so long
	retryFor    = time.Minute      // the dead are tried so long
	mostMembers = 4096
)

// Peer is where an instance may be found.
type Peer struct {
	Name Name
	Addr netip.AddrPort
}

// Config is what an instance starts with.
type Config struct {
	Peer              // its own; an address is needed only where others do not see it
	Birth      uint64 // nanoseconds of the process's start since 1970, by its machine's clock
	Remembered uint32 // the highest incarnation number that the instance knows it had; 0: none
	Fixed      bool   // addresses are those of the seeds alone: none is learned, and nobody else is taken in
	Seeds      []Peer // some of them may be dead, or this instance itself
	Key        uint64 // messages of fleets with another are foreign
	Timing     Timing
}

// Datagram is a message to be sent.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Fleet is one instance's picture of its fleet. It is not safe for use by
// several goroutines: one loop calls Tick when Next says and Receive when
// something comes, and sends what they return.
type Fleet struct {
	t       Timing
	key     uint64
	fixed   bool
	rng     *rand.Rand
	self    Record
	members []*member // the others, sorted by name
	view    View
	overlay *overlay
	near    []*member // neighbours

	now, due, start time.Duration
	started         bool
	tokens          float64
	filled          time.Duration
	nextHeartbeat   time.Duration
	turn, outside   int
	seq             uint32
	strain          float64 // mean lateness of steps, in steps
	stale           bool    // has slept, and not heard from its neighbours since
	sleptAt, slept  time.Duration
	refuted         time.Duration
	want            Name // the records from this name on are asked for next
	majority        bool // as of the last step
	acked           bool // the fleet has taken this incarnation in
	joining         bool
	hot             bool // a loss was learned and is to be passed on
	replaced        bool
	changed         time.Duration // when the first change that is not in the view came; 0: none
	downs           []downState
	depth           int
	out             []Datagram
	events          []Event
	lost            int // events dropped because nobody took them
}

// member is what an instance knows of another one.
type member struct {
	Record
	known   bool          // more than an address
	since   time.Duration // of its standing
	sends   int           // the record is told so often yet
	heard   time.Duration // the last direct sign of life
	sign    time.Duration // and by anyone's statement
	watched time.Duration // since when this instance has been its neighbour
	seq     uint32
	sent    time.Duration // when something was last sent to it
	talks   bool          // the incarnation has shown that it lives now
	link    *link
	seen    []seen // by other watchers
	askers  []asker

	told, toldFirst time.Duration
	accusedAt       time.Duration // when the suspicion began
	tells           int           // rounds, since it was last heard
	toldTo          []Name        // in a round that is not over
	suspect         bool
	level           float64
	suspectAt       time.Duration
	verdictSends    int
	slept           time.Duration
	sleptAt         time.Duration

	hash    uint32
	depth   byte
	epoch   uint32
	hashAt  time.Duration
	doubts  bool // it doubts its own view
	degree  byte
	clashAt time.Duration // since when its view differs; 0: it does not
}

// seen is what another watcher last said of a member.
type seen struct {
	from  Name
	level float64
	at    time.Duration
	sign  time.Duration // when it last heard the member
}

// asker is one who wants to know whether a member answers.
type asker struct {
	name Name
	at   time.Duration
}

type downState struct {
	way
	at    time.Duration
	sends int
}

// New starts an instance's picture at a time of its own monotonic clock.
func New(c Config, rng *rand.Rand, now time.Duration) (*Fleet, error) {
	if err := c.Timing.Check(); err != nil {
		return nil, err
	}
	if len(c.Seeds) > mostMembers {
		return nil, fmt.Errorf("members: %d seeds; %d is the most", len(c.Seeds), mostMembers)
	}
	f := &Fleet{t: c.Timing, key: c.Key, fixed: c.Fixed, rng: rng, now: now, due: now, start: now, filled: now, tokens: c.Timing.Burst,
		seq: rng.Uint32() | 1, joining: len(c.Seeds) > 0,
		self: Record{Name: c.Name, Incarnation: Incarnation{c.Remembered + 1, c.Birth}, Moves: 1, Addr: c.Addr}}
	for i, s := range c.Seeds {
		if !s.Addr.IsValid() {
			return nil, fmt.Errorf("members: seeds[%d]: no address", i)
		}
		if s.Name != c.Name {
			f.member(s.Name).Addr = s.Addr
		}
	}
	f.nextHeartbeat = now + time.Duration(rng.Int64N(int64(c.Timing.Heartbeat)))
	f.publish()
	return f, nil
}

// find is the member of a name; nil: there is none.
func (f *Fleet) find(n Name) *member {
	i, ok := slices.BinarySearchFunc(f.members, n, func(m *member, n Name) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return f.members[i]
}

// member is the same, made where it is missing; nil where there is no room.
func (f *Fleet) member(n Name) *member {
	i, ok := slices.BinarySearchFunc(f.members, n, func(m *member, n Name) int { return cmp.Compare(m.Name, n) })
	if !ok {
		if len(f.members) >= mostMembers {
			return nil
		}
		f.members = slices.Insert(f.members, i, &member{Record: Record{Name: n, Standing: Left}})
	}
	return f.members[i]
}

// rumor is how often one is told.
func (f *Fleet) rumor() int { return fewestSends + 2*bits.Len(uint(len(f.members))) }

// Next is when Tick wants to be called.
func (f *Fleet) Next() time.Duration { return f.due }

// Tick does what is due and returns what is to be sent.
func (f *Fleet) Tick(now time.Duration) []Datagram {
	f.wake(now)
	if f.self.Standing.Gone() || f.replaced {
		f.due = f.now + f.t.Heartbeat
		return f.flush()
	}
	step := f.t.Heartbeat / steps
	f.strain += strainLearn * (min(float64(max(0, f.now-f.due))/float64(step), 4) - f.strain)
	f.due, f.started = f.now+step, true
	f.majority = f.quorum()
	f.expire()
	f.watch()
	f.settle()
	if f.now >= f.nextHeartbeat {
		f.nextHeartbeat = max(f.nextHeartbeat+f.t.Heartbeat, f.now+f.t.Heartbeat/2)
		f.heartbeat()
	}
	return f.flush()
}

// wake takes in what time it is. A step that comes far too late, or a clock that jumps, is a pause
// of this instance: what it did not hear meanwhile tells of nobody else.
func (f *Fleet) wake(now time.Duration) {
	now = max(now, f.now)
	if gap := now - f.due; f.started && gap > f.t.SleptLeast {
		f.slept, f.sleptAt, f.stale = gap, now, true
		for _, m := range f.members {
			m.seen = nil
			m.heard, m.sign, m.hashAt = m.heard+gap, m.sign+gap, m.hashAt+gap
			if m.link != nil {
				m.link.shift(gap)
			}
			if m.suspect {
				m.suspectAt += gap
			}
		}
		if f.changed > 0 {
			f.changed = now
		}
		f.nextHeartbeat, f.due = now, now
		f.note(Event{Kind: Slept, Name: f.self.Name, For: gap})
		f.fill(now)
		f.now = now
		for _, m := range f.near {
			f.send(m, flagSlept, 0, nil)
		}
	}
	f.now = now
	f.fill(now)
}

// expire ends what has had its time.
func (f *Fleet) expire() {
	f.members = slices.DeleteFunc(f.members, func(m *member) bool {
		return m.known && m.Standing.Gone() && f.now-m.since > f.t.Tombstone && f.changed == 0
	})
	for _, m := range f.members {
		if m.suspect && f.now-m.suspectAt > suspectFor {
			m.suspect = false
			f.note(Event{Kind: Cleared, Name: m.Name})
		}
		// Where a majority is at hand again, the first of it calls dead what has not come back.
		if m.known && m.Standing == Unreachable && f.now-m.since > 4*f.t.DeadAfter && f.majority &&
			len(f.view.Present) > 0 && f.view.Present[0] == f.self.Name && !f.inDoubt() {
			r := m.Record
			r.Standing, r.Moves = Dead, r.Moves+1
			f.merge(r)
		}
	}
	f.downs = slices.DeleteFunc(f.downs, func(d downState) bool { return f.now-d.at > downFor })
	f.deepen()
}

// deepen counts how far round this instance its view is held: one hop more than its neighbours say.
func (f *Fleet) deepen() {
	depth := math.MaxInt32
	for _, m := range f.near {
		switch age := time.Duration(max(1, m.degree, byte(len(f.near)))) * f.t.Heartbeat * 3; {
		case m.suspect:
		case m.hash != f.view.Hash || m.hashAt == 0 || f.now-m.hashAt > age:
			f.depth = 0
			return
		default:
			depth = min(depth, int(m.depth))
		}
	}
	f.depth = min(depth, 254) + 1
	if depth == math.MaxInt32 {
		f.depth = 0
	}
}
