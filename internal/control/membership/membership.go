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
	MaxVoters        = 9                       // more voters slow decisions down without tolerating more losses than necessary
	MinVoters        = 3                       // a set of this size is not reduced further: two voters tolerate no loss
	AliveTimeout     = 900 * time.Millisecond  // a replica that was heard within this time is alive
	StableBeforeJoin = time.Second             // all voters must be alive for so long before one is added: it may be needed as a replacement
	ReplaceAfter     = 2500 * time.Millisecond // of silence, if a learner that has caught up is available
	RemoveAfter      = 8 * time.Second         // of silence, if no learner is available
)

// Member is a replica as another replica sees it.
type Member struct {
	state.Voter
	Eligible  bool          // it may become a voter: its disk is fit to count in a majority
	CaughtUp  bool          // it knows the newest decided state
	Leaving   bool          // it has announced that it is shutting down
	SilentFor time.Duration // time since its last message
}

func (m Member) isAlive() bool { return m.SilentFor < AliveTimeout }

// Change is a change of the voters for the next state.
type Change struct {
	Add    *state.Voter // nil if no voter is added
	Remove string       // ID of the voter to remove; empty if none is removed
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

// NextChange returns the change that a replica with this view proposes; ok is false if there is none. members are all
// replicas that were heard, including the caller, and all voters that were not, with the time since their last
// message. stableFor is how long all voters have been alive.
func NextChange(voters []state.Voter, members []Member, stableFor time.Duration) (c Change, ok bool) {
	byID := map[string]Member{}
	for _, m := range members {
		byID[m.ID] = m
	}
	candidates := findCandidates(voters, members)
	if c, ok := replaceSameMachine(voters, candidates); ok {
		return c, true
	}
	absent, found := longestAbsent(voters, byID)
	if len(candidates) > 0 && found && (absent.Leaving || absent.SilentFor >= ReplaceAfter) {
		return Change{Add: &candidates[0], Remove: absent.ID, Reason: "replaces " + absent.ID}, true
	}
	if len(candidates) > 0 && !found && len(voters) < MaxVoters && stableFor >= StableBeforeJoin {
		return Change{Add: &candidates[0], Reason: "has caught up"}, true
	}
	if found && len(voters) > MinVoters && (absent.Leaving || absent.SilentFor >= RemoveAfter) {
		return Change{Remove: absent.ID, Reason: "has gone"}, true
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

// findCandidates returns the learners that may become voters, in a fixed order: those in zones with the fewest voters
// first, so that the loss of a zone affects few voters.
func findCandidates(voters []state.Voter, members []Member) (all []state.Voter) {
	votersInZone := map[string]int{}
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

// replaceSameMachine replaces a voter whose machine has come back with another disk, since a voter with the old disk
// cannot return.
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

// longestAbsent returns a voter that is leaving or, if there is none, the voter that has been silent for longest.
func longestAbsent(voters []state.Voter, byID map[string]Member) (absent Member, found bool) {
	for _, v := range voters {
		m, known := byID[v.ID]
		if !known || m.isAlive() && !m.Leaving {
			continue
		}
		if !found || m.Leaving && !absent.Leaving || m.Leaving == absent.Leaving && m.SilentFor > absent.SilentFor {
			absent, found = m, true
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

func allAlive(voters []state.Voter, byID map[string]Member) bool {
	return !slices.ContainsFunc(voters, func(v state.Voter) bool { m, known := byID[v.ID]; return !known || !m.isAlive() })
}
