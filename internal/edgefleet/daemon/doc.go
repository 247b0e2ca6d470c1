// Package daemon runs one edge node as a long-lived process: its configuration
// and operator file, its signals, and its lock as a named instance of a fleet.
package daemon
