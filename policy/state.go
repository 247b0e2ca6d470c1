package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// peerView is what one peer gateway last reported about one customer.
type peerView struct {
	peer          *peer
	reportedAt    time.Duration
	reported      bool
	incarnation   uint32
	inFlight      float64
	held          float64
	passedUnits   byte
	lentTotal     byte    // running totals of what was lent of the ceiling, to it
	borrowedTotal byte    // and by it
	wantedUnits   float64 // what it may be lent now
	demand        float64 // asked units, decayed
}

// peer is another gateway and what it last reported.
type peer struct {
	index       int
	incarnation uint32
	reportSeq   uint32
	reportedAt  time.Duration
	reported    bool
	complete    bool               // its last report named all customers with news
	inFlight    map[uint16]float64 // attempts out by server
	views       []*peerView        // what it said of each customer
	missed      int                // asks that it did not answer since it was last heard
	missedAt    time.Duration      // the last of them
}

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	cfg              Settings
	rng              *rand.Rand
	incarnation      uint32
	reportSeq        uint32
	tickInterval     time.Duration
	tickCount        uint32
	started          bool
	startedAt        time.Duration
	now              time.Duration
	lastTick         time.Duration
	classes          map[string]*class
	plans            map[string]*planState
	customers        map[uint64]*customer
	customersByHash  map[uint32]*customer
	customerList     []*customer
	waiting          []*customer
	requests         map[RequestID]*request
	servers          map[ServerID]*server
	serverList       []*server
	peers            []*peer
	retryBudgets     map[string]float64 // of further attempts, by service
	borrows          bool               // reports from all to all are too many: parts of ceilings are borrowed
	regions          []string           // there are
	gatewayRegions   []string           // each gateway, by number
	ceilingParts     int                // in which ceilings are divided; 0: one each
	unusedShare      float64            // part of its own parts that is left unused
	noColdSends      bool               // nothing is sent to cold servers from here
	reportTicks      uint32             // ticks from one report to the next
	inFlight         int                // own attempts out, at all servers
	lateness         float64            // average of latency over aim
	noServerAt       time.Duration      // when a request last found no server with room
	recentSends      float64            // own sends to warm servers, decayed over FailTime
	actions          []Action
	watching         bool
	meanWeight       float64 // mean weight in the list
	runningServers   int     // servers in the list that run
	meanLatency      float64 // seconds an idle server takes, over all classes
	minTarget        float64 // the shortest aim, in seconds
	recentMessages   float64 // messages taken in, decayed over demandSpan
	answeredShare    float64 // share of asks that are answered
	unansweredAsks   int     // asks that went unanswered since a peer was last heard
	ownOutcomeWeight float64 // weight of an outcome in a server's pace here
	admitShare       float64 // part of the requests let in
	usesRoots        bool    // reports from all to all would be too many
	pendingAsks      map[uint32]*request
	askTimeouts      []*request // in the order asked, answered ones too
	nextTag          uint32
	meanReplyTime    time.Duration // mean time to an answer
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// measureInFlight takes each customer's mean of attempts out over a tick, and lends what
// it does not need of its ceiling.
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

func toByte(v float64) byte { return byte(min(math.Round(v), 255)) }

// peerAt returns what is known of a gateway.
func (g *Gateway) peerAt(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{index: num}
	}
	return g.peers[num]
}

// watchServers asks for the server list where it must be asked for, once.
func (g *Gateway) watchServers() {
	if g.cfg.MustWatch && !g.watching {
		g.watching = true
		g.emit(Watch{})
	}
}
