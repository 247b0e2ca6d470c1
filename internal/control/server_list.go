package control

import (
	"slices"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// applyList applies a server list that this replica has read or another replica has sent. A list without servers says that
// the previous one is still valid. The mutex is held.
func (b *Replica) applyList(servers *peerlink.Servers) {
	if servers.Stamp <= b.listStamp {
		return
	}
	b.listStamp = servers.Stamp
	if b.latestListRead.update(servers.Reading, b.now()); servers.By != b.self.Name {
		b.othersListReadAt = b.latestListRead.startedAt
	}
	if len(servers.List) > 0 {
		servers = b.withKnownDraining(servers)
		if b.serverList == nil || servers.Since(b.serverList) != nil {
			stored := *servers
			stored.Term, stored.Reading = peerlink.Term{}, peerlink.Reading{} // a replica or agent that is sent this list later gets the term and age of that time
			b.serverList = &stored
			b.sendListToFollowers()
		}
	}
	if servers.By != b.self.Name {
		return
	}
	var duty *peerlink.Duty
	if b.listLease.Holds() {
		greeting := b.listLease.Greeting()
		duty = &greeting
	}
	for _, links := range b.links {
		links[len(links)-1].sendList(servers, duty)
	}
}

// sendList sends another replica a list that was read, as a difference to what it was sent before.
func (l *link) sendList(servers *peerlink.Servers, duty *peerlink.Duty) {
	message := &peerlink.Servers{Stamp: servers.Stamp, By: servers.By, Part: true}
	reading := servers.Reading
	if len(servers.List) > 0 {
		if changes := servers.Since(l.sentList); changes != nil {
			part := *changes
			message = &part
		}
	}
	message.Term, message.Reading = servers.Term, reading
	if whole := message.Onto(l.sentList); whole != nil {
		l.sentList = whole
	}
	l.sendChange(&peerlink.Change{Servers: message}, duty)
}

// handlePeerList applies a list from another replica, unless the lease has since passed to a third one; the mutex is held.
func (b *Replica) handlePeerList(link *link, servers *peerlink.Servers) {
	term, reading := servers.Term, servers.Reading
	if whole := servers.Onto(link.receivedList); whole != nil {
		link.receivedList, servers = whole, whole
	} else { // the list that this part builds on wasn't received
		servers = &peerlink.Servers{Stamp: servers.Stamp, By: servers.By}
	}
	servers.Reading = reading
	if b.listLease.AcceptsTerm(term) {
		b.applyList(servers)
	}
}

// withKnownDraining marks servers that were seen draining before as draining: an instance never stops draining.
func (b *Replica) withKnownDraining(servers *peerlink.Servers) *peerlink.Servers {
	marked := *servers
	marked.List = slices.Clone(servers.List)
	draining := make(map[string]bool, len(b.drainedServers))
	for i := range marked.List {
		server := &marked.List[i]
		if server.Draining = server.Draining || b.drainedServers[server.ID]; server.Draining {
			draining[server.ID] = true
		}
	}
	b.drainedServers = draining
	return &marked
}
