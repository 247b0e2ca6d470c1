package agent

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Times of reporting that nobody confirms what the proxy has in force.
const (
	staleAfter     = 2 * time.Second
	reportInterval = 5 * time.Second // between two reports of one episode
)

// errStale is logged while no replica confirms what the proxy has in force.
var errStale = errors.New("no replica confirms what the proxy has in force")

// staleness is the present episode without a confirmation.
type staleness struct {
	reportedAt time.Duration // when it was logged last; 0: not in this episode
}

// reportStale logs, with what is known of each replica, that what the proxy has
// in force has not been confirmed for long; the mutex is held.
func (h *Agent) reportStale() {
	now := h.now()
	if h.proxy == nil || !h.freshness.known || now-h.freshness.confirmed < staleAfter {
		h.staleReport.reportedAt = 0
		return
	}
	if h.staleReport.reportedAt > 0 && now-h.staleReport.reportedAt < reportInterval {
		return
	}
	h.staleReport.reportedAt = now
	held, _ := h.state.HeldConfiguration()
	h.log.Error(errStale, "stale configuration", "for", now-h.freshness.confirmed, "held", held, "in_force", h.proxy.activeGeneration,
		"upstream", h.upstream.Chosen(), "replicas", h.upstream.describe(now))
}

// describe tells in words what is known of each replica that is connected.
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
