// Package quorum decides a replicated state version by version, without I/O.
//
// Each version is decided by ballots in two phases (prepare and accept) among the voters that the version before it
// names, as in single-decree Paxos: an acceptor that has promised a ballot accepts nothing below it, and a proposer
// must propose the value of the highest ballot that a majority reports as accepted. There is no log and no fixed
// leader: a replica keeps the newest decided state and, for the version after it, one promise and one accepted value.
//
// The voters are part of the state, so a decision that changes them fences off the older set: a proposer that knows
// only an older state needs a majority of that state's voters for the next version, and that majority includes a voter
// that has already accepted a different value for it. docs/design/control.md has the proofs.
package quorum
