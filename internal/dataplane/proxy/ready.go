package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const readyTimeout = 2 * time.Second // to read or to answer a request

// serveReady answers readiness probes until ctx ends: 200 if the proxy is ready, else 503. It does nothing if no address is
// configured.
func (g *Proxy) serveReady(ctx context.Context) error {
	addr := g.settings.Network.Listen.Readyz
	if addr == "" {
		return nil
	}
	ln, err := g.world.Listen(ctx, "tcp", addr)
	if err != nil {
		return errors.WithMessage(err, "readyz")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.managed.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	srv := &http.Server{Handler: mux, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: time.Minute, ErrorLog: nil}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.log.Error(err, "readiness server stopped")
		}
	}()
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}
