package emulator

import "pepperfall.example/pepperfall/internal/platform/world"

// Ground is what a cluster stands on: machines, their network and their disks.
type Ground interface {
	IP(k Kind, zone, no int) string // of a machine; zones and the machines of a kind count from 0
	Machine(ip, zone, region string) Machine
	Disk(no int) Disk // of a core machine
}

// Kind is what a machine is for.
type Kind int

// The kinds of machines.
const (
	EdgeMachine Kind = iota // by zone
	CoreMachine             // by zone
	ServerMachine
	ClientMachine // one in a zone
	PlatformMachine
	OperatorMachine
)

// Machine has an address.
type Machine interface {
	IP() string
	Start() Process
}

// Process is one process' world: what it has open ends with it.
type Process interface {
	world.World
	Kill()                 // its connections are reset
	Dead() <-chan struct{} // closed when it has ended
}

// Disk keeps a core machine's files over the end of processes.
type Disk interface {
	Dir() string // where the files are to be
	Mount() world.Disk
	Kill() // the process that mounted it has ended
	Wipe() error
}
