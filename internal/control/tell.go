package control

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of telling the census.
const (
	lookEvery   = 200 * time.Millisecond // at who has fallen silent
	stirEvery   = 50 * time.Millisecond  // at most one telling
	manyEvery   = 500 * time.Millisecond // and among many proxies
	diesEvery   = 100 * time.Millisecond // and then where one has fallen silent
	manyProxies = 16                     // more are many
)

// lead takes over whether an agent wants servers and census from this replica: at
// first it is told wholes. The mutex is held.
func (b *Replica) upstream(h *agent, wants bool) {
	if h.upstream == wants {
		return
	}
	h.upstream, h.list, h.census, h.verdicts = wants, nil, nil, nil
	if !wants {
		return
	}
	b.recount()
	h.list, h.census, h.verdicts = b.held(), b.census, b.healthJudge.joined
	h.change(&peerlink.Change{Servers: h.list, Census: h.census, Verdicts: h.verdicts})
}

// held is the list as of the newest reading, which may have told nothing new;
// the mutex is held.
func (b *Replica) held() *peerlink.Servers {
	if b.serverList != nil && b.listStamp > b.serverList.Stamp {
		b.serverList = (&peerlink.Servers{Stamp: b.listStamp, By: b.serverList.By, Part: true}).Onto(b.serverList)
	}
	return b.serverList
}

// aged is the list as another replica is told it, with its age; the mutex is held.
func (b *Replica) aged(list *peerlink.Servers) *peerlink.Servers {
	reading := b.newestReading.tell(b.now())
	if list == nil || reading == nil {
		return list
	}
	told := *list
	told.Reading = *reading
	return &told
}

// tellList tells the agents that are led what is new in the list; the mutex is held.
func (b *Replica) tellList() {
	type step struct{ part, whole *peerlink.Servers }
	steps := map[*peerlink.Servers]step{}
	var wholes []*peerlink.Servers
	for h := range b.agents {
		if !h.upstream {
			continue
		}
		s, ok := steps[h.list]
		if !ok {
			if s.part = b.serverList.Since(h.list); s.part != nil {
				s.whole = shared(&wholes, s.part.Onto(h.list))
			}
			steps[h.list] = s
		}
		if s.part != nil {
			h.list = s.whole
			h.change(&peerlink.Change{Servers: s.part})
		}
	}
}

// shared is a whole that tells the same, if there is one already: agents that
// were led at different times come to share what they were told.
func shared(all *[]*peerlink.Servers, s *peerlink.Servers) *peerlink.Servers {
	for _, x := range *all {
		if x.Stamp == s.Stamp && slices.Equal(x.List, s.List) {
			return x
		}
	}
	*all = append(*all, s)
	return s
}

// tellCensus tells the agents that are led what is new in the census; the mutex is held.
func (b *Replica) tellCensus() {
	parts := map[*peerlink.Census]*peerlink.Census{}
	for h := range b.agents {
		if !h.upstream || h.census == b.census {
			continue
		}
		p, ok := parts[h.census]
		if !ok {
			p = b.census.Since(h.census)
			parts[h.census] = p
		}
		if h.census = b.census; p != nil {
			h.change(&peerlink.Change{Census: p})
		}
	}
	b.sentCensus, b.censusSentAt = b.census, b.now()
}

// recount takes the census anew and tells whether it has changed; the mutex is held.
func (b *Replica) recount() bool {
	replicas := sortedByName(b.replicas)
	proxies, shares, same := b.proxies.members(b.now())
	if c := b.census; c != nil && same && shares == c.Shares && slices.Equal(replicas, c.Replicas) {
		return false
	}
	b.census = &peerlink.Census{Replicas: replicas, Proxies: proxies, Shares: shares}
	return true
}

// owed is for how long the telling of a changed census may wait; the mutex is held.
func (b *Replica) owed() time.Duration {
	every := stirEvery
	if len(b.census.Proxies) > manyProxies {
		if every = manyEvery; dies(b.sentCensus, b.census) {
			every = diesEvery
		}
	}
	return max(0, b.censusSentAt+every-b.now())
}

// dies tells whether a proxy was told to be alive, or ready, and is not.
func dies(old, now *peerlink.Census) bool {
	if old == nil {
		return false
	}
	for _, g := range now.Proxies {
		i, known := slices.BinarySearchFunc(old.Proxies, g.Hello.Name, func(m peerlink.Member, name string) int { return cmp.Compare(m.Hello.Name, name) })
		if known && (old.Proxies[i].Alive && !g.Alive || old.Proxies[i].Ready && !g.Ready) {
			return true
		}
	}
	return false
}
