package agent

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// previousSharesHold is how long the quota shares of the previous upstream replica stay in force after a switch.
const previousSharesHold = 5 * time.Second

// Parts is a set of parts of a Change.
type Parts uint8

// Parts of a Change, as bits.
const (
	PartConfiguration Parts = 1 << iota
	PartZones
	PartServers
	PartCensus
	PartVerdicts
	PartsAll = PartConfiguration | PartZones | PartServers | PartCensus | PartVerdicts
)

// State merges what the replicas have sent: configuration, zones and servers from all of them,
// census and verdicts from the upstream replica only. Older versions never replace newer ones.
// Replicas are identified by address; times are on one monotonic clock.
type State struct {
	configuration       *peerlink.Configuration
	zones               map[string]peerlink.Zone
	servers             *peerlink.Servers
	census              *peerlink.Census // sent to the proxy
	upstream            string
	upstreamCensus      *peerlink.Census // latest census of the upstream replica; nil: none since it was chosen
	previousShares      int              // in force before upstreamCensus arrived
	previousSharesUntil time.Duration    // until then the larger of the two share counts applies

	verdicts *serverhealth.Verdicts // of the upstream replica, or of the previous one until the new one has sent some
}

// NewState returns an empty state.
func NewState() *State { return &State{zones: map[string]peerlink.Zone{}} }

// SetUpstream sets the replica whose census counts. Until it has sent one, the
// previous census stays in force.
func (s *State) SetUpstream(replica string) {
	if replica != s.upstream {
		s.upstream, s.upstreamCensus = replica, nil
	}
}

// Merge applies a replica's change and returns the parts that changed. Servers and census
// in it must be complete, not deltas.
func (s *State) Merge(replica string, c *peerlink.Change, now time.Duration) (changed Parts) {
	if c.Configuration != nil && (s.configuration == nil || isNewerConfiguration(c.Configuration, s.configuration)) {
		s.configuration = c.Configuration
		changed |= PartConfiguration
	}
	for _, z := range c.Zones {
		if old, ok := s.zones[z.Zone]; !ok || z.Supersedes(old) {
			s.zones[z.Zone] = z
			changed |= PartZones
		}
	}
	if v := c.Servers; v != nil && s.mergeServers(v) {
		changed |= PartServers
	}
	if c.Census != nil && replica == s.upstream {
		if s.upstreamCensus == nil && s.census != nil {
			s.previousShares, s.previousSharesUntil = s.census.Shares, now+previousSharesHold
		}
		s.upstreamCensus = c.Census
		if s.ApplyCensus(now) {
			changed |= PartCensus
		}
	}
	if c.Verdicts != nil && replica == s.upstream {
		s.verdicts = c.Verdicts
		changed |= PartVerdicts
	}
	return changed
}

// mergeServers merges a server list and reports whether that changed anything.
func (s *State) mergeServers(v *peerlink.Servers) bool {
	if old := s.servers; old == nil || cmp.Or(cmp.Compare(v.Stamp, old.Stamp), cmp.Compare(v.By, old.By)) > 0 {
		s.servers = keepDraining(v, old)
		return true
	}
	x := keepDraining(s.servers, v) // an older list may know of servers that drain
	if x == s.servers {
		return false
	}
	x.Stamp++ // so that the proxy accepts it as newer
	s.servers = x
	return true
}

// keepDraining returns s with every server marked as draining that old marks so: another
// upstream replica may not know of that.
func keepDraining(s, old *peerlink.Servers) *peerlink.Servers {
	if old == nil {
		return s
	}
	draining := map[string]bool{}
	for i := range old.List {
		if old.List[i].Draining {
			draining[old.List[i].ID] = true
		}
	}
	lacksMark := func(x peerlink.Server) bool { return draining[x.ID] && !x.Draining }
	if len(draining) == 0 || !slices.ContainsFunc(s.List, lacksMark) {
		return s
	}
	x := *s
	x.List = slices.Clone(s.List)
	for i := range x.List {
		x.List[i].Draining = x.List[i].Draining || draining[x.List[i].ID]
	}
	return &x
}

func isNewerConfiguration(a, b *peerlink.Configuration) bool {
	return cmp.Or(cmp.Compare(a.Gen, b.Gen), bytes.Compare(a.Digest[:], b.Digest[:])) > 0
}

// ApplyCensus puts the upstream replica's census in force, with the previous share count if that
// is larger and has not expired, and reports whether anything changed.
func (s *State) ApplyCensus(now time.Duration) bool {
	if s.upstreamCensus == nil {
		return false
	}
	shares := s.upstreamCensus.Shares
	if now < s.previousSharesUntil {
		shares = max(shares, s.previousShares)
	}
	if c := s.census; c != nil && c.Shares == shares && slices.Equal(c.Replicas, s.upstreamCensus.Replicas) && slices.Equal(c.Proxies, s.upstreamCensus.Proxies) {
		return false
	}
	s.census = &peerlink.Census{Replicas: s.upstreamCensus.Replicas, Proxies: s.upstreamCensus.Proxies, Shares: shares}
	return true
}

// ProxyCount returns the number of proxies in the census.
func (s *State) ProxyCount() int {
	if s.census == nil {
		return 0
	}
	return len(s.census.Proxies)
}

// Change returns the current content of the given parts, without a sequence number.
func (s *State) Change(p Parts) *peerlink.Change {
	c := &peerlink.Change{}
	if p&PartConfiguration != 0 {
		c.Configuration = s.configuration
	}
	if p&PartZones != 0 {
		c.Zones = slices.SortedFunc(maps.Values(s.zones), func(a, b peerlink.Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	}
	if p&PartServers != 0 {
		c.Servers = s.servers
	}
	if p&PartCensus != 0 {
		c.Census = s.census
	}
	if p&PartVerdicts != 0 {
		c.Verdicts = s.verdicts
	}
	return c
}

// ReplicaAddresses returns the internal addresses of all replicas in the census.
func (s *State) ReplicaAddresses() (all []string) {
	if s.census == nil {
		return nil
	}
	for _, b := range s.census.Replicas {
		if b.Inner != "" {
			all = append(all, b.Inner)
		}
	}
	return all
}

// IsListed reports whether the upstream replica's census contains another replica at this address.
func (s *State) IsListed(address string) bool {
	return s.upstreamCensus != nil && s.upstream != address && slices.ContainsFunc(s.upstreamCensus.Replicas, func(b peerlink.Hello) bool { return b.Inner == address })
}

// Freshness tracks the latest time, on the caller's monotonic clock, at which the state
// held was confirmed to be the newest.
type Freshness struct {
	confirmed time.Duration
	known     bool
}

// AddPong records an answer. Its age counts from the time at which the ping was sent, so that
// a delayed answer does not make the state appear fresher than it is.
func (f *Freshness) AddPong(p *peerlink.Pong, now time.Duration) {
	if !p.Fresh || p.Age < 0 || p.Sent > now {
		return
	}
	if at := p.Sent - p.Age; !f.known || at > f.confirmed {
		f.confirmed, f.known = at, true
	}
}

// Pong returns the answer to a ping from the proxy.
func (f *Freshness) Pong(sent, now time.Duration) *peerlink.Pong {
	p := &peerlink.Pong{Sent: sent, Fresh: f.known}
	if f.known {
		p.Age = now - f.confirmed
	}
	return p
}

// HeldConfiguration returns the generation and the checksum of the configuration held; 0: none.
func (s *State) HeldConfiguration() (gen uint64, sum uint32) {
	if s.configuration == nil {
		return 0, 0
	}
	return s.configuration.Gen, s.configuration.Sum()
}
