package control

import (
	"context"
	"time"

	"pepperfall.example/pepperfall/internal/config/listing"
	"pepperfall.example/pepperfall/internal/control/lease"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// The lease of the server list: its holder reads the list from the platform for all replicas.
const (
	listLeaseName       = "servers"
	listLeaseStartDelay = 300 * time.Millisecond // after the start, so that another replica can announce first that it holds the lease
	listCallTimeout     = time.Second            // of one call to the platform
	listRetryDelay      = 200 * time.Millisecond
)

// ownListReads is the state of this replica's own reads of the server list.
type ownListReads struct {
	taskTimes    lease.TaskTimes
	retryAt      time.Duration // no read before this time, after one that failed
	lastReadTook time.Duration // duration of the last successful read

	failureCount uint64 // since the start
	inProgress   bool   // a read is under way
}

// runListLease takes part in the lease of the server list and reads the list when it is this replica's turn, until ctx
// ends.
func (b *Replica) runListLease(ctx context.Context) {
	if !b.sleep(ctx, listLeaseStartDelay) {
		return
	}
	b.mu.Lock()
	b.ownListReads.taskTimes = lease.TaskTimes{LastOwn: -lease.MinUnclaimedInterval}
	b.mu.Unlock()
	for ctx.Err() == nil {
		b.mu.Lock()
		now, view := b.now(), b.leaseView()
		b.sendLeaseMessages(b.listLease.Step(view))
		next := min(b.listLease.NextStep(view), now+time.Second)
		if due := b.nextListReadAt(view); due > now {
			next = min(next, due)
		} else if reads := &b.ownListReads; !reads.inProgress {
			reads.inProgress, reads.taskTimes.LastOwn = true, now
			stamp := max(b.world.Now().UnixNano(), b.listStamp+1)
			b.jobs.Go(func() { b.readListOnce(ctx, stamp) })
		}
		b.mu.Unlock()
		timer := b.world.NewTimer(max(minWakeDelay, next-now))
		select {
		case <-timer.C():
		case <-b.listLeaseWakeup:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// nextListReadAt returns when this replica reads the list next, as far as it knows now; the mutex is held.
func (b *Replica) nextListReadAt(view lease.View) time.Duration {
	if b.liveSettings.Load().Provider.Cloud.Address == "" || b.leaving {
		return view.Now + time.Second
	}
	times := &b.ownListReads.taskTimes
	times.Period, times.LastKnown, times.LastByOther = max(listing.LeastPeriod, b.latestListRead.period), b.latestListRead.learnedAt, b.othersListReadAt
	return max(b.ownListReads.retryAt, b.listLease.NextRun(view, b.ownListReads.taskTimes))
}

// readListOnce reads the list from the platform and applies it under the given stamp, in nanoseconds.
func (b *Replica) readListOnce(ctx context.Context, stamp int64) {
	settings := b.liveSettings.Load()
	began := b.now()
	terms := listing.Terms{RatePerS: settings.Provider.Cloud.RatePerS, Drain: settings.Terms.Bounds.Drain}
	list, pages, err := b.readList(ctx, settings.Provider.Cloud.Address, terms)
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.signalLeaseChange()
	reads := &b.ownListReads
	if reads.inProgress = false; err != nil {
		b.log.V(1).Info("list not read", "why", err.Error(), "after", b.now()-began)
		reads.failureCount++
		reads.retryAt = b.now() + listRetryDelay
		if b.othersListReadAt > reads.taskTimes.LastOwn-reads.taskTimes.Period {
			b.sendLeaseMessages(b.listLease.Yield()) // another replica can read it
		}
		return
	}
	reads.retryAt = 0
	reads.lastReadTook = b.now() - began
	b.log.V(1).Info("list read", "pages", pages, "took", reads.lastReadTook)
	servers := &peerlink.Servers{Stamp: stamp, By: b.self.Name, List: list,
		Reading: peerlink.Reading{Age: reads.lastReadTook, Period: terms.Period(pages), Pages: pages}}
	if b.listLease.Holds() {
		servers.Term = b.listLease.Known().Term
		b.listLease.NoteAnnounced(b.now())
	}
	b.applyList(servers)
}

// leaseView returns what the lease has to know of this replica and the others; the mutex is held.
func (b *Replica) leaseView() lease.View {
	voters := b.contents.Record.Decided.Voters
	view := lease.View{Now: b.now(), UnixMS: uint64(max(0, b.world.Now().UnixMilli())), CanVote: b.isVoter(), VoterCount: len(voters)}
	noVoters := len(voters) == 0 // then every replica counts as having a vote
	if noVoters {
		view.CanVote, view.VoterCount = true, len(b.replicas)
	}
	for _, links := range b.links {
		if link := links[len(links)-1]; !link.leaving {
			_, isVoter := b.contents.Record.Decided.Voter(link.peer.ID)
			view.Peers = append(view.Peers, lease.Peer{Seat: link.processID(), Zone: link.peer.Zone, CanVote: noVoters || isVoter})
		}
	}
	return view
}

// processID identifies the replica process at the other end of the link.
func (l *link) processID() peerlink.Seat { return peerlink.Seat{Name: l.peer.Name, Life: l.peer.Life} }

// handleLeaseMessage processes another replica's message about the list lease; the mutex is held.
func (b *Replica) handleLeaseMessage(link *link, message *peerlink.Duty) {
	before := b.listLease.Known()
	b.sendLeaseMessages(b.listLease.Receive(b.leaseView(), link.processID(), *message))
	if after := b.listLease.Known(); after.Term != before.Term {
		b.log.Info("list lease changed", "holder", after.Holder.Name, "next", after.Next.Name, "epoch", after.Term.Epoch, "step", after.Term.Step)
	}
	b.signalLeaseChange()
}

// sendLeaseMessages sends messages about the list lease to the replicas they are for; the mutex is held.
func (b *Replica) sendLeaseMessages(messages []lease.Message) {
	for _, message := range messages {
		for name, links := range b.links {
			if message.To == "" || message.To == name {
				_ = links[len(links)-1].conn.Send(&peerlink.Frame{Duty: &message.Duty})
			}
		}
	}
}

// signalLeaseChange makes runListLease check the lease now; the mutex may be held.
func (b *Replica) signalLeaseChange() {
	select {
	case b.listLeaseWakeup <- struct{}{}:
	default:
	}
}
