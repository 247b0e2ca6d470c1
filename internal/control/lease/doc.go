// Package lease elects which replica performs a duty that one replica does for all, and numbers its terms. The holder
// names a successor in advance, which takes over without a vote when the holder falls silent.
package lease
