package peerlink

import (
	"time"

	"pepperfall.example/pepperfall/internal/control/state"
)

// Command is an operator's order on its way from the replica that received it to the one that proposes it. It holds one of
// Config, Order and Lock.
type Command struct {
	Config *Configuration // is to be in force
	Order  *state.Order   // without a count
	Known  bool           // with Order: the caller's settings know its zone
	Floor  *Floor         // with Order: what has to stay in service when a node rests
	Lock   *state.Lock    // is to be granted; with For 0 it is to be let go
	Since  uint64         // the newest version that the caller knew: what was ordered about the same after it goes before
	Token  string         // of the lock that fences the command; empty: none does
	Within time.Duration  // after this the caller no longer waits
}

// Floor holds the parts of the proxies that have to stay in service when a node rests.
type Floor struct {
	Zone, All float64 // parts of the proxies of a zone, and of all
	Force     bool    // no matter what stays; the proxy need not be known yet
}

// Refusal says why a command was surely not carried out.
type Refusal uint8

// The refusals.
const (
	NotRefused Refusal = iota
	RefusedConflict
	RefusedLocked
	RefusedZone
	RefusedNode
	RefusedServer
	RefusedTight
	RefusedOutrun // something was decided meanwhile; the caller may look again
)

// Outcome answers a Command.
type Outcome struct {
	Decided bool // it is decided
	Refusal Refusal
	Text    string         // of the refusal
	Version uint64         // the newest that the replica knows
	Held    state.ConfigID // the configuration in force then
	Lock    state.Lock     // with RefusedLocked: who holds it
}
