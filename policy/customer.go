package policy

import (
	"math"
	"slices"
	"time"
)

// customer holds a customer's counts and its token buckets as this gateway knows them.
type customer struct {
	key             uint64
	hash            uint32 // in reports
	plan            *planState
	firstGateway    int // its gateways: spread of them, counted round from first
	gatewayCount    int
	noLenderAt      time.Duration // when none of those asked had units to lend; 0: never
	owners          []int         // its owners, those near here first, where its ceiling is borrowed of
	askRoots        []int         // the gateways that sum its counts, where this one does not
	fittingShare    float64       // of what is asked for fits, as its root said
	fittingShareAt  time.Duration
	countsForOthers bool                    // others ask it here, as its root or deputy
	leases          map[leaseKey]leaseEntry // granted to others and not told of as ended
	views           []*peerView             // its other gateways
	parts           float64                 // its gateways, this one included
	held            []*request              // waiting, in arrival order
	inFlight        int
	createdAt       time.Duration // when its counts began
	lastRequestAt   time.Duration // its last request
	inFlightSeconds float64       // integral of out over the tick, for its mean
	inFlightAt      time.Duration
	meanInFlight    float64

	refilledAt     time.Duration // time of the stores below
	bucket         float64       // estimate of the quota's store
	bucketKnown    bool          // the estimate rests on more than a fresh start
	ceiling        float64       // own hard part of the ceiling
	onLoan         float64       // of it, a moment ago: not filled again before it has arrived
	passedUnits    uint16        // running totals of units, told to peers
	demand         float64       // own asked units, decayed over demandSpan
	slotDemand     float64       // the same in seconds that the requests need a place for
	reportsLeft    int           // ticks for which a change is still told
	reportedTick   uint32        // tick of the last report
	reportedUnits  uint16        // passed, as last told
	reportPriority float64       // its place in the report
}

// planState is a plan with its place in the settings.
type planState struct {
	Plan
	index         byte
	passedGranted decayingSum // units passed here by a root's answer, over thinSpan
	passedAlone   decayingSum // and with none, over demandSpan
}

// decayingSum is a sum that falls by 1/e in each span.
type decayingSum struct {
	value float64
	at    time.Duration
}

func (d *decayingSum) add(now, span time.Duration, add float64) float64 {
	d.value = d.value*math.Exp(-float64(now-d.at)/float64(span)) + add
	d.at = now
	return d.value
}

// leaseKey names a request that another gateway asked for.
type leaseKey struct {
	from int
	tag  uint32
}

type leaseEntry struct {
	until   time.Duration
	request *request
}

// chargeUnits takes a request's units from the stores, and records who granted them.
func (c *customer) chargeUnits(r *request, now time.Duration) {
	if !r.granted && len(c.askRoots) > 0 && !r.remote {
		c.plan.passedAlone.add(now, demandSpan, r.units)
	}
	if r.granted {
		c.plan.passedGranted.add(now, thinSpan, r.units)
	}
	c.bucket = max(0, c.bucket-r.units)
	if c.plan.HardRate > 0 && r.usesOwnCeiling() {
		c.ceiling -= r.units
	}
	c.passedUnits += uint16(r.units)
}

func (c *customer) addInFlight(now time.Duration, d int) {
	c.inFlightSeconds += float64(c.inFlight) * (now - c.inFlightAt).Seconds()
	c.inFlightAt = now
	c.inFlight += d
}

// addDemand counts a request in what its customer's clients ask for; it was asked for
// with such a chance, and stands for others that were not.
func (c *customer) addDemand(r *request, chance float64) {
	c.demand += r.units / chance
	c.slotDemand += r.class.mean / chance
}

// adjustUnits takes or gives back units after a guess.
func (c *customer) adjustUnits(units float64) {
	c.bucket -= units
	c.passedUnits += uint16(int(units))
}

// expireLeases drops the leases that have run out.
func (c *customer) expireLeases(now time.Duration) {
	for l, v := range c.leases {
		if now > v.until {
			delete(c.leases, l)
			c.addInFlight(now, -1)
		}
	}
}

// pendingAsk finds a request that another gateway has asked for before, granted or
// held here, and which of both it is.
func (c *customer) pendingAsk(from int, tag uint32) (*request, byte) {
	if l, ok := c.leases[leaseKey{from, tag}]; ok {
		return l.request, granted
	}
	if i := slices.IndexFunc(c.held, func(r *request) bool { return r.isAskFrom(from, tag) }); i >= 0 {
		return c.held[i], heldAtRoot
	}
	return nil, refused
}

// viewOf is what one of the others says of a customer; nil: it counts nothing of it.
func (c *customer) viewOf(p *peer) *peerView {
	for _, v := range c.views {
		if v.peer == p {
			return v
		}
	}
	return nil
}

// addViews makes room for what each of the others says of a customer.
func (g *Gateway) addViews(c *customer, others []int) {
	for _, num := range others {
		if num != g.cfg.Me && !(g.cfg.MultiService != nil && g.gone(g.peerAt(num))) {
			v := &peerView{peer: g.peerAt(num)}
			c.views, v.peer.views = append(c.views, v), append(v.peer.views, v)
		}
	}
}

// addCustomer puts a customer in the tables. Two of one short hash can't be told
// apart in reports: none is taken for either.
func (g *Gateway) addCustomer(c *customer) {
	g.customers[c.key] = c
	if _, twice := g.customersByHash[c.hash]; twice {
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
