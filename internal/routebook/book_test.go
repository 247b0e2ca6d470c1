package routebook

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func route(name, m, template string) Route {
	return Route{Operation: name, Method: m, Template: template, Class: "c", Units: Units{Base: 1, Most: 1}, Place: "f:1"}
}

func book(t testing.TB, templates ...string) *Book {
	t.Helper()
	var list []Route
	for i, tm := range templates {
		m, path, _ := strings.Cut(tm, " ")
		list = append(list, route(fmt.Sprint("op", i), m, path))
	}
	b, err := Compile("g", list)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestMatch(t *testing.T) {
	b := book(t, "GET /a/{x}", "POST /a/{x}", "GET /a/b", "GET /a/{x}/b", "GET /a/c/{y}", "GET /", "GET /loans/", "GET /a/{x}/d/{z}",
		"DELETE /a/c/d", "GET /caf%C3%A9/{x}")
	for _, c := range []struct {
		method, path string
		want         string // the template, or what it comes to
	}{
		{"GET", "/a/1", "/a/{x}"},
		{"GET", "/a/b", "/a/b"}, // concrete before templated
		{"POST", "/a/b", "405 GET"},
		{"POST", "/a/bb", "/a/{x}"},
		{"PUT", "/a/1", "405 GET, POST"},
		{"GET", "/a/c/b", "/a/c/{y}"},   // the leftmost concrete segment decides
		{"GET", "/a/c/b/", "404"},       // a trailing slash makes another path
		{"GET", "/a/c/d", "405 DELETE"}, // paths are matched before methods
		{"GET", "/a/e/b", "/a/{x}/b"},
		{"GET", "/a/c/d/e", "/a/{x}/d/{z}"}, // back from a concrete branch that ends nowhere
		{"GET", "/", "/"}, {"GET", "/loans/", "/loans/"}, {"GET", "/loans", "404"},
		{"GET", "/A/1", "404"}, {"get", "/a/1", "405 GET, POST"},
		{"GET", "/a/1;v=2", "/a/{x}"}, {"GET", "/a/b;v=2", "/a/{x}"}, {"GET", "/a;v=2/b", "404"},
		{"GET", "/a/%20", "/a/{x}"}, {"GET", "/caf%C3%A9/1", "/caf%C3%A9/{x}"},
		{"GET", "/a/", "404"}, // a parameter is never empty
		{"GET", "/a//b", "400"}, {"GET", "//a/b", "400"}, {"GET", "/a/../a/b", "400"}, {"GET", "/a/./b", "400"}, {"GET", "/a/..", "400"},
		{"GET", "/a/%2e%2e", "400"}, {"GET", "/a/%2E", "400"}, {"GET", "/a/x%2fb", "400"}, {"GET", "/a/x%2Fb", "400"}, {"GET", "/a/x%5cb", "400"},
		{"GET", "/a/x\\b", "400"}, {"GET", "/%61/b", "400"}, {"GET", "/a/%", "400"}, {"GET", "/a/%4", "400"}, {"GET", "/a/%zz", "400"},
		{"GET", "/a/%00", "400"}, {"GET", "/a/\x00", "400"}, {"GET", "/a/ ", "400"}, {"GET", "/a/b?x", "400"}, {"GET", "", "400"}, {"GET", "a/b", "400"},
		{"GET", "/a/\xc3\xa9", "400"}, {"GET", "/" + strings.Repeat("a", 60<<10), "400"}, {"GET", strings.Repeat("/a", 65), "400"},
	} {
		r, at, f := b.Match(c.method, c.path)
		got := map[Found]string{NoPath: "404", NoMethod: "405 " + at.Allow(), BadPath: "400"}[f]
		if f == Matched {
			got = r.Template
		}
		if got != c.want {
			t.Errorf("%s %.60q: %s, want %s", c.method, c.path, got, c.want)
		}
	}
}

func TestCompileNamesAllFaults(t *testing.T) {
	list := []Route{
		route("one", "GET", "/a/{x}"), route("two", "GET", "/a/{y}"), route("one", "GET", "/b"), route("three", "GET", "/a/{x}"),
		route("four", "get", "/c"), route("five", "GET", "/d/{x}.json"), route("six", "GET", "/e/{x}/{x}"), route("seven", "GET", "/f/../g"),
		route("eight", "GET", "h"), {Operation: "nine", Method: "GET", Template: "/i", Units: Units{Base: 3, Most: 2}},
		{Operation: "ten", Method: "GET", Template: "/j", Units: Units{Param: "limit", Most: 2}}, route("eleven", "GET", "/k//l"),
	}
	_, err := Compile("g", list)
	faults, ok := err.(Faults)
	if !ok {
		t.Fatal(err)
	}
	want := []string{"two: path /a/{y} takes the same requests as /a/{x}", "one: its name", "three: GET /a/{x} is there already", "four: \"get\" is no method",
		"five: path /d/{x}.json: the parameter in {x}.json is not a whole segment", "six: path /e/{x}/{x}: the parameter {x} stands there twice",
		"seven: path", "eight: path h: it does not begin", "nine: units", "ten: units", "eleven: path"}
	if len(faults) != len(want) {
		t.Fatalf("%d faults, want %d:\n%v", len(faults), len(want), err)
	}
	for i := range want {
		if !strings.Contains(faults[i].Error(), want[i]) {
			t.Errorf("%q, want %q", faults[i], want[i])
		}
	}
}

func TestUnits(t *testing.T) {
	u := Units{Base: 1, Param: "limit", Per: 10, Each: 0.5, Most: 6}
	for query, want := range map[string]float64{
		"limit=1": 1.5, "limit=10": 1.5, "limit=11": 2, "limit=0": 1, "q=x&limit=20": 2, "limit=100000000": 6,
		"": 6, "q=x": 6, "limit=": 6, "limit=-1": 6, "limit=1e9": 6, "limit=9999999999": 6, "limit=1&limit=1": 6,
		"%6cimit=100&limit=1": 6, "limit=1&%6Cimit=100": 6, "Limit=1": 6,
	} {
		if got := u.Of(query); got != want {
			t.Errorf("%q: %v units, want %v", query, got, want)
		}
	}
	if got := (Units{Base: 2, Most: 6}).Of("limit=100"); got != 2 {
		t.Errorf("%v units without a parameter, want 2", got)
	}
}

// plain matches as the specification's text has it: of all templates that fit,
// the one that is concrete where they first differ.
func plain(list []Route, m, path string) (string, Found) {
	if CheckPath(path) != nil {
		return "", BadPath
	}
	segs := strings.Split(path, "/")[1:]
	best := ""
	for i := range list {
		parts := strings.Split(list[i].Template, "/")[1:]
		fits := len(parts) == len(segs)
		for k := 0; fits && k < len(parts); k++ {
			param := strings.HasPrefix(parts[k], "{")
			fits = param && segs[k] != "" || !param && parts[k] == segs[k]
		}
		if !fits {
			continue
		}
		if best == "" {
			best = list[i].Template
			continue
		}
		had := strings.Split(best, "/")[1:]
		for k := range parts {
			a, b := strings.HasPrefix(parts[k], "{"), strings.HasPrefix(had[k], "{")
			if a != b {
				if b {
					best = list[i].Template
				}
				break
			}
		}
	}
	if best == "" {
		return "", NoPath
	}
	for i := range list {
		if list[i].Template == best && list[i].Method == m {
			return list[i].Operation, Matched
		}
	}
	return "", NoMethod
}

func TestTreeAgreesWithPlainMatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seg := rapid.SampledFrom([]string{"a", "b", "c", "{x}", "", "%20"})
		var list []Route
		seen := map[string]string{}
		for i := range rapid.IntRange(1, 25).Draw(t, "routes") {
			parts := rapid.SliceOfN(seg, 1, 5).Draw(t, "segments")
			for k, p := range parts {
				if p == "{x}" {
					parts[k] = fmt.Sprintf("{x%d}", k)
				}
			}
			tm := "/" + strings.Join(parts, "/")
			m := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
			if CheckTemplate(tm) != nil || seen[m+tm] != "" {
				continue
			}
			seen[m+tm] = "x"
			list = append(list, route(fmt.Sprint("op", i), m, tm))
		}
		b, err := Compile("g", list)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			path := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "", ".", "%20", "%2e", "a;b"}), 1, 6).Draw(t, "path"), "/")
			r, _, f := b.Match("GET", path)
			op := ""
			if r != nil {
				op = r.Operation
			}
			if wantOp, want := plain(list, "GET", path); f != want || op != wantOp {
				t.Fatalf("%s: %d %q, want %d %q", path, f, op, want, wantOp)
			}
		}
	})
}

// Whatever comes, the matcher neither panics nor takes a path that a server
// behind could read as another.
func FuzzMatch(f *testing.F) {
	b := book(f, "GET /a/{x}", "GET /a/b", "GET /a/{x}/b", "GET /{x}/{y}/{z}")
	for _, s := range []string{"/a/b", "/a/%2e%2e/b", "/a//b", "/%61", "/a/{x}", "/;/b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, path string) {
		if r, _, found := b.Match("GET", path); found == Matched {
			low := strings.ToLower(path)
			for _, bad := range []string{"//", "/../", "/./", "%2e", "%2f", "%5c", "\\", "%00", "?", "#"} {
				if strings.Contains(low, bad) || strings.HasSuffix(low, "/..") || strings.HasSuffix(low, "/.") {
					t.Errorf("%q was taken for %s", path, r.Template)
				}
			}
		}
	})
}

func large(t testing.TB, n int) (*Book, []string) {
	var list []Route
	var paths []string
	for i := range n {
		list = append(list, route(fmt.Sprint("op", i), "GET", fmt.Sprintf("/v1/group%d/items%d/{item}/parts/{part}", i%50, i)))
		paths = append(paths, fmt.Sprintf("/v1/group%d/items%d/4711/parts/12", i%50, i))
	}
	b, err := Compile("g", list)
	if err != nil {
		t.Fatal(err)
	}
	return b, paths
}

func TestMatchAllocatesNothing(t *testing.T) {
	b, paths := large(t, 1000)
	if n := testing.AllocsPerRun(100, func() {
		if _, _, f := b.Match("GET", paths[500]); f != Matched {
			t.Error("not matched")
		}
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		book, paths := large(b, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, _, f := book.Match("GET", paths[i%n]); f != Matched {
					b.Fatal("not matched")
				}
			}
		})
	}
}
