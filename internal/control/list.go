package control

import (
	"slices"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// applyList takes over a list that this replica has read or another has told. One
// without servers says that the last one still holds. The mutex is held.
func (b *Replica) applyList(s *peerlink.Servers) {
	if s.Stamp <= b.listStamp {
		return
	}
	b.listStamp = s.Stamp
	if b.newestReading.update(s.Reading, b.now()); s.By != b.self.Name {
		b.othersReadingAt = b.newestReading.startedAt
	}
	if len(s.List) > 0 {
		s = b.withKnownDraining(s)
		if b.serverList == nil || s.Since(b.serverList) != nil {
			held := *s
			held.Term, held.Reading = peerlink.Term{}, peerlink.Reading{} // whoever is told it later knows newer ones
			b.serverList = &held
			b.sendListToFollowers()
		}
	}
	if s.By != b.self.Name {
		return
	}
	var duty *peerlink.Duty
	if b.duty.Holds() {
		d := b.duty.Greeting()
		duty = &d
	}
	for _, all := range b.links {
		all[len(all)-1].sendList(s, duty)
	}
}

// sendList tells another replica a reading, of which it may know the most.
func (l *link) sendList(s *peerlink.Servers, d *peerlink.Duty) {
	p := &peerlink.Servers{Stamp: s.Stamp, By: s.By, Part: true}
	reading := s.Reading
	if len(s.List) > 0 {
		if news := s.Since(l.sentList); news != nil {
			x := *news
			p = &x
		}
	}
	p.Term, p.Reading = s.Term, reading
	if whole := p.Onto(l.sentList); whole != nil {
		l.sentList = whole
	}
	l.sendChange(&peerlink.Change{Servers: p}, d)
}

// handlePeerList takes over what another replica tells of the list, but for one whose duty another has by now; the mutex is held.
func (b *Replica) handlePeerList(l *link, s *peerlink.Servers) {
	term, reading := s.Term, s.Reading
	if whole := s.Onto(l.receivedList); whole != nil {
		l.receivedList, s = whole, whole
	} else { // nothing of it was told before
		s = &peerlink.Servers{Stamp: s.Stamp, By: s.By}
	}
	s.Reading = reading
	if b.duty.AcceptsTerm(term) {
		b.applyList(s)
	}
}

// withKnownDraining keeps servers that were seen draining as such: no life comes back from it.
func (b *Replica) withKnownDraining(s *peerlink.Servers) *peerlink.Servers {
	x := *s
	x.List = slices.Clone(s.List)
	now := make(map[string]bool, len(b.drainedServers))
	for i := range x.List {
		s := &x.List[i]
		if s.Draining = s.Draining || b.drainedServers[s.ID]; s.Draining {
			now[s.ID] = true
		}
	}
	b.drainedServers = now
	return &x
}
