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
	turnEvery    = 800 * time.Millisecond  // between the first who proposes a change of the voters and the next
	resignWithin = 1500 * time.Millisecond // of a replica that ends
	roundMissed  = 4 * roundEvery          // a process that made no round for so long has not listened meanwhile
)

// joining is the change of the voters that is wanted, and since when.
type joining struct {
	change  membership.Change
	since   time.Duration
	busy    bool          // it is proposed
	touched time.Duration // since when a majority has been heard in each round; 0: not now
	round   time.Duration // when the last one ended
	calm    time.Duration // since when all voters are there
}

var errVoters = errors.New("the voters have changed meanwhile")

// voterOf is a replica as a voter.
func voterOf(h peerlink.Hello) state.Voter {
	return state.Voter{ID: h.ID, Name: h.Name, Zone: h.Zone, Inner: h.Inner}
}

// members are the replicas as this one sees them. One that knows less than the
// version known, which was the newest here before it was asked, has not caught up.
// The mutex is held.
func (b *Replica) members(known uint64) []membership.Member {
	now := b.now()
	all := []membership.Member{{Voter: voterOf(b.self), Eligible: b.self.Voter, CaughtUp: true, Leaving: b.leaving}}
	for _, links := range b.links {
		l := links[len(links)-1]
		h := b.heardOf[l.peer.ID]
		all = append(all, membership.Member{Voter: voterOf(l.peer), Eligible: l.peer.Voter, CaughtUp: h.report.Version >= known,
			Leaving: l.leaving, SilentFor: b.silence(h, now)})
	}
	for _, v := range b.contents.Record.Decided.Voters {
		if v.ID != b.self.ID && b.linkTo(v.ID) == nil {
			h := b.heardOf[v.ID]
			all = append(all, membership.Member{Voter: v, Leaving: h.left, SilentFor: b.silence(h, now)})
		}
	}
	return all
}

// silence is for how long a replica has been silent while this one heard a majority:
// whoever was cut off itself, or stood still, has no word on others.
func (b *Replica) silence(h lastReport, now time.Duration) time.Duration {
	return now - max(h.at, b.joining.touched)
}

// tend has the voters changed where they are to be; the mutex is held.
func (b *Replica) tend(known uint64) {
	now, j := b.now(), &b.joining
	voters := b.contents.Record.Decided.Voters
	touches := quorum.IsMajority(voters, func(id string) bool { return id == b.self.ID || now-b.heardOf[id].at < roundEvery })
	if !touches || now-j.round > roundMissed {
		j.touched = now
	}
	j.round = now
	members := b.members(known)
	if !membership.AllAlive(voters, members) {
		j.calm = now
	}
	c, is := membership.NextChange(voters, members, now-j.calm)
	if !is || b.leaving || !touches {
		j.since = now
		return
	}
	if !same(c, j.change) {
		j.change, j.since = c, now
	}
	if j.busy || now-j.since < b.turn(voters)*turnEvery {
		return
	}
	j.busy = true
	b.background(func(ctx context.Context) {
		err := b.changeVoters(ctx, c)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.joining.busy = false
		if err == nil {
			b.log.Info("voters changed", "why", c.Reason, "added", c.Add, "removed", c.Remove)
		}
	})
}

func same(c, d membership.Change) bool {
	if c.Remove != d.Remove || (c.Add == nil) != (d.Add == nil) {
		return false
	}
	return c.Add == nil || *c.Add == *d.Add
}

// turn is this replica's place among the voters that are heard; the others' place
// comes after all voters'. The mutex is held.
func (b *Replica) turn(voters []state.Voter) time.Duration {
	place := 0
	for _, v := range slices.SortedFunc(slices.Values(voters), func(x, y state.Voter) int { return cmp.Compare(x.ID, y.ID) }) {
		if v.ID == b.self.ID {
			return time.Duration(place)
		}
		if b.reaches(v.ID) {
			place++
		}
	}
	return time.Duration(place)
}

// changeVoters has a change of the voters decided. Two never fall into one decision.
func (b *Replica) changeVoters(ctx context.Context, c membership.Change) error {
	base := b.decided().Voters
	return b.decide(ctx, nil, func(next *state.State) error {
		after, ok := c.Apply(next.Voters)
		if !ok || !slices.Equal(next.Voters, base) {
			return errVoters
		}
		*next = next.WithVoters(after)
		return nil
	})
}

// resign has this replica, which ends, taken out of the voters where others are
// enough without it. Where they are not it stays one, and is back with its disk.
func (b *Replica) resign() {
	b.mu.Lock()
	c, is := membership.Resign(b.contents.Record.Decided.Voters, b.members(b.contents.Record.Decided.Version), b.self.ID)
	b.mu.Unlock()
	if !is {
		return
	}
	ctx, cancel := b.within(b.ctx, resignWithin)
	defer cancel()
	for ctx.Err() == nil {
		err := b.changeVoters(ctx, c)
		b.log.Info("resigned", "error", err)
		b.mu.Lock()
		reached := b.reachesMajority()
		b.mu.Unlock()
		if err == nil || errors.Is(err, errVoters) || !reached || !b.pause(ctx, yieldFor) {
			return
		}
	}
}
