package node

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/wire"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// serverList is the server list in the format of the discovery service.
type serverList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// target is one server of a serverList.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`

	maxIdleConns int // idle connections to it that this proxy may keep; 0: no limit
}

var targetStates = map[string]policy.State{"SERVING": policy.Running, "DRAINING": policy.Draining,
	"DELETED": policy.Removed}

// serverID returns the id of a server for the policy package and in messages between proxies. All proxies must get the same
// id, so it depends on the uid alone.
func serverID(uid string) policy.ServerID {
	if hex, ok := strings.CutPrefix(uid, "s-"); ok && len(hex) == 8 {
		if v, err := strconv.ParseUint(hex, 16, 32); err == nil {
			return policy.ServerID(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	return policy.ServerID(h.Sum32())
}

// validate returns an error if a server has an unknown state, no uid or an invalid address.
func (l *serverList) validate() error {
	for _, t := range l.Targets {
		if _, ok := targetStates[t.State]; !ok {
			return fmt.Errorf("server %q: unknown state %q", t.UID, t.State)
		}
		if t.UID == "" {
			return fmt.Errorf("server at %q has no uid", t.Endpoint)
		}
		if t.State != "DELETED" {
			if _, err := netip.ParseAddrPort(t.Endpoint); err != nil {
				return fmt.Errorf("server %q: %w", t.UID, err)
			}
		}
	}
	return nil
}

// policyServer converts a target for the policy package. The loop's clock counts from the Unix epoch, as the start time
// does.
func (t *target) policyServer() policy.Server {
	return policy.Server{ID: serverID(t.UID), Zone: wire.PairValue(t.Zone), Cell: t.Cell, State: targetStates[t.State],
		HasStartTime: t.BootMS > 0, StartTime: time.Duration(t.BootMS * float64(time.Millisecond)), Weight: t.Weight}
}

const (
	watchTimeout      = 3 * time.Second // discovery answers a watch by then, even if nothing changed
	watchTimeoutSlack = time.Second
	minWatchInterval  = 50 * time.Millisecond // discovery keeps a watch if the next call comes within 200 ms
	maxListBytes      = 4 << 20
	discoveryTimeout  = 2 * time.Second
)

// discovery follows the server list of the discovery service.
type discovery struct {
	clock      world.Clock
	onList     func(*serverList, policy.ServerListKind)
	http       http.Client
	cachedList *serverList // the list known at the start; nil: none
	pacing     callPacing  // used only by run's goroutine

	mu          sync.Mutex
	addr        string
	cancelWatch context.CancelFunc // ends the open watch
}

// newDiscovery returns a discovery that follows the list at the address, starting from a cached list if there is one.
func newDiscovery(w world.World, addr string, cachedList *serverList, onList func(*serverList, policy.ServerListKind)) *discovery {
	return &discovery{clock: w, addr: addr, cachedList: cachedList, onList: onList, cancelWatch: func() {}, http: http.Client{
		Transport:     &http.Transport{DisableCompression: true, MaxIdleConns: 1, IdleConnTimeout: watchTimeout, DialContext: w.Dial},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// moveTo ends the open watch and fetches the complete list from another address.
func (d *discovery) moveTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = addr
	d.cancelWatch()
}

// run follows the list at the current address until ctx ends.
func (d *discovery) run(ctx context.Context) {
	hasList := false // a list from a previous address
	for known := d.cachedList; ctx.Err() == nil; known = nil {
		watchCtx, cancel := context.WithCancel(ctx)
		d.mu.Lock()
		addr := d.addr
		d.cancelWatch = cancel
		d.mu.Unlock()
		if hasList {
			world.Sleep(watchCtx, d.clock, d.pacing.moveDelay()) // all proxies change the address at the same time
		}
		hasList = d.follow(watchCtx, addr, known) || hasList
		cancel()
		d.http.CloseIdleConnections()
	}
}

// follow watches the list until ctx ends and reports whether it has a list then. It starts from the known list or, if that
// is nil, fetches the complete list. It repeats failed calls; until one succeeds the current list stays in use.
func (d *discovery) follow(ctx context.Context, addr string, known *serverList) (hasList bool) {
	rev, failing := int64(0), false
	if known != nil && d.pacing.spread > 0 {
		// Many proxies may start at the same time, each with a usable list.
		rev, hasList = known.Rev, true
		world.Sleep(ctx, d.clock, d.pacing.firstDelay())
	}
	for ctx.Err() == nil {
		query, limit := "", discoveryTimeout
		if hasList {
			query = fmt.Sprintf("?since=%d&timeout_ms=%d", rev, watchTimeout.Milliseconds())
			limit = watchTimeout + watchTimeoutSlack
		}
		if d.pacing.spread > 0 {
			limit += discoveryTimeout // the call waits in a queue at the service first
		}
		began := d.clock.Now()
		list, err := d.get(ctx, "http://"+addr+"/v1/servers"+query, limit)
		if ctx.Err() != nil {
			return hasList
		}
		if err != nil {
			if !failing {
				slog.Warn("discovery does not answer; keeping the current server list", "err", err)
			}
			failing = true
			d.onList(nil, policy.WatchFailed)
			world.Sleep(ctx, d.clock, d.pacing.retryDelay())
			continue
		}
		if failing {
			slog.Info("discovery answers again", "rev", list.Rev)
		}
		failing = false
		d.pacing.resetBackoff()
		if hasList && list.Rev == rev && d.clock.Now().Sub(began) < minWatchInterval {
			world.Sleep(ctx, d.clock, minWatchInterval) // discovery answered at once without a change: don't call in a busy loop
		}
		rev = list.Rev
		switch {
		case list.All || !hasList:
			d.onList(list, policy.CompleteList)
		case len(list.Targets) > 0:
			d.onList(list, policy.ChangedServers)
		}
		hasList = true
	}
	return hasList
}

// get fetches a server list or its changes, and validates it.
func (d *discovery) get(ctx context.Context, url string, limit time.Duration) (*serverList, error) {
	ctx, cancel := world.WithTimeout(ctx, d.clock, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxListBytes {
		return nil, fmt.Errorf("server list exceeds %d bytes", maxListBytes)
	}
	var list serverList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, err
	}
	return &list, list.validate()
}
