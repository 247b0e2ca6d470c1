package members

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// ErrNotForUs is a message that was addressed to another instance.
var ErrNotForUs = errors.New("members: a message for another instance")

// ErrSource is a message that does not come from its sender's address.
var ErrSource = errors.New("members: a message from another address than its sender's")

// Receive takes in a datagram and returns what is to be sent at once. The error says what was
// wrong with it; then it has changed nothing.
func (f *Fleet) Receive(now time.Duration, from netip.AddrPort, data []byte) ([]Datagram, error) {
	f.wake(now)
	m, err := decode(data, f.key)
	if err != nil {
		return f.flush(), err
	}
	if m.to != f.self.Name {
		return f.flush(), fmt.Errorf("%w: %d", ErrNotForUs, m.to)
	}
	if f.self.Standing.Gone() || f.replaced {
		return f.flush(), nil
	}
	if m.Name == f.self.Name {
		if m.Incarnation.Birth != f.self.Incarnation.Birth {
			f.aboutMe(m.Record)
		}
		return f.flush(), nil
	}
	s := f.find(m.Name)
	if s == nil && f.fixed {
		return f.flush(), fmt.Errorf("%w: %d is not among the seeds", ErrSource, m.Name)
	}
	if s = f.member(m.Name); s == nil {
		return f.flush(), fmt.Errorf("members: %d are known already", mostMembers)
	}
	if (f.fixed || s.talks) && s.Addr.IsValid() && s.Addr != from && (f.fixed || m.Incarnation.Compare(s.Incarnation) <= 0) {
		return f.flush(), fmt.Errorf("%w: %v, not %v", ErrSource, from, s.Addr)
	}
	if f.contact(s, m, from) {
		f.content(s, m)
	}
	if f.hot { // news of a loss goes on from each that learns it
		f.hot = false
		f.urgent(2, 2)
	}
	return f.flush(), nil
}

// fresh tells whether a sender has lately heard from this process.
func (f *Fleet) fresh(echo uint32) bool { return echo != 0 && f.seq-echo < echoWindow }

// contact tells whether a message is a sign of its sender's life, and not an old one's echo. A
// first one proves nothing: it is answered, and what echoes the answer does.
func (f *Fleet) contact(s *member, m *message, from netip.AddrPort) bool {
	c, fresh := m.Incarnation.Compare(s.Incarnation), f.fresh(m.echo)
	same := s.known && m.Incarnation.Birth == s.Incarnation.Birth
	if same && s.talks && int32(m.seq-s.seq) <= 0 {
		return false // doubled, overtaken or repeated
	}
	if s.known && (c < 0 || c == 0 && s.Standing != Present) {
		// It is told what is held of it, and rises above that if it lives; and so does this
		// instance, of which it may hold the same.
		if !s.Addr.IsValid() {
			s.Addr = from
		}
		if fresh || same && s.talks {
			for _, r := range m.records {
				if r.Name == f.self.Name {
					f.aboutMe(r)
				}
			}
		}
		if f.spend(1) {
			f.reply(s, m.seq, from)
		}
		return false
	}
	if !fresh && !(same && s.talks) {
		if !s.known || !s.Addr.IsValid() {
			s.Addr = from
		}
		if f.spend(-2) {
			f.reply(s, m.seq, from)
		}
		return false
	}
	r := m.Record
	r.Addr = from
	s.seq = m.seq
	f.merge(r)
	s.talks, f.acked = true, f.acked || m.knows == f.self.Incarnation.Birth
	return s.Standing == Present
}

// reply tells a sender the record that is held of its name, and lets it show that it lives now.
func (f *Fleet) reply(s *member, seq uint32, from netip.AddrPort) {
	f.seq++
	m := &message{Record: f.self, to: s.Name, knows: s.Incarnation.Birth, seq: f.seq, echo: seq, epoch: f.view.Epoch,
		hash: f.view.Hash, degree: byte(max(1, len(f.near))), want: f.want}
	if s.known {
		m.records = []Record{s.Record}
	}
	f.out = append(f.out, Datagram{from, m.encode(f.key)})
}

// content takes in what a living sender says.
func (f *Fleet) content(s *member, m *message) {
	s.heard, s.sign = f.now, f.now
	f.found(s)
	if s.suspect {
		f.clear(s)
	}
	s.tells, s.toldTo = 0, s.toldTo[:0]
	if s.link != nil {
		s.link.arrived(f.now, time.Duration(max(1, m.degree))*f.t.Heartbeat)
	}
	if m.flags&flagSlept != 0 {
		s.slept, s.sleptAt = m.slept, f.now
	}
	f.compare(s, m)
	if f.stale && f.refreshed() {
		f.stale = false
		f.note(Event{Kind: Fresh, Name: f.self.Name})
	}
	last := Name(0)
	for _, r := range m.records {
		if last = r.Name; r.Name == f.self.Name {
			f.aboutMe(r)
		} else if r.Name != s.Name {
			f.merge(r)
		}
	}
	if m.flags&flagRecords != 0 {
		f.want = last + 1
	}
	for _, e := range m.verdicts {
		f.onVerdict(e)
	}
	for _, e := range m.witness {
		f.onWitness(s, e)
	}
	for _, d := range m.down {
		f.onDown(d.way, d.age)
	}
	switch {
	case m.flags&flagAnswer != 0 && f.spend(-2):
		f.send(s, 0, m.want, nil)
		if s.link != nil && f.tokens < f.t.Burst/2 { // as good as a heartbeat
			f.nextHeartbeat = min(f.nextHeartbeat+f.t.Heartbeat, f.now+time.Duration(len(f.near))*f.t.Heartbeat)
		}
	case m.flags&flagWant != 0 && f.spend(2):
		f.send(s, 0, m.want, nil)
	}
}

// compare notes which view a neighbour holds. Equal views take the higher number.
func (f *Fleet) compare(s *member, m *message) {
	s.hash, s.depth, s.epoch, s.hashAt, s.degree = m.hash, m.depth, m.epoch, f.now, m.degree
	s.doubts = m.flags&flagDoubt != 0
	if m.hash != f.view.Hash {
		if s.clashAt == 0 {
			s.clashAt = f.now
		}
		f.depth = 0
		return
	}
	s.clashAt, f.joining = 0, false
	if m.epoch > f.view.Epoch {
		f.view.Epoch = m.epoch
	}
}

// refreshed tells whether most neighbours that are there were heard since this instance slept.
func (f *Fleet) refreshed() bool {
	n, all := 0, 0
	for _, m := range f.near {
		if !m.suspect {
			all++
			if m.hashAt >= f.sleptAt && m.hash == f.view.Hash {
				n++
			}
		}
	}
	return 2*n >= all
}

// aboutMe meets what is said of this instance's name: it rises above what denies it, and gives way
// to a process that was started later under the same name.
func (f *Fleet) aboutMe(r Record) {
	mine := r.Incarnation.Birth == f.self.Incarnation.Birth
	switch {
	case r.Incarnation.Compare(f.self.Incarnation) < 0 || mine && r.Incarnation == f.self.Incarnation && r.Standing == Present:
		f.self.Moves = max(f.self.Moves, r.Moves)
		return
	case !mine && r.Standing == Present && f.acked && r.Incarnation.Birth > f.self.Incarnation.Birth:
		f.replaced = true
		f.note(Event{Kind: Replaced, Name: f.self.Name})
		return
	}
	f.self.Incarnation.Number = r.Incarnation.Number + 1
	f.self.Moves = max(f.self.Moves, r.Moves+1)
	f.announce()
}

// announce tells the neighbours and some others at once of this instance's new incarnation.
func (f *Fleet) announce() {
	f.note(Event{Kind: Refuted, Name: f.self.Name})
	for _, m := range f.near {
		if f.spend(1) {
			f.send(m, 0, 0, nil)
		}
	}
	if len(f.near) == 0 {
		f.urgent(2, 1)
	}
}

// merge takes a record in.
func (f *Fleet) merge(r Record) {
	m := f.find(r.Name)
	if m == nil && !f.fixed {
		m = f.member(r.Name)
	}
	if m == nil {
		return
	}
	if f.fixed {
		r.Addr = m.Addr
	}
	old := m.Record
	var j Record
	if m.known {
		j = join(old, r)
	} else {
		j = r
	}
	if !j.Addr.IsValid() {
		j.Addr = old.Addr
	}
	if m.known && j == old {
		return
	}
	again := !m.known || j.Incarnation.Birth != old.Incarnation.Birth
	if again {
		m.talks = false
	}
	if j.Incarnation != old.Incarnation || !m.known {
		m.seen, m.sign = nil, f.now
		if m.suspect {
			f.clear(m)
		}
	}
	m.Record, m.known = j, true
	if j != old {
		m.sends = f.rumor()
	}
	if again || j.Standing != old.Standing {
		m.since, f.hot = f.now, f.hot || j.Standing != Present
		if f.changed == 0 {
			f.changed = max(f.now, 1)
		}
		if j.Standing != Present && m.suspect {
			m.suspect = false
		}
	}
}
