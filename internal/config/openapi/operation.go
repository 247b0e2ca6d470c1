package openapi

import (
	"net/url"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pb33f/go-yaml"
	"github.com/pb33f/libopenapi/datamodel/low"
	v3 "github.com/pb33f/libopenapi/datamodel/low/v3"
	"github.com/pb33f/libopenapi/orderedmap"

	"pepperfall.example/pepperfall/internal/config/routebook"
)

// mostDeadline is the longest that an operation may give its clients, in
// milliseconds.
const mostDeadline = 600_000

// The extensions, at the document, a path or an operation; the nearest counts.
const (
	markPrefix   = "x-pepperfall-"
	classMark    = markPrefix + "class"
	unitsMark    = markPrefix + "units"
	repeatMark   = markPrefix + "repeat"
	deadlineMark = markPrefix + "deadline-ms"
)

type extensions = *orderedmap.Map[low.KeyReference[string], low.ValueReference[*yaml.Node]]

// mark is a value and where it was said.
type mark[T any] struct {
	value T
	line  int // 0: nobody said it
	at    string
}

// marks are the extensions in force at one place.
type marks struct {
	class  mark[string]
	units  mark[routebook.Units]
	repeat mark[routebook.Repeat]
	limit  mark[time.Duration]
}

// marksOf reads the extensions of a place over those around it.
func (l *loader) marksOf(at string, list extensions, around marks) marks {
	m := around
	if list == nil {
		return m
	}
	for key, v := range list.FromOldest() {
		n := v.Value
		if n == nil {
			continue
		}
		ln := l.line(n)
		switch key.Value {
		case classMark:
			if n.Kind != yaml.ScalarNode || n.Value == "" {
				l.fault(ln, at, "%s: not a name", classMark)
				continue
			}
			m.class = mark[string]{n.Value, ln, at}
		case repeatMark:
			r, err := routebook.ParseRepeat(n.Value)
			if err != nil {
				l.fault(ln, at, "%s: %v", repeatMark, err)
				continue
			}
			m.repeat = mark[routebook.Repeat]{r, ln, at}
		case unitsMark:
			if u, ok := l.units(at, n); ok {
				m.units = mark[routebook.Units]{u, ln, at}
			}
		case deadlineMark:
			ms, err := strconv.Atoi(n.Value)
			if err != nil || ms < 1 || ms > mostDeadline {
				l.fault(ln, at, "%s: %q is no whole number from 1 to %d", deadlineMark, n.Value, mostDeadline)
				continue
			}
			m.limit = mark[time.Duration]{time.Duration(ms) * time.Millisecond, ln, at}
		default:
			if strings.HasPrefix(key.Value, markPrefix) {
				l.fault(l.line(key.KeyNode), at, "unknown extension %s", key.Value)
			}
		}
	}
	return m
}

// units reads a number, or an object of base, parameter, per, each and most.
func (l *loader) units(at string, n *yaml.Node) (routebook.Units, bool) {
	u := routebook.Units{Most: l.def.MostUnits}
	if n.Kind == yaml.ScalarNode {
		if err := n.Decode(&u.Base); err != nil || !(u.Base > 0 && u.Base <= l.def.MostUnits) {
			l.fault(l.line(n), at, "%s: %q is no number above 0 and up to %v", unitsMark, n.Value, l.def.MostUnits)
			return u, false
		}
		return u, true
	}
	if n.Kind != yaml.MappingNode {
		l.fault(l.line(n), at, "%s: neither a number nor an object", unitsMark)
		return u, false
	}
	u.Base, u.Per, u.Each = 0, 1, 1
	ok := true
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		var err error
		switch k.Value {
		case "base":
			err = v.Decode(&u.Base)
		case "parameter":
			err = v.Decode(&u.Param)
		case "per":
			err = v.Decode(&u.Per)
		case "each":
			err = v.Decode(&u.Each)
		case "most":
			err = v.Decode(&u.Most)
		default:
			l.fault(l.line(k), at, "%s: unknown key %q", unitsMark, k.Value)
			ok = false
		}
		if err != nil {
			l.fault(l.line(v), at, "%s: %s: %q can't be read", unitsMark, k.Value, v.Value)
			ok = false
		}
	}
	switch {
	case !ok:
	case !(u.Base >= 0 && u.Each >= 0 && u.Base+u.Each > 0) || u.Per < 1 || u.Param == "":
		l.fault(l.line(n), at, "%s: needs a parameter, per from 1, and base or each above 0", unitsMark)
		ok = false
	case !(u.Most > 0 && u.Most <= l.def.MostUnits):
		l.fault(l.line(n), at, "%s: most is %v, the settings' largest is %v", unitsMark, u.Most, l.def.MostUnits)
		ok = false
	}
	return u, ok
}

// bases are the paths of the servers, without hosts: the edge node stands for
// all of them. None declared is the root (OpenAPI 3.1, 4.8.1).
func (l *loader) bases(list []low.ValueReference[*v3.Server]) (out []string) {
	for _, s := range list {
		if s.Value == nil {
			continue
		}
		at := s.Value.URL.Value
		ln := l.line(s.Value.URL.ValueNode)
		if vars := s.Value.Variables.Value; vars != nil {
			for k, v := range vars.FromOldest() {
				at = strings.ReplaceAll(at, "{"+k.Value+"}", v.Value.Default.Value)
			}
		}
		u, err := url.Parse(at)
		if err != nil || strings.ContainsAny(at, "{}") {
			l.fault(ln, "servers", "%q is no URL", s.Value.URL.Value)
			continue
		}
		base := strings.TrimSuffix(u.EscapedPath(), "/")
		if base != "" && base[0] != '/' {
			base = "/" + base
		}
		seen := false
		for _, b := range out {
			seen = seen || b == base
		}
		if !seen {
			out = append(out, base)
		}
	}
	if len(out) == 0 {
		out = []string{""}
	}
	return out
}

// path reads the operations of a path.
func (l *loader) path(template string, at int, item *v3.PathItem, bases []string) {
	if item == nil {
		l.fault(at, template, "a path without a meaning")
		return
	}
	around := l.marksOf(template, item.Extensions, l.marks)
	if len(item.Servers.Value) > 0 {
		bases = l.bases(item.Servers.Value)
	}
	for _, o := range []struct {
		method string
		op     low.NodeReference[*v3.Operation]
	}{{"GET", item.Get}, {"PUT", item.Put}, {"POST", item.Post}, {"DELETE", item.Delete}, {"OPTIONS", item.Options},
		{"HEAD", item.Head}, {"PATCH", item.Patch}, {"TRACE", item.Trace}} {
		if o.op.Value != nil {
			l.operation(o.method, template, l.line(o.op.KeyNode), o.op.Value, item, around, bases)
		}
	}
}

// operation makes the routes of an operation, one for each base path.
func (l *loader) operation(method, template string, at int, op *v3.Operation, item *v3.PathItem, around marks, bases []string) {
	name := op.OperationId.Value
	if name == "" {
		name = method + " " + template
	}
	m := l.marksOf(name, op.Extensions, around)
	if len(op.Servers.Value) > 0 {
		bases = l.bases(op.Servers.Value)
	}
	r := routebook.Route{Operation: name, Method: method, Place: l.place(at), Units: routebook.Units{Base: l.def.Units, Most: l.def.MostUnits}}
	say := func(line int, where, what string) {
		if line == 0 {
			r.Why = append(r.Why, what)
			return
		}
		r.Why = append(r.Why, what+" ("+l.place(line)+", "+where+")")
	}
	// What is not marked as safe to repeat is a loan request, whatever its method.
	r.Repeat, r.Class = routebook.Never, l.def.LoanClass
	if m.repeat.line > 0 {
		r.Repeat = m.repeat.value
		say(m.repeat.line, m.repeat.at, "repeat is "+r.Repeat.String())
	} else {
		say(0, "", "repeat is never: nothing declares it safe")
	}
	if r.Repeat == routebook.Safe {
		r.Class = l.def.LookupClass
	}
	switch {
	case m.class.line == 0:
		say(0, "", "class is "+r.Class+": that of what repeats so, by the operator file")
	case r.Repeat != routebook.Safe && m.class.value == l.def.LookupClass:
		l.fault(m.class.line, name, "%s: %s is a class of what is safe to repeat, and the operation is not marked so", classMark, m.class.value)
	default:
		r.Class = m.class.value
		say(m.class.line, m.class.at, "class is "+r.Class)
	}
	if m.units.line > 0 {
		r.Units = m.units.value
		say(m.units.line, m.units.at, "units")
		if p := r.Units.Param; p != "" && !l.declares(op, item, p) {
			l.fault(m.units.line, name, "%s: the query parameter %q is not declared here", unitsMark, p)
		}
	} else {
		say(0, "", "units are the operator file's")
	}
	if m.limit.line > 0 {
		r.Deadline = m.limit.value
		say(m.limit.line, m.limit.at, "deadline is "+r.Deadline.String())
	}
	for i, b := range bases {
		c := r
		c.Template = b + template
		if i > 0 {
			c.Operation += " at " + b
		}
		l.out.Routes = append(l.out.Routes, c)
	}
}

// declares tells whether a query parameter is declared for an operation.
func (l *loader) declares(op *v3.Operation, item *v3.PathItem, name string) bool {
	for _, list := range [][]low.ValueReference[*v3.Parameter]{op.Parameters.Value, item.Parameters.Value} {
		for _, p := range list {
			if p.Value != nil && p.Value.In.Value == "query" && p.Value.Name.Value == name {
				return true
			}
		}
	}
	return false
}

// place names a line of the description, wherever that lies: equal text gives
// an equal book.
func (l *loader) place(line int) string { return filepath.Base(l.file) + ":" + strconv.Itoa(line) }
