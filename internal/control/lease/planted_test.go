package lease

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// injectedFault is a fault: it changes what a replica sees, what it is told, or its state and words after a step.
type injectedFault struct {
	keepsIncarnation bool // whoever comes back is held for whom it was
	onlyHolderRuns   bool // nobody does the work without a claim
	changeView       func(v *View)
	beforeReceive    func(s *Lease, d *peerlink.Duty)
	afterStep        func(s *Lease, v View, out []Message) []Message
}

// Each fault breaks what the explorer looks at. Without them it finds nothing (TestRandomWalks).
func TestInjectedFaultsAreFound(t *testing.T) {
	rename := func(s *Lease, out []Message, change func(d *peerlink.Duty)) []Message {
		if s.Holds() {
			change(&s.known)
			for i := range out {
				change(&out[i].Duty)
			}
		}
		return out
	}
	for what, p := range map[string]*injectedFault{
		"a voter votes twice in an epoch": {beforeReceive: func(s *Lease, d *peerlink.Duty) {
			if d.Ask > 0 {
				s.votedEpoch = 0
			}
		}},
		"one vote is a majority":             {changeView: func(v *View) { v.VoterCount = 1 }},
		"who comes back is still next":       {keepsIncarnation: true},
		"an older holder's word is followed": {beforeReceive: func(s *Lease, d *peerlink.Duty) { s.known.Term = peerlink.Term{} }},
		"a holder names another without a vote": {afterStep: func(s *Lease, v View, out []Message) []Message {
			return rename(s, out, func(d *peerlink.Duty) { d.Next = s.chooseSuccessor(v) })
		}},
		"a successor goes on in its predecessor's term": {afterStep: func(s *Lease, _ View, out []Message) []Message {
			return rename(s, out, func(d *peerlink.Duty) { d.Term.Step = 0 })
		}},
		"only the holder does the work": {onlyHolderRuns: true},
		"nobody votes": {afterStep: func(_ *Lease, _ View, out []Message) []Message {
			return slices.DeleteFunc(out, func(t Message) bool { return t.Duty.Vote > 0 })
		}},
	} {
		t.Run(what, func(t *testing.T) {
			for seed := range uint64(300) {
				if m := randomWalk(seed, p); m.violation != "" {
					t.Logf("order %d: %s", seed, m.violation)
					return
				}
			}
			assert.Assert(t, false, "not found")
		})
	}
}
