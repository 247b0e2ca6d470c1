package node

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	reloadPause    = 50 * time.Millisecond // an invalid file may be half written, so it is read again
	maxReloadTries = 40
)

// reload applies the configuration file's addresses whenever hup signals a new file. A file that can't be used
// changes nothing.
func (n *Node) reload(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		for try := 1; n.cfg.Reload != nil; try++ {
			cfg, err := n.cfg.Reload()
			if err == nil {
				n.apply(cfg)
				break
			}
			if try == maxReloadTries {
				slog.Error("new configuration rejected; the old one stays in effect", "err", err)
				break
			}
			if !world.Sleep(ctx, n.world, reloadPause) {
				return
			}
		}
	}
}

// apply applies the settings that may change while the node runs.
func (n *Node) apply(cfg *Config) {
	if !reflect.DeepEqual(cfg.Settings, n.cfg.Settings) || cfg.Listen != n.cfg.Listen || cfg.PeerListen != n.cfg.PeerListen {
		slog.Warn("new configuration: changes other than the discovery address take effect at the next start")
	}
	n.tuningMu.Lock()
	defer n.tuningMu.Unlock()
	n.configuredDiscovery = cfg.Discovery
	addr := n.discoveryAddress(n.Tuning())
	slog.Info("new configuration", "discovery", addr)
	n.discovery.moveTo(addr)
}
