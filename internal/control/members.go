package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/membership"
	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Intervals and timeouts of changes of the voters.
const (
	turnInterval  = 800 * time.Millisecond  // between the replicas' turns to propose a change of the voters
	resignTimeout = 1500 * time.Millisecond // for a replica that shuts down
	maxRoundGap   = 4 * reportRoundInterval // a process without a round for so long may have missed reports meanwhile
)

// voterChangeState is the wanted change of the voters and what decides when it is proposed.
type voterChangeState struct {
	change        membership.Change
	wantedSince   time.Duration
	inProgress    bool          // a proposal of a change is running
	contactSince  time.Duration // a majority has reported in each round since; the current time while none does
	lastRoundAt   time.Duration // when the last round ended
	allAliveSince time.Duration // all voters have been alive since
}

var errVotersChanged = errors.New("the set of voters has changed meanwhile")

// voterOf returns the voter that a replica is or would be.
func voterOf(h peerlink.Hello) state.Voter {
	return state.Voter{ID: h.ID, Name: h.Name, Zone: h.Zone, Inner: h.Inner}
}

// membershipView returns the replicas as this one sees them. A replica counts as caught up if it has reported at least
// the version known, which was the newest here before it was asked. The caller holds the mutex.
func (b *Replica) membershipView(known uint64) []membership.Member {
	now := b.now()
	all := []membership.Member{{Voter: voterOf(b.self), Eligible: b.self.Voter, CaughtUp: true, Leaving: b.leaving}}
	for _, links := range b.links {
		l := links[len(links)-1]
		last := b.lastReports[l.peer.ID]
		all = append(all, membership.Member{Voter: voterOf(l.peer), Eligible: l.peer.Voter, CaughtUp: last.report.Version >= known,
			Leaving: l.leaving, SilentFor: b.silentFor(last, now)})
	}
	for _, v := range b.contents.Record.Decided.Voters {
		if v.ID != b.self.ID && b.linkTo(v.ID) == nil {
			last := b.lastReports[v.ID]
			all = append(all, membership.Member{Voter: v, Leaving: last.hasLeft, SilentFor: b.silentFor(last, now)})
		}
	}
	return all
}

// silentFor returns for how long a replica has not reported while a majority did. Time in which this replica was itself
// cut off or suspended does not count, since it can't judge others then.
func (b *Replica) silentFor(last lastReport, now time.Duration) time.Duration {
	return now - max(last.receivedAt, b.voterChange.contactSince)
}

// maintainVoters proposes a change of the voters where one is due. It is called after each round. The caller holds the
// mutex.
func (b *Replica) maintainVoters(known uint64) {
	now, wanted := b.now(), &b.voterChange
	voters := b.contents.Record.Decided.Voters
	inContact := quorum.IsMajority(voters, func(id string) bool { return id == b.self.ID || now-b.lastReports[id].receivedAt < reportRoundInterval })
	if !inContact || now-wanted.lastRoundAt > maxRoundGap {
		wanted.contactSince = now
	}
	wanted.lastRoundAt = now
	members := b.membershipView(known)
	if !membership.AllAlive(voters, members) {
		wanted.allAliveSince = now
	}
	next, due := membership.NextChange(voters, members, now-wanted.allAliveSince)
	if !due || b.leaving || !inContact {
		wanted.wantedSince = now
		return
	}
	if !isSameChange(next, wanted.change) {
		wanted.change, wanted.wantedSince = next, now
	}
	if wanted.inProgress || now-wanted.wantedSince < b.proposalTurn(voters)*turnInterval {
		return
	}
	wanted.inProgress = true
	b.runInBackground(func(ctx context.Context) {
		err := b.changeVoters(ctx, next)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.voterChange.inProgress = false
		if err == nil {
			b.log.Info("voters changed", "why", next.Reason, "added", next.Add, "removed", next.Remove)
		}
	})
}

// isSameChange reports whether two changes add and remove the same voters, whatever their reasons.
func isSameChange(c, d membership.Change) bool {
	if c.Remove != d.Remove || (c.Add == nil) != (d.Add == nil) {
		return false
	}
	return c.Add == nil || *c.Add == *d.Add
}

// proposalTurn returns this replica's place in the order in which replicas propose a change of the voters: the
// reachable voters by ID, and then all others. The caller holds the mutex.
func (b *Replica) proposalTurn(voters []state.Voter) time.Duration {
	place := 0
	for _, v := range slices.SortedFunc(slices.Values(voters), func(x, y state.Voter) int { return cmp.Compare(x.ID, y.ID) }) {
		if v.ID == b.self.ID {
			return time.Duration(place)
		}
		if b.isReachable(v.ID) {
			place++
		}
	}
	return time.Duration(place)
}

// changeVoters proposes a change of the voters and waits for the decision. It returns errVotersChanged if the voters
// are not those that the caller knew, so that one decision never contains two changes.
func (b *Replica) changeVoters(ctx context.Context, c membership.Change) error {
	base := b.decidedState().Voters
	return b.decide(ctx, nil, func(next *state.State) error {
		after, ok := c.Apply(next.Voters)
		if !ok || !slices.Equal(next.Voters, base) {
			return errVotersChanged
		}
		*next = next.WithVoters(after)
		return nil
	})
}

// resign removes this replica, which is shutting down, from the voters if enough others remain. Otherwise it stays a
// voter, which counts again once it is back with its disk.
func (b *Replica) resign() {
	b.mu.Lock()
	change, possible := membership.Resign(b.contents.Record.Decided.Voters, b.membershipView(b.contents.Record.Decided.Version), b.self.ID)
	b.mu.Unlock()
	if !possible {
		return
	}
	ctx, cancel := b.withTimeout(b.ctx, resignTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := b.changeVoters(ctx, change)
		b.log.Info("resigned", "error", err)
		b.mu.Lock()
		reachable := b.isMajorityReachable()
		b.mu.Unlock()
		if err == nil || errors.Is(err, errVotersChanged) || !reachable || !b.sleep(ctx, yieldTime) {
			return
		}
	}
}
