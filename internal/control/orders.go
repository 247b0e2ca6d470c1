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

// callTimeout bounds an order from its coming to its acknowledgement.
const callTimeout = 900 * time.Millisecond

// Errors of orders. After ErrNoMajority the order may be in force or not; after the
// others it is not.
var (
	ErrNoMajority      = errors.New("no majority of control answers")
	ErrNoConfiguration = errors.New("there is no configuration")
	ErrUnknownZone     = errors.New("no such zone")
	ErrUnknownProxy    = errors.New("no such proxy is known")
)

// InvalidError is the error of a configuration that can't be taken.
type InvalidError struct{ error }

// ConflictError is the error of a configuration whose number another one has.
type ConflictError struct{ Held state.ConfigID }

func (c ConflictError) Error() string {
	return "another configuration was decided under this number"
}

// ReplaceResult says what became of a configuration that was acknowledged.
type ReplaceResult struct {
	InForce bool           // it is the one in force
	Held    state.ConfigID // that is in force; above the one sent where that is not
}

// Replace takes a configuration. It is decided, or one above it was, when the error
// is nil. Invalid tells that it can't be, Conflict that its number is another's.
func (b *Replica) Replace(ctx context.Context, body []byte) (ReplaceResult, error) {
	parsed, err := routeconfig.Parse(body)
	if err != nil {
		return ReplaceResult{}, InvalidError{err}
	}
	p := (&peerlink.Configuration{Gen: parsed.Gen, Digest: sha256.Sum256(body), Body: body}).Pack()
	held, err := b.submit(ctx, peerlink.Command{Config: p})
	return ReplaceResult{InForce: held == idOf(p), Held: held}, err
}

// executeReplace carries out the command to put a configuration in force.
func (b *Replica) executeReplace(ctx context.Context, p *peerlink.Configuration) (state.ConfigID, error) {
	id := idOf(p)
	var held state.ConfigID
	err := b.changeState(ctx, p, func(next *state.State) error {
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
		return state.ConfigID{}, err // the proposer may still be at it
	}
	return held, nil
}

// changeState has a change decided. Where it changes nothing, or is refused, a majority
// confirms that this is not by something old.
func (b *Replica) changeState(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	began := b.now()
	err := b.decideOrConfirm(ctx, config, apply)
	if err == nil && b.now()-began > callTimeout { // this process stood still: whoever asked has gone on
		return ErrNoMajority
	}
	return err
}

func (b *Replica) decideOrConfirm(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	if wouldChange(b.decidedState(), withFencing(ctx, apply)) {
		return b.decideCommand(ctx, config, apply)
	}
	base, err := b.confirm(ctx)
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

// wouldChange tells whether a change would make another state of this one.
func wouldChange(base state.State, apply func(next *state.State) error) bool {
	next := base.Clone()
	next.Version++
	return apply(&next) == nil && !next.SameContent(base)
}

// CurrentConfiguration is the configuration in force.
func (b *Replica) CurrentConfiguration(ctx context.Context) (*peerlink.Configuration, error) {
	ctx, cancel := b.withTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := b.confirm(ctx); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configuration == nil {
		return nil, ErrNoConfiguration
	}
	return b.configuration, nil
}

// Drain takes an order about a zone.
func (b *Replica) Drain(ctx context.Context, zone string, drain bool) error {
	_, known := b.liveSettings.Load().Network.Zones[zone]
	_, err := b.submit(ctx, peerlink.Command{Order: &peerlink.Zone{Zone: zone, Drain: drain}, Known: known})
	return err
}

// executeOrder has an order decided, where the orders held allow it. One that says what is in force already is decided too:
// its count tells operators that somebody has ordered it again.
func (b *Replica) executeOrder(ctx context.Context, c *peerlink.Command) error {
	now := b.world.Now().UnixMilli()
	return b.changeState(ctx, nil, func(next *state.State) error {
		if next.Order(c.Order.Zone).Count > c.Since {
			return errConcurrentDecision // it may have been on its way for long: its caller looks again, if it still waits
		}
		if err := b.checkOrder(c, *next); err != nil {
			return err
		}
		decided := *c.Order
		decided.Count, decided.By = next.Version, b.self.Name
		next.Prune(now)
		next.SetOrder(decided)
		return nil
	})
}

// checkOrder tells why an order can't be taken by what is decided.
func (b *Replica) checkOrder(c *peerlink.Command, held state.State) error {
	if name, is := c.Order.Node(); is {
		return b.allowsRest(name, c, held)
	}
	if id, is := c.Order.Server(); is {
		return b.checkServerOrder(id, held)
	}
	if _, known := b.liveSettings.Load().Network.Zones[c.Order.Zone]; !known && !c.Known && held.Order(c.Order.Zone).Count == 0 {
		return errors.WithMessage(ErrUnknownZone, c.Order.Zone)
	}
	return nil // another's settings may know it: what was taken there is not refused here
}
