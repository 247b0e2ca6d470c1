// Package world holds the program's interfaces to its surroundings: time, network and disk. Code that takes its clock and its
// sockets from here runs alike on a real machine and on a simulated one.
package world
