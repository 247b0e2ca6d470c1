package openapi

import (
	"strings"

	"github.com/pb33f/go-yaml"
)

// part is what a place of a description is to routes. Schemas, examples,
// answers and prose decide none and are most of a large file: they are passed
// over while it is read.
type part int

const (
	dropped part = iota
	whole        // kept with all below it
	document
	info
	pathMap
	pathItem
	operation
	parameterList
	parameter
	components
	parameterMap
	pathItemMap
)

// below tells what the value of a key is.
func (p part) below(key string) part {
	if strings.HasPrefix(key, markPrefix) {
		switch p {
		case document, pathItem, operation:
			return whole
		}
		return dropped
	}
	switch p {
	case whole:
		return whole
	case document:
		switch key {
		case "openapi", "servers", "security", "swagger":
			return whole
		case "info":
			return info
		case "paths":
			return pathMap
		case "components":
			return components
		}
	case info:
		if key == "title" || key == "version" {
			return whole
		}
	case pathMap, pathItemMap:
		if !strings.HasPrefix(key, "x-") {
			return pathItem
		}
	case pathItem:
		switch key {
		case "$ref", "servers":
			return whole
		case "parameters":
			return parameterList
		case "get", "put", "post", "delete", "options", "head", "patch", "trace":
			return operation
		}
	case operation:
		switch key {
		case "$ref", "operationId", "servers", "security":
			return whole
		case "parameters":
			return parameterList
		}
	case parameter:
		switch key {
		case "$ref", "name", "in", "required":
			return whole
		}
	case components:
		switch key {
		case "parameters":
			return parameterMap
		case "pathItems":
			return pathItemMap
		case "securitySchemes":
			return whole
		}
	case parameterMap:
		return parameter
	}
	return dropped
}

// element tells what the elements of a list are.
func (p part) element() part {
	switch p {
	case whole:
		return whole
	case parameterList:
		return parameter
	}
	return dropped
}

// reference is a $ref that was read, wherever it stands.
type reference struct {
	to   string
	line int
	kept bool // in a part that is kept: the library follows it
}

// trimmer collects what remains of a description while one of its readers
// walks it.
type trimmer struct {
	l       *loader
	values  int
	depth   int
	refs    []reference
	targets map[string]bool // pointers to what stands up to three levels deep
}

// mostRefs bounds the references that are remembered: those beyond are not
// checked for where they lead.
const mostRefs = 200_000

func newTrimmer(l *loader) *trimmer { return &trimmer{l: l, targets: map[string]bool{}} }

// enter counts a value; it is false, with a fault, beyond the bounds.
func (t *trimmer) enter(line int) bool {
	t.values++
	t.depth++
	b := t.l.bounds
	switch {
	case t.depth > b.Depth:
		t.l.fault(line, "", "nested deeper than %d", b.Depth)
	case t.values > b.Values:
		t.l.fault(line, "", "over %d values, with aliases followed", b.Values)
	default:
		return true
	}
	return false
}

func (t *trimmer) leave() { t.depth-- }

// key takes in a key and what it leads to; at is the pointer of the object.
func (t *trimmer) key(p part, at, key string, line int) {
	if t.depth <= targetDepth {
		t.targets[at+"/"+escape(key)] = true
	}
	if p != dropped || !strings.HasPrefix(key, markPrefix) {
		return
	}
	t.l.warn(line, "", "%s stands where it decides nothing", key)
}

// targetDepth is how deep the keys are remembered that references may lead to:
// #/components/schemas/Name.
const targetDepth = 3

// reference takes in a $ref.
func (t *trimmer) reference(to string, line int, p part) {
	if len(t.refs) < mostRefs {
		t.refs = append(t.refs, reference{to, line, p != dropped})
	}
}

// leads tells whether a reference leads to something in the file, as far down
// as keys are remembered.
func (t *trimmer) leads(to string) bool {
	if !strings.HasPrefix(to, "#") {
		return false
	}
	if to == "#" || to == "#/" {
		return true
	}
	parts := strings.Split(strings.TrimPrefix(to, "#/"), "/")
	if len(parts) > targetDepth {
		parts = parts[:targetDepth]
	}
	return t.targets["/"+strings.Join(parts, "/")] || t.targets[unescaped(parts)]
}

// unescaped is a pointer some of whose characters were written with percent
// signs (RFC 6901, 6).
func unescaped(parts []string) string {
	s := ""
	for _, p := range parts {
		for _, e := range [][2]string{{"%7B", "{"}, {"%7D", "}"}, {"%7b", "{"}, {"%7d", "}"}, {"%20", " "}, {"%25", "%"}} {
			p = strings.ReplaceAll(p, e[0], e[1])
		}
		s += "/" + p
	}
	return s
}

// escape writes a key as a part of a pointer (RFC 6901, 3).
func escape(key string) string {
	if !strings.ContainsAny(key, "~/") {
		return key
	}
	return strings.ReplaceAll(strings.ReplaceAll(key, "~", "~0"), "/", "~1")
}

// check judges the references. Those in parts that no route rests on may lead
// nowhere; a path item that does is a fault. A parameter that leads out of the
// file, or nowhere, is taken out: units that need it say so themselves.
func (t *trimmer) check(root *yaml.Node) {
	for _, r := range t.refs {
		switch {
		case r.kept:
		case !strings.HasPrefix(r.to, "#"):
			t.l.warn(r.line, "", "the reference %q leads out of the file; no route depends on it", r.to)
		case !t.leads(r.to):
			t.l.warn(r.line, "", "the reference %q leads to nothing; no route depends on it", r.to)
		}
	}
	doc := content(root)
	t.items(child(doc, "paths"))
	t.items(child(child(doc, "components"), "pathItems"))
	t.parameters(child(child(doc, "components"), "parameters"))
	for _, scheme := range values(child(child(doc, "components"), "securitySchemes")) {
		t.followed(scheme)
	}
}

// followed finds a reference that can't be followed where a route rests on it.
func (t *trimmer) followed(n *yaml.Node) {
	switch ref := child(n, "$ref"); {
	case ref == nil:
	case !strings.HasPrefix(ref.Value, "#"):
		t.l.fault(ref.Line, "", "the reference %q leads out of the file", ref.Value)
	case !t.leads(ref.Value):
		t.l.fault(ref.Line, "", "the reference %q leads to nothing", ref.Value)
	}
}

// items checks path items.
func (t *trimmer) items(m *yaml.Node) {
	for _, item := range values(m) {
		t.followed(item)
		t.parameters(child(item, "parameters"))
		for _, op := range values(item) {
			t.followed(op) // some write a reference for an operation, though that is not in the specification
			t.parameters(child(op, "parameters"))
		}
	}
}

// parameters takes out of a list or map the parameters that can't be followed.
func (t *trimmer) parameters(list *yaml.Node) {
	if list == nil {
		return
	}
	step := 1
	if list.Kind == yaml.MappingNode {
		step = 2
	}
	kept := list.Content[:0]
	for i := 0; i+step <= len(list.Content); i += step {
		if ref := child(list.Content[i+step-1], "$ref"); ref != nil && !t.leads(ref.Value) {
			t.l.warn(ref.Line, "", "the parameter %q can't be followed; no route's path depends on it", ref.Value)
			continue
		}
		kept = append(kept, list.Content[i:i+step]...)
	}
	list.Content = kept
}

func content(n *yaml.Node) *yaml.Node {
	if n != nil && n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		return n.Content[0]
	}
	return n
}

// child returns the value of a key; nil: there is none.
func child(n *yaml.Node, key string) *yaml.Node {
	if n == nil || n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}

func values(n *yaml.Node) (list []*yaml.Node) {
	if n == nil || n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 1; i < len(n.Content); i += 2 {
		list = append(list, n.Content[i])
	}
	return list
}
