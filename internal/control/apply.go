package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/control/delivery"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// applyConfiguration puts a decided configuration in force unless a newer one is, and sends it to the agents. The
// caller holds the mutex.
func (b *Replica) applyConfiguration(config *peerlink.Configuration) {
	if b.configuration != nil && config.Gen <= b.configuration.Gen {
		return
	}
	b.setConfiguration(config)
	b.runInBackground(func(context.Context) { // parsing a large one takes long
		parsed, err := routeconfig.Parse(config.Body)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.configuration == config && err == nil {
			b.parsedConfiguration = parsed
		}
	})
	b.log.Info("configuration in force", "gen", config.Gen)
	for agent := range b.agents {
		b.deliverConfiguration(agent)
	}
}

// setConfiguration records a decided configuration as the one in force. The caller holds the mutex.
func (b *Replica) setConfiguration(config *peerlink.Configuration) {
	b.configuration = config
	b.configurationHistory.SetCurrent(delivery.Version{Gen: config.Gen, Checksum: config.Sum()}, b.now(), b.decidedConfirmed)
}

// applyOrder puts a decided order about a zone, a proxy or a server in force unless a newer one is, and sends it to the
// agents that it concerns. The caller holds the mutex.
func (b *Replica) applyOrder(order peerlink.Zone) {
	if !order.Supersedes(b.ordersInForce[order.Zone]) {
		return
	}
	b.ordersInForce[order.Zone] = order
	b.log.Info("order in force", "about", order.Zone, "drain", order.Drain, "count", order.Count)
	if _, isServer := order.Server(); isServer {
		return // agents learn of it from the verdicts
	}
	node, isNode := order.Node()
	if isNode {
		b.proxies.setResting(node, order.Drain)
	}
	for agent := range b.agents {
		if !isNode || agent.name == node {
			agent.sendChange(&peerlink.Change{Zones: b.ordersFor(agent.name)})
		}
	}
}

// ordersFor returns the orders in force that concern a proxy. The caller holds the mutex.
func (b *Replica) ordersFor(proxy string) (all []peerlink.Zone) {
	for _, name := range slices.Sorted(maps.Keys(b.ordersInForce)) {
		_, isServer := b.ordersInForce[name].Server()
		if node, isNode := b.ordersInForce[name].Node(); !isServer && (!isNode || node == proxy) {
			all = append(all, b.ordersInForce[name])
		}
	}
	return all
}

// sleep waits for d by the replica's clock. It returns false if ctx ends first.
func (b *Replica) sleep(ctx context.Context, d time.Duration) bool {
	t := b.world.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-ctx.Done():
		return false
	}
}
