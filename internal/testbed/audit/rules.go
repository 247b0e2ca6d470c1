package audit

import (
	"fmt"
	"time"
)

// Effect says what a repeat of a class's requests does.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // any number of runs
	Keyed                // a rack drops repeats for a time
	Unsafe               // one run only
)

// Class holds what the rules need to know of a class of requests.
type Class struct {
	Effect Effect
	Window time.Duration // for Keyed: how long a rack remembers a key, from the first attempt that may have run
	Racked bool          // for Keyed: keys are remembered by a rack and not by all servers
}

// Plan holds a plan's hard ceiling.
type Plan struct {
	Rate  float64 // units a second; 0: none
	Burst float64 // most units in the store, which starts full
	Slack float64 // units below nothing that are no break
}

// Rules are the figures of the five rules.
type Rules struct {
	Classes map[string]Class
	Plans   map[string]Plan

	AnswerSlack  time.Duration // final answers are in time this long after the client's deadline
	DrainGrace   time.Duration // sends may begin so long after the roster's statement
	Slack        time.Duration // by which real sockets and a busy machine widen each limit in time
	FallMultiple float64       // of its present capacity pushes a cold server over
	FallTime     time.Duration // when sent for so long
	FallSlack    float64       // core milliseconds beyond the budget that chance excuses
	Memory       time.Duration // how long a request that has ended is remembered
}

// CeilingSpan is the time whose worth of a ceiling's rate widens its slack on
// sockets (PROTOCOL, "The rules on sockets").
const CeilingSpan = 150 * time.Millisecond

// Rule names one of the five rules.
type Rule int

// The five rules, and what a route book adds.
const (
	OneAnswer Rule = iota + 1
	NoDoubleEffect
	DrainKept
	ColdSpared
	CeilingKept
	ChargedByBook // where requests are read under a route book: by one revision, in force then, at its cost
)

var ruleNames = map[Rule]string{OneAnswer: "one final answer", NoDoubleEffect: "no double effect",
	DrainKept: "drains kept", ColdSpared: "cold servers spared", CeilingKept: "ceilings kept", ChargedByBook: "charged by its book"}

func (r Rule) String() string { return ruleNames[r] }

// Break is a rule broken.
type Break struct {
	Rule     Rule
	At       time.Duration
	Request  string
	Server   string
	Node     string
	Customer string
	Why      string
}

// String tells the break in a sentence.
func (b Break) String() string {
	s := fmt.Sprintf("%v at %.3f s:", b.Rule, b.At.Seconds())
	for _, p := range []struct{ what, name string }{{"request", b.Request}, {"server", b.Server}, {"node", b.Node},
		{"customer", b.Customer}} {
		if p.name != "" {
			s += " " + p.what + " " + p.name
		}
	}
	return s + ": " + b.Why
}
