package policy

import (
	"math"
	"slices"
	"time"
)

// customer holds a customer's counts and its token buckets as this gateway knows them.
type customer struct {
	key             uint64
	hash            uint32 // identifies it in reports
	plan            *planState
	firstGateway    int                     // number of the first of its gateways
	gatewayCount    int                     // number of its gateways, counted up from the first and round
	noLenderAt      time.Duration           // when none of the gateways asked had units to lend; 0: never
	owners          []int                   // the gateways to borrow ceiling units from, those of this region first
	askRoots        []int                   // root and deputy to ask for each request; empty where this gateway sums the counts
	fittingShare    float64                 // share of its demand that fits its limits, as its root said
	fittingShareAt  time.Duration           // when the root said so
	countsForOthers bool                    // this gateway is its root or deputy and other gateways ask here
	leases          map[leaseKey]leaseEntry // requests granted to other gateways and not reported as ended
	views           []*peerView             // its other gateways that report on it
	parts           float64                 // the ceiling is divided into so many parts; this gateway holds one
	held            []*request              // held requests, in arrival order
	inFlight        int                     // attempts in flight, with those granted to other gateways
	createdAt       time.Duration           // when its counts began
	lastRequestAt   time.Duration           // when it last sent a request
	inFlightSeconds float64                 // integral over time of the attempts in flight since the last measurement, in seconds
	inFlightAt      time.Duration           // end of that integral
	meanInFlight    float64                 // mean number of attempts in flight between the last two measurements

	refilledAt     time.Duration // when the buckets were last refilled
	bucket         float64       // estimated units in the bucket of the rate quota
	bucketKnown    bool          // whether the estimate has any basis but the full bucket of a new customer
	ceiling        float64       // units in this gateway's part of the hard ceiling's bucket
	onLoan         float64       // units lent and in transit: the part is not refilled in their place until they have arrived
	passedUnits    uint16        // running total of units passed, reported to peers
	demand         float64       // units requested here, decayed over demandDecay
	slotDemand     float64       // the same in seconds in flight that the requests need
	reportsLeft    int           // number of reports in which a change is still repeated
	reportedTick   uint32        // tick of the last report on it
	reportedUnits  uint16        // units passed, as last reported
	reportPriority float64       // its priority in the next report
}

// planState is a plan and the units that this gateway passed of it.
type planState struct {
	Plan
	index         byte        // index in Settings.Plans
	passedGranted decayingSum // units passed here that a root granted, decayed over askShareSpan
	passedAlone   decayingSum // units passed here while no root answered, decayed over demandDecay
}

// decayingSum is a sum that falls to 1/e of its value in each span.
type decayingSum struct {
	value float64
	at    time.Duration
}

// add brings the sum up to now, adds a value and returns the result.
func (d *decayingSum) add(now, span time.Duration, add float64) float64 {
	d.value = d.value*math.Exp(-float64(now-d.at)/float64(span)) + add
	d.at = now
	return d.value
}

// leaseKey identifies a request that another gateway asked for.
type leaseKey struct {
	from int
	tag  uint32
}

// leaseEntry is a granted request and when it stops to count as in flight, unless the lease is renewed.
type leaseEntry struct {
	until   time.Duration
	request *request
}

// chargeUnits takes a request's units from the buckets, and records whether a root granted them.
func (c *customer) chargeUnits(r *request, now time.Duration) {
	if !r.granted && len(c.askRoots) > 0 && !r.remote {
		c.plan.passedAlone.add(now, demandDecay, r.units)
	}
	if r.granted {
		c.plan.passedGranted.add(now, askShareSpan, r.units)
	}
	c.bucket = max(0, c.bucket-r.units)
	if c.plan.HardRate > 0 && r.usesOwnCeiling() {
		c.ceiling -= r.units
	}
	c.passedUnits += uint16(r.units)
}

// addInFlight adds delta to the attempts in flight, and their number until now to the integral.
func (c *customer) addInFlight(now time.Duration, delta int) {
	c.inFlightSeconds += float64(c.inFlight) * (now - c.inFlightAt).Seconds()
	c.inFlightAt = now
	c.inFlight += delta
}

// addDemand adds a request to the customer's demand. If gateways ask for only a sample of the requests, chance is
// the sampling probability, and the request is weighted by 1/chance.
func (c *customer) addDemand(r *request, chance float64) {
	c.demand += r.units / chance
	c.slotDemand += r.class.mean / chance
}

// adjustUnits charges units, or returns them if negative, once the true units of a request are known.
func (c *customer) adjustUnits(units float64) {
	c.bucket -= units
	c.passedUnits += uint16(int(units))
}

// expireLeases removes the leases that have expired.
func (c *customer) expireLeases(now time.Duration) {
	for l, v := range c.leases {
		if now > v.until {
			delete(c.leases, l)
			c.addInFlight(now, -1)
		}
	}
}

// pendingAsk finds a request that another gateway has asked for before and that is granted or held here, and
// returns which of the two it is.
func (c *customer) pendingAsk(from int, tag uint32) (*request, byte) {
	if l, ok := c.leases[leaseKey{from, tag}]; ok {
		return l.request, granted
	}
	if i := slices.IndexFunc(c.held, func(r *request) bool { return r.isAskFrom(from, tag) }); i >= 0 {
		return c.held[i], heldAtRoot
	}
	return nil, refused
}

// viewOf returns what a peer reported about the customer; nil: the peer does not report on it.
func (c *customer) viewOf(p *peer) *peerView {
	for _, v := range c.views {
		if v.peer == p {
			return v
		}
	}
	return nil
}

// addViews creates the entries for what the given gateways report about a customer.
func (g *Gateway) addViews(c *customer, others []int) {
	for _, num := range others {
		if num != g.cfg.Me && !(g.cfg.MultiService != nil && g.isNotPeer(g.peerAt(num))) {
			v := &peerView{peer: g.peerAt(num)}
			c.views, v.peer.views = append(c.views, v), append(v.peer.views, v)
		}
	}
}

// registerCustomer adds a customer to the tables. Reports can't tell apart two customers of the same short hash: their
// entries are ignored.
func (g *Gateway) registerCustomer(c *customer) {
	g.customers[c.key] = c
	if _, shared := g.customersByHash[c.hash]; shared {
		g.customersByHash[c.hash] = nil
	} else {
		g.customersByHash[c.hash] = c
	}
	g.customerList = append(g.customerList, c)
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
