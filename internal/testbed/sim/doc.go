// Package sim is a network in memory, on which the program's own network code
// runs against scripted faults. Its clock is the one around it: in a bubble of
// testing/synctest time passes only when everybody waits.
package sim
