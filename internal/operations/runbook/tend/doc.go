// Package tend carries out a run of a runbook: it looks at the system, records each order before it is given, gives it, and
// records its outcome.
package tend
