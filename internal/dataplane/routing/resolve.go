package routing

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/keyring"
	"pepperfall.example/pepperfall/internal/config/routebook"
	"pepperfall.example/pepperfall/internal/dataplane/wire"
	"pepperfall.example/pepperfall/policy"
)

// HeaderFields looks up a header field. One returns the field's first value and
// the number of times that the field occurs.
type HeaderFields interface {
	One(name string) (value []byte, n int)
}

// Request is a client's request as received.
type Request struct {
	Method, Target string
	Fields         HeaderFields
	Body           int // length in bytes
}

// ResolvedRequest is a request with everything that the proxy needs to serve it.
// It keeps the table that it was resolved by, so a route book that is loaded
// before the response doesn't affect it.
type ResolvedRequest struct {
	Table  *Table
	Route  *routebook.Route
	Class  *policy.Class
	Effect policy.Effect // the stricter of the class's and the operation's
	keyring.Library
	Units          float64
	Deadline       time.Duration // time from the request's arrival within which the client needs the response
	RequestID      string        // X-Request-Id; empty if the client sent none
	IdempotencyKey string        // Idempotency-Key; empty if the client sent none
	IsRetry        bool
	Target         string // request target as sent to servers
	hasAPIKey      bool   // the library was identified by an API key
}

// Rejection is the response to a request that is not served. The request consumed
// no units.
type Rejection struct {
	Status int
	Reason string // error text for the client; never contains a possible API key
	Allow  string // value of the Allow field, only with status 405
}

// Limits on header field values.
const (
	maxRequestIDBytes      = 64  // of X-Request-Id
	maxIdempotencyKeyBytes = 128 // of Idempotency-Key
)

// singleFields are the header fields that a request may contain only once.
var singleFields = [...]string{"X-Request-Id", "X-Class", "X-Tier", "Cookie", "X-Deadline-Ms", "Idempotency-Key", "X-Call-Terms", "X-Retry", "Content-Type"}

// Resolve matches a request to an operation and validates it. Exactly one of the
// two results is not nil.
func (t *Table) Resolve(r Request) (*ResolvedRequest, *Rejection) {
	path, query, _ := strings.Cut(r.Target, "?")
	route, at, found := t.Book.Match(r.Method, path)
	switch found {
	case routebook.BadPath:
		return nil, &Rejection{Status: 400, Reason: routebook.CheckPath(path).Error()}
	case routebook.NoPath:
		return nil, &Rejection{Status: 404, Reason: "no operation has this path"}
	case routebook.NoMethod:
		return nil, &Rejection{Status: 405, Reason: "no operation has this method at this path", Allow: at.Allow()}
	}
	for _, name := range singleFields {
		if _, n := r.Fields.One(name); n > 1 {
			return nil, &Rejection{Status: 400, Reason: name + ": more than once"}
		}
	}
	k := &ResolvedRequest{Table: t, Route: route, Class: t.classes[wire.PairValue(route.Class)], Target: r.Target}
	if err := t.identifyLibrary(k, r, path, query); err != nil {
		if errors.Is(err, errUnknownKey) {
			return nil, &Rejection{Status: 401, Reason: err.Error()}
		}
		return nil, &Rejection{Status: 400, Reason: err.Error()}
	}
	k.Units = math.Ceil(route.Units.Of(query)) // quotas count whole units
	if err := k.readHeaderFields(r); err != nil {
		return nil, &Rejection{Status: 400, Reason: err.Error()}
	}
	return k, nil
}

var (
	errUnknownKey      = errors.New("no key that is known here")
	errConflictingKeys = errors.New("keys of two libraries")
)

// identifyLibrary finds the library by an API key or by the front end's fields.
// Unless keys are forwarded, it removes a key from the target sent to servers.
func (t *Table) identifyLibrary(k *ResolvedRequest, r Request, path, query string) error {
	found, any := keyring.Library{}, false
	if t.Clients != ByFront {
		for _, p := range t.keyPlaces {
			key, n := findKey(p, r.Fields, query)
			if n == 0 {
				continue
			}
			if n > 1 {
				return fmt.Errorf("%s %s: more than once", p.In, p.Name)
			}
			l, ok := t.ring.Find(key)
			if !ok {
				return errUnknownKey
			}
			if any && l.Number != found.Number {
				return errConflictingKeys
			}
			found, any = l, true
			if !t.ForwardKeys {
				if p.In == "query" {
					k.Target = path
					if query = removeParameter(query, p.Name); query != "" {
						k.Target += "?" + query
					}
				}
			}
		}
	}
	switch {
	case any:
		k.Library, k.hasAPIKey = found, true
		return k.checkFrontFields(r.Fields)
	case t.Clients == ByKey:
		return errUnknownKey
	}
	return k.readFrontFields(r.Fields, t)
}

// findKey looks for an API key at the place that a security scheme defines. It
// returns the key and the number of times that the parameter occurs.
func findKey(p routebook.KeyPlace, f HeaderFields, query string) (key string, n int) {
	switch p.In {
	case "header":
		v, n := f.One(p.Name)
		return string(v), n
	case "query":
		for pair := range strings.SplitSeq(query, "&") {
			if name, v, _ := strings.Cut(pair, "="); name == p.Name {
				key = v
				n++
			}
		}
		return key, n
	}
	v, _ := f.One("Cookie")
	return Cookie(string(v), p.Name)
}

// Cookie returns the first value of a cookie and the number of times that the
// cookie occurs (RFC 6265, 4.2.1).
func Cookie(all, name string) (value string, n int) {
	for pair := range strings.SplitSeq(all, ";") {
		if k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "="); k == name {
			if n++; n == 1 {
				value = v
			}
		}
	}
	return value, n
}

// removeParameter returns a query string without the named parameter.
func removeParameter(query, name string) string {
	var rest []string
	for pair := range strings.SplitSeq(query, "&") {
		if n, _, _ := strings.Cut(pair, "="); n != name {
			rest = append(rest, pair)
		}
	}
	return strings.Join(rest, "&")
}

// checkFrontFields returns an error if a client that uses an API key also sends
// the front end's fields and they contradict the key.
func (k *ResolvedRequest) checkFrontFields(f HeaderFields) error {
	if v, n := f.One("X-Tier"); n > 0 && wire.PairValue(string(v)) != wire.PairValue(k.Plan) {
		return errors.New("X-Tier: not the plan of the key's library")
	}
	c, _ := f.One("Cookie")
	if v, n := Cookie(string(c), "key"); n > 0 && !k.Table.hasCookieKey() && !strings.EqualFold(v, k.Number) {
		return errors.New("cookie key: not the key's library")
	}
	return nil
}

// hasCookieKey reports whether a security scheme reads its key from the cookie
// that the front end uses.
func (t *Table) hasCookieKey() bool {
	for _, p := range t.keyPlaces {
		if p.In == "cookie" && p.Name == "key" && t.Clients != ByFront {
			return true
		}
	}
	return false
}

// readFrontFields reads the library from the fields that the platform's front end
// sends (PROTOCOL, "Clients to edge nodes").
func (k *ResolvedRequest) readFrontFields(f HeaderFields, t *Table) error {
	v, n := f.One("X-Tier")
	if k.Plan = wire.PairValue(string(v)); n == 0 || !t.plans[k.Plan] {
		return fmt.Errorf("X-Tier: unknown plan %.40q", k.Plan)
	}
	c, _ := f.One("Cookie")
	number, n := Cookie(string(c), "key")
	if n > 1 {
		return errors.New("cookie key: more than once")
	}
	var err error
	if k.Number, err = keyring.ParseNumber(number); err != nil {
		return fmt.Errorf("cookie key: %w", err)
	}
	k.First, k.Spread = 0, t.gateways
	return nil
}

// readHeaderFields reads the remaining header fields and checks them against the
// route book.
func (k *ResolvedRequest) readHeaderFields(r Request) error {
	f := r.Fields
	if v, n := f.One("X-Class"); n > 0 && wire.PairValue(string(v)) != k.Class.Name {
		return fmt.Errorf("X-Class: operation %s is of class %s", k.Route.Operation, k.Class.Name)
	}
	if (r.Method == "GET" || r.Method == "HEAD" || r.Method == "TRACE") && r.Body > 0 {
		return fmt.Errorf("%s with a body", r.Method)
	}
	if v, n := f.One("X-Request-Id"); n > 0 {
		if len(v) == 0 || len(v) > maxRequestIDBytes || !isVisibleASCII(v) {
			return errors.New("X-Request-Id: too long or not plain")
		}
		k.RequestID = string(v)
	}
	if v, n := f.One("Idempotency-Key"); n > 0 {
		if len(v) == 0 || len(v) > maxIdempotencyKeyBytes || !isVisibleASCII(v) {
			return errors.New("Idempotency-Key: too long or not plain")
		}
		k.IdempotencyKey = string(v)
	}
	if v, _ := f.One("X-Retry"); string(v) == "1" {
		k.IsRetry = true
	}
	longest := maxDeadline(k.Route, k.Class)
	k.Deadline = longest
	if v, n := f.One("X-Deadline-Ms"); n > 0 {
		ms, err := strconv.ParseUint(string(v), 10, 31)
		if err != nil || time.Duration(ms)*time.Millisecond > longest+time.Millisecond {
			return fmt.Errorf("X-Deadline-Ms: not whole milliseconds up to the operation's %v", longest)
		}
		k.Deadline = time.Duration(ms) * time.Millisecond
	}
	k.Effect = max(k.Class.Effect, policyEffect(k.Route.Repeat))
	if k.Effect == policy.Keyed && k.IdempotencyKey == "" {
		k.Effect = policy.Unsafe // without a key no server could detect a duplicate
	}
	if v, n := f.One("X-Call-Terms"); n > 0 {
		return k.readCallTerms(string(v))
	}
	return nil
}

// readCallTerms reads X-Call-Terms. The units must equal the route book's. With an
// API key, the set of proxies (first and spread) must equal the key's; without
// one, the front end chooses the set.
func (k *ResolvedRequest) readCallTerms(text string) error {
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(strings.Trim(pair, " \t"), "=")
		x, err := strconv.ParseUint(v, 10, 31)
		ok := err == nil && !seen[name]
		seen[name] = true
		n := int(x)
		switch {
		case !ok:
		case name == "units":
			if float64(n) != k.Units {
				return fmt.Errorf("X-Call-Terms: units=%d, and operation %s takes %v", n, k.Route.Operation, k.Units)
			}
			continue
		case name == "spread" && k.hasAPIKey && n == k.Spread, name == "first" && k.hasAPIKey && n == k.First:
			continue
		case name == "spread" && !k.hasAPIKey && n >= 1 && n <= k.Table.gateways:
			k.Spread = n
			continue
		case name == "first" && !k.hasAPIKey && n < k.Table.gateways:
			k.First = n
			continue
		}
		return fmt.Errorf("X-Call-Terms: %.20q is no whole number, out of range, there twice, or not the key's", name)
	}
	return nil
}

func isVisibleASCII(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
