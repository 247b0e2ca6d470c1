package barn

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
)

// Bounds of calls.
const (
	mostBody    = 7 << 20 // a frame has to hold it
	headWithin  = 3 * time.Second
	callRead    = 10 * time.Second
	idleWithin  = 30 * time.Second
	answersFor  = time.Second // a client may use an answer of dir
	retryAfter  = "0.2"
	jsonType    = "application/json"
	closeWithin = 1500 * time.Millisecond // for calls in flight at the end
)

// serveHTTP serves ctl and dir; what it returns ends that in order.
func (b *Barn) serveHTTP(ctx context.Context) (func(), error) {
	var all []*http.Server
	stop := func() {
		ctx, cancel := b.within(context.Background(), closeWithin)
		defer cancel()
		for _, s := range all {
			_ = s.Shutdown(ctx)
			_ = s.Close()
		}
	}
	for addr, h := range map[string]http.Handler{b.self.Ctl: b.ctl(), b.self.Dir: b.dir()} {
		if addr == "" {
			continue
		}
		ln, err := b.w.Listen(ctx, "tcp", addr)
		if err != nil {
			stop()
			return nil, errors.Wrap(err, "barn")
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: headWithin, ReadTimeout: callRead, WriteTimeout: callRead, IdleTimeout: idleWithin}
		all = append(all, s)
		b.jobs.Go(func() { _ = s.Serve(ln) })
	}
	return stop, nil
}

// ctl is what the operator calls.
func (b *Barn) ctl() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+api.ConfigReplace, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			refuse(w, http.StatusRequestEntityTooLarge, err)
		case err != nil:
			refuse(w, http.StatusServiceUnavailable, err)
		default:
			finish(w, b.noted(r, api.OrderConfig, genOf(body), func() error { return b.Replace(r.Context(), body) }))
		}
	})
	m.HandleFunc("GET "+api.ConfigShow, func(w http.ResponseWriter, r *http.Request) {
		p, err := b.Show(r.Context())
		if err != nil {
			finish(w, err)
			return
		}
		w.Header().Set("Content-Type", jsonType)
		_, _ = w.Write(p.Body)
	})
	for path, drain := range map[string]bool{api.DrainBegin: true, api.DrainFinish: false} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			zone := strings.TrimPrefix(r.URL.Path, path)
			finish(w, b.noted(r, path[3:len(path)-1], zone, func() error { return b.Drain(r.Context(), zone, drain) }))
		})
	}
	b.operators(m)
	return m
}

// finish answers an order.
func finish(w http.ResponseWriter, err error) {
	var invalid Invalid
	switch {
	case err == nil:
		w.Header().Set("Content-Type", jsonType)
		_, _ = io.WriteString(w, "{}\n")
	case errors.As(err, &invalid):
		refuse(w, http.StatusBadRequest, err)
	case errors.Is(err, ErrZone):
		refuse(w, http.StatusNotFound, err)
	default:
		refuse(w, http.StatusServiceUnavailable, err)
	}
}

func refuse(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", jsonType)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}

// dir is what clients ask.
func (b *Barn) dir() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+api.DirLookup, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		regions := []string{q.Get(api.LookupRegion)}
		b.mu.Lock()
		if b.parsed != nil {
			if homes := b.parsed.HomesOf(q.Get(api.LookupName)); len(homes) > 0 && !slices.Contains(homes, regions[0]) {
				regions = homes // else every body would go from one region to the other
			}
		}
		fronts := b.gates.fronts(regions, q.Get(api.LookupName)+" "+q.Get(api.LookupZone), b.now())
		b.mu.Unlock()
		if len(fronts) == 0 {
			refuse(w, http.StatusServiceUnavailable, errors.New("no node is ready"))
			return
		}
		if len(fronts) > api.MostAddresses {
			rand.Shuffle(len(fronts), func(i, j int) { fronts[i], fronts[j] = fronts[j], fronts[i] })
			fronts = fronts[:api.MostAddresses]
		}
		w.Header().Set("Content-Type", jsonType)
		_ = json.NewEncoder(w).Encode(api.Lookup{AddrList: fronts, TTLS: min(answersFor, b.live.Load().Terms.Bounds.TTLMax).Seconds()})
	})
	return m
}
