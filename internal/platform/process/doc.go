// Package process is what all daemons have in common beside their service: the command line, the settings file and its
// changes, signals, bounds on memory and the log ring.
package process
