package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Timeouts of proposals.
const (
	attemptTimeout     = 600 * time.Millisecond
	yieldTime          = 150 * time.Millisecond // for another proposer that has a promise for the same version
	maxRetryJitter     = 40 * time.Millisecond  // random addition to yieldTime, so that two proposers don't keep yielding to each other
	reachabilityWindow = time.Second            // a voter that reported or connected within it is expected to answer
)

// stateChange is a change of the decided state whose caller waits for the outcome.
type stateChange struct {
	ctx       context.Context
	apply     func(next *state.State) error // changes a copy of the decided state whose Version is already the next one
	config    *peerlink.Configuration       // the new configuration; nil if the change contains none
	isCommand bool                          // an operator's command: submit retries it, possibly at another replica
	done      chan error
}

// decide proposes a change, together with others that are pending here, and waits for the decision. It returns the
// error of apply, which was called on a state that a majority has confirmed, or ErrNoMajority: then the change may have
// been decided or not.
func (b *Replica) decide(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&stateChange{ctx: ctx, apply: withFencing(ctx, apply), config: config, done: make(chan error, 1)})
}

// decideCommand does the same for a command, and returns errConcurrentDecision if another replica is faster.
func (b *Replica) decideCommand(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&stateChange{ctx: ctx, apply: withFencing(ctx, apply), config: config, isCommand: true, done: make(chan error, 1)})
}

// enqueue adds a change to the pending ones and waits until it is answered or its context ends.
func (b *Replica) enqueue(c *stateChange) error {
	b.mu.Lock()
	b.pendingChanges = append(b.pendingChanges, c)
	b.mu.Unlock()
	select {
	case b.proposerWakeup <- struct{}{}:
	default:
	}
	select {
	case err := <-c.done:
		return err
	case <-c.ctx.Done():
		return ErrNoMajority
	}
}

// runProposer proposes the pending changes, one batch after the other, until ctx ends.
func (b *Replica) runProposer(ctx context.Context) {
	for {
		select {
		case <-b.proposerWakeup:
		case <-ctx.Done():
			return
		}
		b.proposePending(ctx)
	}
}

// proposePending makes attempts until nothing is pending. It fails all changes while no majority is reachable.
func (b *Replica) proposePending(ctx context.Context) {
	var batch []*stateChange
	for failures := 0; ctx.Err() == nil; failures++ {
		b.mu.Lock()
		batch = append(batch, b.pendingChanges...)
		b.pendingChanges = nil
		reachable := b.isMajorityReachable()
		b.mu.Unlock()
		batch = slices.DeleteFunc(batch, func(c *stateChange) bool {
			if c.ctx.Err() != nil || !reachable {
				c.done <- ErrNoMajority
			}
			return c.ctx.Err() != nil || !reachable
		})
		if len(batch) == 0 {
			return
		}
		if b.shouldYield() && !b.waitForDecision(ctx) {
			return
		}
		done, retryNow := b.attempt(ctx, batch, failures)
		if done {
			batch, failures = nil, 0
			continue
		}
		batch = b.returnCommands(batch)
		if !retryNow && !b.waitForDecision(ctx) {
			return
		}
	}
}

// errConcurrentDecision is the error of a command that was not carried out because another replica has decided a newer
// version meanwhile: submit retries it.
var errConcurrentDecision = errors.New("another replica has decided a newer version meanwhile")

// returnCommands fails the commands of a batch with errConcurrentDecision where another replica that is reachable has
// become the last proposer: submit then forwards them there. It returns the rest of the batch.
func (b *Replica) returnCommands(batch []*stateChange) []*stateChange {
	if b.linkToLastProposer() == nil {
		return batch
	}
	return slices.DeleteFunc(batch, func(c *stateChange) bool {
		if c.isCommand {
			c.done <- errConcurrentDecision
		}
		return c.isCommand
	})
}

// shouldYield reports whether another proposer is likely to be deciding the next version now.
func (b *Replica) shouldYield() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	promised := b.contents.Record.Promised
	return promised != (quorum.Ballot{}) && promised.Proposer != b.proposerID() && b.now()-b.promisedAt < yieldTime
}

// waitForDecision waits until the next version is decided, or for yieldTime plus a random time. It returns false if ctx
// has ended.
func (b *Replica) waitForDecision(ctx context.Context) bool {
	t := b.world.NewTimer(yieldTime + rand.N(maxRetryJitter))
	defer t.Stop()
	select {
	case <-b.versionLearned:
	case <-t.C():
	case <-ctx.Done():
		return false
	}
	return true
}

// isMajorityReachable reports whether a majority of the voters is reachable. The caller holds the mutex.
func (b *Replica) isMajorityReachable() bool {
	return quorum.IsMajority(b.contents.Record.Decided.Voters, b.isReachable)
}

// isReachable reports whether the replica with an ID is this one, or is connected and has reported or connected within
// reachabilityWindow. The caller holds the mutex.
func (b *Replica) isReachable(id string) bool {
	if id == b.self.ID {
		return true
	}
	l := b.linkTo(id)
	return l != nil && b.now()-max(l.connectedAt, b.lastReports[id].receivedAt) < reachabilityWindow
}

// attempt tries once to decide the next version. If done is true, all changes of the batch are answered; retryNow
// reports that the next attempt may begin at once. Each failure raises the ballot's round, so that a proposer with more
// failures takes precedence.
func (b *Replica) attempt(ctx context.Context, batch []*stateChange, failures int) (done, retryNow bool) {
	ctx, cancel := b.withTimeout(ctx, attemptTimeout)
	defer cancel()
	b.mu.Lock()
	base := b.contents.Record.Decided
	select {
	case <-b.versionLearned: // the versions learned so far are in base
	default:
	}
	onePhase := base.Proposer == b.proposerID() && b.lastOnePhaseVersion <= base.Version && b.contents.Record.Promised.Round <= quorum.FirstRound
	b.mu.Unlock()
	next, refused := b.combine(base, batch)
	if next.SameContent(base) && b.isStillLatest(ctx, base) {
		answerAll(batch, refused)
		return true, true
	}
	if onePhase && !next.SameContent(base) {
		return b.attemptOnePhase(ctx, base, next, batch, refused)
	}
	b.mu.Lock()
	b.highestRound = max(b.highestRound, b.contents.Record.Promised.Round, quorum.FirstRound) + 1 + uint64(failures)
	proposal := quorum.NewProposal(base, quorum.Ballot{Round: b.highestRound, Proposer: b.proposerID()})
	b.mu.Unlock()
	if !b.prepare(ctx, proposal, base) {
		return false, b.handleFailedAttempt(proposal, base)
	}
	inherited := proposal.InheritedValue() != nil
	if !inherited && next.SameContent(base) { // a majority has just promised and reported no newer version: base is the latest
		answerAll(batch, refused)
		return true, true
	}
	if !b.proposeValue(ctx, proposal, base, next, batch) {
		return false, b.handleFailedAttempt(proposal, base)
	}
	if inherited {
		return false, true
	}
	answerAll(batch, refused)
	return true, true
}

// attemptOnePhase tries once to decide the version after one that this process proposed, without asking for promises.
func (b *Replica) attemptOnePhase(ctx context.Context, base, next state.State, batch []*stateChange, refused map[*stateChange]error) (done, retryNow bool) {
	b.mu.Lock()
	b.lastOnePhaseVersion = next.Version
	b.mu.Unlock()
	proposal := quorum.NewFirstRoundProposal(base)
	if !b.proposeValue(ctx, proposal, base, next, batch) {
		return false, b.handleFailedAttempt(proposal, base)
	}
	answerAll(batch, refused)
	return true, true
}

// announceDecision learns the value that an attempt has decided and sends it to all connected replicas. It stores the
// value's configuration too, since a proposer that is no voter has not accepted it.
func (b *Replica) announceDecision(p *quorum.Proposal, config *peerlink.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config != nil {
		b.contents.Configs[config.Digest] = config
	}
	b.learn(*p.Value())
	for _, all := range b.links {
		b.sendDecided(all[len(all)-1])
	}
}

// proposerSeparator separates the ID of the disk from the start time in a proposer's ID.
const proposerSeparator = "#"

// proposerID identifies this process, from its start to its end, in ballots.
func (b *Replica) proposerID() string {
	return b.self.ID + proposerSeparator + b.startedAt.UTC().Format(time.RFC3339Nano)
}

// combine applies all changes of a batch to a copy of the decided state, one after the other. It leaves out those whose
// apply fails, and returns their errors by change.
func (b *Replica) combine(base state.State, batch []*stateChange) (next state.State, refused map[*stateChange]error) {
	next, refused = base.Clone(), map[*stateChange]error{}
	next.Version++
	next.Proposer = b.proposerID()
	for _, c := range batch {
		candidate := next.Clone()
		if err := c.apply(&candidate); err != nil {
			refused[c] = err
			continue
		}
		next = candidate
	}
	return next, refused
}

// answerAll ends the wait of all changes' callers, with the errors of refused ones.
func answerAll(batch []*stateChange, refused map[*stateChange]error) {
	for _, c := range batch {
		c.done <- refused[c]
	}
}

// prepare is phase 1: it asks the voters for promises, and reports whether a majority has granted them.
func (b *Replica) prepare(ctx context.Context, p *quorum.Proposal, base state.State) bool {
	message := p.PrepareMessage()
	b.askVoters(ctx, base.Voters, func(string) peerlink.Ask { return peerlink.Ask{Prepare: &message} }, func(r *peerlink.Reply) {
		if r.Promise != nil {
			p.HandlePromise(*r.Promise)
		}
	}, func() bool { return p.IsPrepared() || p.CannotSucceed() })
	return p.IsPrepared()
}

// proposeValue is phase 2: it asks the voters to accept a value, with its configuration for voters that may lack it,
// and announces the value if it is decided. It reports whether it is.
func (b *Replica) proposeValue(ctx context.Context, p *quorum.Proposal, base, next state.State, batch []*stateChange) bool {
	message := p.ChooseValue(next)
	config := b.configurationFor(ctx, p, batch)
	if config == nil && message.Value.Config.Gen > 0 {
		return false
	}
	voters := slices.Clone(base.Voters)
	for _, v := range message.Value.Voters {
		if _, isVoter := base.Voter(v.ID); !isVoter {
			voters = append(voters, v)
		}
	}
	b.askVoters(ctx, voters, func(id string) peerlink.Ask {
		a := peerlink.Ask{Accept: &message}
		if config != nil && !p.HasConfig(id, message.Value.Config) {
			a.Config = config
		}
		return a
	}, func(r *peerlink.Reply) {
		if r.Accepted != nil {
			p.HandleAcceptance(*r.Accepted)
		}
	}, func() bool { return p.IsDecided() || p.CannotSucceed() })
	if p.IsDecided() {
		b.announceDecision(p, config)
	}
	return p.IsDecided()
}

// configurationFor returns the configuration of the proposed value: from a change of the batch, from this replica's
// store, or fetched from a voter that holds it. It returns nil if none of them has it.
func (b *Replica) configurationFor(ctx context.Context, p *quorum.Proposal, batch []*stateChange) *peerlink.Configuration {
	id := p.Value().Config
	for _, c := range batch {
		if c.config != nil && isIntactConfiguration(c.config, id) {
			return c.config
		}
	}
	b.mu.Lock()
	config := b.contents.Configs[id.Digest]
	var holders []*link
	for _, v := range p.Value().Voters {
		if l := b.linkTo(v.ID); l != nil && p.HasConfig(v.ID, id) {
			holders = append(holders, l)
		}
	}
	b.mu.Unlock()
	for _, l := range holders {
		if config != nil {
			break
		}
		config, _ = b.fetchConfiguration(ctx, l, id)
	}
	return config
}

// askVoters puts a question to voters, to this replica directly if it is one of them. It passes each reply to
// handle, and returns once enough is true, all have answered, or ctx ends.
func (b *Replica) askVoters(ctx context.Context, voters []state.Voter, question func(id string) peerlink.Ask, handle func(*peerlink.Reply), enough func() bool) {
	poll := b.newPoll()
	defer poll.cancel()
	b.mu.Lock()
	for _, v := range voters {
		if v.ID != b.self.ID {
			poll.ask(b.linkTo(v.ID), question(v.ID))
			continue
		}
		poll.sentCount++
		own := question(v.ID)
		b.jobs.Go(func() { poll.answers <- pollAnswer{v.ID, b.vote(ctx, &own)} })
	}
	left := poll.sentCount
	b.mu.Unlock()
	for ; left > 0 && !enough(); left-- {
		select {
		case a := <-poll.answers:
			if a.reply != nil {
				handle(a.reply)
			}
		case <-ctx.Done():
			return
		}
	}
}

// handleFailedAttempt learns from the replies to a failed attempt: it notes higher ballots, sends the decided state to
// voters that are behind, and learns or fetches a newer one. It reports whether a newer version is known now, so that
// the next attempt may begin at once.
func (b *Replica) handleFailedAttempt(p *quorum.Proposal, base state.State) (retryNow bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.highestRound = max(b.highestRound, p.HigherBallot().Round)
	for _, v := range base.Voters {
		if l := b.linkTo(v.ID); l != nil && p.IsBehind(v.ID) {
			b.sendDecided(l)
		}
	}
	if s := p.NewerDecided(); s != nil {
		if s.Config.Gen == 0 || b.contents.Configs[s.Config.Digest] != nil {
			b.learn(*s)
		} else if l := b.linkToHolder(s); l != nil {
			b.receiveDecided(l, s)
		}
	}
	return b.contents.Record.Decided.Version > base.Version
}

// linkToHolder returns a connection to a replica that knows s, or else to one of its voters. The caller holds the mutex.
func (b *Replica) linkToHolder(s *state.State) *link {
	for id, h := range b.lastReports {
		if l := b.linkTo(id); l != nil && h.report.Version >= s.Version {
			return l
		}
	}
	for _, v := range s.Voters {
		if l := b.linkTo(v.ID); l != nil {
			return l
		}
	}
	return nil
}
