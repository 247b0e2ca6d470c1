package quorum

import "pepperfall.example/pepperfall/internal/control/state"

// Ballot numbers an attempt to decide a version. A process never uses the same ballot twice. The zero Ballot is below
// all others.
type Ballot struct {
	Round    uint64
	Proposer string // identifies one run of one process
}

// FirstRound is the round that needs no promises, because nothing can have been accepted below it. Only the proposer
// of the previous version may use it, and for one value only, so each version has at most one such ballot.
const FirstRound = 1

// Above reports whether b takes precedence over o.
func (b Ballot) Above(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round > o.Round
	}
	return b.Proposer > o.Proposer
}

// Record is what a replica keeps on disk. A message of this package that depends on the record must not leave the
// replica before the record is synced.
type Record struct {
	ID       string       // identity of the disk, never reused for another one
	Decided  state.State  // the newest decided state that this replica knows
	Promised Ballot       // for the version after Decided
	Accepted Ballot       // for the version after Decided; zero if nothing is accepted
	Value    *state.State // the value accepted under Accepted
}

// Prepare asks an acceptor to promise that it will accept nothing below a ballot for a version, and to report what it
// has accepted.
type Prepare struct {
	Version uint64
	Ballot  Ballot
}

// Promise is the answer to Prepare.
type Promise struct {
	ID       string // identity of the acceptor's disk
	Granted  bool
	Promised Ballot         // if not granted: the higher ballot that was promised
	Accepted Ballot         // if granted: the ballot of Value
	Value    *state.State   // accepted for this version; nil if nothing is
	Decided  *state.State   // the newest decided state, if this version is already decided
	Version  uint64         // the newest decided version that the acceptor knows
	Holds    []state.Digest // configurations on the acceptor's disk
}

// Accept asks an acceptor to accept a value for a version.
type Accept struct {
	Version uint64
	Ballot  Ballot
	Value   state.State
}

// Acceptance is the answer to Accept.
type Acceptance struct {
	ID       string
	Granted  bool
	Promised Ballot       // if not granted: the higher ballot that was promised
	Decided  *state.State // the newest decided state, if this version is already decided
	Version  uint64       // the newest decided version that the acceptor knows
}

// Report states how up to date a replica is.
type Report struct {
	ID       string
	Version  uint64 // of the newest decided state that the replica knows
	Config   state.ConfigID
	Accepted Ballot       // ballot of Value
	Value    *state.State // accepted for the next version; nil if nothing is
}

// HandlePrepare answers the message of the first phase.
func (r *Record) HandlePrepare(p Prepare) Promise {
	m := Promise{ID: r.ID, Version: r.Decided.Version}
	switch {
	case p.Version <= r.Decided.Version:
		decided := r.Decided
		m.Decided = &decided
	case p.Version > r.Decided.Version+1:
		// The voters of that version are unknown here: this replica must catch up first.
	case r.Promised.Above(p.Ballot):
		m.Promised = r.Promised
	default:
		r.Promised = p.Ballot
		m.Granted, m.Accepted, m.Value = true, r.Accepted, r.Value
	}
	return m
}

// HandleAccept answers the message of the second phase. The configuration that the value names must be synced to the
// replica's disk together with the record.
func (r *Record) HandleAccept(a Accept) Acceptance {
	m := Acceptance{ID: r.ID, Version: r.Decided.Version}
	switch {
	case a.Version <= r.Decided.Version:
		decided := r.Decided
		m.Decided = &decided
	case a.Version > r.Decided.Version+1, a.Value.Version != a.Version:
		// Either this replica must catch up first, or the message is malformed.
	case r.Promised.Above(a.Ballot):
		m.Promised = r.Promised
	default:
		value := a.Value
		r.Promised, r.Accepted, r.Value = a.Ballot, a.Ballot, &value
		m.Granted = true
	}
	return m
}

// Learn stores a decided state and reports whether it is newer than the known one. Promises and accepted values of the
// decided version are dropped.
func (r *Record) Learn(s state.State) bool {
	if s.Version <= r.Decided.Version {
		return false
	}
	r.Decided = s
	r.Promised, r.Accepted, r.Value = Ballot{}, Ballot{}, nil
	return true
}

// Report returns how up to date this replica is.
func (r *Record) Report() Report {
	return Report{ID: r.ID, Version: r.Decided.Version, Config: r.Decided.Config, Accepted: r.Accepted, Value: r.Value}
}
