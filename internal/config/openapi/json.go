package openapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/pb33f/go-yaml"
)

// jsonReader reads a description in JSON one token after the other, so that
// what no route rests on never takes memory. It keeps YAML's tree, with the
// lines of the text.
type jsonReader struct {
	*trimmer
	dec  *json.Decoder
	text []byte
	at   int // what comes before is counted in line
	line int
}

var errStop = errors.New("stopped at a fault")

// trimJSON reads a text; nil: it has faults.
func (t *trimmer) trimJSON(text []byte) *yaml.Node {
	r := &jsonReader{trimmer: t, dec: json.NewDecoder(bytes.NewReader(text)), text: text, line: 1}
	r.dec.UseNumber()
	root, err := r.value(document, "")
	if err == nil {
		if _, more := r.dec.Token(); more != io.EOF {
			err = errors.New("something follows the description")
		}
	}
	switch {
	case errors.Is(err, errStop):
		return nil
	case err != nil:
		t.l.fault(r.here(), "", "not JSON: %v", err)
		return nil
	}
	return &yaml.Node{Kind: yaml.DocumentNode, Line: 1, Content: []*yaml.Node{root}}
}

// here is the line of the last token.
func (r *jsonReader) here() int {
	if to := min(int(r.dec.InputOffset()), len(r.text)); to > r.at {
		r.line += bytes.Count(r.text[r.at:to], []byte("\n"))
		r.at = to
	}
	return r.line
}

// value reads the next value, of which nothing is kept where p is dropped.
func (r *jsonReader) value(p part, at string) (*yaml.Node, error) {
	tok, err := r.dec.Token()
	if err != nil {
		return nil, unexpected(err)
	}
	if !r.enter(r.here()) {
		return nil, errStop
	}
	defer r.leave()
	var n *yaml.Node
	if p != dropped {
		n = &yaml.Node{Line: r.here()}
	}
	switch tok := tok.(type) {
	case json.Delim:
		if tok == '{' {
			return n, r.object(n, p, at)
		}
		return n, r.list(n, p, at)
	case string:
		scalar(n, "!!str", tok)
	case json.Number:
		tag := "!!int"
		if _, err := strconv.ParseInt(tok.String(), 10, 64); err != nil {
			tag = "!!float"
		}
		scalar(n, tag, tok.String())
	case bool:
		scalar(n, "!!bool", strconv.FormatBool(tok))
	default:
		scalar(n, "!!null", "null")
	}
	return n, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func scalar(n *yaml.Node, tag, value string) {
	if n != nil {
		n.Kind, n.Tag, n.Value = yaml.ScalarNode, tag, value
	}
}

func (r *jsonReader) object(n *yaml.Node, p part, at string) error {
	if n != nil {
		n.Kind, n.Tag = yaml.MappingNode, "!!map"
	}
	var seen map[string]bool
	if n != nil {
		seen = map[string]bool{}
	}
	for r.dec.More() {
		tok, err := r.dec.Token()
		if err != nil {
			return unexpected(err)
		}
		key, _ := tok.(string)
		line := r.here()
		below := p.below(key)
		r.key(below, at, key, line)
		if seen[key] && below != dropped {
			r.l.fault(line, "", "the key %q stands there twice", key)
		}
		if seen != nil {
			seen[key] = true
		}
		pointer := ""
		if r.depth <= targetDepth {
			pointer = at + "/" + escape(key)
		}
		var v *yaml.Node
		if key == "$ref" && below == dropped {
			below = whole // it is looked at and not kept
		}
		if v, err = r.value(below, pointer); err != nil {
			return err
		}
		if key == "$ref" && v != nil && v.Kind == yaml.ScalarNode && v.Tag == "!!str" {
			r.reference(v.Value, v.Line, p.below(key))
		}
		if p.below(key) != dropped {
			n.Content = append(n.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: key, Line: line}, v)
		}
	}
	_, err := r.dec.Token()
	return unexpected(err)
}

func (r *jsonReader) list(n *yaml.Node, p part, at string) error {
	if n != nil {
		n.Kind, n.Tag = yaml.SequenceNode, "!!seq"
	}
	for r.dec.More() {
		v, err := r.value(p.element(), "")
		if err != nil {
			return err
		}
		if n != nil && v != nil {
			n.Content = append(n.Content, v)
		}
	}
	_, err := r.dec.Token()
	return unexpected(err)
}
