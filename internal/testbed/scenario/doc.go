// Package scenario describes days of a cluster: its layout, the events and faults of the day with their times, and the rules
// that have to hold at the end. Days are read from files, drawn by seed, mixed and cut down, without I/O.
package scenario
