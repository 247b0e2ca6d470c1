package policy

import "time"

// RequestID identifies one request that a client sent to one gateway; a client's retry has another ID. An ID
// is never reused.
type RequestID uint64

// ServerID identifies a server; every gateway uses the same ID.
type ServerID uint32

// Effect says whether a request may run more than once. Higher values are stricter.
type Effect int

// The values of Effect.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // servers of one DedupScope drop repeats, for DedupWindow
	Unsafe               // must not run twice
)

// DedupScope says which servers drop repeats of a keyed request.
type DedupScope int

// The values of DedupScope.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// Class holds the settings of a class of requests.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer within it earns full worth
	Deadline      time.Duration // a client waits this long, over all its tries
	Effect        Effect
	DedupScope    DedupScope    // for Keyed
	DedupWindow   time.Duration // for Keyed: how long repeats are remembered
	Streaming     bool          // the answer is a stream, announced by Started
}

// Plan holds the limits of each customer on the plan, over all gateways together. The rate quota and the hard
// ceiling are token buckets of units: gateways may overshoot the quota for a short time, never the ceiling.
type Plan struct {
	Name              string
	Rate              float64 // units a second; 0: no rate quota
	Burst             float64 // most units the quota's store holds
	MaxInFlight       int     // most attempts out at once; 0: no such quota
	OverQuotaEarnings float64 // share of the worth earned beyond the quota
	OverQuotaCharge   float64 // share of the worth charged beyond the quota
	HardRate          float64 // units a second of the hard ceiling; 0: none
	HardBurst         float64 // most units the ceiling's store holds
	HardInitial       float64 // of them, units that all gateways have together when they start
}

// Settings configures a gateway at its start.
type Settings struct {
	Me       int // number of this gateway, from 0
	Gateways int // number of gateways
	Zone     string
	Classes  []Class
	Plans    []Plan

	Resolution        time.Duration // least time between two events in sequence
	MaxAttempts       int           // attempts allowed for one request; 0: any number
	CanCancel         bool          // Cancel is permitted
	CanMessagePeers   bool          // Tell is permitted
	MessagesPerSecond float64       // peer messages a gateway takes in a second
	MaxRequestUnits   float64       // most units of one request
	MaxRetryAfter     time.Duration // longest advice clients heed; 0: no advice
	MustWatch         bool          // server changes come only to those that Watch
	SizeKnown         bool          // Server.Weight is the size of the machine
	CrossZoneCost     float64       // charge for an attempt that crosses zones
	LoadReportNames   []string      // names of the values in Load

	AnswerGrace  time.Duration // final answers are in time this long after a deadline
	MinColdShare float64       // a starting server has at least this share of its capacity
	WarmupTime   time.Duration // and all of it this long after its start
	FailFactor   float64       // a cold server falls when sent this multiple of its capacity
	FailTime     time.Duration // for this long

	MultiService *MultiService // set where gateways serve many services, for customers told with Terms; nil: one service
}

// MultiService holds what a gateway of many services goes by beside its settings.
type MultiService struct {
	RetryBudgetPerAttempt float64                      // of a service's budget of further attempts, earned by each first attempt here
	MaxRetryBudget        func(service string) float64 // most of it that is kept
	ColdShare             float64                      // share of its capacity that a cold server has
	ColdWindow            time.Duration                // a cold server's sends are counted over this
	ReportInterval        time.Duration                // between two reports to a peer
}

// Names of the load report values that the package uses.
const (
	LoadActive  = "active"  // requests in progress
	LoadWaiting = "waiting" // requests queued
)

// Code says how an attempt at a server ended.
type Code int

// The values of Code. NeverRan says which of them prove that the server never ran the request.
const (
	OK Code = iota
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NoRetry
)

// NeverRan reports whether the code proves that the attempt never ran.
func (c Code) NeverRan() bool { return c == Full || c == ConnectFailed || c == NoRetry }

// Event is an input of Gateway.Handle.
type Event interface{ event() }

// Request is a client's request. The gateway gives exactly one final answer to it: that of a server, Refuse
// or Fail.
type Request struct {
	ID           RequestID
	Customer     string
	Plan         string
	Class        string
	Units        float64
	Remaining    time.Duration // until the client gives up this try
	FirstGateway int           // the customer comes in through Spread gateways, at least
	GatewayCount int           // one, counted round from First; this one is among them
	Retry        bool          // the client marked it as a repeat
	Effect       Effect        // asks for more care than its class does; less counts for nothing
	Service      string        // only its servers can run it; empty: all can
	Regions      []string      // only servers of these regions may run it; empty: all may
	MaxAttempts  int           // servers it may be sent to; 0: Settings.MaxAttempts
	Priority     int           // its rank among those that wait for a server, 0 the first; where many services are served
	WaitedBefore time.Duration // how long its client has waited before this try, as far as that is known
}

// Started reports that the answer of a Streaming class has begun.
type Started struct {
	ID      RequestID
	Attempt int
	Server  ServerID
}

// Outcome reports how an attempt ended; there is one for each Send.
type Outcome struct {
	ID          RequestID
	Attempt     int // attempts of a request count from 0
	Server      ServerID
	Code        Code
	Latency     time.Duration
	Final       bool      // the request has its final answer
	ActualUnits float64   // true units, where they are settled afterwards; else 0
	Load        []float64 // load report, as Settings.LoadReportNames; or nil
}

// ClientGone tells that the client left; nothing more is owed for the request.
type ClientGone struct{ ID RequestID }

// Timer reports that a timer set by SetTimer has expired.
type Timer struct{ Token string }

// PeerMessage is a message that another gateway sent with SendPeer.
type PeerMessage struct {
	From int
	Data []byte
}

// State is a server's state in the list.
type State int

// The states of a server.
const (
	Running State = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID           ServerID
	Zone         string
	Cell         int
	State        State
	HasStartTime bool
	StartTime    time.Duration // time of its last start, where HasStartTime
	Weight       float64

	Service      string
	Region       string
	Slots        int           // requests it works on at a time; 0: not told
	ExtraLatency time.Duration // the latency that sending there is held to cost beside its own
	ColdUntil    time.Duration // until then it bears ColdSendRate a second, from all gateways
	ColdSendRate float64
}

// ServerListKind says what a Members event holds.
type ServerListKind int

// The values of ServerListKind.
const (
	ChangedServers ServerListKind = iota // changed servers only
	CompleteList                         // the whole list; a server not in it is gone
	CachedList                           // a whole list, as last held; may be old
	WatchFailed                          // Watch failed; keep the list
)

// ServerList brings the server list or changes to it.
type ServerList struct {
	Kind    ServerListKind
	Servers []Server
}

// ConfigUpdate replaces the classes and plans of the same names, and adds the others.
type ConfigUpdate struct {
	Classes []Class
	Plans   []Plan
}

// GatewaySet tells how many gateways there may be from now on, and which number this one has.
type GatewaySet struct {
	Me, Gateways int
	CeilingParts int      // in how many parts ceilings are divided; 0: as many as there are numbers
	Regions      []string // where each is, by number; "": none has the number; no list: not known
	UnusedShare  float64  // part of its own parts that this one must leave unused, 1 all; then cold servers are others' too
	NoColdSends  bool     // it sends nothing to cold servers
}

// Relinquish has the gateway stop to use what it holds of ceilings: it answers with a Give for each customer that has
// units left, but for those that held requests need. It is the last but for what is held and out.
type Relinquish struct{}

// TrustLevel is how far a server is trusted, by what all gateways saw.
type TrustLevel int

// The values of TrustLevel. A higher one is stricter.
const (
	Trusted    TrustLevel = iota
	Suspect               // what may not run twice goes elsewhere first
	SafeOnly              // nothing that may not run twice, but for trials
	TrialsOnly            // nothing, but for trials
)

// Trust is the trust in one server.
type Trust struct {
	Level TrustLevel
	Trial bool // one request is to try it: of those that may not run twice, at TrialsOnly of the others
}

// TrustUpdate replaces all that was told of trust before; servers that are not in it are trusted.
type TrustUpdate struct{ Servers map[ServerID]Trust }

// UnitsReceived brings units that another gateway has given up.
type UnitsReceived struct {
	Customer uint64
	Units    uint16
}

// Action is an output of Gateway.Handle: something that its caller has to do.
type Action interface{ action() }

// Send starts an attempt at a server. Timeout 0 means until the client gives up.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration
}

// Cancel ends an attempt; its Outcome still comes.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse is the final answer after which a retry is harmless: the request did not run or may run again.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration // advice to the client; 0: none
	OverQuota  bool          // it is beyond its customer's quota
}

// Fail is the final answer after which a retry may be harmful: the request may have run.
type Fail struct{ ID RequestID }

// SetTimer requests a Timer event after a time.
type SetTimer struct {
	Token string
	After time.Duration
}

// SendPeer sends at most 256 bytes to another gateway; it may be lost.
type SendPeer struct {
	To   int
	Data []byte
}

// OfferUnits tells of units that are not used here any more, and who may have them, the best first.
type OfferUnits struct {
	Customer   uint64
	Units      uint16
	Candidates []int
}

// Watch subscribes to the server list and its changes.
type Watch struct{}

// Log writes a line to the log for the operators.
type Log struct{ Text string }

func (Request) event()       {}
func (Started) event()       {}
func (Outcome) event()       {}
func (ClientGone) event()    {}
func (Timer) event()         {}
func (PeerMessage) event()   {}
func (ServerList) event()    {}
func (ConfigUpdate) event()  {}
func (GatewaySet) event()    {}
func (Relinquish) event()    {}
func (UnitsReceived) event() {}
func (TrustUpdate) event()   {}

func (Send) action()       {}
func (Cancel) action()     {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (SetTimer) action()   {}
func (SendPeer) action()   {}
func (Watch) action()      {}
func (OfferUnits) action() {}
func (Log) action()        {}
