package audit

import "time"

// Event is something that a client, a loan server or the discovery agent saw.
// Times are those at which the judge is told of it; the judge never looks at a
// clock.
type Event interface{ event() }

// Asked tells that a request is about to be written whole to a connection that
// the edge node's machine has accepted.
type Asked struct {
	Request  string // new with every try
	Node     string
	Customer string
	Plan     string
	Class    string
	Key      string // the same with every try of one loan; empty where none is sent
	Units    float64
	Deadline time.Duration // how long the client waits, from now

	Operation, Query string // of an ordinary client's request
}

// Paused tells that an edge node's process is about to be stopped for a while; what it owes waits as
// long.
type Paused struct{ Node string }

// Resumed tells that it goes on.
type Resumed struct{ Node string }

// Unasked takes Asked back: its last byte could not be written.
type Unasked struct{ Request string }

// Answered tells that an answer's last byte reached the client.
type Answered struct {
	Request string
	Status  int
	Genuine bool // a 200 whose body a loan server made for this request
}

// Lost tells that the connection ended with no whole answer.
type Lost struct {
	Request string
	Reused  bool          // an earlier request was answered on it: the end may have crossed this one
	Begun   bool          // part of an answer had come
	Age     time.Duration // since the connection was opened
}

// Left tells that the client went away by itself: nothing more is owed.
type Left struct{ Request string }

// Sent tells that an attempt has come whole to a loan server.
type Sent struct {
	Request string
	Server  string
	Began   time.Duration // how long ago its first byte came
	Node    string        // whom it came from; empty: whom it was asked of
	Work    float64       // core milliseconds that it costs

	// Crossed: its node had ended its connection by the time at which the server read it, however late that came to
	// run. It was sent before that end, so its order among other attempts and answers is not known.
	Crossed bool
}

// NotRun tells that a loan server turned the attempt away unrun. It comes
// before its answer is written.
type NotRun struct{ Request, Server string }

// Ended tells that an attempt is no longer out: its answer is about to be
// written or its connection has ended.
type Ended struct{ Request, Server string }

// Ran tells that a request took effect. A rack that knows the key again
// reports nothing.
type Ran struct{ Request, Server, Key string }

// State is what a roster says of a loan server.
type State int

// The states of a roster.
const (
	Serving State = iota
	Draining
	Gone
)

// Told tells that the roster's statement about a server was written to an edge node.
type Told struct {
	Node, Server string
	State        State
	Started      bool // the statement holds the start that Started told of last
}

// Rack says to which group of servers that know each other's keys a server
// belongs.
type Rack struct{ Server, Rack string }

// Started tells that a server started cold: it can do Low core milliseconds a
// millisecond now and rises evenly to High within Warm.
type Started struct {
	Server    string
	Low, High float64
	Warm      time.Duration
}

// Fell tells that a cold server was pushed over.
type Fell struct{ Server string }

// Dying tells that an edge node's process is about to be ended outright, or
// ends by itself: what it holds is not owed any more.
type Dying struct{ Node string }

// Killed tells that it has ended so.
type Killed struct{ Node string }

func (Asked) event()    {}
func (Answered) event() {}
func (Lost) event()     {}
func (Left) event()     {}
func (Sent) event()     {}
func (NotRun) event()   {}
func (Ended) event()    {}
func (Ran) event()      {}
func (Told) event()     {}
func (Rack) event()     {}
func (Started) event()  {}
func (Fell) event()     {}
func (Killed) event()   {}
func (Dying) event()    {}
func (Unasked) event()  {}
func (Paused) event()   {}
func (Resumed) event()  {}
