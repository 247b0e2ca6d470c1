package control

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of telling the census.
const (
	censusCheckInterval           = 200 * time.Millisecond // at who has fallen silent
	minCensusInterval             = 50 * time.Millisecond  // at most one telling
	minLargeCensusInterval        = 500 * time.Millisecond // and among many proxies
	minLargeCensusFailureInterval = 100 * time.Millisecond // and then where one has fallen silent
	maxSmallCensusProxies         = 16                     // more are many
)

// lead takes over whether an agent wants servers and census from this replica: at
// first it is told wholes. The mutex is held.
func (b *Replica) setFollowing(h *agentConn, wants bool) {
	if h.follows == wants {
		return
	}
	h.follows, h.sentServers, h.sentCensus, h.sentVerdicts = wants, nil, nil, nil
	if !wants {
		return
	}
	b.updateCensus()
	h.sentServers, h.sentCensus, h.sentVerdicts = b.currentList(), b.census, b.healthJudge.mergedVerdicts
	h.sendChange(&peerlink.Change{Servers: h.sentServers, Census: h.sentCensus, Verdicts: h.sentVerdicts})
}

// currentList is the list as of the newest reading, which may have told nothing new;
// the mutex is held.
func (b *Replica) currentList() *peerlink.Servers {
	if b.serverList != nil && b.listStamp > b.serverList.Stamp {
		b.serverList = (&peerlink.Servers{Stamp: b.listStamp, By: b.serverList.By, Part: true}).Onto(b.serverList)
	}
	return b.serverList
}

// listWithAge is the list as another replica is told it, with its age; the mutex is held.
func (b *Replica) listWithAge(list *peerlink.Servers) *peerlink.Servers {
	reading := b.newestReading.message(b.now())
	if list == nil || reading == nil {
		return list
	}
	told := *list
	told.Reading = *reading
	return &told
}

// sendListToFollowers tells the agents that are led what is new in the list; the mutex is held.
func (b *Replica) sendListToFollowers() {
	type step struct{ part, whole *peerlink.Servers }
	steps := map[*peerlink.Servers]step{}
	var wholes []*peerlink.Servers
	for h := range b.agents {
		if !h.follows {
			continue
		}
		s, ok := steps[h.sentServers]
		if !ok {
			if s.part = b.serverList.Since(h.sentServers); s.part != nil {
				s.whole = shareEqualList(&wholes, s.part.Onto(h.sentServers))
			}
			steps[h.sentServers] = s
		}
		if s.part != nil {
			h.sentServers = s.whole
			h.sendChange(&peerlink.Change{Servers: s.part})
		}
	}
}

// shareEqualList is a whole that tells the same, if there is one already: agents that
// were led at different times come to share what they were told.
func shareEqualList(all *[]*peerlink.Servers, s *peerlink.Servers) *peerlink.Servers {
	for _, x := range *all {
		if x.Stamp == s.Stamp && slices.Equal(x.List, s.List) {
			return x
		}
	}
	*all = append(*all, s)
	return s
}

// sendCensusToFollowers tells the agents that are led what is new in the census; the mutex is held.
func (b *Replica) sendCensusToFollowers() {
	parts := map[*peerlink.Census]*peerlink.Census{}
	for h := range b.agents {
		if !h.follows || h.sentCensus == b.census {
			continue
		}
		p, ok := parts[h.sentCensus]
		if !ok {
			p = b.census.Since(h.sentCensus)
			parts[h.sentCensus] = p
		}
		if h.sentCensus = b.census; p != nil {
			h.sendChange(&peerlink.Change{Census: p})
		}
	}
	b.sentCensus, b.censusSentAt = b.census, b.now()
}

// updateCensus takes the census anew and tells whether it has changed; the mutex is held.
func (b *Replica) updateCensus() bool {
	replicas := sortedByName(b.replicas)
	proxies, shares, same := b.proxies.members(b.now())
	if c := b.census; c != nil && same && shares == c.Shares && slices.Equal(replicas, c.Replicas) {
		return false
	}
	b.census = &peerlink.Census{Replicas: replicas, Proxies: proxies, Shares: shares}
	return true
}

// censusDelay is for how long the telling of a changed census may wait; the mutex is held.
func (b *Replica) censusDelay() time.Duration {
	every := minCensusInterval
	if len(b.census.Proxies) > maxSmallCensusProxies {
		if every = minLargeCensusInterval; isAnyProxyNewlyDown(b.sentCensus, b.census) {
			every = minLargeCensusFailureInterval
		}
	}
	return max(0, b.censusSentAt+every-b.now())
}

// isAnyProxyNewlyDown tells whether a proxy was told to be alive, or ready, and is not.
func isAnyProxyNewlyDown(old, now *peerlink.Census) bool {
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
