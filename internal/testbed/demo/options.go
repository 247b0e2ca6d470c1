package demo

import (
	"io"
	"time"

	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// Options say what a demo does.
type Options struct {
	Instances int
	Length    time.Duration
	Seed      uint64
	Dir       string    // for the fleet's state; it is empty
	Program   string    // the pepperfall program
	Out       io.Writer // progress and the closing table
	World     standin.Outside
	Steps     []Step        // nil: DefaultSteps
	Slack     time.Duration // by which the audit widens limits in time
	Load      float64       // multiplies the customers' rates; 0: 1
	Churn     float64       // share of the requests that open a connection of their own

	Description string         // OpenAPI file that is served to ordinary clients; empty: the platform's front asks
	Compile     daemon.Compile // of it
}

// Step is something that happens on the way.
type Step struct {
	At   float64 // as a share of the demo's length
	Do   Deed
	What int // number of the instance or loan server
}

// Deed is a kind of step.
type Deed string

// The deeds.
const (
	KillInstance   Deed = "kill instance"
	ReloadFleet    Deed = "reload"
	RestartFleet   Deed = "rolling restart"
	DrainServer    Deed = "drain loan server"
	RestartServer  Deed = "restart loan server"
	SlowServer     Deed = "slow loan server"
	HealServer     Deed = "heal loan server"
	SilenceRosters Deed = "silence discovery"
	WakeRosters    Deed = "wake discovery"
)

// DefaultSteps are those of `pepperfall demo` with so many instances.
func DefaultSteps(instances int) []Step {
	return []Step{
		{0.15, KillInstance, 0},
		{0.25, DrainServer, 1},
		{0.35, ReloadFleet, 0},
		{0.40, RestartServer, 1},
		{0.50, SlowServer, 2},
		{0.55, KillInstance, instances - 1},
		{0.60, SilenceRosters, 0},
		{0.65, HealServer, 2},
		{0.70, WakeRosters, 0},
		{0.75, RestartFleet, 0},
	}
}

// customers are the member libraries of the demo: some well inside their
// quotas, one municipal library that asks five times its own.
func customers(instances int, load float64) (list []standin.Customer) {
	add := func(key, plan string, rate, loans, units float64, spread int) {
		first := len(list) % instances
		list = append(list, standin.Customer{Key: key, Plan: plan, Rate: rate * load, Loans: loans, Units: units, First: first,
			Spread: min(max(1, spread), instances)})
	}
	add("0000000000000001", "municipal", 60, 0.5, 2, instances) // 90 units a second of a quota of 18, in bursts:
	list[0].Every, list[0].For = 8*time.Second, 3*time.Second   // between them quota and ceiling fill up again
	add("0000000000000002", "municipal", 4, 0.5, 2, instances)
	add("0000000000000003", "municipal", 4, 0.3, 1, instances/2)
	add("0000000000000010", "judetean", 12, 0.4, 2, instances)
	add("0000000000000011", "judetean", 8, 0.4, 2, instances/2)
	for i := range 6 {
		add("000000000000002"+string(rune('0'+i)), "orasenesc", 1.5, 0.4, 1, instances/2)
		add("000000000000003"+string(rune('0'+i)), "scolar", 0.7, 0.2, 1, instances/3)
	}
	return list
}
