package openapi

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pepperfall.example/pepperfall/internal/conffile"
	"pepperfall.example/pepperfall/internal/routebook"
)

var defaults = Defaults{LookupClass: "holdings-lookup", LoanClass: "loan-request", Units: 1, MostUnits: 6}

func TestExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/catalogue.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Load("catalogue.yaml", text, defaults)
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Keys) != 1 || d.Keys[0] != (KeyPlace{"header", "X-Api-Key"}) {
		t.Errorf("keys %+v", d.Keys)
	}
	b, err := routebook.Compile(d.Version, d.Routes)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		method, path, query, operation, class string
		units                                 float64
		repeat                                routebook.Repeat
	}{
		{"GET", "/v1/holdings", "q=x&limit=30", "searchHoldings", "holdings-lookup", 4, routebook.Safe},
		{"GET", "/v1/holdings", "q=x", "searchHoldings", "holdings-lookup", 6, routebook.Safe},
		{"GET", "/v1/holdings/17", "", "readHolding", "holdings-lookup", 1, routebook.Safe},
		{"POST", "/v1/loans", "", "placeLoan", "loan-request", 2, routebook.Keyed},
		{"DELETE", "/v1/loans/4", "", "endLoan", "loan-request", 1, routebook.Never},
	} {
		r, _, f := b.Match(c.method, c.path)
		if f != routebook.Matched {
			t.Errorf("%s %s: %d", c.method, c.path, f)
			continue
		}
		if r.Operation != c.operation || r.Class != c.class || r.Units.Of(c.query) != c.units || r.Repeat != c.repeat {
			t.Errorf("%s %s?%s: %+v, want %+v", c.method, c.path, c.query, *r, c)
		}
		if !strings.HasPrefix(r.Place, "catalogue.yaml:") || len(r.Why) < 3 {
			t.Errorf("%s: declared at %q, because of %q", r.Operation, r.Place, r.Why)
		}
	}
}

const head = "openapi: 3.0.3\ninfo: {title: t, version: '1'}\n"

// One fault each, with the line that holds it.
func TestFaults(t *testing.T) {
	op := func(more string) string {
		return head + "paths:\n  /a:\n    get:\n      operationId: a\n" + more + "      responses: {'200': {description: d}}\n"
	}
	for _, c := range []struct{ name, text, want string }{
		{"no operations", head + "paths: {}\n", "no operations"},
		{"empty", "", "empty"},
		{"half-written", head + "paths:\n  /a:\n    get: {operationId: ", "f"},
		{"no description", "hello: world\n", "f"},
		{"an old version", "swagger: '2.0'\ninfo: {title: t, version: '1'}\npaths: {}\n", "f"},
		{"a wrong repeat", op("      x-pepperfall-repeat: sometimes\n"), `f:7: a: x-pepperfall-repeat: "sometimes" is none of never, keyed, safe`},
		{"units out of range", op("      x-pepperfall-units: 7\n"), `f:7: a: x-pepperfall-units: "7" is no number above 0 and up to 6`},
		{"units that are none", op("      x-pepperfall-units: many\n"), `f:7: a: x-pepperfall-units: "many"`},
		{"units of nothing", op("      x-pepperfall-units: {base: 1}\n"), "f:7: a: x-pepperfall-units: needs a parameter"},
		{"units by a parameter that is not there", op("      x-pepperfall-units: {base: 1, parameter: limit}\n"), `f:7: a: x-pepperfall-units: the query parameter "limit" is not declared`},
		{"an unknown key of units", op("      x-pepperfall-units: {base: 1, parametre: limit}\n"), `f:7: a: x-pepperfall-units: unknown key "parametre"`},
		{"an unknown extension", op("      x-pepperfall-clas: b\n"), "f:7: a: unknown extension x-pepperfall-clas"},
		{"a lookup that is not safe", op("      x-pepperfall-class: holdings-lookup\n"), "f:7: a: x-pepperfall-class: holdings-lookup is a class of what is safe"},
		{"a reference that leads out", op("      parameters: [{$ref: 'other.yaml#/x'}]\n"), `f:7: the reference "other.yaml#/x" leads out`},
		{"a key twice", op("      operationId: b\n"), "f:7: "},
		{"an alias bomb", bomb(), "aliases"},
		{"too deep", head + "x-deep: " + strings.Repeat("[", 200) + strings.Repeat("]", 200) + "\npaths: {}\n", "nested deeper"},
		{"a huge file", strings.Repeat("#", MostBytes+1), "at most are read"},
		{"a reference circle", head + "paths:\n  /a: {$ref: '#/paths/~1b'}\n  /b: {$ref: '#/paths/~1a'}\n", "f"},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Now()
			_, err := Load("f", []byte(c.text), defaults)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
			if _, ok := err.(conffile.Faults); err != nil && !ok {
				t.Errorf("%T", err)
			}
			if took := time.Since(began); took > 20*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

// bomb is a file of a few lines that stands for billions of values.
func bomb() string {
	s := head + "x-a0: &a0 [x, x, x, x, x, x, x, x, x]\n"
	for i := 1; i < 10; i++ {
		s += fmt.Sprintf("x-a%d: &a%d [%s*a%d]\n", i, i, strings.Repeat(fmt.Sprintf("*a%d, ", i-1), 8), i-1)
	}
	return s + "paths: {}\n"
}

func TestFaultsComeAllAtOnce(t *testing.T) {
	text := head + `paths:
  /a:
    get:
      x-pepperfall-units: 0
      responses: {'200': {description: d}}
    post:
      x-pepperfall-repeat: often
      responses: {'200': {description: d}}
`
	_, err := Load("f", []byte(text), defaults)
	faults, _ := err.(conffile.Faults)
	if len(faults) != 2 || faults[0].Line != 6 || faults[1].Line != 9 || faults[1].Key != "POST /a" {
		t.Errorf("%v", err)
	}
}

// The nearest extension counts; JSON is read like YAML; each base path has its
// route.
func TestLevels(t *testing.T) {
	text := `{"openapi":"3.1.0","info":{"title":"t","version":"1"},"x-pepperfall-units":3,"servers":[{"url":"/one/"},{"url":"https://h/{v}","variables":{"v":{"default":"two"}}}],
"paths":{"/a":{"x-pepperfall-repeat":"safe","get":{"responses":{}},"put":{"x-pepperfall-repeat":"keyed","x-pepperfall-units":2,"responses":{}}}}}`
	d, err := Load("f", []byte(text), defaults)
	if err != nil {
		t.Fatal(err)
	}
	got := ""
	for _, r := range d.Routes {
		got += fmt.Sprintf("%s %s %s %v %v; ", r.Method, r.Template, r.Class, r.Units.Base, r.Repeat)
	}
	want := "GET /one/a holdings-lookup 3 safe; GET /two/a holdings-lookup 3 safe; PUT /one/a loan-request 2 keyed; PUT /two/a loan-request 2 keyed; "
	if got != want {
		t.Errorf("%s\nwant %s", got, want)
	}
}

// Whatever comes, reading ends with a description or with faults.
func FuzzLoad(f *testing.F) {
	for _, s := range []string{"", "{}", head, head + "paths: {/a: {get: {}}}", bomb(), "a: &a [*a]", head + "paths: {/a: {$ref: '#/paths/~1a'}}"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		late := time.AfterFunc(10*time.Second, func() { panic("a text is read for over 10 s") })
		defer late.Stop()
		d, err := Load("f", text, defaults)
		if _, ok := err.(conffile.Faults); err != nil && !ok || (d == nil) != (err != nil) {
			t.Errorf("%v, %T", d, err)
		}
	})
}
