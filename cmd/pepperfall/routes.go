package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"pepperfall.example/pepperfall/internal/openapi"
	"pepperfall.example/pepperfall/internal/routebook"
)

type routesCommand struct {
	Check   routesCheck   `cmd:"" help:"Read a description and name every fault."`
	List    routesList    `cmd:"" help:"List the routes of a description."`
	Explain routesExplain `cmd:"" help:"Tell what a request costs, whether it may run again, and which line decided."`
	Diff    routesDiff    `cmd:"" help:"Compare two revisions of a description."`
}

// Help shows an example.
func (routesCommand) Help() string {
	return "Example:\n  pepperfall routes explain catalogue.yaml GET /v1/holdings?limit=20"
}

// defaults are what holds for operations that declare nothing.
type defaults struct {
	LookupClass string  `default:"holdings-lookup" help:"Class of operations that are safe to repeat."`
	LoanClass   string  `default:"loan-request" help:"Class of all others."`
	Units       float64 `default:"1" help:"Units of an operation that declares none."`
	MostUnits   float64 `default:"6" help:"The settings' largest."`
}

func (d defaults) read(path string) (*openapi.Description, *routebook.Book, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if st.Size() > openapi.MostBytes {
		return nil, nil, fmt.Errorf("%s: %d bytes; %d at most are read", path, st.Size(), openapi.MostBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	desc, err := openapi.Load(path, text, openapi.Defaults{LookupClass: d.LookupClass, LoanClass: d.LoanClass, Units: d.Units, MostUnits: d.MostUnits})
	if err != nil {
		return nil, nil, err
	}
	book, err := routebook.Compile(desc.Version, desc.Routes)
	return desc, book, err
}

// faulty prints what is wrong with a file and gives the exit code.
func faulty(o output, err error) error {
	fmt.Fprintln(o.err, err)
	return code(exitUsage)
}

type routesCheck struct {
	File     string `arg:"" type:"path" help:"OpenAPI description."`
	defaults `embed:""`
}

// Run reads the description.
func (c *routesCheck) Run(o output) error {
	desc, book, err := c.read(c.File)
	if err != nil {
		return faulty(o, err)
	}
	fmt.Fprintf(o.out, "%s: %s %s, %d routes, no fault\n", c.File, desc.Title, desc.Version, len(book.Routes()))
	return nil
}

type routesList struct {
	File     string `arg:"" type:"path" help:"OpenAPI description."`
	defaults `embed:""`
}

// Run prints a table.
func (c *routesList) Run(o output) error {
	_, book, err := c.read(c.File)
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
	File     string `arg:"" type:"path" help:"OpenAPI description."`
	Method   string `arg:"" help:"Method."`
	Path     string `arg:"" help:"Path, with a query if there is one."`
	defaults `embed:""`
}

// Run explains one request.
func (c *routesExplain) Run(o output) error {
	_, book, err := c.read(c.File)
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
	Old      string `arg:"" type:"path" help:"Description in force."`
	New      string `arg:"" type:"path" help:"Its revision."`
	JSON     bool   `name:"json" help:"Print JSON."`
	defaults `embed:""`
}

// Run compares.
func (c *routesDiff) Run(o output) error {
	_, old, err := c.read(c.Old)
	if err != nil {
		return faulty(o, err)
	}
	_, revised, err := c.read(c.New)
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
