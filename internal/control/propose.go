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
	attemptWithin = 600 * time.Millisecond
	yieldFor      = 150 * time.Millisecond // for another proposer that has a promise for the same version
	retryMost     = 40 * time.Millisecond  // random addition to yieldTime, so that two proposers don't keep yielding to each other
	reachedWithin = time.Second            // a voter that reported or connected within it is expected to answer
)

// stateChange is a change of the decided state whose caller waits for the outcome.
type change struct {
	ctx     context.Context
	apply   func(next *state.State) error // changes a copy of the decided state whose Version is already the next one
	config  *peerlink.Configuration       // the new configuration; nil if the change contains none
	command bool                          // an operator's command: submit retries it, possibly at another replica
	end     chan error
}

// decide proposes a change, together with others that are pending here, and waits for the decision. It returns the
// error of apply, which was called on a state that a majority has confirmed, or ErrNoMajority: then the change may have
// been decided or not.
func (b *Replica) decide(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&change{ctx: ctx, apply: fenced(ctx, apply), config: config, end: make(chan error, 1)})
}

// decideCommand does the same for a command, and returns errConcurrentDecision if another replica is faster.
func (b *Replica) decideCommand(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&change{ctx: ctx, apply: fenced(ctx, apply), config: config, command: true, end: make(chan error, 1)})
}

// enqueue adds a change to the pending ones and waits until it is answered or its context ends.
func (b *Replica) enqueue(c *change) error {
	b.mu.Lock()
	b.pending = append(b.pending, c)
	b.mu.Unlock()
	select {
	case b.asked <- struct{}{}:
	default:
	}
	select {
	case err := <-c.end:
		return err
	case <-c.ctx.Done():
		return ErrUnsettled
	}
}

// runProposer proposes the pending changes, one batch after the other, until ctx ends.
func (b *Replica) propose(ctx context.Context) {
	for {
		select {
		case <-b.asked:
		case <-ctx.Done():
			return
		}
		b.settle(ctx)
	}
}

// proposePending makes attempts until nothing is pending. It fails all changes while no majority is reachable.
func (b *Replica) settle(ctx context.Context) {
	var batch []*change
	for failures := 0; ctx.Err() == nil; failures++ {
		b.mu.Lock()
		batch = append(batch, b.pending...)
		b.pending = nil
		reachable := b.reachesMajority()
		b.mu.Unlock()
		batch = slices.DeleteFunc(batch, func(c *change) bool {
			if c.ctx.Err() != nil || !reachable {
				c.end <- ErrUnsettled
			}
			return c.ctx.Err() != nil || !reachable
		})
		if len(batch) == 0 {
			return
		}
		if b.yields() && !b.yield(ctx) {
			return
		}
		done, retryNow := b.attempt(ctx, batch, failures)
		if done {
			batch, failures = nil, 0
			continue
		}
		batch = b.agentBack(batch)
		if !retryNow && !b.yield(ctx) {
			return
		}
	}
}

// errConcurrentDecision is the error of a command that was not carried out because another replica has decided a newer
// version meanwhile: submit retries it.
var errOutrun = errors.New("another replica has decided a newer version meanwhile")

// returnCommands fails the commands of a batch with errConcurrentDecision where another replica that is reachable has
// become the last proposer: submit then forwards them there. It returns the rest of the batch.
func (b *Replica) agentBack(batch []*change) []*change {
	if b.lastProposer() == nil {
		return batch
	}
	return slices.DeleteFunc(batch, func(c *change) bool {
		if c.command {
			c.end <- errOutrun
		}
		return c.command
	})
}

// shouldYield reports whether another proposer is likely to be deciding the next version now.
func (b *Replica) yields() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	promised := b.contents.Record.Promised
	return promised != (quorum.Ballot{}) && promised.Proposer != b.proposer() && b.now()-b.promisedAt < yieldFor
}

// waitForDecision waits until the next version is decided, or for yieldTime plus a random time. It returns false if ctx
// has ended.
func (b *Replica) yield(ctx context.Context) bool {
	t := b.w.NewTimer(yieldFor + rand.N(retryMost))
	defer t.Stop()
	select {
	case <-b.advanced:
	case <-t.C():
	case <-ctx.Done():
		return false
	}
	return true
}

// isMajorityReachable reports whether a majority of the voters is reachable. The caller holds the mutex.
func (b *Replica) reachesMajority() bool {
	return quorum.IsMajority(b.contents.Record.Decided.Voters, b.reaches)
}

// isReachable reports whether the replica with an ID is this one, or is connected and has reported or connected within
// reachabilityWindow. The caller holds the mutex.
func (b *Replica) reaches(id string) bool {
	if id == b.self.ID {
		return true
	}
	l := b.linkTo(id)
	return l != nil && b.now()-max(l.since, b.heardOf[id].at) < reachedWithin
}

// attempt tries once to decide the next version. If done is true, all changes of the batch are answered; retryNow
// reports that the next attempt may begin at once. Each failure raises the ballot's round, so that a proposer with more
// failures takes precedence.
func (b *Replica) attempt(ctx context.Context, batch []*change, failures int) (done, retryNow bool) {
	ctx, cancel := b.within(ctx, attemptWithin)
	defer cancel()
	b.mu.Lock()
	base := b.contents.Record.Decided
	select {
	case <-b.advanced: // the versions learned so far are in base
	default:
	}
	onePhase := base.Proposer == b.proposer() && b.firstUsed <= base.Version && b.contents.Record.Promised.Round <= quorum.FirstRound
	b.mu.Unlock()
	next, refused := b.combined(base, batch)
	if next.SameContent(base) && b.stillLatest(ctx, base) {
		answerAll(batch, refused)
		return true, true
	}
	if onePhase && !next.SameContent(base) {
		return b.attemptFirst(ctx, base, next, batch, refused)
	}
	b.mu.Lock()
	b.rounds = max(b.rounds, b.contents.Record.Promised.Round, quorum.FirstRound) + 1 + uint64(failures)
	proposal := quorum.NewProposal(base, quorum.Ballot{Round: b.rounds, Proposer: b.proposer()})
	b.mu.Unlock()
	if !b.prepare(ctx, proposal, base) {
		return false, b.lost(proposal, base)
	}
	inherited := proposal.InheritedValue() != nil
	if !inherited && next.SameContent(base) { // a majority has just promised and reported no newer version: base is the latest
		answerAll(batch, refused)
		return true, true
	}
	if !b.commit(ctx, proposal, base, next, batch) {
		return false, b.lost(proposal, base)
	}
	if inherited {
		return false, true
	}
	answerAll(batch, refused)
	return true, true
}

// attemptOnePhase tries once to decide the version after one that this process proposed, without asking for promises.
func (b *Replica) attemptFirst(ctx context.Context, base, next state.State, batch []*change, refused map[*change]error) (done, retryNow bool) {
	b.mu.Lock()
	b.firstUsed = next.Version
	b.mu.Unlock()
	proposal := quorum.NewFirstRoundProposal(base)
	if !b.commit(ctx, proposal, base, next, batch) {
		return false, b.lost(proposal, base)
	}
	answerAll(batch, refused)
	return true, true
}

// announceDecision learns the value that an attempt has decided and sends it to all connected replicas. It stores the
// value's configuration too, since a proposer that is no voter has not accepted it.
func (b *Replica) announce(p *quorum.Proposal, config *peerlink.Configuration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if config != nil {
		b.contents.Configs[config.Digest] = config
	}
	b.learn(*p.Value())
	for _, all := range b.links {
		b.tellDecided(all[len(all)-1])
	}
}

// proposerSeparator separates the ID of the disk from the start time in a proposer's ID.
const proposerMark = "#"

// proposerID identifies this process, from its start to its end, in ballots.
func (b *Replica) proposer() string {
	return b.self.ID + proposerMark + b.start.UTC().Format(time.RFC3339Nano)
}

// combine applies all changes of a batch to a copy of the decided state, one after the other. It leaves out those whose
// apply fails, and returns their errors by change.
func (b *Replica) combined(base state.State, batch []*change) (next state.State, refused map[*change]error) {
	next, refused = base.Clone(), map[*change]error{}
	next.Version++
	next.Proposer = b.proposer()
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
func answerAll(batch []*change, refused map[*change]error) {
	for _, c := range batch {
		c.end <- refused[c]
	}
}

// prepare is phase 1: it asks the voters for promises, and reports whether a majority has granted them.
func (b *Replica) prepare(ctx context.Context, p *quorum.Proposal, base state.State) bool {
	message := p.PrepareMessage()
	b.ask(ctx, base.Voters, func(string) peerlink.Ask { return peerlink.Ask{Prepare: &message} }, func(r *peerlink.Reply) {
		if r.Promise != nil {
			p.HandlePromise(*r.Promise)
		}
	}, func() bool { return p.IsPrepared() || p.CannotSucceed() })
	return p.IsPrepared()
}

// proposeValue is phase 2: it asks the voters to accept a value, with its configuration for voters that may lack it,
// and announces the value if it is decided. It reports whether it is.
func (b *Replica) commit(ctx context.Context, p *quorum.Proposal, base, next state.State, batch []*change) bool {
	message := p.ChooseValue(next)
	config := b.configFor(ctx, p, batch)
	if config == nil && message.Value.Config.Gen > 0 {
		return false
	}
	voters := slices.Clone(base.Voters)
	for _, v := range message.Value.Voters {
		if _, is := base.Voter(v.ID); !is {
			voters = append(voters, v)
		}
	}
	b.ask(ctx, voters, func(id string) peerlink.Ask {
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
		b.announce(p, config)
	}
	return p.IsDecided()
}

// configurationFor returns the configuration of the proposed value: from a change of the batch, from this replica's
// store, or fetched from a voter that holds it. It returns nil if none of them has it.
func (b *Replica) configFor(ctx context.Context, p *quorum.Proposal, batch []*change) *peerlink.Configuration {
	id := p.Value().Config
	for _, c := range batch {
		if c.config != nil && isConfig(c.config, id) {
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
		config, _ = b.fetch(ctx, l, id)
	}
	return config
}

// askVoters puts a question to voters, to this replica directly if it is one of them. It passes each reply to take, and
// returns once enough is true, all have answered, or ctx ends.
func (b *Replica) ask(ctx context.Context, voters []state.Voter, question func(id string) peerlink.Ask, take func(*peerlink.Reply), enough func() bool) {
	poll := b.newPoll()
	defer poll.end()
	b.mu.Lock()
	for _, v := range voters {
		if v.ID != b.self.ID {
			poll.ask(b.linkTo(v.ID), question(v.ID))
			continue
		}
		poll.out++
		own := question(v.ID)
		b.jobs.Go(func() { poll.answers <- answer{v.ID, b.vote(ctx, &own)} })
	}
	left := poll.out
	b.mu.Unlock()
	for ; left > 0 && !enough(); left-- {
		select {
		case a := <-poll.answers:
			if a.reply != nil {
				take(a.reply)
			}
		case <-ctx.Done():
			return
		}
	}
}

// handleFailedAttempt learns from the replies to a failed attempt: it notes higher ballots, sends the decided state to
// voters that are behind, and learns or fetches a newer one. It reports whether a newer version is known now, so that
// the next attempt may begin at once.
func (b *Replica) lost(p *quorum.Proposal, base state.State) (retryNow bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rounds = max(b.rounds, p.HigherBallot().Round)
	for _, v := range base.Voters {
		if l := b.linkTo(v.ID); l != nil && p.IsBehind(v.ID) {
			b.tellDecided(l)
		}
	}
	if s := p.NewerDecided(); s != nil {
		if s.Config.Gen == 0 || b.contents.Configs[s.Config.Digest] != nil {
			b.learn(*s)
		} else if l := b.linkOfHolder(s); l != nil {
			b.hearDecided(l, s)
		}
	}
	return b.contents.Record.Decided.Version > base.Version
}

// linkToHolder returns a connection to a replica that knows s, or else to one of its voters. The caller holds the mutex.
func (b *Replica) linkOfHolder(s *state.State) *link {
	for id, h := range b.heardOf {
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
