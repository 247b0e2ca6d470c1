package archdiagram

import (
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Program is one that runs in a deployment, or is used with it.
type Program struct {
	Name   string
	On     string   // class of machine; empty: wherever an operator is
	Serves []string // of what clients and operators call
}

// Package is one of the code's own.
type Package struct {
	Path  string   // from the repository's root
	Says  string   // first sentence of its doc
	Needs []string // paths of own packages that it imports
	Used  []string // programs that it is part of, by name
	Depth int      // longest way from a program, which has 0
}

// Tied is all programs with the packages that they are made of.
type Tied struct {
	Programs []Program
	Packages map[string]*Package
}

// Read reads the repository at root: roles from its deploy file, and what these and the others named are made of.
func Read(root string, others ...string) (*Tied, error) {
	t := &Tied{Packages: map[string]*Package{}}
	var file struct {
		Roles map[string]struct {
			Run    string
			On     string
			Serves []string
		}
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err == nil {
		err = toml.Unmarshal(text, &file)
	}
	if err != nil {
		return nil, errors.Wrap(err, "archdiagram: deploy/system.toml")
	}
	for _, name := range slices.Sorted(maps.Keys(file.Roles)) {
		r := file.Roles[name]
		run := strings.Fields(r.Run)
		if len(run) == 0 {
			return nil, errors.Errorf("archdiagram: deploy/system.toml: roles.%s.run: missing", name)
		}
		t.Programs = append(t.Programs, Program{path.Base(run[0]), r.On, r.Serves})
	}
	for _, name := range others {
		t.Programs = append(t.Programs, Program{Name: name})
	}
	module, err := moduleOf(root)
	if err != nil {
		return nil, err
	}
	for _, p := range t.Programs {
		if err := t.tie(root, module, path.Join("cmd", p.Name), p.Name, 0); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func moduleOf(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "go.mod"))
	if err != nil {
		return "", errors.Wrap(err, "archdiagram")
	}
	first, _, _ := strings.Cut(string(text), "\n")
	module, ok := strings.CutPrefix(first, "module ")
	if !ok {
		return "", errors.New("archdiagram: go.mod:1: no module")
	}
	return strings.TrimSpace(module), nil
}

// tie adds a package and what it needs to a program.
func (t *Tied) tie(root, module, dir, program string, depth int) error {
	p := t.Packages[dir]
	if p == nil {
		p = &Package{Path: dir}
		if err := p.read(root, module); err != nil {
			return err
		}
		t.Packages[dir] = p
	}
	known := slices.Contains(p.Used, program)
	if known && p.Depth >= depth {
		return nil
	}
	if !known {
		p.Used = append(p.Used, program)
	}
	p.Depth = max(p.Depth, depth)
	for _, need := range p.Needs {
		if err := t.tie(root, module, need, program, p.Depth+1); err != nil {
			return err
		}
	}
	return nil
}

// read finds a package's doc and imports in its files, those of tests left out.
func (p *Package) read(root, module string) error {
	files, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(p.Path), "*.go"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("archdiagram: %s: no Go files", p.Path)
	}
	set := token.NewFileSet()
	needs := map[string]bool{}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(set, name, nil, parser.ImportsOnly|parser.ParseComments)
		if err != nil {
			return errors.Wrap(err, "archdiagram")
		}
		if text := f.Doc.Text(); text != "" && p.Says == "" {
			p.Says = sentence(text)
		}
		for _, i := range f.Imports {
			whole, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return errors.Wrap(err, "archdiagram")
			}
			if own, ok := strings.CutPrefix(whole, module+"/"); ok {
				needs[own] = true
			}
		}
	}
	p.Needs = slices.Sorted(maps.Keys(needs))
	return nil
}

// sentence is the first one of a doc, without the words that name what it is about.
func sentence(doc string) string {
	text := strings.Join(strings.Fields(doc), " ")
	if i := strings.Index(text, ". "); i >= 0 {
		text = text[:i]
	}
	words := strings.SplitN(strings.TrimSuffix(text, "."), " ", 3)
	if len(words) == 3 && (words[0] == "Package" || words[0] == "Command") {
		return words[2]
	}
	return text
}

// Where page and picture are, from the repository's root, and the program that no machine of a deployment runs.
const (
	PictureName = "architecture.svg"
	PicturePath = "docs/operators/" + PictureName
	PagePath    = "docs/operators/architecture.md"
	Operators   = "pepperctl"
)
