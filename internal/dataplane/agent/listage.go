package agent

import (
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// errOldList is logged while the list that the proxy goes by is older than servers that leave allow.
var errOldList = errors.New("the list of servers is too old")

// listAge is how old the list of servers is that the agent holds. Times are of its
// steady clock.
type listAge struct {
	known         bool
	readStart     time.Duration // when the reading began that it holds
	followedSince time.Duration // since when the present upstream replica is followed
	reportedAt    time.Duration // when its age was logged last; 0: not in this episode
}

// restart notes that another upstream replica is followed from now on.
func (a *listAge) restart(now time.Duration) { a.followedSince = now }

// addPong takes in an upstream replica's Pong: all that it knew of the list was sent ahead of it.
func (a *listAge) addPong(p *peerlink.Pong) {
	if p.List == nil || p.Sent < a.followedSince {
		return
	}
	if at := p.Sent - p.List.Age; !a.known || at > a.readStart {
		a.known, a.readStart = true, at
	}
}

// reading is what the proxy is told of the list; nil: there is none.
func (a *listAge) reading(now time.Duration) *peerlink.Reading {
	if !a.known {
		return nil
	}
	return &peerlink.Reading{Age: now - a.readStart}
}

// reportOldList logs, with what is known of each replica, that the list is older
// than it may be; the mutex is held.
func (h *Agent) reportOldList() {
	now := h.now()
	if h.proxy == nil || !h.serverListAge.known || now-h.serverListAge.readStart < h.cfg.MaxListAge {
		h.serverListAge.reportedAt = 0
		return
	}
	if h.serverListAge.reportedAt > 0 && now-h.serverListAge.reportedAt < reportInterval {
		return
	}
	h.serverListAge.reportedAt = now
	h.log.Error(errOldList, "old list", "age", now-h.serverListAge.readStart, "upstream", h.upstream.Chosen(), "replicas", h.upstream.describe(now))
}
