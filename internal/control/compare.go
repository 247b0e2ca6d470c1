package control

import (
	"context"
	"time"

	"pepperfall.example/pepperfall/internal/control/delivery"
	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of rounds.
const (
	reportRoundInterval = 400 * time.Millisecond
	reportRoundTimeout  = 300 * time.Millisecond
	minWakeDelay        = 20 * time.Millisecond // between a wish for a round and the round
)

// lastReport is another replica's last report.
type lastReport struct {
	report     quorum.Report
	receivedAt time.Duration
	hasLeft    bool // it said that it ends, and has not come back since
}

// acceptedProposal is what a replica had accepted above the version that it knew.
type acceptedProposal struct {
	version uint64
	ballot  quorum.Ballot
}

// runReportRounds asks the others how far they are, ever again.
func (b *Replica) runReportRounds(ctx context.Context) {
	for ctx.Err() == nil {
		began := b.now()
		b.runReportRound(ctx)
		t := b.world.NewTimer(max(minWakeDelay, reportRoundInterval-(b.now()-began)))
		select {
		case <-t.C():
		case <-b.roundWanted:
			t.Stop()
			if !b.sleep(ctx, minWakeDelay) {
				return
			}
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// runReportRound compares how far all are: it confirms what is decided, helps those that
// are behind, finishes what a proposer has left behind, and sees to the voters.
func (b *Replica) runReportRound(ctx context.Context) {
	began, known := b.now(), b.decidedState().Version
	rctx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	reports := b.requestReports(rctx, func() bool { return false })
	cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	base := b.contents.Record.Decided
	b.updateContact(base, reports, began)
	for id, m := range reports {
		if l := b.linkTo(id); l != nil && m.Version < base.Version {
			b.sendDecided(l)
		}
	}
	b.store.RetryPending()
	b.resolveUndecided(base, reports)
	b.maintainVoters(known)
	b.forgetSilentReplicas()
}

// updateContact takes in what a round that began at a moment says of this replica's
// own standing; the mutex is held. One that a majority answers is in touch unless it
// lacks what somebody knew in the round before. That nothing newer is decided can't
// be told while the next version is being accepted.
func (b *Replica) updateContact(base state.State, reports map[string]quorum.Report, began time.Duration) {
	if quorum.IsLatest(base, reports) {
		b.decidedConfirmed = delivery.Confirmation{IsKnown: true, At: max(b.decidedConfirmed.At, began)}
	}
	answered := func(id string) bool { _, ok := reports[id]; return ok }
	if quorum.IsMajority(base.Voters, answered) && base.Version >= b.newestReported {
		b.majorityContact = delivery.Confirmation{IsKnown: true, At: began}
	}
	b.newestReported = 0
	for _, m := range reports {
		b.newestReported = max(b.newestReported, m.Version)
	}
}

// resolveUndecided has a value decided, or found not to be, that somebody accepted and that
// nobody has seen to for a whole round; the mutex is held.
func (b *Replica) resolveUndecided(base state.State, reports map[string]quorum.Report) {
	before := b.acceptedUndecided
	b.acceptedUndecided = map[string]acceptedProposal{}
	left := false
	for id, m := range reports {
		if m.Version == base.Version && m.Accepted != (quorum.Ballot{}) {
			b.acceptedUndecided[id] = acceptedProposal{m.Version, m.Accepted}
			left = left || before[id] == b.acceptedUndecided[id]
		}
	}
	if !left || b.finishInProgress || b.leaving {
		return
	}
	b.finishInProgress = true
	b.runInBackground(func(ctx context.Context) {
		_ = b.decide(ctx, nil, func(*state.State) error { return nil })
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finishInProgress = false
	})
}

// requestReports asks all replicas that are connected how far they are, until enough is
// true, all have answered, or ctx ends. They go by ID, this one's among them.
func (b *Replica) requestReports(ctx context.Context, enough func() bool) map[string]quorum.Report {
	all := map[string]quorum.Report{}
	b.collectReports(ctx, all, enough)
	return all
}

func (b *Replica) collectReports(ctx context.Context, all map[string]quorum.Report, enough func() bool) {
	p := b.newPoll()
	defer p.cancel()
	b.mu.Lock()
	all[b.self.ID] = b.contents.Record.Report()
	for _, links := range b.links {
		p.ask(links[len(links)-1], peerlink.Ask{Report: true})
	}
	b.mu.Unlock()
	for left := p.sentCount; left > 0 && !enough(); left-- {
		select {
		case a := <-p.answers:
			if a.reply == nil || a.reply.Report == nil {
				continue
			}
			m := *a.reply.Report
			all[m.ID] = m
			b.mu.Lock()
			b.lastReports[m.ID] = lastReport{report: m, receivedAt: b.now()}
			b.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// isStillLatest tells whether a majority says that nothing but other voters is decided above base.
func (b *Replica) isStillLatest(ctx context.Context, base state.State) bool {
	ctx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	defer cancel()
	reports := map[string]quorum.Report{}
	latest := func() bool { return quorum.IsLatest(base, reports) }
	b.collectReports(ctx, reports, latest)
	return latest()
}

// confirmedState returns what is decided once a majority of its voters has said that
// nothing was decided above it when confirm was called; else ErrNoMajority.
func (b *Replica) confirmedState(ctx context.Context) (state.State, error) {
	b.mu.Lock()
	reached := b.isMajorityReachable()
	b.mu.Unlock()
	if !reached {
		return state.State{}, ErrNoMajority
	}
	reports := map[string]quorum.Report{}
	var base state.State
	latest := func() bool {
		base = b.decidedState()
		return quorum.IsLatest(base, reports)
	}
	rctx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	b.collectReports(rctx, reports, latest)
	cancel()
	if latest() {
		return base, nil
	}
	// Something may be decided above it, or is about to be: ballots tell.
	if err := b.decide(ctx, nil, func(*state.State) error { return nil }); err != nil {
		return state.State{}, err
	}
	return b.decidedState(), nil
}
