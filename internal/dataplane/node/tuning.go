package node

import (
	"log/slog"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/routing"
)

// Tuning holds the figures that those who run an installation may change while
// an edge node serves. What the platform's program does by itself is
// DefaultTuning.
type Tuning struct {
	FirstRequest      time.Duration // from a client's connect to the end of its first request
	WholeRequest      time.Duration // from a later request's first byte to its last
	ClientIdle        time.Duration // between requests
	BodyStall         time.Duration // for the next bytes of a body that is passed on as it comes
	ClientWrite       time.Duration // for a client to take an answer
	CloseUnused       bool          // connections that clients leave unused are ended when room is short
	ReuseDelay        time.Duration // an idle connection to an app server rests so long before it is used again
	AnswerStall       time.Duration // an answer that has begun and stops for so long is spoilt
	Discovery         string        // goes before the platform's address; empty: that one
	Generation        string        // names these figures to whoever asks healthz; empty: none is told
	RefusedGeneration string        // the last generation that was not taken over; empty: none

	Routes          *routing.Table // what requests are read by; nil: as the platform has it
	PendingRevision string         // a revision of the book that waits to be accepted; empty: none
}

// DefaultTuning is what holds without an operator file.
func DefaultTuning() Tuning {
	return Tuning{FirstRequest: defaultFirstRequestTimeout, WholeRequest: defaultRequestTimeout, ClientIdle: defaultClientIdleTimeout, BodyStall: defaultRequestTimeout, ClientWrite: defaultClientWriteTimeout,
		CloseUnused: true, ReuseDelay: defaultReuseDelay, AnswerStall: defaultAnswerStall}
}

// Header fields of healthz answers that tell a supervisor what is in force.
const (
	GenerationField = "Pepperfall-Generation"
	RefusedField    = "Pepperfall-Refused"
	PendingField    = "Pepperfall-Pending"
)

// ViewPath is where an edge node that keeps a view of its fleet tells it, as JSON (package fleetview).
const ViewPath = "/healthz/view"

// healthFields is the header of a healthz answer.
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

// Tune takes new figures over, all at once.
func (n *Node) Tune(t Tuning) {
	n.tuningMu.Lock()
	defer n.tuningMu.Unlock()
	old := n.server.tuning.Swap(&t)
	n.upstream.applyTuning(t)
	if old.Discovery != t.Discovery {
		n.discovery.moveTo(n.discoveryAddress(t))
	}
	if was, is := old.Routes.Name(), t.Routes.Name(); was != is {
		slog.Info("route book in force", "was", was, "is", is)
	}
	if old.Generation != t.Generation {
		slog.Info("operator file in force", "generation", t.Generation)
	}
}

// Tuning returns the figures in force.
func (n *Node) Tuning() Tuning { return *n.server.tuning.Load() }

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
