package routebook

import "testing"

func TestDiff(t *testing.T) {
	was := []Route{route("a", "GET", "/a/{x}"), route("b", "GET", "/b"), route("c", "GET", "/c"), route("d", "GET", "/d")}
	is := []Route{route("a", "GET", "/a/{y}"), route("b", "GET", "/b"), route("c", "GET", "/c"), route("e", "GET", "/e")}
	was[0].Repeat = Safe
	is[1].Units = Units{Base: 2, Most: 6}
	is[2].Repeat, is[2].Class = Safe, "other"
	old, err := Compile("1", was)
	if err != nil {
		t.Fatal(err)
	}
	revised, err := Compile("2", is)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"more careful: GET /a/{y} (a): safe -> never", "dearer: GET /b (b): 1 -> 2", "another class: GET /c (c): c -> other",
		"less careful: GET /c (c): never -> safe", "gone: GET /d (d)", "added: GET /e (e)"}
	got := Diff(old, revised)
	if len(got) != len(want) {
		t.Fatalf("%v", got)
	}
	for i := range want {
		if got[i].String() != want[i] {
			t.Errorf("%q, want %q", got[i], want[i])
		}
	}
	if d := Diff(old, old); len(d) > 0 {
		t.Errorf("a book differs from itself: %v", d)
	}
}
