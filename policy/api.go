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

// DedupScope says which servers recognize and drop repeats of a Keyed request.
type DedupScope int

// The values of DedupScope.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // the servers of one zone
	DedupCell                   // the servers of one cell
)

// Class holds the settings of a class of requests.
type Class struct {
	Name          string
	LatencyTarget time.Duration // an answer within this latency has its full value
	Deadline      time.Duration // how long a client waits, over all its tries
	Effect        Effect
	DedupScope    DedupScope    // for Keyed: which servers drop repeats
	DedupWindow   time.Duration // for Keyed: how long servers recognize repeats
	Streaming     bool          // the answer is a stream; a Started event announces it
}

// Plan holds the limits of each customer on the plan, over all gateways together. The rate quota and the hard
// ceiling are token buckets of units: gateways may overshoot the quota for a short time, never the ceiling.
type Plan struct {
	Name              string
	Rate              float64 // units per second; 0: no rate quota
	Burst             float64 // capacity of the quota's bucket, in units
	MaxInFlight       int     // most attempts in flight at once; 0: no limit
	OverQuotaEarnings float64 // share of its value that a request beyond the quota earns
	OverQuotaCharge   float64 // share of its value that a request beyond the quota is charged
	HardRate          float64 // units per second of the hard ceiling; 0: no ceiling
	HardBurst         float64 // capacity of the ceiling's bucket, in units
	HardInitial       float64 // units in that bucket when all gateways start, all of them together
}

// Settings configures a gateway at its start.
type Settings struct {
	Me       int // number of this gateway, from 0
	Gateways int // number of gateways
	Zone     string
	Classes  []Class
	Plans    []Plan

	Resolution        time.Duration // resolution of the clock and of timers
	MaxAttempts       int           // most attempts for one request; 0: no limit
	CanCancel         bool          // whether Cancel is permitted
	CanMessagePeers   bool          // whether SendPeer is permitted
	MessagesPerSecond float64       // peer messages that a gateway can receive per second
	MaxRequestUnits   float64       // largest number of units of one request
	MaxRetryAfter     time.Duration // longest RetryAfter that clients obey; 0: none is given
	MustWatch         bool          // server changes are sent only to gateways that use Watch
	SizeKnown         bool          // whether Server.Weight is the size of the machine
	CrossZoneCost     float64       // charge for an attempt at a server of another zone
	LoadReportNames   []string      // names of the values in Outcome.Load

	AnswerGrace  time.Duration // an answer this long after the deadline still counts as in time
	MinColdShare float64       // a server that just started has at least this share of its capacity
	WarmupTime   time.Duration // and its whole capacity this long after its start
	FailFactor   float64       // a cold server fails if it is sent this multiple of its capacity
	FailTime     time.Duration // for at least this long

	// MultiService is set if gateways serve many services; classes and plans then come with ConfigUpdate.
	MultiService *MultiService
}

// MultiService holds the further settings of a gateway that serves many services.
type MultiService struct {
	RetryBudgetPerAttempt float64                      // what each first attempt here adds to its service's retry budget
	MaxRetryBudget        func(service string) float64 // largest retry budget of a service
	ColdShare             float64                      // share of its capacity that a cold server has
	ColdWindow            time.Duration                // a cold server's sends are counted over this time
	ReportInterval        time.Duration                // time between two reports to a peer
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
	OK            Code = iota
	Error              // the server answered with an error
	Full               // the server rejected it for lack of capacity
	TimedOut           // no answer came in time
	ConnectFailed      // no connection to the server was made
	Reset              // the connection broke before the answer
	Cancelled          // a Cancel action ended it
	NoRetry            // it was not sent, or the server refused it as invalid: another attempt is no use
)

// NeverRan reports whether the code proves that the server never ran the request.
func (c Code) NeverRan() bool { return c == Full || c == ConnectFailed || c == NoRetry }

// Event is an input of Gateway.Handle.
type Event interface{ event() }

// Request is a client's request. It gets exactly one final answer: that of a server, Refuse or Fail.
type Request struct {
	ID           RequestID
	Customer     string
	Plan         string
	Class        string
	Units        float64       // its cost in units of the customer's quota and ceiling
	Remaining    time.Duration // time until the client gives up
	FirstGateway int           // number of the first gateway that the customer uses
	GatewayCount int           // how many it uses at least, counted up from FirstGateway and round; this one is among them
	Retry        bool          // the client marked it as a retry
	Effect       Effect        // counts if it is stricter than the effect of its class
	Service      string        // only servers of this service can run it; empty: servers without a service
	Regions      []string      // only servers of these regions may run it; empty: any region
	MaxAttempts  int           // most attempts; 0: Settings.MaxAttempts
	Priority     int           // among requests that wait for a server, lower values go first; with MultiService only
	WaitedBefore time.Duration // how long its client waited before this request, if that is known
}

// Started reports that the answer of a Streaming class has begun.
type Started struct {
	ID      RequestID
	Attempt int
	Server  ServerID
}

// Outcome reports how an attempt ended; there is one for each Send.
type Outcome struct {
	ID             RequestID
	Attempt        int // number of the attempt within the request, from 0
	Server         ServerID
	Code           Code
	Latency        time.Duration
	ClientAnswered bool      // whether the client has its final answer
	ActualUnits    float64   // true units of the request, if they are known only afterwards; else 0
	Load           []float64 // load report, in the order of Settings.LoadReportNames; or nil
}

// ClientGone reports that the client has left; the request needs no answer any more.
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
	Running  State = iota
	Draining       // finishes its requests and gets no new ones
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID           ServerID
	Zone         string
	Cell         int
	State        State
	HasStartTime bool
	StartTime    time.Duration // time of its last start, if HasStartTime
	Weight       float64       // its size, if Settings.SizeKnown

	Service      string
	Region       string
	Slots        int           // requests that it processes at a time; 0: not known
	ExtraLatency time.Duration // extra latency assumed for sending there, e.g. to another region
	ColdUntil    time.Duration // until then it can take ColdSendRate requests per second, from all gateways together
	ColdSendRate float64
}

// ServerListKind says what a ServerList event contains.
type ServerListKind int

// The values of ServerListKind.
const (
	ChangedServers ServerListKind = iota // only the servers that changed
	CompleteList                         // the complete list; a server not in it was removed
	CachedList                           // a complete list from a cache; it may be outdated
	WatchFailed                          // Watch failed; the gateway keeps its list and will watch again
)

// ServerList brings the server list or changes to it.
type ServerList struct {
	Kind    ServerListKind
	Servers []Server
}

// ConfigUpdate replaces the classes and plans of the same names and adds the others.
type ConfigUpdate struct {
	Classes []Class
	Plans   []Plan
}

// GatewaySet says how many gateways there are from now on and which number this one has.
type GatewaySet struct {
	Me, Gateways int
	CeilingParts int      // number of parts into which ceilings are divided; 0: Gateways
	Regions      []string // region of each gateway, by number; "": no gateway has the number; nil: not known
	UnusedShare  float64  // share of its own part, 0 to 1, that this one must leave unused; above 0 implies NoColdSends
	NoColdSends  bool     // this gateway sends nothing to cold servers
}

// Relinquish makes the gateway give up its parts of ceilings: it returns an OfferUnits for each customer that has
// units left, except for units that held requests need. After it the gateway only finishes the requests that it
// holds or has in flight.
type Relinquish struct{}

// TrustLevel says which requests a server may get, by the outcomes that all gateways saw.
type TrustLevel int

// The values of TrustLevel. A higher one is stricter.
const (
	Trusted    TrustLevel = iota
	Suspect               // requests that are not Safe go to other servers first
	SafeOnly              // only Safe requests, and trials
	TrialsOnly            // only trials
)

// Trust is the trust in one server.
type Trust struct {
	Level TrustLevel
	Trial bool // one trial request may go there: a Safe one at TrialsOnly, else one that is not Safe
}

// TrustUpdate replaces the trust in all servers; those not in it are Trusted.
type TrustUpdate struct{ Servers map[ServerID]Trust }

// UnitsReceived brings ceiling units that another gateway gave up. Customer is a key as KeyOf returns it.
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
	RetryAfter time.Duration // when the client should retry; 0: not said
	OverQuota  bool          // whether the request exceeds its customer's quota
}

// Fail is the final answer after which a retry may be harmful: the request may have run.
type Fail struct{ ID RequestID }

// SetTimer requests a Timer event after a time.
type SetTimer struct {
	Token string
	After time.Duration
}

// SendPeer sends a message of at most 256 bytes to gateway To, or to all others if To is -1. It may be lost.
type SendPeer struct {
	To   int
	Data []byte
}

// OfferUnits offers ceiling units that this gateway gave up to the gateways in Candidates, the best first.
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
