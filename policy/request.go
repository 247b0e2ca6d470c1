package policy

import (
	"slices"
	"time"
)

// usesOwnCeiling reports whether a request's ceiling units are taken from the part held by this gateway.
func (r *request) charged() bool { return r.own != r.remote || !r.remote && !r.granted }

// request is a request without a final answer: a client's, or one that another gateway asks for (remote).
type request struct {
	id       RequestID
	c        *customer
	cl       *class
	effect   Effect // the stricter of its class's and its own
	units    float64
	arrived  time.Duration
	deadline time.Duration
	attempts int
	srv      *server // server of the attempt in flight; nil: none
	sentAt   time.Duration
	load     float64 // load of the server when the attempt was sent
	counted  bool    // whether its units were taken
	ran      bool    // whether an attempt may have run
	ranZone  string  // where and when the first such attempt ran, for Keyed classes
	ranCell  int
	ranAt    time.Duration
	over     bool    // it needs no answer any more
	stream   bool    // its answer has begun as a stream
	quit     bool    // its attempt was found overdue, and cancelled if possible
	asks     float64 // probability with which its root is asked for it
	repeat   bool    // the client marked it as a retry
	remote   bool    // gateway root received it from a client and asks for it here
	root     int     // the gateway that is asked for it; if remote, the one that asks
	tag      uint32  // identifies it between the two gateways
	asked    int     // number of asks sent for it
	askedAt  time.Duration
	until    time.Duration // when the wait for the reply ends
	waits    bool          // the root holds it and will reply again
	granted  bool          // its root granted it
	own      bool          // its ceiling units are taken from the part of the gateway that asks
	service  string
	homes    []string
	needs    string        // identifies the servers that can run it: service and regions
	prio     int           // rank among requests that wait for the same servers, 0 first
	spent    time.Duration // how long its client waited before this request
	tries    int           // most attempts; 0: no limit
	beyond   bool          // its customer's quota or ceiling has no units for it
	last     *server       // server of the latest attempt
}

// class is a Class with what outcomes show of it.
type class struct {
	Class
	no   int     // index in Settings.Classes
	mean float64 // mean latency of an idle server of the fleet, in seconds
	seen float64 // number of outcomes in the mean
}

// startAttempt records that an attempt of a request goes to a server.
func (g *Gateway) sent(r *request, s *server) {
	r.c.count(g.now, 1)
	r.srv, r.last, r.sentAt, r.load, r.quit = s, s, g.now, g.load(s), false
	r.attempts++
	s.out, g.out = s.out+1, g.out+1
	s.oldest = append(s.oldest, r)
}

// endAttempt records that the attempt of a request in flight has ended.
func (g *Gateway) ended(r *request, code Code) {
	s := r.srv
	if !code.NeverRan() && !r.ran {
		r.ran, r.ranZone, r.ranCell, r.ranAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.srv, r.stream = nil, false
	s.out, g.out = s.out-1, g.out-1
	r.c.count(g.now, -1)
	if i := slices.Index(s.oldest, r); i >= 0 {
		s.oldest = slices.Delete(s.oldest, i, i+1)
	}
}

// inDedupScope reports whether a server recognizes a repeat of the attempt that may have run.
func (r *request) sameGroup(s *server) bool {
	return (r.cl.Group != GroupZone || s.Zone == r.ranZone) && (r.cl.Group != GroupCell || s.Cell == r.ranCell)
}

// isAskFrom reports whether gateway num asks for the request, with this tag.
func (r *request) from(num int, tag uint32) bool { return r.remote && r.root == num && r.tag == tag }

// enqueue puts a request at the end of its customer's queue, or at the front if its units were taken already.
func (g *Gateway) queue(r *request) {
	if len(r.c.held) == 0 {
		g.waiting = append(g.waiting, r.c)
	}
	if r.counted {
		r.c.held = slices.Insert(r.c.held, 0, r)
	} else {
		r.c.held = append(r.c.held, r)
	}
}

// dequeue removes the i-th request from its customer's queue.
func (g *Gateway) unhold(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.fresh = repeatTicks
	if len(c.held) == 0 {
		g.waiting = slices.DeleteFunc(g.waiting, func(w *customer) bool { return w == c })
	}
}
