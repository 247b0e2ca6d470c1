package operatorclient

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

// draft is a configuration that is being changed. What this program does not
// know of it stays.
type draft map[string]any

// read parses a body and checks it.
func read(body []byte) (draft, *routeconfig.Configuration, error) {
	p, err := routeconfig.Parse(body)
	if err != nil {
		return nil, nil, err
	}
	d := draft{}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	return d, p, errors.WithStack(dec.Decode(&d))
}

// write numbers the draft and checks what comes of it.
func (d draft) write(gen uint64) ([]byte, error) {
	d["gen"] = fmt.Sprintf("r%d", gen)
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", " ")
	if err := enc.Encode(d); err != nil {
		return nil, errors.WithStack(err)
	}
	_, err := routeconfig.Parse(b.Bytes())
	return b.Bytes(), errors.WithMessage(err, "the changed configuration would be invalid")
}

func (d draft) list(key string) (all []map[string]any) {
	items, _ := d[key].([]any)
	for _, x := range items {
		if m, ok := x.(map[string]any); ok {
			all = append(all, m)
		}
	}
	return all
}

// Renumber gives a configuration another version.
func Renumber(body []byte, gen uint64) ([]byte, error) {
	d, _, err := read(body)
	if err != nil {
		return nil, err
	}
	return d.write(gen)
}

// Change is one of the changes that are made without a file. Whether it is
// already made is told by done.
type Change func(d draft, p *routeconfig.Configuration) (done bool, err error)

// Apply makes a change to a body and gives it a version; done: there is nothing to change.
func Apply(body []byte, gen uint64, change Change) (changed []byte, done bool, err error) {
	d, p, err := read(body)
	if err != nil {
		return nil, false, err
	}
	if done, err = change(d, p); done || err != nil {
		return nil, done, err
	}
	changed, err = d.write(gen)
	return changed, false, err
}

// DropKey takes the key of a print away, wherever it is.
func DropKey(print string) Change {
	return func(d draft, _ *routeconfig.Configuration) (bool, error) {
		done := true
		for _, t := range d.list("tenants") {
			keys, _ := t["api_keys"].([]any)
			left := []any{}
			for _, k := range keys {
				if text, _ := k.(string); Print(text) == print {
					done = false
					continue
				}
				left = append(left, k)
			}
			t["api_keys"] = left
		}
		return done, nil
	}
}

// LimitTenant sets a tenant's rate and burst.
func LimitTenant(name string, rate, burst float64) Change {
	return func(d draft, p *routeconfig.Configuration) (bool, error) {
		if rate <= 0 {
			return false, errors.New("a rate of 0 means no limit; to shut a tenant out, drop its keys")
		}
		for _, t := range p.Tenants {
			if t.Name == name && t.RatePerS == rate && t.Burst == burst {
				return true, nil
			}
		}
		for _, t := range d.list("tenants") {
			if t["name"] == name {
				t["rate_per_s"], t["burst"] = digits(rate), digits(burst)
				return false, nil
			}
		}
		return false, errors.Errorf("no tenant %q", name)
	}
}

// LeaveService sends nothing more to a service that shares its routes with
// others. A route that it has alone is a fault: nobody else can serve it.
func LeaveService(name string) Change {
	return func(d draft, p *routeconfig.Configuration) (bool, error) {
		if p.Backend(name) == nil {
			return false, errors.Errorf("no service %q", name)
		}
		done := true
		for i := range p.Routes {
			part := share(&p.Routes[i], name)
			if part >= 1 {
				return false, errors.Errorf("route %s has no other service than %s: push a configuration that names one", p.Routes[i].Name, name)
			}
			done = done && part == 0
		}
		for _, r := range d.list("routes") {
			split, _ := r["split"].([]any)
			for _, x := range split {
				if s, _ := x.(map[string]any); s != nil && s["backend"] == name {
					s["weight"] = digits(0)
				}
			}
		}
		return done, nil
	}
}

func digits(n float64) json.Number { return json.Number(strconv.FormatFloat(n, 'f', -1, 64)) }

// Blend is the new body, but with routes that only change their services going
// to the new ones in a part (0 to 1) and to the old ones in the rest. staged
// counts such routes. The old services have to be in the new body for that.
func Blend(old, next []byte, part float64, gen uint64) (body []byte, staged int, err error) {
	_, was, err := read(old)
	if err != nil {
		return nil, 0, errors.WithMessage(err, "the version held")
	}
	d, is, err := read(next)
	if err != nil {
		return nil, 0, err
	}
	drafts := d.list("routes")
	for i := range is.Routes {
		r := &is.Routes[i]
		o := was.Find(r.Host, r.Prefix)
		if o == nil || o.Prefix != r.Prefix || same(o, r) {
			continue
		}
		split := []any{}
		for _, s := range is.Backends {
			if w := share(o, s.Name)*(1-part) + share(r, s.Name)*part; w > 0 {
				split = append(split, map[string]any{"backend": s.Name, "weight": digits(math.Round(w * 1e6))})
			}
		}
		for _, s := range o.Split {
			if is.Backend(s.Backend) == nil && share(o, s.Backend) > 0 {
				return nil, 0, errors.Errorf("route %s: its old service %s is not in the new configuration: keep it until all is moved", r.Name, s.Backend)
			}
		}
		delete(drafts[i], "backend")
		drafts[i]["split"] = split
		staged++
	}
	body, err = d.write(gen)
	return body, staged, err
}

// same tells whether two routes send to the same services in the same parts.
func same(a, b *routeconfig.Route) bool {
	for _, r := range []*routeconfig.Route{a, b} {
		for _, s := range r.Split {
			if x, y := share(a, s.Backend), share(b, s.Backend); x-y > 1e-9 || y-x > 1e-9 {
				return false
			}
		}
	}
	return true
}
