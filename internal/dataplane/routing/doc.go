// Package routing resolves a client's request by a route book: its operation, the
// member library that sent it, its cost in units, whether it may be repeated, and
// its deadline. The package does no I/O and is deterministic.
package routing
