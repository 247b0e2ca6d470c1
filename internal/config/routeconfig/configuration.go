package routeconfig

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Configuration is one version of the configuration. It does not change once parsed,
// and may be read by any number of goroutines.
type Configuration struct {
	Gen      uint64 // the number behind the r, 1 or more
	Routes   []Route
	Backends []Backend
	Limits   Limits
	Tenants  []Tenant

	hosts    map[string]*host
	tenants  map[string]*Tenant // by key
	backends map[string]*Backend
}

// Kind says what a route's requests may do.
type Kind string

// The kinds.
const (
	Idempotent Kind = "idempotent" // may run more than once
	Mutating   Kind = "mutating"   // runs at most once for each try of a client
)

// Route says where the requests for a host and a prefix go.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    Kind
	Timeout time.Duration // the longest a request is held, above 0
	Target  time.Duration // an answer within it earns full worth; Timeout if not told
	Prio    int           // rank, 0 is highest
	Split   []Share       // never empty, weights sum above 0
	Tries   int           // the most servers one try may be sent to, 1 or more
	Public  bool          // needs no key
	Homes   []string      // regions it is bound to; empty: any
}

// Share is one service of a route.
type Share struct {
	Backend string
	Weight  float64 // 0 or more, in no unit
}

// Backend is a service.
type Backend struct {
	Name       string
	HealthPath string        // empty: not told
	MaxConns   int           // connections a server takes from all callers; 0: not told
	Protocol   string        // "h1" if not told
	TLS        bool          // servers speak TLS
	Warmup     time.Duration // a started server is cold for so long
	WarmupPerS float64       // requests a second a cold server bears
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // a request's head has to come within it
	IdleTimeout    time.Duration // a connection may rest so long
}

// Tenant is a holder of keys.
type Tenant struct {
	Name     string
	Keys     []string
	Prio     int      // rank, 0 is highest; see Rank
	RatePerS float64  // requests a second at all nodes together; 0: no limit
	Burst    float64  // requests above that
	Homes    []string // regions it is bound to; empty: any

	unranked bool // no prio was told
}

// Rank returns the rank of a request on the route r: the tenant's if it has
// one, else the route's. t may be nil.
func (t *Tenant) Rank(r *Route) int {
	if t == nil || t.unranked {
		return r.Prio
	}
	return t.Prio
}

// Number returns the number of a version: 12 for "r12". Any other form, and
// 0, which stands for no version elsewhere, is an error.
func Number(gen string) (uint64, error) {
	digits, ok := strings.CutPrefix(gen, "r")
	if !ok {
		return 0, errors.Errorf("%q: not r and a number", gen)
	}
	n, err := strconv.ParseUint(digits, 10, 64) // takes no sign
	if err != nil || n == 0 {
		return 0, errors.Errorf("%q: not r and a number above 0", gen)
	}
	return n, nil
}

// Above tells whether a holds over b: it has the higher number or, of equal
// numbers, the higher digest.
func Above(genA uint64, digestA [32]byte, genB uint64, digestB [32]byte) bool {
	if genA != genB {
		return genA > genB
	}
	return bytes.Compare(digestA[:], digestB[:]) > 0
}
