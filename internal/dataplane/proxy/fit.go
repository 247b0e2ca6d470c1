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
	reportInterval  = time.Second           // but each serverhealth.HeartbeatEvery while nothing speaks against any server, here or by a verdict
	stallThreshold  = 3 * heartbeatInterval // a heartbeat that comes so late shows that this process was not run
	trialDivisor    = 9                     // one of so many proxies tries a server in a round, ...
	minTrialProxies = 3                     // ... and so many at least
)

// healthExchange is what a proxy tells of servers, and what it was told of them.
type healthExchange struct {
	mu               sync.Mutex
	recordingStarted bool
	lastHeartbeat    time.Duration // the last one
	evidenceRequest  uint64        // as the agent said last; 0: it wants no evidence
	requestedAt      time.Duration // when it last wanted some
	answeredRequest  uint64        // for which number the whole was told
	reportedUpTo     uint64        // up to which was told
	reportedAt       time.Duration
	checkedAt        time.Duration // when it was last looked whether there is something to tell
	verdicts         *serverhealth.Verdicts
	trialCandidates  []string          // that may try servers, by name
	trialRounds      map[string]uint32 // the last round in which a server might be tried here
	hasReducedTrust  bool              // some server is trusted less
}

// receive takes in what the agent says of evidence and verdicts.
func (f *healthExchange) receive(frame *peerlink.Frame, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := frame.Pong; p != nil {
		if f.evidenceRequest = p.Wanted; f.evidenceRequest != 0 {
			f.requestedAt = now
		}
	}
	if c := frame.Change; c != nil && c.Verdicts != nil {
		f.verdicts = c.Verdicts
	}
}

// setTrialCandidates takes over which proxies may try servers.
func (f *healthExchange) setTrialCandidates(all []peerlink.Member) {
	var names []string
	for _, m := range all {
		if m.Alive && m.Ready {
			names = append(names, m.Hello.Name)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trialCandidates = names
}

// reportHealth does what is due of telling and obeying; it is called once a heartbeat.
func (g *Proxy) reportHealth(c *peerlink.Conn) {
	f, now := &g.health, g.now()
	f.mu.Lock()
	begun, late := f.recordingStarted, f.recordingStarted && now-f.lastHeartbeat > stallThreshold
	f.recordingStarted, f.lastHeartbeat = true, now
	f.mu.Unlock()
	if !begun {
		g.managed.StartHealthRecording(g.settings.Self.Name, g.settings.Self.Zone, g.incarnation)
	}
	if late || !g.managed.Ready() && !g.managed.ReadyButResting() {
		g.managed.MarkUnreliable()
	}
	g.applyVerdicts(now)
	f.mu.Lock()
	wanted, after := f.evidenceRequest, f.reportedUpTo
	due := wanted != 0 && (now-f.checkedAt >= reportInterval || wanted != f.answeredRequest)
	calm := wanted == f.answeredRequest && now-f.reportedAt < serverhealth.HeartbeatEvery && (f.verdicts == nil || len(f.verdicts.List) == 0)
	most := serverhealth.MaxDeltaObservations
	if wanted != f.answeredRequest {
		after, most = 0, serverhealth.MaxFullObservations
	}
	f.mu.Unlock()
	if !due {
		return
	}
	s, next := g.managed.HealthReport(after, most)
	f.mu.Lock()
	f.checkedAt = now
	f.mu.Unlock()
	if s == nil || calm && !s.HasFailures() || c.Send(&peerlink.Frame{Report: s.Pack()}) != nil {
		return
	}
	f.mu.Lock()
	f.answeredRequest, f.reportedUpTo, f.reportedAt = wanted, next, now
	f.mu.Unlock()
}

// applyVerdicts puts the verdicts in force, as far as they are to be trusted at their age.
func (g *Proxy) applyVerdicts(now time.Duration) {
	if servers, changed := g.health.currentTrust(g.settings.Self.Name, now); changed {
		g.managed.SetTrust(servers)
	}
}

// currentTrust are how far servers are trusted now, and whether there is anything to put in force.
func (f *healthExchange) currentTrust(self string, now time.Duration) (map[string]policy.Trust, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, rounds := map[string]policy.Trust{}, map[string]uint32{}
	if f.verdicts != nil {
		for _, v := range f.verdicts.List {
			t := policy.Trust{Level: policy.TrustLevel(v.Level.Aged(now - f.requestedAt))}
			if round, had := f.trialRounds[v.Server]; v.Trial && t.Level > policy.Trusted {
				if t.Trial = !had || round != v.Round; t.Trial {
					t.Trial = slices.Contains(serverhealth.TrialProxies(&v, f.trialCandidates, max(minTrialProxies, len(f.trialCandidates)/trialDivisor)), self)
				}
				rounds[v.Server] = v.Round
			}
			if t.Level > policy.Trusted {
				all[v.Server] = t
			}
		}
	}
	f.trialRounds = rounds
	changed := len(all) > 0 || f.hasReducedTrust
	f.hasReducedTrust = len(all) > 0
	return all, changed
}
