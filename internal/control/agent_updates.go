package control

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of sending the census to agents.
const (
	censusCheckInterval           = 200 * time.Millisecond // between checks for proxies that have fallen silent
	minCensusInterval             = 50 * time.Millisecond  // between two sends
	minLargeCensusInterval        = 500 * time.Millisecond // between two sends if there are many proxies
	minLargeCensusFailureInterval = 100 * time.Millisecond // the same, if a proxy has gone down
	maxSmallCensusProxies         = 16                     // above this, there are many proxies
)

// setFollowing records whether an agent wants the server list and the census from this replica. An agent that begins to
// follow is sent both whole, and then changes. The mutex is held.
func (b *Replica) setFollowing(agent *agentConn, wants bool) {
	if agent.follows == wants {
		return
	}
	agent.follows, agent.sentList, agent.sentCensus, agent.sentVerdicts = wants, nil, nil, nil
	if !wants {
		return
	}
	b.updateCensus()
	agent.sentList, agent.sentCensus, agent.sentVerdicts = b.currentList(), b.census, b.healthJudge.mergedVerdicts
	agent.sendChange(&peerlink.Change{Servers: agent.sentList, Census: agent.sentCensus, Verdicts: agent.sentVerdicts})
}

// currentList returns the list with the stamp of the newest read, which may have found no changes; the mutex is held.
func (b *Replica) currentList() *peerlink.Servers {
	if b.serverList != nil && b.listStamp > b.serverList.Stamp {
		b.serverList = (&peerlink.Servers{Stamp: b.listStamp, By: b.serverList.By, Part: true}).Onto(b.serverList)
	}
	return b.serverList
}

// listWithAge returns the list with its age, as it is sent to another replica; the mutex is held.
func (b *Replica) listWithAge(list *peerlink.Servers) *peerlink.Servers {
	reading := b.latestListRead.message(b.now())
	if list == nil || reading == nil {
		return list
	}
	aged := *list
	aged.Reading = *reading
	return &aged
}

// sendListToFollowers sends the changes of the list to the agents that follow this replica; the mutex is held.
func (b *Replica) sendListToFollowers() {
	type update struct{ part, whole *peerlink.Servers }
	updates := map[*peerlink.Servers]update{}
	var lists []*peerlink.Servers
	for agent := range b.agents {
		if !agent.follows {
			continue
		}
		next, ok := updates[agent.sentList]
		if !ok {
			if next.part = b.serverList.Since(agent.sentList); next.part != nil {
				next.whole = shareEqualList(&lists, next.part.Onto(agent.sentList))
			}
			updates[agent.sentList] = next
		}
		if next.part != nil {
			agent.sentList = next.whole
			agent.sendChange(&peerlink.Change{Servers: next.part})
		}
	}
}

// shareEqualList returns the list in lists that equals list, or else adds list: agents that began to follow at different
// times then share one copy of what they were sent.
func shareEqualList(lists *[]*peerlink.Servers, list *peerlink.Servers) *peerlink.Servers {
	for _, other := range *lists {
		if other.Stamp == list.Stamp && slices.Equal(other.List, list.List) {
			return other
		}
	}
	*lists = append(*lists, list)
	return list
}

// sendCensusToFollowers sends the changes of the census to the agents that follow this replica; the mutex is held.
func (b *Replica) sendCensusToFollowers() {
	changes := map[*peerlink.Census]*peerlink.Census{}
	for agent := range b.agents {
		if !agent.follows || agent.sentCensus == b.census {
			continue
		}
		change, ok := changes[agent.sentCensus]
		if !ok {
			change = b.census.Since(agent.sentCensus)
			changes[agent.sentCensus] = change
		}
		if agent.sentCensus = b.census; change != nil {
			agent.sendChange(&peerlink.Change{Census: change})
		}
	}
	b.sentCensus, b.censusSentAt = b.census, b.now()
}

// updateCensus takes the census again and reports whether it has changed; the mutex is held.
func (b *Replica) updateCensus() bool {
	replicas := sortedByName(b.replicas)
	proxies, shares, same := b.proxies.members(b.now())
	if census := b.census; census != nil && same && shares == census.Shares && slices.Equal(replicas, census.Replicas) {
		return false
	}
	b.census = &peerlink.Census{Replicas: replicas, Proxies: proxies, Shares: shares}
	return true
}

// censusDelay returns how long sending the changed census has to wait; the mutex is held.
func (b *Replica) censusDelay() time.Duration {
	interval := minCensusInterval
	if len(b.census.Proxies) > maxSmallCensusProxies {
		if interval = minLargeCensusInterval; isAnyProxyNewlyDown(b.sentCensus, b.census) {
			interval = minLargeCensusFailureInterval
		}
	}
	return max(0, b.censusSentAt+interval-b.now())
}

// isAnyProxyNewlyDown reports whether a proxy was alive or ready in the old census and no longer is.
func isAnyProxyNewlyDown(old, current *peerlink.Census) bool {
	if old == nil {
		return false
	}
	for _, proxy := range current.Proxies {
		i, known := slices.BinarySearchFunc(old.Proxies, proxy.Hello.Name, func(member peerlink.Member, name string) int { return cmp.Compare(member.Hello.Name, name) })
		if known && (old.Proxies[i].Alive && !proxy.Alive || old.Proxies[i].Ready && !proxy.Ready) {
			return true
		}
	}
	return false
}
