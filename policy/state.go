package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// peerView is what one peer gateway last reported about one customer.
type peerView struct {
	peer          *peer
	reportedAt    time.Duration // time of its last report
	reported      bool          // whether it has reported on the customer
	incarnation   uint32        // incarnation of the peer that reported
	inFlight      float64       // mean attempts in flight
	held          float64       // requests held
	passedUnits   byte          // running total of units passed, as last reported
	lentTotal     byte          // running total of ceiling units lent to the peer
	borrowedTotal byte          // running total of ceiling units lent by the peer
	wantedUnits   float64       // units that it may be lent now
	demand        float64       // units requested there, decayed over demandDecay
}

// peer is another gateway and what it last reported.
type peer struct {
	index       int                // its gateway number
	incarnation uint32             // its incarnation
	reportSeq   uint32             // sequence number of its last report
	reportedAt  time.Duration      // time of its last report
	reported    bool               // whether it has sent any report
	complete    bool               // its last report listed every customer that had changes
	inFlight    map[uint16]float64 // attempts in flight by hash of the server
	views       []*peerView        // what it reported, by customer
	missed      int                // asks left unanswered since its last message
	missedAt    time.Duration      // when the last of those asks timed out
}

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg              Settings
	rng              *rand.Rand
	incarnation      uint32        // random number that identifies this start of the gateway
	reportSeq        uint32        // sequence number of the last report
	tickInterval     time.Duration // time between two ticks
	tickCount        uint32        // ticks since the start
	started          bool          // whether the first event has come
	startedAt        time.Duration // time of the first event
	now              time.Duration // time of the current event
	lastTick         time.Duration
	classes          map[string]*class      // by name
	plans            map[string]*planState  // by name
	customers        map[uint64]*customer   // by key
	customersByHash  map[uint32]*customer   // by short hash; nil where two share it
	customerList     []*customer            // all customers
	waiting          []*customer            // those with held requests
	requests         map[RequestID]*request // clients' requests without a final answer
	servers          map[ServerID]*server
	serverList       []*server           // all servers, ordered by ID
	peers            []*peer             // by gateway number; nil: not created yet
	retryBudgets     map[string]float64  // retry budget by service
	borrows          bool                // too many gateways for reports from each to each: units of ceilings are borrowed
	regions          []string            // all regions with gateways
	gatewayRegions   []string            // region of each gateway, by number
	ceilingParts     int                 // parts into which ceilings are divided; 0: one per gateway
	unusedShare      float64             // share of its own part that this gateway leaves unused
	noColdSends      bool                // this gateway sends nothing to cold servers
	reportTicks      uint32              // ticks from one report to the next
	inFlight         int                 // own attempts in flight, at all servers
	lateness         float64             // moving average of latency over the class's LatencyTarget
	noServerAt       time.Duration       // when a request last found no server with room
	recentSends      float64             // own sends to warm servers, decayed over FailTime
	actions          []Action            // actions of the current event
	watching         bool                // whether the server list was asked for
	meanWeight       float64             // mean weight of the listed servers
	runningServers   int                 // listed servers that are running
	meanLatency      float64             // latency of an idle server in seconds, over all classes
	minTarget        float64             // the shortest LatencyTarget, in seconds
	recentMessages   float64             // peer messages received, decayed over demandDecay
	answeredShare    float64             // share of asks that are answered
	unansweredAsks   int                 // asks left unanswered since the last message of any peer
	ownOutcomeWeight float64             // weight of an outcome seen here in a server's slowdown
	admitShare       float64             // share of arriving requests that are admitted
	usesRoots        bool                // too many gateways for reports from each to each: customers' roots sum the counts
	pendingAsks      map[uint32]*request // waiting for a reply of a root or lender, by tag
	askTimeouts      []*request          // requests asked for, in order of the asks; includes answered ones
	nextTag          uint32              // tag of the last ask
	meanReplyTime    time.Duration       // mean time from an ask to its reply
}

// emit adds an action to those that the current event returns.
func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// measureInFlight computes each customer's mean number of attempts in flight over the last dt, and lends
// the ceiling units that this gateway does not need.
func (g *Gateway) measureInFlight(dt time.Duration) {
	for _, c := range g.customerList {
		c.expireLeases(g.now)
		c.addInFlight(g.now, 0)
		c.meanInFlight, c.inFlightSeconds = c.inFlightSeconds/dt.Seconds(), 0
		if g.tickCount%g.reportTicks == 0 {
			g.lend(c, dt*time.Duration(g.reportTicks))
		}
	}
}

// toByte rounds v to an integer of at most 255.
func toByte(v float64) byte { return byte(min(math.Round(v), 255)) }

// peerAt returns the state of the gateway with the number num and creates it if need be.
func (g *Gateway) peerAt(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{index: num}
	}
	return g.peers[num]
}

// watchServers subscribes to the server list, if the settings require it and it has not done so.
func (g *Gateway) watchServers() {
	if g.cfg.MustWatch && !g.watching {
		g.watching = true
		g.emit(Watch{})
	}
}
