package control

import (
	"context"
	"time"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// The lock of those who give many orders is a part of the decided state, so the
// token that an order carries is checked in the same decision that takes the order:
// whoever has lost the lock can't change anything more, however late its word comes.

// clockDriftDivisor is the part of the lock's time that steady clocks may differ by over it.
const clockDriftDivisor = 50

// lockObservation is since when this replica knows the present grant of the lock.
type lockObservation struct {
	granted   uint64
	firstSeen time.Duration
}

// LockTakenError is the error of who finds the lock held, or of an order whose token does
// not hold it.
type LockTakenError struct{ state.Lock }

func (t LockTakenError) Error() string {
	if t.Who == "" {
		return "the lock is not held with this token"
	}
	return t.Who + " holds the lock since " + time.Unix(0, t.Since).UTC().Format(time.RFC3339)
}

// lockTakenBy is the error that tells of a holder, without the token that it is known by.
func lockTakenBy(l state.Lock) LockTakenError {
	l.Token = ""
	return LockTakenError{l}
}

// noteLock notes from when on this replica knows a grant; the mutex is held.
func (b *Replica) noteLock(l state.Lock) {
	if l.Granted != b.observedLock.granted {
		b.observedLock = lockObservation{l.Granted, b.now()}
	}
}

// hasLapsed tells whether a grant has run out for sure: it was known here for its whole
// time, and for what steady clocks may differ by.
func (b *Replica) hasLapsed(l state.Lock) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.observedLock.granted == l.Granted && b.now()-b.observedLock.firstSeen >= l.For+l.For/clockDriftDivisor
}

// AcquireLock takes the lock for a token, or renews it, for want.For or api.LockMost at most.
// It returns Taken where another has it.
func (b *Replica) AcquireLock(ctx context.Context, want state.Lock) error {
	want.For = min(want.For, api.LockMost)
	_, err := b.submit(ctx, peerlink.Command{Lock: &want})
	return err
}

// ReleaseLock lets the lock go where the token holds it.
func (b *Replica) ReleaseLock(ctx context.Context, token string) error {
	_, err := b.submit(ctx, peerlink.Command{Lock: &state.Lock{Token: token}})
	return err
}

func (b *Replica) executeAcquireLock(ctx context.Context, c *peerlink.Command) error {
	want := *c.Lock
	return b.changeState(ctx, nil, func(next *state.State) error {
		if next.Lock.Granted > c.Since {
			return errConcurrentDecision
		}
		if held := next.Lock; held.Token != "" && held.Token != want.Token && !b.hasLapsed(held) {
			return lockTakenBy(held)
		}
		granted := want
		granted.Granted = next.Version
		next.Lock = granted
		return nil
	})
}

func (b *Replica) executeReleaseLock(ctx context.Context, token string) error {
	return b.changeState(ctx, nil, func(next *state.State) error {
		if next.Lock.Token == token {
			next.Lock = state.Lock{}
		}
		return nil
	})
}

// tokenKey is under what a context carries the lock's token.
type tokenKey struct{}

// withLockToken has the orders that are given with a context fenced by the lock's token;
// without one they pass.
func withLockToken(ctx context.Context, token string) context.Context {
	return context.WithValue(ctx, tokenKey{}, token)
}

// withFencing lets a change pass only while the context's token holds the lock.
func withFencing(ctx context.Context, apply func(next *state.State) error) func(next *state.State) error {
	token, _ := ctx.Value(tokenKey{}).(string)
	if token == "" {
		return apply
	}
	return func(next *state.State) error {
		if next.Lock.Token != token {
			return lockTakenBy(next.Lock)
		}
		return apply(next)
	}
}
