package members

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

func (f *Fleet) fill(now time.Duration) {
	f.tokens = min(f.t.Burst, f.tokens+f.t.MostPerSecond*(now-f.filled).Seconds())
	f.filled = now
}

// spend takes the right to one message, unless fewer than keep would be left. Answers may go below
// none: heartbeats then wait.
func (f *Fleet) spend(keep float64) bool {
	if f.tokens < 1+keep {
		return false
	}
	f.tokens--
	return true
}

func (f *Fleet) flush() []Datagram {
	out := f.out
	f.out = nil
	return out
}

// heartbeat sends one message: to a neighbour, or to one who may come in or come back.
func (f *Fleet) heartbeat() {
	f.turn++
	var far []*member
	for _, m := range f.members {
		if m.Addr.IsValid() && (!m.known || m.Standing == Unreachable ||
			m.Standing == Dead && f.now-m.since < retryFor) {
			far = append(far, m)
		}
	}
	var to *member
	var ask byte
	switch {
	case len(far) > 0 && (len(f.near) == 0 || f.turn%outsideEach == 0):
		f.outside++
		to = far[f.outside%len(far)]
	case len(f.near) > 0:
		to = slices.MinFunc(f.near, func(a, b *member) int { return cmp.Compare(a.sent, b.sent) })
		if to.link.missed(f.now) > 0 {
			to.link.asked, to.link.tried, ask = f.now, f.now, flagAnswer
		}
	default:
		return
	}
	if !f.spend(0) {
		return
	}
	f.send(to, f.asking(to)|ask, 0, nil)
}

// asking are the flags for a message to a member whose records are wanted.
func (f *Fleet) asking(m *member) byte {
	if f.joining || m.clashAt > 0 && f.now-m.clashAt > 2*f.t.Heartbeat {
		return flagWant
	}
	return 0
}

// send queues a message. Its caller has spent what it costs.
func (f *Fleet) send(to *member, flag byte, want Name, witness []evidence) {
	if !to.Addr.IsValid() {
		return
	}
	f.seq++
	to.sent = f.now
	if witness == nil && !f.view.isolated && !f.stale {
		witness = f.trouble(to)
	}
	m := &message{Record: f.self, to: to.Name, knows: to.Incarnation.Birth, seq: f.seq, echo: to.seq, epoch: f.view.Epoch, hash: f.view.Hash,
		depth: byte(f.depth), degree: byte(max(1, len(f.near))), flags: flag, want: f.want, witness: witness}
	if flag&flagSlept != 0 {
		m.slept = f.slept
	}
	if f.doubts(f.majority) != 0 {
		m.flags |= flagDoubt
	}
	f.addRumors(m, to, want, flag&flagWant == 0 && want > 0 || to.hash != f.view.Hash && to.hashAt > 0)
	if f.fixed { // the others have their own addresses for each
		for i := range m.records {
			m.records[i].Addr = netip.AddrPort{}
		}
	}
	f.out = append(f.out, Datagram{to.Addr, m.encode(f.key)})
}

// addRumors fills a message with what is news, the least told first, and then with the records
// from a name on that the receiver may lack.
func (f *Fleet) addRumors(m *message, to *member, want Name, more bool) {
	for i := range f.downs {
		if d := &f.downs[i]; d.sends > 0 && len(m.down) < 4 {
			d.sends--
			m.down = append(m.down, down{d.way, f.now - d.at})
		}
	}
	for _, o := range f.members {
		if o.verdictSends > 0 && len(m.verdicts) < 8 {
			o.verdictSends--
			e := evidence{name: o.Name, number: o.Incarnation.Number, age: f.now - o.sign}
			if o.suspect {
				e.level = o.level
			}
			m.verdicts = append(m.verdicts, e)
		}
	}
	room := (MostBytes - headBytes - 8 - 9*(len(m.witness)+len(m.verdicts)) - 6*len(m.down)) / recordBytes
	var news []*member
	for _, o := range f.members {
		if o.sends > 0 && o != to {
			news = append(news, o)
		}
	}
	slices.SortStableFunc(news, func(a, b *member) int { return cmp.Compare(b.sends, a.sends) })
	for _, o := range news[:min(len(news), max(0, room))] {
		o.sends--
		m.records = append(m.records, o.Record)
	}
	if !more {
		return
	}
	at, _ := slices.BinarySearchFunc(f.members, want, func(m *member, n Name) int { return cmp.Compare(m.Name, n) })
	for i := range f.members {
		o := f.members[(at+i)%len(f.members)]
		if len(m.records) >= room {
			return
		}
		if o.known && o != to && !slices.Contains(news[:min(len(news), room)], o) {
			m.records, m.flags = append(m.records, o.Record), m.flags|flagRecords
		}
	}
}

// urgent tells news at once to some that are there, while the budget has more than keep.
func (f *Fleet) urgent(some int, keep float64) {
	var list []*member
	for _, m := range f.members {
		if m.known && m.Standing == Present && !m.suspect {
			list = append(list, m)
		}
	}
	for ; some > 0 && len(list) > 0 && f.spend(keep); some-- {
		i := f.rng.IntN(len(list))
		f.send(list[i], 0, 0, nil)
		list = slices.Delete(list, i, i+1)
	}
}

// Leave announces that this instance leaves; it sends nothing after that.
func (f *Fleet) Leave(now time.Duration) []Datagram {
	f.wake(now)
	if !f.self.Standing.Gone() && !f.replaced {
		f.self.Standing = Left
		f.self.Moves++
		for _, m := range f.near {
			f.send(m, 0, 0, nil)
		}
		f.urgent(2, 1)
	}
	return f.flush()
}
