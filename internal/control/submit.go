package control

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// forwardTimeout is how long a replica waits for the last proposer before it proposes a command by itself.
const forwardTimeout = 450 * time.Millisecond

// submit executes an operator's command: at the replica that proposed last, which needs one phase only and competes
// with no other proposer, or else at this one. Both may execute a command: it then has the same effect twice, within
// the time that its caller waits. It returns ErrNoMajority if the outcome is unknown after callTimeout.
func (b *Replica) submit(ctx context.Context, command peerlink.Command) (held state.ConfigID, err error) {
	ctx, cancel := b.withTimeout(ctx, callTimeout)
	defer cancel()
	command.Token, _ = ctx.Value(tokenKey{}).(string)
	command.Within = callTimeout
	for ctx.Err() == nil {
		command.Since = max(command.Since, b.decidedState().Version)
		var outcome *peerlink.Outcome
		if proposer := b.linkToLastProposer(); proposer != nil {
			outcome = b.forward(ctx, proposer, command)
		}
		switch {
		case outcome != nil && outcome.Refusal == peerlink.RefusedOutrun:
			command.Since = max(command.Since, outcome.Version)
			continue
		case outcome != nil && (outcome.Decided || outcome.Refusal != peerlink.NotRefused):
			return outcome.Held, errorOf(outcome)
		}
		held, err = b.execute(ctx, &command)
		if !errors.Is(err, errConcurrentDecision) {
			return held, err
		}
	}
	return held, ErrNoMajority
}

// linkToLastProposer returns the connection to the replica that proposed the decided state; nil if that is this one,
// can't be reached or is leaving.
func (b *Replica) linkToLastProposer() *link {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, _, _ := strings.Cut(b.contents.Record.Decided.Proposer, proposerSeparator)
	if id == b.self.ID || !b.isReachable(id) {
		return nil
	}
	l := b.linkTo(id)
	if l == nil || l.leaving {
		return nil
	}
	return l
}

// forward asks another replica to execute a command; it returns nil if that has not answered within forwardTimeout.
func (b *Replica) forward(ctx context.Context, l *link, command peerlink.Command) *peerlink.Outcome {
	ctx, cancel := b.withTimeout(ctx, forwardTimeout)
	defer cancel()
	poll := b.newPoll()
	defer poll.cancel()
	b.mu.Lock()
	sent := poll.ask(l, peerlink.Ask{Command: &command})
	b.mu.Unlock()
	if !sent {
		return nil
	}
	select {
	case a := <-poll.answers:
		if a.reply == nil {
			return nil
		}
		return a.reply.Outcome
	case <-ctx.Done():
		return nil
	}
}

// executeForwarded executes a command that another replica has forwarded. It returns nil, as if unanswered, if the
// configuration in it is corrupt.
func (b *Replica) executeForwarded(ctx context.Context, command *peerlink.Command) *peerlink.Outcome {
	ctx, cancel := b.withTimeout(withLockToken(ctx, command.Token), min(command.Within, callTimeout))
	defer cancel()
	if command.Config != nil {
		if !isIntactConfiguration(command.Config, configIDOf(command.Config)) {
			return nil
		}
		command.Config.Pack()
	}
	held, err := b.execute(ctx, command)
	outcome := outcomeOf(held, err)
	outcome.Version = b.decidedState().Version
	return outcome
}

// execute executes a command at this replica. For a configuration, held is the one in force afterwards.
func (b *Replica) execute(ctx context.Context, command *peerlink.Command) (held state.ConfigID, err error) {
	switch {
	case command.Config != nil:
		return b.executeReplace(ctx, command.Config)
	case command.Order != nil:
		return held, b.executeOrder(ctx, command)
	case command.Lock != nil && command.Lock.For > 0:
		return held, b.executeAcquireLock(ctx, command)
	case command.Lock != nil:
		return held, b.executeReleaseLock(ctx, command.Lock.Token)
	}
	return held, ErrNoMajority
}

// refusalErrors are the errors that guarantee that a command was not carried out, and that need no data but their text.
var refusalErrors = map[peerlink.Refusal]error{peerlink.RefusedZone: ErrUnknownZone, peerlink.RefusedNode: ErrUnknownProxy, peerlink.RefusedServer: ErrUnknownServer}

// outcomeOf encodes the result of a command for the replica that forwarded it. An error without a refusal code
// doesn't say whether the command took effect, so that replica executes it by itself.
func outcomeOf(held state.ConfigID, err error) *peerlink.Outcome {
	outcome := &peerlink.Outcome{Decided: err == nil, Held: held}
	if err == nil {
		return outcome
	}
	outcome.Text = err.Error()
	var conflict ConflictError
	var taken LockTakenError
	var tight TooFewAwakeError
	switch {
	case errors.As(err, &conflict):
		outcome.Refusal, outcome.Held = peerlink.RefusedConflict, conflict.Held
	case errors.As(err, &taken):
		outcome.Refusal, outcome.Lock = peerlink.RefusedLocked, taken.Lock
	case errors.As(err, &tight):
		outcome.Refusal = peerlink.RefusedTight
	case errors.Is(err, errConcurrentDecision):
		outcome.Refusal = peerlink.RefusedOutrun
	}
	for refusal, cause := range refusalErrors {
		if errors.Is(err, cause) {
			outcome.Refusal = refusal
		}
	}
	return outcome
}

// errorOf decodes an outcome into the error that outcomeOf encoded; nil if there was none.
func errorOf(outcome *peerlink.Outcome) error {
	switch outcome.Refusal {
	case peerlink.NotRefused:
		return nil
	case peerlink.RefusedConflict:
		return ConflictError{outcome.Held}
	case peerlink.RefusedLocked:
		return LockTakenError{outcome.Lock}
	case peerlink.RefusedTight:
		return TooFewAwakeError{errors.New(outcome.Text)}
	}
	return remoteRefusal{refusalErrors[outcome.Refusal], outcome.Text}
}

// remoteRefusal is a refusal by another replica, with the text that it sent.
type remoteRefusal struct {
	cause error
	text  string
}

func (e remoteRefusal) Error() string { return e.text }
func (e remoteRefusal) Unwrap() error { return e.cause }
