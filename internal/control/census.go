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

// Time limits of the census of proxies.
const (
	maxProxySilence  = 60 * time.Second       // a silent proxy may be cut off and still serve requests
	maxHostCountsAge = 15 * time.Second       // older counts of requests by host are ignored
	leaveMargin      = 500 * time.Millisecond // after the grace period, a leaving proxy has ended or was killed
)

// proxy is the state of a proxy as its agent reports it.
type proxy struct {
	hello        peerlink.Hello
	ready        bool
	connected    bool // its agent is connected
	lastHeard    time.Duration
	pingInterval time.Duration // between two pings of its agent; 0: the default
	leftAt       time.Duration // when it announced that it leaves; 0: it did not
	leaveGrace   time.Duration // after leftAt; then it has ended

	joinedAt         time.Duration // when it began to be counted; 0: before this replica started
	firstReadyAt     time.Duration // when it was first ready after joinedAt; 0: not yet
	quotaReleased    bool          // it has given up its share of the quotas
	joinAcknowledged bool          // all others have reported that they divide quotas by a number that includes it
	quotaDivisor     int           // the number by which it divides quotas, as last reported; 0: never reported

	readyButResting bool              // it would be ready without the order to rest
	figures         *peerlink.Figures // its traffic figures, as last reported; nil: none
	figuresAt       time.Duration
	requestCounts   *peerlink.Asked
	requestCountsAt time.Duration

	hostCounts   []homing.HostTraffic
	hostCountsAt time.Duration
}

// isAlive reports whether the proxy's agent is connected and has sent something recently.
func (g *proxy) isAlive(now time.Duration) bool {
	return g.connected && now-g.lastHeard < peerlink.Patience(g.pingInterval)
}

// hasQuotaShare reports whether the proxy may be serving requests and so has a share of the quotas.
func (g *proxy) hasQuotaShare(now time.Duration) bool {
	if g.quotaReleased || g.leftAt > 0 && now-g.leftAt >= g.leaveGrace+leaveMargin {
		return false
	}
	return now-g.lastHeard < maxProxySilence
}

// proxyRegistry holds all proxies ever seen. Their names are stored on disk: after a restart all of them count as
// present until they have been silent for maxProxySilence.
type proxyRegistry struct {
	proxies      map[string]*proxy
	resting      map[string]bool   // names of proxies that are ordered to rest
	sortedNames  []string          // all names in order; nil: to be sorted again
	lastMembers  []peerlink.Member // the result of the last count, which is shared and never modified
	spareMembers []peerlink.Member // buffer for the next count
}

// newProxyRegistry returns a registry of the proxies with these names, all last heard now.
func newProxyRegistry(names []string, now time.Duration) *proxyRegistry {
	r := &proxyRegistry{proxies: map[string]*proxy{}, resting: map[string]bool{}}
	for _, name := range names {
		r.proxies[name] = &proxy{hello: peerlink.Hello{Name: name}, lastHeard: now}
	}
	return r
}

// noteConnected records that a proxy's agent has connected, and reports whether its name is new.
func (r *proxyRegistry) noteConnected(h peerlink.Hello, now time.Duration) (g *proxy, isNew bool) {
	g = r.proxies[h.Name]
	if isNew = g == nil; isNew {
		g = &proxy{}
		r.proxies[h.Name], r.sortedNames = g, nil
	}
	if isNew || !g.hasQuotaShare(now) {
		g.joinedAt, g.firstReadyAt, g.joinAcknowledged = max(now, 1), 0, false
	}
	g.hello, g.lastHeard, g.leftAt, g.quotaReleased, g.connected = h, now, 0, false, true
	return g, isNew
}

// addKnown adds a proxy that another replica knows, and reports whether its name is new.
func (r *proxyRegistry) addKnown(m peerlink.Member, now time.Duration) (isNew bool) {
	if r.proxies[m.Hello.Name] != nil {
		return false
	}
	r.proxies[m.Hello.Name], r.sortedNames = &proxy{hello: m.Hello, lastHeard: now, joinedAt: max(now, 1)}, nil
	return true
}

// names returns all names in order; callers must not modify the slice.
func (r *proxyRegistry) names() []string {
	if r.sortedNames == nil {
		r.sortedNames = slices.Sorted(maps.Keys(r.proxies))
	}
	return r.sortedNames
}

// members returns the counted proxies, the number by which they divide quotas, and whether the proxies are the same as
// in the last count. A proxy's slot is its name's place among all names: the same at every replica that knows the same
// names.
func (r *proxyRegistry) members(now time.Duration) (all []peerlink.Member, shares int, same bool) {
	all = r.spareMembers[:0]
	for _, g := range r.proxies {
		if g.hasQuotaShare(now) {
			shares++
		}
	}
	for slot, n := range r.names() {
		g := r.proxies[n]
		if !g.hasQuotaShare(now) {
			continue
		}
		if g.hello.Front == "" && g.hello.Peer == "" {
			continue // only its name is known
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

// countUnaware returns how many counted proxies joined before g and may not know of it yet, because they have not
// reported that they divide quotas by at least shares. Going by their reports, it doesn't matter which replica told
// them, or when.
func (r *proxyRegistry) countUnaware(g *proxy, shares int, now time.Duration) (n int) {
	if g.joinAcknowledged || g.joinedAt == 0 || now-g.joinedAt >= maxProxySilence {
		return 0
	}
	for _, o := range r.proxies {
		if o != g && o.joinedAt < g.joinedAt && o.hasQuotaShare(now) && !o.isAwareOf(g, shares) {
			n++
		}
	}
	g.joinAcknowledged = n == 0
	return n
}

// isAwareOf reports whether a proxy divides quotas by a number that includes g. Earlier versions don't report that
// number: they are taken to be aware once their agent has sent something handover.JoinKnownAfter after the join.
func (o *proxy) isAwareOf(g *proxy, shares int) bool {
	if o.quotaDivisor == 0 {
		return o.lastHeard >= g.joinedAt+handover.JoinKnownAfter
	}
	return o.quotaDivisor >= shares
}

// memberHello returns the part of a proxy's Hello that others need.
func memberHello(h peerlink.Hello) peerlink.Hello {
	return peerlink.Hello{Role: peerlink.Proxy, Name: h.Name, Life: h.Life, IP: h.IP, Zone: h.Zone, Region: h.Region, Front: h.Front, Peer: h.Peer}
}

// frontAddresses returns the client-facing addresses of the ready proxies in some regions, or of all ready proxies if
// those regions have none. A proxy that has just joined is in the answers to a growing share of places. If no proxy at
// all is ready, the answer holds leaving proxies for as long as they accept connections.
func (r *proxyRegistry) frontAddresses(regions []string, place string, now time.Duration) []string {
	var all, leaving []*proxy
	for _, n := range r.names() {
		switch g := r.proxies[n]; {
		case g.hello.Front == "" || !g.isAlive(now):
		case g.leftAt > 0:
			if !g.quotaReleased && handover.SurelyAccepts(g.leaveGrace, now-g.leftAt) {
				leaving = append(leaving, g)
			}
		case g.ready && !r.resting[n]:
			all = append(all, g)
		}
	}
	if len(all) == 0 {
		all = leaving
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
	spared := handover.CanOmitJoiners(young, len(all)-young)
	var fronts []string
	for _, g := range all {
		if !spared || !g.isNewlyReady(now) || handover.IsAdvertised(g.hello.Name, place, now-g.firstReadyAt) {
			fronts = append(fronts, g.hello.Front)
		}
	}
	return fronts
}

// isNewlyReady reports whether a proxy joined and became ready less than handover.RampEnd ago. One that returns shortly
// after a kill was counted all the time, so it has not joined again.
func (g *proxy) isNewlyReady(now time.Duration) bool {
	return g.joinedAt > 0 && now-g.firstReadyAt < handover.RampEnd
}

// sortedByName returns the Hellos of a map in the order of their names.
func sortedByName(m map[string]peerlink.Hello) []peerlink.Hello {
	return slices.SortedFunc(maps.Values(m), func(a, b peerlink.Hello) int { return cmp.Compare(a.Name, b.Name) })
}

// sumHostCounts sums the proxies' latest counts of the requests for a host.
func (r *proxyRegistry) sumHostCounts(host uint32, now time.Duration) (sum homing.HostTraffic) {
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
