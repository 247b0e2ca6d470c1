package routebook

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Repeat says whether a request may run again.
type Repeat int

// The kinds of repeat, the most careful first. The zero value is the most
// careful: what is not declared must not run twice.
const (
	Never Repeat = iota // not again once it may have run
	Keyed               // a rack drops repeats that carry the same key
	Safe                // any number of times
)

var repeatNames = [...]string{"never", "keyed", "safe"}

func (r Repeat) String() string { return repeatNames[r] }

// ParseRepeat reads the word that a description or an operator file uses.
func ParseRepeat(word string) (Repeat, error) {
	if i := slices.Index(repeatNames[:], word); i >= 0 {
		return Repeat(i), nil
	}
	return Never, fmt.Errorf("%q is none of %s", word, strings.Join(repeatNames[:], ", "))
}

// Units is what a request takes from its library's quota: Base, and Each for
// every started Per of a query parameter, Most at most.
type Units struct {
	Base  float64
	Param string // empty: Base alone
	Per   int
	Each  float64
	Most  float64
}

// Of returns the units of a request by its query text. A parameter that is
// missing, there twice, not a whole number, or too large costs Most: what can't
// be read is the dearer case. Without a parameter it is Base.
func (u Units) Of(query string) float64 {
	if u.Param == "" {
		return u.Base
	}
	found, n := false, 0
	for pair := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if !sameName(name, u.Param) {
			continue
		}
		if found || !digits(value) {
			return u.Most
		}
		found = true
		for _, c := range []byte(value) {
			n = 10*n + int(c-'0')
		}
	}
	if !found {
		return u.Most
	}
	return min(u.Most, u.Base+u.Each*float64((n+u.Per-1)/u.Per))
}

// sameName compares a parameter's name as it came with the declared one. Any
// percent sign makes it the same, so that no spelling hides a parameter.
func sameName(came, declared string) bool {
	return came == declared || strings.ContainsAny(came, "%+") && len(came) >= len(declared)
}

func digits(s string) bool {
	if len(s) == 0 || len(s) > 9 {
		return false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}

// Route is an operation: which requests it takes and what holds for them.
type Route struct {
	Operation string // its name, the same in revisions of a description
	Method    string // upper case
	Template  string // a path with parameters in braces, with the server's base path before it
	Class     string
	Units     Units
	Repeat    Repeat
	Deadline  time.Duration // a client waits no longer; whole milliseconds, 0: as long as the class has it
	Place     string        // file and line that declare it
	Why       []string      // which line decided what, in sentences
}

// Careful tells whether r asks for more care about repeats than o.
func (r *Route) Careful(o *Route) bool { return r.Repeat < o.Repeat }
