// Package clustertest runs clusters of package emulator on a simulated network, clock and disks, with the faults that can
// be put on these, for tests and for package experiment.
package clustertest
