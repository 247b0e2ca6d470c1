// Package membership decides which replicas are to be the voters of the next state, without I/O. A replica joins as a
// learner and becomes a voter once it holds everything that is decided. A voter that leaves in order or is gone for
// good is replaced by a learner that has caught up. One decision adds at most one voter and removes at most one.
package membership

import (
	"cmp"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/control/state"
)

// Bounds of the set of voters, and timeouts for changing it.
const (
	MaxVoters        = 9                       // more make decisions slower and bear no more losses than they need to
	MinVoters        = 3                       // a set of so many is not made smaller: two bear the loss of none
	AliveTimeout     = 900 * time.Millisecond  // whoever was heard since is there
	StableBeforeJoin = time.Second             // all voters have been there for so long before one more joins: else it may replace one
	ReplaceAfter     = 2500 * time.Millisecond // of silence, where one that has caught up waits to be a voter
	RemoveAfter      = 8 * time.Second         // of silence, where none waits
)

// Member is a replica as another replica sees it.
type Member struct {
	state.Voter
	Eligible  bool          // its disk may count
	CaughtUp  bool          // it knows the newest decided state
	Leaving   bool          // it has said that it ends
	SilentFor time.Duration // since it was heard last
}

func (m Member) isAlive() bool { return m.SilentFor < AliveTimeout }

// Change is a change of the voters for the next state.
type Change struct {
	Add    *state.Voter // nil: nobody is added
	Remove string       // the ID of the one that goes; empty: nobody does
	Reason string
}

// Apply returns the voters after the change. ok is false if the change no longer fits the given voters.
func (c Change) Apply(voters []state.Voter) (after []state.Voter, ok bool) {
	has := func(id string) bool {
		return slices.ContainsFunc(voters, func(v state.Voter) bool { return v.ID == id })
	}
	if c.Remove != "" && !has(c.Remove) || c.Add != nil && has(c.Add.ID) {
		return nil, false
	}
	for _, v := range voters {
		if v.ID != c.Remove {
			after = append(after, v)
		}
	}
	if c.Add != nil {
		after = append(after, *c.Add)
	}
	return after, len(after) > 0
}

// NextChange is the change that a replica with this view proposes; ok is false where
// there is none. Members are all replicas that were heard, the one that asks
// included, and voters that were not, with the time since then. Calm is for how long
// all voters have been alive.
func NextChange(voters []state.Voter, members []Member, calm time.Duration) (c Change, ok bool) {
	seen := map[string]Member{}
	for _, m := range members {
		byID[m.ID] = m
	}
	candidates := findCandidates(voters, members)
	if c, ok := replaceSameMachine(voters, candidates); ok {
		return c, true
	}
	gone, isGone := longestAbsent(voters, seen)
	if len(candidates) > 0 && isGone && (gone.Leaving || gone.SilentFor >= ReplaceAfter) {
		return Change{Add: &candidates[0], Remove: gone.ID, Reason: "replaces " + gone.ID}, true
	}
	if len(candidates) > 0 && !isGone && len(voters) < MaxVoters && calm >= StableBeforeJoin {
		return Change{Add: &candidates[0], Reason: "has caught up"}, true
	}
	if isGone && len(voters) > MinVoters && (gone.Leaving || gone.SilentFor >= RemoveAfter) {
		return Change{Remove: gone.ID, Reason: "has gone"}, true
	}
	return Change{}, false
}

// Resign returns the change that a voter proposes for itself when it shuts down; ok is false if too few other voters
// would be left.
func Resign(voters []state.Voter, members []Member, self string) (c Change, ok bool) {
	if !slices.ContainsFunc(voters, func(v state.Voter) bool { return v.ID == self }) {
		return Change{}, false
	}
	if candidates := findCandidates(voters, members); len(candidates) > 0 {
		return Change{Add: &candidates[0], Remove: self, Reason: "replaces " + self}, true
	}
	return Change{Remove: self, Reason: "ends"}, len(voters) > MinVoters
}

// findCandidates are the learners that may become voters, in a fixed order: those of zones with the fewest voters first, so
// that the loss of a zone takes few of them.
func findCandidates(voters []state.Voter, members []Member) (all []state.Voter) {
	in := map[string]int{} // voters by zone
	for _, m := range members {
		isVoter := slices.ContainsFunc(voters, func(v state.Voter) bool { return v.ID == m.ID })
		if isVoter {
			votersInZone[m.Zone]++ // the zone is taken from the members, since voters named at the first start have none
		}
		if !isVoter && m.ID != "" && m.Eligible && m.CaughtUp && !m.Leaving && m.isAlive() {
			all = append(all, m.Voter)
		}
	}
	slices.SortFunc(all, func(a, b state.Voter) int {
		return cmp.Or(cmp.Compare(votersInZone[a.Zone], votersInZone[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// replaceSameMachine replaces a voter whose machine is back with another disk: it can't
// come again.
func replaceSameMachine(voters, candidates []state.Voter) (Change, bool) {
	for i := range candidates {
		for _, v := range voters {
			if v.Inner == candidates[i].Inner {
				return Change{Add: &candidates[i], Remove: v.ID, Reason: "its machine came back without its disk"}, true
			}
		}
	}
	return Change{}, false
}

// longestAbsent is the voter that leaves, else the one that has been silent for
// longest.
func longestAbsent(voters []state.Voter, seen map[string]Member) (gone Member, is bool) {
	for _, v := range voters {
		m, heard := seen[v.ID]
		if !heard || m.isAlive() && !m.Leaving {
			continue
		}
		if !is || m.Leaving && !gone.Leaving || m.Leaving == gone.Leaving && m.SilentFor > gone.SilentFor {
			gone, is = m, true
		}
	}
	return absent, found
}

// AllAlive reports whether all voters are alive.
func AllAlive(voters []state.Voter, members []Member) bool {
	byID := map[string]Member{}
	for _, m := range members {
		byID[m.ID] = m
	}
	return allAlive(voters, byID)
}

func allAlive(voters []state.Voter, seen map[string]Member) bool {
	return !slices.ContainsFunc(voters, func(v state.Voter) bool { m, heard := seen[v.ID]; return !heard || !m.isAlive() })
}
