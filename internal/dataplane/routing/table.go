package routing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/wire"
	"pepperfall.example/pepperfall/policy"
)

// ClientMode defines how the library of a request is identified.
type ClientMode string

// The client modes.
const (
	ByKey   ClientMode = "keys"  // by the client's API key
	ByFront ClientMode = "front" // by the fields that the platform's front end sends
	ByBoth  ClientMode = "both"  // by the API key if the request has one, else by the front end's fields
)

// Options are the operator's settings other than the route book and the keys.
type Options struct {
	Clients       ClientMode
	ForwardFields []string // header fields forwarded to servers in addition to the protocol's
	ForwardKeys   bool     // also forward API keys
	ExposeRouting bool     // add revision, operation and units to responses and to requests to servers
}

// Table holds a route book and the settings that requests are resolved by. It is
// immutable, so a request can keep the table that it was resolved by.
type Table struct {
	Options
	Book      *routebook.Book
	ring      *keyring.Ring
	keyPlaces []routebook.KeyPlace
	classes   map[string]*policy.Class
	plans     map[string]bool
	gateways  int
}

// reservedFields are the fields that the proxy writes itself and the hop-by-hop fields
// (RFC 9110, 7.6.1). ForwardFields must not contain any of them.
var reservedFields = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host", "Cookie", "X-Request-Id", "Idempotency-Key", "X-Class",
	"X-Deadline-Ms", "X-Tier", "X-Call-Terms", "X-Retry", OperationField, BookField, UnitsField}

// The fields that describe a resolved request, added if Options.ExposeRouting is set.
const (
	OperationField = "Pepperfall-Operation"
	BookField      = "Pepperfall-Book"
	UnitsField     = "Pepperfall-Units"
)

// NewTable combines a route book with a proxy's settings. The error lists every
// route, key and header field that is incompatible with them.
func NewTable(set *policy.Settings, b *routebook.Book, ring *keyring.Ring, libraries []keyring.Library, o Options) (*Table, error) {
	t := &Table{Options: o, Book: b, ring: ring, keyPlaces: b.Keys, classes: map[string]*policy.Class{}, plans: map[string]bool{}, gateways: set.Gateways}
	if o.Clients == "" {
		t.Clients = ByKey
	}
	for i := range set.Classes {
		t.classes[set.Classes[i].Name] = &set.Classes[i]
	}
	for i := range set.Plans {
		t.plans[set.Plans[i].Name] = true
	}
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	for _, r := range b.Routes() {
		c := t.classes[wire.PairValue(r.Class)]
		maxUnits := max(set.MaxRequestUnits, 1)
		switch {
		case c == nil:
			fault("%s: operation %s: the settings have no class %q", r.Place, r.Operation, r.Class)
		case r.Units.Base > maxUnits || r.Units.Param != "" && r.Units.Most > maxUnits:
			fault("%s: operation %s: units of up to %v, the settings' largest are %v", r.Place, r.Operation, max(r.Units.Base, r.Units.Most), maxUnits)
		case r.Repeat != routebook.Safe && c.Effect == policy.Safe:
			fault("%s: operation %s: class %s is safe to repeat, the operation is not marked so", r.Place, r.Operation, r.Class)
		}
	}
	for _, l := range libraries {
		switch {
		case !t.plans[wire.PairValue(l.Plan)]:
			fault("key of library %s: the settings have no plan %q", l.Number, l.Plan)
		case l.Spread < 1 || l.Spread > set.Gateways || l.First < 0 || l.First >= set.Gateways:
			fault("key of library %s: a set of %d edge nodes from number %d, of %d", l.Number, l.Spread, l.First, set.Gateways)
		}
	}
	for _, k := range b.Keys {
		if k.In != "header" && k.In != "query" && k.In != "cookie" || k.Name == "" {
			fault("a security scheme has its key in %q, named %q: header, query and cookie are known", k.In, k.Name)
		}
	}
	if len(b.Keys) == 0 && t.Clients != ByFront {
		fault("the book names no security scheme of type apiKey: there is no place where a client's key could stand")
	}
	for _, f := range o.ForwardFields {
		if slices.ContainsFunc(reservedFields, func(own string) bool { return strings.EqualFold(own, f) }) {
			fault("the field %s is not passed on by name", f)
		}
		if !o.ForwardKeys && slices.ContainsFunc(b.Keys, func(k routebook.KeyPlace) bool { return k.In == "header" && strings.EqualFold(k.Name, f) }) {
			fault("the field %s holds keys, which go on only where pass_key says so", f)
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return t, nil
}

// Revision returns the revision of the route book, or "none" for a nil table.
func (t *Table) Revision() string {
	if t == nil {
		return "none"
	}
	return t.Book.Generation
}

// policyEffect converts a route's repeat rule to the policy package's effect.
func policyEffect(r routebook.Repeat) policy.Effect {
	switch r {
	case routebook.Safe:
		return policy.Safe
	case routebook.Keyed:
		return policy.Keyed
	}
	return policy.Unsafe
}

// maxDeadline returns the longest deadline that a client of an operation may set.
func maxDeadline(r *routebook.Route, c *policy.Class) time.Duration {
	if r.Deadline > 0 {
		return min(r.Deadline, c.Deadline)
	}
	return c.Deadline
}
