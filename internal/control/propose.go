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
	attemptWithin = 600 * time.Millisecond
	yieldFor      = 150 * time.Millisecond // to another proposer that has a promise for the same version
	retryMost     = 40 * time.Millisecond  // beyond that, by chance, so that two who yield to each other part
	reachedWithin = time.Second            // a voter that was heard since is taken to answer
)

// change is a change of the state that somebody waits for.
type change struct {
	ctx     context.Context
	apply   func(next *state.State) error // changes a copy of what is decided, whose Version is already the next one
	config  *peerlink.Configuration       // that it brings; nil: none
	command bool                          // of an operator: submit sees to it
	end     chan error
}

// decide has a change decided, together with others that wait here. It returns the
// error of apply, of which a majority has confirmed what it was told, or ErrUnsettled:
// then the change may be decided or may not.
func (b *Replica) decide(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&change{ctx: ctx, apply: fenced(ctx, apply), config: config, end: make(chan error, 1)})
}

// decideCommand does so for a command, and gives up with errOutrun where another replica is faster.
func (b *Replica) decideCommand(ctx context.Context, config *peerlink.Configuration, apply func(next *state.State) error) error {
	return b.enqueue(&change{ctx: ctx, apply: fenced(ctx, apply), config: config, command: true, end: make(chan error, 1)})
}

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

// propose carries out what is pending, one batch after the other.
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

// settle makes attempts until nothing is pending.
func (b *Replica) settle(ctx context.Context) {
	var batch []*change
	for tries := 0; ctx.Err() == nil; tries++ {
		b.mu.Lock()
		batch = append(batch, b.pending...)
		b.pending = nil
		reached := b.reachesMajority()
		b.mu.Unlock()
		batch = slices.DeleteFunc(batch, func(c *change) bool {
			if c.ctx.Err() != nil || !reached {
				c.end <- ErrUnsettled
			}
			return c.ctx.Err() != nil || !reached
		})
		if len(batch) == 0 {
			return
		}
		if b.yields() && !b.yield(ctx) {
			return
		}
		done, again := b.attempt(ctx, batch, tries)
		if done {
			batch, tries = nil, 0
			continue
		}
		batch = b.agentBack(batch)
		if !again && !b.yield(ctx) {
			return
		}
	}
}

// errOutrun tells that a command was not carried out, since another replica has decided something meanwhile: submit
// looks again.
var errOutrun = errors.New("another replica has proposed meanwhile")

// handBack gives commands back to submit where another replica has become the one that proposed last.
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

// yields tells whether another proposer is likely to decide the next version just now.
func (b *Replica) yields() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	promised := b.contents.Record.Promised
	return promised != (quorum.Ballot{}) && promised.Proposer != b.proposer() && b.now()-b.promisedAt < yieldFor
}

// yield waits until the next version is decided, or for a while; false: ctx has ended.
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

// reachesMajority tells whether a majority of the voters was heard just now; the
// mutex is held.
func (b *Replica) reachesMajority() bool {
	return quorum.IsMajority(b.contents.Record.Decided.Voters, b.reaches)
}

func (b *Replica) reaches(id string) bool {
	if id == b.self.ID {
		return true
	}
	l := b.linkTo(id)
	return l != nil && b.now()-max(l.since, b.heardOf[id].at) < reachedWithin
}

// attempt tries once to decide the next version. It has answered all of the batch
// where done is true; again tells that the next attempt may begin at once. Whoever has
// tried more often goes before others.
func (b *Replica) attempt(ctx context.Context, batch []*change, tries int) (done, again bool) {
	ctx, cancel := b.within(ctx, attemptWithin)
	defer cancel()
	b.mu.Lock()
	base := b.contents.Record.Decided
	select {
	case <-b.advanced: // that is known here
	default:
	}
	first := base.Proposer == b.proposer() && b.firstUsed <= base.Version && b.contents.Record.Promised.Round <= quorum.FirstRound
	b.mu.Unlock()
	next, refused := b.combined(base, batch)
	if next.SameContent(base) && b.stillLatest(ctx, base) {
		answerAll(batch, refused)
		return true, true
	}
	if first && !next.SameContent(base) {
		return b.attemptFirst(ctx, base, next, batch, refused)
	}
	b.mu.Lock()
	b.rounds = max(b.rounds, b.contents.Record.Promised.Round, quorum.FirstRound) + 1 + uint64(tries)
	p := quorum.NewProposal(base, quorum.Ballot{Round: b.rounds, Proposer: b.proposer()})
	b.mu.Unlock()
	if !b.prepare(ctx, p, base) {
		return false, b.lost(p, base)
	}
	inherited := p.InheritedValue() != nil
	if !inherited && next.SameContent(base) { // a majority has just promised, so base is the newest
		answerAll(batch, refused)
		return true, true
	}
	if !b.commit(ctx, p, base, next, batch) {
		return false, b.lost(p, base)
	}
	if inherited {
		return false, true
	}
	answerAll(batch, refused)
	return true, true
}

// attemptFirst tries once to decide the version after one that this process proposed, in one phase.
func (b *Replica) attemptFirst(ctx context.Context, base, next state.State, batch []*change, refused map[*change]error) (done, again bool) {
	b.mu.Lock()
	b.firstUsed = next.Version
	b.mu.Unlock()
	p := quorum.NewFirstRoundProposal(base)
	if !b.commit(ctx, p, base, next, batch) {
		return false, b.lost(p, base)
	}
	answerAll(batch, refused)
	return true, true
}

// announce takes over what an attempt has decided, with its configuration, which a proposer that is no voter has not
// accepted, and tells all others.
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

// proposerMark ends the ID of the disk in a proposer's name.
const proposerMark = "#"

// proposer names this life of this process in ballots.
func (b *Replica) proposer() string {
	return b.self.ID + proposerMark + b.start.UTC().Format(time.RFC3339Nano)
}

// combined applies all changes to what is decided, one after the other; those that
// do not fit are left out, with their errors.
func (b *Replica) combined(base state.State, batch []*change) (next state.State, refused map[*change]error) {
	next, refused = base.Clone(), map[*change]error{}
	next.Version++
	next.Proposer = b.proposer()
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

func answerAll(batch []*change, refused map[*change]error) {
	for _, c := range batch {
		c.end <- refused[c]
	}
}

// prepare asks the voters for promises until a majority has given them.
func (b *Replica) prepare(ctx context.Context, p *quorum.Proposal, base state.State) bool {
	message := p.PrepareMessage()
	b.ask(ctx, base.Voters, func(string) peerlink.Ask { return peerlink.Ask{Prepare: &message} }, func(r *peerlink.Reply) {
		if r.Promise != nil {
			p.HandlePromise(*r.Promise)
		}
	}, func() bool { return p.IsPrepared() || p.CannotSucceed() })
	return p.IsPrepared()
}

// commit has a value accepted, with its configuration where an acceptor lacks that, and announces it once it is decided.
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

// configFor is the configuration of the value that is proposed: it came with a
// change, is here, or is fetched from a voter that has accepted the value.
func (b *Replica) configFor(ctx context.Context, p *quorum.Proposal, batch []*change) *peerlink.Configuration {
	id := p.Value().Config
	for _, c := range batch {
		if c.config != nil && isConfig(c.config, id) {
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
		config, _ = b.fetch(ctx, l, id)
	}
	return config
}

// ask puts a question to voters, this replica among them where it is one, until
// enough is true, all have answered, or ctx ends.
func (b *Replica) ask(ctx context.Context, voters []state.Voter, question func(id string) peerlink.Ask, take func(*peerlink.Reply), enough func() bool) {
	p := b.newPoll()
	defer p.end()
	b.mu.Lock()
	for _, v := range voters {
		if v.ID != b.self.ID {
			p.ask(b.linkTo(v.ID), question(v.ID))
			continue
		}
		p.out++
		own := question(v.ID)
		b.jobs.Go(func() { p.answers <- answer{v.ID, b.vote(ctx, &own)} })
	}
	left := p.out
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

// lost takes in why an attempt failed, helps those that are behind, and tells
// whether the next one may begin at once.
func (b *Replica) lost(p *quorum.Proposal, base state.State) (again bool) {
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

// linkOfHolder is a connection to a replica that knows a state; the mutex is held.
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
