package proxy

import (
	"slices"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/policy"
)

// Intervals and limits of health reports and server trials.
const (
	// Time between reports. It is serverhealth.HeartbeatEvery while this proxy sees no failures and no verdict lists a server.
	reportInterval  = time.Second
	stallThreshold  = 3 * heartbeatInterval // a longer gap between heartbeats means that this process was not scheduled
	trialDivisor    = 9                     // one of this many proxies tries an unfit server in a round, ...
	minTrialProxies = 3                     // ... but at least this many proxies do
)

// healthExchange is the state of the health reports that a proxy sends and of the verdicts on servers that it receives.
// Times are measured from the start of the proxy.
type healthExchange struct {
	mu               sync.Mutex
	recordingStarted bool
	lastHeartbeat    time.Duration // time of the last call of reportHealth
	evidenceRequest  uint64        // number of the agent's latest request for reports; 0: it wants none
	requestedAt      time.Duration // when the agent last wanted reports
	answeredRequest  uint64        // number of the last request that got a full report
	reportedUpTo     uint64        // observations up to this number are reported
	reportedAt       time.Duration
	checkedAt        time.Duration // when observations to report were last looked up
	verdicts         *serverhealth.Verdicts
	trialCandidates  []string          // names of the proxies that may try unfit servers
	trialRounds      map[string]uint32 // by server: the last trial round that was considered here
	hasReducedTrust  bool              // the trust last applied is reduced for some server
}

// receive stores the report request and the verdicts in a message from the agent.
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

// setTrialCandidates makes the proxies that are alive and ready the ones that may try unfit servers.
func (f *healthExchange) setTrialCandidates(members []peerlink.Member) {
	var names []string
	for _, m := range members {
		if m.Alive && m.Ready {
			names = append(names, m.Hello.Name)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trialCandidates = names
}

// reportHealth applies the current verdicts, and sends the agent a health report if one is due. It is called once per
// heartbeat.
func (g *Proxy) reportHealth(c *peerlink.Conn) {
	health, now := &g.health, g.now()
	health.mu.Lock()
	started, stalled := health.recordingStarted, health.recordingStarted && now-health.lastHeartbeat > stallThreshold
	health.recordingStarted, health.lastHeartbeat = true, now
	health.mu.Unlock()
	if !started {
		g.managed.StartHealthRecording(g.settings.Self.Name, g.settings.Self.Zone, g.incarnation)
	}
	if stalled || !g.managed.Ready() && !g.managed.ReadyButResting() {
		g.managed.MarkUnreliable()
	}
	g.applyVerdicts(now)
	health.mu.Lock()
	request, after := health.evidenceRequest, health.reportedUpTo
	due := request != 0 && (now-health.checkedAt >= reportInterval || request != health.answeredRequest)
	quiet := request == health.answeredRequest && now-health.reportedAt < serverhealth.HeartbeatEvery && (health.verdicts == nil || len(health.verdicts.List) == 0)
	maxObservations := serverhealth.MaxDeltaObservations
	if request != health.answeredRequest {
		after, maxObservations = 0, serverhealth.MaxFullObservations
	}
	health.mu.Unlock()
	if !due {
		return
	}
	report, next := g.managed.HealthReport(after, maxObservations)
	health.mu.Lock()
	health.checkedAt = now
	health.mu.Unlock()
	if report == nil || quiet && !report.HasFailures() || c.Send(&peerlink.Frame{Report: report.Pack()}) != nil {
		return
	}
	health.mu.Lock()
	health.answeredRequest, health.reportedUpTo, health.reportedAt = request, next, now
	health.mu.Unlock()
}

// applyVerdicts sets the trust in each server to its verdict, which loses weight with age.
func (g *Proxy) applyVerdicts(now time.Duration) {
	if servers, changed := g.health.currentTrust(g.settings.Self.Name, now); changed {
		g.managed.SetTrust(servers)
	}
}

// currentTrust returns the servers whose trust is reduced now, and whether the result must be applied. An empty result must
// be applied once, to restore full trust after the last reduction ends.
func (f *healthExchange) currentTrust(self string, now time.Duration) (map[string]policy.Trust, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reduced, rounds := map[string]policy.Trust{}, map[string]uint32{}
	if f.verdicts != nil {
		for _, v := range f.verdicts.List {
			trust := policy.Trust{Level: policy.TrustLevel(v.Level.Aged(now - f.requestedAt))}
			if round, known := f.trialRounds[v.Server]; v.Trial && trust.Level > policy.Trusted {
				if trust.Trial = !known || round != v.Round; trust.Trial {
					trust.Trial = slices.Contains(serverhealth.TrialProxies(&v, f.trialCandidates, max(minTrialProxies, len(f.trialCandidates)/trialDivisor)), self)
				}
				rounds[v.Server] = v.Round
			}
			if trust.Level > policy.Trusted {
				reduced[v.Server] = trust
			}
		}
	}
	f.trialRounds = rounds
	changed := len(reduced) > 0 || f.hasReducedTrust
	f.hasReducedTrust = len(reduced) > 0
	return reduced, changed
}
