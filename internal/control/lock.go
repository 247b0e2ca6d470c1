package control

import (
	"context"
	"time"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// The operators' lock is a part of the decided state, so the fencing token of an order is checked in the same decision
// that accepts the order: a client that has lost the lock can't change anything more, however late its order arrives.

// clockDriftDivisor bounds the drift between replicas' monotonic clocks: over a time t they differ by at most t/50.
const clockDriftDivisor = 50

// lockObservation is a grant of the lock and when this replica first saw it.
type lockObservation struct {
	granted   uint64
	firstSeen time.Duration
}

// LockTakenError is the error of a request for the lock while another client holds it, or of an order whose token
// doesn't hold it.
type LockTakenError struct{ state.Lock }

func (t LockTakenError) Error() string {
	if t.Who == "" {
		return "the lock is not held with this token"
	}
	return t.Who + " holds the lock since " + time.Unix(0, t.Since).UTC().Format(time.RFC3339)
}

// lockTakenBy returns the error that names the lock's holder, without the holder's token.
func lockTakenBy(lock state.Lock) LockTakenError {
	lock.Token = ""
	return LockTakenError{lock}
}

// noteLock records when this replica first saw the present grant. The caller holds the mutex.
func (b *Replica) noteLock(l state.Lock) {
	if l.Granted != b.observedLock.granted {
		b.observedLock = lockObservation{l.Granted, b.now()}
	}
}

// hasLapsed reports whether a grant has certainly expired: this replica has known it for its whole duration plus the
// possible clock drift.
func (b *Replica) hasLapsed(l state.Lock) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.observedLock.granted == l.Granted && b.now()-b.observedLock.firstSeen >= l.For+l.For/clockDriftDivisor
}

// AcquireLock takes or renews the lock for a token, for want.For but at most api.LockMost. It returns LockTakenError if
// another token holds it.
func (b *Replica) AcquireLock(ctx context.Context, want state.Lock) error {
	want.For = min(want.For, api.LockMost)
	_, err := b.submit(ctx, peerlink.Command{Lock: &want})
	return err
}

// ReleaseLock releases the lock if the token holds it.
func (b *Replica) ReleaseLock(ctx context.Context, token string) error {
	_, err := b.submit(ctx, peerlink.Command{Lock: &state.Lock{Token: token}})
	return err
}

// executeAcquireLock executes the command to take or renew the lock.
func (b *Replica) executeAcquireLock(ctx context.Context, command *peerlink.Command) error {
	want := *command.Lock
	return b.changeState(ctx, nil, func(next *state.State) error {
		if next.Lock.Granted > command.Since {
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

// executeReleaseLock executes the command to release the lock.
func (b *Replica) executeReleaseLock(ctx context.Context, token string) error {
	return b.changeState(ctx, nil, func(next *state.State) error {
		if next.Lock.Token == token {
			next.Lock = state.Lock{}
		}
		return nil
	})
}

// tokenKey is the context key of the lock's token.
type tokenKey struct{}

// withLockToken returns a context whose orders are accepted only while the token holds the lock. Orders with an empty
// token are not checked.
func withLockToken(ctx context.Context, token string) context.Context {
	return context.WithValue(ctx, tokenKey{}, token)
}

// withFencing returns apply with a check that the context's token holds the lock.
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
