package operatorclient

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
)

// Summary is a configuration without anything that is secret.
type Summary struct {
	Gen      string    `json:"gen"`
	Routes   int       `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
}

// Service is a service with what goes to it.
type Service struct {
	Name   string  `json:"name"`
	Routes int     `json:"routes"` // that name it with a weight above 0
	Share  float64 `json:"share"`  // the largest it has of one of them
}

// Tenant is a holder of keys. Prints stand for keys: see Print.
type Tenant struct {
	Name     string   `json:"name"`
	RatePerS float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
	Prints   []string `json:"prints"`
}

// Print names a key without telling it.
func Print(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:6])
}

// Summarise leaves out what is secret.
func Summarise(p *routeconfig.Configuration) *Summary {
	s := &Summary{Gen: fmt.Sprintf("r%d", p.Gen), Routes: len(p.Routes), Services: []Service{}, Tenants: []Tenant{}}
	for _, b := range p.Backends {
		svc := Service{Name: b.Name}
		for _, r := range p.Routes {
			if part := share(&r, b.Name); part > 0 {
				svc.Routes, svc.Share = svc.Routes+1, max(svc.Share, part)
			}
		}
		s.Services = append(s.Services, svc)
	}
	for _, t := range p.Tenants {
		one := Tenant{Name: t.Name, RatePerS: t.RatePerS, Burst: t.Burst, Prints: []string{}}
		for _, k := range t.Keys {
			one.Prints = append(one.Prints, Print(k))
		}
		slices.Sort(one.Prints)
		s.Tenants = append(s.Tenants, one)
	}
	return s
}

// share is the part of a route's requests that a service gets.
func share(r *routeconfig.Route, service string) float64 {
	sum, part := 0.0, 0.0
	for _, s := range r.Split {
		if sum += s.Weight; s.Backend == service {
			part += s.Weight
		}
	}
	if sum <= 0 {
		return 0
	}
	return part / sum
}
