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
	judgeEvery = time.Second
	judgeAfter = 3 * time.Second // from the start: by then the others have told what is in force
	adoptsFor  = 5 * time.Second // what was in force so lately is taken over by a new keeper
	mostHeard  = 4096            // reports that wait to be joined
)

// fit is this replica's part in the judging of servers; all but the floor under the replica's mutex.
type fit struct {
	work   sync.Mutex          // for the floor, and taken before the replica's mutex
	floor  *serverhealth.Floor // of the services that this replica keeps
	kept   map[string]bool
	inbox  []reportAt
	mine   *serverhealth.Verdicts // of the floor; nil: none yet
	heard  map[string]*heard      // of other keepers, by name
	joined *serverhealth.Verdicts // of all, as told to the agents; nil: none yet
	lately map[string]lasting
	levels map[string]serverhealth.Level // as noted in the history last
	epoch  uint64                        // of who keeps what; 0: nobody judges here
	seats  uint64
	list   *peerlink.Servers // of which service is
	in     map[string]string
}

// heard is what another keeper told, and when that was sure to hold last.
type heard struct {
	verdicts *serverhealth.Verdicts
	at       time.Duration
}

// lasting is a verdict that was in force at a time.
type lasting struct {
	v  serverhealth.Verdict
	at time.Duration
}

type reportAt struct {
	s  *serverhealth.Report
	at time.Duration
}

func newFit() *fit {
	return &fit{floor: serverhealth.NewFloor(), kept: map[string]bool{}, heard: map[string]*heard{}, lately: map[string]lasting{}, levels: map[string]serverhealth.Level{}}
}

// seat numbers connections.
func (f *fit) seat() uint64 {
	f.seats++
	return f.seats
}

// wanted is the number under which an agent is asked for evidence: all of it on a new connection, and once other replicas
// keep the services. 0: no evidence is wanted.
func (f *fit) wanted(h *agent) uint64 {
	if f.epoch == 0 {
		return 0
	}
	return max(1, f.epoch^h.seat)
}

// inForce are the verdicts that hold by this replica's word.
func (f *fit) inForce() []serverhealth.Verdict {
	if f.joined == nil {
		return nil
	}
	return f.joined.List
}

// serviceOf is the service of a server of the list; the replica's mutex is held.
func (b *Replica) serviceOf(id string) string {
	f := b.healthJudge
	if f.list != b.serverList {
		f.list, f.in = b.serverList, map[string]string{}
		for _, s := range b.serverList.List {
			f.in[s.ID] = s.Backend
		}
	}
	return f.in[id]
}

// judgesThere are the names of the replicas that judge, this one included; the mutex is held.
func (b *Replica) judgesThere() (names []string) {
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

// keeperOf is who joins the evidence on a service's servers: the name of the highest weight.
func keeperOf(service string, names []string) (keeper string) {
	most := uint64(0)
	for _, n := range names {
		if w := xxhash.Sum64String(service + "\x00" + n); keeper == "" || w > most {
			keeper, most = n, w
		}
	}
	return keeper
}

// epochOf is a number that changes with who is there; the mutex is held.
func (b *Replica) epochOf(names []string) uint64 {
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

// report takes in what an agent's proxy saw and sends each keeper its part; the mutex is held.
func (b *Replica) report(h *agent, packed []byte) {
	s, err := serverhealth.Unpack(packed)
	if err != nil || s.Witness != h.name || b.serverList == nil || !b.self.Judges {
		return
	}
	names := b.judgesThere()
	for _, name := range names {
		part := s.Part(func(id string) bool {
			service := b.serviceOf(id)
			return service != "" && keeperOf(service, names) == name
		})
		if name == b.self.Name {
			b.healthJudge.take(part, b.now())
			continue
		}
		all := b.links[name]
		_ = all[len(all)-1].conn.Send(&peerlink.Frame{Report: part.Pack()})
	}
}

// reaped takes in evidence that another replica sends on; the mutex is held.
func (b *Replica) reaped(packed []byte) {
	if s, err := serverhealth.Unpack(packed); err == nil && b.self.Judges {
		b.healthJudge.take(s, b.now())
	}
}

func (f *fit) take(s *serverhealth.Report, now time.Duration) {
	if len(f.inbox) < mostHeard {
		f.inbox = append(f.inbox, reportAt{s, now})
	}
}

// verdictsTold takes in what another replica tells of verdicts; the mutex is held.
func (b *Replica) verdictsTold(l *link, c *peerlink.Change) {
	f := b.healthJudge
	for _, v := range c.Lately {
		f.lately[v.Server] = lasting{v, b.now()}
	}
	if c.Verdicts == nil || c.Verdicts.By != l.peer.Name {
		return
	}
	if whole := c.Verdicts.Onto(l.receivedVerdicts); whole != nil {
		l.receivedVerdicts = whole
		f.heard[l.peer.Name] = &heard{whole, b.now()}
	}
}

// judges joins what was heard, ever again.
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
		all := b.judged()
		mine, adopt := b.keepsOf(all, names, now)
		inbox, regions := b.healthJudge.inbox, b.liveSettings.Load().Network.Zones
		b.healthJudge.inbox = nil
		b.mu.Unlock()

		b.healthJudge.work.Lock()
		b.healthJudge.floor.Adopt(now, adopt)
		for _, x := range inbox {
			b.healthJudge.floor.Hear(x.at, x.s)
		}
		b.healthJudge.floor.Place(regions)
		v := b.healthJudge.floor.Step(now, mine)
		b.healthJudge.work.Unlock()

		b.mu.Lock()
		b.ruled(v, all, now)
		b.mu.Unlock()
	}
}

// judged are the servers of the list; the mutex is held.
func (b *Replica) judged() (all []serverhealth.Server) {
	zones := b.liveSettings.Load().Network.Zones
	for _, s := range b.serverList.List {
		all = append(all, serverhealth.Server{ID: s.ID, Service: s.Backend, Region: zones[s.Zone], Capacity: s.Capacity, Closed: s.Draining || b.ordersInForce[s.Zone].Drain})
	}
	return all
}

// keepsOf are the servers whose services this replica keeps, and what it takes over of those that it has not kept yet;
// the mutex is held.
func (b *Replica) keepsOf(all []serverhealth.Server, names []string, now time.Duration) (mine []serverhealth.Server, adopt []serverhealth.Verdict) {
	f := b.healthJudge
	kept := map[string]bool{}
	for _, s := range all {
		if keeperOf(s.Service, names) != b.self.Name {
			continue
		}
		kept[s.Service] = true
		mine = append(mine, s)
		if last, ok := f.lately[s.ID]; ok && !f.kept[s.Service] && now-last.at <= adoptsFor {
			last.v.Age += now - last.at
			adopt = append(adopt, last.v)
		}
	}
	f.kept = kept
	return mine, adopt
}

// ruled puts the floor's verdicts in force, and tells others and agents what is new; the mutex is held.
func (b *Replica) ruled(v *serverhealth.Verdicts, servers []serverhealth.Server, now time.Duration) {
	f := b.healthJudge
	b.noteVerdicts(v)
	v.By, v.Stamp = b.self.Name, b.world.Now().UnixNano()
	if f.mine != nil {
		v.Stamp = max(v.Stamp, f.mine.Stamp+1)
	}
	f.mine = v
	for _, all := range b.links {
		l := all[len(all)-1]
		if p := v.Since(l.sentVerdicts); p != nil && l.peer.Judges {
			l.sentVerdicts = v
			l.sendChange(&peerlink.Change{Verdicts: p}, nil)
		}
	}
	next := &serverhealth.Verdicts{By: b.self.Name, Stamp: v.Stamp, List: serverhealth.Overrule(servers, serverhealth.Join(servers, b.lists(now)...), b.serverOrders())}
	for _, x := range next.List {
		f.lately[x.Server] = lasting{x, now}
	}
	for id, x := range f.lately {
		if now-x.at > adoptsFor {
			delete(f.lately, id)
		}
	}
	if f.joined == nil || next.Since(f.joined) != nil {
		f.joined = next
	}
	for h := range b.agents {
		if p := f.joined.Since(h.verdicts); h.upstream && h.verdicts != f.joined && p != nil {
			h.verdicts = f.joined
			h.change(&peerlink.Change{Verdicts: p})
		}
	}
}

// lists are the verdicts of all keepers; those of one that is out of reach weigh less and less. The mutex is held.
func (b *Replica) lists(now time.Duration) [][]serverhealth.Verdict {
	f := b.healthJudge
	all := [][]serverhealth.Verdict{f.mine.List}
	for name, h := range f.heard {
		if len(b.links[name]) > 0 {
			h.at = now
		}
		if now-h.at > serverhealth.Expired {
			delete(f.heard, name)
			continue
		}
		list := slices.Clone(h.verdicts.List)
		for i := range list {
			v := &list[i]
			v.Level = v.Level.Aged(now - h.at)
			v.Trial = v.Trial && now == h.at
		}
		all = append(all, list)
	}
	return all
}

// noteVerdicts keeps in the history what has changed in this replica's own verdicts; the mutex is held.
func (b *Replica) noteVerdicts(v *serverhealth.Verdicts) {
	levels := make(map[string]serverhealth.Level, len(v.List))
	for _, x := range v.List {
		levels[x.Server] = x.Level
		if b.healthJudge.levels[x.Server] == x.Level {
			continue
		}
		why := strings.TrimSpace(fmt.Sprintf("%s (%d outcomes, %.2f against; proxies: %d against, %d for; relapses: %d)", x.Why, x.Number, x.Share, x.Against, x.For, x.Relapses))
		b.log.Info("verdict", "server", x.Server, "service", x.Service, "level", x.Level.String(), "why", why)
		b.keepOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: x.Server, End: x.Level.String(), Why: why})
	}
	for id, l := range b.healthJudge.levels {
		if _, there := levels[id]; !there && l > serverhealth.Fit {
			b.log.Info("verdict", "server", id, "level", serverhealth.Fit.String())
			b.keepOrder(api.Order{At: b.world.Now().UTC(), Kind: api.OrderVerdict, What: id, End: serverhealth.Fit.String()})
		}
	}
	b.healthJudge.levels = levels
}
