package archdiagram

import (
	"cmp"
	"fmt"
	"html"
	"maps"
	"path"
	"slices"
	"strings"
)

// Sizes of the picture, in its own units.
const (
	boxWide, boxHigh = 112, 34
	gapWide, gapHigh = 12, 46
	edge             = 16
	perRow           = 9
	dot              = 5
)

var colours = []string{"#2f6db3", "#c0562b", "#3b8a4a", "#7a4fa3", "#8a7a1f", "#555555"}

type place struct{ x, y int }

// Picture draws programs above the packages that they are made of, as SVG. A line goes from a package down to each one
// that it imports and that none of the others it imports leads to; dots tell of which programs a package is part.
func (t *Tied) Picture() string {
	rows := t.rows()
	at, width := map[string]place{}, 0
	for _, r := range rows {
		width = max(width, len(r))
	}
	whole := 2*edge + width*(boxWide+gapWide) - gapWide
	for y, r := range rows {
		left := (whole - len(r)*(boxWide+gapWide) + gapWide) / 2
		for x, dir := range r {
			at[dir] = place{left + x*(boxWide+gapWide), edge + y*(boxHigh+gapHigh)}
		}
	}
	high := 2*edge + len(rows)*(boxHigh+gapHigh) - gapHigh
	var b strings.Builder
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", whole, high, whole, high)
	fmt.Fprintf(&b, "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>\n", whole, high)
	for _, dir := range slices.Sorted(maps.Keys(at)) {
		for _, need := range t.direct(dir) {
			from, to := at[dir], at[need]
			fmt.Fprintf(&b, "<path d=\"M%d %dC%d %d %d %d %d %d\" fill=\"none\" stroke=\"#b9c0c7\"/>\n", from.x+boxWide/2, from.y+boxHigh,
				from.x+boxWide/2, from.y+boxHigh+gapHigh/2, to.x+boxWide/2, to.y-gapHigh/2, to.x+boxWide/2, to.y)
		}
	}
	for _, dir := range slices.Sorted(maps.Keys(at)) {
		t.box(&b, t.Packages[dir], at[dir])
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func (t *Tied) box(b *strings.Builder, p *Package, at place) {
	fill, under := "#f4f6f8", ""
	for i, x := range t.Programs {
		if p.Path == path.Join("cmd", x.Name) {
			fill = colours[i%len(colours)] + "22"
			under = "for operators"
			if x.On != "" {
				under = "on " + x.On
			}
			if len(x.Serves) > 0 {
				under += ", serves " + strings.Join(x.Serves, " ")
			}
		}
	}
	fmt.Fprintf(b, "<g><title>%s: %s</title><rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" rx=\"5\" fill=\"%s\" stroke=\"#6b7680\"/>", p.Path, html.EscapeString(p.Says), at.x, at.y, boxWide, boxHigh, fill)
	if under != "" {
		fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\" font-weight=\"bold\">%s</text>", at.x+boxWide/2, at.y+14, path.Base(p.Path))
		fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\" font-size=\"9\">%s</text></g>\n", at.x+boxWide/2, at.y+27, html.EscapeString(under))
		return
	}
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>", at.x+boxWide/2, at.y+15, strings.TrimPrefix(p.Path, "internal/"))
	n := 0
	for i, x := range t.Programs {
		if slices.Contains(p.Used, x.Name) {
			fmt.Fprintf(b, "<circle cx=\"%d\" cy=\"%d\" r=\"%d\" fill=\"%s\"/>", at.x+boxWide/2-(len(p.Used)-1)*dot*3/2+n*dot*3, at.y+boxHigh-9, dot-1, colours[i%len(colours)])
			n++
		}
	}
	b.WriteString("</g>\n")
}

// rows are the packages by depth, each row at most so long; neighbours in a row are used by like ones.
func (t *Tied) rows() (rows [][]string) {
	by := map[int][]string{}
	for dir, p := range t.Packages {
		by[p.Depth] = append(by[p.Depth], dir)
	}
	for _, depth := range slices.Sorted(maps.Keys(by)) {
		r := by[depth]
		slices.SortFunc(r, func(a, b string) int { return cmp.Or(cmp.Compare(t.lean(a), t.lean(b)), cmp.Compare(a, b)) })
		for ; len(r) > perRow; r = r[perRow:] {
			rows = append(rows, r[:perRow])
		}
		rows = append(rows, r)
	}
	return rows
}

// lean is where among the programs a package's users are, in the middle.
func (t *Tied) lean(dir string) float64 {
	sum := 0
	used := t.Packages[dir].Used
	for i, x := range t.Programs {
		if slices.Contains(used, x.Name) {
			sum += i
		}
	}
	return float64(sum) / float64(len(used))
}

// direct are the packages that one imports and that no other one of these leads to.
func (t *Tied) direct(dir string) (all []string) {
	needs := t.Packages[dir].Needs
	for _, n := range needs {
		if !slices.ContainsFunc(needs, func(x string) bool { return x != n && t.leads(x, n) }) {
			all = append(all, n)
		}
	}
	return all
}

func (t *Tied) leads(from, to string) bool {
	return slices.ContainsFunc(t.Packages[from].Needs, func(x string) bool { return x == to || t.leads(x, to) })
}

// Page is the text beside the picture, which has the name given.
func (t *Tied) Page(picture string) string {
	var b strings.Builder
	b.WriteString("# How the programs are made\n\nMade from the code's imports and `deploy/system.toml` by `go run ./internal/testbed/archdiagram/draw`; a test holds page and\npicture to them. How the programs work together is told in `docs/design/system.md`.\n\n")
	fmt.Fprintf(&b, "![programs and the packages that they are made of](%s)\n\nPrograms stand above, with the machines that they run on. A line goes down to what a package imports, where nothing\nelse that it imports leads there. Dots: ", picture)
	for i, x := range t.Programs {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s %s", names[i%len(names)], x.Name)
	}
	b.WriteString(".\n\n| program | runs on | serves | packages |\n| --- | --- | --- | --- |\n")
	for _, x := range t.Programs {
		n := -1 // itself
		for _, p := range t.Packages {
			if slices.Contains(p.Used, x.Name) {
				n++
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %d |\n", x.Name, cmp.Or(x.On, "where operators are"), cmp.Or(strings.Join(x.Serves, ", "), "-"), n)
	}
	b.WriteString("\n| package | part of | is |\n| --- | --- | --- |\n")
	for _, dir := range slices.Sorted(maps.Keys(t.Packages)) {
		if p := t.Packages[dir]; !strings.HasPrefix(dir, "cmd/") {
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", dir, strings.Join(p.Used, ", "), strings.ReplaceAll(p.Says, "|", "/"))
		}
	}
	return b.String()
}

var names = []string{"blue", "orange", "green", "violet", "olive", "grey"}
