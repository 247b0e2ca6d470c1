package node

import (
	"log/slog"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/routing"
)

// Tuning holds the settings that operators may change while a proxy runs. DefaultTuning returns the defaults.
type Tuning struct {
	FirstRequest      time.Duration // from a client's connect to the end of its first request
	WholeRequest      time.Duration // from a later request's first byte to its last
	ClientIdle        time.Duration // between requests
	BodyStall         time.Duration // for the next bytes of a streamed body
	ClientWrite       time.Duration // for a client to accept an answer
	CloseUnused       bool          // close connections that clients leave unused when few are free
	ReuseDelay        time.Duration // how long an idle connection to an app server waits before it is used again
	AnswerStall       time.Duration // an answer that has begun and then pauses for longer is treated as broken
	Discovery         string        // overrides the address from the configuration; empty: no override
	Generation        string        // name of these settings in healthz answers; empty: none
	RefusedGeneration string        // the last generation that was rejected; empty: none

	Routes          *routing.Table // the route book by which requests are read; nil: the standalone protocol's own routes
	PendingRevision string         // a revision of the route book that waits to be accepted; empty: none
}

// DefaultTuning returns the settings that apply without an operator file.
func DefaultTuning() Tuning {
	return Tuning{FirstRequest: defaultFirstRequestTimeout, WholeRequest: defaultRequestTimeout, ClientIdle: defaultClientIdleTimeout, BodyStall: defaultRequestTimeout, ClientWrite: defaultClientWriteTimeout,
		CloseUnused: true, ReuseDelay: defaultReuseDelay, AnswerStall: defaultAnswerStall}
}

// Header fields of healthz answers that tell a supervisor which settings and route book are current.
const (
	GenerationField = "Pepperfall-Generation"
	RefusedField    = "Pepperfall-Refused"
	PendingField    = "Pepperfall-Pending"
)

// ViewPath is the path at which a proxy serves its view of the fleet as JSON (package fleetview).
const ViewPath = "/healthz/view"

// healthFields returns the header fields of a healthz answer.
func (t *Tuning) healthFields() (fields string) {
	if t.Generation != "" {
		fields = GenerationField + ": " + t.Generation + "\r\n"
	}
	if t.RefusedGeneration != "" {
		fields += RefusedField + ": " + t.RefusedGeneration + "\r\n"
	}
	if t.Routes != nil {
		fields += routing.BookField + ": " + t.Routes.Book.Generation + "\r\n"
	}
	if t.PendingRevision != "" {
		fields += PendingField + ": " + t.PendingRevision + "\r\n"
	}
	return fields
}

// Tune applies new settings, all at once.
func (n *Node) Tune(t Tuning) {
	n.tuningMu.Lock()
	defer n.tuningMu.Unlock()
	old := n.server.tuning.Swap(&t)
	n.upstream.applyTuning(t)
	if old.Discovery != t.Discovery {
		n.discovery.moveTo(n.discoveryAddress(t))
	}
	if was, is := old.Routes.Revision(), t.Routes.Revision(); was != is {
		slog.Info("route book activated", "was", was, "is", is)
	}
	if old.Generation != t.Generation {
		slog.Info("operator file activated", "generation", t.Generation)
	}
}

// Tuning returns the current settings.
func (n *Node) Tuning() Tuning { return *n.server.tuning.Load() }

// discoveryAddress returns the discovery address that applies with the given settings.
func (n *Node) discoveryAddress(t Tuning) string {
	if t.Discovery != "" {
		return t.Discovery
	}
	return n.configuredDiscovery
}

func (u *upstream) applyTuning(t Tuning) {
	u.mu.Lock()
	u.reuseDelay = t.ReuseDelay
	u.mu.Unlock()
	u.answerStall.Store(int64(t.AnswerStall))
}
