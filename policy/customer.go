package policy

import (
	"math"
	"slices"
	"time"
)

// customer holds a customer's counts and its token buckets as this gateway knows them.
type customer struct {
	key    uint64
	hash   uint32 // identifies it in reports
	plan   *quota
	first  int              // number of the first of its gateways
	spread int              // number of its gateways, counted up from the first and round
	dryAt  time.Duration    // when none of the gateways asked had units to lend; 0: never
	near   []int            // the gateways to borrow ceiling units from, those of this region first
	ask    []int            // root and deputy to ask for each request; empty where this gateway sums the counts itself
	part   float64          // share of its demand that fits its limits, as its root said
	partAt time.Duration    // when the root said so
	sums   bool             // this gateway is its root or deputy and other gateways ask here
	leases map[lease]leased // requests granted to other gateways and not reported as ended
	set    []*peerView      // its other gateways that report on it
	n      float64          // the ceiling is divided into so many parts; this gateway holds one
	held   []*request       // held requests, in arrival order
	out    int              // attempts in flight, with those granted to other gateways
	born   time.Duration    // when its counts began
	seen   time.Duration    // when it last sent a request
	area   float64          // integral over time of the attempts in flight since the last measurement, in seconds
	areaAt time.Duration    // end of that integral
	mean   float64          // mean number of attempts in flight between the last two measurements

	at        time.Duration // when the buckets were last refilled
	store     float64       // estimated units in the bucket of the rate quota
	known     bool          // whether the estimate has any basis but the full bucket of a new customer
	ceiling   float64       // units in this gateway's part of the hard ceiling's bucket
	lent      float64       // units lent and in transit: the part is not refilled in their place until they have arrived
	passed    uint16        // running total of units passed, reported to peers
	rate      float64       // units requested here, decayed over demandSpan
	places    float64       // the same in seconds in flight that the requests need
	fresh     int           // number of reports in which a change is still repeated
	told      uint32        // tick of the last report on it
	toldUnits uint16        // units passed, as last reported
	urgency   float64       // its priority in the next report
}

// planState is a plan and the units that this gateway passed of it.
type quota struct {
	Plan
	no     byte     // index in Settings.Plans
	agreed decaying // units passed here that a root granted, decayed over thinSpan
	alone  decaying // units passed here while no root answered, decayed over demandSpan
}

// decayingSum is a sum that falls to 1/e of its value in each span.
type decaying struct {
	value float64
	at    time.Duration
}

// add brings the sum up to now, adds a value and returns the result.
func (d *decaying) sum(now, span time.Duration, add float64) float64 {
	d.value = d.value*math.Exp(-float64(now-d.at)/float64(span)) + add
	d.at = now
	return d.value
}

// leaseKey identifies a request that another gateway asked for.
type lease struct {
	from int
	tag  uint32
}

// leaseEntry is a granted request and when it stops to count as in flight, unless the lease is renewed.
type leased struct {
	until time.Duration
	r     *request
}

// chargeUnits takes a request's units from the buckets, and records whether a root granted them.
func (c *customer) take(r *request, now time.Duration) {
	if !r.granted && len(c.ask) > 0 && !r.remote {
		c.plan.alone.sum(now, demandSpan, r.units)
	}
	if r.granted {
		c.plan.agreed.sum(now, thinSpan, r.units)
	}
	c.store = max(0, c.store-r.units)
	if c.plan.HardRate > 0 && r.charged() {
		c.ceiling -= r.units
	}
	c.passed += uint16(r.units)
}

// addInFlight adds delta to the attempts in flight, and their number until now to the integral.
func (c *customer) count(now time.Duration, delta int) {
	c.area += float64(c.out) * (now - c.areaAt).Seconds()
	c.areaAt = now
	c.out += delta
}

// addDemand adds a request to the customer's demand. If gateways ask for only a sample of the requests, chance is
// the sampling probability, and the request is weighted by 1/chance.
func (c *customer) asked(r *request, chance float64) {
	c.rate += r.units / chance
	c.places += r.cl.mean / chance
}

// adjustUnits charges units, or returns them if negative, once the true units of a request are known.
func (c *customer) settle(units float64) {
	c.store -= units
	c.passed += uint16(int(units))
}

// expireLeases removes the leases that have expired.
func (c *customer) expire(now time.Duration) {
	for l, v := range c.leases {
		if now > v.until {
			delete(c.leases, l)
			c.count(now, -1)
		}
	}
}

// pendingAsk finds a request that another gateway has asked for before and that is granted or held here, and
// returns which of the two it is.
func (c *customer) pending(from int, tag uint32) (*request, byte) {
	if l, ok := c.leases[lease{from, tag}]; ok {
		return l.r, granted
	}
	if i := slices.IndexFunc(c.held, func(r *request) bool { return r.from(from, tag) }); i >= 0 {
		return c.held[i], waits
	}
	return nil, refused
}

// viewOf returns what a peer reported about the customer; nil: the peer does not report on it.
func (c *customer) view(p *peer) *peerView {
	for _, v := range c.set {
		if v.p == p {
			return v
		}
	}
	return nil
}

// addViews creates the entries for what the given gateways report about a customer.
func (g *Gateway) views(c *customer, others []int) {
	for _, num := range others {
		if num != g.set.Me && !(g.set.Field != nil && g.gone(g.peer(num))) {
			v := &peerView{p: g.peer(num)}
			c.set, v.p.views = append(c.set, v), append(v.p.views, v)
		}
	}
}

// addCustomer adds a customer to the tables. Reports can't tell apart two customers of the same short hash: their
// entries are ignored.
func (g *Gateway) enter(c *customer) {
	g.customers[c.key] = c
	if _, shared := g.byHash[c.hash]; shared {
		g.byHash[c.hash] = nil
	} else {
		g.byHash[c.hash] = c
	}
	g.ring = append(g.ring, c)
}

// KeyOf returns the key of a customer in OfferUnits and UnitsReceived.
func KeyOf(customer string) uint64 { return keyOf(customer) }

// Ceiling returns the units that this gateway holds of a customer's ceiling.
func (g *Gateway) Ceiling(customer string) float64 {
	c := g.customers[keyOf(customer)]
	if c == nil {
		return 0
	}
	g.advance(c)
	return c.ceiling
}
