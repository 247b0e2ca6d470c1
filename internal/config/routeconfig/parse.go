package routeconfig

import (
	"bytes"
	"encoding/json"
	"math"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// The limits where the operator tells none.
const (
	defaultHeaderBytes   = 16384
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3000 // ms
	defaultIdleTimeout   = 15000
)

// body is a configuration as it is sent. Numbers may be written as fractions;
// what is left out or null has its default.
type body struct {
	Gen      string        `json:"gen" validate:"required"`
	Routes   []routeBody   `json:"routes" validate:"required,dive"`
	Backends []backendBody `json:"backends" validate:"required,dive"`
	Limits   limitsBody    `json:"limits"`
	Tenants  []tenantBody  `json:"tenants" validate:"dive"`
}

type routeBody struct {
	Name      string      `json:"name" validate:"required"`
	Host      string      `json:"host"`
	Prefix    string      `json:"prefix" validate:"required,startswith=/,endswith=/"`
	Kind      Kind        `json:"kind" validate:"oneof=idempotent mutating"`
	TimeoutMS float64     `json:"timeout_ms" validate:"gt=0"`
	TargetMS  float64     `json:"target_ms"`
	Prio      float64     `json:"prio"`
	Backend   *string     `json:"backend"`
	Split     []shareBody `json:"split" validate:"dive"`
	Tries     float64     `json:"tries"`
	Public    bool        `json:"public"`
	Homes     []string    `json:"home_regions"`
}

type shareBody struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight" validate:"gte=0"`
}

type backendBody struct {
	Name       string  `json:"name" validate:"required"`
	HealthPath string  `json:"health_path"`
	MaxConns   float64 `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmup_s"`
	WarmupPerS float64 `json:"warmup_per_s"`
}

type limitsBody struct {
	MaxHeaderBytes  float64 `json:"max_header_bytes"`
	MaxBodyBytes    float64 `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
}

type tenantBody struct {
	Name     string   `json:"name" validate:"required"`
	Keys     []string `json:"api_keys"`
	Prio     *float64 `json:"prio"`
	RatePerS float64  `json:"rate_per_s" validate:"gte=0"`
	Burst    float64  `json:"burst" validate:"gte=0"`
	Homes    []string `json:"home_regions"`
}

// Parse reads a configuration and checks it. The error joins a *Fault for
// everything that makes it invalid.
func Parse(text []byte) (*Configuration, error) {
	var b body
	if err := decode(text, &b); err != nil {
		return nil, err
	}
	gen, err := check(text, &b)
	if err != nil {
		return nil, err
	}
	p := b.configuration()
	p.Gen = gen
	p.index()
	return p, nil
}

// decode reads the body, which has to be one object and nothing more. The
// error is the one fault of a body that can't be read.
func decode(text []byte, b *body) error {
	if !utf8.Valid(text) {
		return &Fault{Line: 1, What: "not UTF-8"}
	}
	if start := bytes.TrimLeft(text, " \t\r\n"); len(start) == 0 || start[0] != '{' {
		return &Fault{Line: 1, What: "not an object"}
	}
	err := json.Unmarshal(text, b)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return &Fault{Line: lineAt(text, syntax.Offset), What: syntax.Error()}
	case errors.As(err, &kind):
		path := pathAt(text, kind.Offset)
		return &Fault{Path: path, Line: lineAt(text, kind.Offset), What: "a " + kind.Value + " is out of place"}
	case err != nil:
		return &Fault{Line: 1, What: err.Error()}
	}
	return nil
}

// configuration turns a checked body into the configuration.
func (b *body) configuration() *Configuration {
	p := &Configuration{
		Routes:   make([]Route, 0, len(b.Routes)),
		Backends: make([]Backend, 0, len(b.Backends)),
		Limits: Limits{
			MaxHeaderBytes: whole[int64](or(b.Limits.MaxHeaderBytes, defaultHeaderBytes)),
			MaxBodyBytes:   whole[int64](or(b.Limits.MaxBodyBytes, defaultBodyBytes)),
			HeaderTimeout:  span(or(b.Limits.HeaderTimeoutMS, defaultHeaderTimeout), time.Millisecond),
			IdleTimeout:    span(or(b.Limits.IdleTimeoutMS, defaultIdleTimeout), time.Millisecond),
		},
	}
	for _, r := range b.Routes {
		route := Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind,
			Timeout: span(r.TimeoutMS, time.Millisecond),
			Target:  span(or(r.TargetMS, r.TimeoutMS), time.Millisecond),
			Prio:    max(0, whole[int](r.Prio)),
			Tries:   max(1, whole[int](r.Tries)),
			Public:  r.Public, Homes: r.Homes,
		}
		if r.Backend != nil {
			route.Split = []Share{{Backend: *r.Backend, Weight: 1}}
		}
		for _, s := range r.Split {
			route.Split = append(route.Split, Share(s))
		}
		p.Routes = append(p.Routes, route)
	}
	for _, s := range b.Backends {
		backend := Backend{
			Name: s.Name, HealthPath: s.HealthPath, Protocol: s.Protocol, TLS: s.TLS,
			MaxConns:   max(0, whole[int](s.MaxConns)),
			Warmup:     max(0, span(s.WarmupS, time.Second)),
			WarmupPerS: max(0, s.WarmupPerS),
		}
		if backend.Protocol == "" {
			backend.Protocol = "h1"
		}
		p.Backends = append(p.Backends, backend)
	}
	for _, t := range b.Tenants {
		tenant := Tenant{
			Name: t.Name, Keys: t.Keys, RatePerS: t.RatePerS, Burst: t.Burst,
			Homes: t.Homes, unranked: t.Prio == nil,
		}
		if t.Prio != nil {
			tenant.Prio = max(0, whole[int](*t.Prio))
		}
		p.Tenants = append(p.Tenants, tenant)
	}
	return p
}

// or returns n, or the default where n is not above 0.
func or(n, def float64) float64 {
	if n > 0 {
		return n
	}
	return def
}

// whole cuts off fractions, and what is beyond any use.
func whole[T int | int64](n float64) T {
	return T(min(max(n, -1<<53), 1<<53))
}

// span is n units of time, 1 ns at least where n is above 0 and a year at most.
func span(n float64, unit time.Duration) time.Duration {
	d := min(n*float64(unit), float64(365*24*time.Hour))
	if n > 0 {
		d = max(d, 1)
	}
	return time.Duration(math.Round(d))
}
