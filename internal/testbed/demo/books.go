package demo

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"pepperfall.example/pepperfall/internal/config/bookfile"
	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/testbed/audit"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

const (
	mostAsked = 40 // operations of a large description that clients ask
	mostUnits = 6  // the settings' largest
)

// catalogue is a description that is served, and its other revision, whose
// costs differ.
type catalogue struct {
	file  string // its name in the demo's folder
	texts [2]string
	books [2]*routebook.Book
	now   int // which is in force
	salt  keyring.Salt
}

var costs = regexp.MustCompile(`(x-pepperfall-units"?\s*:\s*)([12])\b`)

// otherCosts is a description in which what costs one unit costs two, and the
// other way round.
func otherCosts(text string) string {
	return costs.ReplaceAllStringFunc(text, func(s string) string {
		m := costs.FindStringSubmatch(s)
		n, _ := strconv.Atoi(m[2])
		return m[1] + strconv.Itoa(3-n)
	})
}

// open reads the description and compiles both of its revisions, as the fleet
// will.
func (r *rig) open(ctx context.Context) error {
	text, err := os.ReadFile(r.Description)
	if err != nil {
		return err
	}
	c := &catalogue{file: filepath.Base(r.Description), texts: [2]string{string(text), otherCosts(string(text))},
		salt: keyring.Salt(fmt.Sprintf("demo-%016x", r.Seed))}
	r.books = c
	for i := range c.texts {
		if err := r.writeRevision(i, 0); err != nil {
			return err
		}
		l, err := operator.Load(filepath.Join(r.Dir, "operator.toml"))
		if err != nil {
			return err
		}
		out, warnings, err := r.Compile(ctx, l, mostUnits)
		if err != nil {
			return err
		}
		if warnings != "" && i == 0 {
			r.say("%s", warnings)
		}
		if c.books[i], err = bookfile.Decode(out, bookfile.Served); err != nil {
			return err
		}
		r.ledger.Note(revised(c.books[i]))
	}
	return r.writeRevision(0, 0)
}

// revised tells the audit what a book says.
func revised(b *routebook.Book) audit.Revised {
	byName := map[string]routebook.Route{}
	for _, o := range b.Routes() {
		byName[o.Operation] = o
	}
	return audit.Revised{Revision: b.Generation, Of: func(op, query string) (audit.Cost, bool) {
		o, ok := byName[op]
		return audit.Cost{Units: math.Ceil(o.Units.Of(query)), Repeat: []audit.Effect{audit.Unsafe, audit.Keyed, audit.Safe}[o.Repeat]}, ok
	}}
}

// writeRevision puts a revision's files where the fleet reads them.
func (r *rig) writeRevision(which, reloads int) error {
	c := r.books
	if err := os.WriteFile(filepath.Join(r.Dir, c.file), []byte(c.texts[which]), 0o600); err != nil {
		return err
	}
	text := operatorText(10000 - 10*reloads)
	text += fmt.Sprintf("[routes]\ndescription = %q\ntell = true\nunits = %d\nkey_places = [\"header X-Api-Key\"]\n[keys]\nsalt = \"%x\"\n", c.file, 1+which, []byte(c.salt))
	for _, l := range customers(r.Instances, 1) {
		text += fmt.Sprintf("[[keys.libraries]]\nlibrary = %q\nplan = %q\nfirst = %d\nspread = %d\nhash = %q\n", l.Key, l.Plan, l.First, l.Spread,
			keyring.HashOf(c.salt, keyOf(l.Key)))
	}
	return os.WriteFile(filepath.Join(r.Dir, "operator.toml"), []byte(text), 0o600)
}

// keyOf is the API key of a library in the demo.
func keyOf(library string) string { return "ppk_demo_" + library }

// asked are the operations that ordinary clients ask, each alike often.
func (c *catalogue) asked() (list []standin.Operation) {
	routes := c.books[0].Routes()
	step := max(1, (len(routes)+mostAsked-1)/mostAsked)
	for i := 0; i < len(routes); i += step {
		o := &routes[i]
		path := filled(o.Template)
		if m, _, f := c.books[0].Match(o.Method, strings.ReplaceAll(path, "#", "7")); f != routebook.Matched || m.Operation != o.Operation ||
			o.Method == "HEAD" || o.Method == "TRACE" {
			continue // another operation takes the path, or its answers have no body to judge
		}
		q := standin.Operation{Name: o.Operation, Method: o.Method, Path: path, Class: o.Class, Keyed: o.Repeat == routebook.Keyed,
			Safe: o.Repeat == routebook.Safe, Share: 1}
		if o.Units.Param != "" {
			q.Query = o.Units.Param + "=#"
		}
		list = append(list, q)
	}
	return list
}

// filled is a template with a mark for each parameter, where clients put numbers.
func filled(template string) string {
	return regexp.MustCompile(`\{[^}]*\}`).ReplaceAllString(template, "#")
}

// swap has the fleet take the other revision, and tells the audit from when on
// either may be in force, and from when on only the new one.
func (r *rig) swap(ctx context.Context) {
	r.swaps.Lock()
	defer r.swaps.Unlock()
	c := r.books
	next := 1 - c.now
	r.mu.Lock()
	n := len(r.report.Orders)
	r.mu.Unlock()
	if err := r.writeRevision(next, n+1); err != nil {
		r.say("description not written: %v", err)
		return
	}
	r.reign(next, false)
	r.say("a new revision of %s: %s, with other costs", c.file, c.books[next].Generation)
	if r.order(ctx, "reload") != 0 { // the fleet went back
		r.reign(c.now, false)
		next = c.now
	}
	r.reign(next, true)
	c.now = next
}

// reign tells the audit that all instances may have a revision in force, or
// have it.
func (r *rig) reign(which int, only bool) {
	for i := range r.Instances {
		name, rev := fmt.Sprintf("n%d", i), r.books.books[which].Generation
		if only {
			r.ledger.Note(audit.Swapped{Node: name, Revision: rev})
		} else {
			r.ledger.Note(audit.Swapping{Node: name, Revision: rev})
		}
	}
}
