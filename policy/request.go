package policy

import (
	"slices"
	"time"
)

// usesOwnCeiling tells whether a request's units of the ceiling come out of the part that is held here.
func (r *request) usesOwnCeiling() bool { return r.ownCeiling != r.remote || !r.remote && !r.granted }

// request is a request without a final answer: a client's, or one that another gateway asks for (remote).
type request struct {
	id           RequestID
	customer     *customer
	class        *class
	effect       Effect // the more careful of its class's and its own
	units        float64
	arrivedAt    time.Duration
	deadline     time.Duration
	attempts     int
	server       *server // of the attempt out; nil when none is
	sentAt       time.Duration
	loadAtSend   float64 // the server's when sent to
	unitsTaken   bool    // has taken its units
	mayHaveRun   bool    // an attempt may have run
	ranZone      string  // where and since when, for keyed classes
	ranCell      int
	ranAt        time.Duration
	done         bool
	streams      bool
	cancelled    bool    // its attempt was cancelled
	askChance    float64 // with what chance it was asked for
	isRetry      bool    // the client marked it as one
	remote       bool    // came in at the gateway root, which asks for it
	root         int     // the gateway asked for it
	tag          uint32  // by this name
	askCount     int     // how often
	askedAt      time.Duration
	askUntil     time.Duration // an answer is waited for until then
	heldAtRoot   bool          // held there
	granted      bool
	ownCeiling   bool // its units of the ceiling come out of the asking gateway's part
	service      string
	regions      []string
	serverGroup  string        // the servers that can run it, by service and homes
	priority     int           // rank among those that wait for these
	waitedBefore time.Duration // its client had waited so long before
	maxAttempts  int           // attempts it may have
	overQuota    bool          // its customer's quota has no units for it
	lastServer   *server       // of the attempt before
}

// class is a Class with what outcomes show of it.
type class struct {
	Class
	index    int     // place in the settings
	mean     float64 // seconds an idle server of the fleet takes
	outcomes float64 // outcomes it rests on
}

// startAttempt and ended keep the lists of attempts out.
func (g *Gateway) startAttempt(r *request, s *server) {
	r.customer.addInFlight(g.now, 1)
	r.server, r.lastServer, r.sentAt, r.loadAtSend, r.cancelled = s, s, g.now, g.load(s), false
	r.attempts++
	s.inFlight, g.inFlight = s.inFlight+1, g.inFlight+1
	s.attempts = append(s.attempts, r)
}

func (g *Gateway) endAttempt(r *request, code Code) {
	s := r.server
	if !code.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.ranZone, r.ranCell, r.ranAt = true, s.Zone, s.Cell, r.sentAt
	}
	r.server, r.streams = nil, false
	s.inFlight, g.inFlight = s.inFlight-1, g.inFlight-1
	r.customer.addInFlight(g.now, -1)
	if i := slices.Index(s.attempts, r); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
}

// inDedupScope tells whether a server drops repeats of what may have run.
func (r *request) inDedupScope(s *server) bool {
	return (r.class.DedupScope != DedupZone || s.Zone == r.ranZone) && (r.class.DedupScope != DedupCell || s.Cell == r.ranCell)
}

// isAskFrom tells whether it is what another gateway asks for by this name.
func (r *request) isAskFrom(num int, tag uint32) bool {
	return r.remote && r.root == num && r.tag == tag
}

// enqueue puts a request in its customer's queue, one with units taken first.
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

// dequeue takes the i-th request out of its customer's queue.
func (g *Gateway) dequeue(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.reportsLeft = repeatTicks
	if len(c.held) == 0 {
		g.waiting = slices.DeleteFunc(g.waiting, func(w *customer) bool { return w == c })
	}
}
