package conffile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MostBytes is the largest file that is read.
const MostBytes = 1 << 20

// mostFaults bounds how many values of the wrong type are named at once.
const mostFaults = 100

// Read reads a file of at most MostBytes that is not empty: an empty one is a
// write that has only begun.
func Read(path string) ([]byte, error) {
	text, err := ReadUpTo(path, MostBytes)
	if err != nil {
		return nil, err
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, Fault{File: path, Text: "empty; a file that wants nothing but defaults holds a comment that says so"}
	}
	return text, nil
}

// ReadUpTo reads a regular file of at most so many bytes, with room for all of
// it made at once. Its errors are Faults.
func ReadUpTo(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Fault{File: path, Text: plain(err)}
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return nil, Fault{File: path, Text: plain(err)}
	}
	if !st.Mode().IsRegular() {
		return nil, Fault{File: path, Text: "not a regular file"}
	}
	text := bytes.NewBuffer(make([]byte, 0, min(st.Size(), int64(most))+bytes.MinRead))
	if _, err := text.ReadFrom(io.LimitReader(f, int64(most)+1)); err != nil { // it may grow meanwhile
		return nil, Fault{File: path, Text: plain(err)}
	}
	if n := max(int64(text.Len()), st.Size()); n > int64(most) {
		return nil, Fault{File: path, Text: fmt.Sprintf("%d bytes; %d at most are read", n, most)}
	}
	return text.Bytes(), nil
}

func plain(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Decode fills v, which holds the defaults, from a file's text. It returns all
// faults that can be told: syntax, unknown keys, wrong types, and values
// outside the bounds that the fields' tags state (see Bounds).
func Decode(file string, text []byte, v any) Faults {
	lines, err := Lines(text)
	if err != nil {
		return Faults{syntax(file, err)}
	}
	var faults Faults
	rest := bytes.Clone(text)
	for range mostFaults {
		d := toml.NewDecoder(bytes.NewReader(rest))
		d.DisallowUnknownFields()
		err := d.Decode(v)
		if err == nil {
			break
		}
		var strict *toml.StrictMissingError
		var one *toml.DecodeError
		if errors.As(err, &strict) {
			for i := range strict.Errors {
				e := &strict.Errors[i]
				row, _ := e.Position()
				faults = append(faults, Fault{file, row, strings.Join(e.Key(), "."), "unknown key"})
			}
			break
		}
		if !errors.As(err, &one) {
			faults = append(faults, Fault{File: file, Text: err.Error()})
			break
		}
		row, _ := one.Position()
		key := strings.Join(one.Key(), ".")
		if key == "" {
			key = lines.keyAt(row)
		}
		faults = append(faults, Fault{file, row, key, reason(one)})
		if !blank(rest, row) {
			break
		}
	}
	faults = append(faults, bounds(file, lines, v, faults)...)
	faults.sort()
	return faults
}

func syntax(file string, err error) Fault {
	var one *toml.DecodeError
	if errors.As(err, &one) {
		row, _ := one.Position()
		return Fault{file, row, strings.Join(one.Key(), "."), reason(one)}
	}
	return Fault{File: file, Text: err.Error()}
}

func reason(e *toml.DecodeError) string { return strings.TrimPrefix(e.Error(), "toml: ") }

// blank overwrites a line with spaces, so that the next fault can be found; it
// is false when nothing was left to overwrite.
func blank(text []byte, row int) bool {
	at := 0
	for range row - 1 {
		i := bytes.IndexByte(text[at:], '\n')
		if i < 0 {
			return false
		}
		at += i + 1
	}
	changed := false
	for ; at < len(text) && text[at] != '\n'; at++ {
		if text[at] != ' ' && text[at] != '\r' {
			text[at], changed = ' ', true
		}
	}
	return changed
}

// Index tells in which line each key of a file stands. Keys are dotted, with
// the number of an element of an array of tables between: plans.0.rate.
type Index map[string]int

// Of returns a key's line, or that of the nearest table around it; 0: neither
// is in the file.
func (x Index) Of(key string) int {
	for key != "" {
		if n := x[key]; n > 0 {
			return n
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
	return 0
}

func (x Index) keyAt(row int) (key string) {
	for k, n := range x {
		if n == row && (len(k) > len(key) || len(k) == len(key) && k < key) {
			key = k
		}
	}
	return key
}

// Lines indexes a file's keys; the error is one of syntax.
func Lines(text []byte) (Index, error) {
	if err := toml.Unmarshal(text, &map[string]any{}); err != nil {
		return nil, err
	}
	x, seen := Index{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		line, name := 0, ""
		for it := e.Key(); it.Next(); {
			k := it.Node()
			if line == 0 {
				line = p.Shape(k.Raw).Start.Line
			}
			name = join(name, string(k.Data))
		}
		switch e.Kind {
		case unstable.Table:
			table = resolve(name, seen)
			x[table] = line
		case unstable.ArrayTable:
			if i := strings.LastIndexByte(name, '.'); i >= 0 {
				name = join(resolve(name[:i], seen), name[i+1:]) // one of an element's own
			}
			n := seen[name]
			seen[name] = n + 1
			table = join(name, strconv.Itoa(n))
			x[table] = line
		case unstable.KeyValue:
			x[join(table, name)] = line
		}
	}
	return x, p.Error()
}

// resolve puts the number of the last element behind the name of an array of
// tables that a table's name begins with.
func resolve(name string, arrays map[string]int) string {
	out := ""
	for part := range strings.SplitSeq(name, ".") {
		out = join(out, part)
		if n := arrays[out]; n > 0 {
			out = join(out, strconv.Itoa(n-1))
		}
	}
	return out
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}
