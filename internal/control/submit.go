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
const forwardWithin = 450 * time.Millisecond

// submit executes an operator's command: at the replica that proposed last, which needs one phase only and competes
// with no other proposer, or else at this one. Both may execute a command: it then has the same effect twice, within
// the time that its caller waits. It returns ErrNoMajority if the outcome is unknown after callTimeout.
func (b *Replica) submit(ctx context.Context, command peerlink.Command) (held state.ConfigID, err error) {
	ctx, cancel := b.within(ctx, callWithin)
	defer cancel()
	command.Token, _ = ctx.Value(tokenKey{}).(string)
	command.Within = callWithin
	for ctx.Err() == nil {
		command.Since = max(command.Since, b.decided().Version)
		var outcome *peerlink.Outcome
		if proposer := b.lastProposer(); proposer != nil {
			outcome = b.forward(ctx, proposer, command)
		}
		switch {
		case outcome != nil && outcome.Refusal == peerlink.RefusedOutrun:
			command.Since = max(command.Since, outcome.Version)
			continue
		case outcome != nil && (outcome.Decided || outcome.Refusal != peerlink.NotRefused):
			return outcome.Held, errorOf(outcome)
		}
		held, err = b.perform(ctx, &command)
		if !errors.Is(err, errOutrun) {
			return held, err
		}
	}
	return held, ErrUnsettled
}

// linkToLastProposer returns the connection to the replica that proposed the decided state; nil if that is this one,
// can't be reached or is leaving.
func (b *Replica) lastProposer() *link {
	b.mu.Lock()
	defer b.mu.Unlock()
	id, _, _ := strings.Cut(b.contents.Record.Decided.Proposer, proposerMark)
	if id == b.self.ID || !b.reaches(id) {
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
	ctx, cancel := b.within(ctx, forwardWithin)
	defer cancel()
	poll := b.newPoll()
	defer poll.end()
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
func (b *Replica) carryOut(ctx context.Context, command *peerlink.Command) *peerlink.Outcome {
	ctx, cancel := b.within(withToken(ctx, command.Token), min(command.Within, callWithin))
	defer cancel()
	if command.Config != nil {
		if !isConfig(command.Config, idOf(command.Config)) {
			return nil
		}
		command.Config.Pack()
	}
	held, err := b.perform(ctx, command)
	outcome := outcomeOf(held, err)
	outcome.Version = b.decided().Version
	return outcome
}

// execute executes a command at this replica. For a configuration, held is the one in force afterwards.
func (b *Replica) perform(ctx context.Context, command *peerlink.Command) (held state.ConfigID, err error) {
	switch {
	case command.Config != nil:
		return b.replace(ctx, command.Config)
	case command.Order != nil:
		return held, b.order(ctx, command)
	case command.Lock != nil && command.Lock.For > 0:
		return held, b.takeLock(ctx, command)
	case command.Lock != nil:
		return held, b.dropLock(ctx, command.Lock.Token)
	}
	return held, ErrUnsettled
}

// refusalErrors are the errors that guarantee that a command was not carried out, and that need no data but their text.
var refusals = map[peerlink.Refusal]error{peerlink.RefusedZone: ErrZone, peerlink.RefusedNode: ErrNode, peerlink.RefusedServer: ErrServer}

// outcomeOf encodes the result of a command for the replica that forwarded it. An error without a refusal code
// doesn't say whether the command took effect, so that replica executes it by itself.
func outcomeOf(held state.ConfigID, err error) *peerlink.Outcome {
	outcome := &peerlink.Outcome{Decided: err == nil, Held: held}
	if err == nil {
		return outcome
	}
	outcome.Text = err.Error()
	var conflict Conflict
	var taken Taken
	var tight Tight
	switch {
	case errors.As(err, &conflict):
		outcome.Refusal, outcome.Held = peerlink.RefusedConflict, conflict.Held
	case errors.As(err, &taken):
		outcome.Refusal, outcome.Lock = peerlink.RefusedLocked, taken.Lock
	case errors.As(err, &tight):
		outcome.Refusal = peerlink.RefusedTight
	case errors.Is(err, errOutrun):
		outcome.Refusal = peerlink.RefusedOutrun
	}
	for refusal, cause := range refusals {
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
		return Conflict{outcome.Held}
	case peerlink.RefusedLocked:
		return Taken{outcome.Lock}
	case peerlink.RefusedTight:
		return Tight{errors.New(outcome.Text)}
	}
	return refusedError{refusals[outcome.Refusal], outcome.Text}
}

// remoteRefusal is a refusal by another replica, with the text that it sent.
type refusedError struct {
	is   error
	text string
}

func (e refusedError) Error() string { return e.text }
func (e refusedError) Unwrap() error { return e.is }
