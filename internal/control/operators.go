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
	maxOperatorCalls = 4                       // concurrent read calls of operators
	maxSubjectBytes  = 64                      // of the version, zone, proxy or server that an order in the history is about
	figuresWantedFor = 10 * time.Second        // for which proxies send their figures after a status call
	maxFiguresAge    = 3500 * time.Millisecond // older ones aren't shown
)

// operatorState holds what only the operators' read calls need. Proxies send figures and counts only after such calls.
type operatorState struct {
	logRing                *logring.Ring
	orders                 []api.Order     // a ring buffer
	orderCount             uint64          // orders recorded so far, which is also the next slot modulo the ring's size
	persistOrder           func(api.Order) // writes an order down; nil: orders are kept in memory only
	figuresWantedUntil     time.Duration   // until when proxies are to send their figures
	routeCountsWantedUntil time.Duration   // until when proxies are to send their requests by route
	routeCountsWantedSince time.Duration   // start of the current uninterrupted period in which they are to do so
}

var errBusy = errors.New("too many operator calls at once")

// SetLogRing lets operators read the ring's log lines; it must be called before Run.
func (b *Replica) SetLogRing(ring *logring.Ring) { b.ops.logRing = ring }

// addOperatorRoutes adds the calls by which operators read the replica's state.
func (b *Replica) addOperatorRoutes(mux *http.ServeMux) {
	slots := make(chan struct{}, maxOperatorCalls)
	add := func(path string, read func(r *http.Request) (any, error)) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				writeError(w, http.StatusServiceUnavailable, errBusy)
				return
			}
			result, err := read(r)
			if err != nil {
				writeError(w, http.StatusBadRequest, err)
				return
			}
			w.Header().Set("Content-Type", jsonContentType)
			if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
				_ = json.NewEncoder(w).Encode(result)
				return
			}
			w.Header().Set("Content-Encoding", "gzip") // uncompressed, a status of a hundred proxies every second takes much of a slow link
			zipped := gzip.NewWriter(w)
			_ = json.NewEncoder(zipped).Encode(result)
			_ = zipped.Close()
		})
	}
	add(api.OpsStatus, func(r *http.Request) (any, error) { return b.Status(r.Context()), nil })
	add(api.ServerExplain, func(r *http.Request) (any, error) {
		id := strings.TrimPrefix(r.URL.Path, api.ServerExplain)
		if !nodeNamePattern.MatchString(id) {
			return nil, errors.Errorf("%q is not a server ID", id)
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
				return nil, errors.Errorf("%s: %q is not a number", api.LogFrom, text)
			}
		}
		return b.Log(from), nil
	})
}

// runOrder runs an order and records its outcome in the history.
func (b *Replica) runOrder(r *http.Request, kind, what string, order func(ctx context.Context) error) error {
	began, at := b.now(), b.world.Now()
	err := order(withLockToken(r.Context(), r.URL.Query().Get(api.LockToken)))
	record := api.Order{At: at.UTC(), Kind: kind, What: what[:min(len(what), maxSubjectBytes)], From: r.RemoteAddr, TookMS: (b.now() - began).Milliseconds(), End: "acknowledged"}
	if err != nil {
		if record.End, record.Why = "unclear", err.Error(); httpStatus(err) != http.StatusServiceUnavailable {
			record.End = "refused"
		}
		record.Why = record.Why[:min(len(record.Why), api.MostLine)]
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordOrder(record)
	return err
}

// recordOrder adds an order or a verdict to the history and has it written down; the mutex is held.
func (b *Replica) recordOrder(order api.Order) {
	if b.ops.persistOrder != nil {
		b.ops.persistOrder(order)
	}
	if len(b.ops.orders) < api.MostOrders {
		b.ops.orders = append(b.ops.orders, order)
	} else {
		b.ops.orders[b.ops.orderCount%api.MostOrders] = order
	}
	b.ops.orderCount++
}

// configurationGen returns the version that a configuration's text claims, for the history only.
func configurationGen(body []byte) string {
	var header struct {
		Gen string `json:"gen"`
	}
	_ = json.Unmarshal(body, &header)
	return header.Gen
}

// SetOrderPersister sets the function that writes orders down; it must be called before Run.
func (b *Replica) SetOrderPersister(note func(api.Order)) { b.ops.persistOrder = note }

// RestoreOrders puts the orders of earlier incarnations before those of this one.
func (b *Replica) RestoreOrders(orders []api.Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Concat(orders, b.ops.oldestFirst())
	b.ops.orders = all[max(0, len(all)-api.MostOrders):]
	b.ops.orderCount = uint64(len(b.ops.orders))
}

// oldestFirst returns the ring's orders, oldest first.
func (o *operatorState) oldestFirst() []api.Order {
	if len(o.orders) == 0 {
		return nil
	}
	cut := o.orderCount % uint64(len(o.orders))
	return slices.Concat(o.orders[cut:], o.orders[:cut])
}

// History returns the orders that this replica was given, including those of earlier incarnations that were written down.
func (b *Replica) History() *api.History {
	b.mu.Lock()
	defer b.mu.Unlock()
	history := &api.History{Replica: b.self.Name, Since: b.startedAt.UTC(), Orders: []api.Order{}}
	if n := uint64(len(b.ops.orders)); n > 0 {
		history.Lost, history.Orders = b.ops.orderCount-n, b.ops.oldestFirst()
	}
	return history
}

// Log returns the log ring's lines from a line number on.
func (b *Replica) Log(from uint64) *api.Log {
	log := &api.Log{Replica: b.self.Name, At: b.world.Now().UTC(), Lines: []api.LogLine{}}
	if b.ops.logRing == nil {
		return log
	}
	lines, next := b.ops.logRing.Lines(from, api.MostLines, api.MostLine)
	log.Next = next
	for _, line := range lines {
		log.Lines = append(log.Lines, api.LogLine{No: line.No, At: line.At.UTC(), Text: line.Text})
	}
	return log
}

// Status asks the other replicas for their reports and returns them with everything else that this replica knows.
func (b *Replica) Status(ctx context.Context) *api.Status {
	roundCtx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	reports := b.requestReports(roundCtx, func() bool { return false })
	cancel()
	trouble := b.store.LastError()
	b.mu.Lock()
	defer b.mu.Unlock()
	now, decided := b.now(), b.contents.Record.Decided
	b.ops.figuresWantedUntil = now + figuresWantedFor
	status := &api.Status{Replica: b.self.Name, Zone: b.self.Zone, Region: b.self.Region, At: b.world.Now().UTC(), UpMS: now.Milliseconds(),
		Voter: b.self.Voter, Eligible: b.isVoter(), Leaving: b.leaving,
		Voters: len(decided.Voters), Majority: quorum.Majority(len(decided.Voters)),
		Held: apiVersion(newestConfig(b.contents.Record.Report())), Confirmed: apiVersion(decided.Config), FreshMS: -1,
		Replicas: []api.ReplicaView{}, Proxies: []api.ProxyView{}, Zones: []api.ZoneOrder{}, Nodes: []api.NodeOrder{}}
	if b.decidedConfirmed.IsKnown {
		status.FreshMS = (now - b.decidedConfirmed.At).Milliseconds()
	}
	if trouble != nil {
		status.Disk = trouble.Error()
	}
	for _, replica := range sortedByName(b.replicas) {
		report, answered := reports[replica.ID]
		_, votes := decided.Voter(replica.ID)
		self := replica.Name == b.self.Name
		status.Replicas = append(status.Replicas, api.ReplicaView{Name: replica.Name, Zone: replica.Zone, Ctl: replica.Ctl, Voter: replica.Voter,
			Connected: self || len(b.links[replica.Name]) > 0, Answered: answered || self, Eligible: votes, Held: apiVersion(newestConfig(report))})
	}
	b.addProxyViews(status, now)
	for _, order := range decided.Orders {
		name := order.Zone
		if _, ok := order.Server(); ok {
			continue // Explain shows it
		}
		if node, ok := order.Node(); ok {
			status.Nodes = append(status.Nodes, api.NodeOrder{Node: node, Rests: order.Drain, Count: order.Count, By: order.By, Confirmed: true})
		} else {
			status.Zones = append(status.Zones, api.ZoneOrder{Zone: name, Drained: order.Drain, Count: order.Count, By: order.By, Confirmed: true})
		}
	}
	if lock := decided.Lock; lock.Token != "" {
		left := max(0, lock.For-(now-b.observedLock.firstSeen))
		status.Lock = api.LockView{Who: lock.Who, Since: time.Unix(0, lock.Since).UTC(), LeftMS: left.Milliseconds()}
	}
	known := b.listLease.Known()
	status.Duties = []api.Duty{{Name: listLeaseName, Holder: known.Holder.Name, Next: known.Next.Name, Epoch: known.Term.Epoch, Step: known.Term.Step, Rank: b.listLease.Rank(b.leaseView())}}
	status.List = b.serverListView(now)
	return status
}

// newestConfig returns the configuration that a replica has accepted if it is newer than the decided one, otherwise the
// decided one.
func newestConfig(report quorum.Report) state.ConfigID {
	if report.Value != nil && report.Value.Config.Above(report.Config) {
		return report.Value.Config
	}
	return report.Config
}

// configIDOf returns the ID of a configuration, which may be nil.
func configIDOf(configuration *peerlink.Configuration) state.ConfigID {
	if configuration == nil {
		return state.ConfigID{}
	}
	return state.ConfigID{Gen: configuration.Gen, Digest: configuration.Digest}
}

// apiVersion returns a configuration's ID as operators see it; the zero version for none.
func apiVersion(id state.ConfigID) api.Version {
	if id.Gen == 0 {
		return api.Version{}
	}
	return api.Version{Gen: fmt.Sprintf("r%d", id.Gen), Digest: hex.EncodeToString(id.Digest[:])}
}

// addProxyViews adds the proxies to a status; the mutex is held.
func (b *Replica) addProxyViews(status *api.Status, now time.Duration) {
	agents := map[string]*agentConn{}
	for agent := range b.agents {
		if other := agents[agent.name]; other == nil || other.incarnation < agent.incarnation {
			agents[agent.name] = agent
		}
	}
	names := b.proxies.names()
	status.LeftOut = max(0, len(names)-api.MostProxies)
	for _, name := range names[:len(names)-status.LeftOut] {
		known := b.proxies.proxies[name]
		view := api.ProxyView{Name: name, Zone: known.hello.Zone, Region: known.hello.Region, Front: known.hello.Front, Alive: known.isAlive(now),
			HeardMS: (now - known.lastHeard).Milliseconds()}
		view.Ready = view.Alive && known.ready && known.leftAt == 0
		view.Life, view.ToRest, view.Rests = known.hello.Life, b.proxies.resting[name], view.Alive && known.readyButResting && known.leftAt == 0
		if figures := known.figures; figures != nil && view.Alive && now-known.figuresAt < maxFiguresAge {
			view.Figures = &api.Figures{AgeMS: (now - known.figuresAt).Milliseconds(), Open: figures.Open, Clients: figures.Clients, SpanMS: figures.Span.Milliseconds(),
				Served: figures.Served, Refused: figures.Refused, Failed: figures.Failed}
		}
		if agent := agents[name]; agent != nil {
			view.Linked, view.Behind = true, agent.lastSentNumber-agent.lastAckedNumber
			if agent.versionInForce > 0 {
				view.Gen = fmt.Sprintf("r%d", agent.versionInForce)
			}
		}
		view.Lags = lagReason(view, known, status.Confirmed.Gen)
		status.Proxies = append(status.Proxies, view)
	}
	status.Versions = routeconfig.VersionsAt(slices.Values(status.Proxies))
	for _, name := range names {
		if b.proxies.proxies[name].hasQuotaShare(now) {
			status.Shares++
		}
	}
}

// lagReason says why a proxy may serve an old configuration; empty: it doesn't.
func lagReason(view api.ProxyView, proxy *proxy, confirmed string) string {
	switch {
	case proxy.leftAt > 0:
		return "it leaves"
	case !view.Linked:
		return "not connected to this replica"
	case !view.Alive:
		return fmt.Sprintf("silent for %d ms", view.HeardMS)
	case view.Gen != confirmed:
		return fmt.Sprintf("%s in force, %d changes not acknowledged", orDefault(view.Gen, "nothing"), view.Behind)
	case view.Behind > 0:
		return fmt.Sprintf("%d changes not acknowledged", view.Behind)
	}
	return ""
}

// orDefault returns text, or other if text is empty.
func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// serverListView summarizes the server list for a status; the mutex is held.
func (b *Replica) serverListView(now time.Duration) api.ListView {
	view := api.ListView{Stamp: b.listStamp, HeardMS: -1, Servers: []api.ServersIn{}}
	if b.serverList == nil {
		return view
	}
	view.By, view.HeardMS = b.serverList.By, (now - b.latestListRead.learnedAt).Milliseconds()
	zones := map[string]*api.ServersIn{}
	for _, server := range b.serverList.List {
		zone := zones[server.Zone]
		if zone == nil {
			zone = &api.ServersIn{Zone: server.Zone}
			zones[server.Zone] = zone
		}
		switch {
		case server.Draining:
			zone.Draining++
		case server.WarmLeft > time.Duration(b.world.Now().UnixNano()-b.serverList.Stamp):
			zone.Cold++
		default:
			zone.Ready++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		view.Servers = append(view.Servers, *zones[name])
	}
	return view
}
