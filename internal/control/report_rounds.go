package control

import (
	"context"
	"time"

	"pepperfall.example/pepperfall/internal/control/delivery"
	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// Times of report rounds.
const (
	reportRoundInterval = 400 * time.Millisecond
	reportRoundTimeout  = 300 * time.Millisecond
	minWakeDelay        = 20 * time.Millisecond // from the request of a round or lease step to its start, so that requests are merged
)

// lastReport is another replica's last report.
type lastReport struct {
	report     quorum.Report
	receivedAt time.Duration
	hasLeft    bool // it announced that it ends, and has not come back since
}

// acceptedProposal is a proposal that a replica accepted on top of its decided version.
type acceptedProposal struct {
	version uint64
	ballot  quorum.Ballot
}

// runReportRounds runs report rounds periodically, and when one is requested, until ctx ends.
func (b *Replica) runReportRounds(ctx context.Context) {
	for ctx.Err() == nil {
		began := b.now()
		b.runReportRound(ctx)
		timer := b.world.NewTimer(max(minWakeDelay, reportRoundInterval-(b.now()-began)))
		select {
		case <-timer.C():
		case <-b.roundWanted:
			timer.Stop()
			if !b.sleep(ctx, minWakeDelay) {
				return
			}
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// runReportRound asks all replicas for their reports. It confirms the decided state, sends it to replicas that are behind,
// resolves proposals whose proposer has failed, and starts changes of the voters.
func (b *Replica) runReportRound(ctx context.Context) {
	began, known := b.now(), b.decidedState().Version
	roundCtx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	reports := b.requestReports(roundCtx, func() bool { return false })
	cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	base := b.contents.Record.Decided
	b.updateContact(base, reports, began)
	for id, report := range reports {
		if link := b.linkTo(id); link != nil && report.Version < base.Version {
			b.sendDecided(link)
		}
	}
	b.store.RetryPending()
	b.resolveUndecided(base, reports)
	b.maintainVoters(known)
	b.forgetSilentReplicas()
}

// updateContact updates when this replica last confirmed the decided state and when it was last in touch with a majority,
// by a round's reports; the mutex is held. It is in touch if a majority of the voters answered and it has every version
// that was reported in the previous round. Being in touch doesn't need a confirmation, since no round can confirm that
// nothing newer is decided while the next version is being accepted.
func (b *Replica) updateContact(base state.State, reports map[string]quorum.Report, began time.Duration) {
	if quorum.IsLatest(base, reports) {
		b.decidedConfirmed = delivery.Confirmation{IsKnown: true, At: max(b.decidedConfirmed.At, began)}
	}
	answered := func(id string) bool { _, ok := reports[id]; return ok }
	if quorum.IsMajority(base.Voters, answered) && base.Version >= b.newestReported {
		b.majorityContact = delivery.Confirmation{IsKnown: true, At: began}
	}
	b.newestReported = 0
	for _, report := range reports {
		b.newestReported = max(b.newestReported, report.Version)
	}
}

// resolveUndecided starts a ballot if a replica reported the same accepted proposal in two rounds in a row, without a
// decision: its proposer may have failed. The ballot decides on that value or finds that it wasn't chosen. The mutex is
// held.
func (b *Replica) resolveUndecided(base state.State, reports map[string]quorum.Report) {
	before := b.acceptedUndecided
	b.acceptedUndecided = map[string]acceptedProposal{}
	stale := false
	for id, report := range reports {
		if report.Version == base.Version && report.Accepted != (quorum.Ballot{}) {
			b.acceptedUndecided[id] = acceptedProposal{report.Version, report.Accepted}
			stale = stale || before[id] == b.acceptedUndecided[id]
		}
	}
	if !stale || b.finishInProgress || b.leaving {
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

// requestReports asks all connected replicas for their reports until enough returns true, all have answered, or ctx ends.
// It returns the reports by replica ID, this replica's among them.
func (b *Replica) requestReports(ctx context.Context, enough func() bool) map[string]quorum.Report {
	all := map[string]quorum.Report{}
	b.collectReports(ctx, all, enough)
	return all
}

// collectReports is requestReports that adds to all, which enough may look at.
func (b *Replica) collectReports(ctx context.Context, all map[string]quorum.Report, enough func() bool) {
	poll := b.newPoll()
	defer poll.cancel()
	b.mu.Lock()
	all[b.self.ID] = b.contents.Record.Report()
	for _, links := range b.links {
		poll.ask(links[len(links)-1], peerlink.Ask{Report: true})
	}
	b.mu.Unlock()
	for left := poll.sentCount; left > 0 && !enough(); left-- {
		select {
		case answer := <-poll.answers:
			if answer.reply == nil || answer.reply.Report == nil {
				continue
			}
			report := *answer.reply.Report
			all[report.ID] = report
			b.mu.Lock()
			b.lastReports[report.ID] = lastReport{report: report, receivedAt: b.now()}
			b.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// isStillLatest reports whether a majority confirms that nothing above base is decided except changes of the voters.
func (b *Replica) isStillLatest(ctx context.Context, base state.State) bool {
	ctx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	defer cancel()
	reports := map[string]quorum.Report{}
	latest := func() bool { return quorum.IsLatest(base, reports) }
	b.collectReports(ctx, reports, latest)
	return latest()
}

// confirmedState returns the decided state once a majority of its voters has confirmed that nothing above it was decided
// when confirmedState was called. It returns ErrNoMajority if no majority can be reached.
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
	roundCtx, cancel := b.withTimeout(ctx, reportRoundTimeout)
	b.collectReports(roundCtx, reports, latest)
	cancel()
	if latest() {
		return base, nil
	}
	// A newer state may be decided or about to be: a ballot settles that.
	if err := b.decide(ctx, nil, func(*state.State) error { return nil }); err != nil {
		return state.State{}, err
	}
	return b.decidedState(), nil
}
