package operator

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/routing"
)

// Routes is where routes, costs and repeats come from, and who may ask. Paths
// of files are relative to the operator file.
type Routes struct {
	Description string      `toml:"description" max:"4096" when:"live"` // OpenAPI; empty: none
	Book        string      `toml:"book" max:"4096" when:"live"`        // compiled; empty: none
	Watch       bool        `toml:"watch" when:"live"`                  // take a new file without a signal
	WatchMS     int         `toml:"watch_ms" min:"100" max:"3600000" when:"live"`
	Accept      []string    `toml:"accept" max:"32" when:"live"` // revisions that may drop much, or make repeatable
	DropPart    float64     `toml:"drop_part" min:"0" max:"1" when:"live"`
	Strict      bool        `toml:"strict" when:"live"` // warnings are faults
	Clients     string      `toml:"clients" one:"keys front both" when:"live"`
	Pass        []string    `toml:"pass" max:"32" when:"live"` // header fields that go on to loan servers
	PassKey     bool        `toml:"pass_key" when:"live"`
	Tell        bool        `toml:"tell" when:"live"` // answers name revision, operation and units
	LookupClass string      `toml:"lookup_class" min:"1" max:"64" when:"live"`
	LoanClass   string      `toml:"loan_class" min:"1" max:"64" when:"live"`
	Units       float64     `toml:"units" min:"0.001" max:"1000" when:"live"` // of operations that say nothing
	KeyPlaces   []string    `toml:"key_places" max:"8" when:"live"`           // "header NAME", "query NAME", "cookie NAME", beside the description's
	MostMB      int         `toml:"most_mb" min:"1" max:"256" when:"live"`
	MostDepth   int         `toml:"most_depth" min:"10" max:"1000" when:"live"`
	MostValues  int         `toml:"most_values" min:"1000" max:"50000000" when:"live"`
	MostAliases int         `toml:"most_aliases" min:"0" max:"1000000" when:"live"`
	CompileMS   int         `toml:"compile_ms" min:"500" max:"600000" when:"live"`
	CompileMB   int         `toml:"compile_mb" min:"64" max:"8192" when:"live"`
	ByHand      []HandRoute `toml:"by_hand" max:"2000" when:"live"`
}

// HandRoute is a route without a description.
type HandRoute struct {
	Operation  string  `toml:"operation" min:"1" max:"200" when:"live"`
	Method     string  `toml:"method" min:"1" max:"16" when:"live"`
	Path       string  `toml:"path" min:"1" max:"4096" when:"live"`
	Repeat     string  `toml:"repeat" max:"8" when:"live"`     // empty: never
	Class      string  `toml:"class" max:"64" when:"live"`     // empty: by repeat
	Units      float64 `toml:"units" min:"0" when:"live"`      // 0: those of routes.units
	Parameter  string  `toml:"parameter" max:"64" when:"live"` // of the query, for each started per of which each is added
	Per        int     `toml:"per" min:"0" when:"live"`
	Each       float64 `toml:"each" min:"0" when:"live"`
	Most       float64 `toml:"most" min:"0" when:"live"` // 0: the settings' largest
	DeadlineMS int     `toml:"deadline_ms" min:"0" max:"600000" when:"live"`
}

// Keys are the API keys of libraries, as salted hashes.
type Keys struct {
	Salt      string    `toml:"salt" max:"128" log:"no" when:"live"` // hexadecimal
	Libraries []KeyLine `toml:"libraries" max:"4000" when:"live"`
}

// KeyLine is one key of one library.
type KeyLine struct {
	Library string `toml:"library" min:"1" max:"16" when:"live"`
	Plan    string `toml:"plan" min:"1" max:"64" when:"live"`
	First   int    `toml:"first" min:"0" max:"100000" when:"live"`
	Spread  int    `toml:"spread" min:"1" max:"100000" when:"live"`
	Hash    string `toml:"hash" min:"64" max:"64" log:"no" when:"live"`
}

func defaultRoutes() Routes {
	return Routes{WatchMS: 1000, DropPart: 0.2, Clients: string(routing.ByKey), LookupClass: "holdings-lookup", LoanClass: "loan-request", Units: 1,
		Pass:   []string{"Accept", "Accept-Language", "If-Match", "If-None-Match", "Prefer", "User-Agent"},
		MostMB: 32, MostDepth: 100, MostValues: 5_000_000, MostAliases: 10_000, CompileMS: 30_000, CompileMB: 512}
}

// On tells whether requests are read by routes.
func (r *Routes) On() bool { return r.Description != "" || r.Book != "" || len(r.ByHand) > 0 }

// Options are the choices that a table takes over.
func (r *Routes) Options() routing.Options {
	return routing.Options{Clients: routing.ClientMode(r.Clients), ForwardFields: r.Pass, ForwardKeys: r.PassKey, ExposeRouting: r.Tell}
}

// Beside is a path as seen from the operator file; empty stays empty.
func (l *Loaded) Beside(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(l.Path), path)
}

// checkRoutes finds what bounds alone don't.
func (l *Loaded) checkRoutes() (faults conffile.Faults) {
	lines, _ := conffile.Lines(l.Text)
	fault := func(key, format string, args ...any) {
		faults = append(faults, conffile.Fault{File: l.Path, Line: lines.Of(key), Key: key, Text: fmt.Sprintf(format, args...)})
	}
	if l.Routes.Book != "" && (l.Routes.Description != "" || len(l.Routes.ByHand) > 0 || len(l.Routes.KeyPlaces) > 0) {
		fault("routes.book", "a compiled book holds all its routes: no description, by_hand or key_places stand beside it")
	}
	for i := range l.Routes.ByHand {
		if r := &l.Routes.ByHand[i]; r.Repeat != "" {
			if _, err := routebook.ParseRepeat(r.Repeat); err != nil {
				fault(fmt.Sprintf("routes.by_hand.%d.repeat", i), "%v", err)
			}
		}
	}
	for _, text := range l.Routes.KeyPlaces {
		if _, err := parsePlace(text); err != nil {
			fault("routes.key_places", "%v", err)
		}
	}
	var f conffile.Fault
	if _, _, err := l.Ring(); errors.As(err, &f) {
		faults = append(faults, f)
	}
	return faults
}

// Source is the file that the book comes from: the compiled one or the
// description; empty where all routes are written by hand.
func (l *Loaded) Source() string {
	if l.Routes.Book != "" {
		return l.Beside(l.Routes.Book)
	}
	return l.Beside(l.Routes.Description)
}

// Ring makes the table of keys; nil where there are none. The error is a
// conffile.Fault.
func (l *Loaded) Ring() (*keyring.Ring, []keyring.Library, error) {
	if len(l.Keys.Libraries) == 0 && l.Keys.Salt == "" {
		return nil, nil, nil
	}
	fault := func(key string, err error) error {
		lines, _ := conffile.Lines(l.Text)
		return conffile.Fault{File: l.Path, Line: lines.Of(key), Key: key, Text: err.Error()}
	}
	salt, err := keyring.ParseSalt(l.Keys.Salt)
	if err != nil {
		return nil, nil, fault("keys.salt", err)
	}
	var entries []keyring.Entry
	var libraries []keyring.Library
	known := map[string]keyring.Library{}
	for i := range l.Keys.Libraries {
		k := &l.Keys.Libraries[i]
		at := fmt.Sprintf("keys.libraries.%d.", i)
		number, err := keyring.ParseNumber(k.Library)
		if err != nil {
			return nil, nil, fault(at+"library", err)
		}
		h, err := keyring.ParseHash(k.Hash)
		if err != nil {
			return nil, nil, fault(at+"hash", err)
		}
		lib := keyring.Library{Number: number, Plan: k.Plan, First: k.First, Spread: k.Spread}
		if o, there := known[number]; there && o != lib {
			return nil, nil, fault(at+"plan", errors.New("the keys of library "+number+" have several plans or sets"))
		}
		known[number] = lib
		entries = append(entries, keyring.Entry{Hash: h, Library: lib})
		libraries = append(libraries, lib)
	}
	r, i, err := keyring.New(salt, entries)
	if err != nil {
		return nil, nil, fault(fmt.Sprintf("keys.libraries.%d.hash", i), err)
	}
	return r, libraries, nil
}

func parsePlace(text string) (k routebook.KeyPlace, err error) {
	in, name, ok := strings.Cut(text, " ")
	if !ok || name == "" || strings.ContainsAny(name, " \t") || in != "header" && in != "query" && in != "cookie" {
		return k, fmt.Errorf("%q is no place of a key: header NAME, query NAME or cookie NAME", text)
	}
	return routebook.KeyPlace{In: in, Name: name}, nil
}

// HandWritten are the routes and places of keys that the file holds itself.
func (l *Loaded) HandWritten(mostUnits float64) (list []routebook.Route, places []routebook.KeyPlace) {
	lines, _ := conffile.Lines(l.Text)
	for i := range l.Routes.ByHand {
		h := &l.Routes.ByHand[i]
		repeat, _ := routebook.ParseRepeat(h.Repeat) // checked; empty is never
		r := routebook.Route{Operation: h.Operation, Method: h.Method, Template: h.Path, Class: h.Class, Repeat: repeat,
			Deadline: time.Duration(h.DeadlineMS) * time.Millisecond,
			Units:    routebook.Units{Base: h.Units, Param: h.Parameter, Per: h.Per, Each: h.Each, Most: h.Most},
			Place:    fmt.Sprintf("%s:%d", filepath.Base(l.Path), lines.Of(fmt.Sprintf("routes.by_hand.%d", i))),
			Why:      []string{"written by hand in the operator file"}}
		if r.Class == "" {
			if r.Class = l.Routes.LoanClass; repeat == routebook.Safe {
				r.Class = l.Routes.LookupClass
			}
		}
		if r.Units.Base == 0 && r.Units.Param == "" {
			r.Units.Base = l.Routes.Units
		}
		if r.Units.Most == 0 {
			r.Units.Most = mostUnits
		}
		list = append(list, r)
	}
	for _, text := range l.Routes.KeyPlaces {
		if k, err := parsePlace(text); err == nil {
			places = append(places, k)
		}
	}
	return list, places
}
