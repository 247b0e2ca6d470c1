package serverhealth

import (
	"hash/fnv"
	"time"
)

// Kind is whether a request may run more than once.
type Kind uint8

// The kinds.
const (
	Repeatable Kind = iota // may run more than once, such as a search
	AtMostOnce             // must run at most once: loans, payments, holds, reservations
	kindCount
)

// Outcome is the result of one attempt at a server, as observed by the proxy.
type Outcome uint8

// The outcomes.
const (
	Confirmed Outcome = iota // complete response with the request's id and a valid seal, in time
	Rejected                 // the server stated that it did not run the request
	Unclear                  // reset, timeout, truncated, malformed or unsealed response: the request may have run
	Late                     // confirmed, but long after the latency target
	WrongID                  // response to another request
	outcomeCount
)

// Groups is the number of tenant groups. Each tenant is always in the same group.
const Groups = 16

// Group returns the group of a tenant, the same at all proxies. Requests without a tenant are in the group of the empty name.
func Group(tenant string) uint8 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(tenant))
	return uint8(h.Sum32() % Groups)
}

// Times of evidence.
const (
	BinDuration = 2 * time.Second   // length of one bin
	Window      = 300 * time.Second // older evidence is ignored
	halfLife    = 150 * time.Second // of the weight of evidence
)

// Report holds a proxy's observations of servers. Reports may be combined in any order and more than once; the next complete
// report replaces a lost one.
type Report struct {
	Proxy        string        // name of the proxy
	Incarnation  int64         // of the proxy
	Zone         string        // zone of the proxy
	Now          time.Duration // proxy's monotonic clock; other processes use it only to locate bins
	Sequence     uint64        // of the recorder's last change; a later report has a later Now or a higher Sequence
	ServersTried int           // servers of all services with attempts in the last minute
	Failing      []string      // those with a failure share of 1/4 or more; at most MaxFailing, sorted by name
	FailingCount int           // number of failing servers, listed or not
	Observations []Observation
}

// MaxFailing is the maximum number of names in Report.Failing.
const MaxFailing = 64

// Observation holds a proxy's outcomes at one server, for one kind and tenant group, in one bin.
type Observation struct {
	Server     string // incarnation of the server
	Kind       Kind
	Group      uint8
	Bin        int32 // proxy's monotonic clock divided by BinDuration
	Unreliable bool  // the proxy itself was short of CPU, disconnected or shutting down
	Counts     Counts
}

// Counts holds the numbers of attempts by outcome. The counts of one observation never decrease.
type Counts [outcomeCount]uint16

// mergeMax merges another report of the same observation. Counts only grow, so the higher value is the newer one.
func (c *Counts) mergeMax(o Counts) {
	for i := range c {
		c[i] = max(c[i], o[i])
	}
}

func (c *Counts) total() (n int) {
	for _, k := range c {
		n += int(k)
	}
	return n
}

// weightUnit is the weight of one outcome. Weights are integers, so sums don't depend on their order.
const weightUnit = 1 << 12

// weights are the weights of outcomes against and for a server. A rejection is a valid response and counts for neither.
var weights = [outcomeCount]struct{ bad, good int64 }{
	Confirmed: {0, weightUnit}, Rejected: {0, 0}, Unclear: {weightUnit, 0}, Late: {weightUnit / 4, weightUnit / 2}, WrongID: {weightUnit, 0},
}

func (c *Counts) weightedSums() (bad, good int64) {
	for i, n := range c {
		bad += int64(n) * weights[i].bad
		good += int64(n) * weights[i].good
	}
	return bad, good
}
