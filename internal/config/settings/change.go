package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Change is one key whose value differs between two readings of a file.
type Change struct {
	Key      string
	Old, New string
}

// Renew merges the settings of a changed file into those held: values that may change while the process serves come from
// next, all others from held. It returns the changes that were taken over and those that wait for the next start.
func Renew(held, next *Settings) (now *Settings, taken, waits []Change) {
	now = &Settings{}
	*now = *held
	renew(reflect.ValueOf(now).Elem(), reflect.ValueOf(next).Elem(), "", false, &taken, &waits)
	return now, taken, waits
}

func renew(now, next reflect.Value, prefix string, live bool, taken, waits *[]Change) {
	for i := range now.NumField() {
		f := now.Type().Field(i)
		key, live := prefix+f.Tag.Get("key"), live || f.Tag.Get("live") == "true"
		a, b := now.Field(i), next.Field(i)
		if f.Type.Kind() == reflect.Struct {
			renew(a, b, key+".", live, taken, waits)
			continue
		}
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			continue
		}
		to := waits
		if live {
			to = taken
		}
		*to = append(*to, differ(key, a, b)...)
		if live {
			a.Set(b)
		}
	}
}

// differ lists the keys below key whose values differ.
func differ(key string, a, b reflect.Value) (all []Change) {
	old, isMap := a.Interface().(map[string]string)
	if !isMap {
		return []Change{{key, fmt.Sprint(a.Interface()), fmt.Sprint(b.Interface())}}
	}
	now := b.Interface().(map[string]string)
	names := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(now)))
	slices.Sort(names)
	for _, n := range slices.Compact(names) {
		if old[n] != now[n] {
			all = append(all, Change{key + "." + n, old[n], now[n]})
		}
	}
	return all
}
