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
	judgeEvery = time.Second
	judgeAfter = 3 * time.Second // after the start: by then the other replicas have sent the verdicts in force
	adoptsFor  = 5 * time.Second // a new owner adopts verdicts that were in force so recently
	mostHeard  = 4096            // reports that wait to be evaluated; more are dropped
)

// serverJudge evaluates what proxies report on servers. Each service is owned by one replica, which gives the verdicts on
// its servers. The replica's mutex guards all but the evaluator.
type fit struct {
	work   sync.Mutex          // guards the evaluator; taken before the replica's mutex
	floor  *serverhealth.Floor // of the services that this replica owns
	kept   map[string]bool     // services that this replica owned at the last evaluation
	inbox  []reportAt
	mine   *serverhealth.Verdicts        // of the evaluator; nil: none yet
	heard  map[string]*heard             // of other owners, by replica name
	joined *serverhealth.Verdicts        // of all owners, as sent to the agents; nil: none yet
	lately map[string]lasting            // by server
	levels map[string]serverhealth.Level // as last recorded in the history, by server
	epoch  uint64                        // changes with the owners of services; 0: this replica doesn't judge
	seats  uint64                        // agent connections so far
	list   *peerlink.Servers             // the list that serviceByServer is for
	in     map[string]string             // by server ID
}

// peerVerdicts holds another owner's verdicts and when they were last known to be valid.
type heard struct {
	verdicts *serverhealth.Verdicts
	at       time.Duration
}

// timedVerdict is a verdict and when it was last in force.
type lasting struct {
	v  serverhealth.Verdict
	at time.Duration
}

// timedReport is a proxy's report and when it was received.
type reportAt struct {
	s  *serverhealth.Report
	at time.Duration
}

func newFit() *fit {
	return &fit{floor: serverhealth.NewFloor(), kept: map[string]bool{}, heard: map[string]*heard{}, lately: map[string]lasting{}, levels: map[string]serverhealth.Level{}}
}

// nextConnectionNumber returns a number for a new agent connection.
func (j *fit) seat() uint64 {
	j.seats++
	return j.seats
}

// evidenceNumber returns the number under which an agent is asked for evidence; 0: none is wanted. It changes on a new
// connection and when the owners of services change; the agent then sends all evidence again.
func (j *fit) wanted(agent *agent) uint64 {
	if j.epoch == 0 {
		return 0
	}
	return max(1, j.epoch^agent.seat)
}

// verdictsInForce returns the merged verdicts that this replica has in force.
func (j *fit) inForce() []serverhealth.Verdict {
	if j.joined == nil {
		return nil
	}
	return j.joined.List
}

// serviceOf returns the service of a server, by the server list; the replica's mutex is held.
func (b *Replica) serviceOf(id string) string {
	judge := b.healthJudge
	if judge.list != b.serverList {
		judge.list, judge.in = b.serverList, map[string]string{}
		for _, server := range b.serverList.List {
			judge.in[server.ID] = server.Backend
		}
	}
	return judge.in[id]
}

// judgingReplicas returns the sorted names of the connected replicas that judge, this one included; the mutex is held.
func (b *Replica) judgesThere() (names []string) {
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
func keeperOf(service string, names []string) (owner string) {
	maxWeight := uint64(0)
	for _, name := range names {
		if weight := xxhash.Sum64String(service + "\x00" + name); owner == "" || weight > maxWeight {
			owner, maxWeight = name, weight
		}
	}
	return owner
}

// ownershipEpoch returns a number above 0 that changes with the judging processes. Its lower 32 bits are 0 but for that;
// evidenceNumber puts the connection's number there. The mutex is held.
func (b *Replica) epochOf(names []string) uint64 {
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
func (b *Replica) report(agent *agent, packed []byte) {
	report, err := serverhealth.Unpack(packed)
	if err != nil || report.Witness != agent.name || b.serverList == nil || !b.self.Judges {
		return
	}
	names := b.judgesThere()
	for _, name := range names {
		part := report.Part(func(id string) bool {
			service := b.serviceOf(id)
			return service != "" && keeperOf(service, names) == name
		})
		if name == b.self.Name {
			b.healthJudge.take(part, b.now())
			continue
		}
		links := b.links[name]
		_ = links[len(links)-1].conn.Send(&peerlink.Frame{Report: part.Pack()})
	}
}

// handleForwardedReport queues a proxy's report that another replica has forwarded; the mutex is held.
func (b *Replica) reaped(packed []byte) {
	if report, err := serverhealth.Unpack(packed); err == nil && b.self.Judges {
		b.healthJudge.take(report, b.now())
	}
}

// queueReport queues a report for the next evaluation, unless the queue is full.
func (j *fit) take(report *serverhealth.Report, now time.Duration) {
	if len(j.inbox) < mostHeard {
		j.inbox = append(j.inbox, reportAt{report, now})
	}
}

// handlePeerVerdicts processes another replica's own verdicts and those that it had in force; the mutex is held.
func (b *Replica) verdictsTold(link *link, change *peerlink.Change) {
	judge := b.healthJudge
	for _, verdict := range change.Lately {
		judge.lately[verdict.Server] = lasting{verdict, b.now()}
	}
	if change.Verdicts == nil || change.Verdicts.By != link.peer.Name {
		return
	}
	if whole := change.Verdicts.Onto(link.receivedVerdicts); whole != nil {
		link.receivedVerdicts = whole
		judge.heard[link.peer.Name] = &heard{whole, b.now()}
	}
}

// runServerJudge evaluates the queued reports periodically and publishes the verdicts, until ctx ends.
func (b *Replica) judges(ctx context.Context) {
	for b.sleep(ctx, judgeEvery) {
		b.mu.Lock()
		now := b.now()
		names := b.judgesThere()
		b.healthJudge.epoch = b.epochOf(names)
		if now < judgeAfter || b.serverList == nil {
			b.mu.Unlock()
			continue
		}
		servers := b.judged()
		owned, adopted := b.keepsOf(servers, names, now)
		reports, regions := b.healthJudge.inbox, b.liveSettings.Load().Network.Zones
		b.healthJudge.inbox = nil
		b.mu.Unlock()

		b.healthJudge.work.Lock()
		b.healthJudge.floor.Adopt(now, adopted)
		for _, report := range reports {
			b.healthJudge.floor.Hear(report.at, report.s)
		}
		b.healthJudge.floor.Place(regions)
		verdicts := b.healthJudge.floor.Step(now, owned)
		b.healthJudge.work.Unlock()

		b.mu.Lock()
		b.ruled(verdicts, servers, now)
		b.mu.Unlock()
	}
}

// serversToJudge returns the servers of the list; the mutex is held.
func (b *Replica) judged() (all []serverhealth.Server) {
	zones := b.liveSettings.Load().Network.Zones
	for _, server := range b.serverList.List {
		all = append(all, serverhealth.Server{ID: server.ID, Service: server.Backend, Region: zones[server.Zone], Capacity: server.Capacity, Closed: server.Draining || b.ordersInForce[server.Zone].Drain})
	}
	return all
}

// ownedServers returns the servers whose services this replica owns, and the recent verdicts to adopt on servers of
// services that it didn't own at the last evaluation; the mutex is held.
func (b *Replica) keepsOf(servers []serverhealth.Server, names []string, now time.Duration) (owned []serverhealth.Server, adopted []serverhealth.Verdict) {
	judge := b.healthJudge
	services := map[string]bool{}
	for _, server := range servers {
		if keeperOf(server.Service, names) != b.self.Name {
			continue
		}
		services[server.Service] = true
		owned = append(owned, server)
		if recent, ok := judge.lately[server.ID]; ok && !judge.kept[server.Service] && now-recent.at <= adoptsFor {
			recent.v.Age += now - recent.at
			adopted = append(adopted, recent.v)
		}
	}
	judge.kept = services
	return owned, adopted
}

// publishVerdicts puts the evaluator's verdicts in force and sends the changes to other replicas and to agents; the mutex
// is held.
func (b *Replica) ruled(verdicts *serverhealth.Verdicts, servers []serverhealth.Server, now time.Duration) {
	judge := b.healthJudge
	b.noteVerdicts(verdicts)
	verdicts.By, verdicts.Stamp = b.self.Name, b.world.Now().UnixNano()
	if judge.mine != nil {
		verdicts.Stamp = max(verdicts.Stamp, judge.mine.Stamp+1)
	}
	judge.mine = verdicts
	for _, links := range b.links {
		link := links[len(links)-1]
		if change := verdicts.Since(link.sentVerdicts); change != nil && link.peer.Judges {
			link.sentVerdicts = verdicts
			link.sendChange(&peerlink.Change{Verdicts: change}, nil)
		}
	}
	next := &serverhealth.Verdicts{By: b.self.Name, Stamp: verdicts.Stamp, List: serverhealth.Overrule(servers, serverhealth.Join(servers, b.lists(now)...), b.serverOrders())}
	for _, verdict := range next.List {
		judge.lately[verdict.Server] = lasting{verdict, now}
	}
	for id, verdict := range judge.lately {
		if now-verdict.at > adoptsFor {
			delete(judge.lately, id)
		}
	}
	if judge.joined == nil || next.Since(judge.joined) != nil {
		judge.joined = next
	}
	for agent := range b.agents {
		if change := judge.joined.Since(agent.verdicts); agent.upstream && agent.verdicts != judge.joined && change != nil {
			agent.verdicts = judge.joined
			agent.change(&peerlink.Change{Verdicts: change})
		}
	}
}

// verdictLists returns the verdicts of all owners. Those of an owner that isn't connected weaken with time and expire. The
// mutex is held.
func (b *Replica) lists(now time.Duration) [][]serverhealth.Verdict {
	judge := b.healthJudge
	lists := [][]serverhealth.Verdict{judge.mine.List}
	for name, peer := range judge.heard {
		if len(b.links[name]) > 0 {
			peer.at = now
		}
		if now-peer.at > serverhealth.Expired {
			delete(judge.heard, name)
			continue
		}
		list := slices.Clone(peer.verdicts.List)
		for i := range list {
			verdict := &list[i]
			verdict.Level = verdict.Level.Aged(now - peer.at)
			verdict.Trial = verdict.Trial && now == peer.at
		}
		lists = append(lists, list)
	}
	return lists
}

// recordVerdictChanges logs changed verdicts of this replica and records them in the history; the mutex is held.
func (b *Replica) noteVerdicts(verdicts *serverhealth.Verdicts) {
	levels := make(map[string]serverhealth.Level, len(verdicts.List))
	for _, verdict := range verdicts.List {
		levels[verdict.Server] = verdict.Level
		if b.healthJudge.levels[verdict.Server] == verdict.Level {
			continue
		}
		reason := strings.TrimSpace(fmt.Sprintf("%s (%d outcomes, %.2f against; proxies: %d against, %d for; relapses: %d)", verdict.Why, verdict.Number, verdict.Share, verdict.Against, verdict.For, verdict.Relapses))
		b.log.Info("verdict", "server", verdict.Server, "service", verdict.Service, "level", verdict.Level.String(), "why", reason)
		b.keepOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: verdict.Server, End: verdict.Level.String(), Why: reason})
	}
	for id, level := range b.healthJudge.levels {
		if _, isJudged := levels[id]; !isJudged && level > serverhealth.Fit {
			b.log.Info("verdict", "server", id, "level", serverhealth.Fit.String())
			b.keepOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: id, End: serverhealth.Fit.String()})
		}
	}
	b.healthJudge.levels = levels
}
