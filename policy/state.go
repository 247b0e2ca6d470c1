package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type customer struct {
	key    uint64
	hash   uint32 // in reports
	plan   *quota
	first  int // its gateways: spread of them, counted round from first
	spread int
	dryAt  time.Duration // when none of those asked had units to lend; 0: never
	near   []int         // its owners, those near here first, where its ceiling is borrowed of
	ask    []int         // the gateways that sum its counts, where this one does not
	part   float64       // of what is asked for fits, as its root said
	partAt time.Duration
	sums   bool             // others ask it here, as its root or deputy
	leases map[lease]leased // granted to others and not told of as ended
	set    []*peerView      // its other gateways
	n      float64          // its gateways, this one included
	held   []*request       // waiting, in arrival order
	out    int
	born   time.Duration // when its counts began
	seen   time.Duration // its last request
	area   float64       // integral of out over the tick, for its mean
	areaAt time.Duration
	mean   float64

	at        time.Duration // time of the stores below
	store     float64       // estimate of the quota's store
	known     bool          // the estimate rests on more than a fresh start
	ceiling   float64       // own hard part of the ceiling
	lent      float64       // of it, a moment ago: not filled again before it has arrived
	passed    uint16        // running totals of units, told to peers
	rate      float64       // own asked units, decayed over demandSpan
	places    float64       // the same in seconds that the requests need a place for
	fresh     int           // ticks for which a change is still told
	told      uint32        // tick of the last report
	toldUnits uint16        // passed, as last told
	urgency   float64       // its place in the report
}

// quota is a plan with its place in the settings.
type quota struct {
	Plan
	no     byte
	agreed decaying // units passed here by a root's word, over thinSpan
	alone  decaying // and with none, over demandSpan
}

// decaying is a sum that falls by 1/e in each span.
type decaying struct {
	value float64
	at    time.Duration
}

func (d *decaying) sum(now, span time.Duration, add float64) float64 {
	d.value = d.value*math.Exp(-float64(now-d.at)/float64(span)) + add
	d.at = now
	return d.value
}

// lease names a request that another gateway asked for.
type lease struct {
	from int
	tag  uint32
}

type leased struct {
	until time.Duration
	r     *request
}

// take takes a request's units from the stores, and notes by whose word.
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

// charged tells whether a request's units of the ceiling come out of the part that is held here.
func (r *request) charged() bool { return r.own != r.remote || !r.remote && !r.granted }

// record is what the fleet knows of a server for one class.
type record struct {
	errs  float64       // the watcher's average
	okAt  time.Duration // its last answer here
	bad   bool          // out of use for the class, until a time
	until time.Duration
	wait  time.Duration // after its last trial
	trial time.Duration // when the watcher may next try it
}

// peerView is what one other gateway last said of one customer.
type peerView struct {
	p      *peer
	at     time.Duration
	heard  bool
	inc    uint32
	out    float64
	held   float64
	passed byte
	gave   byte    // running totals of what was lent of the ceiling, to it
	got    byte    // and by it
	want   float64 // what it may be lent now
	rate   float64 // asked units, decayed
}

type peer struct {
	num      int
	inc      uint32
	seq      uint32
	at       time.Duration
	heard    bool
	complete bool               // its last report named all customers with news
	outs     map[uint16]float64 // attempts out by server
	views    []*peerView        // what it said of each customer
	missed   int                // asks that it did not answer since it was last heard
	missedAt time.Duration      // the last of them
}

type request struct {
	id       RequestID
	c        *customer
	cl       *class
	effect   Effect // the more careful of its class's and its own
	units    float64
	arrived  time.Duration
	deadline time.Duration
	attempts int
	srv      *server // of the attempt out; nil when none is
	sentAt   time.Duration
	load     float64 // the server's when sent to
	counted  bool    // has taken its units
	ran      bool    // an attempt may have run
	ranZone  string  // where and since when, for keyed classes
	ranCell  int
	ranAt    time.Duration
	over     bool
	stream   bool
	quit     bool    // its attempt was cancelled
	asks     float64 // with what chance it was asked for
	repeat   bool    // the client marked it as one
	remote   bool    // came in at the gateway root, which asks for it
	root     int     // the gateway asked for it
	tag      uint32  // by this name
	asked    int     // how often
	askedAt  time.Duration
	until    time.Duration // an answer is waited for until then
	waits    bool          // held there
	granted  bool
	own      bool // its units of the ceiling come out of the asking gateway's part
	service  string
	homes    []string
	needs    string        // the servers that can run it, by service and homes
	prio     int           // rank among those that wait for these
	spent    time.Duration // its client had waited so long before
	tries    int           // attempts it may have
	beyond   bool          // its customer's quota has no units for it
	last     *server       // of the attempt before
}

type class struct {
	Class
	no   int     // place in the settings
	mean float64 // seconds an idle server of the fleet takes
	seen float64 // outcomes it rests on
}

type server struct {
	Server
	hash       uint16
	out        int
	slow       float64                  // latency against the fleet's, at equal load
	heard      float64                  // attempts out there, as the peers last said
	oldest     []*request               // attempts out, oldest first
	goneAt     time.Duration            // when it left the list; 0: it is there
	fullAt     map[*quota]time.Duration // until then it is taken to turn this plan away
	fullTill   time.Duration            // until then it takes nobody
	lackedTill time.Duration            // until then requests that may go to few regions find no room
	sends      []time.Duration          // while cold: recent sends
	others     float64                  // out there by others, as it told itself
	othersAt   time.Duration
	told       bool    // it has
	usual      float64 // out there by others at the servers of its service and region
	colds      int     // of the sends allowed here

	weight    float64  // in the draw at hand
	part      float64  // in all draws here, 1 in the mean over the gateways
	watchers  [2]int   // the gateways that judge it for all; the second only whether it can be reached
	by        []record // by class
	verdicts  float64  // its watcher may send now
	verdictAt time.Duration
	pace      float64 // latency against the fleet's, as the watcher learns it

	trust Trust // by what all gateways saw
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	set       Settings
	rng       *rand.Rand
	inc       uint32
	seq       uint32
	tick      time.Duration
	ticks     uint32
	begun     bool
	start     time.Duration
	now       time.Duration
	lastTick  time.Duration
	classes   map[string]*class
	plans     map[string]*quota
	customers map[uint64]*customer
	byHash    map[uint32]*customer
	ring      []*customer
	waiting   []*customer
	reqs      map[RequestID]*request
	servers   map[ServerID]*server
	fleet     []*server
	peers     []*peer
	budgets   map[string]float64 // of further attempts, by service
	wide      bool               // reports from all to all are too many: parts of ceilings are borrowed
	regions   []string           // there are
	regionOf  []string           // each gateway, by number
	parts     int                // in which ceilings are divided; 0: one each
	less      float64            // part of its own parts that is left unused
	barren    bool               // nothing is sent to cold servers from here
	every     uint32             // ticks from one report to the next
	out       int                // own attempts out, at all servers
	strain    float64            // average of latency over aim
	lackAt    time.Duration      // when a request last found no server with room
	sendRate  float64            // own sends to warm servers, decayed over FallTime
	acts      []Action
	asked     bool
	size      float64 // mean weight in the list
	live      int     // servers in the list that run
	mean      float64 // seconds an idle server takes, over all classes
	minAim    float64 // the shortest aim, in seconds
	intake    float64 // messages taken in, decayed over demandSpan
	heard     float64 // share of asks that are answered
	deaf      int     // asks that went unanswered since a peer was last heard
	own       float64 // weight of an outcome in a server's pace here
	gate      float64 // part of the requests let in
	tree      bool    // reports from all to all would be too many
	asks      map[uint32]*request
	asking    []*request // in the order asked, answered ones too
	nextTag   uint32
	reply     time.Duration // mean time to an answer
}

func (g *Gateway) do(a Action) { g.acts = append(g.acts, a) }

func (c *customer) count(now time.Duration, d int) {
	c.area += float64(c.out) * (now - c.areaAt).Seconds()
	c.areaAt = now
	c.out += d
}

// asked counts a request in what its customer's clients ask for; it was asked for
// with such a chance, and stands for others that were not.
func (c *customer) asked(r *request, chance float64) {
	c.rate += r.units / chance
	c.places += r.cl.mean / chance
}

// settle takes or gives back units after a guess.
func (c *customer) settle(units float64) {
	c.store -= units
	c.passed += uint16(int(units))
}

// sent and ended keep the lists of attempts out.
func (g *Gateway) sent(r *request, s *server) {
	r.c.count(g.now, 1)
	r.srv, r.last, r.sentAt, r.load, r.quit = s, s, g.now, g.load(s), false
	r.attempts++
	s.out, g.out = s.out+1, g.out+1
	s.oldest = append(s.oldest, r)
}

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

// sameGroup tells whether a server drops repeats of what may have run.
func (r *request) sameGroup(s *server) bool {
	return (r.cl.Group != GroupZone || s.Zone == r.ranZone) && (r.cl.Group != GroupCell || s.Cell == r.ranCell)
}

// measure takes each customer's mean of attempts out over a tick, and lends what
// it does not need of its ceiling.
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

// fail counts a failure for all classes.
func (s *server) fail(weight float64) {
	for i := range s.by {
		s.by[i].errs += weight * (1 - s.by[i].errs)
	}
}

// wear lets a part of what is known of a server go.
func (s *server) wear(part float64) {
	s.slow += (1 - s.slow) * part
	for i := range s.by {
		s.by[i].errs -= s.by[i].errs * part
	}
}

// expire drops the leases that have run out.
func (c *customer) expire(now time.Duration) {
	for l, v := range c.leases {
		if now > v.until {
			delete(c.leases, l)
			c.count(now, -1)
		}
	}
}

// pending finds a request that another gateway has asked for before, granted or
// held here, and which of both it is.
func (c *customer) pending(from int, tag uint32) (*request, byte) {
	if l, ok := c.leases[lease{from, tag}]; ok {
		return l.r, granted
	}
	if i := slices.IndexFunc(c.held, func(r *request) bool { return r.from(from, tag) }); i >= 0 {
		return c.held[i], waits
	}
	return nil, refused
}

// from tells whether it is what another gateway asks for by this name.
func (r *request) from(num int, tag uint32) bool { return r.remote && r.root == num && r.tag == tag }

// view is what one of the others says of a customer; nil: it counts nothing of it.
func (c *customer) view(p *peer) *peerView {
	for _, v := range c.set {
		if v.p == p {
			return v
		}
	}
	return nil
}

// views makes room for what each of the others says of a customer.
func (g *Gateway) views(c *customer, others []int) {
	for _, num := range others {
		if num != g.set.Me && !(g.set.Field != nil && g.gone(g.peer(num))) {
			v := &peerView{p: g.peer(num)}
			c.set, v.p.views = append(c.set, v), append(v.p.views, v)
		}
	}
}

// enter puts a customer in the tables. Two of one short hash can't be told
// apart in reports: none is taken for either.
func (g *Gateway) enter(c *customer) {
	g.customers[c.key] = c
	if _, twice := g.byHash[c.hash]; twice {
		g.byHash[c.hash] = nil
	} else {
		g.byHash[c.hash] = c
	}
	g.ring = append(g.ring, c)
}

// byWeight draws a server by weight, of a sum of at least so much: none for the rest.
func (g *Gateway) byWeight(list []*server, least float64) *server {
	sum := 0.0
	for _, s := range list {
		sum += s.weight
	}
	at := g.rng.Float64() * max(sum, least)
	for _, s := range list {
		if at -= s.weight; at < 0 {
			return s
		}
	}
	return nil
}

// queue puts a request in its customer's queue, one with units taken first.
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

// unhold takes the i-th request out of its customer's queue.
func (g *Gateway) unhold(c *customer, i int) {
	c.held = slices.Delete(c.held, i, i+1)
	c.fresh = repeatTicks
	if len(c.held) == 0 {
		g.waiting = slices.DeleteFunc(g.waiting, func(w *customer) bool { return w == c })
	}
}

func small(v float64) byte { return byte(min(math.Round(v), 255)) }

// size is a server's size against the fleet's mean, where the list tells it.
func (g *Gateway) sizeOf(s *server) float64 {
	if g.set.SizeKnown && s.Weight > 0 && g.size > 0 {
		return s.Weight / g.size
	}
	return 1
}

// peer returns what is known of a gateway.
func (g *Gateway) peer(num int) *peer {
	if g.peers[num] == nil {
		g.peers[num] = &peer{num: num}
	}
	return g.peers[num]
}

// sumLoads sums the peers' attempts out at each server; old counts are let go.
func (g *Gateway) sumLoads() {
	if g.set.Field != nil {
		g.usualLoads()
	}
	if g.tree || g.wide {
		return // reports tell of no servers
	}
	for _, s := range g.fleet {
		s.heard = 0
		for _, p := range g.peers {
			if p != nil && !g.silent(p) {
				s.heard += p.outs[s.hash]
			}
		}
	}
}

// watch asks for the server list where it must be asked for, once.
func (g *Gateway) watch() {
	if g.set.MustAsk && !g.asked {
		g.asked = true
		g.do(Watch{})
	}
}

// leave notes that a server is in the list no longer.
func (s *server) leave(now time.Duration) {
	s.State = Removed
	if s.goneAt == 0 {
		s.goneAt = now
	}
}

// count takes the size of the fleet from the servers that are in the list.
func (g *Gateway) count() {
	listed, sum := 0, 0.0
	g.live = 0
	for _, s := range g.fleet {
		if s.State != Removed {
			listed++
			sum += s.Weight
		}
		if s.State == Running {
			g.live++
		}
	}
	g.size = sum / float64(max(1, listed))
}

// rule puts a verdict in force.
func (g *Gateway) rule(s *server, pace byte, isBad func(class int, v *record) bool) {
	for i := range s.by {
		s.by[i].bad, s.by[i].until = isBad(i, &s.by[i]), g.now+verdictLife
	}
	s.slow = math.Exp2(float64(pace)/16 - 4)
}

// KeyOf is the name of a customer in Give and Given.
func KeyOf(customer string) uint64 { return keyOf(customer) }

// Ceiling is what is held here of a customer's ceiling.
func (g *Gateway) Ceiling(customer string) float64 {
	c := g.customers[keyOf(customer)]
	if c == nil {
		return 0
	}
	g.advance(c)
	return c.ceiling
}
