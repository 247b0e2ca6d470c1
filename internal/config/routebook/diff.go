package routebook

import (
	"fmt"
	"slices"
	"strings"
)

// Change is what a revision does to one request's route.
type Change struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Operation string `json:"operation"`
	Kind      string `json:"kind"` // added, gone, dearer, cheaper, costs otherwise, more careful, less careful, another class, another deadline
	Old       string `json:"old,omitempty"`
	New       string `json:"new,omitempty"`
}

func (c Change) String() string {
	s := fmt.Sprintf("%s: %s %s (%s)", c.Kind, c.Method, c.Path, c.Operation)
	if c.Old != "" || c.New != "" {
		s += ": " + c.Old + " -> " + c.New
	}
	return s
}

// Diff compares two books by method and shape of path, in the order of those.
func Diff(old, revised *Book) (list []Change) {
	type key struct{ shape, method string }
	index := func(b *Book) map[key]*Route {
		m := map[key]*Route{}
		for i := range b.routes {
			m[key{b.routes[i].shape(), b.routes[i].Method}] = &b.routes[i]
		}
		return m
	}
	was, is := index(old), index(revised)
	add := func(r *Route, kind, a, b string) {
		list = append(list, Change{r.Method, r.Template, r.Operation, kind, a, b})
	}
	for k, o := range was {
		n := is[k]
		if n == nil {
			add(o, "gone", "", "")
			continue
		}
		if o.Class != n.Class {
			add(n, "another class", o.Class, n.Class)
		}
		if n.Careful(o) {
			add(n, "more careful", o.Repeat.String(), n.Repeat.String())
		} else if o.Careful(n) {
			add(n, "less careful", o.Repeat.String(), n.Repeat.String())
		}
		if o.Deadline != n.Deadline {
			add(n, "another deadline", o.Deadline.String(), n.Deadline.String())
		}
		if o.Units != n.Units {
			kind := "costs otherwise"
			if o.Units.Param == "" && n.Units.Param == "" {
				kind = "dearer"
				if n.Units.Base < o.Units.Base {
					kind = "cheaper"
				}
			}
			if o.Units.String() != n.Units.String() {
				add(n, kind, o.Units.String(), n.Units.String())
			}
		}
	}
	for k, n := range is {
		if was[k] == nil {
			add(n, "added", "", "")
		}
	}
	slices.SortFunc(list, func(a, b Change) int {
		if c := strings.Compare(a.Path, b.Path); c != 0 {
			return c
		}
		if c := strings.Compare(a.Method, b.Method); c != 0 {
			return c
		}
		return strings.Compare(a.Kind, b.Kind)
	})
	return list
}

// String tells the units in words.
func (u Units) String() string {
	if u.Param == "" {
		return fmt.Sprintf("%g", u.Base)
	}
	return fmt.Sprintf("%g + %g for each started %d of %s, %g at most", u.Base, u.Each, u.Per, u.Param, u.Most)
}

// shape is the route's template without the names of its parameters.
func (r *Route) shape() string {
	segments, err := parseTemplate(r.Template)
	if err != nil {
		return r.Template
	}
	return shapeOf(segments)
}

// Review tells why a revision must not come into force unless an operator
// accepts it: it drops more than a share of the operations, or lets run again
// what must not have. Nothing to tell: it may.
func Review(old, revised *Book, dropShare float64) (why []string) {
	named := map[string]*Route{}
	for i := range old.routes {
		named[old.routes[i].Operation] = &old.routes[i]
	}
	for i := range revised.routes {
		n := &revised.routes[i]
		if o := named[n.Operation]; o != nil && o.Careful(n) && (o.Method != n.Method || o.shape() != n.shape()) {
			why = append(why, fmt.Sprintf("less careful: %s, now %s %s: %v -> %v", n.Operation, n.Method, n.Template, o.Repeat, n.Repeat))
		}
	}
	gone := 0
	for _, c := range Diff(old, revised) {
		switch c.Kind {
		case "gone":
			gone++
		case "less careful":
			why = append(why, c.String())
		}
	}
	if n := len(old.routes); n > 0 && float64(gone) > dropShare*float64(n) {
		why = append(why, fmt.Sprintf("it drops %d of %d operations; %.0f%% at most go without being accepted", gone, n, 100*dropShare))
	}
	return why
}
