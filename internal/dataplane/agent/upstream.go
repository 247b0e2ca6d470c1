package agent

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"pepperfall.example/pepperfall/internal/config/listing"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Time limits for choosing the upstream replica. A replica is silent if it has sent no message
// for silenceTimeout and for two heartbeat intervals.
const (
	silenceTimeout        = 800 * time.Millisecond
	maxMajorityContactAge = 1500 * time.Millisecond
	failbackDelay         = 5 * time.Second // how long a preferred replica must have been good before the agent switches to it
)

// standing ranks how well a replica can serve as upstream; higher is better.
type standing int

// Standings, from worst to best.
const (
	silent              standing = iota
	responsive                   // sent a message within the time limit
	inTouchWithMajority          // also in contact with a majority of the replicas
	current                      // also has a server list that is as new as the other replicas' lists
)

var standingNames = [...]string{"silent", "heard", "in touch", "current"}

func (s standing) String() string { return standingNames[s] }

// Upstream chooses the replica whose server list and census the agent follows: among the
// replicas of the highest standing it prefers its own zone, then its own region. A
// configuration missing at the proxy does not lower a replica's standing.
// Replicas are identified by address; times are on one monotonic clock.
type Upstream struct {
	Self           peerlink.Hello
	LongHeartbeats bool // set when there are many proxies
	replicas       map[string]*candidate
	chosen         string
}

// candidate is a connected replica.
type candidate struct {
	distance      int    // 0: own zone, 1: own region, 2: elsewhere
	weight        uint64 // breaks ties between equal distances: the highest wins
	connectedAt   time.Duration
	lastHeard     time.Duration // last message, or when it was chosen, because its heartbeats become more frequent then
	hasPonged     bool
	inTouch       bool // its last Pong reported recent contact with a majority
	leaving       bool
	standing      standing
	standingSince time.Duration // when it reached its standing

	hasList        bool          // its last Pong reported a server list
	listReadStart  time.Duration // when the read of that list began
	listReadPeriod time.Duration // between two reads of the list
	listIsBehind   bool          // at its last Pong, another replica's list was newer by more than listing.Behind allows
}

// PingInterval returns the time between two pings to a replica.
func (l *Upstream) PingInterval(addr string) time.Duration {
	d := peerlink.Usual
	if !l.LongHeartbeats {
		return d // a replica's answers to clients depend on recent reports from the proxies
	}
	d *= 2
	if addr != l.chosen {
		d *= 2
	}
	return d
}

// AddReplica records that a replica is connected.
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

// RemoveReplica records that a replica is disconnected.
func (l *Upstream) RemoveReplica(addr string) { delete(l.replicas, addr) }

// HandleFrame records a message from a replica.
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

// Chosen returns the last choice; empty: no replica is connected.
func (l *Upstream) Chosen() string { return l.chosen }

// Choose chooses the upstream replica again and returns it.
func (l *Upstream) Choose(now time.Duration) string {
	previous := l.chosen
	if l.updateChoice(now); l.chosen != previous && l.chosen != "" {
		l.replicas[l.chosen].lastHeard = now
	}
	return l.chosen
}

// isResponsive reports whether a replica has sent a message within the time limit and is not leaving.
func (l *Upstream) isResponsive(addr string, now time.Duration) bool {
	c := l.replicas[addr]
	return !c.leaving && now-c.lastHeard < max(silenceTimeout, 2*l.PingInterval(addr))
}

// isBehind reports whether the list of a replica that has just sent a Pong is older than it should be.
func (l *Upstream) isBehind(c *candidate, now time.Duration) bool {
	var newest *candidate
	for addr, o := range l.replicas {
		if o.hasList && o.inTouch && l.isResponsive(addr, now) && (newest == nil || o.listReadStart > newest.listReadStart) {
			newest = o
		}
	}
	return newest != nil && (!c.hasList || newest.listReadStart-c.listReadStart > listing.Behind(newest.listReadPeriod))
}

// currentStanding returns a replica's standing at this time.
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
	// Until its first Pong, the upstream replica is assumed to be good.
	waits := own != nil && !own.hasPonged && !own.leaving && now-own.connectedAt < silenceTimeout
	switch {
	case own == nil:
		l.chosen = best
	case top <= responsive && own.standing == top: // keep it: no replica ranks higher
	case (waits || own.standing == top) && (!l.isPreferred(best, l.chosen) || now-l.replicas[best].standingSince < failbackDelay):
	case top > silent:
		l.chosen = best
	}
}

// isPreferred reports whether replica a ranks before b. Every replica ranks before an unknown b.
func (l *Upstream) isPreferred(a, b string) bool {
	x, y := l.replicas[a], l.replicas[b]
	if y == nil {
		return true
	}
	return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(y.weight, x.weight), cmp.Compare(a, b)) < 0
}
