package quorum

import "pepperfall.example/pepperfall/internal/control/state"

// Majority returns how many of n voters are needed to decide.
func Majority(n int) int { return n/2 + 1 }

// IsMajority reports whether the voters whose ID satisfies has form a majority of all voters. No voters have no
// majority.
func IsMajority(voters []state.Voter, has func(id string) bool) bool {
	if len(voters) == 0 {
		return false
	}
	n := 0
	for _, v := range voters {
		if has(v.ID) {
			n++
		}
	}
	return n >= Majority(len(voters))
}

// Proposal is one attempt, under one ballot, to decide the version that follows a decided state. It is not safe for
// concurrent use.
type Proposal struct {
	base         state.State
	ballot       Ballot
	promises     map[string]Promise
	value        *state.State
	accepted     map[string]bool
	refused      map[string]bool
	higherBallot Ballot
	newerDecided *state.State
	behind       map[string]uint64
}

// NewProposal begins an attempt.
func NewProposal(base state.State, ballot Ballot) *Proposal {
	return &Proposal{base: base, ballot: ballot, promises: map[string]Promise{}, accepted: map[string]bool{}, refused: map[string]bool{}, behind: map[string]uint64{}}
}

// NewFirstRoundProposal begins an attempt under FirstRound, which starts with Choose. The proposer has to be the one of base,
// and must not have used that round for the version after it before.
func NewFirstRoundProposal(base state.State) *Proposal {
	return NewProposal(base, Ballot{Round: FirstRound, Proposer: base.Proposer})
}

// PrepareMessage is the first message, for all voters of the base.
func (p *Proposal) PrepareMessage() Prepare {
	return Prepare{Version: p.base.Version + 1, Ballot: p.ballot}
}

// HandlePromise takes an answer to Prepare in. Answers of others than the base's
// voters don't count.
func (p *Proposal) HandlePromise(m Promise) {
	p.noteReply(m.ID, m.Promised, m.Decided)
	if m.Granted {
		p.promises[m.ID] = m
	} else if m.Version < p.base.Version {
		p.behind[m.ID] = m.Version
	}
}

func (p *Proposal) noteReply(id string, promised Ballot, decided *state.State) {
	if _, is := p.base.Voter(id); is && promised != (Ballot{}) {
		p.refused[id] = true
	}
	if promised.Above(p.higherBallot) {
		p.higherBallot = promised
	}
	if decided != nil && (p.newerDecided == nil || decided.Version > p.newerDecided.Version) {
		p.newerDecided = decided
	}
}

// IsPrepared tells whether a majority of the base's voters has promised.
func (p *Proposal) IsPrepared() bool {
	return IsMajority(p.base.Voters, func(id string) bool { _, ok := p.promises[id]; return ok })
}

// InheritedValue is the value that has to be proposed, as a majority may have accepted
// it already; nil: any value may be.
func (p *Proposal) InheritedValue() *state.State {
	var ballot Ballot
	var value *state.State
	for _, v := range p.base.Voters {
		if m, ok := p.promises[v.ID]; ok && m.Value != nil && m.Accepted.Above(ballot) {
			ballot, value = m.Accepted, m.Value
		}
	}
	return value
}

// ChooseValue sets the value and returns the second message, for all voters of the
// base and of the value. A value that was inherited goes before v.
func (p *Proposal) ChooseValue(v state.State) Accept {
	if inherited := p.InheritedValue(); inherited != nil {
		v = *inherited
	}
	v.Version = p.base.Version + 1
	p.value = &v
	return Accept{Version: v.Version, Ballot: p.ballot, Value: v}
}

// HandleAcceptance takes an answer to Accept in.
func (p *Proposal) HandleAcceptance(m Acceptance) {
	p.noteReply(m.ID, m.Promised, m.Decided)
	if m.Granted {
		p.accepted[m.ID] = true
	} else if m.Version < p.base.Version {
		p.behind[m.ID] = m.Version
	}
}

// IsDecided tells whether the value is decided: by a majority of the voters before
// it and, so that no later loss that they may bear loses it, of those after it.
func (p *Proposal) IsDecided() bool {
	if p.value == nil {
		return false
	}
	has := func(id string) bool { return p.accepted[id] }
	return IsMajority(p.base.Voters, has) && IsMajority(p.value.Voters, has)
}

// Value returns the chosen value, or nil before ChooseValue.
func (p *Proposal) Value() *state.State { return p.value }

// HigherBallot is the highest ballot that stands against this one; zero: none.
func (p *Proposal) HigherBallot() Ballot { return p.higherBallot }

// NewerDecided is a newer decided state that some acceptor told; nil: none did.
func (p *Proposal) NewerDecided() *state.State { return p.newerDecided }

// CannotSucceed tells whether this attempt can't succeed any more: the version is decided, or so many have promised
// another ballot that no majority is left.
func (p *Proposal) CannotSucceed() bool {
	return p.newerDecided != nil || len(p.refused) > len(p.base.Voters)-Majority(len(p.base.Voters))
}

// HasConfig tells whether an acceptor has said that it has a configuration on its disk.
func (p *Proposal) HasConfig(id string, config state.ConfigID) bool {
	for _, d := range p.promises[id].Holds {
		if d == config.Digest {
			return true
		}
	}
	return false
}

// IsBehind tells whether an acceptor has to catch up with the base before it can vote.
func (p *Proposal) IsBehind(id string) bool { _, is := p.behind[id]; return is }

// IsLatest reports whether nothing above base, except changes of the voters, had been decided when the reports were
// requested. It needs reports from a majority of the voters of base that know of nothing above it and have accepted
// nothing for the next version but a change of voters. If such a change was being accepted, a majority of the new
// voters must also know of nothing above base, since they could otherwise have decided a further version on their own.
func IsLatest(base state.State, reports map[string]Report) bool {
	knows := func(id string) bool {
		m, ok := reports[id]
		return ok && m.Version <= base.Version && (m.Value == nil || m.Value.Version <= base.Version || differOnlyInVoters(base, *m.Value))
	}
	if !IsMajority(base.Voters, knows) {
		return false
	}
	for _, m := range reports {
		if m.Value != nil && m.Value.Version == base.Version+1 && !IsMajority(m.Value.Voters, knows) {
			return false
		}
	}
	return true
}

// differOnlyInVoters tells whether two states differ in their voters at most.
func differOnlyInVoters(a, b state.State) bool {
	b.Voters = a.Voters
	return a.SameContent(b)
}
