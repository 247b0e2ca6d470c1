// Package rollout decides for a fleet of daemons which to start, reload, stop
// or kill next, without doing any of it: no I/O, no clock of its own, and equal
// input gives equal output.
package rollout
