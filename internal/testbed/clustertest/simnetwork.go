package clustertest

import (
	"fmt"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/emulator"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// Ways are one-way latencies.
type Ways struct {
	Near, Zone, Region time.Duration // inside a zone, to another one, to another region
}

var usualWays = Ways{500 * time.Microsecond, 2 * time.Millisecond, 15 * time.Millisecond}

// SimNetwork is a simulated network with its machines and their disks.
type SimNetwork struct {
	Net  *sim.Net
	seed uint64
	Ways Ways

	mu       sync.Mutex
	places   map[string]place
	machines map[string]*sim.Machine
}

type place struct{ zone, region string }

// NewSimNetwork makes a network, to be used in a bubble of synctest.
func NewSimNetwork(seed uint64) *SimNetwork {
	g := &SimNetwork{Net: sim.New(seed), seed: seed, Ways: usualWays, places: map[string]place{}, machines: map[string]*sim.Machine{}}
	g.Net.Set(sim.Faults{Most: 200 * time.Microsecond, Lost: 0.002})
	g.Net.Ways(g.way)
	return g
}

// fewEdges of a zone are in one net with its cores.
const fewEdges = 90

// IP returns the address of a machine of a kind, by its zone and its number there.
func (g *SimNetwork) IP(k emulator.Kind, zone, no int) string {
	switch k {
	case emulator.EdgeMachine:
		if no >= fewEdges {
			no -= fewEdges
			return fmt.Sprintf("10.%d.%d.%d", zone+1, 1+no/250, 1+no%250)
		}
		return fmt.Sprintf("10.%d.0.%d", zone+1, 10+no)
	case emulator.CoreMachine:
		return fmt.Sprintf("10.%d.0.%d", zone+1, 100+no)
	case emulator.ServerMachine:
		return fmt.Sprintf("10.128.%d.%d", (no+1)/250, 1+(no+1)%250)
	case emulator.ClientMachine:
		return fmt.Sprintf("10.250.%d.1", zone)
	case emulator.PlatformMachine:
		return "10.200.0.1"
	}
	return "10.251.0.1"
}

type machine struct{ *sim.Machine }

func (m machine) Start() emulator.Process { return m.Machine.Start() }

// Machine adds a machine in a zone.
func (g *SimNetwork) Machine(ip, zone, region string) emulator.Machine {
	m := g.Net.Machine(ip) // before the lock: the net asks for ways under its own
	g.mu.Lock()
	defer g.mu.Unlock()
	g.places[ip], g.machines[ip] = place{zone, region}, m
	return machine{m}
}

func (g *SimNetwork) at(ip string) *sim.Machine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machines[ip]
}

// way is how far machines are from each other.
func (g *SimNetwork) way(from, to string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, b := g.places[from], g.places[to]
	switch {
	case a.zone == b.zone || a.zone == "" || b.zone == "":
		return g.Ways.Near
	case a.region == b.region:
		return g.Ways.Zone
	}
	return g.Ways.Region
}

type disk struct{ *sim.Disk }

func (disk) Dir() string         { return "/data/replica" }
func (d disk) Mount() world.Disk { return d.Disk.Mount() }
func (d disk) Wipe() error       { d.Disk.Wipe(); return nil }

// Disk makes the disk of a core machine.
func (g *SimNetwork) Disk(no int) emulator.Disk { return disk{sim.NewDisk(g.seed + uint64(no))} }
