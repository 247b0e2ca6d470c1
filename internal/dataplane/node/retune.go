package node

import (
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
)

func serverListTerms(cfg *EstateConfig) serverlist.Terms {
	return serverlist.Terms{Excess: cfg.WarmupExcess, Slack: cfg.WarmupSlack, Lag: cfg.ListLag, Regions: cfg.Regions}
}

// freshFor is how old control's statements may be for requests with a key; 0: any age.
func freshFor(cfg *EstateConfig) time.Duration {
	if !cfg.Revoked {
		return 0
	}
	return max(freshMargin, cfg.Revoke-freshMargin)
}

// retryCap is how many further tries for a service this edge node may save up; on the loop.
func (e *Estate) retryCap(service string) float64 {
	p := &e.yields.peers
	return handover.Tries(max(e.cfg.RetrySlack*budgetPart, min(1, e.cfg.RetrySlack)), p.CeilingParts, p.Gateways, p.Me, service)
}

// Retune takes over the bounds of cfg, its zones' regions and the list's lag while the edge node serves. What it was
// told at its start alone, as its addresses, is passed over. All is in force when Retune returns; requests under way go on.
func (e *Estate) Retune(cfg EstateConfig) {
	e.in(func(l *loop) {
		old := e.cfg
		e.cfg = cfg
		e.cfg.Listen, e.cfg.Peer, e.cfg.Zone, e.cfg.Region, e.cfg.Seed, e.cfg.Sockets, e.cfg.World = old.Listen, old.Peer, old.Zone, old.Region, old.Seed, old.Sockets, old.World
		e.cfg.Given, e.cfg.Failed = old.Given, old.Failed
		e.estate.freshFor.Store(int64(freshFor(&cfg)))
		e.field.RetryBudgetPerAttempt = cfg.RetryRatio * budgetPart
		e.serverList.Retell(serverListTerms(&cfg))
		if t := e.estate.tilled.Load(); t != nil {
			l.decide(e.terms(t.configuration, t.classes))
		}
		e.members(l)
	})
}
