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
	value        *state.State // the proposed value; nil until one is chosen
	accepted     map[string]bool
	refused      map[string]bool   // voters of base that have promised a higher ballot
	higherBallot Ballot            // the highest ballot that any acceptor reported
	newerDecided *state.State      // the newest decided state above base that any acceptor reported
	behind       map[string]uint64 // newest decided version of acceptors that lack base
}

// NewProposal starts an attempt to decide the version after base.
func NewProposal(base state.State, ballot Ballot) *Proposal {
	return &Proposal{base: base, ballot: ballot, promises: map[string]Promise{}, accepted: map[string]bool{}, refused: map[string]bool{}, behind: map[string]uint64{}}
}

// NewFirstRoundProposal starts an attempt under FirstRound, which needs no promises and begins with ChooseValue. The
// caller must be the proposer of base and must not have used this round for the next version before.
func NewFirstRoundProposal(base state.State) *Proposal {
	return NewProposal(base, Ballot{Round: FirstRound, Proposer: base.Proposer})
}

// PrepareMessage returns the message of the first phase, to be sent to all voters of base.
func (p *Proposal) PrepareMessage() Prepare {
	return Prepare{Version: p.base.Version + 1, Ballot: p.ballot}
}

// HandlePromise processes an answer to the message of the first phase. Answers from replicas that are not voters of
// base do not count.
func (p *Proposal) HandlePromise(m Promise) {
	p.noteReply(m.ID, m.Promised, m.Decided)
	if m.Granted {
		p.promises[m.ID] = m
	} else if m.Version < p.base.Version {
		p.behind[m.ID] = m.Version
	}
}

// noteReply records a higher ballot or a newer decided state that an acceptor reports.
func (p *Proposal) noteReply(id string, promised Ballot, decided *state.State) {
	if _, ok := p.base.Voter(id); ok && promised != (Ballot{}) {
		p.refused[id] = true
	}
	if promised.Above(p.higherBallot) {
		p.higherBallot = promised
	}
	if decided != nil && (p.newerDecided == nil || decided.Version > p.newerDecided.Version) {
		p.newerDecided = decided
	}
}

// IsPrepared reports whether a majority of the voters of base has promised.
func (p *Proposal) IsPrepared() bool {
	return IsMajority(p.base.Voters, func(id string) bool { _, ok := p.promises[id]; return ok })
}

// InheritedValue returns the value that must be proposed because a majority may already have accepted it, or nil if
// any value may be proposed.
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

// ChooseValue sets the value and returns the message of the second phase, to be sent to all voters of base and of the
// value. An inherited value takes precedence over v.
func (p *Proposal) ChooseValue(v state.State) Accept {
	if inherited := p.InheritedValue(); inherited != nil {
		v = *inherited
	}
	v.Version = p.base.Version + 1
	p.value = &v
	return Accept{Version: v.Version, Ballot: p.ballot, Value: v}
}

// HandleAcceptance processes an answer to the message of the second phase.
func (p *Proposal) HandleAcceptance(m Acceptance) {
	p.noteReply(m.ID, m.Promised, m.Decided)
	if m.Granted {
		p.accepted[m.ID] = true
	} else if m.Version < p.base.Version {
		p.behind[m.ID] = m.Version
	}
}

// IsDecided reports whether the value is decided. It must be accepted by a majority of the voters of base and also of
// the voters that the value names, so that the loss of any minority of the new voters cannot lose the decision.
func (p *Proposal) IsDecided() bool {
	if p.value == nil {
		return false
	}
	has := func(id string) bool { return p.accepted[id] }
	return IsMajority(p.base.Voters, has) && IsMajority(p.value.Voters, has)
}

// Value returns the chosen value, or nil before ChooseValue.
func (p *Proposal) Value() *state.State { return p.value }

// HigherBallot returns the highest competing ballot that an acceptor has promised, or the zero Ballot if there is
// none.
func (p *Proposal) HigherBallot() Ballot { return p.higherBallot }

// NewerDecided returns the newest decided state above base that an acceptor reported, or nil if there is none.
func (p *Proposal) NewerDecided() *state.State { return p.newerDecided }

// CannotSucceed reports whether this attempt can no longer succeed: the version is already decided, or so many voters
// have promised another ballot that no majority is left.
func (p *Proposal) CannotSucceed() bool {
	return p.newerDecided != nil || len(p.refused) > len(p.base.Voters)-Majority(len(p.base.Voters))
}

// HasConfig reports whether an acceptor has said in its promise that it has a configuration on its disk.
func (p *Proposal) HasConfig(id string, config state.ConfigID) bool {
	for _, d := range p.promises[id].Holds {
		if d == config.Digest {
			return true
		}
	}
	return false
}

// IsBehind reports whether an acceptor must catch up with base before it can vote.
func (p *Proposal) IsBehind(id string) bool { _, ok := p.behind[id]; return ok }

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

// differOnlyInVoters reports whether two states have the same content apart from their voters.
func differOnlyInVoters(a, b state.State) bool {
	b.Voters = a.Voters
	return a.SameContent(b)
}
