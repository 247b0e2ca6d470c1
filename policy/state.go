package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

// peerView is what one peer gateway last reported about one customer.
type peerView struct {
	p      *peer
	at     time.Duration // time of its last report
	heard  bool          // whether it has reported on the customer
	inc    uint32        // incarnation of the peer that reported
	out    float64       // mean attempts in flight
	held   float64       // requests held
	passed byte          // running total of units passed, as last reported
	gave   byte          // running total of ceiling units lent to the peer
	got    byte          // running total of ceiling units lent by the peer
	want   float64       // units that it may be lent now
	rate   float64       // units requested there, decayed over demandSpan
}

// peer is another gateway and what it last reported.
type peer struct {
	num      int                // its gateway number
	inc      uint32             // its incarnation
	seq      uint32             // sequence number of its last report
	at       time.Duration      // time of its last report
	heard    bool               // whether it has sent any report
	complete bool               // its last report listed every customer that had changes
	outs     map[uint16]float64 // attempts in flight by hash of the server
	views    []*peerView        // what it reported, by customer
	missed   int                // asks left unanswered since its last message
	missedAt time.Duration      // when the last of those asks timed out
}

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	set       Settings
	rng       *rand.Rand
	inc       uint32        // random number that identifies this start of the gateway
	seq       uint32        // sequence number of the last report
	tick      time.Duration // time between two ticks
	ticks     uint32        // ticks since the start
	begun     bool          // whether the first event has come
	start     time.Duration // time of the first event
	now       time.Duration // time of the current event
	lastTick  time.Duration
	classes   map[string]*class      // by name
	plans     map[string]*quota      // by name
	customers map[uint64]*customer   // by key
	byHash    map[uint32]*customer   // by short hash; nil where two share it
	ring      []*customer            // all customers
	waiting   []*customer            // those with held requests
	reqs      map[RequestID]*request // clients' requests without a final answer
	servers   map[ServerID]*server
	fleet     []*server           // all servers, ordered by ID
	peers     []*peer             // by gateway number; nil: not created yet
	budgets   map[string]float64  // retry budget by service
	wide      bool                // too many gateways for reports from each to each: units of ceilings are borrowed
	regions   []string            // all regions with gateways
	regionOf  []string            // region of each gateway, by number
	parts     int                 // parts into which ceilings are divided; 0: one per gateway
	less      float64             // share of its own part that this gateway leaves unused
	barren    bool                // this gateway sends nothing to cold servers
	every     uint32              // ticks from one report to the next
	out       int                 // own attempts in flight, at all servers
	strain    float64             // moving average of latency over the class's LatencyTarget
	lackAt    time.Duration       // when a request last found no server with room
	sendRate  float64             // own sends to warm servers, decayed over FailTime
	acts      []Action            // actions of the current event
	asked     bool                // whether the server list was asked for
	size      float64             // mean weight of the listed servers
	live      int                 // listed servers that are running
	mean      float64             // latency of an idle server in seconds, over all classes
	minAim    float64             // the shortest LatencyTarget, in seconds
	intake    float64             // peer messages received, decayed over demandSpan
	heard     float64             // share of asks that are answered
	deaf      int                 // asks left unanswered since the last message of any peer
	own       float64             // weight of an outcome seen here in a server's slowdown
	gate      float64             // share of arriving requests that are admitted
	tree      bool                // too many gateways for reports from each to each: customers' roots sum the counts
	asks      map[uint32]*request // waiting for a reply of a root or lender, by tag
	asking    []*request          // requests asked for, in order of the asks; includes answered ones
	nextTag   uint32              // tag of the last ask
	reply     time.Duration       // mean time from an ask to its reply
}

// emit adds an action to those that the current event returns.
func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }

// measureInFlight computes each customer's mean number of attempts in flight over the last dt, and lends
// the ceiling units that this gateway does not need.
func (g *Gateway) measure(dt time.Duration) {
	for _, c := range g.ring {
		c.expire(g.now)
		c.count(g.now, 0)
		c.mean, c.area = c.area/dt.Seconds(), 0
		if g.ticks%g.every == 0 {
			g.lend(c, dt*time.Duration(g.every))
		}
	}
}

// toByte rounds v to an integer of at most 255.
func small(v float64) byte { return byte(min(math.Round(v), 255)) }

// peerAt returns the state of the gateway with the number num and creates it if need be.
func (g *Gateway) peer(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{num: num}
	}
	return g.peers[num]
}

// watchServers subscribes to the server list, if the settings require it and it has not done so.
func (g *Gateway) watch() {
	if g.set.MustAsk && !g.asked {
		g.asked = true
		g.do(Watch{})
	}
}
