// Package daybook is the journal on disk of the runs of a runbook, entry by entry. One process holds it at a time.
package daybook
