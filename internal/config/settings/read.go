package settings

import (
	stderrors "errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string
	Line int // from 1; 0: the key is in no line
	Key  string
	What string
}

func (f *Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Key, f.What)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.What)
}

// Read reads the settings file at path. Its error is that of reading the file, or of Parse.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse reads the text of a settings file of the given name. The error joins
// a Fault for everything that is wrong.
func Parse(name string, text []byte) (*Settings, error) {
	r := &reader{file: name, lines: map[string]line{}, bad: map[string]bool{}}
	r.split(string(text))
	s := &Settings{}
	r.fill(reflect.ValueOf(s).Elem(), "")
	r.check(s)
	if len(r.faults) > 0 {
		return nil, stderrors.Join(r.faults...)
	}
	return s, nil
}

type line struct {
	no    int
	value string
}

type reader struct {
	file   string
	lines  map[string]line // by key; of equal keys the last holds
	faults []error
	bad    map[string]bool // keys that have a fault already
}

func (r *reader) fault(key, what string) {
	if r.bad[key] {
		return
	}
	r.bad[key] = true
	r.faults = append(r.faults, &Fault{File: r.file, Line: r.lines[key].no, Key: key, What: what})
}

// split finds the keys and values; empty lines and those that begin with # are skipped.
func (r *reader) split(text string) {
	no := 0
	for l := range strings.Lines(text) {
		no++
		l = strings.TrimSpace(l)
		if l == "" || l[0] == '#' {
			continue
		}
		key, value, found := strings.Cut(l, "=")
		if !found {
			r.faults = append(r.faults, &Fault{File: r.file, Line: no, Key: l, What: "not a line of the form a.b=value"})
			continue
		}
		r.lines[strings.TrimSpace(key)] = line{no, strings.TrimSpace(value)}
	}
}

// fill sets the fields of v from the lines whose keys begin with prefix.
func (r *reader) fill(v reflect.Value, prefix string) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := prefix + f.Tag.Get("key")
		switch f.Type.Kind() {
		case reflect.Struct:
			r.fill(v.Field(i), key+".")
		case reflect.Map:
			m := map[string]string{}
			for k, l := range r.lines {
				if name, ok := strings.CutPrefix(k, key+"."); ok {
					m[name] = l.value
				}
			}
			v.Field(i).Set(reflect.ValueOf(m))
		default:
			l, ok := r.lines[key]
			if !ok {
				if l.value, ok = f.Tag.Lookup("default"); !ok {
					continue
				}
			}
			if what := set(v.Field(i), key, l.value); what != "" {
				r.fault(key, fmt.Sprintf("%q: %s", l.value, what))
			}
		}
	}
}

// checker reads the key tags for names, so that namespaces are keys.
var checker = sync.OnceValue(func() *validator.Validate {
	c := validator.New(validator.WithRequiredStructEnabled())
	c.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("key") })
	return c
})

// check adds the faults of the values that could be read.
func (r *reader) check(s *Settings) {
	var found validator.ValidationErrors
	if err := checker().Struct(s); err != nil && !errors.As(err, &found) {
		r.faults = append(r.faults, errors.Wrap(err, r.file))
	}
	for _, f := range found {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		key, _, _ = strings.Cut(key, "[")
		if r.lines[key].value == "" {
			r.fault(key, "missing")
			continue
		}
		r.fault(key, fmt.Sprintf("%q: %s", fmt.Sprint(f.Value()), wants(f)))
	}
	// The third inner port is the last one in use.
	if p := s.Network.PortRange; p[0] < 1 || p[1] > 65535 || p[1] < p[0]+2 {
		const key = "network.port_range"
		r.fault(key, fmt.Sprintf("%q: not the first and last of three ports or more", r.lines[key].value))
	}
}

// wants describes what a check requires.
func wants(f validator.FieldError) string {
	switch f.Tag() {
	case "ip":
		return "not an IP address"
	case "hostname_port":
		return "not host:port"
	case "min":
		return "below " + f.Param()
	}
	return "not " + f.Tag()
}
