package members

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Name is an instance's number in its fleet. It outlives the process: the one
// that is started in place of another has the same name and a new incarnation.
type Name uint16

// Incarnation tells a name's claims to be there apart; the higher one holds.
type Incarnation struct {
	Number uint32 // raised to refute, and to come back
	Birth  uint64 // of the process: nanoseconds of its start, so a later one's is higher as far as clocks allow
}

// Compare orders incarnations of one name.
func (i Incarnation) Compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Number, o.Number), cmp.Compare(i.Birth, o.Birth))
}

// String gives the number and the birth.
func (i Incarnation) String() string { return fmt.Sprintf("%d/%x", i.Number, i.Birth) }

// Standing is what the fleet holds of an incarnation. A later one wins over an
// earlier one of the same incarnation.
type Standing uint8

// The standings.
const (
	Present     Standing = iota
	Unreachable          // silent to all who watch it; only a majority that is at hand calls it dead, later
	Dead
	Left // by its own statement
	standings
)

var standingNames = [standings]string{"present", "unreachable", "dead", "left"}

// String names a standing as the operators' page does.
func (s Standing) String() string {
	if s < standings {
		return standingNames[s]
	}
	return fmt.Sprintf("standing %d", uint8(s))
}

// Gone tells whether the incarnation has no place in a view.
func (s Standing) Gone() bool { return s == Dead || s == Left }

// Record is what instances tell each other of a name.
type Record struct {
	Name        Name
	Incarnation Incarnation
	Standing    Standing
	Moves       uint16 // how often the name came, was lost or went; only rises
	Addr        netip.AddrPort
}

// overrides tells whether r holds against o, which is of the same name.
func (r Record) overrides(o Record) bool {
	if c := r.Incarnation.Compare(o.Incarnation); c != 0 {
		return c > 0
	}
	return r.Standing > o.Standing
}

// join is the one record that both say: the same in whatever order records come, and as often.
func join(a, b Record) Record {
	moves := max(a.Moves, b.Moves)
	if b.overrides(a) {
		a = b
	}
	a.Moves = moves
	return a
}
