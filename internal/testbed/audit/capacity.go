package audit

import (
	"fmt"
	"time"
)

// charge takes a try's units from its customer's ceiling once its first
// attempt has come whole to a loan server.
func (j *Judge) charge(r *request) {
	if r.charged || r.asked == nil || len(r.attempts) == 0 {
		return
	}
	r.charged = true
	p := j.rules.Plans[r.asked.Plan]
	if p.Rate <= 0 {
		return
	}
	s := j.stores[r.asked.Customer]
	if s == nil {
		s = &store{units: p.Burst, at: j.now}
		j.stores[r.asked.Customer] = s
	}
	s.units = min(p.Burst, s.units+p.Rate*(j.now-s.at).Seconds())
	s.at = j.now
	units := r.asked.Units
	if r.book != "" {
		units = r.units // as the book says
	}
	s.units -= units
	s.lowest = max(s.lowest, (p.Burst-s.units)/p.Burst)
	if least := -p.Slack - p.Rate*CeilingSpan.Seconds(); s.units < least {
		j.fault(Break{Rule: CeilingKept, Request: r.id, Server: r.attempts[0].Server, Node: r.attempts[0].Node,
			Customer: r.asked.Customer, Why: fmt.Sprintf("the ceiling's store is at %.2f units, %.2f at least are allowed", s.units, least)})
	}
}

// cold is a server that started a while ago.
type cold struct {
	Started
	at    time.Duration
	work  []arrival // within the last FallTime
	total float64
	named bool // a break was named for this start
}

type arrival struct {
	at   time.Duration
	work float64
	told bool // from an edge node that knew of the start
}

// capacity is what the server can do between two times, in core milliseconds.
func (c *cold) capacity(from, to time.Duration) float64 {
	sum := 0.0
	const parts = 16
	step := (to - from) / parts
	for i := range parts {
		t := from + time.Duration(i)*step + step/2 - c.at
		share := min(1, max(0, t.Seconds()/c.Warm.Seconds()))
		sum += (c.Low + (c.High-c.Low)*share) * float64(step) / float64(time.Millisecond)
	}
	return sum
}

// load judges what a cold server is sent: within every window of FallTime it
// bears FallMultiple of what it can do.
func (j *Judge) load(a *sent) {
	c := j.cold[a.Server]
	if c == nil {
		return
	}
	if j.now-c.at > c.Warm {
		delete(j.cold, a.Server)
		return
	}
	told := j.told[[2]string{a.Node, a.Server}].started
	c.work = append(c.work, arrival{j.now, a.Work, told})
	c.total += a.Work
	for c.work[0].at < j.now-j.rules.FallTime {
		c.total -= c.work[0].work
		c.work = c.work[1:]
	}
	budget := j.rules.FallMultiple*c.capacity(j.now-j.rules.FallTime, j.now) + j.rules.FallSlack
	if c.named || c.total <= budget || !c.knew() {
		return
	}
	c.named = true
	j.fault(Break{Rule: ColdSpared, Request: a.Request, Server: a.Server, Node: a.Node, Why: fmt.Sprintf(
		"%.0f core ms sent within %v, %.0f are its budget", c.total, j.rules.FallTime, budget)})
}

// knew tells whether two thirds of the work came from edge nodes that knew of
// the start.
func (c *cold) knew() bool {
	told := 0.0
	for _, w := range c.work {
		if w.told {
			told += w.work
		}
	}
	return told >= c.total*2/3
}

// fell judges a server that says itself that it was pushed over.
func (j *Judge) fell(ev Fell) {
	c := j.cold[ev.Server]
	if c != nil && !c.named && c.knew() {
		c.named = true
		j.fault(Break{Rule: ColdSpared, Server: ev.Server, Why: fmt.Sprintf("pushed over with %.0f core ms within %v", c.total, j.rules.FallTime)})
	}
}
