package serverhealth

import (
	"hash/fnv"
	"time"
)

// Kind is whether a request may run more than once.
type Kind uint8

// The kinds.
const (
	Repeatable Kind = iota // may run more than once
	AtMostOnce             // at most once: loans, payments, holds, reservations
	kindCount
)

// Outcome is the result of one attempt at a server, as observed by the proxy.
type Outcome uint8

// The outcomes.
const (
	Confirmed Outcome = iota // a whole answer under its id and seal, in time
	Rejected                 // it said that it has not run
	Unclear                  // reset, silence, cut short, garbled, without a seal: it may have run
	Late                     // confirmed, but long after its aim
	WrongID                  // another request's answer
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
	BinDuration = 2 * time.Second   // of one bin
	Window      = 300 * time.Second // what is older counts no more
	halfLife    = 150 * time.Second // after so long it counts half
)

// Report holds a proxy's observations of servers. Reports may be combined in any order and more than once; the next complete
// report replaces a lost one.
type Report struct {
	Proxy        string        // the proxy's name
	Incarnation  int64         // of the proxy's process
	Zone         string        // the proxy's
	Now          time.Duration // its own steady clock; it means nothing to others but as an origin of bins
	Sequence     uint64        // of the proxy's last change; a later Report has a later Now or a higher No
	ServersTried int           // servers, of whatever service, tried in the last minute
	Failing      []string      // those of them at which a quarter or more was unclear; at most MaxFailing, by name
	FailingCount int           // how many those are, named or not
	Observations []Observation
}

// MaxFailing is the most names in Report.Failing.
const MaxFailing = 64

// Observation holds a proxy's outcomes at one server, for one kind and tenant group, in one bin.
type Observation struct {
	Server     string // its life
	Kind       Kind
	Group      uint8
	Bin        int32 // the witness's steady clock by Span
	Unreliable bool  // the witness itself was starved, cut off or leaving
	Counts     Counts
}

// Counts holds the numbers of attempts by outcome. Those of one Observation never fall.
type Counts [outcomeCount]uint16

// mergeMax joins the counts of one observation that were sent at two times.
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

// weightUnit is the weight of one outcome. Weights are integers, so that sums do not depend on their order.
const weightUnit = 1 << 12

// weights are the weights of outcomes against a server and for it. Turning away is honest and counts for neither.
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
