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

// Times of changing the voters.
const (
	turnInterval  = 800 * time.Millisecond  // between the first who proposes a change of the voters and the next
	resignTimeout = 1500 * time.Millisecond // of a replica that ends
	maxRoundGap   = 4 * roundEvery          // a process that made no round for so long has not listened meanwhile
)

// voterChangeState is the change of the voters that is wanted, and since when.
type voterChangeState struct {
	change        membership.Change
	wantedSince   time.Duration
	inProgress    bool          // it is proposed
	contactSince  time.Duration // since when a majority has been heard in each round; 0: not now
	lastRoundAt   time.Duration // when the last one ended
	allAliveSince time.Duration // since when all voters are there
}

var errVotersChanged = errors.New("the voters have changed meanwhile")

// voterOf is a replica as a voter.
func voterOf(h peerlink.Hello) state.Voter {
	return state.Voter{ID: h.ID, Name: h.Name, Zone: h.Zone, Inner: h.Inner}
}

// membershipView are the replicas as this one sees them. One that knows less than the
// version known, which was the newest here before it was asked, has not caught up.
// The mutex is held.
func (b *Replica) membershipView(known uint64) []membership.Member {
	now := b.now()
	all := []membership.Member{{Voter: voterOf(b.self), Eligible: b.self.Voter, CaughtUp: true, Leaving: b.leaving}}
	for _, links := range b.links {
		l := links[len(links)-1]
		h := b.lastReports[l.peer.ID]
		all = append(all, membership.Member{Voter: voterOf(l.peer), Eligible: l.peer.Voter, CaughtUp: h.report.Version >= known,
			Leaving: l.leaving, SilentFor: b.silentFor(h, now)})
	}
	for _, v := range b.contents.Record.Decided.Voters {
		if v.ID != b.self.ID && b.linkTo(v.ID) == nil {
			h := b.lastReports[v.ID]
			all = append(all, membership.Member{Voter: v, Leaving: h.left, SilentFor: b.silentFor(h, now)})
		}
	}
	return all
}

// silentFor is for how long a replica has been silent while this one heard a majority:
// whoever was cut off itself, or stood still, has no word on others.
func (b *Replica) silentFor(h lastReport, now time.Duration) time.Duration {
	return now - max(h.at, b.voterChange.contactSince)
}

// maintainVoters has the voters changed where they are to be; the mutex is held.
func (b *Replica) maintainVoters(known uint64) {
	now, j := b.now(), &b.voterChange
	voters := b.contents.Record.Decided.Voters
	touches := quorum.IsMajority(voters, func(id string) bool { return id == b.self.ID || now-b.lastReports[id].at < roundEvery })
	if !touches || now-j.lastRoundAt > maxRoundGap {
		j.contactSince = now
	}
	j.lastRoundAt = now
	members := b.membershipView(known)
	if !membership.AllAlive(voters, members) {
		j.allAliveSince = now
	}
	c, is := membership.NextChange(voters, members, now-j.allAliveSince)
	if !is || b.leaving || !touches {
		j.wantedSince = now
		return
	}
	if !isSameChange(c, j.change) {
		j.change, j.wantedSince = c, now
	}
	if j.inProgress || now-j.wantedSince < b.proposalTurn(voters)*turnInterval {
		return
	}
	j.inProgress = true
	b.runInBackground(func(ctx context.Context) {
		err := b.changeVoters(ctx, c)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.voterChange.inProgress = false
		if err == nil {
			b.log.Info("voters changed", "why", c.Reason, "added", c.Add, "removed", c.Remove)
		}
	})
}

func isSameChange(c, d membership.Change) bool {
	if c.Remove != d.Remove || (c.Add == nil) != (d.Add == nil) {
		return false
	}
	return c.Add == nil || *c.Add == *d.Add
}

// proposalTurn is this replica's place among the voters that are heard; the others' place
// comes after all voters'. The mutex is held.
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

// changeVoters has a change of the voters decided. Two never fall into one decision.
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

// resign has this replica, which ends, taken out of the voters where others are
// enough without it. Where they are not it stays one, and is back with its disk.
func (b *Replica) resign() {
	b.mu.Lock()
	c, is := membership.Resign(b.contents.Record.Decided.Voters, b.membershipView(b.contents.Record.Decided.Version), b.self.ID)
	b.mu.Unlock()
	if !is {
		return
	}
	ctx, cancel := b.withTimeout(b.ctx, resignTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := b.changeVoters(ctx, c)
		b.log.Info("resigned", "error", err)
		b.mu.Lock()
		reached := b.isMajorityReachable()
		b.mu.Unlock()
		if err == nil || errors.Is(err, errVotersChanged) || !reached || !b.sleep(ctx, yieldTime) {
			return
		}
	}
}
