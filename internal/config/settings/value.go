package settings

import (
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// longest is more than any duration in a settings file.
const longest = 1000 * time.Hour

// set reads the value of a key into v, and returns what is wrong with it.
func set(v reflect.Value, key, value string) string {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		unit := time.Millisecond
		if strings.HasSuffix(key, "_s") {
			unit = time.Second
		}
		n, ok := number(value)
		if !ok || n < 0 || n > float64(longest/unit) {
			return "not a span of time"
		}
		v.SetInt(int64(math.Round(n * float64(unit))))
		return ""
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(value)
	case reflect.Bool:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return "not true or false"
		}
		v.SetBool(b)
	case reflect.Int:
		n, ok := number(value)
		if !ok || n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
			return "not a whole number"
		}
		v.SetInt(int64(n))
	case reflect.Float64:
		n, ok := number(value)
		if !ok {
			return "not a number"
		}
		v.SetFloat(n)
	case reflect.Slice:
		if l := list(value); l != nil {
			v.Set(reflect.ValueOf(l))
		}
	case reflect.Array:
		l := list(value)
		if len(l) != v.Len() {
			return "not two ports"
		}
		for i, item := range l {
			n, err := strconv.ParseUint(item, 10, 16)
			if err != nil {
				return "not two ports"
			}
			v.Index(i).SetInt(int64(n))
		}
	}
	return ""
}

// number reads a finite number.
func number(value string) (float64, bool) {
	n, err := strconv.ParseFloat(value, 64)
	return n, err == nil && !math.IsNaN(n) && !math.IsInf(n, 0)
}

// list reads items joined by commas; nil: there are none.
func list(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
