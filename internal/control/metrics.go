package control

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/metrics"
)

// collectMetrics returns this replica's metrics.
func (b *Replica) collectMetrics() []metrics.Figure {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	since := func(ever bool, at time.Duration) time.Duration {
		if !ever {
			return now
		}
		return now - at
	}
	behind, following, longest := 0, 0, time.Duration(0)
	for agent := range b.agents {
		if at, isBehind := b.configurationHistory.BehindSinceConnected(&agent.delivery); isBehind {
			behind++
			longest = max(longest, now-at)
		}
		if agent.delivery.IsUpstream {
			following++
		}
	}
	reached := 0
	for _, voter := range b.contents.Record.Decided.Voters {
		if b.isReachable(voter.ID) {
			reached++
		}
	}
	return []metrics.Figure{
		metrics.Count("control_state_version", "Version of the decided state.", int(b.contents.Record.Decided.Version)),
		metrics.Count("control_configuration", "Number of the configuration in force.", int(b.configurationHistory.Current().Gen)),
		metrics.Seconds("control_touch_age_seconds", "Since a majority last answered this replica, which lacked nothing.", since(b.majorityContact.IsKnown, b.majorityContact.At)),
		metrics.Seconds("control_confirmed_age_seconds", "Since a majority last confirmed that nothing newer was decided.", since(b.decidedConfirmed.IsKnown, b.decidedConfirmed.At)),
		metrics.Seconds("control_list_age_seconds", "Since the reading of the servers' list that is known here began.", since(b.latestListRead.isKnown, b.latestListRead.startedAt)),
		metrics.Seconds("control_list_reading_seconds", "For how long this replica's last reading of the list took.", b.ownListReads.lastReadTook),
		{Name: "control_list_readings_failed_total", Help: "Readings of the list by this replica that failed.", Kind: metrics.Counter, Value: float64(b.ownListReads.failureCount)},
		metrics.Count("control_voters", "Replicas that vote.", len(b.contents.Record.Decided.Voters)),
		metrics.Count("control_voters_reached", "Those of them that this one has heard lately, itself included.", reached),
		metrics.Count("control_agents", "Agents that are connected.", len(b.agents)),
		metrics.Count("control_agents_following", "Agents that follow this replica.", following),
		metrics.Count("control_agents_behind", "Agents that lack the configuration in force.", behind),
		metrics.Seconds("control_agents_behind_longest_seconds", "For how long the one furthest behind has been so.", longest),
	}
}
