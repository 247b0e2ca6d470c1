package node

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/wire"
	"pepperfall.example/pepperfall/policy"
)

const (
	maxRequestIDBytes      = 64  // length limit of a request's id
	maxIdempotencyKeyBytes = 128 // length limit of an Idempotency-Key
	customerHexDigits      = 16
	customerBits           = 33
)

// parseStartLine splits and checks the request line.
func (r *clientRequest) parseStartLine() error {
	var version []byte
	var ok, whole bool
	r.method, version, ok = bytes.Cut(r.firstLine, []byte(" "))
	r.target, version, whole = bytes.Cut(version, []byte(" "))
	if !ok || !whole || !isToken(r.method) || len(r.target) == 0 || r.target[0] != '/' || !isVisibleASCII(r.target) {
		return errSyntax
	}
	if v := string(version); v != "HTTP/1.1" && (v != "HTTP/1.0" || r.length == -1) {
		return errSyntax
	}
	if _, n := r.valueAndCount("Host"); n > 1 {
		return errSyntax
	}
	return nil
}

// wantsClose reports whether the client wants the connection closed after the answer.
func (r *clientRequest) wantsClose() bool {
	return r.hasToken("Connection", "close") || bytes.HasSuffix(r.firstLine, []byte("1.0")) && !r.hasToken("Connection", "keep-alive")
}

func isVisibleASCII(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

func targetPath(target []byte) string {
	p, _, _ := bytes.Cut(target, []byte("?"))
	return string(p)
}

// parseStandaloneRequest checks and reads a client's request. An invalid request is rejected before the policy sees
// it, so that it can't create or change a customer's counts. The errors are sent to the client.
func (s *server) parseStandaloneRequest(r *clientRequest) (*openRequest, error) {
	c := &openRequest{arrived: s.clock.now(), commands: make(chan command, 1)}
	for _, name := range []string{"X-Request-Id", "X-Class", "X-Tier", "Cookie", "X-Deadline-Ms", "Idempotency-Key",
		"X-Call-Terms", "X-Retry", "Content-Type"} {
		if _, n := r.valueAndCount(name); n > 1 {
			return nil, fmt.Errorf("%s: more than once", name)
		}
	}
	id := r.get("X-Request-Id")
	if len(id) == 0 || len(id) > maxRequestIDBytes || !isVisibleASCII(id) {
		return nil, errors.New("X-Request-Id: missing, too long or not plain")
	}
	c.clientID = string(id)
	if err := s.parseClass(c, r); err != nil {
		return nil, err
	}
	c.Plan = wire.PairValue(string(r.get("X-Tier")))
	known := false
	for i := range s.settings.Plans {
		known = known || s.settings.Plans[i].Name == c.Plan
	}
	if !known {
		return nil, fmt.Errorf("X-Tier: unknown plan %q", c.Plan)
	}
	var err error
	if c.Customer, err = customerFromCookies(string(r.get("Cookie"))); err != nil {
		return nil, err
	}
	ms, n := parseDecimal(r.get("X-Deadline-Ms"))
	c.budget = time.Duration(ms) * time.Millisecond
	if n == 0 || n > 9 || c.budget > c.class.Deadline+time.Millisecond { // the settings' deadline may have been rounded
		return nil, fmt.Errorf("X-Deadline-Ms: not whole milliseconds up to the class's %v", c.class.Deadline)
	}
	c.effect = c.class.Effect
	c.Retry = string(r.get("X-Retry")) == "1"
	return c, s.parseCallTerms(&c.Request, string(r.get("X-Call-Terms")))
}

// parseClass sets the request's class and checks that method, path and body fit it.
func (s *server) parseClass(c *openRequest, r *clientRequest) error {
	c.Class = wire.PairValue(string(r.get("X-Class")))
	for i := range s.settings.Classes {
		if s.settings.Classes[i].Name == c.Class {
			c.class = &s.settings.Classes[i]
		}
	}
	if c.class == nil {
		return fmt.Errorf("X-Class: unknown class %q", c.Class)
	}
	first, _, _ := strings.Cut(targetPath(r.target)[1:], "/")
	key := r.get("Idempotency-Key")
	switch {
	case wire.PairValue(first) != c.Class:
		return errors.New("X-Class: not the path's")
	case c.class.Effect == policy.Safe && (string(r.method) != "GET" || len(r.body) > 0):
		return fmt.Errorf("class %s: not GET without a body", c.Class)
	case c.class.Effect != policy.Safe && string(r.method) != "POST":
		return fmt.Errorf("class %s: not POST", c.Class)
	case c.class.Effect == policy.Keyed && (len(key) == 0 || len(key) > maxIdempotencyKeyBytes || !isVisibleASCII(key)):
		return errors.New("Idempotency-Key: missing, too long or not plain")
	}
	return nil
}

// customerFromCookies reads the customer's key from the cookies.
func customerFromCookies(cookies string) (string, error) {
	found := ""
	for pair := range strings.SplitSeq(cookies, ";") {
		if k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "="); k == "key" {
			if found != "" {
				return "", errors.New("cookie key: more than once")
			}
			found = v
		}
	}
	if _, err := strconv.ParseUint(found, 16, customerBits); err != nil || len(found) != customerHexDigits {
		return "", fmt.Errorf("cookie key: not %d hexadecimal digits of a number below 2^%d", customerHexDigits, customerBits)
	}
	return strings.ToLower(found), nil
}

// parseCallTerms reads the request's units and the set of proxies that serve its customer.
func (s *server) parseCallTerms(r *policy.Request, text string) error {
	r.Units, r.GatewayCount = 1, s.settings.Gateways
	if text == "" {
		return nil
	}
	units, spread, first := false, false, false
	for pair := range strings.SplitSeq(text, ",") {
		k, v, _ := strings.Cut(strings.Trim(pair, " \t"), "=")
		x, n := parseDecimal([]byte(v))
		ok := n > 0
		switch k {
		case "units":
			ok = ok && !units && x >= 1 && float64(x) <= max(s.settings.MaxRequestUnits, 1)
			r.Units, units = float64(x), true
		case "spread":
			ok = ok && !spread && x >= 1 && x <= s.settings.Gateways
			r.GatewayCount, spread = x, true
		case "first":
			ok = ok && !first && x < s.settings.Gateways
			r.FirstGateway, first = x, true
		}
		if !ok {
			return fmt.Errorf("X-Call-Terms: %q is no whole number, out of range or there twice", k)
		}
	}
	return nil
}
