package policy

import (
	"slices"
	"time"
)

// usesOwnCeiling reports whether a request's ceiling units are taken from the part held by this gateway.
func (r *request) usesOwnCeiling() bool { return r.ownCeiling != r.remote || !r.remote && !r.granted }

// request is a request without a final answer: a client's, or one that another gateway asks for (remote).
type request struct {
	id           RequestID
	customer     *customer
	class        *class
	effect       Effect // the stricter of its class's and its own
	units        float64
	arrivedAt    time.Duration
	deadline     time.Duration
	attempts     int
	server       *server // server of the attempt in flight; nil: none
	sentAt       time.Duration
	loadAtSend   float64 // load of the server when the attempt was sent
	unitsTaken   bool    // whether its units were taken
	mayHaveRun   bool    // whether an attempt may have run
	ranZone      string  // where and when the first such attempt ran, for Keyed classes
	ranCell      int
	ranAt        time.Duration
	done         bool          // it needs no answer any more
	streams      bool          // its answer has begun as a stream
	overdue      bool          // its attempt was found overdue
	cancelled    bool          // its attempt was cancelled in favour of another one
	movedFrom    *server       // where an attempt was last cancelled so: it may take the request again, beyond maxAttempts
	noMoveUntil  time.Duration // until then no other server is looked for
	movedTo      *server       // the server reserved for the other attempt; nil: none
	askChance    float64       // probability with which its root is asked for it
	isRetry      bool          // the client marked it as a retry
	remote       bool          // gateway root received it from a client and asks for it here
	root         int           // the gateway that is asked for it; if remote, the one that asks
	tag          uint32        // identifies it between the two gateways
	askCount     int           // number of asks sent for it
	askedAt      time.Duration
	askUntil     time.Duration // when the wait for the reply ends
	heldAtRoot   bool          // the root holds it and will reply again
	granted      bool          // its root granted it
	ownCeiling   bool          // its ceiling units are taken from the part of the gateway that asks
	service      string
	regions      []string
	serverGroup  string        // identifies the servers that can run it: service and regions
	priority     int           // rank among requests that wait for the same servers, 0 first
	waitedBefore time.Duration // how long its client waited before this request
	maxAttempts  int           // most attempts; 0: no limit
	overQuota    bool          // its customer's quota or ceiling has no units for it
	lastServer   *server       // server of the latest attempt
}

// class is a Class with what outcomes show of it.
type class struct {
	Class
	index    int     // index in Settings.Classes
	mean     float64 // mean latency of an idle server of the fleet, in seconds
	outcomes float64 // number of outcomes in the mean
}

// startAttempt records that an attempt of a request goes to a server.
func (g *Gateway) startAttempt(r *request, s *server) {
	if r.triesUsed() {
		r.movedFrom = nil // back at that server, once
	}
	r.customer.addInFlight(g.now, 1)
	r.server, r.lastServer, r.sentAt, r.loadAtSend = s, s, g.now, g.inFlightAt(s)
	r.overdue, r.cancelled = false, false
	r.attempts++
	s.inFlight, g.inFlight = s.inFlight+1, g.inFlight+1
	s.attempts = append(s.attempts, r)
}

// endAttempt records that the attempt of a request in flight has ended.
func (g *Gateway) endAttempt(r *request, code Code) {
	s := r.server
	if !code.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.ranZone, r.ranCell, r.ranAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.server, r.streams = nil, false
	if r.movedTo != nil {
		r.movedTo.reserved--
		r.movedTo = nil
	}
	s.inFlight, g.inFlight = s.inFlight-1, g.inFlight-1
	r.customer.addInFlight(g.now, -1)
	if i := slices.Index(s.attempts, r); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
}

// inDedupScope reports whether a server recognizes a repeat of the attempt that may have run.
func (r *request) inDedupScope(s *server) bool {
	return (r.class.DedupScope != DedupZone || s.Zone == r.ranZone) && (r.class.DedupScope != DedupCell || s.Cell == r.ranCell)
}

// isAskFrom reports whether gateway num asks for the request, with this tag.
func (r *request) isAskFrom(num int, tag uint32) bool {
	return r.remote && r.root == num && r.tag == tag
}

// enqueue puts a request at the end of its customer's queue, or at the front if its units were taken already.
func (g *Gateway) enqueue(r *request) {
	if len(r.customer.held) == 0 {
		g.waiting = append(g.waiting, r.customer)
	}
	if r.unitsTaken {
		r.customer.held = slices.Insert(r.customer.held, 0, r)
	} else {
		r.customer.held = append(r.customer.held, r)
	}
}

// dequeue removes the i-th request from its customer's queue.
func (g *Gateway) dequeue(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.reportsLeft = reportsPerChange
	if len(c.held) == 0 {
		g.waiting = slices.DeleteFunc(g.waiting, func(w *customer) bool { return w == c })
	}
}
