package openapi

import (
	"github.com/pb33f/go-yaml"
)

// trimYAML reads a text; nil: it has faults. YAML has to be read whole before
// anything can be left out of it, since aliases lead back.
func (t *trimmer) trimYAML(text []byte) *yaml.Node {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		t.l.library(err)
		return nil
	}
	if len(root.Content) == 0 {
		t.l.fault(0, "", "empty")
		return nil
	}
	y := yamlReader{trimmer: t, within: map[*yaml.Node]bool{}}
	kept, ok := y.value(root.Content[0], document, "")
	if !ok {
		return nil
	}
	return &yaml.Node{Kind: yaml.DocumentNode, Line: 1, Content: []*yaml.Node{kept}}
}

// yamlReader copies what is kept, with aliases and merged keys followed.
type yamlReader struct {
	*trimmer
	aliases int
	within  map[*yaml.Node]bool // the aliases that are being followed
}

// value copies a value, of which nothing is kept where p is dropped; ok is
// false once a bound is passed.
func (y *yamlReader) value(n *yaml.Node, p part, at string) (out *yaml.Node, ok bool) {
	if !y.enter(n.Line) {
		return nil, false
	}
	defer y.leave()
	if n.Kind == yaml.AliasNode {
		return y.alias(n, func(to *yaml.Node) (*yaml.Node, bool) { return y.value(to, p, at) })
	}
	if p != dropped {
		out = &yaml.Node{Kind: n.Kind, Tag: n.Tag, Value: n.Value, Line: n.Line}
	}
	switch n.Kind {
	case yaml.MappingNode:
		seen := map[string]bool{}
		for _, merges := range []bool{false, true} { // an object's own keys go first
			for i := 0; i+1 < len(n.Content); i += 2 {
				if isMerge(n.Content[i]) == merges && !y.entry(out, n.Content[i], n.Content[i+1], p, at, seen, false) {
					return nil, false
				}
			}
		}
	case yaml.SequenceNode:
		for _, c := range n.Content {
			v, ok := y.value(c, p.element(), "")
			if !ok {
				return nil, false
			}
			if out != nil && v != nil {
				out.Content = append(out.Content, v)
			}
		}
	}
	return out, true
}

func isMerge(key *yaml.Node) bool { return key.Kind == yaml.ScalarNode && key.Tag == "!!merge" }

// alias follows an alias, unless that holds itself or there are too many.
func (y *yamlReader) alias(n *yaml.Node, follow func(to *yaml.Node) (*yaml.Node, bool)) (*yaml.Node, bool) {
	if y.aliases++; y.aliases > y.l.bounds.Aliases {
		y.l.fault(n.Line, "", "over %d aliases", y.l.bounds.Aliases)
		return nil, false
	}
	if y.within[n.Alias] {
		y.l.fault(n.Line, "", "an alias that holds itself")
		return nil, false
	}
	y.within[n.Alias] = true
	defer delete(y.within, n.Alias)
	return follow(n.Alias)
}

// entry copies a key with its value into out. Keys of a merged object give way
// to those that stand in the object itself, wherever they do.
func (y *yamlReader) entry(out, k, v *yaml.Node, p part, at string, seen map[string]bool, merged bool) bool {
	if isMerge(k) {
		return y.merge(out, v, p, at, seen)
	}
	key := k.Value
	below := p.below(key)
	y.key(below, at, key, k.Line)
	if seen[key] {
		if !merged && child(out, key) != nil {
			y.l.fault(k.Line, "", "the key %q stands there twice", key)
		}
		return true
	}
	seen[key] = true
	pointer := ""
	if y.depth <= targetDepth {
		pointer = at + "/" + escape(key)
	}
	if key == "$ref" && v.Kind == yaml.ScalarNode {
		y.reference(v.Value, v.Line, below)
	}
	c, ok := y.value(v, below, pointer)
	if ok && below != dropped && c != nil {
		out.Content = append(out.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: key, Line: k.Line}, c)
	}
	return ok
}

// merge copies the entries of a merged object or list of objects.
func (y *yamlReader) merge(out, from *yaml.Node, p part, at string, seen map[string]bool) bool {
	if !y.enter(from.Line) {
		return false
	}
	defer y.leave()
	switch from.Kind {
	case yaml.AliasNode:
		_, ok := y.alias(from, func(to *yaml.Node) (*yaml.Node, bool) { return nil, y.merge(out, to, p, at, seen) })
		return ok
	case yaml.SequenceNode:
		for _, c := range from.Content {
			if !y.merge(out, c, p, at, seen) {
				return false
			}
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(from.Content); i += 2 {
			if !y.entry(out, from.Content[i], from.Content[i+1], p, at, seen, true) {
				return false
			}
		}
	}
	return true
}
