// Package lab runs several processes of the program as one fleet, with relays between them that inject faults. It pauses,
// kills and restarts them by a script, and compares their views of each other.
package lab
