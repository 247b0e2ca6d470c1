package lease

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// injectedFault is a deliberate fault: it changes what a replica sees, a statement that it receives, or its state and
// messages after a step.
type injectedFault struct {
	keepsIncarnation bool // a restarted replica keeps its incarnation, so that others take it for the earlier one
	onlyHolderRuns   bool // only the holder runs the task
	changeView       func(v *View)
	beforeReceive    func(s *Lease, d *peerlink.Duty)
	afterStep        func(s *Lease, v View, out []Message) []Message
}

// Every injected fault violates an invariant that the explorer checks. TestRandomWalks shows that it finds no
// violation without them.
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
