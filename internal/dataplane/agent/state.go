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

// sharesFor is for how long after a change of lead the shares of the one before hold too.
const sharesFor = 5 * time.Second

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
	configuration *peerlink.Configuration
	zones         map[string]peerlink.Zone
	servers       *peerlink.Servers
	census        *peerlink.Census // in force
	upstream      string
	word          *peerlink.Census // of the lead; nil: it has not spoken since it is
	shares        int              // that held before it spoke
	until         time.Duration    // and hold beside its own

	verdicts *serverhealth.Verdicts // of the lead, or of the one before until it has spoken
}

// NewState returns a state that knows nothing.
func NewState() *State { return &State{zones: map[string]peerlink.Zone{}} }

// Lead says whose word on who is there counts from now on. Until it has spoken
// the last word stands.
func (s *State) Upstream(replica string) {
	if replica != s.upstream {
		s.upstream, s.word = replica, nil
	}
}

// Take folds a replica's change in, with wholes of servers and census, and returns
// which parts are new by it.
func (s *State) Take(replica string, c *peerlink.Change, now time.Duration) (is Parts) {
	if c.Configuration != nil && (s.configuration == nil || newerConfiguration(c.Configuration, s.configuration)) {
		s.configuration = c.Configuration
		is |= PartConfiguration
	}
	for _, z := range c.Zones {
		if old, ok := s.zones[z.Zone]; !ok || z.Supersedes(old) {
			s.zones[z.Zone] = z
			is |= PartZones
		}
	}
	if v := c.Servers; v != nil && s.list(v) {
		is |= PartServers
	}
	if c.Census != nil && replica == s.upstream {
		if s.word == nil && s.census != nil {
			s.shares, s.until = s.census.Shares, now+sharesFor
		}
		s.word = c.Census
		if s.Settle(now) {
			is |= PartCensus
		}
	}
	if c.Verdicts != nil && replica == s.upstream {
		s.verdicts = c.Verdicts
		is |= PartVerdicts
	}
	return is
}

// list takes a list in and tells whether that changed anything.
func (s *State) list(v *peerlink.Servers) bool {
	if old := s.servers; old == nil || cmp.Or(cmp.Compare(v.Stamp, old.Stamp), cmp.Compare(v.By, old.By)) > 0 {
		s.servers = drained(v, old)
		return true
	}
	x := drained(s.servers, v) // an older one may have seen more of that
	if x == s.servers {
		return false
	}
	x.Stamp++ // for the proxy
	s.servers = x
	return true
}

// drained keeps servers that were told to be draining as such: another lead
// may not have seen that.
func drained(s, old *peerlink.Servers) *peerlink.Servers {
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

func newerConfiguration(a, b *peerlink.Configuration) bool {
	return cmp.Or(cmp.Compare(a.Gen, b.Gen), bytes.Compare(a.Digest[:], b.Digest[:])) > 0
}

// Settle puts the lead's word on who is there in force, as shares that held
// before run out, and tells whether that changed anything.
func (s *State) Settle(now time.Duration) bool {
	if s.word == nil {
		return false
	}
	shares := s.word.Shares
	if now < s.until {
		shares = max(shares, s.shares)
	}
	if c := s.census; c != nil && c.Shares == shares && slices.Equal(c.Replicas, s.word.Replicas) && slices.Equal(c.Proxies, s.word.Proxies) {
		return false
	}
	s.census = &peerlink.Census{Replicas: s.word.Replicas, Proxies: s.word.Proxies, Shares: shares}
	return true
}

// Proxies is how many there are.
func (s *State) Proxies() int {
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

// Replicas are the furrows' addresses of all replicas in the census.
func (s *State) Replicas() (all []string) {
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

// Listed tells whether the lead knows of a replica at an address.
func (s *State) Listed(address string) bool {
	return s.word != nil && s.upstream != address && slices.ContainsFunc(s.word.Replicas, func(b peerlink.Hello) bool { return b.Inner == address })
}

// Fresh is the moment, on the asker's own steady clock, up to which what it
// holds is known to be the newest.
type Fresh struct {
	confirmed time.Duration
	ever      bool
}

// Take takes an answer in. It counts from when the question was sent, so a
// late one makes nothing fresher than it was.
func (f *Fresh) Take(p *peerlink.Pong, now time.Duration) {
	if !p.Fresh || p.Age < 0 || p.Sent > now {
		return
	}
	if at := p.Sent - p.Age; !f.ever || at > f.confirmed {
		f.confirmed, f.ever = at, true
	}
}

// Pong answers a question of the proxy.
func (f *Fresh) Pong(sent, now time.Duration) *peerlink.Pong {
	p := &peerlink.Pong{Sent: sent, Fresh: f.ever}
	if f.ever {
		p.Age = now - f.confirmed
	}
	return p
}

// Held is the version of the configuration held, and its text's sum; 0: none is.
func (s *State) Held() (gen uint64, sum uint32) {
	if s.configuration == nil {
		return 0, 0
	}
	return s.configuration.Gen, s.configuration.Sum()
}
