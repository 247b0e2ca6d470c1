// Package loadtest runs a cluster of package emulator on this machine's loopback under load, with and without faults, and
// reports what its clients saw and the judge's verdict.
package loadtest
