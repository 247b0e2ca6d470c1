package quorum

import "pepperfall.example/pepperfall/internal/control/state"

// Ballot numbers an attempt to decide a version. A process never uses one ballot
// twice; the zero one is below all.
type Ballot struct {
	Round    uint64
	Proposer string // one life of one process
}

// FirstRound is the round that needs no promises: nothing below it can have been accepted. Only the proposer of the
// version before may use it, and for one value only, so a version has one such ballot.
const FirstRound = 1

// Above tells whether b goes before o.
func (b Ballot) Above(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round > o.Round
	}
	return b.Proposer > o.Proposer
}

// Record is what a replica keeps on disk. A message of this package that speaks
// of it leaves the replica only once the record is synced.
type Record struct {
	ID       string      // of this disk; no other disk ever has it
	Decided  state.State // the newest that this replica knows
	Promised Ballot      // for the version after Decided
	Accepted Ballot      // for the version after Decided; zero: nothing
	Value    *state.State
}

// Prepare asks an acceptor to promise that it accepts nothing below a ballot for a
// version, and to tell what it has accepted.
type Prepare struct {
	Version uint64
	Ballot  Ballot
}

// Promise answers Prepare.
type Promise struct {
	ID       string // of the acceptor's disk
	Granted  bool
	Promised Ballot         // where it is not granted: the ballot that stands against it
	Accepted Ballot         // where it is granted: of Value
	Value    *state.State   // accepted for this version; nil: nothing
	Decided  *state.State   // where that version is decided already: the newest decided state
	Version  uint64         // the newest decided version that the acceptor knows
	Holds    []state.Digest // configurations on its disk
}

// Accept asks an acceptor to accept a value for a version.
type Accept struct {
	Version uint64
	Ballot  Ballot
	Value   state.State
}

// Acceptance answers Accept.
type Acceptance struct {
	ID       string
	Granted  bool
	Promised Ballot       // where it is not granted
	Decided  *state.State // where that version is decided already: the newest decided state
	Version  uint64       // the newest decided version that the acceptor knows
}

// Report tells how far a replica is.
type Report struct {
	ID       string
	Version  uint64 // of the newest decided state that it knows
	Config   state.ConfigID
	Accepted Ballot       // of Value
	Value    *state.State // what it has accepted for the next version; nil: nothing
}

// HandlePrepare answers a proposer's first message.
func (r *Record) HandlePrepare(p Prepare) Promise {
	m := Promise{ID: r.ID, Version: r.Decided.Version}
	switch {
	case p.Version <= r.Decided.Version:
		decided := r.Decided
		m.Decided = &decided
	case p.Version > r.Decided.Version+1:
		// The voters of that version are not known here: this replica catches up first.
	case r.Promised.Above(p.Ballot):
		m.Promised = r.Promised
	default:
		r.Promised = p.Ballot
		m.Granted, m.Accepted, m.Value = true, r.Accepted, r.Value
	}
	return m
}

// HandleAccept answers a proposer's second message. The configuration that the value
// names has to be on the replica's disk with the record.
func (r *Record) HandleAccept(a Accept) Acceptance {
	m := Acceptance{ID: r.ID, Version: r.Decided.Version}
	switch {
	case a.Version <= r.Decided.Version:
		decided := r.Decided
		m.Decided = &decided
	case a.Version > r.Decided.Version+1, a.Value.Version != a.Version:
		// As above; or no proposer of ours made this.
	case r.Promised.Above(a.Ballot):
		m.Promised = r.Promised
	default:
		value := a.Value
		r.Promised, r.Accepted, r.Value = a.Ballot, a.Ballot, &value
		m.Granted = true
	}
	return m
}

// Learn takes over a decided state and tells whether it is newer than what was
// known. What was promised and accepted for a version that is decided is over.
func (r *Record) Learn(s state.State) bool {
	if s.Version <= r.Decided.Version {
		return false
	}
	r.Decided = s
	r.Promised, r.Accepted, r.Value = Ballot{}, Ballot{}, nil
	return true
}

// Report tells how far this replica is.
func (r *Record) Report() Report {
	return Report{ID: r.ID, Version: r.Decided.Version, Config: r.Decided.Config, Accepted: r.Accepted, Value: r.Value}
}
