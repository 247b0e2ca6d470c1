package node

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"yardcleat.example/yardcleat/internal/wire"
	"yardcleat.example/yardcleat/policy"
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

// check refuses a list that can't be meant.
func (l *serverList) check() error {
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

// server turns a line into the module's form. The loop's clock counts from the
// Unix epoch, so a start time needs no shift.
func (t *target) server() policy.Server {
	return policy.Server{ID: serverID(t.UID), Zone: wire.Word(t.Zone), Cell: t.Cell, State: targetStates[t.State],
		HasStart: t.BootMS > 0, Start: time.Duration(t.BootMS * float64(time.Millisecond)), Weight: t.Weight}
}

const (
	watchWait        = 3 * time.Second // a watch is answered by then, with or without news
	watchSlack       = time.Second
	watchPause       = 50 * time.Millisecond // a watch goes on if the next call comes within 200 ms
	leastBackoff     = 25 * time.Millisecond
	mostBackoff      = 400 * time.Millisecond
	mostListBytes    = 4 << 20
	discoveryTimeout = 2 * time.Second
)

// discovery follows the list of app servers.
type discovery struct {
	addr   string
	client fasthttp.Client
	tell   func(*serverList, policy.MembersKind)
}

// run fetches the whole list, then watches it, until ctx ends. What can't be
// had is asked for again soon; the list held stays in force meanwhile.
func (d *discovery) run(ctx context.Context) {
	d.client.MaxResponseBodySize = mostListBytes
	rev, have, backoff, down := int64(0), false, leastBackoff, false
	for ctx.Err() == nil {
		query, limit := "", discoveryTimeout
		if have {
			query = fmt.Sprintf("?since=%d&timeout_ms=%d", rev, watchWait.Milliseconds())
			limit = watchWait + watchSlack
		}
		began := time.Now()
		l, err := d.get("http://"+d.addr+"/v1/servers"+query, limit)
		if err != nil {
			if !down {
				slog.Warn("discovery does not answer; the list held stays in force", "err", err)
			}
			down = true
			d.tell(nil, policy.AskFailed)
			select {
			case <-ctx.Done():
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, mostBackoff)
			continue
		}
		if down {
			slog.Info("discovery answers again", "rev", l.Rev)
		}
		down, backoff = false, leastBackoff
		if have && l.Rev == rev && time.Since(began) < watchPause {
			time.Sleep(watchPause) // it does not wait as it should: don't ask without pause
		}
		rev = l.Rev
		switch {
		case l.All || !have:
			d.tell(l, policy.Whole)
		case len(l.Targets) > 0:
			d.tell(l, policy.Changes)
		}
		have = true
	}
}

func (d *discovery) get(url string, limit time.Duration) (*serverList, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := d.client.DoTimeout(req, resp, limit); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode())
	}
	var l serverList
	if err := json.Unmarshal(resp.Body(), &l); err != nil {
		return nil, err
	}
	return &l, l.check()
}
