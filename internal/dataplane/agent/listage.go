package agent

import (
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// errOldList is logged while the proxy's server list is so old that servers in it may have drained.
var errOldList = errors.New("the list of servers is too old")

// listAge tracks the age of the agent's server list. Times are on the agent's monotonic
// clock.
type listAge struct {
	known         bool
	readStart     time.Duration // when the control plane began to read the list from the platform
	followedSince time.Duration // when the current upstream replica was chosen
	reportedAt    time.Duration // when the list's age was last logged; 0: not since it became too old
}

// restart records that another upstream replica was chosen.
func (a *listAge) restart(now time.Duration) { a.followedSince = now }

// addPong records an upstream replica's Pong. The replica sends every list that it has before the Pong.
func (a *listAge) addPong(p *peerlink.Pong) {
	if p.List == nil || p.Sent < a.followedSince {
		return
	}
	if at := p.Sent - p.List.Age; !a.known || at > a.readStart {
		a.known, a.readStart = true, at
	}
}

// reading returns the list's age for a Pong to the proxy; nil: there is no list.
func (a *listAge) reading(now time.Duration) *peerlink.Reading {
	if !a.known {
		return nil
	}
	return &peerlink.Reading{Age: now - a.readStart}
}

// reportOldList logs an error, with the state of each replica, while the list is older than
// MaxListAge. The caller holds the mutex.
func (a *Agent) reportOldList() {
	now := a.now()
	if a.proxy == nil || !a.serverListAge.known || now-a.serverListAge.readStart < a.cfg.MaxListAge {
		a.serverListAge.reportedAt = 0
		return
	}
	if a.serverListAge.reportedAt > 0 && now-a.serverListAge.reportedAt < reportInterval {
		return
	}
	a.serverListAge.reportedAt = now
	a.log.Error(errOldList, "old list", "age", now-a.serverListAge.readStart, "upstream", a.upstream.Chosen(), "replicas", a.upstream.describe(now))
}
