package conffile

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File string
	Line int    // from 1; 0: the file as a whole
	Key  string // dotted; empty: none in particular
	Text string
}

func (f Fault) Error() string {
	s := f.File
	if f.Line > 0 {
		s += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		s += ": " + f.Key
	}
	return s + ": " + f.Text
}

// Faults are all that is wrong with one or several files, in the order of
// their lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Err is nil when nothing is wrong.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		if a.File != b.File {
			return strings.Compare(a.File, b.File)
		}
		return a.Line - b.Line
	})
}
