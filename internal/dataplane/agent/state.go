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

// previousSharesHold is for how long after a change of lead the shares of the one before hold too.
const previousSharesHold = 5 * time.Second

// Parts are parts of a Change.
type Parts uint8

// The parts.
const (
	PartConfiguration Parts = 1 << iota
	PartZones
	PartServers
	PartCensus
	PartVerdicts
	PartsAll = PartConfiguration | PartZones | PartServers | PartCensus | PartVerdicts
)

// State is what all replicas together have told of the operator's word, and their
// lead of the rest; it never goes back to older news. Replicas go by address.
// Times are of one steady clock.
type State struct {
	configuration       *peerlink.Configuration
	zones               map[string]peerlink.Zone
	servers             *peerlink.Servers
	census              *peerlink.Census // in force
	upstream            string
	upstreamCensus      *peerlink.Census // of the lead; nil: it has not spoken since it is
	previousShares      int              // that held before it spoke
	previousSharesUntil time.Duration    // and hold beside its own

	verdicts *serverhealth.Verdicts // of the lead, or of the one before until it has spoken
}

// NewState returns a state that knows nothing.
func NewState() *State { return &State{zones: map[string]peerlink.Zone{}} }

// Lead says whose word on who is there counts from now on. Until it has spoken
// the last word stands.
func (s *State) SetUpstream(replica string) {
	if replica != s.upstream {
		s.upstream, s.upstreamCensus = replica, nil
	}
}

// Merge folds a replica's change in, with wholes of servers and census, and returns
// which parts are new by it.
func (s *State) Merge(replica string, c *peerlink.Change, now time.Duration) (is Parts) {
	if c.Configuration != nil && (s.configuration == nil || isNewerConfiguration(c.Configuration, s.configuration)) {
		s.configuration = c.Configuration
		is |= PartConfiguration
	}
	for _, z := range c.Zones {
		if old, ok := s.zones[z.Zone]; !ok || z.Supersedes(old) {
			s.zones[z.Zone] = z
			is |= PartZones
		}
	}
	if v := c.Servers; v != nil && s.mergeServers(v) {
		is |= PartServers
	}
	if c.Census != nil && replica == s.upstream {
		if s.upstreamCensus == nil && s.census != nil {
			s.previousShares, s.previousSharesUntil = s.census.Shares, now+previousSharesHold
		}
		s.upstreamCensus = c.Census
		if s.ApplyCensus(now) {
			is |= PartCensus
		}
	}
	if c.Verdicts != nil && replica == s.upstream {
		s.verdicts = c.Verdicts
		is |= PartVerdicts
	}
	return is
}

// mergeServers takes a list in and tells whether that changed anything.
func (s *State) mergeServers(v *peerlink.Servers) bool {
	if old := s.servers; old == nil || cmp.Or(cmp.Compare(v.Stamp, old.Stamp), cmp.Compare(v.By, old.By)) > 0 {
		s.servers = keepDraining(v, old)
		return true
	}
	x := keepDraining(s.servers, v) // an older one may have seen more of that
	if x == s.servers {
		return false
	}
	x.Stamp++ // for the proxy
	s.servers = x
	return true
}

// keepDraining keeps servers that were told to be draining as such: another lead
// may not have seen that.
func keepDraining(s, old *peerlink.Servers) *peerlink.Servers {
	if old == nil {
		return s
	}
	was := map[string]bool{}
	for i := range old.List {
		if old.List[i].Draining {
			was[old.List[i].ID] = true
		}
	}
	forgets := func(x peerlink.Server) bool { return was[x.ID] && !x.Draining }
	if len(was) == 0 || !slices.ContainsFunc(s.List, forgets) {
		return s
	}
	x := *s
	x.List = slices.Clone(s.List)
	for i := range x.List {
		x.List[i].Draining = x.List[i].Draining || was[x.List[i].ID]
	}
	return &x
}

func isNewerConfiguration(a, b *peerlink.Configuration) bool {
	return cmp.Or(cmp.Compare(a.Gen, b.Gen), bytes.Compare(a.Digest[:], b.Digest[:])) > 0
}

// ApplyCensus puts the lead's word on who is there in force, as shares that held
// before run out, and tells whether that changed anything.
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

// ProxyCount is how many there are.
func (s *State) ProxyCount() int {
	if s.census == nil {
		return 0
	}
	return len(s.census.Proxies)
}

// Change returns the parts as they stand, without a number.
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

// ReplicaAddresses are the furrows' addresses of all replicas in the census.
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

// IsListed tells whether the lead knows of a replica at an address.
func (s *State) IsListed(address string) bool {
	return s.upstreamCensus != nil && s.upstream != address && slices.ContainsFunc(s.upstreamCensus.Replicas, func(b peerlink.Hello) bool { return b.Inner == address })
}

// Freshness is the moment, on the asker's own steady clock, up to which what it
// holds is known to be the newest.
type Freshness struct {
	confirmed time.Duration
	known     bool
}

// AddPong takes an answer in. It counts from when the question was sent, so a
// late one makes nothing fresher than it was.
func (f *Freshness) AddPong(p *peerlink.Pong, now time.Duration) {
	if !p.Fresh || p.Age < 0 || p.Sent > now {
		return
	}
	if at := p.Sent - p.Age; !f.known || at > f.confirmed {
		f.confirmed, f.known = at, true
	}
}

// Pong answers a question of the proxy.
func (f *Freshness) Pong(sent, now time.Duration) *peerlink.Pong {
	p := &peerlink.Pong{Sent: sent, Fresh: f.known}
	if f.known {
		p.Age = now - f.confirmed
	}
	return p
}

// HeldConfiguration is the version of the configuration held, and its text's sum; 0: none is.
func (s *State) HeldConfiguration() (gen uint64, sum uint32) {
	if s.configuration == nil {
		return 0, 0
	}
	return s.configuration.Gen, s.configuration.Sum()
}
