package proxy

import (
	"slices"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/policy"
)

// Times and numbers of what a proxy tells of servers and is told of them.
const (
	tellEvery    = time.Second   // but each serverhealth.HeartbeatEvery while nothing speaks against any server, here or by a verdict
	starvedAfter = 3 * heartbeat // a heartbeat that comes so late shows that this process was not run
	trialPart    = 9             // one of so many proxies tries a server in a round, ...
	leastTriers  = 3             // ... and so many at least
)

// fit is what a proxy tells of servers, and what it was told of them.
type fit struct {
	mu        sync.Mutex
	begun     bool
	heartbeat time.Duration // the last one
	wanted    uint64        // as the agent said last; 0: it wants no evidence
	heard     time.Duration // when it last wanted some
	told      uint64        // for which number the whole was told
	no        uint64        // up to which was told
	toldAt    time.Duration
	lookedAt  time.Duration // when it was last looked whether there is something to tell
	verdicts  *serverhealth.Verdicts
	proxies   []string          // that may try servers, by name
	tried     map[string]uint32 // the last round in which a server might be tried here
	used      bool              // some server is trusted less
}

// hears takes in what the agent says of evidence and verdicts.
func (f *fit) hears(frame *peerlink.Frame, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := frame.Pong; p != nil {
		if f.wanted = p.Wanted; f.wanted != 0 {
			f.heard = now
		}
	}
	if c := frame.Change; c != nil && c.Verdicts != nil {
		f.verdicts = c.Verdicts
	}
}

// meets takes over which proxies may try servers.
func (f *fit) meets(all []peerlink.Member) {
	var names []string
	for _, m := range all {
		if m.Alive && m.Ready {
			names = append(names, m.Hello.Name)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies = names
}

// judges does what is due of telling and obeying; it is called once a heartbeat.
func (g *Proxy) judges(c *peerlink.Conn) {
	f, now := &g.fit, g.now()
	f.mu.Lock()
	begun, late := f.begun, f.begun && now-f.heartbeat > starvedAfter
	f.begun, f.heartbeat = true, now
	f.mu.Unlock()
	if !begun {
		g.estate.StartHealthRecording(g.set.Self.Name, g.set.Self.Zone, g.life)
	}
	if late || !g.estate.Ready() && !g.estate.ReadyButResting() {
		g.estate.MarkUnreliable()
	}
	g.obeys(now)
	f.mu.Lock()
	wanted, after := f.wanted, f.no
	due := wanted != 0 && (now-f.lookedAt >= tellEvery || wanted != f.told)
	calm := wanted == f.told && now-f.toldAt < serverhealth.HeartbeatEvery && (f.verdicts == nil || len(f.verdicts.List) == 0)
	most := serverhealth.MaxDeltaObservations
	if wanted != f.told {
		after, most = 0, serverhealth.MaxFullObservations
	}
	f.mu.Unlock()
	if !due {
		return
	}
	s, next := g.estate.HealthReport(after, most)
	f.mu.Lock()
	f.lookedAt = now
	f.mu.Unlock()
	if s == nil || calm && !s.HasFailures() || c.Send(&peerlink.Frame{Report: s.Pack()}) != nil {
		return
	}
	f.mu.Lock()
	f.told, f.no, f.toldAt = wanted, next, now
	f.mu.Unlock()
}

// obeys puts the verdicts in force, as far as they are to be trusted at their age.
func (g *Proxy) obeys(now time.Duration) {
	if servers, changed := g.fit.trusts(g.set.Self.Name, now); changed {
		g.estate.SetTrust(servers)
	}
}

// trusts are how far servers are trusted now, and whether there is anything to put in force.
func (f *fit) trusts(self string, now time.Duration) (map[string]policy.Trust, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, rounds := map[string]policy.Trust{}, map[string]uint32{}
	if f.verdicts != nil {
		for _, v := range f.verdicts.List {
			t := policy.Trust{Level: policy.TrustLevel(v.Level.Aged(now - f.heard))}
			if round, had := f.tried[v.Server]; v.Trial && t.Level > policy.Trusted {
				if t.Trial = !had || round != v.Round; t.Trial {
					t.Trial = slices.Contains(serverhealth.TrialProxies(&v, f.proxies, max(leastTriers, len(f.proxies)/trialPart)), self)
				}
				rounds[v.Server] = v.Round
			}
			if t.Level > policy.Trusted {
				all[v.Server] = t
			}
		}
	}
	f.tried = rounds
	changed := len(all) > 0 || f.used
	f.used = len(all) > 0
	return all, changed
}
