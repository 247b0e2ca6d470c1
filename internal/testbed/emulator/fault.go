package emulator

import (
	"maps"
	"time"

	"pepperfall.example/pepperfall/internal/config/settings"
)

// restartAfter is when the platform starts a process again.
const restartAfter = 300 * time.Millisecond

// Kill kills processes of a node, all where none is named; the platform starts them again.
func (o *Cluster) Kill(n *Node, roles ...Role) {
	o.Stop(n, roles...)
	time.AfterFunc(restartAfter, func() { o.Start(n, roles...) })
}

// Stop kills processes of a node for good, until Start.
func (o *Cluster) Stop(n *Node, roles ...Role) {
	if len(roles) == 0 {
		roles = n.Roles()
	}
	n.Harm()
	for _, r := range roles {
		o.end(n, r, true)
	}
}

// Start starts what does not run.
func (o *Cluster) Start(n *Node, roles ...Role) {
	if len(roles) == 0 {
		roles = n.Roles()
	}
	for _, r := range roles {
		if n.running(r) {
			continue
		}
		if err := o.start(n, r); err != nil {
			o.Book.note("%s %s did not start: %v", n.Name, r, err)
		}
	}
	n.Mend()
}

// Terminate tells all processes of a node to end in order, kills them after the grace, and returns when they
// are gone.
func (o *Cluster) Terminate(n *Node) {
	now := time.Now()
	o.Book.term(n, now)
	n.leave()
	var ends []chan struct{}
	for _, r := range n.Roles() {
		n.mu.Lock()
		p := n.runs[r]
		if p != nil && !p.left {
			p.left = true
			close(p.leave)
			ends = append(ends, p.done)
		}
		n.mu.Unlock()
	}
	grace := time.After(o.bounds.Grace)
	for _, e := range ends {
		select {
		case <-e:
		case <-grace:
			o.Book.note("%s did not end within its grace", n.Name)
			for _, r := range n.Roles() {
				o.end(n, r, true)
			}
			return
		}
	}
}

// Drop ends the processes of a node whose machine has lost its power.
func (o *Cluster) Drop(n *Node) {
	for _, r := range n.Roles() {
		o.end(n, r, false)
	}
}

// Wipe loses the disk of a node that does not run.
func (o *Cluster) Wipe(n *Node) error { return n.disk.Wipe() }

// Disk is a core machine's.
func (n *Node) Disk() Disk { return n.disk }

// IP is the machine's address.
func (n *Node) IP() string { return n.machine.IP() }

// IP is the address of the server's machine.
func (s *Server) IP() string { return s.machine.IP() }

// Core tells whether the node is one of control.
func (n *Node) Core() bool { return n.class == "core" }

// Ctl is where operators reach a core machine.
func (n *Node) Ctl() string { return address(n.IP(), portCtl) }

// Front is where clients reach an edge machine.
func (n *Node) Front() string { return address(n.IP(), portHTTP) }

// Resettle changes lines of the settings of all processes while they serve.
func (o *Cluster) Resettle(lines map[string]string) error {
	all := maps.Clone(o.layout.Bounds)
	if all == nil {
		all = map[string]string{}
	}
	maps.Copy(all, lines)
	o.layout.Bounds = all
	for _, n := range o.Nodes {
		for _, role := range n.Roles() {
			next, err := o.settings(n, role)
			if err != nil {
				return err
			}
			n.mu.Lock()
			r := n.runs[role]
			n.mu.Unlock()
			if r != nil {
				r.held, _, _ = settings.Renew(r.held, next)
				r.settle(r.held)
			}
		}
	}
	return nil
}
