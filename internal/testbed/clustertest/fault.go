package clustertest

import (
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/testbed/emulator"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// PowerOff takes the power of nodes. Their connections end without a packet to the other side.
func (o *SimCluster) PowerOff(nodes ...*emulator.Node) {
	for _, n := range nodes {
		n.Harm()
		o.machine(n).PowerOff()
		if d := o.Disk(n); d != nil {
			d.PowerLoss()
		}
		o.Drop(n)
	}
}

// PowerOn restores the power of nodes and starts their processes.
func (o *SimCluster) PowerOn(nodes ...*emulator.Node) {
	for _, n := range nodes {
		o.machine(n).PowerOn()
		o.Start(n)
	}
}

// Blackout takes the power of all machines in a zone, servers included.
func (o *SimCluster) Blackout(zone string) {
	o.PowerOff(o.Zone(zone)...)
	for _, s := range o.Platform.Servers("") {
		if s.Zone == zone {
			o.network.at(s.IP()).PowerOff()
			time.AfterFunc(4*time.Second, s.End)
		}
	}
}

// Relight restores the power of a zone; new servers of all services start there.
func (o *SimCluster) Relight(zone string) {
	o.PowerOn(o.Zone(zone)...)
	for _, s := range o.Layout().Services {
		for range s.Each {
			if s.In(zone) {
				o.Serve(s.Name, zone)
			}
		}
	}
}

// Cut cuts nodes off from others in both directions. If a core node is among them, those named first count as harmed.
func (o *SimCluster) Cut(a, b []*emulator.Node, how sim.Barrier) {
	o.CutOneWay(a, b, how)
	o.Net.Bar(ips(b), ips(a), how)
}

// CutOneWay drops or refuses all that nodes a send to nodes b.
func (o *SimCluster) CutOneWay(a, b []*emulator.Node, how sim.Barrier) {
	if o.matters(a, b) {
		for _, n := range a {
			n.Harm()
		}
	}
	o.Net.Bar(ips(a), ips(b), how)
}

// Join undoes a Cut or CutOneWay.
func (o *SimCluster) Join(a, b []*emulator.Node) {
	o.Net.Bar(ips(a), ips(b), sim.Open)
	o.Net.Bar(ips(b), ips(a), sim.Open)
	if o.matters(a, b) {
		for _, n := range a {
			n.Mend()
		}
	}
}

func (o *SimCluster) matters(a, b []*emulator.Node) bool {
	return slices.ContainsFunc(slices.Concat(a, b), func(n *emulator.Node) bool { return n.Core() })
}

// Isolate cuts a node off from all other nodes, but not from clients and servers.
func (o *SimCluster) Isolate(n *emulator.Node) { o.Cut([]*emulator.Node{n}, o.others(n), sim.Silent) }

// Rejoin undoes an Isolate.
func (o *SimCluster) Rejoin(n *emulator.Node) { o.Join([]*emulator.Node{n}, o.others(n)) }

func (o *SimCluster) others(n *emulator.Node) (all []*emulator.Node) {
	for _, x := range o.Nodes {
		if x != n {
			all = append(all, x)
		}
	}
	return all
}

func ips(nodes []*emulator.Node) (all []string) {
	for _, n := range nodes {
		all = append(all, n.IP())
	}
	return all
}

// Everywhere tells whether a configuration is in force at all proxies.
func (o *SimCluster) Everywhere(gen int) bool {
	return !slices.ContainsFunc(o.Edges(), func(n *emulator.Node) bool { return n.InForce() != gen })
}

// Harmed counts a node as harmed while a story lasts, for trouble with its disk.
func (o *SimCluster) Harmed(n *emulator.Node, story func()) {
	n.Harm()
	defer n.Mend()
	story()
}

// Disk returns the disk of a core machine; nil for an edge machine.
func (o *SimCluster) Disk(n *emulator.Node) *sim.Disk {
	if d, ok := n.Disk().(disk); ok {
		return d.Disk
	}
	return nil
}

func (o *SimCluster) machine(n *emulator.Node) *sim.Machine { return o.network.at(n.IP()) }
