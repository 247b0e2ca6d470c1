package members

import (
	"slices"
	"time"
)

// watch looks at the neighbours: who is silent is asked, what comes of it is told to those who
// watch it too, and together they judge.
func (f *Fleet) watch() {
	f.isolate()
	for _, m := range f.near {
		l := m.link
		if l.asked > 0 && f.now-l.asked >= f.t.Answer {
			l.pings, l.asked = min(l.pings+1, mostMisses), 0
			f.found(m)
		}
		if l.missed(f.now) == 0 && !f.alerted(m) {
			continue
		}
		if l.asked == 0 && l.pings < 4 && (l.missed(f.now) > 0 || f.now-l.last > f.t.Answer && f.now-l.tried > tellEach) && f.spend(3) {
			l.asked, l.tried = f.now, f.now
			f.send(m, flagAnswer, 0, nil)
		}
		f.tell(m)
		f.judge(m)
		if f.now-l.last >= f.t.DeadAfter && l.pings > 1 && f.now-m.sign < f.t.DeadAfter && !f.stale {
			f.onDown(way{m.Name, f.self.Name}, 0)
		}
	}
}

// tell lets the other watchers of a silent neighbour know, at once when it has not answered, and
// then those again whom no heartbeat tells. Who does not answer that several times is no help.
func (f *Fleet) tell(m *member) {
	if m.link.pings == 0 || f.suspicion(m) < tellLevel || m.tells > 0 && f.now-m.told < tellEach || f.view.isolated || f.stale {
		return
	}
	helped := 0
	for _, n := range f.overlay.neighbours(m.Name) {
		o := f.find(n)
		if o == nil || o.suspect || f.mute(m, n) {
			continue
		}
		if helped++; m.tells > 0 && o.link != nil || slices.Contains(m.toldTo, n) {
			continue
		}
		if !f.spend(1) {
			return // the rest of them as soon as the budget allows
		}
		m.toldTo = append(m.toldTo, n)
		f.send(o, 0, 0, nil)
	}
	m.told, m.toldTo = f.now, m.toldTo[:0]
	if m.tells++; m.tells == 1 {
		m.toldFirst = f.now
	}
	if helped > 1 || m.tells == 1 {
		return
	}
	var list []*member
	for _, o := range f.members {
		if o != m && o.known && o.Standing == Present && !o.suspect && o.link == nil {
			list = append(list, o)
		}
	}
	for range 2 {
		if len(list) > 0 && f.spend(3) {
			i := f.rng.IntN(len(list))
			f.send(list[i], 0, 0, []evidence{f.own(m)})
			list = slices.Delete(list, i, i+1)
		}
	}
}

// mute tells whether another watcher of a member has not answered what it was told.
func (f *Fleet) mute(m *member, n Name) bool {
	i := slices.IndexFunc(m.seen, func(s seen) bool { return s.from == n })
	return m.tells > helpTells && (i < 0 || f.now-m.seen[i].at > muteFor)
}

// trouble is what this instance has to say of its neighbours to one who watches them too.
func (f *Fleet) trouble(to *member) (list []evidence) {
	for _, m := range f.near {
		if m != to && len(list) < 6 && (m.link.pings > 0 || f.accusedBy(m, to.Name)) && slices.Contains(f.overlay.neighbours(m.Name), to.Name) {
			list = append(list, f.own(m))
		}
	}
	return list
}

// accusedBy tells whether another watcher misses a member now.
func (f *Fleet) accusedBy(m *member, n Name) bool {
	return slices.ContainsFunc(m.seen, func(s seen) bool { return s.from == n && s.level > 0 && f.now-s.at < 2*witnessFor })
}

// own is what this instance itself has seen of a neighbour.
func (f *Fleet) own(m *member) evidence {
	e := evidence{name: m.Name, number: m.Incarnation.Number, age: mostAge}
	if m.heard > 0 {
		e.age = f.now - m.heard
	}
	if m.link != nil && m.link.pings > 0 {
		e.level = f.suspicion(m)
	}
	return e
}

// suspicion is this instance's own, the less the more it is behind itself.
func (f *Fleet) suspicion(m *member) float64 { return m.link.level(f.now) / (1 + f.strain) }

// alerted tells whether another watcher misses a member.
func (f *Fleet) alerted(m *member) bool {
	return slices.ContainsFunc(m.seen, func(s seen) bool { return s.level > 0 && f.now-s.at < witnessFor })
}

// isolate finds out whether this instance hears nobody: then it judges nobody.
func (f *Fleet) isolate() {
	alone := len(f.near) > 0
	for _, m := range f.near {
		alone = alone && f.now-m.link.last >= f.t.DeadAfter
	}
	f.stale = f.stale && !alone
	if alone != f.view.isolated {
		f.view.isolated = alone
		kind := Isolated
		if !alone {
			kind = Fresh
		}
		f.note(Event{Kind: kind, Name: f.self.Name})
	}
}

// judge sums up what the watchers of a neighbour say.
func (f *Fleet) judge(m *member) {
	if m.Standing != Present || f.stale {
		return
	}
	if m.link.pings == 0 || m.tells == 0 || f.now-m.toldFirst < f.t.Answer/2 {
		return // the others have not had time to speak for it
	}
	watchers, accusers, sum := 1, 1, f.suspicion(m)
	for _, n := range f.overlay.neighbours(m.Name) {
		o := f.find(n)
		if o == nil || o.suspect || o.Standing != Present {
			continue
		}
		if f.mute(m, n) {
			continue
		}
		watchers++
		i := slices.IndexFunc(m.seen, func(s seen) bool { return s.from == n })
		switch {
		case i < 0:
		case m.seen[i].level > 0 && f.now-m.seen[i].at < witnessFor:
			accusers++
			sum += m.seen[i].level
		case m.seen[i].level == 0 && f.now-m.seen[i].sign < 2*m.link.period+f.t.Answer:
			return // it is heard there: then it is the way here that fails
		}
	}
	silent := f.now - max(m.sign, m.watched)
	if f.view.isolated {
		return
	}
	if silent >= f.t.SuspectAfter && sum >= f.t.SuspectLevel && 2*accusers > watchers && (accusers > 1 || sum >= 2*f.t.SuspectLevel && silent >= f.t.DeadAfter) &&
		(!m.suspect || f.now-m.suspectAt > suspectFor/2) {
		f.accuse(m, sum)
	}
	if silent >= f.t.DeadAfter && sum >= f.t.DeadLevel && 2*accusers > watchers &&
		m.suspect && f.now-m.accusedAt >= f.t.SuspectAfter &&
		(accusers > 1 || sum >= 2*f.t.DeadLevel && silent >= 2*f.t.DeadAfter) {
		r := m.Record
		r.Standing, r.Moves = Unreachable, r.Moves+1
		f.merge(r)
		f.urgent(3, 1)
		f.hot = false
	}
}

// quorum tells whether more than half of those are there who were a while ago, but for those who
// left: a side that loses the others one after the other does not get a majority by that.
func (f *Fleet) quorum() bool {
	there, all := 1, 1
	for _, m := range f.members {
		if m.known && (!m.Standing.Gone() || m.Standing == Dead && f.now-m.since < quorumFor) {
			all++
			if f.there(m) {
				there++
			}
		}
	}
	return 2*there > all
}

// there tells whether a member is to be counted on now.
func (f *Fleet) there(m *member) bool {
	return m.Standing == Present && !m.suspect && (m.link == nil || f.now-m.sign < 2*f.t.DeadAfter)
}

// accuse begins a suspicion, or renews it.
func (f *Fleet) accuse(m *member, level float64) {
	anew := !m.suspect
	if anew {
		m.accusedAt = f.now
	}
	m.suspect, m.level, m.suspectAt, m.verdictSends = true, level, f.now, f.rumor()
	if anew {
		f.note(Event{Kind: Suspected, Name: m.Name, Level: level})
		f.urgent(2, 4)
	}
}

// clear ends a suspicion, and lets others know when there was a later sign of life.
func (f *Fleet) clear(m *member) {
	m.suspect, m.level, m.seen, m.verdictSends = false, 0, nil, f.rumor()
	f.note(Event{Kind: Cleared, Name: m.Name})
}

// onVerdict takes in what watchers hold of an instance, unless more is known here.
func (f *Fleet) onVerdict(e evidence) {
	if e.name == f.self.Name {
		if e.level > 0 && e.number == f.self.Incarnation.Number && f.now-f.refuted >= refuteEach {
			f.refuted = f.now
			f.self.Incarnation.Number++
			f.announce()
		}
		return
	}
	m := f.find(e.name)
	if m == nil || !m.known || m.Standing != Present || e.number != m.Incarnation.Number {
		return
	}
	sign := f.now - e.age
	switch {
	case e.level == 0:
		m.sign = max(m.sign, sign)
		if m.suspect && sign > m.suspectAt {
			f.clear(m)
		}
	case f.now-m.sign < f.t.SuspectAfter && m.sign > sign:
		m.verdictSends = max(m.verdictSends, 1) // something was heard later
	case !m.suspect:
		m.suspect, m.level, m.suspectAt, m.accusedAt, m.verdictSends = true, e.level, f.now, f.now, f.rumor()
		f.note(Event{Kind: Suspected, Name: m.Name, Level: e.level})
		f.urgent(2, 3)
	default:
		m.level, m.suspectAt = max(m.level, e.level), f.now
	}
}

// onWitness takes in what another watcher has seen, and answers what was seen here.
func (f *Fleet) onWitness(s *member, e evidence) {
	if e.name == f.self.Name {
		if e.level > 0 && e.number == f.self.Incarnation.Number && f.spend(1) {
			f.send(s, 0, 0, nil)
		}
		return
	}
	m := f.find(e.name)
	if m == nil || !m.known || e.number != m.Incarnation.Number {
		return
	}
	if sign := f.now - e.age; sign > m.sign {
		m.sign = sign
	}
	again := f.accusedBy(m, s.Name)
	i := slices.IndexFunc(m.seen, func(x seen) bool { return x.from == s.Name })
	if i < 0 {
		m.seen = append(m.seen, seen{from: s.Name})
		i = len(m.seen) - 1
	}
	m.seen[i].level, m.seen[i].at, m.seen[i].sign = e.level, f.now, f.now-e.age
	switch {
	case e.level == 0 || f.view.isolated || f.stale || again && s.link != nil: // heartbeats say the rest
	case m.link != nil && (m.link.pings > 0 || f.now-m.heard < 2*f.t.Answer):
		if f.spend(0) {
			f.send(s, 0, 0, []evidence{f.own(m)})
		}
	case len(m.askers) < 8 && !slices.ContainsFunc(m.askers, func(a asker) bool { return a.name == s.Name }):
		m.askers = append(m.askers, asker{s.Name, f.now})
		if (m.link == nil || m.link.asked == 0) && f.spend(1) {
			if m.link != nil {
				m.link.asked, m.link.tried = f.now, f.now
			}
			f.send(m, flagAnswer, 0, nil)
		}
	}
}

// found tells those who asked whether a member has answered here.
func (f *Fleet) found(m *member) {
	for _, a := range m.askers {
		if o := f.find(a.name); o != nil && f.now-a.at < f.t.DeadAfter && f.spend(0) {
			f.send(o, 0, 0, []evidence{f.own(m)})
		}
	}
	m.askers = nil
}

// onDown takes in that nothing arrives on a way.
func (f *Fleet) onDown(w way, age time.Duration) {
	at := f.now - age
	i := slices.IndexFunc(f.downs, func(d downState) bool { return d.way == w })
	switch {
	case i < 0 && len(f.downs) < 64:
		f.downs = append(f.downs, downState{w, at, f.rumor()})
	case i >= 0 && at > f.downs[i].at+downFor/3:
		f.downs[i].at, f.downs[i].sends = at, f.rumor()
	}
}
