package serverlist

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a server as the platform tells of it.
type Entry struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	WarmLeft time.Duration // it is cold for so much longer, as of the list
}

// Service is what the operator says of a service.
type Service struct {
	Warmup         time.Duration // how long its servers stay cold
	ColdRate       float64       // requests a second that a cold one bears, from all proxies
	MaxConnections int           // connections it takes from all proxies; 0: not told
}

// Server is one life of a server, as a proxy may use it.
type Server struct {
	Entry
	Region         string
	Closed         bool          // nothing new goes there: it leaves, or its zone is drained
	ColdUntil      time.Duration // by the caller's clock
	MaxColdRate    float64       // requests a second from all proxies until then
	MaxConnections int           // connections it takes from all proxies; 0: not told
}

// Settings are the rules' figures for cold servers.
type Settings struct {
	Excess, Slack float64       // a cold server bears ColdRate times Excess and Slack more
	Lag           time.Duration // the list may be so old
	Regions       map[string]string
}

// ServerList holds what is known. The zero value knows nothing; it is not safe for concurrent use.
type ServerList struct {
	Settings     Settings
	stamp        int64
	servers      map[string]*Server
	services     map[string]Service
	drainedZones map[string]bool
	leaving      map[string]time.Duration // lives once seen draining, and when last listed
	hasList      bool
}

// leavingRetention is how long a life that has left the list is remembered as leaving.
const leavingRetention = time.Minute

// HasList tells whether a list has come.
func (g *ServerList) HasList() bool { return g.hasList }

// Update takes a whole list, unless it is older than the one held; it tells whether it was taken. A life once seen
// draining stays so.
func (g *ServerList) Update(now time.Duration, stamp int64, list []Entry) bool {
	if g.hasList && stamp <= g.stamp {
		return false
	}
	if g.leaving == nil {
		g.leaving = map[string]time.Duration{}
	}
	g.hasList, g.stamp = true, stamp
	lives := make(map[string]*Server, len(list))
	for _, m := range list {
		l := &Server{Entry: m, Region: g.Settings.Regions[m.Zone]}
		if old := g.servers[m.ID]; old != nil {
			l.ColdUntil = old.ColdUntil
		}
		if m.WarmLeft > 0 {
			l.ColdUntil = max(l.ColdUntil, now+m.WarmLeft)
		}
		if _, left := g.leaving[m.ID]; left || m.Draining {
			l.Draining = true
			g.leaving[m.ID] = now
		}
		lives[m.ID] = l
	}
	g.servers = lives
	for id, at := range g.leaving {
		if now-at > leavingRetention {
			delete(g.leaving, id)
		}
	}
	return true
}

// SetSettings takes over other terms, also for the lives that are known.
func (g *ServerList) SetSettings(t Settings) {
	g.Settings = t
	for _, l := range g.servers {
		l.Region = t.Regions[l.Zone]
	}
}

// SetServices takes over the operator's services.
func (g *ServerList) SetServices(s map[string]Service) { g.services = s }

// SetDrainedZones takes over which zones are drained. The servers of one that is taken back count as cold for as long as
// their service's take, and as the list may be late in telling otherwise.
func (g *ServerList) SetDrainedZones(now time.Duration, zones map[string]bool) {
	for _, l := range g.servers {
		if g.drainedZones[l.Zone] && !zones[l.Zone] {
			l.ColdUntil = max(l.ColdUntil, now+g.services[l.Service].Warmup+g.Settings.Lag)
		}
	}
	g.drainedZones = zones
}

// Servers are all lives in the list, in the order of their ids.
func (g *ServerList) Servers() []Server {
	out := make([]Server, 0, len(g.servers))
	for _, l := range g.servers {
		v := *l
		v.Closed = l.Draining || g.drainedZones[l.Zone]
		v.MaxConnections = g.services[l.Service].MaxConnections
		v.MaxColdRate = g.services[l.Service].ColdRate*g.Settings.Excess + g.Settings.Slack
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
