package control

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/dataplane/homing"
)

// Bounds of calls.
const (
	maxBodyBytes        = 7 << 20 // a frame has to hold it
	maxLockRequestBytes = 4 << 10
	httpHeaderTimeout   = 3 * time.Second
	httpCallTimeout     = 10 * time.Second
	httpIdleTimeout     = 30 * time.Second
	maxLookupTTL        = time.Second // a client may use an answer of dir
	retryAfterSeconds   = "0.2"
	jsonContentType     = "application/json"
	httpShutdownTimeout = 1500 * time.Millisecond // for calls in flight at the end
)

// serveHTTP serves ctl and dir; what it returns ends that in order.
func (b *Replica) serveHTTP(ctx context.Context) (func(), error) {
	var all []*http.Server
	stop := func() {
		ctx, cancel := b.withTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		for _, s := range all {
			_ = s.Shutdown(ctx)
			_ = s.Close()
		}
	}
	for addr, h := range map[string]http.Handler{b.self.Ctl: b.operatorHandler(), b.self.Dir: b.directoryHandler()} {
		if addr == "" {
			continue
		}
		ln, err := b.world.Listen(ctx, "tcp", addr)
		if err != nil {
			stop()
			return nil, errors.Wrap(err, "replica")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: httpHeaderTimeout, ReadTimeout: httpCallTimeout, WriteTimeout: httpCallTimeout, IdleTimeout: httpIdleTimeout}
		all = append(all, s)
		b.jobs.Go(func() { _ = s.Serve(ln) })
	}
	return stop, nil
}

// operatorHandler is what the operator calls.
func (b *Replica) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+api.ConfigReplace, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			writeError(w, http.StatusRequestEntityTooLarge, err)
		case err != nil:
			writeError(w, http.StatusServiceUnavailable, err)
		default:
			var done ReplaceResult
			err := b.runOrder(r, api.OrderConfig, configurationGen(body), func(ctx context.Context) (err error) {
				done, err = b.Replace(ctx, body)
				return err
			})
			writeReplaceResult(w, done, err)
		}
	})
	m.HandleFunc("GET "+api.ConfigShow, func(w http.ResponseWriter, r *http.Request) {
		p, err := b.CurrentConfiguration(r.Context())
		if err != nil {
			writeOrderResult(w, err)
			return
		}
		w.Header().Set("Content-Type", jsonContentType)
		_, _ = w.Write(p.Body)
	})
	for path, drain := range map[string]bool{api.DrainBegin: true, api.DrainFinish: false} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			zone := strings.TrimPrefix(r.URL.Path, path)
			writeOrderResult(w, b.runOrder(r, path[3:len(path)-1], zone, func(ctx context.Context) error { return b.Drain(ctx, zone, drain) }))
		})
	}
	b.addProxyRoutes(m)
	b.addServerRoutes(m)
	b.addOperatorRoutes(m)
	return m
}

// addProxyRoutes adds the orders about proxies, and the lock of those who give many.
func (b *Replica) addProxyRoutes(m *http.ServeMux) {
	m.HandleFunc("POST "+api.NodeRest, func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, api.NodeRest)
		writeOrderResult(w, b.runOrder(r, api.OrderRest, name, func(ctx context.Context) error {
			least, err := parseMinAwake(r.URL.Query())
			if err != nil {
				return InvalidError{err}
			}
			return b.Rest(ctx, name, least)
		}))
	})
	m.HandleFunc("POST "+api.NodeWake, func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, api.NodeWake)
		writeOrderResult(w, b.runOrder(r, api.OrderWake, name, func(ctx context.Context) error { return b.Wake(ctx, name) }))
	})
	for path, take := range map[string]bool{api.LockTake: true, api.LockDrop: false} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var ask api.LockAsk
			err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLockRequestBytes)).Decode(&ask)
			if err != nil || ask.Token == "" || take && (ask.Who == "" || ask.ForMS <= 0) {
				writeError(w, http.StatusBadRequest, errors.New("not the form of a lock"))
				return
			}
			if take {
				want := state.Lock{Token: ask.Token, Who: ask.Who, Since: ask.Since.UnixNano(), For: time.Duration(ask.ForMS) * time.Millisecond}
				writeOrderResult(w, b.AcquireLock(r.Context(), want))
				return
			}
			writeOrderResult(w, b.ReleaseLock(r.Context(), ask.Token))
		})
	}
}

// addServerRoutes adds the order about servers.
func (b *Replica) addServerRoutes(m *http.ServeMux) {
	m.HandleFunc("POST "+api.ServerJudge, func(w http.ResponseWriter, r *http.Request) {
		id, q := strings.TrimPrefix(r.URL.Path, api.ServerJudge), r.URL.Query()
		writeOrderResult(w, b.runOrder(r, api.OrderJudge, id, func(ctx context.Context) error {
			holds := api.JudgeUsual
			if text := q.Get(api.JudgeFor); text != "" {
				s, err := strconv.ParseFloat(text, 64)
				if err != nil || !(s > 0 && s <= api.JudgeMost.Seconds()) {
					return InvalidError{errors.Errorf("%s: %q is no number of seconds up to %.0f", api.JudgeFor, text, api.JudgeMost.Seconds())}
				}
				holds = time.Duration(s * float64(time.Second))
			}
			return b.OrderVerdict(ctx, id, q.Get(api.JudgeWord), holds)
		}))
	})
}

// parseMinAwake reads what has to stay awake.
func parseMinAwake(q url.Values) (MinAwake, error) {
	least := MinAwake{Zone: api.LeastAwake, All: api.LeastAwake, Force: q.Get(api.RestForce) == "true"}
	for name, to := range map[string]*float64{api.RestZone: &least.Zone, api.RestAll: &least.All} {
		text := q.Get(name)
		if text == "" {
			continue
		}
		part, err := strconv.ParseFloat(text, 64)
		if err != nil || !(part >= 0 && part <= 1) {
			return least, errors.Errorf("%s: %q is no part from 0 to 1", name, text)
		}
		*to = part
	}
	return least, nil
}

// writeOrderResult answers an order.
func writeOrderResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, httpStatus(err), err)
		return
	}
	w.Header().Set("Content-Type", jsonContentType)
	_, _ = io.WriteString(w, "{}\n")
}

// writeReplaceResult answers a configuration: where one above it is in force, that is said.
func writeReplaceResult(w http.ResponseWriter, done ReplaceResult, err error) {
	if err != nil {
		writeOrderResult(w, err)
		return
	}
	w.Header().Set("Content-Type", jsonContentType)
	_ = json.NewEncoder(w).Encode(api.Replaced{InForce: done.InForce, Held: apiVersion(done.Held)})
}

// httpStatus is the answer to an order that did not go through; 503: it may be in force or may not.
func httpStatus(err error) int {
	var invalid InvalidError
	var tight TooFewAwakeError
	var taken LockTakenError
	var conflict ConflictError
	switch {
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	case errors.Is(err, ErrUnknownZone), errors.Is(err, ErrUnknownProxy), errors.Is(err, ErrUnknownServer):
		return http.StatusNotFound
	case errors.As(err, &tight), errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &taken):
		return http.StatusLocked
	}
	return http.StatusServiceUnavailable
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", jsonContentType)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}

// directoryHandler is what clients ask.
func (b *Replica) directoryHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+api.DirLookup, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		b.mu.Lock()
		regions := b.lookupRegions(q.Get(api.LookupName), q.Get(api.LookupRegion))
		fronts := b.proxies.frontAddresses(regions, q.Get(api.LookupName)+" "+q.Get(api.LookupZone), b.now())
		b.mu.Unlock()
		if len(fronts) == 0 {
			writeError(w, http.StatusServiceUnavailable, errors.New("no node is ready"))
			return
		}
		if len(fronts) > api.MostAddresses {
			rand.Shuffle(len(fronts), func(i, j int) { fronts[i], fronts[j] = fronts[j], fronts[i] })
			fronts = fronts[:api.MostAddresses]
		}
		w.Header().Set("Content-Type", jsonContentType)
		_ = json.NewEncoder(w).Encode(api.Lookup{AddrList: fronts, TTLS: min(maxLookupTTL, b.liveSettings.Load().Terms.Bounds.TTLMax).Seconds()})
	})
	return m
}

// lookupRegions are those in which clients of a host and a region are told proxies; the mutex is held.
func (b *Replica) lookupRegions(name, region string) []string {
	if b.parsedConfiguration == nil {
		return []string{region}
	}
	homes, bound, free := b.parsedConfiguration.HomesOf(name)
	if len(homes) == 0 || slices.Contains(homes, region) {
		return []string{region}
	}
	host, now := homing.Host(routeconfig.Bare(name)), b.now()
	if !b.hostRoutes.Home(host, bound, free, func() homing.Heads { return b.proxies.sumHostCounts(host, now) }, now) {
		return []string{region}
	}
	return homes // else every bound body would go from one region to the other
}
