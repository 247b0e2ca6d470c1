package control

import (
	"context"
	"time"

	"pepperfall.example/pepperfall/internal/config/listing"
	"pepperfall.example/pepperfall/internal/control/lease"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of the list's duty.
const (
	listLeaseName       = "servers"
	listLeaseStartDelay = 300 * time.Millisecond // from the start: others may have the duty
	listCallTimeout     = time.Second            // of one call
	listRetryDelay      = 200 * time.Millisecond
)

// ownListReads is this replica's part in the reading of the list.
type ownListReads struct {
	work         lease.TaskTimes
	retryAt      time.Duration // when one that failed may be repeated
	lastReadTook time.Duration // by the last one that did not fail

	failureCount uint64 // in all
	inProgress   bool   // one is under way
}

// runListLease does this replica's part in what one replica does for all.
func (b *Replica) runListLease(ctx context.Context) {
	if !b.sleep(ctx, listLeaseStartDelay) {
		return
	}
	b.mu.Lock()
	b.ownReading.work = lease.TaskTimes{LastOwn: -lease.MinUnclaimedInterval}
	b.mu.Unlock()
	for ctx.Err() == nil {
		b.mu.Lock()
		now, v := b.now(), b.leaseView()
		b.sendLeaseMessages(b.duty.Step(v))
		next := min(b.duty.NextStep(v), now+time.Second)
		if due := b.nextListReadAt(v); due > now {
			next = min(next, due)
		} else if r := &b.ownReading; !r.inProgress {
			r.inProgress, r.work.LastOwn = true, now
			stamp := max(b.world.Now().UnixNano(), b.listStamp+1)
			b.jobs.Go(func() { b.readListOnce(ctx, stamp) })
		}
		b.mu.Unlock()
		t := b.world.NewTimer(max(minWakeDelay, next-now))
		select {
		case <-t.C():
		case <-b.dutyWakeup:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// nextListReadAt is when this replica reads the list; the mutex is held.
func (b *Replica) nextListReadAt(v lease.View) time.Duration {
	if b.liveSettings.Load().Provider.Cloud.Address == "" || b.leaving {
		return v.Now + time.Second
	}
	w := &b.ownReading.work
	w.Period, w.LastKnown, w.LastByOther = max(listing.LeastPeriod, b.newestReading.period), b.newestReading.learnedAt, b.othersReadingAt
	return max(b.ownReading.retryAt, b.duty.NextRun(v, b.ownReading.work))
}

// readListOnce reads the list and takes it over.
func (b *Replica) readListOnce(ctx context.Context, stamp int64) {
	set := b.liveSettings.Load()
	began := b.now()
	terms := listing.Terms{RatePerS: set.Provider.Cloud.RatePerS, Drain: set.Terms.Bounds.Drain}
	list, pages, err := b.readList(ctx, set.Provider.Cloud.Address, terms)
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.signalLeaseChange()
	r := &b.ownReading
	if r.inProgress = false; err != nil {
		b.log.V(1).Info("list not read", "why", err.Error(), "after", b.now()-began)
		r.failureCount++
		r.retryAt = b.now() + listRetryDelay
		if b.othersReadingAt > r.work.LastOwn-r.work.Period {
			b.sendLeaseMessages(b.duty.Yield()) // another can
		}
		return
	}
	r.retryAt = 0
	r.lastReadTook = b.now() - began
	b.log.V(1).Info("list read", "pages", pages, "took", r.lastReadTook)
	s := &peerlink.Servers{Stamp: stamp, By: b.self.Name, List: list,
		Reading: peerlink.Reading{Age: r.lastReadTook, Period: terms.Period(pages), Pages: pages}}
	if b.duty.Holds() {
		s.Term = b.duty.Known().Term
		b.duty.NoteAnnounced(b.now())
	}
	b.applyList(s)
}

// leaseView is what this replica knows of the others; the mutex is held.
func (b *Replica) leaseView() lease.View {
	voters := b.contents.Record.Decided.Voters
	v := lease.View{Now: b.now(), UnixMS: uint64(max(0, b.world.Now().UnixMilli())), CanVote: b.isVoter(), VoterCount: len(voters)}
	none := len(voters) == 0 // then all count
	if none {
		v.CanVote, v.VoterCount = true, len(b.replicas)
	}
	for _, all := range b.links {
		if l := all[len(all)-1]; !l.leaving {
			_, is := b.contents.Record.Decided.Voter(l.peer.ID)
			v.Peers = append(v.Peers, lease.Peer{Seat: l.processID(), Zone: l.peer.Zone, CanVote: none || is})
		}
	}
	return v
}

func (l *link) processID() peerlink.Seat { return peerlink.Seat{Name: l.peer.Name, Life: l.peer.Life} }

// handleLeaseMessage takes in another replica's word on the duty; the mutex is held.
func (b *Replica) handleLeaseMessage(l *link, d *peerlink.Duty) {
	was := b.duty.Known()
	b.sendLeaseMessages(b.duty.Receive(b.leaseView(), l.processID(), *d))
	if is := b.duty.Known(); is.Term != was.Term {
		b.log.Info("the list's duty", "holder", is.Holder.Name, "next", is.Next.Name, "epoch", is.Term.Epoch, "step", is.Term.Step)
	}
	b.signalLeaseChange()
}

// sendLeaseMessages tells the others what is to be told; the mutex is held.
func (b *Replica) sendLeaseMessages(out []lease.Message) {
	for _, t := range out {
		for name, all := range b.links {
			if t.To == "" || t.To == name {
				_ = all[len(all)-1].conn.Send(&peerlink.Frame{Duty: &t.Duty})
			}
		}
	}
}

// signalLeaseChange has the duty looked at now; the mutex may be held.
func (b *Replica) signalLeaseChange() {
	select {
	case b.dutyWakeup <- struct{}{}:
	default:
	}
}
