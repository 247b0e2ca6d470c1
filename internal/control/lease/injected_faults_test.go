package lease

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// injectedFault is a deliberate fault: it changes what a replica sees, a statement that it receives, or its state and
// messages after a step.
type planted struct {
	oneLife bool // a restarted replica keeps its incarnation, so that others take it for the earlier one
	claimed bool // only the holder runs the task
	view    func(v *View)
	before  func(s *Lease, d *peerlink.Duty)
	after   func(s *Lease, v View, out []Tell) []Tell
}

// Every injected fault violates an invariant that the explorer checks. TestRandomWalks shows that it finds no
// violation without them.
func TestPlantedFaults(t *testing.T) {
	rename := func(s *Lease, out []Tell, change func(d *peerlink.Duty)) []Tell {
		if s.Holds() {
			change(&s.known)
			for i := range out {
				change(&out[i].Duty)
			}
		}
		return out
	}
	for what, p := range map[string]*planted{
		"a voter votes twice in an epoch": {before: func(s *Lease, d *peerlink.Duty) {
			if d.Ask > 0 {
				s.voted = 0
			}
		}},
		"one vote is a majority":             {view: func(v *View) { v.Electors = 1 }},
		"who comes back is still next":       {oneLife: true},
		"an older holder's word is followed": {before: func(s *Lease, d *peerlink.Duty) { s.known.Term = peerlink.Term{} }},
		"a holder names another without a vote": {after: func(s *Lease, v View, out []Tell) []Tell {
			return rename(s, out, func(d *peerlink.Duty) { d.Next = s.pick(v) })
		}},
		"a successor goes on in its predecessor's term": {after: func(s *Lease, _ View, out []Tell) []Tell {
			return rename(s, out, func(d *peerlink.Duty) { d.Term.Step = 0 })
		}},
		"only the holder does the work": {claimed: true},
		"nobody votes": {after: func(_ *Lease, _ View, out []Tell) []Tell {
			return slices.DeleteFunc(out, func(t Tell) bool { return t.Duty.Vote > 0 })
		}},
	} {
		t.Run(what, func(t *testing.T) {
			for seed := range uint64(300) {
				if m := walk(seed, p); m.fault != "" {
					t.Logf("order %d: %s", seed, m.fault)
					return
				}
			}
			assert.Assert(t, false, "not found")
		})
	}
}
