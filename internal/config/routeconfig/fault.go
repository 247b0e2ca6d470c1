package routeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Fault is one thing that makes a configuration invalid.
type Fault struct {
	Path string // such as routes[0].split[1].weight; empty: the whole
	Line int    // from 1: of the thing, or of what lacks it
	What string
}

func (f *Fault) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.What)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.What)
}

// lineAt returns the line of an offset, from 1.
func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte("\n"))
}

// places holds the line of every value, by path.
type places map[string]int

// of returns the line of a path, or of what it should be in.
func (p places) of(path string) int {
	for path != "" {
		if line, ok := p[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return p[""]
}

// lines finds the lines of all values of a well-formed text.
func lines(text []byte) places {
	p := places{}
	line, counted := 1, int64(0)
	walk(text, func(path string, offset int64) bool {
		line += bytes.Count(text[counted:offset], []byte("\n"))
		counted = offset
		p[path] = line
		return true
	})
	return p
}

// pathAt returns the path of the last value that begins before the offset.
func pathAt(text []byte, offset int64) string {
	last := ""
	walk(text, func(path string, at int64) bool {
		if at > offset {
			return false
		}
		last = path
		return true
	})
	return last
}

// walk calls visit with each value's path and the offset behind its first
// token, in order, until it returns false.
func walk(text []byte, visit func(path string, offset int64) bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var value func(path string) bool
	value = func(path string) bool {
		token, err := d.Token()
		if err != nil || !visit(path, d.InputOffset()) {
			return false
		}
		switch token {
		case json.Delim('{'):
			for d.More() {
				key, err := d.Token()
				if err != nil {
					return false
				}
				inner := fmt.Sprint(key)
				if path != "" {
					inner = path + "." + inner
				}
				if !value(inner) {
					return false
				}
			}
		case json.Delim('['):
			for i := 0; d.More(); i++ {
				if !value(fmt.Sprintf("%s[%d]", path, i)) {
					return false
				}
			}
		default:
			return true
		}
		_, err = d.Token() // the closing one
		return err == nil
	}
	value("")
}
