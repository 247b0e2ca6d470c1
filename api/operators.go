package api

import "time"

// The paths of ctl that are for operators, beyond the platform's orders. That of
// Log may have LogFrom in its query.
const (
	OpsStatus  = "/-/Status"
	OpsHistory = "/-/History"
	OpsLog     = "/-/Log"
	OpsAsked   = "/-/Asked"
	LogFrom    = "from"
)

// The paths of ctl for orders about proxies, followed by the name of one. That of NodeRest may have RestZone, RestAll and
// RestForce in its query.
const (
	NodeRest  = "/-/Node.Rest/"
	NodeWake  = "/-/Node.Wake/"
	RestZone  = "zone"  // part of its zone's proxies that has to stay awake
	RestAll   = "all"   // and of all proxies
	RestForce = "force" // true: no matter what stays awake
)

// The paths of ctl about servers, followed by the id of one. That of ServerJudge has JudgeWord in its query, and may
// have JudgeFor.
const (
	ServerJudge   = "/-/Server.Judge/"
	ServerExplain = "/-/Server.Explain/"
	JudgeWord     = "word"
	JudgeFor      = "for_s" // seconds; left out: JudgeUsual
)

// Words of operators on a server.
const (
	WordFit       = "fit"       // whatever proxies say
	WordUnfit     = "unfit"     // it gets nothing that may run once only
	WordUnfitAll  = "unfit-all" // it gets nothing
	WordWithdrawn = "none"      // what proxies say holds again
)

// For how long a word on a server holds.
const (
	JudgeUsual = time.Hour
	JudgeMost  = 30 * 24 * time.Hour
)

// Explained is what one replica knows of a server's verdict.
type Explained struct {
	Replica  string      `json:"replica"`
	At       time.Time   `json:"at"`
	Server   string      `json:"server"`
	Service  string      `json:"service"` // empty: it is not in the list
	Keeper   string      `json:"keeper"`  // the replica that joins what proxies tell of the service; empty: none does
	Level    string      `json:"level"`   // in force by this replica's word; empty: it has none yet, or does not judge
	Why      string      `json:"why"`
	AgeMS    int64       `json:"age_ms"` // of the level
	Number   int         `json:"number"` // outcomes joined
	Share    float64     `json:"share"`  // of them against it, as they were weighed
	For      int         `json:"for"`    // proxies
	Against  int         `json:"against"`
	Relapses int         `json:"relapses"`
	Trial    bool        `json:"trial"` // a few requests may try it
	Word     ServerWord  `json:"word"`
	Said     []Testimony `json:"said"` // by the keeper only: by proxy and kind, in the last five minutes
}

// ServerWord is the operators' word on a server.
type ServerWord struct {
	Word  string    `json:"word"` // empty: none
	Until time.Time `json:"until"`
	By    string    `json:"by"` // the replica that numbered it
}

// Testimony is what one proxy saw of a server, in numbers of outcomes.
type Testimony struct {
	Proxy      string  `json:"proxy"`
	Zone       string  `json:"zone"`
	Record     bool    `json:"record"` // requests that may run once only; else those that may run again
	Confirmed  int     `json:"confirmed"`
	TurnedAway int     `json:"turned_away"`
	Unclear    int     `json:"unclear"`
	Late       int     `json:"late"`
	WrongID    int     `json:"wrong_id"`
	Worth      float64 `json:"worth"` // 0 to 1: little where other servers fail at the proxy too
}

// LeastAwake is the part of proxies that has to stay awake where an order to rest names no other.
const LeastAwake = 0.5

// The paths of ctl for the lock of those who give many orders, and what carries its token in the query of an order.
const (
	LockTake  = "/-/Lock.Take"
	LockDrop  = "/-/Lock.Drop"
	LockToken = "lock"
)

// LockMost is for how long the lock is granted at most.
const LockMost = 15 * time.Second

// LockAsk asks for the lock, or lets it go.
type LockAsk struct {
	Token string    `json:"token"` // who asks again with it holds on
	Who   string    `json:"who"`   // told to others
	Since time.Time `json:"since"` // it has it, by its own clock
	ForMS int64     `json:"for_ms"`
}

// Kinds of orders, as History tells them.
const (
	OrderConfig   = "Config.Replace"
	OrderEvacuate = "Drain.Begin"
	OrderRestore  = "Drain.Finish"
	OrderRest     = "Node.Rest"
	OrderWake     = "Node.Wake"
	OrderJudge    = "Server.Judge"
	OrderVerdict  = "Verdict" // no order: this replica found so of a server
)

// Bounds of what operators are told.
const (
	MostProxies = 1000 // of one Status
	MostOrders  = 256  // of one History
	MostLines   = 500  // of one Log
	MostLine    = 2000 // bytes of one line
)

// Status is one replica's view. Ages are in milliseconds by its steady clock; -1: never.
type Status struct {
	Replica   string        `json:"replica"`
	Zone      string        `json:"zone"`
	Region    string        `json:"region"`
	At        time.Time     `json:"at"` // by its time of day
	UpMS      int64         `json:"up_ms"`
	Voter     bool          `json:"voter"`
	Eligible  bool          `json:"eligible"`
	Leaving   bool          `json:"leaving"`
	Voters    int           `json:"voters"`   // whose disks count
	Majority  int           `json:"majority"` // of them
	Held      Version       `json:"held"`     // on its disk
	Confirmed Version       `json:"confirmed"`
	FreshMS   int64         `json:"fresh_ms"` // since a majority confirmed that
	Disk      string        `json:"disk"`     // why the last store failed; empty: it did not
	Replicas  []ReplicaView `json:"replicas"`
	Proxies   []ProxyView   `json:"proxies"`
	LeftOut   int           `json:"left_out"` // proxies beyond MostProxies
	Versions  []VersionAt   `json:"versions"` // in force at proxies, newest first
	Shares    int           `json:"shares"`
	Zones     []ZoneOrder   `json:"zones"`
	Nodes     []NodeOrder   `json:"nodes"`
	Lock      LockView      `json:"lock"`
	Duties    []Duty        `json:"duties"`
	List      ListView      `json:"list"`
}

// Version names a configuration. Gen is empty where there is none.
type Version struct {
	Gen    string `json:"gen"`
	Digest string `json:"digest"` // SHA-256 in hexadecimal
}

// Replaced answers a configuration that was acknowledged.
type Replaced struct {
	InForce bool    `json:"in_force"` // the one that was sent is in force
	Held    Version `json:"held"`     // what is in force: that one, or one above it
}

// VersionAt is a version that some proxies have in force.
type VersionAt struct {
	Gen     string   `json:"gen"`     // empty: none or not told
	Proxies int      `json:"proxies"` // at so many
	Lag     []string `json:"lag"`     // names of those of them that may serve something old
}

// ReplicaView is what a replica knows of another, or of itself.
type ReplicaView struct {
	Name      string  `json:"name"`
	Zone      string  `json:"zone"`
	Ctl       string  `json:"ctl"`
	Voter     bool    `json:"voter"`
	Connected bool    `json:"connected"`
	Answered  bool    `json:"answered"` // just now
	Eligible  bool    `json:"eligible"`
	Held      Version `json:"held"`
}

// ProxyView is what a replica knows of a proxy.
type ProxyView struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Front   string `json:"front"`
	Ready   bool   `json:"ready"`
	Alive   bool   `json:"alive"`
	Linked  bool   `json:"linked"` // its agent is connected to this replica
	Gen     string `json:"gen"`    // in force there; empty: none or not told
	Behind  uint64 `json:"behind"` // changes sent and not acknowledged
	HeardMS int64  `json:"heard_ms"`
	Lags    string `json:"lags"` // why it is behind; empty: it is not

	Life    int64    `json:"life"`    // start of its agent, in nanoseconds of Unix time
	ToRest  bool     `json:"to_rest"` // a majority holds that it is to rest
	Rests   bool     `json:"rests"`   // it does, and would be ready else
	Figures *Figures `json:"figures"` // nil: not told; proxies begin to tell once somebody looks
}

// Figures are a proxy's traffic, as it says.
type Figures struct {
	AgeMS   int64  `json:"age_ms"`
	Open    int    `json:"open"`    // requests that are not answered
	Clients int    `json:"clients"` // connections
	SpanMS  int64  `json:"span_ms"` // over which the rest was counted
	Served  uint32 `json:"served"`  // answered by a server, not with 5xx
	Refused uint32 `json:"refused"` // 429 and 503
	Failed  uint32 `json:"failed"`  // other 5xx
}

// ZoneOrder is the newest order about a zone that the replicas which answer hold.
type ZoneOrder struct {
	Zone      string `json:"zone"`
	Drained   bool   `json:"drained"`
	Count     uint64 `json:"count"`
	By        string `json:"by"`
	Confirmed bool   `json:"confirmed"` // by a majority; else some disks hold it
}

// NodeOrder is the newest order about a proxy that the replicas which answer hold.
type NodeOrder struct {
	Node      string `json:"node"`
	Rests     bool   `json:"rests"`
	Count     uint64 `json:"count"`
	By        string `json:"by"`
	Confirmed bool   `json:"confirmed"` // by a majority; else some disks hold it
}

// LockView is whom a replica has granted the lock to.
type LockView struct {
	Who    string    `json:"who"` // empty: nobody
	Since  time.Time `json:"since"`
	LeftMS int64     `json:"left_ms"` // unless it is taken again
}

// Duty is work that one replica does for all.
type Duty struct {
	Name   string `json:"name"`
	Holder string `json:"holder"` // of the highest term that this replica knows; empty: nobody had one
	Next   string `json:"next"`   // may follow the holder without a vote; empty: nobody
	Epoch  uint64 `json:"epoch"`  // of that term: the vote of a majority that it goes back to
	Step   uint64 `json:"step"`   // of that term: how often since then the next one followed the holder
	Rank   int    `json:"rank"`   // this replica's own
}

// ListView is the platform's list as a replica holds it.
type ListView struct {
	Stamp   int64       `json:"stamp"` // nanoseconds of Unix time; 0: none
	By      string      `json:"by"`
	HeardMS int64       `json:"heard_ms"`
	Servers []ServersIn `json:"servers"`
}

// ServersIn counts a zone's servers.
type ServersIn struct {
	Zone     string `json:"zone"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Cold     int    `json:"cold"`
}

// History tells of the orders that one replica was given, newest last; those of before Since are from its disk.
type History struct {
	Replica string    `json:"replica"`
	Since   time.Time `json:"since"` // its start
	Lost    uint64    `json:"lost"`  // older ones that it holds no more
	Orders  []Order   `json:"orders"`
}

// Order is one call of an operator.
type Order struct {
	At     time.Time `json:"at"`
	Kind   string    `json:"kind"`
	What   string    `json:"what"` // version or zone
	From   string    `json:"from"` // address of the caller
	TookMS int64     `json:"took_ms"`
	End    string    `json:"end"` // acknowledged, refused or unclear
	Why    string    `json:"why"`
}

// Log is what a replica's ring holds.
type Log struct {
	Replica string    `json:"replica"`
	At      time.Time `json:"at"`
	Next    uint64    `json:"next"` // from here on next time
	Lines   []LogLine `json:"lines"`
}

// LogLine is one line.
type LogLine struct {
	No   uint64    `json:"no"`
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// Asked is what proxies were asked for in the last minute, all together.
type Asked struct {
	Replica string       `json:"replica"`
	Gen     string       `json:"gen"`     // the version by whose routes is counted; empty: none
	Ready   int          `json:"ready"`   // proxies that take clients
	Proxies int          `json:"proxies"` // such that tell, and serve by that version
	SpanMS  int64        `json:"span_ms"` // over which all of these counted, at least
	Routes  []RouteAsked `json:"routes"`  // by place; those without requests left out
	Rest    uint64       `json:"rest"`    // requests of routes that are left out
}

// RouteAsked is how many requests a route had.
type RouteAsked struct {
	Route    int    `json:"route"` // its place in the configuration, from 0
	Requests uint64 `json:"requests"`
}
