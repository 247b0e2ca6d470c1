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

// serverList is discovery's form of the list of app servers.
type serverList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// target is one line of it.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`

	maxIdleConns int // connections to it that may stand idle here; 0: any number
}

var targetStates = map[string]policy.State{"SERVING": policy.Running, "DRAINING": policy.Draining,
	"DELETED": policy.Removed}

// serverID names an app server to the module and in messages between edge
// nodes, so it must come out alike at all of them: it rests on the uid alone.
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

// validate refuses a list that can't be meant.
func (l *serverList) validate() error {
	for _, t := range l.Targets {
		if _, ok := targetStates[t.State]; !ok {
			return fmt.Errorf("server %q: unknown state %q", t.UID, t.State)
		}
		if t.UID == "" {
			return fmt.Errorf("a server without uid at %q", t.Endpoint)
		}
		if t.State != "DELETED" {
			if _, err := netip.ParseAddrPort(t.Endpoint); err != nil {
				return fmt.Errorf("server %q: %w", t.UID, err)
			}
		}
	}
	return nil
}

// policyServer turns a line into the module's form. The loop's clock counts from the
// Unix epoch, so a start time needs no shift.
func (t *target) policyServer() policy.Server {
	return policy.Server{ID: serverID(t.UID), Zone: wire.Word(t.Zone), Cell: t.Cell, State: targetStates[t.State],
		HasStartTime: t.BootMS > 0, StartTime: time.Duration(t.BootMS * float64(time.Millisecond)), Weight: t.Weight}
}

const (
	watchTimeout      = 3 * time.Second // a watch is answered by then, with or without news
	watchTimeoutSlack = time.Second
	minWatchInterval  = 50 * time.Millisecond // a watch goes on if the next call comes within 200 ms
	maxListBytes      = 4 << 20
	discoveryTimeout  = 2 * time.Second
)

// discovery follows the list of app servers.
type discovery struct {
	clock      world.Clock
	onList     func(*serverList, policy.ServerListKind)
	http       http.Client
	cachedList *serverList // the list held at the start; nil: none is
	pacing     callPacing  // run's

	mu          sync.Mutex
	addr        string
	cancelWatch context.CancelFunc // ends the watch at the address before
}

// newDiscovery returns what follows the list at the address, from a known list on.
func newDiscovery(w world.World, addr string, known *serverList, tell func(*serverList, policy.ServerListKind)) *discovery {
	return &discovery{clock: w, addr: addr, cachedList: known, onList: tell, cancelWatch: func() {}, http: http.Client{
		Transport:     &http.Transport{DisableCompression: true, MaxIdleConns: 1, IdleConnTimeout: watchTimeout, DialContext: w.Dial},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// moveTo ends the open watch and begins anew, with the whole list, at another
// address.
func (d *discovery) moveTo(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addr = addr
	d.cancelWatch()
}

// run follows the list, at whatever address is in force, until ctx ends.
func (d *discovery) run(ctx context.Context) {
	held := false // from an address before
	for known := d.cachedList; ctx.Err() == nil; known = nil {
		at, moved := context.WithCancel(ctx)
		d.mu.Lock()
		addr := d.addr
		d.cancelWatch = moved
		d.mu.Unlock()
		if held {
			world.Sleep(at, d.clock, d.pacing.moveDelay()) // all are moved at once
		}
		held = d.follow(at, addr, known) || held
		moved()
		d.http.CloseIdleConnections()
	}
}

// follow watches the list, from a known one on or else from the whole list, which
// it fetches, until ctx ends, and tells whether it has one then. What can't be had is
// asked for again; the list held stays in force meanwhile.
func (d *discovery) follow(ctx context.Context, addr string, known *serverList) (have bool) {
	rev, down := int64(0), false
	if known != nil && d.pacing.spread > 0 {
		// Many edge nodes may start at once, each with a list that does for now.
		rev, have = known.Rev, true
		world.Sleep(ctx, d.clock, d.pacing.firstDelay())
	}
	for ctx.Err() == nil {
		query, limit := "", discoveryTimeout
		if have {
			query = fmt.Sprintf("?since=%d&timeout_ms=%d", rev, watchTimeout.Milliseconds())
			limit = watchTimeout + watchTimeoutSlack
		}
		if d.pacing.spread > 0 {
			limit += discoveryTimeout // the call waits in turn first
		}
		began := d.clock.Now()
		l, err := d.get(ctx, "http://"+addr+"/v1/servers"+query, limit)
		if ctx.Err() != nil {
			return have
		}
		if err != nil {
			if !down {
				slog.Warn("discovery does not answer; the list held stays in force", "err", err)
			}
			down = true
			d.onList(nil, policy.WatchFailed)
			world.Sleep(ctx, d.clock, d.pacing.retryDelay())
			continue
		}
		if down {
			slog.Info("discovery answers again", "rev", l.Rev)
		}
		down = false
		d.pacing.resetBackoff()
		if have && l.Rev == rev && d.clock.Now().Sub(began) < minWatchInterval {
			world.Sleep(ctx, d.clock, minWatchInterval) // it does not wait as it should: don't ask without pause
		}
		rev = l.Rev
		switch {
		case l.All || !have:
			d.onList(l, policy.CompleteList)
		case len(l.Targets) > 0:
			d.onList(l, policy.ChangedServers)
		}
		have = true
	}
	return have
}

func (d *discovery) get(ctx context.Context, url string, limit time.Duration) (*serverList, error) {
	ctx, end := world.WithTimeout(ctx, d.clock, limit)
	defer end()
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
		return nil, fmt.Errorf("a list of over %d bytes", maxListBytes)
	}
	var l serverList
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	return &l, l.validate()
}
