package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"pepperfall.example/pepperfall/internal/config/bookfile"
	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/openapi"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/config/routebook"
)

type routesCommand struct {
	Check   routesCheck   `cmd:"" help:"Read a description and name every fault."`
	List    routesList    `cmd:"" help:"List the routes of a description."`
	Explain routesExplain `cmd:"" help:"Tell what a request costs, whether it may run again, and which line decided."`
	Diff    routesDiff    `cmd:"" help:"Compare two revisions of a description."`
	Compile routesCompile `cmd:"" help:"Write the compiled book of a description."`
	Pending routesPending `cmd:"" help:"Tell which revision of a fleet's book waits to be accepted, and why."`
}

// Help shows an example.
func (routesCommand) Help() string {
	return "Example:\n  pepperfall routes explain catalogue.yaml GET /v1/holdings?limit=20"
}

// source is what a book is read from, and what holds where nothing is said.
type source struct {
	Operator  string  `type:"path" placeholder:"FILE" help:"Operator file whose section routes holds defaults, bounds and routes by hand."`
	Base      string  `type:"path" placeholder:"DIR" help:"Folder that the operator file's paths are relative to; else its own."`
	MostUnits float64 `default:"6" help:"The settings' largest."`
	Strict    bool    `help:"Make faults of warnings."`
}

// load reads the operator file, or takes the defaults for a description of no
// installation. file goes before what the operator file names.
func (d *source) load(file string) (l *operator.Loaded, err error) {
	l = &operator.Loaded{File: operator.Default(), Path: file}
	if d.Operator != "" {
		if l, err = operator.Load(d.Operator); err != nil {
			return nil, err
		}
		if d.Base != "" {
			l.Path = filepath.Join(d.Base, filepath.Base(d.Operator))
		}
	}
	l.Routes.Strict = l.Routes.Strict || d.Strict
	if file != "" {
		l.Routes.Book, l.Routes.Description = "", file
	}
	if !l.Routes.On() {
		return nil, errors.New("neither a description nor an operator file with routes")
	}
	return l, nil
}

// read compiles a description, or decodes a book. Warnings go to standard error.
func (d *source) read(o output, file string) (*routebook.Book, error) {
	l, err := d.load(file)
	if err != nil {
		return nil, err
	}
	var text []byte
	if path := l.Source(); path != "" {
		if text, err = conffile.ReadUpTo(path, max(l.Routes.MostMB<<20, bookfile.MostBytes)); err != nil {
			return nil, err
		}
		if bookfile.Is(text) {
			return bookfile.Decode(text, bookfile.Full)
		}
	}
	return d.compile(o, l, text)
}

func (d *source) compile(o output, l *operator.Loaded, text []byte) (*routebook.Book, error) {
	book, warnings, err := openapi.Compile(l, text, d.MostUnits)
	for _, w := range warnings {
		fmt.Fprintln(o.err, "warning:", w)
	}
	return book, err
}

// faulty prints what is wrong with a file and gives the exit code.
func faulty(o output, err error) error {
	fmt.Fprintln(o.err, err)
	return code(exitUsage)
}

type routesCheck struct {
	File   string `arg:"" type:"path" help:"OpenAPI description, or compiled book."`
	source `embed:""`
}

// Run reads the description.
func (c *routesCheck) Run(o output) error {
	book, err := c.read(o, c.File)
	if err != nil {
		return faulty(o, err)
	}
	fmt.Fprintf(o.out, "%s: %s %s, %d routes, no fault\n", c.File, book.Title, book.Version, len(book.Routes()))
	return nil
}

type routesList struct {
	File   string `arg:"" type:"path" help:"OpenAPI description, or compiled book."`
	source `embed:""`
}

// Run prints a table.
func (c *routesList) Run(o output) error {
	book, err := c.read(o, c.File)
	if err != nil {
		return faulty(o, err)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "METHOD\tPATH\tCLASS\tUNITS\tREPEAT\tOPERATION")
	for _, r := range book.Routes() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Method, r.Template, r.Class, r.Units, r.Repeat, r.Operation)
	}
	return w.Flush()
}

type routesExplain struct {
	File   string `arg:"" type:"path" help:"OpenAPI description, or compiled book."`
	Method string `arg:"" help:"Method."`
	Path   string `arg:"" help:"Path, with a query if there is one."`
	source `embed:""`
}

// Run explains one request.
func (c *routesExplain) Run(o output) error {
	book, err := c.read(o, c.File)
	if err != nil {
		return faulty(o, err)
	}
	path, query, _ := strings.Cut(c.Path, "?")
	r, at, found := book.Match(c.Method, path)
	switch found {
	case routebook.BadPath:
		return errors.New("400: " + routebook.CheckPath(path).Error())
	case routebook.NoPath:
		return errors.New("404: no route has this path")
	case routebook.NoMethod:
		return errors.New("405: the path is there for " + at.Allow())
	}
	fmt.Fprintf(o.out, "%s %s\noperation  %s\ndeclared   %s\nclass      %s\nunits      %v of this request, by %s\nrepeat     %s\n",
		r.Method, r.Template, r.Operation, r.Place, r.Class, r.Units.Of(query), r.Units, r.Repeat)
	for _, why := range r.Why {
		fmt.Fprintf(o.out, "  %s\n", why)
	}
	return nil
}

type routesDiff struct {
	Old    string `arg:"" type:"path" help:"Description in force."`
	New    string `arg:"" type:"path" help:"Its revision."`
	JSON   bool   `name:"json" help:"Print JSON."`
	source `embed:""`
}

// Run compares.
func (c *routesDiff) Run(o output) error {
	old, err := c.read(o, c.Old)
	if err != nil {
		return faulty(o, err)
	}
	revised, err := c.read(o, c.New)
	if err != nil {
		return faulty(o, err)
	}
	list := routebook.Diff(old, revised)
	if c.JSON {
		e := json.NewEncoder(o.out)
		e.SetIndent("", " ")
		return e.Encode(list)
	}
	for _, d := range list {
		fmt.Fprintln(o.out, d)
	}
	fmt.Fprintf(o.out, "%d changes\n", len(list))
	return nil
}
