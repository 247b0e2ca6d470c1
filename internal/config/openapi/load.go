package openapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pb33f/go-yaml"
	"github.com/pb33f/libopenapi"
	"github.com/pb33f/libopenapi/datamodel"
	v3 "github.com/pb33f/libopenapi/datamodel/low/v3"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/routebook"
)

// Bounds of a description. A file beyond them ends in an error before it is
// read whole.
type Bounds struct {
	Bytes   int
	Depth   int // of nested values
	Values  int // with aliases followed
	Aliases int // followed
}

// DefaultBounds let the largest descriptions through that are published: some
// have 14 MB.
func DefaultBounds() Bounds {
	return Bounds{Bytes: 32 << 20, Depth: 100, Values: 5_000_000, Aliases: 10_000}
}

// Defaults say what holds for operations that declare nothing.
type Defaults struct {
	LookupClass string  // of operations marked as safe to repeat
	LoanClass   string  // of all others
	Units       float64 // of each
	MostUnits   float64 // the settings' largest
}

// Description is what an OpenAPI description says of routes.
type Description struct {
	Title, Version string
	Routes         []routebook.Route
	Keys           []routebook.KeyPlace
	Warnings       conffile.Faults // what no route rests on
}

// loader reads one description.
type loader struct {
	file     string
	def      Defaults
	bounds   Bounds
	out      Description
	faults   conffile.Faults
	warnings int
	lines    []int // of the text, by those of what remains of it
	marks    marks // of the whole document
}

func (l *loader) fault(line int, where, format string, args ...any) {
	l.faults = append(l.faults, conffile.Fault{File: l.file, Line: line, Key: where, Text: fmt.Sprintf(format, args...)})
}

// mostWarnings are told one by one; the others are counted.
const mostWarnings = 100

func (l *loader) warn(line int, where, format string, args ...any) {
	if l.warnings++; l.warnings <= mostWarnings {
		l.out.Warnings = append(l.out.Warnings, conffile.Fault{File: l.file, Line: line, Key: where, Text: fmt.Sprintf(format, args...)})
	}
}

// at is the line of the text that a line of what remains of it came from.
func (l *loader) at(line int) int {
	if line > 0 && line < len(l.lines) {
		return l.lines[line]
	}
	return 0
}

var lineOf = regexp.MustCompile(`line (\d+)`)

// Load reads a description's text. The error is of type conffile.Faults, whose
// keys are operations, and holds all that can be told at once. What no route,
// cost or repeat rests on makes no fault but a warning.
func Load(file string, text []byte, def Defaults, b Bounds) (*Description, error) {
	l := &loader{file: file, def: def, bounds: b}
	rest := l.trim(text)
	if len(l.faults) > 0 {
		return nil, l.sorted()
	}
	config := datamodel.NewDocumentConfiguration()
	config.AllowFileReferences, config.AllowRemoteReferences = false, false
	config.Logger = slog.New(slog.DiscardHandler) // what it has to say comes back as errors
	doc, err := libopenapi.NewDocumentWithConfiguration(rest, config)
	if err != nil {
		l.library(err)
		return nil, l.sorted()
	}
	defer doc.Release()
	if v := doc.GetVersion(); !strings.HasPrefix(v, "3.0") && !strings.HasPrefix(v, "3.1") {
		l.fault(0, "", "OpenAPI version %q: 3.0 and 3.1 are read", v)
		return nil, l.faults
	}
	model, err := doc.BuildV3Model()
	if err != nil || model == nil {
		l.library(err)
		return nil, l.sorted()
	}
	l.document(model.Model.GoLow())
	if len(l.faults) > 0 {
		return nil, l.sorted()
	}
	if n := l.warnings - mostWarnings; n > 0 {
		l.out.Warnings = append(l.out.Warnings, conffile.Fault{File: l.file, Text: fmt.Sprintf("%d warnings more", n)})
	}
	return &l.out, nil
}

func (l *loader) sorted() conffile.Faults {
	slices.SortStableFunc(l.faults, func(a, b conffile.Fault) int { return a.Line - b.Line })
	return l.faults
}

// trim reads a text and writes anew what routes may rest on, for the library:
// the rest is most of a large description.
func (l *loader) trim(text []byte) []byte {
	if len(text) > l.bounds.Bytes {
		l.fault(0, "", "%d bytes; %d at most are read", len(text), l.bounds.Bytes)
		return nil
	}
	t := newTrimmer(l)
	var root *yaml.Node
	if begin := bytes.TrimLeft(text, " \t\r\n\ufeff"); len(begin) > 0 && begin[0] == '{' && json.Valid(text) {
		root = t.trimJSON(text)
	} else {
		root = t.trimYAML(text)
	}
	if root == nil || len(l.faults) > 0 {
		return nil
	}
	t.check(root)
	rest, err := yaml.Marshal(root)
	if err != nil {
		l.fault(0, "", "%v", err)
		return nil
	}
	var again yaml.Node
	if err := yaml.Unmarshal(rest, &again); err != nil {
		l.fault(0, "", "%v", err)
		return nil
	}
	l.lines = make([]int, bytes.Count(rest, []byte("\n"))+2)
	l.match(&again, root)
	return rest
}

// match finds which line of the text each line of what remains came from: that
// of the first word in it, a key as a rule.
func (l *loader) match(is, was *yaml.Node) {
	if is.Kind == yaml.ScalarNode && is.Line < len(l.lines) && l.lines[is.Line] == 0 {
		l.lines[is.Line] = was.Line
	}
	for i := range min(len(is.Content), len(was.Content)) {
		l.match(is.Content[i], was.Content[i])
	}
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
		text := lineOf.ReplaceAllStringFunc(e.Error(), func(s string) string {
			n, _ := strconv.Atoi(lineOf.FindStringSubmatch(s)[1])
			if len(l.lines) > 0 {
				n = l.at(n)
			}
			if line == 0 {
				line = n
			}
			return fmt.Sprintf("line %d", n)
		})
		l.fault(line, "", "%s", text)
	}
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
				l.out.Keys = append(l.out.Keys, routebook.KeyPlace{In: s.Value.In.Value, Name: s.Value.Name.Value})
			}
		}
	}
	if d.Paths.Value == nil || d.Paths.Value.PathItems == nil || d.Paths.Value.PathItems.Len() == 0 {
		l.fault(0, "", "no operations: a book of none would turn every request away")
		return
	}
	for key, item := range d.Paths.Value.PathItems.FromOldest() {
		l.path(key.Value, l.line(key.KeyNode), item.Value, bases)
	}
	if len(l.out.Routes) == 0 && len(l.faults) == 0 {
		l.fault(0, "", "no operations: a book of none would turn every request away")
	}
}

// line is where a node of what remains stands in the text.
func (l *loader) line(n *yaml.Node) int {
	if n == nil {
		return 0
	}
	return l.at(n.Line)
}
