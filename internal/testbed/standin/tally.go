package standin

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// Tally is what became of all requests so far.
type Tally struct {
	Asked, Served, Refused, Failed int // tries
	Unreached                      int // found no edge node
	Lost                           int // taken, and never answered
	HungUp, Crossed, Unsent        int
	Classes                        map[string]*ClassTally
	Customers                      map[string]*CustomerTally
	Operations                     map[string]*OperationTally
	Statuses                       map[int]int
}

// OperationTally is the same for an operation, with what answers said that it
// was charged.
type OperationTally struct {
	Asked, Served, Refused, Failed int
	Charged                        float64 // units
	Books                          map[string]int
}

// ClassTally is the same for a class.
type ClassTally struct {
	Asked, Served, Refused, Failed int
	Latencies                      []time.Duration // of the served
}

// CustomerTally is the same for a customer.
type CustomerTally struct {
	Plan                   string
	Asked, Served, Refused int
	Units                  float64 // of the served
}

// Quantile returns the latency below which a share of the served lie; 0 where
// there are none.
func (c *ClassTally) Quantile(q float64) time.Duration {
	if len(c.Latencies) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(c.Latencies))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// Tally returns what became of the requests so far.
func (f *Front) Tally() Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tally
	t.Classes, t.Customers = map[string]*ClassTally{}, map[string]*CustomerTally{}
	for k, v := range f.tally.Classes {
		c := *v
		c.Latencies = slices.Clone(v.Latencies)
		t.Classes[k] = &c
	}
	for k, v := range f.tally.Customers {
		c := *v
		t.Customers[k] = &c
	}
	t.Operations, t.Statuses = map[string]*OperationTally{}, maps.Clone(f.tally.Statuses)
	for k, v := range f.tally.Operations {
		o := *v
		o.Books = maps.Clone(v.Books)
		t.Operations[k] = &o
	}
	return t
}

func (o *OperationTally) count(r reply) {
	o.Asked++
	switch {
	case r.status == http.StatusOK:
		o.Served++
		o.Charged += r.units
	case r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable:
		o.Refused++
	case !r.left:
		o.Failed++
	}
	if r.book != "" {
		o.Books[r.book]++
	}
}

// count books what became of a try.
func (f *Front) count(t *loan, r reply) (end, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, u := f.tally.Classes[t.class], f.tally.Customers[t.customer.Key]
	f.tally.Asked++
	c.Asked++
	u.Asked++
	f.tally.Statuses[r.status]++
	if t.ask != nil {
		f.tally.Operations[t.ask.Name].count(r)
	}
	switch {
	case r.left:
		f.tally.HungUp++
		return went, 0
	case r.status == 0:
		f.tally.Lost++
		return failed, 0
	case r.status == http.StatusOK:
		f.tally.Served++
		c.Served++
		u.Served++
		u.Units += max(t.units, r.units)
		if len(c.Latencies) < mostSamples {
			c.Latencies = append(c.Latencies, r.took)
		}
		return served, 0
	case r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable:
		f.tally.Refused++
		c.Refused++
		u.Refused++
		return refused, r.advice
	}
	f.tally.Failed++
	c.Failed++
	return failed, 0
}
