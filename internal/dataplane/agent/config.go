package agent

import (
	"net"
	"time"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// graceMargin is how long before the end of the grace period a leaving agent exits by itself.
const graceMargin = 500 * time.Millisecond

// ConfigFromSettings derives an agent's configuration from its process's settings.
func ConfigFromSettings(s *settings.Settings, life time.Time) Config {
	return Config{
		Hello:         peerlink.Hello{Name: s.Self.Name, Life: life.UnixNano(), IP: s.Self.IP, Zone: s.Self.Zone, Region: s.Self.Region, Peer: s.Peer(s.Self.IP)},
		ListenAddress: s.AgentInner(),
		Seeds:         SeedAddresses(s),
		LeaveGrace:    max(s.Terms.Bounds.Grace-graceMargin, 0),
		MaxListAge:    s.Terms.Bounds.Drain,
	}
}

// SetSettings applies the settings that may change at runtime: seeds, grace period and drain time.
func (a *Agent) SetSettings(s *settings.Settings) {
	next := ConfigFromSettings(s, time.Time{})
	a.mu.Lock()
	a.cfg.LeaveGrace, a.cfg.MaxListAge = next.LeaveGrace, next.MaxListAge
	a.mu.Unlock()
	a.SetSeeds(next.Seeds)
}

// SeedAddresses returns the internal addresses of the replicas whose control addresses are listed as seeds.
func SeedAddresses(s *settings.Settings) (all []string) {
	for _, ctl := range s.Network.Seeds {
		if host, _, err := net.SplitHostPort(ctl); err == nil {
			all = append(all, s.Inner(host))
		}
	}
	return all
}
