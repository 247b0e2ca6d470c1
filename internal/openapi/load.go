package openapi

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pb33f/go-yaml"
	"github.com/pb33f/libopenapi"
	"github.com/pb33f/libopenapi/datamodel"
	v3 "github.com/pb33f/libopenapi/datamodel/low/v3"

	"pepperfall.example/pepperfall/internal/conffile"
	"pepperfall.example/pepperfall/internal/routebook"
)

// Bounds of a description. A file beyond them ends in an error before it is
// read whole.
const (
	MostBytes   = 8 << 20
	MostDepth   = 100    // of nested values
	MostNodes   = 500000 // values, with aliases followed
	MostAliases = 1000
)

// Defaults say what holds for operations that declare nothing.
type Defaults struct {
	LookupClass string  // of operations marked as safe to repeat
	LoanClass   string  // of all others
	Units       float64 // of each
	MostUnits   float64 // the settings' largest
}

// KeyPlace is where a security scheme says that clients put their API key.
type KeyPlace struct {
	In   string // header, query or cookie
	Name string
}

// Description is what an OpenAPI description says of routes.
type Description struct {
	Title, Version string
	Routes         []routebook.Route
	Keys           []KeyPlace
}

// loader reads one description.
type loader struct {
	file   string
	def    Defaults
	out    Description
	faults conffile.Faults
	marks  marks // of the whole document
}

func (l *loader) fault(line int, where, format string, args ...any) {
	l.faults = append(l.faults, conffile.Fault{File: l.file, Line: line, Key: where, Text: fmt.Sprintf(format, args...)})
}

var lineOf = regexp.MustCompile(`line (\d+)`)

// Load reads a description's text. The error is of type conffile.Faults, whose
// keys are operations, and holds all that can be told at once.
func Load(file string, text []byte, def Defaults) (*Description, error) {
	l := &loader{file: file, def: def}
	if !l.bounded(text) {
		return nil, l.faults
	}
	config := datamodel.NewDocumentConfiguration()
	config.AllowFileReferences, config.AllowRemoteReferences = false, false
	doc, err := libopenapi.NewDocumentWithConfiguration(text, config)
	if err != nil {
		l.library(err)
		return nil, l.faults
	}
	defer doc.Release()
	if v := doc.GetVersion(); !strings.HasPrefix(v, "3.0") && !strings.HasPrefix(v, "3.1") {
		l.fault(0, "", "OpenAPI version %q: 3.0 and 3.1 are read", v)
		return nil, l.faults
	}
	model, err := doc.BuildV3Model()
	if err != nil || model == nil {
		l.library(err)
		return nil, l.faults
	}
	l.document(model.Model.GoLow())
	if len(l.faults) > 0 {
		slices.SortStableFunc(l.faults, func(a, b conffile.Fault) int { return a.Line - b.Line })
		return nil, l.faults
	}
	return &l.out, nil
}

// library turns the library's errors into faults.
func (l *loader) library(err error) {
	if err == nil {
		l.fault(0, "", "the description can't be read")
		return
	}
	list := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		list = joined.Unwrap()
	}
	for _, e := range list {
		line := 0
		if m := lineOf.FindStringSubmatch(e.Error()); m != nil {
			line, _ = strconv.Atoi(m[1])
		}
		l.fault(line, "", "%v", e)
	}
}

// bounded checks the text's size, depth and aliases, and that no reference
// leads out of it.
func (l *loader) bounded(text []byte) bool {
	if len(text) > MostBytes {
		l.fault(0, "", "%d bytes; %d at most are read", len(text), MostBytes)
		return false
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		l.library(err)
		return false
	}
	if len(root.Content) == 0 {
		l.fault(0, "", "empty")
		return false
	}
	b := bounds{l: l, within: map[*yaml.Node]bool{}}
	b.walk(&root, 0)
	return len(l.faults) == 0
}

type bounds struct {
	l              *loader
	nodes, aliases int
	within         map[*yaml.Node]bool // the aliases that are being followed
}

var errBounds = errors.New("bounds")

func (b *bounds) walk(n *yaml.Node, depth int) error {
	b.nodes++
	switch {
	case depth > MostDepth:
		b.l.fault(n.Line, "", "nested deeper than %d", MostDepth)
		return errBounds
	case b.nodes > MostNodes:
		b.l.fault(n.Line, "", "over %d values, with aliases followed", MostNodes)
		return errBounds
	}
	if n.Kind == yaml.AliasNode {
		if b.aliases++; b.aliases > MostAliases {
			b.l.fault(n.Line, "", "over %d aliases", MostAliases)
			return errBounds
		}
		if b.within[n.Alias] {
			b.l.fault(n.Line, "", "an alias that holds itself")
			return errBounds
		}
		b.within[n.Alias] = true
		defer delete(b.within, n.Alias)
		return b.walk(n.Alias, depth+1)
	}
	seen := map[string]bool{}
	for i, c := range n.Content {
		if n.Kind == yaml.MappingNode && i%2 == 0 {
			if seen[c.Value] {
				b.l.fault(c.Line, "", "the key %q stands there twice", c.Value)
			}
			seen[c.Value] = true
			if v := n.Content[i+1]; c.Value == "$ref" && v.Kind == yaml.ScalarNode && !strings.HasPrefix(v.Value, "#") {
				b.l.fault(v.Line, "", "the reference %q leads out of the file", v.Value)
			}
		}
		if err := b.walk(c, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// document reads the parts that routes follow from.
func (l *loader) document(d *v3.Document) {
	if d.Info.Value != nil {
		l.out.Title, l.out.Version = d.Info.Value.Title.Value, d.Info.Value.Version.Value
	}
	l.marks = l.marksOf("the document", d.Extensions, marks{})
	bases := l.bases(d.Servers.Value)
	if c := d.Components.Value; c != nil && c.SecuritySchemes.Value != nil {
		for _, s := range c.SecuritySchemes.Value.FromOldest() {
			if s.Value != nil && s.Value.Type.Value == "apiKey" {
				l.out.Keys = append(l.out.Keys, KeyPlace{s.Value.In.Value, s.Value.Name.Value})
			}
		}
	}
	if d.Paths.Value == nil || d.Paths.Value.PathItems == nil || d.Paths.Value.PathItems.Len() == 0 {
		l.fault(0, "", "no operations: a book of none would turn every request away")
		return
	}
	for key, item := range d.Paths.Value.PathItems.FromOldest() {
		l.path(key.Value, line(key.KeyNode), item.Value, bases)
	}
	if len(l.out.Routes) == 0 && len(l.faults) == 0 {
		l.fault(0, "", "no operations: a book of none would turn every request away")
	}
}

func line(n *yaml.Node) int {
	if n == nil {
		return 0
	}
	return n.Line
}
