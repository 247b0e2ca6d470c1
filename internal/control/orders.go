package control

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// callTimeout bounds the time from an order's arrival to its acknowledgement.
const callTimeout = 900 * time.Millisecond

// Errors of orders. After ErrNoMajority the order may be in force or not; after the others it is not.
var (
	ErrNoMajority      = errors.New("no majority of control answers")
	ErrNoConfiguration = errors.New("there is no configuration")
	ErrUnknownZone     = errors.New("no such zone")
	ErrUnknownProxy    = errors.New("no such proxy is known")
)

// InvalidError is the error of an order or a configuration that can't be accepted, whatever is in force.
type InvalidError struct{ error }

// ConflictError is the error of a configuration whose generation number was decided for another one.
type ConflictError struct{ Held state.ConfigID }

func (c ConflictError) Error() string {
	return "another configuration was decided under this number"
}

// ReplaceResult is the outcome of an acknowledged configuration.
type ReplaceResult struct {
	InForce   bool           // the acknowledged configuration is the one in force
	InForceID state.ConfigID // the one in force; newer than the acknowledged one if InForce is false
}

// Replace puts a configuration in force. If the error is nil, the configuration or a newer one is decided. It returns
// InvalidError if body can't be parsed, ConflictError if its number was decided for another configuration, and
// ErrNoMajority if the outcome is unknown.
func (b *Replica) Replace(ctx context.Context, body []byte) (ReplaceResult, error) {
	parsed, err := routeconfig.Parse(body)
	if err != nil {
		return ReplaceResult{}, InvalidError{err}
	}
	config := (&peerlink.Configuration{Gen: parsed.Gen, Digest: sha256.Sum256(body), Body: body}).Pack()
	held, err := b.submit(ctx, peerlink.Command{Config: config})
	return ReplaceResult{InForce: held == configIDOf(config), InForceID: held}, err
}

// executeReplace executes the command to put a configuration in force, and returns the ID of the one in force then.
func (b *Replica) executeReplace(ctx context.Context, config *peerlink.Configuration) (state.ConfigID, error) {
	id := configIDOf(config)
	var held state.ConfigID
	err := b.changeState(ctx, config, func(next *state.State) error {
		switch {
		case id.Gen > next.Config.Gen:
			next.Config = id
		case id.Gen == next.Config.Gen && id != next.Config:
			return ConflictError{next.Config}
		}
		held = next.Config
		return nil
	})
	if err != nil {
		return state.ConfigID{}, err // the proposer may still be running apply, which writes held
	}
	return held, nil
}

// changeState proposes a change of the decided state and waits for the decision. If the change has no effect or is
// refused, it first has a majority confirm that this is not due to an outdated state. It returns ErrNoMajority if the
// outcome is unknown.
func (b *Replica) changeState(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	began := b.now()
	err := b.decideOrConfirm(ctx, config, apply)
	if err == nil && b.now()-began > callTimeout { // this process was suspended: the caller has timed out, and a voter that accepted may have lost its disk since
		return ErrNoMajority
	}
	return err
}

// decideOrConfirm proposes a change that has an effect on the decided state, and otherwise returns the error of apply
// on a state that a majority has confirmed.
func (b *Replica) decideOrConfirm(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	if wouldChange(b.decidedState(), withFencing(ctx, apply)) {
		return b.decideCommand(ctx, config, apply)
	}
	base, err := b.confirmedState(ctx)
	if err != nil {
		return err
	}
	if wouldChange(base, withFencing(ctx, apply)) {
		return b.decideCommand(ctx, config, apply)
	}
	next := base.Clone()
	next.Version++
	return withFencing(ctx, apply)(&next)
}

// wouldChange reports whether apply succeeds on a state and changes it.
func wouldChange(base state.State, apply func(next *state.State) error) bool {
	next := base.Clone()
	next.Version++
	return apply(&next) == nil && !next.SameContent(base)
}

// CurrentConfiguration returns the configuration in force, after a majority has confirmed that it is the latest. It
// returns ErrNoMajority if none answers, and ErrNoConfiguration if there is none.
func (b *Replica) CurrentConfiguration(ctx context.Context) (*peerlink.Configuration, error) {
	ctx, cancel := b.withTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := b.confirmedState(ctx); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configuration == nil {
		return nil, ErrNoConfiguration
	}
	return b.configuration, nil
}

// Drain orders that a zone is drained, or is no longer.
func (b *Replica) Drain(ctx context.Context, zone string, drain bool) error {
	_, known := b.liveSettings.Load().Network.Zones[zone]
	_, err := b.submit(ctx, peerlink.Command{Order: &peerlink.Zone{Zone: zone, Drain: drain}, Known: known})
	return err
}

// executeOrder executes the command with an order, unless the decided orders forbid it. An order that repeats the one
// in force is decided too: its new count shows operators that it was given again.
func (b *Replica) executeOrder(ctx context.Context, command *peerlink.Command) error {
	now := b.world.Now().UnixMilli()
	return b.changeState(ctx, nil, func(next *state.State) error {
		if next.Order(command.Order.Zone).Count > command.Since {
			return errConcurrentDecision // the command may have been delayed for long: its caller retries it, if it still waits
		}
		if err := b.checkOrder(command, *next); err != nil {
			return err
		}
		decided := *command.Order
		decided.Count, decided.By = next.Version, b.self.Name
		next.Prune(now)
		next.SetOrder(decided)
		return nil
	})
}

// checkOrder returns why an order is refused under the decided state; nil if it is allowed.
func (b *Replica) checkOrder(command *peerlink.Command, held state.State) error {
	if name, isNode := command.Order.Node(); isNode {
		return b.checkRestOrder(name, command, held)
	}
	if id, isServer := command.Order.Server(); isServer {
		return b.checkServerOrder(id, held)
	}
	if _, known := b.liveSettings.Load().Network.Zones[command.Order.Zone]; !known && !command.Known && held.Order(command.Order.Zone).Count == 0 {
		return errors.WithMessage(ErrUnknownZone, command.Order.Zone)
	}
	return nil // zones differ between replicas' settings: one that the command's sender knows, or that has an order, is allowed
}
