package control

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times and bounds of verdicts on servers.
const (
	verdictInterval       = time.Second
	verdictStartDelay     = 3 * time.Second // after the start: by then the other replicas have sent the verdicts in force
	verdictAdoptionWindow = 5 * time.Second // a new owner adopts verdicts that were in force so recently
	maxPendingReports     = 4096            // reports that wait to be evaluated; more are dropped
)

// serverJudge evaluates what proxies report on servers. Each service is owned by one replica, which gives the verdicts on
// its servers. The replica's mutex guards all but the evaluator.
type serverJudge struct {
	evaluatorMu     sync.Mutex              // guards the evaluator; taken before the replica's mutex
	evaluator       *serverhealth.Evaluator // of the services that this replica owns
	ownedServices   map[string]bool         // services that this replica owned at the last evaluation
	pendingReports  []timedReport
	ownVerdicts     *serverhealth.Verdicts        // of the evaluator; nil: none yet
	peerVerdicts    map[string]*peerVerdicts      // of other owners, by replica name
	mergedVerdicts  *serverhealth.Verdicts        // of all owners, as sent to the agents; nil: none yet
	recentVerdicts  map[string]timedVerdict       // by server
	recordedLevels  map[string]serverhealth.Level // as last recorded in the history, by server
	ownershipEpoch  uint64                        // changes with the owners of services; 0: this replica doesn't judge
	connectionCount uint64                        // agent connections so far
	indexedList     *peerlink.Servers             // the list that serviceByServer is for
	serviceByServer map[string]string             // by server ID
}

// peerVerdicts holds another owner's verdicts and when they were last known to be valid.
type peerVerdicts struct {
	verdicts *serverhealth.Verdicts
	validAt  time.Duration
}

// timedVerdict is a verdict and when it was last in force.
type timedVerdict struct {
	verdict   serverhealth.Verdict
	inForceAt time.Duration
}

// timedReport is a proxy's report and when it was received.
type timedReport struct {
	report     *serverhealth.Report
	receivedAt time.Duration
}

func newServerJudge() *serverJudge {
	return &serverJudge{evaluator: serverhealth.NewEvaluator(), ownedServices: map[string]bool{}, peerVerdicts: map[string]*peerVerdicts{}, recentVerdicts: map[string]timedVerdict{}, recordedLevels: map[string]serverhealth.Level{}}
}

// nextConnectionNumber returns a number for a new agent connection.
func (j *serverJudge) nextConnectionNumber() uint64 {
	j.connectionCount++
	return j.connectionCount
}

// evidenceRequestNumber returns the number under which an agent is asked for evidence; 0: none is wanted. It changes on a new
// connection and when the owners of services change; the agent then sends all evidence again.
func (j *serverJudge) evidenceRequestNumber(agent *agentConn) uint64 {
	if j.ownershipEpoch == 0 {
		return 0
	}
	return max(1, j.ownershipEpoch^agent.connectionNumber)
}

// verdictsInForce returns the merged verdicts that this replica has in force.
func (j *serverJudge) verdictsInForce() []serverhealth.Verdict {
	if j.mergedVerdicts == nil {
		return nil
	}
	return j.mergedVerdicts.List
}

// serviceOf returns the service of a server, by the server list; the replica's mutex is held.
func (b *Replica) serviceOf(id string) string {
	judge := b.healthJudge
	if judge.indexedList != b.serverList {
		judge.indexedList, judge.serviceByServer = b.serverList, map[string]string{}
		for _, server := range b.serverList.List {
			judge.serviceByServer[server.ID] = server.Backend
		}
	}
	return judge.serviceByServer[id]
}

// judgingReplicas returns the sorted names of the connected replicas that judge, this one included; the mutex is held.
func (b *Replica) judgingReplicas() (names []string) {
	if b.self.Judges && !b.leaving {
		names = append(names, b.self.Name)
	}
	for name, links := range b.links {
		if link := links[len(links)-1]; link.peer.Judges && !link.leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ownerOf returns the replica that owns a service, by rendezvous hashing over the names; empty if there are none.
func ownerOf(service string, names []string) (owner string) {
	maxWeight := uint64(0)
	for _, name := range names {
		if weight := xxhash.Sum64String(service + "\x00" + name); owner == "" || weight > maxWeight {
			owner, maxWeight = name, weight
		}
	}
	return owner
}

// ownershipEpoch returns a number above 0 that changes with the judging processes. Its lower 32 bits are 0 but for that;
// evidenceRequestNumber puts the connection's number there. The mutex is held.
func (b *Replica) ownershipEpoch(names []string) uint64 {
	digest := xxhash.New()
	for _, name := range names {
		incarnation := b.self.Life
		if links := b.links[name]; len(links) > 0 {
			incarnation = links[len(links)-1].peer.Life
		}
		_, _ = digest.Write(append(binary.AppendVarint(nil, incarnation), name...))
	}
	return max(1, digest.Sum64()&^0xffffffff)
}

// handleProxyReport splits a proxy's report by service and sends each owner its part; the mutex is held.
func (b *Replica) handleProxyReport(agent *agentConn, packed []byte) {
	report, err := serverhealth.Unpack(packed)
	if err != nil || report.Proxy != agent.name || b.serverList == nil || !b.self.Judges {
		return
	}
	names := b.judgingReplicas()
	for _, name := range names {
		part := report.ForServers(func(id string) bool {
			service := b.serviceOf(id)
			return service != "" && ownerOf(service, names) == name
		})
		if name == b.self.Name {
			b.healthJudge.queueReport(part, b.now())
			continue
		}
		links := b.links[name]
		_ = links[len(links)-1].conn.Send(&peerlink.Frame{Report: part.Pack()})
	}
}

// handleForwardedReport queues a proxy's report that another replica has forwarded; the mutex is held.
func (b *Replica) handleForwardedReport(packed []byte) {
	if report, err := serverhealth.Unpack(packed); err == nil && b.self.Judges {
		b.healthJudge.queueReport(report, b.now())
	}
}

// queueReport queues a report for the next evaluation, unless the queue is full.
func (j *serverJudge) queueReport(report *serverhealth.Report, now time.Duration) {
	if len(j.pendingReports) < maxPendingReports {
		j.pendingReports = append(j.pendingReports, timedReport{report, now})
	}
}

// handlePeerVerdicts processes another replica's own verdicts and those that it had in force; the mutex is held.
func (b *Replica) handlePeerVerdicts(link *link, change *peerlink.Change) {
	judge := b.healthJudge
	for _, verdict := range change.Lately {
		judge.recentVerdicts[verdict.Server] = timedVerdict{verdict, b.now()}
	}
	if change.Verdicts == nil || change.Verdicts.By != link.peer.Name {
		return
	}
	if whole := change.Verdicts.ApplyTo(link.receivedVerdicts); whole != nil {
		link.receivedVerdicts = whole
		judge.peerVerdicts[link.peer.Name] = &peerVerdicts{whole, b.now()}
	}
}

// runServerJudge evaluates the queued reports periodically and publishes the verdicts, until ctx ends.
func (b *Replica) runServerJudge(ctx context.Context) {
	for b.sleep(ctx, verdictInterval) {
		b.mu.Lock()
		now := b.now()
		names := b.judgingReplicas()
		b.healthJudge.ownershipEpoch = b.ownershipEpoch(names)
		if now < verdictStartDelay || b.serverList == nil {
			b.mu.Unlock()
			continue
		}
		servers := b.serversToJudge()
		owned, adopted := b.ownedServers(servers, names, now)
		reports, regions := b.healthJudge.pendingReports, b.liveSettings.Load().Network.Zones
		b.healthJudge.pendingReports = nil
		b.mu.Unlock()

		b.healthJudge.evaluatorMu.Lock()
		b.healthJudge.evaluator.Adopt(now, adopted)
		for _, report := range reports {
			b.healthJudge.evaluator.AddReport(report.receivedAt, report.report)
		}
		b.healthJudge.evaluator.SetRegions(regions)
		verdicts := b.healthJudge.evaluator.Evaluate(now, owned)
		b.healthJudge.evaluatorMu.Unlock()

		b.mu.Lock()
		b.publishVerdicts(verdicts, servers, now)
		b.mu.Unlock()
	}
}

// serversToJudge returns the servers of the list; the mutex is held.
func (b *Replica) serversToJudge() (all []serverhealth.Server) {
	zones := b.liveSettings.Load().Network.Zones
	for _, server := range b.serverList.List {
		all = append(all, serverhealth.Server{ID: server.ID, Service: server.Backend, Region: zones[server.Zone], Capacity: server.Capacity, Closed: server.Draining || b.ordersInForce[server.Zone].Drain})
	}
	return all
}

// ownedServers returns the servers whose services this replica owns, and the recent verdicts to adopt on servers of
// services that it didn't own at the last evaluation; the mutex is held.
func (b *Replica) ownedServers(servers []serverhealth.Server, names []string, now time.Duration) (owned []serverhealth.Server, adopted []serverhealth.Verdict) {
	judge := b.healthJudge
	services := map[string]bool{}
	for _, server := range servers {
		if ownerOf(server.Service, names) != b.self.Name {
			continue
		}
		services[server.Service] = true
		owned = append(owned, server)
		if recent, ok := judge.recentVerdicts[server.ID]; ok && !judge.ownedServices[server.Service] && now-recent.inForceAt <= verdictAdoptionWindow {
			recent.verdict.Age += now - recent.inForceAt
			adopted = append(adopted, recent.verdict)
		}
	}
	judge.ownedServices = services
	return owned, adopted
}

// publishVerdicts puts the evaluator's verdicts in force and sends the changes to other replicas and to agents; the mutex
// is held.
func (b *Replica) publishVerdicts(verdicts *serverhealth.Verdicts, servers []serverhealth.Server, now time.Duration) {
	judge := b.healthJudge
	b.recordVerdictChanges(verdicts)
	verdicts.By, verdicts.Stamp = b.self.Name, b.world.Now().UnixNano()
	if judge.ownVerdicts != nil {
		verdicts.Stamp = max(verdicts.Stamp, judge.ownVerdicts.Stamp+1)
	}
	judge.ownVerdicts = verdicts
	for _, links := range b.links {
		link := links[len(links)-1]
		if change := verdicts.DiffFrom(link.sentVerdicts); change != nil && link.peer.Judges {
			link.sentVerdicts = verdicts
			link.sendChange(&peerlink.Change{Verdicts: change}, nil)
		}
	}
	next := &serverhealth.Verdicts{By: b.self.Name, Stamp: verdicts.Stamp, List: serverhealth.ApplyOverrides(servers, serverhealth.MergeVerdicts(servers, b.verdictLists(now)...), b.serverOrders())}
	for _, verdict := range next.List {
		judge.recentVerdicts[verdict.Server] = timedVerdict{verdict, now}
	}
	for id, verdict := range judge.recentVerdicts {
		if now-verdict.inForceAt > verdictAdoptionWindow {
			delete(judge.recentVerdicts, id)
		}
	}
	if judge.mergedVerdicts == nil || next.DiffFrom(judge.mergedVerdicts) != nil {
		judge.mergedVerdicts = next
	}
	for agent := range b.agents {
		if change := judge.mergedVerdicts.DiffFrom(agent.sentVerdicts); agent.follows && agent.sentVerdicts != judge.mergedVerdicts && change != nil {
			agent.sentVerdicts = judge.mergedVerdicts
			agent.sendChange(&peerlink.Change{Verdicts: change})
		}
	}
}

// verdictLists returns the verdicts of all owners. Those of an owner that isn't connected weaken with time and expire. The
// mutex is held.
func (b *Replica) verdictLists(now time.Duration) [][]serverhealth.Verdict {
	judge := b.healthJudge
	lists := [][]serverhealth.Verdict{judge.ownVerdicts.List}
	for name, peer := range judge.peerVerdicts {
		if len(b.links[name]) > 0 {
			peer.validAt = now
		}
		if now-peer.validAt > serverhealth.ExpiredAfter {
			delete(judge.peerVerdicts, name)
			continue
		}
		list := slices.Clone(peer.verdicts.List)
		for i := range list {
			verdict := &list[i]
			verdict.Level = verdict.Level.Aged(now - peer.validAt)
			verdict.Trial = verdict.Trial && now == peer.validAt
		}
		lists = append(lists, list)
	}
	return lists
}

// recordVerdictChanges logs changed verdicts of this replica and records them in the history; the mutex is held.
func (b *Replica) recordVerdictChanges(verdicts *serverhealth.Verdicts) {
	levels := make(map[string]serverhealth.Level, len(verdicts.List))
	for _, verdict := range verdicts.List {
		levels[verdict.Server] = verdict.Level
		if b.healthJudge.recordedLevels[verdict.Server] == verdict.Level {
			continue
		}
		reason := strings.TrimSpace(fmt.Sprintf("%s (%d outcomes, %.2f against; proxies: %d against, %d for; relapses: %d)", verdict.Why, verdict.Number, verdict.Share, verdict.Against, verdict.For, verdict.Relapses))
		b.log.Info("verdict", "server", verdict.Server, "service", verdict.Service, "level", verdict.Level.String(), "why", reason)
		b.recordOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: verdict.Server, End: verdict.Level.String(), Why: reason})
	}
	for id, level := range b.healthJudge.recordedLevels {
		if _, isJudged := levels[id]; !isJudged && level > serverhealth.Fit {
			b.log.Info("verdict", "server", id, "level", serverhealth.Fit.String())
			b.recordOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: id, End: serverhealth.Fit.String()})
		}
	}
	b.healthJudge.recordedLevels = levels
}
