package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Page returns the operators' page on the settings, made from the tags of Settings.
func Page() string {
	var b strings.Builder
	b.WriteString(`# Settings

Made from the tags in ` + "`internal/config/settings/settings.go`" + ` by ` + "`pepperctl settings`" + `; a test holds this page to them.
What the settings are for stands in ` + "`docs/operators/system.md`" + `, how they are read in the same place.

- Default: what holds where a key is left out; "none" leaves it out, 0, empty or false.
- Check: what a value has to be beyond its kind. A file that fails one is not taken.
- Change: "live" is taken over while a process serves, "start" waits for its next start.
- A span of time is a number of the unit that the key ends in, parts allowed, 1000 hours at most.

| key | kind | default | check | change |
| --- | --- | --- | --- | --- |
`)
	rows(&b, reflect.TypeFor[Settings](), "", false)
	b.WriteString("\n`network.port_range` has to hold three ports or more, from 1 to 65535.\n")
	return b.String()
}

func rows(b *strings.Builder, of reflect.Type, prefix string, live bool) {
	for i := range of.NumField() {
		f := of.Field(i)
		key, live := prefix+f.Tag.Get("key"), live || f.Tag.Get("live") == "true"
		if f.Type.Kind() == reflect.Struct {
			rows(b, f.Type, key+".", live)
			continue
		}
		def, ok := f.Tag.Lookup("default")
		if !ok {
			def = "none"
		}
		if f.Type.Kind() == reflect.Map {
			key += ".NAME"
		}
		change := "start"
		if live {
			change = "live"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", key, kind(f.Type, key), def, asks(f.Tag.Get("validate")), change)
	}
}

// kind describes the kind of a value.
func kind(t reflect.Type, key string) string {
	if t == reflect.TypeFor[time.Duration]() {
		if strings.HasSuffix(key, "_s") {
			return "seconds"
		}
		return "milliseconds"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "list, with commas"
	case reflect.Array:
		return "two ports, with a comma"
	}
	return "text"
}

// asks describes what a validate tag requires.
func asks(tag string) string {
	var all []string
	each := ""
	for _, part := range strings.Split(tag, ",") {
		name, param, _ := strings.Cut(part, "=")
		switch name {
		case "", "omitempty":
		case "required":
			all = append(all, "required")
		case "required_if":
			all = append(all, "required where "+strings.ToLower(strings.Replace(param, " ", " is ", 1)))
		case "min":
			all = append(all, param+" or more")
		case "dive":
			each = "each "
		case "ip":
			all = append(all, each+"an IP address")
		case "hostname_port":
			all = append(all, each+"host:port")
		default:
			all = append(all, each+part)
		}
	}
	if len(all) == 0 {
		return "-"
	}
	return strings.Join(all, ", ")
}
