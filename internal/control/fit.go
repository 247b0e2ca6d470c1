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

// Times and bounds of the judging of servers.
const (
	verdictInterval       = time.Second
	verdictStartDelay     = 3 * time.Second // from the start: by then the others have told what is in force
	verdictAdoptionWindow = 5 * time.Second // what was in force so lately is taken over by a new keeper
	maxPendingReports     = 4096            // reports that wait to be joined
)

// serverJudge is this replica's part in the judging of servers; all but the floor under the replica's mutex.
type serverJudge struct {
	evaluatorMu     sync.Mutex          // for the floor, and taken before the replica's mutex
	evaluator       *serverhealth.Floor // of the services that this replica keeps
	ownedServices   map[string]bool
	pendingReports  []timedReport
	ownVerdicts     *serverhealth.Verdicts   // of the floor; nil: none yet
	peerVerdicts    map[string]*peerVerdicts // of other keepers, by name
	mergedVerdicts  *serverhealth.Verdicts   // of all, as told to the agents; nil: none yet
	recentVerdicts  map[string]timedVerdict
	recordedLevels  map[string]serverhealth.Level // as noted in the history last
	ownershipEpoch  uint64                        // of who keeps what; 0: nobody judges here
	connectionCount uint64
	indexedList     *peerlink.Servers // of which service is
	serviceByServer map[string]string
}

// peerVerdicts is what another keeper told, and when that was sure to hold last.
type peerVerdicts struct {
	verdicts *serverhealth.Verdicts
	validAt  time.Duration
}

// timedVerdict is a verdict that was in force at a time.
type timedVerdict struct {
	verdict   serverhealth.Verdict
	inForceAt time.Duration
}

type timedReport struct {
	report     *serverhealth.Report
	receivedAt time.Duration
}

func newServerJudge() *serverJudge {
	return &serverJudge{evaluator: serverhealth.NewFloor(), ownedServices: map[string]bool{}, peerVerdicts: map[string]*peerVerdicts{}, recentVerdicts: map[string]timedVerdict{}, recordedLevels: map[string]serverhealth.Level{}}
}

// nextConnectionNumber numbers connections.
func (f *serverJudge) nextConnectionNumber() uint64 {
	f.connectionCount++
	return f.connectionCount
}

// evidenceNumber is the number under which an agent is asked for evidence: all of it on a new connection, and once other replicas
// keep the services. 0: no evidence is wanted.
func (f *serverJudge) evidenceNumber(h *agentConn) uint64 {
	if f.ownershipEpoch == 0 {
		return 0
	}
	return max(1, f.ownershipEpoch^h.connectionNumber)
}

// verdictsInForce are the verdicts that hold by this replica's word.
func (f *serverJudge) verdictsInForce() []serverhealth.Verdict {
	if f.mergedVerdicts == nil {
		return nil
	}
	return f.mergedVerdicts.List
}

// serviceOf is the service of a server of the list; the replica's mutex is held.
func (b *Replica) serviceOf(id string) string {
	f := b.healthJudge
	if f.indexedList != b.serverList {
		f.indexedList, f.serviceByServer = b.serverList, map[string]string{}
		for _, s := range b.serverList.List {
			f.serviceByServer[s.ID] = s.Backend
		}
	}
	return f.serviceByServer[id]
}

// judgingReplicas are the names of the replicas that judge, this one included; the mutex is held.
func (b *Replica) judgingReplicas() (names []string) {
	if b.self.Judges && !b.leaving {
		names = append(names, b.self.Name)
	}
	for name, all := range b.links {
		if l := all[len(all)-1]; l.peer.Judges && !l.leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ownerOf is who joins the evidence on a service's servers: the name of the highest weight.
func ownerOf(service string, names []string) (keeper string) {
	most := uint64(0)
	for _, n := range names {
		if w := xxhash.Sum64String(service + "\x00" + n); keeper == "" || w > most {
			keeper, most = n, w
		}
	}
	return keeper
}

// ownershipEpoch is a number that changes with who is there; the mutex is held.
func (b *Replica) ownershipEpoch(names []string) uint64 {
	d := xxhash.New()
	for _, n := range names {
		life := b.self.Life
		if all := b.links[n]; len(all) > 0 {
			life = all[len(all)-1].peer.Life
		}
		_, _ = d.Write(append(binary.AppendVarint(nil, life), n...))
	}
	return max(1, d.Sum64()&^0xffffffff)
}

// handleProxyReport takes in what an agent's proxy saw and sends each keeper its part; the mutex is held.
func (b *Replica) handleProxyReport(h *agentConn, packed []byte) {
	s, err := serverhealth.Unpack(packed)
	if err != nil || s.Witness != h.name || b.serverList == nil || !b.self.Judges {
		return
	}
	names := b.judgingReplicas()
	for _, name := range names {
		part := s.Part(func(id string) bool {
			service := b.serviceOf(id)
			return service != "" && ownerOf(service, names) == name
		})
		if name == b.self.Name {
			b.healthJudge.queueReport(part, b.now())
			continue
		}
		all := b.links[name]
		_ = all[len(all)-1].conn.Send(&peerlink.Frame{Report: part.Pack()})
	}
}

// handleForwardedReport takes in evidence that another replica sends on; the mutex is held.
func (b *Replica) handleForwardedReport(packed []byte) {
	if s, err := serverhealth.Unpack(packed); err == nil && b.self.Judges {
		b.healthJudge.queueReport(s, b.now())
	}
}

func (f *serverJudge) queueReport(s *serverhealth.Report, now time.Duration) {
	if len(f.pendingReports) < maxPendingReports {
		f.pendingReports = append(f.pendingReports, timedReport{s, now})
	}
}

// handlePeerVerdicts takes in what another replica tells of verdicts; the mutex is held.
func (b *Replica) handlePeerVerdicts(l *link, c *peerlink.Change) {
	f := b.healthJudge
	for _, v := range c.Lately {
		f.recentVerdicts[v.Server] = timedVerdict{v, b.now()}
	}
	if c.Verdicts == nil || c.Verdicts.By != l.peer.Name {
		return
	}
	if whole := c.Verdicts.Onto(l.receivedVerdicts); whole != nil {
		l.receivedVerdicts = whole
		f.peerVerdicts[l.peer.Name] = &peerVerdicts{whole, b.now()}
	}
}

// runServerJudge joins what was heard, ever again.
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
		all := b.serversToJudge()
		mine, adopt := b.ownedServers(all, names, now)
		inbox, regions := b.healthJudge.pendingReports, b.liveSettings.Load().Network.Zones
		b.healthJudge.pendingReports = nil
		b.mu.Unlock()

		b.healthJudge.evaluatorMu.Lock()
		b.healthJudge.evaluator.Adopt(now, adopt)
		for _, x := range inbox {
			b.healthJudge.evaluator.Hear(x.receivedAt, x.report)
		}
		b.healthJudge.evaluator.Place(regions)
		v := b.healthJudge.evaluator.Step(now, mine)
		b.healthJudge.evaluatorMu.Unlock()

		b.mu.Lock()
		b.publishVerdicts(v, all, now)
		b.mu.Unlock()
	}
}

// serversToJudge are the servers of the list; the mutex is held.
func (b *Replica) serversToJudge() (all []serverhealth.Server) {
	zones := b.liveSettings.Load().Network.Zones
	for _, s := range b.serverList.List {
		all = append(all, serverhealth.Server{ID: s.ID, Service: s.Backend, Region: zones[s.Zone], Capacity: s.Capacity, Closed: s.Draining || b.ordersInForce[s.Zone].Drain})
	}
	return all
}

// ownedServers are the servers whose services this replica keeps, and what it takes over of those that it has not kept yet;
// the mutex is held.
func (b *Replica) ownedServers(all []serverhealth.Server, names []string, now time.Duration) (mine []serverhealth.Server, adopt []serverhealth.Verdict) {
	f := b.healthJudge
	kept := map[string]bool{}
	for _, s := range all {
		if ownerOf(s.Service, names) != b.self.Name {
			continue
		}
		kept[s.Service] = true
		mine = append(mine, s)
		if last, ok := f.recentVerdicts[s.ID]; ok && !f.ownedServices[s.Service] && now-last.inForceAt <= verdictAdoptionWindow {
			last.verdict.Age += now - last.inForceAt
			adopt = append(adopt, last.verdict)
		}
	}
	f.ownedServices = kept
	return mine, adopt
}

// publishVerdicts puts the floor's verdicts in force, and tells others and agents what is new; the mutex is held.
func (b *Replica) publishVerdicts(v *serverhealth.Verdicts, servers []serverhealth.Server, now time.Duration) {
	f := b.healthJudge
	b.recordVerdictChanges(v)
	v.By, v.Stamp = b.self.Name, b.world.Now().UnixNano()
	if f.ownVerdicts != nil {
		v.Stamp = max(v.Stamp, f.ownVerdicts.Stamp+1)
	}
	f.ownVerdicts = v
	for _, all := range b.links {
		l := all[len(all)-1]
		if p := v.Since(l.sentVerdicts); p != nil && l.peer.Judges {
			l.sentVerdicts = v
			l.sendChange(&peerlink.Change{Verdicts: p}, nil)
		}
	}
	next := &serverhealth.Verdicts{By: b.self.Name, Stamp: v.Stamp, List: serverhealth.Overrule(servers, serverhealth.Join(servers, b.verdictLists(now)...), b.serverOrders())}
	for _, x := range next.List {
		f.recentVerdicts[x.Server] = timedVerdict{x, now}
	}
	for id, x := range f.recentVerdicts {
		if now-x.inForceAt > verdictAdoptionWindow {
			delete(f.recentVerdicts, id)
		}
	}
	if f.mergedVerdicts == nil || next.Since(f.mergedVerdicts) != nil {
		f.mergedVerdicts = next
	}
	for h := range b.agents {
		if p := f.mergedVerdicts.Since(h.sentVerdicts); h.follows && h.sentVerdicts != f.mergedVerdicts && p != nil {
			h.sentVerdicts = f.mergedVerdicts
			h.sendChange(&peerlink.Change{Verdicts: p})
		}
	}
}

// verdictLists are the verdicts of all keepers; those of one that is out of reach weigh less and less. The mutex is held.
func (b *Replica) verdictLists(now time.Duration) [][]serverhealth.Verdict {
	f := b.healthJudge
	all := [][]serverhealth.Verdict{f.ownVerdicts.List}
	for name, h := range f.peerVerdicts {
		if len(b.links[name]) > 0 {
			h.validAt = now
		}
		if now-h.validAt > serverhealth.Expired {
			delete(f.peerVerdicts, name)
			continue
		}
		list := slices.Clone(h.verdicts.List)
		for i := range list {
			v := &list[i]
			v.Level = v.Level.Aged(now - h.validAt)
			v.Trial = v.Trial && now == h.validAt
		}
		all = append(all, list)
	}
	return all
}

// recordVerdictChanges keeps in the history what has changed in this replica's own verdicts; the mutex is held.
func (b *Replica) recordVerdictChanges(v *serverhealth.Verdicts) {
	levels := make(map[string]serverhealth.Level, len(v.List))
	for _, x := range v.List {
		levels[x.Server] = x.Level
		if b.healthJudge.recordedLevels[x.Server] == x.Level {
			continue
		}
		why := strings.TrimSpace(fmt.Sprintf("%s (%d outcomes, %.2f against; proxies: %d against, %d for; relapses: %d)", x.Why, x.Number, x.Share, x.Against, x.For, x.Relapses))
		b.log.Info("verdict", "server", x.Server, "service", x.Service, "level", x.Level.String(), "why", why)
		b.recordOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: x.Server, End: x.Level.String(), Why: why})
	}
	for id, l := range b.healthJudge.recordedLevels {
		if _, there := levels[id]; !there && l > serverhealth.Fit {
			b.log.Info("verdict", "server", id, "level", serverhealth.Fit.String())
			b.recordOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: id, End: serverhealth.Fit.String()})
		}
	}
	b.healthJudge.recordedLevels = levels
}
