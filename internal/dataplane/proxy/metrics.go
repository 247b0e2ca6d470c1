package proxy

import (
	"time"

	"pepperfall.example/pepperfall/internal/platform/metrics"
)

// collectMetrics returns the metrics that this proxy exports.
func (g *Proxy) collectMetrics() []metrics.Figure {
	stats, ready := g.managed.TrafficStats(), 0
	if g.managed.Ready() {
		ready = 1
	}
	counter := func(name, help string, n uint64) metrics.Figure {
		return metrics.Figure{Name: name, Help: help, Kind: metrics.Counter, Value: float64(n)}
	}
	return []metrics.Figure{
		metrics.Count("proxy_ready", "1 where clients are to come.", ready),
		metrics.Count("proxy_configuration", "Number of the configuration in force.", int(g.generation.Load())),
		metrics.Seconds("proxy_confirmed_age_seconds", "Since what is in force was last confirmed to be the newest.", g.managed.ConfirmedAge()),
		metrics.Seconds("proxy_list_age_seconds", "Since the reading of the servers' list in force began.", g.listAge()),
		metrics.Count("proxy_requests_open", "Requests that are not answered yet.", stats.Open),
		metrics.Count("proxy_client_connections", "Connections of clients.", stats.Clients),
		counter("proxy_client_left_total", "Requests whose client left before its answer.", g.managed.DisconnectedClients()),
	}
}

// listAge returns the time since control began to read the server list in use, or since the start if there is no list.
func (g *Proxy) listAge() time.Duration { return g.now() - time.Duration(g.listReadAt.Load()) }
