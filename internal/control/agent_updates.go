package control

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of sending the census to agents.
const (
	lookEvery   = 200 * time.Millisecond // between checks for proxies that have fallen silent
	stirEvery   = 50 * time.Millisecond  // between two sends
	manyEvery   = 500 * time.Millisecond // between two sends if there are many proxies
	diesEvery   = 100 * time.Millisecond // the same, if a proxy has gone down
	manyProxies = 16                     // above this, there are many proxies
)

// setFollowing records whether an agent wants the server list and the census from this replica. An agent that begins to
// follow is sent both whole, and then changes. The mutex is held.
func (b *Replica) upstream(agent *agent, wants bool) {
	if agent.upstream == wants {
		return
	}
	agent.upstream, agent.list, agent.census, agent.verdicts = wants, nil, nil, nil
	if !wants {
		return
	}
	b.recount()
	agent.list, agent.census, agent.verdicts = b.held(), b.census, b.healthJudge.joined
	agent.change(&peerlink.Change{Servers: agent.list, Census: agent.census, Verdicts: agent.verdicts})
}

// currentList returns the list with the stamp of the newest read, which may have found no changes; the mutex is held.
func (b *Replica) held() *peerlink.Servers {
	if b.serverList != nil && b.listStamp > b.serverList.Stamp {
		b.serverList = (&peerlink.Servers{Stamp: b.listStamp, By: b.serverList.By, Part: true}).Onto(b.serverList)
	}
	return b.serverList
}

// listWithAge returns the list with its age, as it is sent to another replica; the mutex is held.
func (b *Replica) aged(list *peerlink.Servers) *peerlink.Servers {
	reading := b.newestReading.tell(b.now())
	if list == nil || reading == nil {
		return list
	}
	aged := *list
	aged.Reading = *reading
	return &aged
}

// sendListToFollowers sends the changes of the list to the agents that follow this replica; the mutex is held.
func (b *Replica) tellList() {
	type update struct{ part, whole *peerlink.Servers }
	updates := map[*peerlink.Servers]update{}
	var lists []*peerlink.Servers
	for agent := range b.agents {
		if !agent.upstream {
			continue
		}
		next, ok := updates[agent.list]
		if !ok {
			if next.part = b.serverList.Since(agent.list); next.part != nil {
				next.whole = shared(&lists, next.part.Onto(agent.list))
			}
			updates[agent.list] = next
		}
		if next.part != nil {
			agent.list = next.whole
			agent.change(&peerlink.Change{Servers: next.part})
		}
	}
}

// shareEqualList returns the list in lists that equals list, or else adds list: agents that began to follow at different
// times then share one copy of what they were sent.
func shared(lists *[]*peerlink.Servers, list *peerlink.Servers) *peerlink.Servers {
	for _, other := range *lists {
		if other.Stamp == list.Stamp && slices.Equal(other.List, list.List) {
			return other
		}
	}
	*lists = append(*lists, list)
	return list
}

// sendCensusToFollowers sends the changes of the census to the agents that follow this replica; the mutex is held.
func (b *Replica) tellCensus() {
	changes := map[*peerlink.Census]*peerlink.Census{}
	for agent := range b.agents {
		if !agent.upstream || agent.census == b.census {
			continue
		}
		change, ok := changes[agent.census]
		if !ok {
			change = b.census.Since(agent.census)
			changes[agent.census] = change
		}
		if agent.census = b.census; change != nil {
			agent.change(&peerlink.Change{Census: change})
		}
	}
	b.sentCensus, b.censusSentAt = b.census, b.now()
}

// updateCensus takes the census again and reports whether it has changed; the mutex is held.
func (b *Replica) recount() bool {
	replicas := sortedByName(b.replicas)
	proxies, shares, same := b.proxies.members(b.now())
	if census := b.census; census != nil && same && shares == census.Shares && slices.Equal(replicas, census.Replicas) {
		return false
	}
	b.census = &peerlink.Census{Replicas: replicas, Proxies: proxies, Shares: shares}
	return true
}

// censusDelay returns how long sending the changed census has to wait; the mutex is held.
func (b *Replica) owed() time.Duration {
	interval := stirEvery
	if len(b.census.Proxies) > manyProxies {
		if interval = manyEvery; dies(b.sentCensus, b.census) {
			interval = diesEvery
		}
	}
	return max(0, b.censusSentAt+interval-b.now())
}

// isAnyProxyNewlyDown reports whether a proxy was alive or ready in the old census and no longer is.
func dies(old, current *peerlink.Census) bool {
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
