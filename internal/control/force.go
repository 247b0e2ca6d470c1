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

// applyConfiguration puts a decided configuration in force; the mutex is held.
func (b *Replica) applyConfiguration(p *peerlink.Configuration) {
	if b.configuration != nil && p.Gen <= b.configuration.Gen {
		return
	}
	b.setConfiguration(p)
	b.runInBackground(func(context.Context) { // a large one takes long
		parsed, err := routeconfig.Parse(p.Body)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.configuration == p && err == nil {
			b.parsedConfiguration = parsed
		}
	})
	b.log.Info("configuration in force", "gen", p.Gen)
	for h := range b.agents {
		b.deliver(h)
	}
}

// setConfiguration notes a decided configuration as the one in force; the mutex is held.
func (b *Replica) setConfiguration(p *peerlink.Configuration) {
	b.configuration = p
	b.configurationHistory.SetCurrent(delivery.Version{Gen: p.Gen, Checksum: p.Sum()}, b.now(), b.decidedConfirmed)
}

// applyOrder does the same with an order about a zone.
func (b *Replica) applyOrder(z peerlink.Zone) {
	if !z.Supersedes(b.ordersInForce[z.Zone]) {
		return
	}
	b.ordersInForce[z.Zone] = z
	b.log.Info("order in force", "about", z.Zone, "drain", z.Drain, "count", z.Count)
	if _, is := z.Server(); is {
		return // verdicts tell of it
	}
	node, is := z.Node()
	if is {
		b.proxies.rest(node, z.Drain)
	}
	for h := range b.agents {
		if !is || h.name == node {
			h.change(&peerlink.Change{Zones: b.ordersFor(h.name)})
		}
	}
}

// ordersFor are the confirmed ones that concern a proxy; the mutex is held.
func (b *Replica) ordersFor(proxy string) (all []peerlink.Zone) {
	for _, name := range slices.Sorted(maps.Keys(b.ordersInForce)) {
		_, server := b.ordersInForce[name].Server()
		if node, is := b.ordersInForce[name].Node(); !server && (!is || node == proxy) {
			all = append(all, b.ordersInForce[name])
		}
	}
	return all
}

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
