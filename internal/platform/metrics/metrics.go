// Package metrics serves a process's own figures as text, in the Prometheus
// exposition format, on a port of its own.
package metrics

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Path is where the figures are.
const Path = "/metrics"

// Ports of the roles, as deploy/system.toml names them.
const (
	PortControl = 9464
	PortProxy   = 9465
)

const callWithin = 2 * time.Second // for a call to be read and answered

// Kind is how a figure changes.
type Kind string

// The kinds.
const (
	Gauge   Kind = "gauge"   // goes up and down
	Counter Kind = "counter" // only rises in one life of the process
)

// Figure is one value.
type Figure struct {
	Name  string // with its unit, as the format asks: _seconds, _total
	Help  string // one line
	Kind  Kind
	Value float64
}

// Seconds is a gauge of a time.
func Seconds(name, help string, d time.Duration) Figure {
	return Figure{name, help, Gauge, d.Seconds()}
}

// Count is a gauge of whole things.
func Count(name, help string, n int) Figure { return Figure{name, help, Gauge, float64(n)} }

// Text is the figures in the format.
func Text(all []Figure) []byte {
	var b bytes.Buffer
	for _, f := range all {
		b.WriteString("# HELP " + f.Name + " " + f.Help + "\n# TYPE " + f.Name + " " + string(f.Kind) + "\n")
		b.WriteString(f.Name + " " + strconv.FormatFloat(f.Value, 'g', -1, 64) + "\n")
	}
	return b.Bytes()
}

// Serve answers calls with what collect returns until ctx ends. A port that can't be
// listened on is logged: the service does without.
func Serve(ctx context.Context, w world.World, ip string, port int, log logr.Logger, collect func() []Figure) {
	ln, err := w.Listen(ctx, "tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		log.Error(errors.Wrap(err, "metrics"), "no figures are served")
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(Text(collect()))
	})
	s := &http.Server{Handler: mux, ReadTimeout: callWithin, WriteTimeout: callWithin, IdleTimeout: time.Minute}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	_ = s.Serve(ln) // ends with ctx only
}
