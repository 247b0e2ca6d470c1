package rollout

import "time"

// Config holds the planner's figures.
type Config struct {
	ReadyWithin  time.Duration // from a start to the first good health answer
	StopWithin   time.Duration // from the wish to stop to the end; then it is killed
	HungAfter    time.Duration // without a health answer, a serving instance is killed
	Pause        time.Duration // between two instances of a roll
	BackoffLeast time.Duration // after a first death; doubled with each that follows
	BackoffMost  time.Duration
	Jitter       float64       // share by which a backoff is spread, both ways
	StableAfter  time.Duration // serving so long makes up for the deaths before
	CrashLimit   int           // deaths within CrashSpan after which an instance rests
	CrashSpan    time.Duration
	CrashRest    time.Duration // then one more start is tried
}

// Phase is what an instance is doing.
type Phase int

// The phases of an instance.
const (
	Down     Phase = iota // not running, and not wanted
	Starting              // runs, and is not ready
	Serving
	Stopping
	Waiting // died; starts again after its backoff
	Resting // died too often; starts again after a long rest, or in a roll
)

var phaseNames = [...]string{"down", "starting", "serving", "stopping", "waiting", "resting"}

func (p Phase) String() string { return phaseNames[p] }

// Kind is a kind of order.
type Kind int

// The kinds of order.
const (
	Start   Kind = iota // want all instances up
	Reload              // have them take a generation over as they run
	Restart             // have them start anew under a generation, one at a time
	Stop                // end all
)

var kindNames = [...]string{"start", "reload", "restart", "stop"}

func (k Kind) String() string { return kindNames[k] }

// Event is something the planner is told.
type Event interface{ event() }

// Order is what an operator wants. An order other than Stop is refused while a
// roll is on.
type Order struct {
	Kind       Kind
	Generation string // for all but Stop
}

// Found tells of an instance that runs already, under a generation; empty: not
// known yet.
type Found struct{ Name, Generation string }

// Died tells that an instance's process has ended or could not be started.
type Died struct{ Name, Why string }

// Health is the answer of an instance to a look at its health.
type Health struct {
	Name       string
	Answers    bool   // it answered at all
	Ready      bool   // and takes clients
	Generation string // that it has in force
	Refused    string // the last generation that it would not take over
}

// Tick tells only that time has passed.
type Tick struct{}

// Action is something the planner wants done.
type Action interface{ action() }

// Launch starts an instance's process under a generation.
type Launch struct{ Name, Generation string }

// Offer puts a generation's files in place and tells the instance to reload.
type Offer struct{ Name, Generation string }

// Terminate asks an instance to stop; Kill ends it outright.
type Terminate struct{ Name string }

// Kill ends an instance outright.
type Kill struct{ Name, Why string }

// Say is a line of progress.
type Say struct{ Text string }

// Ended tells that an order is carried out, or why it is not.
type Ended struct {
	Kind       Kind
	OK         bool
	Why        string
	Generation string // now in force
}

func (Order) event()      {}
func (Found) event()      {}
func (Died) event()       {}
func (Health) event()     {}
func (Tick) event()       {}
func (Launch) action()    {}
func (Offer) action()     {}
func (Terminate) action() {}
func (Kill) action()      {}
func (Say) action()       {}
func (Ended) action()     {}

// Status is an instance as the planner knows it.
type Status struct {
	Name       string
	Phase      Phase
	Since      time.Duration // when the phase began
	Generation string        // that it runs under, or is to
	Deaths     int           // all that were not asked for
	LastDeath  string
	Wake       time.Duration // when it starts again, where it waits or rests
}
