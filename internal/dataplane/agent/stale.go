package agent

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Intervals of the log entries for a configuration that no replica confirms.
const (
	staleAfter     = 2 * time.Second
	reportInterval = 5 * time.Second // between two log entries while the condition lasts
)

// errStale is logged while no replica confirms the proxy's configuration as the newest.
var errStale = errors.New("no replica confirms what the proxy has in force")

// staleness tracks the current period without a confirmation.
type staleness struct {
	reportedAt time.Duration // when it was last logged; 0: not in this period
}

// reportStale logs an error, with the state of each replica, when the proxy's configuration
// has not been confirmed for staleAfter. The caller holds the mutex.
func (a *Agent) reportStale() {
	now := a.now()
	if a.proxy == nil || !a.freshness.known || now-a.freshness.confirmed < staleAfter {
		a.staleReport.reportedAt = 0
		return
	}
	if a.staleReport.reportedAt > 0 && now-a.staleReport.reportedAt < reportInterval {
		return
	}
	a.staleReport.reportedAt = now
	held, _ := a.state.HeldConfiguration()
	a.log.Error(errStale, "stale configuration", "for", now-a.freshness.confirmed, "held", held, "in_force", a.proxy.activeGeneration,
		"upstream", a.upstream.Chosen(), "replicas", a.upstream.describe(now))
}

// describe returns a log text with the state of each connected replica.
func (l *Upstream) describe(now time.Duration) string {
	var all []string
	for _, addr := range slices.Sorted(maps.Keys(l.replicas)) {
		c := l.replicas[addr]
		text := fmt.Sprintf("%s heard=%v ago standing=%v", addr, (now - c.lastHeard).Round(time.Millisecond), c.standing)
		if c.hasList {
			text += fmt.Sprintf(" list=%v old", (now - c.listReadStart).Round(time.Millisecond))
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}
