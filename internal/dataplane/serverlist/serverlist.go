package serverlist

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a server in the platform's list.
type Entry struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	WarmLeft time.Duration // the server stays cold for this time after the list was received
}

// Service holds the operator's settings for a service.
type Service struct {
	Warmup         time.Duration // how long a server stays cold after its start
	ColdRate       float64       // requests a second that a cold server can take from all proxies
	MaxConnections int           // connections that a server accepts from all proxies; 0 if unknown
}

// Server is one instance of a server, with what a proxy has to know to use it.
type Server struct {
	Entry
	Region         string
	Closed         bool          // it gets no new requests: it is draining, or its zone is drained
	ColdUntil      time.Duration // on the caller's clock
	MaxColdRate    float64       // requests a second from all proxies while it is cold
	MaxConnections int           // connections that a server accepts from all proxies; 0 if unknown
}

// Settings holds the limits for cold servers and the region of each zone.
type Settings struct {
	Excess, Slack float64       // a cold server gets at most ColdRate*Excess+Slack requests a second
	Lag           time.Duration // maximum age of the platform's list
	Regions       map[string]string
}

// ServerList combines the list, the drained zones and the settings. The zero value is an empty list; it is not safe for
// concurrent use.
type ServerList struct {
	Settings     Settings
	stamp        int64
	servers      map[string]*Server
	services     map[string]Service
	drainedZones map[string]bool
	leaving      map[string]time.Duration // servers that have been listed as draining, with the time when they were last listed
	hasList      bool
}

// leavingRetention is how long a draining server is remembered after it has left the list.
const leavingRetention = time.Minute

// HasList reports whether a list has been received.
func (g *ServerList) HasList() bool { return g.hasList }

// Update replaces the list, unless the new one is not newer than the current one. It reports whether it did. A server
// that was listed as draining once stays draining.
func (g *ServerList) Update(now time.Duration, stamp int64, list []Entry) bool {
	if g.hasList && stamp <= g.stamp {
		return false
	}
	if g.leaving == nil {
		g.leaving = map[string]time.Duration{}
	}
	g.hasList, g.stamp = true, stamp
	servers := make(map[string]*Server, len(list))
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
		servers[m.ID] = l
	}
	g.servers = servers
	for id, at := range g.leaving {
		if now-at > leavingRetention {
			delete(g.leaving, id)
		}
	}
	return true
}

// SetSettings replaces the settings, also for the servers already in the list.
func (g *ServerList) SetSettings(t Settings) {
	g.Settings = t
	for _, l := range g.servers {
		l.Region = t.Regions[l.Zone]
	}
}

// SetServices replaces the settings of the services.
func (g *ServerList) SetServices(s map[string]Service) { g.services = s }

// SetDrainedZones replaces the set of drained zones. If a zone is no longer drained, its servers count as cold for the
// warm-up time of their service plus Lag, as the list may report a restart so much later.
func (g *ServerList) SetDrainedZones(now time.Duration, zones map[string]bool) {
	for _, l := range g.servers {
		if g.drainedZones[l.Zone] && !zones[l.Zone] {
			l.ColdUntil = max(l.ColdUntil, now+g.services[l.Service].Warmup+g.Settings.Lag)
		}
	}
	g.drainedZones = zones
}

// Servers returns all servers in the list, sorted by ID.
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
