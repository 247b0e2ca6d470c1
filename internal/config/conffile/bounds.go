package conffile

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Bounds are written as tags of the fields of a file's structs:
//
//	IdleMS int `toml:"idle_ms" min:"100" max:"600000" when:"live"`
//	Kind string `toml:"kind" one:"a b c" when:"start"`
//
// min and max bound numbers and the length of strings and arrays; one lists the
// words that a string may be; log:"no" keeps a value out of what changes are
// told with; when says whether a change takes effect at once
// (live) or needs a restart (start).

// walk visits every field that holds a value, in the order of the struct.
func walk(key string, v reflect.Value, tag reflect.StructTag, visit func(key string, v reflect.Value, tag reflect.StructTag)) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			walk(key, v.Elem(), tag, visit)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
			if name == "" || name == "-" {
				continue
			}
			walk(join(key, name), v.Field(i), f.Tag, visit)
		}
	case reflect.Slice:
		visit(key, v, tag)
		if v.Type().Elem().Kind() == reflect.Struct {
			for i := range v.Len() {
				walk(join(key, strconv.Itoa(i)), v.Index(i), tag, visit)
			}
		}
	default:
		visit(key, v, tag)
	}
}

func bounds(file string, lines Index, v any, had Faults) (faults Faults) {
	walk("", reflect.ValueOf(v), "", func(key string, v reflect.Value, tag reflect.StructTag) {
		if slices.ContainsFunc(had, func(f Fault) bool { return f.Key == key }) {
			return // it was not read
		}
		if text := outside(v, tag); text != "" {
			faults = append(faults, Fault{file, lines.Of(key), key, text})
		}
	})
	return faults
}

// outside tells how a value passes its bounds.
func outside(v reflect.Value, tag reflect.StructTag) string {
	what, n := "", 0.0
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		n = float64(v.Int())
	case reflect.Float64:
		n = v.Float()
	case reflect.String:
		what, n = "length ", float64(v.Len())
		if words := tag.Get("one"); words != "" && !slices.Contains(strings.Fields(words), v.String()) {
			return fmt.Sprintf("%q is none of %s", v.String(), strings.Join(strings.Fields(words), ", "))
		}
	case reflect.Slice:
		what, n = "number of entries ", float64(v.Len())
	default:
		return ""
	}
	if least := tag.Get("min"); least != "" {
		if x, err := strconv.ParseFloat(least, 64); err != nil || !(n >= x) {
			return fmt.Sprintf("%s%v is below %s", what, n, least)
		}
	}
	if most := tag.Get("max"); most != "" {
		if x, err := strconv.ParseFloat(most, 64); err != nil || !(n <= x) {
			return fmt.Sprintf("%s%v is above %s", what, n, most)
		}
	}
	return ""
}

// Change is a key that two files differ in.
type Change struct {
	Key      string
	Old, New string
	Restart  bool // takes effect only with the next start
}

func (c Change) String() string {
	s := fmt.Sprintf("%s: %s -> %s", c.Key, c.Old, c.New)
	if c.Restart {
		s += " (needs a restart)"
	}
	return s
}

// Diff compares two values of one file's struct. Whatever is not marked as
// live needs a restart.
func Diff(old, new any) (list []Change) {
	type value struct{ text, told, when string }
	collect := func(v any) (keys []string, vals map[string]value) {
		vals = map[string]value{}
		walk("", reflect.ValueOf(v), "", func(key string, v reflect.Value, tag reflect.StructTag) {
			text := fmt.Sprint(v.Interface())
			switch {
			case v.Kind() == reflect.String:
				text = strconv.Quote(v.String())
			case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
				text = fmt.Sprintf("%d entries", v.Len())
			}
			keys = append(keys, key)
			vals[key] = value{text, told(text, tag), tag.Get("when")}
		})
		return keys, vals
	}
	was, a := collect(old)
	is, b := collect(new)
	for _, key := range was {
		if n, ok := b[key]; !ok || n.text != a[key].text {
			list = append(list, Change{key, a[key].told, orGone(n.told, ok), a[key].when != "live"})
		}
	}
	for _, key := range is {
		if _, ok := a[key]; !ok {
			list = append(list, Change{key, "none", b[key].told, b[key].when != "live"})
		}
	}
	return list
}

// told is a value as it may stand in a log.
func told(text string, tag reflect.StructTag) string {
	if tag.Get("log") == "no" {
		return "(not told)"
	}
	return text
}

func orGone(text string, ok bool) string {
	if !ok {
		return "none"
	}
	return text
}
