package control

import (
	"compress/gzip"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/logring"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

const (
	maxOperatorCalls = 4                       // calls of operators at once
	maxSubjectBytes  = 64                      // bytes of a version, a zone or a proxy in the history
	figuresWantedFor = 10 * time.Second        // after a look proxies tell their figures
	maxFiguresAge    = 3500 * time.Millisecond // then they are told no more
)

// operatorState is what operators are told. Nothing of it runs while nobody asks.
type operatorState struct {
	logRing                *logring.Ring
	orders                 []api.Order // a ring
	orderCount             uint64
	persistOrder           func(api.Order) // writes one down; nil: nobody does
	figuresWantedUntil     time.Duration   // until when figures of proxies are wanted
	routeCountsWantedUntil time.Duration   // and what they were asked for
	routeCountsWantedSince time.Duration   // that is wanted without a pause
}

var errBusy = errors.New("too many operators look at once")

// SetLogRing lets operators read the ring; it is called before Run.
func (b *Replica) SetLogRing(ring *logring.Ring) { b.ops.logRing = ring }

// addOperatorRoutes adds their calls to ctl.
func (b *Replica) addOperatorRoutes(m *http.ServeMux) {
	slots := make(chan struct{}, maxOperatorCalls)
	add := func(path string, look func(r *http.Request) (any, error)) {
		m.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				writeError(w, http.StatusServiceUnavailable, errBusy)
				return
			}
			told, err := look(r)
			if err != nil {
				writeError(w, http.StatusBadRequest, err)
				return
			}
			w.Header().Set("Content-Type", jsonContentType)
			if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
				_ = json.NewEncoder(w).Encode(told)
				return
			}
			w.Header().Set("Content-Encoding", "gzip") // of a hundred proxies, asked every second, it is a part of a thin link
			z := gzip.NewWriter(w)
			_ = json.NewEncoder(z).Encode(told)
			_ = z.Close()
		})
	}
	add(api.OpsStatus, func(r *http.Request) (any, error) { return b.Status(r.Context()), nil })
	add(api.ServerExplain, func(r *http.Request) (any, error) {
		id := strings.TrimPrefix(r.URL.Path, api.ServerExplain)
		if !nodeNamePattern.MatchString(id) {
			return nil, errors.Errorf("%q is no id of a server", id)
		}
		return b.ExplainVerdict(id), nil
	})
	add(api.OpsHistory, func(*http.Request) (any, error) { return b.History(), nil })
	add(api.OpsAsked, func(*http.Request) (any, error) { return b.RequestCounts(), nil })
	add(api.OpsLog, func(r *http.Request) (any, error) {
		from := uint64(0)
		if text := r.URL.Query().Get(api.LogFrom); text != "" {
			var err error
			if from, err = strconv.ParseUint(text, 10, 64); err != nil {
				return nil, errors.Errorf("%s: %q is no number", api.LogFrom, text)
			}
		}
		return b.Log(from), nil
	})
}

// runOrder carries an order out and keeps what became of it.
func (b *Replica) runOrder(r *http.Request, kind, what string, order func(ctx context.Context) error) error {
	began, at := b.now(), b.world.Now()
	err := order(withLockToken(r.Context(), r.URL.Query().Get(api.LockToken)))
	o := api.Order{At: at.UTC(), Kind: kind, What: what[:min(len(what), maxSubjectBytes)], From: r.RemoteAddr, TookMS: (b.now() - began).Milliseconds(), End: "acknowledged"}
	if err != nil {
		if o.End, o.Why = "unclear", err.Error(); httpStatus(err) != http.StatusServiceUnavailable {
			o.End = "refused"
		}
		o.Why = o.Why[:min(len(o.Why), api.MostLine)]
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordOrder(o)
	return err
}

// recordOrder keeps an order, or a verdict, and has it written down; the mutex is held.
func (b *Replica) recordOrder(o api.Order) {
	if b.ops.persistOrder != nil {
		b.ops.persistOrder(o)
	}
	if len(b.ops.orders) < api.MostOrders {
		b.ops.orders = append(b.ops.orders, o)
	} else {
		b.ops.orders[b.ops.orderCount%api.MostOrders] = o
	}
	b.ops.orderCount++
}

// configurationGen is the version that a body says it is, for the history only.
func configurationGen(body []byte) string {
	var b struct {
		Gen string `json:"gen"`
	}
	_ = json.Unmarshal(body, &b)
	return b.Gen
}

// SetOrderPersister has orders written down; it is called before Run.
func (b *Replica) SetOrderPersister(note func(api.Order)) { b.ops.persistOrder = note }

// RestoreOrders puts orders of earlier lives before those of this one.
func (b *Replica) RestoreOrders(orders []api.Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Concat(orders, b.ops.oldestFirst())
	b.ops.orders = all[max(0, len(all)-api.MostOrders):]
	b.ops.orderCount = uint64(len(b.ops.orders))
}

// oldestFirst is the ring's orders, oldest first.
func (o *operatorState) oldestFirst() []api.Order {
	if len(o.orders) == 0 {
		return nil
	}
	cut := o.orderCount % uint64(len(o.orders))
	return slices.Concat(o.orders[cut:], o.orders[:cut])
}

// History tells of the orders that this replica was given, also in earlier lives
// as far as these were written down.
func (b *Replica) History() *api.History {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &api.History{Replica: b.self.Name, Since: b.startedAt.UTC(), Orders: []api.Order{}}
	if n := uint64(len(b.ops.orders)); n > 0 {
		h.Lost, h.Orders = b.ops.orderCount-n, b.ops.oldestFirst()
	}
	return h
}

// Log tells the ring's lines from a number on.
func (b *Replica) Log(from uint64) *api.Log {
	l := &api.Log{Replica: b.self.Name, At: b.world.Now().UTC(), Lines: []api.LogLine{}}
	if b.ops.logRing == nil {
		return l
	}
	lines, next := b.ops.logRing.Lines(from, api.MostLines, api.MostLine)
	l.Next = next
	for _, x := range lines {
		l.Lines = append(l.Lines, api.LogLine{No: x.No, At: x.At.UTC(), Text: x.Text})
	}
	return l
}

// Status asks the other replicas what they hold and tells that, and what else this one knows.
func (b *Replica) Status(ctx context.Context) *api.Status {
	rctx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	reports := b.requestReports(rctx, func() bool { return false })
	cancel()
	trouble := b.store.LastError()
	b.mu.Lock()
	defer b.mu.Unlock()
	now, decided := b.now(), b.contents.Record.Decided
	b.ops.figuresWantedUntil = now + figuresWantedFor
	s := &api.Status{Replica: b.self.Name, Zone: b.self.Zone, Region: b.self.Region, At: b.world.Now().UTC(), UpMS: now.Milliseconds(),
		Voter: b.self.Voter, Eligible: b.isVoter(), Leaving: b.leaving,
		Voters: len(decided.Voters), Majority: quorum.Majority(len(decided.Voters)),
		Held: apiVersion(newestConfig(b.contents.Record.Report())), Confirmed: apiVersion(decided.Config), FreshMS: -1,
		Replicas: []api.ReplicaView{}, Proxies: []api.ProxyView{}, Zones: []api.ZoneOrder{}, Nodes: []api.NodeOrder{}}
	if b.decidedConfirmed.IsKnown {
		s.FreshMS = (now - b.decidedConfirmed.At).Milliseconds()
	}
	if trouble != nil {
		s.Disk = trouble.Error()
	}
	for _, h := range sortedByName(b.replicas) {
		m, answered := reports[h.ID]
		_, votes := decided.Voter(h.ID)
		self := h.Name == b.self.Name
		s.Replicas = append(s.Replicas, api.ReplicaView{Name: h.Name, Zone: h.Zone, Ctl: h.Ctl, Voter: h.Voter,
			Connected: self || len(b.links[h.Name]) > 0, Answered: answered || self, Eligible: votes, Held: apiVersion(newestConfig(m))})
	}
	b.addProxyViews(s, now)
	for _, z := range decided.Orders {
		name := z.Zone
		if _, is := z.Server(); is {
			continue // Explain tells of it
		}
		if node, is := z.Node(); is {
			s.Nodes = append(s.Nodes, api.NodeOrder{Node: node, Rests: z.Drain, Count: z.Count, By: z.By, Confirmed: true})
		} else {
			s.Zones = append(s.Zones, api.ZoneOrder{Zone: name, Drained: z.Drain, Count: z.Count, By: z.By, Confirmed: true})
		}
	}
	if l := decided.Lock; l.Token != "" {
		left := max(0, l.For-(now-b.observedLock.firstSeen))
		s.Lock = api.LockView{Who: l.Who, Since: time.Unix(0, l.Since).UTC(), LeftMS: left.Milliseconds()}
	}
	d := b.duty.Known()
	s.Duties = []api.Duty{{Name: listLeaseName, Holder: d.Holder.Name, Next: d.Next.Name, Epoch: d.Term.Epoch, Step: d.Term.Step, Rank: b.duty.Rank(b.leaseView())}}
	s.List = b.listView(now)
	return s
}

// newestConfig is the configuration that a replica has decided, or accepted above that.
func newestConfig(m quorum.Report) state.ConfigID {
	if m.Value != nil && m.Value.Config.Above(m.Config) {
		return m.Value.Config
	}
	return m.Config
}

// configIDOf names p, which may be nil.
func configIDOf(p *peerlink.Configuration) state.ConfigID {
	if p == nil {
		return state.ConfigID{}
	}
	return state.ConfigID{Gen: p.Gen, Digest: p.Digest}
}

func apiVersion(h state.ConfigID) api.Version {
	if h.Gen == 0 {
		return api.Version{}
	}
	return api.Version{Gen: fmt.Sprintf("r%d", h.Gen), Digest: hex.EncodeToString(h.Digest[:])}
}

// addProxyViews tells of the proxies; the mutex is held.
func (b *Replica) addProxyViews(s *api.Status, now time.Duration) {
	agents := map[string]*agentConn{}
	for h := range b.agents {
		if old := agents[h.name]; old == nil || old.incarnation < h.incarnation {
			agents[h.name] = h
		}
	}
	names := b.proxies.names()
	s.LeftOut = max(0, len(names)-api.MostProxies)
	for _, n := range names[:len(names)-s.LeftOut] {
		g := b.proxies.proxies[n]
		v := api.ProxyView{Name: n, Zone: g.hello.Zone, Region: g.hello.Region, Front: g.hello.Front, Alive: g.isAlive(now),
			HeardMS: (now - g.lastHeard).Milliseconds()}
		v.Ready = v.Alive && g.ready && g.leftAt == 0
		v.Life, v.ToRest, v.Rests = g.hello.Life, b.proxies.resting[n], v.Alive && g.readyButResting && g.leftAt == 0
		if f := g.figures; f != nil && v.Alive && now-g.figuresAt < maxFiguresAge {
			v.Figures = &api.Figures{AgeMS: (now - g.figuresAt).Milliseconds(), Open: f.Open, Clients: f.Clients, SpanMS: f.Span.Milliseconds(),
				Served: f.Served, Refused: f.Refused, Failed: f.Failed}
		}
		if h := agents[n]; h != nil {
			v.Linked, v.Behind = true, h.lastSentNumber-h.lastAckedNumber
			if h.versionInForce > 0 {
				v.Gen = fmt.Sprintf("r%d", h.versionInForce)
			}
		}
		v.Lags = lagReason(v, g, s.Confirmed.Gen)
		s.Proxies = append(s.Proxies, v)
	}
	s.Versions = routeconfig.VersionsAt(slices.Values(s.Proxies))
	for _, n := range names {
		if b.proxies.proxies[n].isCounted(now) {
			s.Shares++
		}
	}
}

// lagReason says why a proxy may serve something old.
func lagReason(v api.ProxyView, g *proxy, confirmed string) string {
	switch {
	case g.leftAt > 0:
		return "it leaves"
	case !v.Linked:
		return "not connected to this replica"
	case !v.Alive:
		return fmt.Sprintf("silent for %d ms", v.HeardMS)
	case v.Gen != confirmed:
		return fmt.Sprintf("%s in force, %d changes not acknowledged", orDefault(v.Gen, "nothing"), v.Behind)
	case v.Behind > 0:
		return fmt.Sprintf("%d changes not acknowledged", v.Behind)
	}
	return ""
}

func orDefault(text, none string) string {
	if text == "" {
		return none
	}
	return text
}

// listView tells of the list; the mutex is held.
func (b *Replica) listView(now time.Duration) api.ListView {
	l := api.ListView{Stamp: b.listStamp, HeardMS: -1, Servers: []api.ServersIn{}}
	if b.serverList == nil {
		return l
	}
	l.By, l.HeardMS = b.serverList.By, (now - b.newestReading.learnedAt).Milliseconds()
	in := map[string]*api.ServersIn{}
	for _, s := range b.serverList.List {
		z := in[s.Zone]
		if z == nil {
			z = &api.ServersIn{Zone: s.Zone}
			in[s.Zone] = z
		}
		switch {
		case s.Draining:
			z.Draining++
		case s.WarmLeft > time.Duration(b.world.Now().UnixNano()-b.serverList.Stamp):
			z.Cold++
		default:
			z.Ready++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in)) {
		l.Servers = append(l.Servers, *in[name])
	}
	return l
}
