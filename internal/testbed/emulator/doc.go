// Package emulator grows whole clusters of the system in one process, among stand-ins of all that the system speaks
// with and before a judge that saw only what these saw. What the cluster stands on is given: a simulated network
// (package clustertest) or this machine's loopback (package fair).
package emulator
