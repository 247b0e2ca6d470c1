package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/state"
)

// voter returns a voter whose machine is the ID without its trailing digits.
func voter(id string) state.Voter {
	return state.Voter{ID: id, Inner: strings.TrimRight(id, "0123456789")}
}

// machineName returns the name of the machine with this number.
func machineName(i int) string { return strings.Repeat("z", i/20) + string(rune('a'+i%20)) }

func voters(ids ...string) (all []state.Voter) {
	for _, id := range ids {
		all = append(all, voter(id))
	}
	return all
}

// memberSilentFor returns a member that is eligible and has caught up, and whose last message came silent ago.
func memberSilentFor(id string, silent time.Duration) Member {
	return Member{Voter: voter(id), Eligible: true, CaughtUp: true, SilentFor: silent}
}

func TestNextChange(t *testing.T) {
	const long, stable = ReplaceAfter, StableBeforeJoin
	leaving := memberSilentFor("c", 0)
	leaving.Leaving = true
	behind, observer := memberSilentFor("d", 0), memberSilentFor("d", 0)
	behind.CaughtUp, observer.Eligible = false, false
	withAAndB := func(more ...Member) []Member {
		return append([]Member{memberSilentFor("a", 0), memberSilentFor("b", 0)}, more...)
	}
	for name, test := range map[string]struct {
		voters  []state.Voter
		members []Member
		stable  time.Duration
		want    string
	}{
		"nothing to do":                              {voters("a", "b", "c"), withAAndB(memberSilentFor("c", 0)), stable, ""},
		"one joins":                                  {voters("a", "b", "c"), withAAndB(memberSilentFor("c", 0), memberSilentFor("d", 0)), stable, "+d"},
		"not before all voters are stable":           {voters("a", "b", "c"), withAAndB(memberSilentFor("c", 0), memberSilentFor("d", 0)), stable - 1, ""},
		"not before it has caught up":                {voters("a", "b", "c"), withAAndB(memberSilentFor("c", 0), behind), stable, ""},
		"nor one that is not eligible":               {voters("a", "b", "c"), withAAndB(memberSilentFor("c", 0), observer), stable, ""},
		"not while one is silent":                    {voters("a", "b", "c"), withAAndB(memberSilentFor("c", AliveTimeout), memberSilentFor("d", 0)), 0, ""},
		"it replaces one that is gone":               {voters("a", "b", "c"), withAAndB(memberSilentFor("c", long), memberSilentFor("d", 0)), 0, "+d-c"},
		"or one that leaves":                         {voters("a", "b", "c"), withAAndB(leaving, memberSilentFor("d", 0)), stable, "+d-c"},
		"new disk replaces old one of its machine":   {voters("a", "b", "c1"), withAAndB(memberSilentFor("c1", 0), memberSilentFor("c2", 0)), 0, "+c2-c1"},
		"leaving voter is kept in a set of three":    {voters("a", "b", "c"), withAAndB(leaving), stable, ""},
		"silent voter is kept in a set of three":     {voters("a", "b", "c"), withAAndB(memberSilentFor("c", RemoveAfter)), 0, ""},
		"leaving voter is removed from four":         {voters("a", "b", "c", "d"), withAAndB(leaving, memberSilentFor("d", 0)), stable, "-c"},
		"silent voter is removed from four":          {voters("a", "b", "c", "d"), withAAndB(memberSilentFor("c", RemoveAfter), memberSilentFor("d", 0)), 0, "-c"},
		"not before RemoveAfter":                     {voters("a", "b", "c", "d"), withAAndB(memberSilentFor("c", long), memberSilentFor("d", 0)), 0, ""},
		"leaving voter is removed before silent one": {voters("a", "b", "c", "d"), withAAndB(leaving, memberSilentFor("d", RemoveAfter)), 0, "-c"},
		"voter without a member entry is kept":       {voters("a", "b", "c"), withAAndB(memberSilentFor("d", 0)), 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c, ok := NextChange(test.voters, test.members, test.stable)
			got := ""
			if c.Add != nil {
				got += "+" + c.Add.ID
			}
			if c.Remove != "" {
				got += "-" + c.Remove
			}
			assert.Assert(t, got == test.want && ok == (got != ""), "%+v", c)
		})
	}
}

func TestNoZoneHoldsAMajorityOfTheVoters(t *testing.T) {
	var current []state.Voter
	var members []Member
	for i := range 15 { // five per zone; the initial voters are all in the first zone, but their records have an empty Zone
		m := memberSilentFor(machineName(i), 0)
		if m.Zone = fmt.Sprint("z", i/5); i < 3 {
			current = append(current, m.Voter)
			current[i].Zone = ""
		}
		members = append(members, m)
	}
	for c, ok := NextChange(current, members, StableBeforeJoin); ok; c, ok = NextChange(current, members, StableBeforeJoin) {
		current, _ = c.Apply(current)
	}
	votersInZone := map[string]int{}
	for _, v := range current {
		votersInZone[v.Zone]++
	}
	assert.Assert(t, len(current) == MaxVoters && votersInZone["z1"] == 3 && votersInZone["z2"] == 3, "%v", votersInZone)
}

func TestResign(t *testing.T) {
	_, ok := Resign(voters("a", "b", "c"), []Member{memberSilentFor("a", 0), memberSilentFor("b", 0), memberSilentFor("c", 0)}, "c")
	assert.Assert(t, !ok) // the two voters left would tolerate no loss
	_, ok = Resign(voters("a", "b", "c"), nil, "d")
	assert.Assert(t, !ok) // d is not a voter
	c, ok := Resign(voters("a", "b", "c"), []Member{memberSilentFor("d", 0)}, "c")
	assert.Assert(t, ok && c.Add.ID == "d" && c.Remove == "c")
	c, ok = Resign(voters("a", "b", "c", "d"), nil, "c")
	assert.Assert(t, ok && c.Add == nil && c.Remove == "c")
}

func TestApply(t *testing.T) {
	d := voter("d")
	_, ok := Change{Add: &d, Remove: "x"}.Apply(voters("a", "b", "c"))
	assert.Assert(t, !ok) // x is no longer a voter
	_, ok = Change{Add: &d}.Apply(voters("a", "d"))
	assert.Assert(t, !ok)
	after, ok := Change{Add: &d, Remove: "c"}.Apply(voters("a", "b", "c"))
	assert.Assert(t, ok)
	assert.DeepEqual(t, after, voters("a", "b", "d"))
}

// Machines fail, return with or without their disks, are cut off and are replaced, at random. Whatever the view, a
// change adds and removes at most one voter, keeps at least three, and does not turn a set with a majority alive into
// one without. Once nothing else happens, all voters are alive.
func TestRandomViews(t *testing.T) {
	for seed := range uint64(2000) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		n := 3 + rnd.IntN(3)
		var current []state.Voter
		for i := range n {
			current = append(current, voter(machineName(i)+"0"))
		}
		members := map[string]*Member{}
		for _, v := range current {
			m := memberSilentFor(v.ID, 0)
			members[v.ID] = &m
		}
		machines := n
		for range 40 {
			down := 0
			for _, v := range current {
				if m := members[v.ID]; m == nil || !m.isAlive() {
					down++
				}
			}
			if ids := aliveIDs(members); down == 0 && rnd.IntN(2) == 0 {
				id := ids[rnd.IntN(len(ids))]
				switch rnd.IntN(3) {
				case 0: // the machine lost its disk and returns with another one
					members[id].SilentFor = RemoveAfter
					m := memberSilentFor(fmt.Sprint(members[id].Inner, machines), 0)
					members[m.ID] = &m
				case 1: // the machine is gone for good and a new one joins
					members[id].SilentFor = RemoveAfter
					m := memberSilentFor(machineName(machines)+"0", 0)
					members[m.ID] = &m
				case 2:
					members[id].SilentFor = AliveTimeout
				}
				machines++
			}
			c, ok := NextChange(current, allMembers(members), StableBeforeJoin)
			for _, m := range members {
				if m.SilentFor < ReplaceAfter {
					m.SilentFor = 0
				}
			}
			if !ok {
				continue
			}
			after, fits := c.Apply(current)
			assert.Assert(t, fits)
			assert.Assert(t, len(after) >= min(len(current), MinVoters) && len(after) <= MaxVoters, "seed %d: %v after %v", seed, after, current)
			if isMajorityAlive(current, members) {
				assert.Assert(t, isMajorityAlive(after, members), "seed %d: %+v leaves no majority", seed, c)
			}
			current = after
		}
		for range 10 {
			c, ok := NextChange(current, allMembers(members), StableBeforeJoin)
			if !ok {
				break
			}
			current, _ = c.Apply(current)
		}
		alive := 0
		for _, v := range current {
			if m := members[v.ID]; m != nil && m.isAlive() {
				alive++
			}
		}
		assert.Assert(t, alive == len(current) && alive >= n-1, "seed %d: %d of %d voters are there: %v, %+v", seed, alive, len(current), current, allMembers(members))
	}
}

func aliveIDs(m map[string]*Member) (all []string) {
	for k, x := range m {
		if x.isAlive() {
			all = append(all, k)
		}
	}
	slices.Sort(all)
	return all
}

func allMembers(m map[string]*Member) (all []Member) {
	for _, x := range m {
		all = append(all, *x)
	}
	return all
}

func isMajorityAlive(voters []state.Voter, members map[string]*Member) bool {
	n := 0
	for _, v := range voters {
		if m := members[v.ID]; m != nil && m.isAlive() {
			n++
		}
	}
	return n > len(voters)/2
}
