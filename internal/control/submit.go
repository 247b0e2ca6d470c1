package control

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// forwardTimeout is how long a replica waits for the one that proposed last before it proposes a command by itself.
const forwardTimeout = 450 * time.Millisecond

// submit has a command carried out: by the replica that proposed last, which needs one phase only and has no other
// proposer against it, or else by this one. A command that both carry out has the same effect twice, within the time
// of its caller's wait.
func (b *Replica) submit(ctx context.Context, c peerlink.Command) (held state.ConfigID, err error) {
	ctx, cancel := b.withTimeout(ctx, callTimeout)
	defer cancel()
	c.Token, _ = ctx.Value(tokenKey{}).(string)
	c.Within = callTimeout
	for ctx.Err() == nil {
		c.Since = max(c.Since, b.decidedState().Version)
		var o *peerlink.Outcome
		if l := b.linkToLastProposer(); l != nil {
			o = b.forward(ctx, l, c)
		}
		switch {
		case o != nil && o.Refusal == peerlink.RefusedOutrun:
			c.Since = max(c.Since, o.Version)
			continue
		case o != nil && (o.Decided || o.Refusal != peerlink.NotRefused):
			return o.Held, errorOf(o)
		}
		held, err = b.execute(ctx, &c)
		if !errors.Is(err, errConcurrentDecision) {
			return held, err
		}
	}
	return held, ErrNoMajority
}

// linkToLastProposer is the connection to the replica that proposed what is decided; nil: it is this one, or out of reach.
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

// forward has another replica carry a command out; nil: it has not answered.
func (b *Replica) forward(ctx context.Context, l *link, c peerlink.Command) *peerlink.Outcome {
	ctx, cancel := b.withTimeout(ctx, forwardTimeout)
	defer cancel()
	p := b.newPoll()
	defer p.cancel()
	b.mu.Lock()
	asked := p.ask(l, peerlink.Ask{Command: &c})
	b.mu.Unlock()
	if !asked {
		return nil
	}
	select {
	case a := <-p.answers:
		if a.reply == nil {
			return nil
		}
		return a.reply.Outcome
	case <-ctx.Done():
		return nil
	}
}

// executeForwarded answers a command that another replica has forwarded.
func (b *Replica) executeForwarded(ctx context.Context, c *peerlink.Command) *peerlink.Outcome {
	ctx, cancel := b.withTimeout(withLockToken(ctx, c.Token), min(c.Within, callTimeout))
	defer cancel()
	if c.Config != nil {
		if !isIntactConfiguration(c.Config, idOf(c.Config)) {
			return nil
		}
		c.Config.Pack()
	}
	held, err := b.execute(ctx, c)
	o := outcomeOf(held, err)
	o.Version = b.decidedState().Version
	return o
}

// execute carries a command out here.
func (b *Replica) execute(ctx context.Context, c *peerlink.Command) (held state.ConfigID, err error) {
	switch {
	case c.Config != nil:
		return b.executeReplace(ctx, c.Config)
	case c.Order != nil:
		return held, b.executeOrder(ctx, c)
	case c.Lock != nil && c.Lock.For > 0:
		return held, b.executeAcquireLock(ctx, c)
	case c.Lock != nil:
		return held, b.executeReleaseLock(ctx, c.Lock.Token)
	}
	return held, ErrNoMajority
}

// refusalErrors are the errors that say for sure that a command was not carried out and need no more than their text.
var refusalErrors = map[peerlink.Refusal]error{peerlink.RefusedZone: ErrUnknownZone, peerlink.RefusedNode: ErrUnknownProxy, peerlink.RefusedServer: ErrUnknownServer}

func outcomeOf(held state.ConfigID, err error) *peerlink.Outcome {
	o := &peerlink.Outcome{Decided: err == nil, Held: held}
	if err == nil {
		return o
	}
	o.Text = err.Error()
	var conflict ConflictError
	var taken LockTakenError
	var tight Tight
	switch {
	case errors.As(err, &conflict):
		o.Refusal, o.Held = peerlink.RefusedConflict, conflict.Held
	case errors.As(err, &taken):
		o.Refusal, o.Lock = peerlink.RefusedLocked, taken.Lock
	case errors.As(err, &tight):
		o.Refusal = peerlink.RefusedTight
	case errors.Is(err, errConcurrentDecision):
		o.Refusal = peerlink.RefusedOutrun
	}
	for refusal, is := range refusalErrors {
		if errors.Is(err, is) {
			o.Refusal = refusal
		}
	}
	return o
}

// errorOf undoes outcomeOf.
func errorOf(o *peerlink.Outcome) error {
	switch o.Refusal {
	case peerlink.NotRefused:
		return nil
	case peerlink.RefusedConflict:
		return ConflictError{o.Held}
	case peerlink.RefusedLocked:
		return LockTakenError{o.Lock}
	case peerlink.RefusedTight:
		return Tight{errors.New(o.Text)}
	}
	return remoteRefusal{refusalErrors[o.Refusal], o.Text}
}

// remoteRefusal is an error of another replica, with its own text.
type remoteRefusal struct {
	cause error
	text  string
}

func (e remoteRefusal) Error() string { return e.text }
func (e remoteRefusal) Unwrap() error { return e.cause }
