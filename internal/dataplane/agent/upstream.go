package agent

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"pepperfall.example/pepperfall/internal/config/listing"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of the choice.
const (
	silenceTimeout        = 800 * time.Millisecond // a replica is heard without a word, and at least two heartbeats
	maxMajorityContactAge = 1500 * time.Millisecond
	failbackDelay         = 5 * time.Second // a better one has to have been good
)

// standing is how well a replica serves as upstream; of two the higher one does it better.
type standing int

// The standings.
const (
	silent              standing = iota
	responsive                   // lately
	inTouchWithMajority          // and with a majority
	current                      // and with a list of servers as new as that of the others
)

var standingNames = [...]string{"silent", "heard", "in touch", "current"}

func (s standing) String() string { return standingNames[s] }

// Upstream chooses the one replica that tells servers and census: of those of the highest
// standing one in the own zone, else in the own region, else any.
// That the proxy lacks something says nothing about a replica. Replicas go by address,
// times are of one steady clock.
type Upstream struct {
	Self           peerlink.Hello
	LongHeartbeats bool // proxies: heartbeats are longer
	replicas       map[string]*candidate
	chosen         string
}

// candidate is a replica that is connected.
type candidate struct {
	distance      int    // 0: own zone, 1: own region
	weight        uint64 // among equal places the highest
	connectedAt   time.Duration
	lastHeard     time.Duration // or chosen, which quickens its heartbeats
	hasPonged     bool
	inTouch       bool // by its last Pong it is in touch with a majority
	leaving       bool
	standing      standing
	standingSince time.Duration // when it came to that

	hasList        bool          // it holds a list of servers
	listReadStart  time.Duration // whose reading began then, as it said last
	listReadPeriod time.Duration // between two readings, as it said last
	listIsBehind   bool          // when it said so, others held a list that was newer by too much
}

// PingInterval is the time between two pings to a replica.
func (l *Upstream) PingInterval(addr string) time.Duration {
	d := peerlink.Usual
	if !l.LongHeartbeats {
		return d // every replica's answers to clients rest on it
	}
	d *= 2
	if addr != l.chosen {
		d *= 2
	}
	return d
}

// AddReplica notes that a replica is connected.
func (l *Upstream) AddReplica(addr string, h *peerlink.Hello, now time.Duration) {
	c := &candidate{distance: 2, connectedAt: now, lastHeard: now, weight: xxhash.Sum64String(l.Self.Name + "\x00" + h.Name)}
	switch {
	case h.Zone == l.Self.Zone:
		c.distance = 0
	case h.Region == l.Self.Region:
		c.distance = 1
	}
	if l.replicas == nil {
		l.replicas = map[string]*candidate{}
	}
	l.replicas[addr] = c
}

// RemoveReplica notes that it is not any more.
func (l *Upstream) RemoveReplica(addr string) { delete(l.replicas, addr) }

// HandleFrame takes in what a replica says.
func (l *Upstream) HandleFrame(addr string, f *peerlink.Frame, now time.Duration) {
	c := l.replicas[addr]
	if c == nil {
		return
	}
	c.lastHeard = now
	if p := f.Pong; p != nil {
		c.hasPonged, c.inTouch = true, p.InTouch && p.TouchAge < maxMajorityContactAge
		if c.hasList = p.List != nil; c.hasList {
			c.listReadStart, c.listReadPeriod = p.Sent-p.List.Age, p.List.Period
		}
		c.listIsBehind = l.isBehind(c, now)
	}
	c.leaving = c.leaving || f.Leaving != nil
}

// Chosen is the upstream replica as chosen last; empty: none is connected.
func (l *Upstream) Chosen() string { return l.chosen }

// Choose returns the upstream replica as of now.
func (l *Upstream) Choose(now time.Duration) string {
	was := l.chosen
	if l.updateChoice(now); l.chosen != was && l.chosen != "" {
		l.replicas[l.chosen].lastHeard = now
	}
	return l.chosen
}

// isResponsive tells whether a replica was heard lately.
func (l *Upstream) isResponsive(addr string, now time.Duration) bool {
	c := l.replicas[addr]
	return !c.leaving && now-c.lastHeard < max(silenceTimeout, 2*l.PingInterval(addr))
}

// isBehind tells whether a replica that has just told of its list holds an older one than it should.
func (l *Upstream) isBehind(c *candidate, now time.Duration) bool {
	var newest *candidate
	for addr, o := range l.replicas {
		if o.hasList && o.inTouch && l.isResponsive(addr, now) && (newest == nil || o.listReadStart > newest.listReadStart) {
			newest = o
		}
	}
	return newest != nil && (!c.hasList || newest.listReadStart-c.listReadStart > listing.Behind(newest.listReadPeriod))
}

// currentStanding is a replica's as of now.
func (l *Upstream) currentStanding(addr string, now time.Duration) standing {
	c := l.replicas[addr]
	switch {
	case !l.isResponsive(addr, now):
		return silent
	case !c.inTouch:
		return responsive
	case c.listIsBehind:
		return inTouchWithMajority
	}
	return current
}

func (l *Upstream) updateChoice(now time.Duration) {
	top := silent
	for addr, c := range l.replicas {
		if s := l.currentStanding(addr, now); s != c.standing {
			c.standing, c.standingSince = s, now
		}
		top = max(top, c.standing)
	}
	best := ""
	for addr, c := range l.replicas {
		if c.standing == top && l.isPreferred(addr, best) {
			best = addr
		}
	}
	own := l.replicas[l.chosen]
	// Until its first Pong an upstream replica is held to be good.
	waits := own != nil && !own.hasPonged && !own.leaving && now-own.connectedAt < silenceTimeout
	switch {
	case own == nil:
		l.chosen = best
	case top <= responsive && own.standing == top: // and none is any better
	case (waits || own.standing == top) && (!l.isPreferred(best, l.chosen) || now-l.replicas[best].standingSince < failbackDelay):
	case top > silent:
		l.chosen = best
	}
}

// isPreferred tells whether a replica comes before another; any comes before none.
func (l *Upstream) isPreferred(a, b string) bool {
	x, y := l.replicas[a], l.replicas[b]
	if y == nil {
		return true
	}
	return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(y.weight, x.weight), cmp.Compare(a, b)) < 0
}
