package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/dataplane/homing"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of the census.
const (
	maxProxySilence  = 60 * time.Second       // a silent proxy may be passing requests behind a cut
	maxHostCountsAge = 15 * time.Second       // what a proxy told of its requests counts
	leaveMargin      = 500 * time.Millisecond // beyond the grace: one that said that it leaves has ended, or was ended
)

// proxy is a proxy ever seen, as its agent tells of it.
type proxy struct {
	hello        peerlink.Hello
	ready        bool
	connected    bool          // its agent's connection is
	lastHeard    time.Duration // last
	pingInterval time.Duration // between two of its agent's words; 0: as is usual
	leftAt       time.Duration // when it said that it leaves; 0: it did not
	grace        time.Duration // it has ended so long after that

	joinedAt         time.Duration // when it began to count; 0: it did from the start
	firstReadyAt     time.Duration // when it was first ready after that; 0: it was not yet
	quotaReleased    bool          // it has given its parts up
	joinAcknowledged bool          // all others have said that they go by as many parts as there are with it
	quotaParts       int           // by which it divides quotas, as it said last; 0: it never did

	readyButResting bool // it would be ready, but for the order to rest
	figures         *peerlink.Figures
	figuresAt       time.Duration
	requestCounts   *peerlink.Asked
	requestCountsAt time.Duration

	hostCounts   []homing.Heads
	hostCountsAt time.Duration
}

func (g *proxy) isAlive(now time.Duration) bool {
	return g.connected && now-g.lastHeard < peerlink.Patience(g.pingInterval)
}

func (g *proxy) isCounted(now time.Duration) bool {
	if g.quotaReleased || g.leftAt > 0 && now-g.leftAt >= g.grace+leaveMargin {
		return false
	}
	return now-g.lastHeard < maxProxySilence
}

// proxyRegistry is all proxies ever seen. Names are kept over restarts: all count as
// present then until they have been silent for long.
type proxyRegistry struct {
	proxies      map[string]*proxy
	resting      map[string]bool   // names of those that are to rest
	sortedNames  []string          // names; nil: not in order yet
	lastMembers  []peerlink.Member // as counted last; not written to again
	spareMembers []peerlink.Member // to count in
}

func newProxyRegistry(names []string, now time.Duration) *proxyRegistry {
	r := &proxyRegistry{proxies: map[string]*proxy{}, resting: map[string]bool{}}
	for _, n := range names {
		r.proxies[n] = &proxy{hello: peerlink.Hello{Name: n}, lastHeard: now}
	}
	return r
}

// noteConnected notes that a proxy's agent has come, and tells whether its name is new.
func (r *proxyRegistry) noteConnected(h peerlink.Hello, now time.Duration) (g *proxy, isNew bool) {
	g = r.proxies[h.Name]
	if isNew = g == nil; isNew {
		g = &proxy{}
		r.proxies[h.Name], r.sortedNames = g, nil
	}
	if isNew || !g.isCounted(now) {
		g.joinedAt, g.firstReadyAt, g.joinAcknowledged = max(now, 1), 0, false
	}
	g.hello, g.lastHeard, g.leftAt, g.quotaReleased, g.connected = h, now, 0, false, true
	return g, isNew
}

// addKnown notes names that others know.
func (r *proxyRegistry) addKnown(m peerlink.Member, now time.Duration) (isNew bool) {
	if r.proxies[m.Hello.Name] != nil {
		return false
	}
	r.proxies[m.Hello.Name], r.sortedNames = &proxy{hello: m.Hello, lastHeard: now, joinedAt: max(now, 1)}, nil
	return true
}

// names are all names in order; they are not to be written to.
func (r *proxyRegistry) names() []string {
	if r.sortedNames == nil {
		r.sortedNames = slices.Sorted(maps.Keys(r.proxies))
	}
	return r.sortedNames
}

// members tells who is there, and whether that is as it was counted last. A
// proxy's slot is its name's place among all names: the same at every replica that
// knows the same names.
func (r *proxyRegistry) members(now time.Duration) (all []peerlink.Member, shares int, same bool) {
	all = r.spareMembers[:0]
	for _, g := range r.proxies {
		if g.isCounted(now) {
			shares++
		}
	}
	for slot, n := range r.names() {
		g := r.proxies[n]
		if !g.isCounted(now) {
			continue
		}
		if g.hello.Front == "" && g.hello.Peer == "" {
			continue // known by its name only
		}
		alive := g.isAlive(now)
		all = append(all, peerlink.Member{Hello: memberHello(g.hello), Ready: alive && g.ready && g.leftAt == 0, Alive: alive, Slot: slot,
			Silent: r.countUnaware(g, shares, now)})
	}
	if slices.Equal(all, r.lastMembers) {
		r.spareMembers = all
		return r.lastMembers, shares, true
	}
	r.lastMembers, r.spareMembers = all, nil
	return all, shares, false
}

// countUnaware is how many others count here that were there before a proxy joined, and may not have heard of it: whose proxies
// have not said that they divide by as many parts as there are. So it does not matter which replica told them, or when.
func (r *proxyRegistry) countUnaware(g *proxy, shares int, now time.Duration) (n int) {
	if g.joinAcknowledged || g.joinedAt == 0 || now-g.joinedAt >= maxProxySilence {
		return 0
	}
	for _, o := range r.proxies {
		if o != g && o.joinedAt < g.joinedAt && o.isCounted(now) && !o.isAwareOf(g, shares) {
			n++
		}
	}
	g.joinAcknowledged = n == 0
	return n
}

// isAwareOf tells whether a proxy goes by a join. One that tells no parts, as earlier versions do, is taken to do so
// where its agent was heard a while after the join.
func (o *proxy) isAwareOf(g *proxy, shares int) bool {
	if o.quotaParts == 0 {
		return o.lastHeard >= g.joinedAt+handover.HeardBy
	}
	return o.quotaParts >= shares
}

// memberHello is what others need of a proxy's Hello.
func memberHello(h peerlink.Hello) peerlink.Hello {
	return peerlink.Hello{Role: peerlink.Proxy, Name: h.Name, Life: h.Life, IP: h.IP, Zone: h.Zone, Region: h.Region, Front: h.Front, Peer: h.Peer}
}

// frontAddresses are the addresses in some regions, or all where these have no proxy
// that is ready. One that has just joined is in a rising part of places' answers. Where no proxy at all is ready, those
// that leave are better than none for as long as their doors are open.
func (r *proxyRegistry) frontAddresses(regions []string, place string, now time.Duration) []string {
	var all, last []*proxy
	for _, n := range r.names() {
		switch g := r.proxies[n]; {
		case g.hello.Front == "" || !g.isAlive(now):
		case g.leftAt > 0:
			if !g.quotaReleased && handover.Open(g.grace, now-g.leftAt) {
				last = append(last, g)
			}
		case g.ready && !r.resting[n]:
			all = append(all, g)
		}
	}
	if len(all) == 0 {
		all = last
	}
	if near := slices.DeleteFunc(slices.Clone(all), func(g *proxy) bool { return !slices.Contains(regions, g.hello.Region) }); len(near) > 0 {
		all = near
	}
	young := 0
	for _, g := range all {
		if g.isNewlyReady(now) {
			young++
		}
	}
	spared := handover.Spared(young, len(all)-young)
	var fronts []string
	for _, g := range all {
		if !spared || !g.isNewlyReady(now) || handover.Risen(g.hello.Name, place, now-g.firstReadyAt) {
			fronts = append(fronts, g.hello.Front)
		}
	}
	return fronts
}

// isNewlyReady tells whether a proxy has joined and been ready for a short time only. One that comes back after a kill has
// counted all the while, and is not.
func (g *proxy) isNewlyReady(now time.Duration) bool {
	return g.joinedAt > 0 && now-g.firstReadyAt < handover.RiseFor
}

func sortedByName(m map[string]peerlink.Hello) []peerlink.Hello {
	return slices.SortedFunc(maps.Values(m), func(a, b peerlink.Hello) int { return cmp.Compare(a.Name, b.Name) })
}

// sumHostCounts are the requests of a host as the proxies told last.
func (r *proxyRegistry) sumHostCounts(host uint32, now time.Duration) (sum homing.Heads) {
	for _, g := range r.proxies {
		if now-g.hostCountsAt >= maxHostCountsAge {
			continue
		}
		for _, h := range g.hostCounts {
			if h.Host == host {
				sum.KB, sum.Free = sum.KB+h.KB, sum.Free+h.Free
			}
		}
	}
	return sum
}
