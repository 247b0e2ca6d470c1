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

// Bounds of HTTP calls.
const (
	maxBodyBytes        = 7 << 20 // a frame between replicas has to hold it
	maxLockRequestBytes = 4 << 10
	httpHeaderTimeout   = 3 * time.Second
	httpCallTimeout     = 10 * time.Second
	httpIdleTimeout     = 30 * time.Second
	maxLookupTTL        = time.Second // for which a client may use the answer to a lookup
	retryAfterSeconds   = "0.2"
	jsonContentType     = "application/json"
	httpShutdownTimeout = 1500 * time.Millisecond // for calls in flight when the replica stops
)

// serveHTTP serves the operators' calls and the clients' lookups. It returns a function that shuts both servers down.
func (b *Replica) serveHTTP(ctx context.Context) (func(), error) {
	var servers []*http.Server
	stop := func() {
		ctx, cancel := b.withTimeout(context.Background(), httpShutdownTimeout)
		defer cancel()
		for _, server := range servers {
			_ = server.Shutdown(ctx)
			_ = server.Close()
		}
	}
	for addr, handler := range map[string]http.Handler{b.self.Ctl: b.operatorHandler(), b.self.Dir: b.directoryHandler()} {
		if addr == "" {
			continue
		}
		listener, err := b.world.Listen(ctx, "tcp", addr)
		if err != nil {
			stop()
			return nil, errors.Wrap(err, "replica")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: httpHeaderTimeout, ReadTimeout: httpCallTimeout, WriteTimeout: httpCallTimeout, IdleTimeout: httpIdleTimeout}
		servers = append(servers, server)
		b.jobs.Go(func() { _ = server.Serve(listener) })
	}
	return stop, nil
}

// operatorHandler serves the operators' calls.
func (b *Replica) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.ConfigReplace, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
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
	mux.HandleFunc("GET "+api.ConfigShow, func(w http.ResponseWriter, r *http.Request) {
		configuration, err := b.CurrentConfiguration(r.Context())
		if err != nil {
			writeOrderResult(w, err)
			return
		}
		w.Header().Set("Content-Type", jsonContentType)
		_, _ = w.Write(configuration.Body)
	})
	for path, drain := range map[string]bool{api.DrainBegin: true, api.DrainFinish: false} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			zone := strings.TrimPrefix(r.URL.Path, path)
			writeOrderResult(w, b.runOrder(r, path[3:len(path)-1], zone, func(ctx context.Context) error { return b.Drain(ctx, zone, drain) }))
		})
	}
	b.addProxyRoutes(mux)
	b.addServerRoutes(mux)
	b.addOperatorRoutes(mux)
	return mux
}

// addProxyRoutes adds the orders about proxies, and the lock for operators who give a series of orders.
func (b *Replica) addProxyRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+api.NodeRest, func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, api.NodeRest)
		writeOrderResult(w, b.runOrder(r, api.OrderRest, name, func(ctx context.Context) error {
			minAwake, err := parseMinAwake(r.URL.Query())
			if err != nil {
				return InvalidError{err}
			}
			return b.Rest(ctx, name, minAwake)
		}))
	})
	mux.HandleFunc("POST "+api.NodeWake, func(w http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, api.NodeWake)
		writeOrderResult(w, b.runOrder(r, api.OrderWake, name, func(ctx context.Context) error { return b.Wake(ctx, name) }))
	})
	for path, take := range map[string]bool{api.LockTake: true, api.LockDrop: false} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var request api.LockAsk
			err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLockRequestBytes)).Decode(&request)
			if err != nil || request.Token == "" || take && (request.Who == "" || request.ForMS <= 0) {
				writeError(w, http.StatusBadRequest, errors.New("lock request is malformed or lacks a token, a name or a duration"))
				return
			}
			if take {
				lock := state.Lock{Token: request.Token, Who: request.Who, Since: request.Since.UnixNano(), For: time.Duration(request.ForMS) * time.Millisecond}
				writeOrderResult(w, b.AcquireLock(r.Context(), lock))
				return
			}
			writeOrderResult(w, b.ReleaseLock(r.Context(), request.Token))
		})
	}
}

// addServerRoutes adds the order about servers.
func (b *Replica) addServerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+api.ServerJudge, func(w http.ResponseWriter, r *http.Request) {
		id, query := strings.TrimPrefix(r.URL.Path, api.ServerJudge), r.URL.Query()
		writeOrderResult(w, b.runOrder(r, api.OrderJudge, id, func(ctx context.Context) error {
			duration := api.JudgeUsual
			if text := query.Get(api.JudgeFor); text != "" {
				seconds, err := strconv.ParseFloat(text, 64)
				if err != nil || !(seconds > 0 && seconds <= api.JudgeMost.Seconds()) {
					return InvalidError{errors.Errorf("%s: %q is not a number of seconds above 0 and up to %.0f", api.JudgeFor, text, api.JudgeMost.Seconds())}
				}
				duration = time.Duration(seconds * float64(time.Second))
			}
			return b.OrderVerdict(ctx, id, query.Get(api.JudgeWord), duration)
		}))
	})
}

// parseMinAwake reads the minimum fractions of proxies, of each zone and of all, that must stay awake.
func parseMinAwake(query url.Values) (MinAwake, error) {
	minAwake := MinAwake{Zone: api.LeastAwake, All: api.LeastAwake, Force: query.Get(api.RestForce) == "true"}
	for name, target := range map[string]*float64{api.RestZone: &minAwake.Zone, api.RestAll: &minAwake.All} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		fraction, err := strconv.ParseFloat(text, 64)
		if err != nil || !(fraction >= 0 && fraction <= 1) {
			return minAwake, errors.Errorf("%s: %q is not a fraction from 0 to 1", name, text)
		}
		*target = fraction
	}
	return minAwake, nil
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

// writeReplaceResult answers a replacement of the configuration with the version that is in force now: it may be a newer
// one.
func writeReplaceResult(w http.ResponseWriter, done ReplaceResult, err error) {
	if err != nil {
		writeOrderResult(w, err)
		return
	}
	w.Header().Set("Content-Type", jsonContentType)
	_ = json.NewEncoder(w).Encode(api.Replaced{InForce: done.InForce, Held: apiVersion(done.InForceID)})
}

// httpStatus returns the status for an order that failed. 503 says that it's unknown whether the order is in force.
func httpStatus(err error) int {
	var invalid InvalidError
	var tooFewAwake TooFewAwakeError
	var taken LockTakenError
	var conflict ConflictError
	switch {
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	case errors.Is(err, ErrUnknownZone), errors.Is(err, ErrUnknownProxy), errors.Is(err, ErrUnknownServer):
		return http.StatusNotFound
	case errors.As(err, &tooFewAwake), errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &taken):
		return http.StatusLocked
	}
	return http.StatusServiceUnavailable
}

// writeError answers with a status and an error in JSON.
func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", jsonContentType)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}

// directoryHandler serves the clients' lookups of proxies.
func (b *Replica) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.DirLookup, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		b.mu.Lock()
		regions := b.lookupRegions(query.Get(api.LookupName), query.Get(api.LookupRegion))
		addresses := b.proxies.frontAddresses(regions, query.Get(api.LookupName)+" "+query.Get(api.LookupZone), b.now())
		b.mu.Unlock()
		if len(addresses) == 0 {
			writeError(w, http.StatusServiceUnavailable, errors.New("no proxy is ready"))
			return
		}
		if len(addresses) > api.MostAddresses {
			rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
			addresses = addresses[:api.MostAddresses]
		}
		w.Header().Set("Content-Type", jsonContentType)
		_ = json.NewEncoder(w).Encode(api.Lookup{AddrList: addresses, TTLS: min(maxLookupTTL, b.liveSettings.Load().Terms.Bounds.TTLMax).Seconds()})
	})
	return mux
}

// lookupRegions returns the regions whose proxies are listed to a client that is in region and asks for hostName; the
// mutex is held.
func (b *Replica) lookupRegions(hostName, region string) []string {
	if b.parsedConfiguration == nil {
		return []string{region}
	}
	homeRegions, boundRoutes, freeRoutes := b.parsedConfiguration.HomesOf(hostName)
	if len(homeRegions) == 0 || slices.Contains(homeRegions, region) {
		return []string{region}
	}
	host, now := homing.HashHost(routeconfig.Bare(hostName)), b.now()
	if !b.hostRoutes.SendsHome(host, boundRoutes, freeRoutes, func() homing.HostTraffic { return b.proxies.sumHostCounts(host, now) }, now) {
		return []string{region}
	}
	return homeRegions // otherwise proxies would forward the body of each request on a region-bound route to another region
}
