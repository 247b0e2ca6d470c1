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

// Times of proposals.
const (
	attemptTimeout     = 600 * time.Millisecond
	yieldTime          = 150 * time.Millisecond // to another proposer that has a promise for the same version
	maxRetryJitter     = 40 * time.Millisecond  // beyond that, by chance, so that two who yield to each other part
	reachabilityWindow = time.Second            // a voter that was heard since is taken to answer
)

// stateChange is a change of the state that somebody waits for.
type stateChange struct {
	ctx       context.Context
	apply     func(next *state.State) error // changes a copy of what is decided, whose Version is already the next one
	config    *peerlink.Configuration       // that it brings; nil: none
	isCommand bool                          // of an operator: submit sees to it
	done      chan error
}

// decide has a change decided, together with others that wait here. It returns the
// error of apply, of which a majority has confirmed what it was told, or ErrNoMajority:
// then the change may be decided or may not.
func (b *Replica) decide(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&stateChange{ctx: ctx, apply: withFencing(ctx, apply), config: config, done: make(chan error, 1)})
}

// decideCommand does so for a command, and gives up with errConcurrentDecision where another replica is faster.
func (b *Replica) decideCommand(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&stateChange{ctx: ctx, apply: withFencing(ctx, apply), config: config, isCommand: true, done: make(chan error, 1)})
}

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

// runProposer carries out what is pending, one batch after the other.
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

// proposePending makes attempts until nothing is pending.
func (b *Replica) proposePending(ctx context.Context) {
	var batch []*stateChange
	for tries := 0; ctx.Err() == nil; tries++ {
		b.mu.Lock()
		batch = append(batch, b.pendingChanges...)
		b.pendingChanges = nil
		reached := b.isMajorityReachable()
		b.mu.Unlock()
		batch = slices.DeleteFunc(batch, func(c *stateChange) bool {
			if c.ctx.Err() != nil || !reached {
				c.done <- ErrNoMajority
			}
			return c.ctx.Err() != nil || !reached
		})
		if len(batch) == 0 {
			return
		}
		if b.shouldYield() && !b.waitForDecision(ctx) {
			return
		}
		done, again := b.attempt(ctx, batch, tries)
		if done {
			batch, tries = nil, 0
			continue
		}
		batch = b.returnCommands(batch)
		if !again && !b.waitForDecision(ctx) {
			return
		}
	}
}

// errConcurrentDecision tells that a command was not carried out, since another replica has decided something meanwhile: submit
// looks again.
var errConcurrentDecision = errors.New("another replica has proposed meanwhile")

// handBack gives commands back to submit where another replica has become the one that proposed last.
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

// shouldYield tells whether another proposer is likely to decide the next version just now.
func (b *Replica) shouldYield() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	promised := b.contents.Record.Promised
	return promised != (quorum.Ballot{}) && promised.Proposer != b.proposerID() && b.now()-b.promisedAt < yieldTime
}

// waitForDecision waits until the next version is decided, or for a while; false: ctx has ended.
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

// isMajorityReachable tells whether a majority of the voters was heard just now; the
// mutex is held.
func (b *Replica) isMajorityReachable() bool {
	return quorum.IsMajority(b.contents.Record.Decided.Voters, b.isReachable)
}

func (b *Replica) isReachable(id string) bool {
	if id == b.self.ID {
		return true
	}
	l := b.linkTo(id)
	return l != nil && b.now()-max(l.connectedAt, b.lastReports[id].at) < reachabilityWindow
}

// attempt tries once to decide the next version. It has answered all of the batch
// where done is true; again tells that the next attempt may begin at once. Whoever has
// tried more often goes before others.
func (b *Replica) attempt(ctx context.Context, batch []*stateChange, tries int) (done, again bool) {
	ctx, cancel := b.withTimeout(ctx, attemptTimeout)
	defer cancel()
	b.mu.Lock()
	base := b.contents.Record.Decided
	select {
	case <-b.versionLearned: // that is known here
	default:
	}
	first := base.Proposer == b.proposerID() && b.lastOnePhaseVersion <= base.Version && b.contents.Record.Promised.Round <= quorum.FirstRound
	b.mu.Unlock()
	next, refused := b.combine(base, batch)
	if next.SameContent(base) && b.stillLatest(ctx, base) {
		answerAll(batch, refused)
		return true, true
	}
	if first && !next.SameContent(base) {
		return b.attemptOnePhase(ctx, base, next, batch, refused)
	}
	b.mu.Lock()
	b.highestRound = max(b.highestRound, b.contents.Record.Promised.Round, quorum.FirstRound) + 1 + uint64(tries)
	p := quorum.NewProposal(base, quorum.Ballot{Round: b.highestRound, Proposer: b.proposerID()})
	b.mu.Unlock()
	if !b.prepare(ctx, p, base) {
		return false, b.handleFailedAttempt(p, base)
	}
	inherited := p.InheritedValue() != nil
	if !inherited && next.SameContent(base) { // a majority has just promised, so base is the newest
		answerAll(batch, refused)
		return true, true
	}
	if !b.proposeValue(ctx, p, base, next, batch) {
		return false, b.handleFailedAttempt(p, base)
	}
	if inherited {
		return false, true
	}
	answerAll(batch, refused)
	return true, true
}

// attemptOnePhase tries once to decide the version after one that this process proposed, in one phase.
func (b *Replica) attemptOnePhase(ctx context.Context, base, next state.State, batch []*stateChange, refused map[*stateChange]error) (done, again bool) {
	b.mu.Lock()
	b.lastOnePhaseVersion = next.Version
	b.mu.Unlock()
	p := quorum.NewFirstRoundProposal(base)
	if !b.proposeValue(ctx, p, base, next, batch) {
		return false, b.handleFailedAttempt(p, base)
	}
	answerAll(batch, refused)
	return true, true
}

// announceDecision takes over what an attempt has decided, with its configuration, which a proposer that is no voter has not
// accepted, and tells all others.
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

// proposerSeparator ends the ID of the disk in a proposer's name.
const proposerSeparator = "#"

// proposerID names this life of this process in ballots.
func (b *Replica) proposerID() string {
	return b.self.ID + proposerSeparator + b.startedAt.UTC().Format(time.RFC3339Nano)
}

// combine applies all changes to what is decided, one after the other; those that
// do not fit are left out, with their errors.
func (b *Replica) combine(base state.State, batch []*stateChange) (next state.State, refused map[*stateChange]error) {
	next, refused = base.Clone(), map[*stateChange]error{}
	next.Version++
	next.Proposer = b.proposerID()
	for _, c := range batch {
		tried := next.Clone()
		if err := c.apply(&tried); err != nil {
			refused[c] = err
			continue
		}
		next = tried
	}
	return next, refused
}

func answerAll(batch []*stateChange, refused map[*stateChange]error) {
	for _, c := range batch {
		c.done <- refused[c]
	}
}

// prepare asks the voters for promises until a majority has given them.
func (b *Replica) prepare(ctx context.Context, p *quorum.Proposal, base state.State) bool {
	message := p.PrepareMessage()
	b.askVoters(ctx, base.Voters, func(string) peerlink.Ask { return peerlink.Ask{Prepare: &message} }, func(r *peerlink.Reply) {
		if r.Promise != nil {
			p.HandlePromise(*r.Promise)
		}
	}, func() bool { return p.IsPrepared() || p.CannotSucceed() })
	return p.IsPrepared()
}

// proposeValue has a value accepted, with its configuration where an acceptor lacks that, and announces it once it is decided.
func (b *Replica) proposeValue(ctx context.Context, p *quorum.Proposal, base, next state.State, batch []*stateChange) bool {
	message := p.ChooseValue(next)
	config := b.configurationFor(ctx, p, batch)
	if config == nil && message.Value.Config.Gen > 0 {
		return false
	}
	voters := slices.Clone(base.Voters)
	for _, v := range message.Value.Voters {
		if _, is := base.Voter(v.ID); !is {
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

// configurationFor is the configuration of the value that is proposed: it came with a
// change, is here, or is fetched from a voter that has accepted the value.
func (b *Replica) configurationFor(ctx context.Context, p *quorum.Proposal, batch []*stateChange) *peerlink.Configuration {
	id := p.Value().Config
	for _, c := range batch {
		if c.config != nil && isIntactConfiguration(c.config, id) {
			return c.config
		}
	}
	b.mu.Lock()
	config := b.contents.Configs[id.Digest]
	var from []*link
	for _, v := range p.Value().Voters {
		if l := b.linkTo(v.ID); l != nil && p.HasConfig(v.ID, id) {
			from = append(from, l)
		}
	}
	b.mu.Unlock()
	for _, l := range from {
		if config != nil {
			break
		}
		config, _ = b.fetchConfiguration(ctx, l, id)
	}
	return config
}

// askVoters puts a question to voters, this replica among them where it is one, until
// enough is true, all have answered, or ctx ends.
func (b *Replica) askVoters(ctx context.Context, voters []state.Voter, question func(id string) peerlink.Ask, take func(*peerlink.Reply), enough func() bool) {
	p := b.newPoll()
	defer p.cancel()
	b.mu.Lock()
	for _, v := range voters {
		if v.ID != b.self.ID {
			p.ask(b.linkTo(v.ID), question(v.ID))
			continue
		}
		p.sentCount++
		own := question(v.ID)
		b.jobs.Go(func() { p.answers <- pollAnswer{v.ID, b.vote(ctx, &own)} })
	}
	left := p.sentCount
	b.mu.Unlock()
	for ; left > 0 && !enough(); left-- {
		select {
		case a := <-p.answers:
			if a.reply != nil {
				take(a.reply)
			}
		case <-ctx.Done():
			return
		}
	}
}

// handleFailedAttempt takes in why an attempt failed, helps those that are behind, and tells
// whether the next one may begin at once.
func (b *Replica) handleFailedAttempt(p *quorum.Proposal, base state.State) (again bool) {
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

// linkToHolder is a connection to a replica that knows a state; the mutex is held.
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
