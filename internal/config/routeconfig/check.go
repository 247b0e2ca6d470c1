package routeconfig

import (
	stderrors "errors"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// checker reads the json tags for names, so that namespaces are JSON paths.
var checker = sync.OnceValue(func() *validator.Validate {
	c := validator.New()
	c.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	return c
})

// check returns the version's number, or all that makes the body invalid.
func check(text []byte, b *body) (uint64, error) {
	var c checks
	var found validator.ValidationErrors
	if err := checker().Struct(b); err != nil && !errors.As(err, &found) {
		return 0, errors.Wrap(err, "configuration")
	}
	for _, f := range found {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		c.add(path, wants(f))
	}
	gen, err := Number(b.Gen)
	if err != nil && b.Gen != "" {
		c.add("gen", err.Error())
	}
	c.backends(b)
	c.routes(b)
	c.tenants(b)
	return gen, c.join(text)
}

// wants says what a check of a tag asks for.
func wants(f validator.FieldError) string {
	value := fmt.Sprint(f.Value())
	if f.Kind() == reflect.String {
		value = fmt.Sprintf("%q", value)
	}
	switch f.Tag() {
	case "required":
		return "missing or empty"
	case "startswith", "endswith":
		return value + ": does not begin and end with a slash"
	case "oneof":
		return value + ": not one of " + f.Param()
	case "gt":
		return value + ": not above " + f.Param()
	case "gte":
		return value + ": below " + f.Param()
	}
	return value + ": not " + f.Tag()
}

// checks gathers faults; lines are found once all are known.
type checks struct {
	faults []*Fault
}

func (c *checks) add(path, what string) {
	c.faults = append(c.faults, &Fault{Path: path, What: what})
}

// join returns all faults with their lines; nil if there are none.
func (c *checks) join(text []byte) error {
	if len(c.faults) == 0 {
		return nil
	}
	lines := lines(text)
	all := make([]error, 0, len(c.faults))
	for _, f := range c.faults {
		f.Line = lines.of(f.Path)
		all = append(all, f)
	}
	return stderrors.Join(all...)
}

// once adds a fault if the thing at path was seen before.
func (c *checks) once(seen map[string]string, thing, path, what string) {
	if first, ok := seen[thing]; ok {
		c.add(path, fmt.Sprintf("%s as at %s", what, first))
		return
	}
	seen[thing] = path
}

func (c *checks) backends(b *body) {
	seen := map[string]string{}
	for i, s := range b.Backends {
		if s.Name != "" {
			c.once(seen, s.Name, fmt.Sprintf("backends[%d].name", i), "the same name")
		}
	}
}

func (c *checks) routes(b *body) {
	known := make(map[string]bool, len(b.Backends))
	for _, s := range b.Backends {
		known[s.Name] = s.Name != ""
	}
	seen := map[string]string{}
	for i, r := range b.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.once(seen, Bare(r.Host)+"\x00"+r.Prefix, path+".prefix", "the same host and prefix")
		if (r.Backend == nil) == (len(r.Split) == 0) {
			c.add(path, "has to have either backend or split")
		}
		if r.Backend != nil && !known[*r.Backend] {
			c.add(path+".backend", fmt.Sprintf("%q: no such backend", *r.Backend))
		}
		sum, below := 0.0, false
		for j, s := range r.Split {
			if !known[s.Backend] {
				c.add(fmt.Sprintf("%s.split[%d].backend", path, j), fmt.Sprintf("%q: no such backend", s.Backend))
			}
			sum += s.Weight
			below = below || s.Weight < 0 // a fault already
		}
		if len(r.Split) > 0 && sum <= 0 && !below {
			c.add(path+".split", "the weights sum to 0")
		}
	}
}

func (c *checks) tenants(b *body) {
	names, keys := map[string]string{}, map[string]string{}
	for i, t := range b.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		if t.Name != "" {
			c.once(names, t.Name, path+".name", "the same name")
		}
		for j, key := range t.Keys {
			c.once(keys, key, fmt.Sprintf("%s.api_keys[%d]", path, j), "the same key")
		}
	}
}
