package routebook

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Book finds the route of a request. It is safe for use by any number of
// goroutines.
type Book struct {
	Generation string // names the revision that it was compiled from
	Title      string // of the description; empty: routes by hand alone
	Version    string // of the description
	Keys       []KeyPlace
	routes     []Route
	warnings   Faults
	root       node
}

// KeyPlace is where a security scheme says that clients put their API key
// (OpenAPI 3.1, 4.8.27.1).
type KeyPlace struct {
	In   string // header, query or cookie
	Name string
}

// node is a place in the tree of segments: a match costs by the path's length
// and not by the number of routes.
type node struct {
	literals  map[string]*node
	templated branches
	methods   []method // of the paths that end here, sorted
}

type method struct {
	name  string
	route *Route
}

// Fault is something wrong with a route.
type Fault struct {
	Place, Operation, Text string
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s: operation %s: %s", f.Place, f.Operation, f.Text)
}

// Faults are all that is wrong with a book.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Compile makes a book. The error is of type Faults and holds all that is
// wrong: two operations of one name, two that take the same requests, methods
// and templates that can't be meant, units that are none.
func Compile(generation string, routes []Route) (*Book, error) {
	b := &Book{Generation: generation, routes: slices.Clone(routes)}
	var faults Faults
	named := map[string]*Route{}
	shapes := map[string]*Route{}
	for i := range b.routes {
		r := &b.routes[i]
		fault := func(format string, args ...any) {
			faults = append(faults, Fault{r.Place, r.Operation, fmt.Sprintf(format, args...)})
		}
		if o := named[r.Operation]; o != nil {
			fault("its name is that of the operation at %s", o.Place)
			continue
		}
		named[r.Operation] = r
		if !isMethod(r.Method) {
			fault("%q is no method", r.Method)
			continue
		}
		segments, err := parseTemplate(r.Template)
		if err != nil {
			fault("path %s: %v", r.Template, err)
			continue
		}
		if u := r.Units; !(u.Base >= 0) || !(u.Each >= 0) || !(u.Most > 0) || u.Param == "" && !(u.Base > 0 && u.Base <= u.Most) || u.Param != "" && u.Per < 1 {
			fault("units %+v can't be meant", u)
			continue
		}
		if d := r.Deadline; d < 0 || d%time.Millisecond != 0 {
			fault("a deadline of %v: whole milliseconds are told to clients and servers", d)
			continue
		}
		o := b.add(r, segments)
		shape := shapeOf(segments)
		switch first := shapes[shape]; {
		case o != nil && o.Template == r.Template:
			fault("%s %s is there already, at %s", r.Method, r.Template, o.Place)
		case o != nil:
			fault("%s %s takes the same requests as %s at %s", r.Method, r.Template, o.Template, o.Place)
		case first == nil:
			shapes[shape] = r
		case first.Template != r.Template:
			b.warnings = append(b.warnings, Fault{r.Place, r.Operation, fmt.Sprintf("path %s is path %s, at %s, with other names of its parameters",
				r.Template, first.Template, first.Place)})
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	b.root.index()
	return b, nil
}

func isMethod(m string) bool {
	for i := range len(m) {
		if m[i] < 'A' || m[i] > 'Z' {
			return false
		}
	}
	return len(m) > 0 && len(m) <= 16
}

// shapeOf is a template without the names of its parameters.
func shapeOf(segments []pattern) string {
	s := ""
	for i := range segments {
		s += "/" + segments[i].shape()
	}
	return s
}

// add enters a route and returns the one that is in its place.
func (b *Book) add(r *Route, segments []pattern) *Route {
	n := &b.root
	for i := range segments {
		if !segments[i].concrete() {
			n = n.templated.add(segments[i])
			continue
		}
		text := segments[i].first()
		if n.literals == nil {
			n.literals = map[string]*node{}
		}
		if n.literals[text] == nil {
			n.literals[text] = &node{}
		}
		n = n.literals[text]
	}
	i, there := slices.BinarySearchFunc(n.methods, r.Method, func(m method, name string) int { return strings.Compare(m.name, name) })
	if there {
		return n.methods[i].route
	}
	n.methods = slices.Insert(n.methods, i, method{r.Method, r})
	return nil
}

func (n *node) index() {
	for _, to := range n.literals {
		to.index()
	}
	n.templated.index()
	for i := range n.templated.list {
		n.templated.list[i].to.index()
	}
}

// Warnings are what a book's writer should look at, though nothing is unclear.
func (b *Book) Warnings() Faults { return b.warnings }

// Routes returns all routes, in the order in which they were declared.
func (b *Book) Routes() []Route { return b.routes }

// Found says what a request's method and path came to.
type Found int

// What a match can come to.
const (
	Matched  Found = iota
	NoPath         // 404
	NoMethod       // 405: the path is there with other methods
	BadPath        // 400: it has more than one reading
)

// Match finds the route of a request by method and path, without the query.
// From the left, a concrete segment goes before a templated one (OpenAPI 3.1,
// 4.8.8.2), and templated ones go in the order that pattern states, whatever
// the methods below. With NoMethod, at is for Allow. It allocates nothing.
func (b *Book) Match(m, path string) (r *Route, at Place, f Found) {
	if CheckPath(path) != nil {
		return nil, Place{}, BadPath
	}
	n := b.root.find(path[1:])
	if n == nil {
		return nil, Place{}, NoPath
	}
	for i := range n.methods {
		if n.methods[i].name == m {
			return n.methods[i].route, Place{n}, Matched
		}
	}
	return nil, Place{n}, NoMethod
}

// find follows a path; rest has no leading slash. A branch that ends nowhere
// is left for the next: no path visits a node twice.
func (n *node) find(rest string) *node {
	seg, after, more := strings.Cut(rest, "/")
	if next := n.literals[seg]; next != nil {
		if found := next.follow(after, more); found != nil {
			return found
		}
	}
	if seg == "" {
		return nil // a parameter is never empty
	}
	return n.templated.find(seg, after, more)
}

func (n *node) follow(after string, more bool) *node {
	switch {
	case more:
		return n.find(after)
	case len(n.methods) > 0:
		return n
	}
	return nil
}

// Place is where a path leads in a book.
type Place struct{ n *node }

// Allow lists the methods there, for the field Allow.
func (p Place) Allow() string {
	if p.n == nil {
		return ""
	}
	names := make([]string, len(p.n.methods))
	for i := range names {
		names[i] = p.n.methods[i].name
	}
	return strings.Join(names, ", ")
}
