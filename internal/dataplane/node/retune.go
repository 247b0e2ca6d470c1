package node

import (
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/handover"
	"pepperfall.example/pepperfall/internal/dataplane/serverlist"
)

func serverListOptions(cfg *ManagedConfig) serverlist.Settings {
	return serverlist.Settings{Excess: cfg.WarmupExcess, Slack: cfg.WarmupSlack, Lag: cfg.ListLag, Regions: cfg.Regions}
}

// maxStatementAge returns how old control's confirmation may be for requests with a key; 0: any age.
func maxStatementAge(cfg *ManagedConfig) time.Duration {
	if !cfg.EnforceRevocation {
		return 0
	}
	return max(freshnessMargin, cfg.RevocationLimit-freshnessMargin)
}

// retryCap returns how many retries for a service this proxy may save up. It must run on the loop.
func (e *ManagedNode) retryCap(service string) float64 {
	p := &e.handover.peers
	return handover.RetryShare(max(e.cfg.RetrySlack*retryBudgetShare, min(1, e.cfg.RetrySlack)), p.CeilingParts, p.Gateways, p.Me, service)
}

// Retune applies the limits of cfg, the zones' regions and the list's lag while the proxy serves. Settings that are
// fixed at the start, such as addresses, are ignored. All others are in effect when Retune returns; requests in
// progress continue.
func (e *ManagedNode) Retune(cfg ManagedConfig) {
	e.runOnLoop(func(l *loop) {
		old := e.cfg
		e.cfg = cfg
		e.cfg.Listen, e.cfg.Peer, e.cfg.Zone, e.cfg.Region, e.cfg.Seed, e.cfg.Sockets, e.cfg.World = old.Listen, old.Peer, old.Zone, old.Region, old.Seed, old.Sockets, old.World
		e.cfg.OnUnitsTransferred, e.cfg.OnRequestFailed = old.OnUnitsTransferred, old.OnRequestFailed
		e.managed.maxStatementAge.Store(int64(maxStatementAge(&cfg)))
		e.services.RetryBudgetPerAttempt = cfg.RetryRatio * retryBudgetShare
		e.serverList.SetSettings(serverListOptions(&cfg))
		if t := e.managed.active.Load(); t != nil {
			l.decide(e.configUpdate(t.configuration, t.classes))
		}
		e.updateServers(l)
	})
}
