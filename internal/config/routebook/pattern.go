package routebook

import (
	"errors"
	"slices"
	"strings"
)

// pattern is a segment of a template: literal texts with a parameter between
// each two of them. One text alone is a concrete segment.
//
// A parameter stands for one byte or more, of one segment only (OpenAPI 3.1,
// 4.8.8.1). Of the patterns at one place that take a segment, the first in this
// order does:
//
//  1. a concrete segment;
//  2. the one with more literal bytes;
//  3. the one with fewer parameters;
//  4. the one whose text before the first parameter is longer, then the one
//     whose text behind the last is;
//  5. the one that is first by its shape, byte by byte.
//
// Patterns of one shape are one pattern, whatever their parameters are called.
type pattern struct {
	texts   []string // one more than there are parameters
	literal int      // bytes of all texts
}

// parsePattern reads a segment of a template; names are its parameters.
func parsePattern(seg string) (p pattern, names []string, err error) {
	rest := seg
	for {
		text, more, found := strings.Cut(rest, "{")
		if strings.Contains(text, "}") {
			return p, nil, errors.New("a closing brace in " + seg + " has no opening one")
		}
		if found && len(p.texts) > 0 && text == "" {
			return p, nil, errors.New("nothing stands between two parameters in " + seg + ": where one ends can't be told")
		}
		p.texts = append(p.texts, text)
		p.literal += len(text)
		if !found {
			return p, names, nil
		}
		name, after, shut := strings.Cut(more, "}")
		if !shut || name == "" || strings.Contains(name, "{") {
			return p, nil, errors.New("a parameter in " + seg + " has no name or no end")
		}
		names = append(names, name)
		rest = after
	}
}

func (p *pattern) concrete() bool { return len(p.texts) == 1 }

func (p *pattern) first() string { return p.texts[0] }
func (p *pattern) last() string  { return p.texts[len(p.texts)-1] }

// shape is the pattern without the names of its parameters.
func (p *pattern) shape() string { return strings.Join(p.texts, "{}") }

// compare orders patterns with parameters as above.
func (p *pattern) compare(o *pattern) int {
	for _, d := range [...]int{o.literal - p.literal, len(p.texts) - len(o.texts), len(o.first()) - len(p.first()), len(o.last()) - len(p.last())} {
		if d != 0 {
			return d
		}
	}
	return strings.Compare(p.shape(), o.shape())
}

// takes tells whether a segment fits. Each text between two parameters is
// looked for as early as it can stand: that leaves the most to the rest.
func (p *pattern) takes(seg string) bool {
	if !strings.HasPrefix(seg, p.first()) {
		return false
	}
	at := len(p.first())
	for _, text := range p.texts[1 : len(p.texts)-1] {
		if at >= len(seg) {
			return false
		}
		i := strings.Index(seg[at+1:], text)
		if i < 0 {
			return false
		}
		at += 1 + i + len(text)
	}
	return at < len(seg)-len(p.last()) && strings.HasSuffix(seg, p.last())
}

// branches are the templated ways on from a place, in the order in which they
// are tried. Where there are many they are found by their first text.
type branches struct {
	list    []branch
	lengths []int            // of first texts, in no order that matters; nil: the list is tried as it is
	byText  map[string][]int // places in the list, rising
}

type branch struct {
	pattern
	to *node
}

const (
	fewBranches = 8 // are tried one after the other
	mostLengths = 8 // of first texts; beyond, all branches are tried
)

// add returns the node behind a pattern, a new one where there is none yet.
func (b *branches) add(p pattern) *node {
	i, there := slices.BinarySearchFunc(b.list, p, func(e branch, p pattern) int { return e.compare(&p) })
	if !there {
		b.list = slices.Insert(b.list, i, branch{p, &node{}})
	}
	return b.list[i].to
}

// index is called once all are added.
func (b *branches) index() {
	if len(b.list) <= fewBranches {
		return
	}
	b.byText = map[string][]int{}
	for i := range b.list {
		text := b.list[i].first()
		b.byText[text] = append(b.byText[text], i)
		if !slices.Contains(b.lengths, len(text)) {
			b.lengths = append(b.lengths, len(text))
		}
	}
	if len(b.lengths) > mostLengths {
		b.lengths, b.byText = nil, nil
	}
}

// find tries the branches that take a segment, in their order, until one leads
// on. Indexed ones are merged from the lists of each length of first texts.
func (b *branches) find(seg, after string, more bool) *node {
	if b.lengths == nil {
		for i := range b.list {
			if b.list[i].takes(seg) {
				if found := b.list[i].to.follow(after, more); found != nil {
					return found
				}
			}
		}
		return nil
	}
	var lists [mostLengths][]int
	for i, n := range b.lengths {
		if n < len(seg) {
			lists[i] = b.byText[seg[:n]]
		}
	}
	for {
		next := -1
		for i := range b.lengths {
			if len(lists[i]) > 0 && (next < 0 || lists[i][0] < lists[next][0]) {
				next = i
			}
		}
		if next < 0 {
			return nil
		}
		e := &b.list[lists[next][0]]
		lists[next] = lists[next][1:]
		if e.takes(seg) {
			if found := e.to.follow(after, more); found != nil {
				return found
			}
		}
	}
}
