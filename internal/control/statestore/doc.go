// Package statestore keeps the state of a replica in plain files. Each file is written under a temporary name, synced
// and then renamed.
package statestore
