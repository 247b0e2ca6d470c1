// Package members keeps track of the instances of a fleet: each instance keeps a numbered view of the others, with an
// incarnation, a state and a level of suspicion for each, from the heartbeats that a few neighbours send it and from what
// those pass on.
//
// It does no I/O. Time, randomness and datagrams are arguments, so that equal input gives equal output: the same code runs
// in a process, under a test's virtual clock and under an explorer of all interleavings.
package members
