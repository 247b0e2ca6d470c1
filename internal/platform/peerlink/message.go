package peerlink

import (
	"encoding/binary"
	"time"

	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/replicate"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/dataplane/homing"
	"pepperfall.example/pepperfall/internal/dataplane/serverhealth"
)

// Version is the version of the frames; both ends of a connection must have the same.
const Version = 6

// Role says what a process is to the others.
type Role string

// The roles. Arrows run replica -> hand -> proxy; replicas hold connections to each other.
const (
	Replica Role = "replica" // control
	Agent   Role = "agent"   // the agent beside a proxy
	Proxy   Role = "proxy"   // the proxy
)

// Gone is why a proxy leaves that has answered its last request: its parts of quotas may be others'.
const Gone = "gone"

// Given is why a proxy leaves that still answers what is out, but takes nothing in and has given its parts up.
const Given = "given"

// Frame is the one thing that goes down a connection. Whatever is nil is not in it.
type Frame struct {
	Hello   *Hello
	Ping    *Ping
	Pong    *Pong
	Change  *Change // numbered, acknowledged by Ack
	Ack     *Ack
	Ask     *Ask         // replica to replica: a question with an id
	Reply   *Reply       // and its answer
	Leaving *string      // the sender goes in order, for this reason
	Duty    *Duty        // replica to replica: who has the list's duty
	Decided *state.State // replica to replica: a state that is decided
	Report  []byte       // proxy to agent to replica, and to the replica that joins it: a packed serverhealth.Report
}

// Hello is the first frame of each side.
type Hello struct {
	Version int
	Role    Role
	Name    string // of the machine (self.node_name)
	ID      string // of a replica's disk
	Life    int64  // start of the process, in nanoseconds of Unix time: it tells one life from the next
	IP      string
	Zone    string
	Region  string
	Voter   bool   // a replica whose disk counts
	Inner   string // where it listens for furrows; empty: nowhere
	Ctl     string // a replica's ctl address
	Dir     string // a replica's dir address
	Front   string // a proxy's clients' address, told by its agent
	Peer    string // a proxy's address for peers' datagrams, told by its agent
	Judges  bool   // a replica that joins evidence on servers
}

// Ping asks for a Pong. Sent is the asker's own steady clock and means nothing to the other.
type Ping struct {
	Sent     time.Duration
	Ready    bool                 // hand to replica: its proxy is ready for clients
	Gen      uint64               // the version in force at the proxy; 0: none
	Held     uint64               // hand to replica: the version that the agent holds; 0: none
	Sum      uint32               // hand to replica: that version's Sum, as two texts may have one number
	Upstream bool                 // hand to replica: tell me servers and the census, until a Ping says otherwise
	Every    time.Duration        // hand to replica: the next Ping comes after so long; 0: as is usual
	Rests    bool                 // the proxy would be ready, but for the order to rest
	Parts    int                  // in how many parts the proxy divides quotas, in force there; 0: not told
	Figures  *Figures             // proxy to agent, and to a replica that wants them
	Asked    *Asked               // the same, every few seconds; nil: as told last
	Heads    []homing.HostTraffic // traffic by host, where some routes are bound and some are free; to replicas now and then. nil: not told
	Packs    bool                 // hand to replica: lists may come packed
}

// Pong answers a Ping. What it tells holds at the moment it was sent, which is
// after Sent: so the asker may count ages from Sent, however long the way took.
type Pong struct {
	Sent   time.Duration // the Ping's
	Age    time.Duration // how long ago, before this Pong was sent, a majority of the core was asked that knew of nothing newer than the asker's proxy has in force
	Fresh  bool          // whether one ever did
	Want   bool          // figures are wanted in the next Pings
	Asks   bool          // and what was Asked
	Wanted uint64        // evidence on servers is wanted: all of it once the number changes; 0: it is not

	InTouch  bool          // replica to agent: a majority of the core has ever answered the replica, and it lacked nothing
	TouchAge time.Duration // how long ago, before this Pong was sent, it was asked

	List *Reading // replica to agent, and agent to proxy: of the list of servers that the sender holds; nil: it holds none
}

// Change is numbered news. Numbers rise by one on each connection; parts that
// are nil have not changed.
type Change struct {
	No            uint64
	Configuration *Configuration
	Zones         []Zone // all that are known; nil: unchanged
	Servers       *Servers
	Census        *Census

	Verdicts *serverhealth.Verdicts
	Lately   []serverhealth.Verdict // replica to replica, on a new connection: what the sender held in force just now, whoever's
}

// Ack tells that the change of a number, and all before it, are in force.
type Ack struct {
	No  uint64
	Gen uint64 // the version in force with the acknowledging process's proxy; 0: none
}

// Configuration is one version of the operator's configuration, as the operator sent it.
type Configuration struct {
	Gen    uint64   // the number behind the r
	Digest [32]byte // SHA-256 of Body: among equal versions the higher digest holds
	Body   []byte   // JSON, unchanged

	packed []byte // as it is sent; nil: not made yet
}

// Sum tells texts of one number from each other, in few bytes.
func (p *Configuration) Sum() uint32 { return binary.BigEndian.Uint32(p.Digest[:4]) }

// Zone is an operator's order, as the control plane's state holds it.
type Zone = state.Order

// Reading tells how old a list of servers is.
type Reading struct {
	Age    time.Duration // since the reading began, as of when this was sent
	Period time.Duration // between the beginnings of two readings; 0: not told
	Pages  int           // calls that the reading took; 0: not told
}

// Servers is the platform's list of servers. The higher Stamp holds.
type Servers struct {
	Stamp   int64    // nanoseconds of Unix time at which its caller began to ask
	By      string   // the replica that asked
	Term    Term     // replica to replica: of the duty by which it was read; zero: by nobody's
	Reading Reading  // replica to replica
	Part    bool     // what is in neither List nor Gone is as this connection told it last
	List    []Server // by ID
	Gone    []string // with Part: by ID, those that have left

	Packed []byte // in place of List, on the way only
	packed packed[Server]
}

// Server is one line of the list.
type Server struct {
	ID       string
	Backend  string // its service
	Address  string
	Zone     string
	Gen      string // of its software
	Capacity int
	Draining bool
	WarmLeft time.Duration // for how much longer it is cold, counted from Stamp
}

// Census tells who is there.
type Census struct {
	Part     bool     // what is in neither Proxies nor Gone is as this connection told it last
	Replicas []Hello  // with Part: nil where unchanged
	Proxies  []Member // by name; those gone for long are left out
	Gone     []string // with Part: by name, those left out from now on
	Shares   int      // in how many parts quotas and cold budgets are divided; never below the proxies that may be passing

	Packed []byte // in place of Proxies, on the way only
	packed packed[Member]
}

// Member is a proxy with its agent's word on it.
type Member struct {
	Hello Hello
	Ready bool
	Alive bool // heard of lately by the replica that tells
	Slot  int  // its number among all proxies ever known, the same for the name for ever

	Silent int // others that count and were not heard after it had joined; 0: it may use its whole part
}

// Ask is a question of one replica to another.
type Ask struct {
	ID      uint64
	Report  bool // how far are you?
	Prepare *quorum.Prepare
	Accept  *quorum.Accept
	Config  *Configuration     // with Accept: the configuration of its value, for one that has not said that it holds it
	Piece   *replicate.Request // of a configuration
	Command *Command           // carry this out: the asked replica is the one that decides with the fewest messages
}

// Reply answers an Ask. What it tells of the replier's record is on its disk.
type Reply struct {
	ID       uint64
	Report   *quorum.Report
	Promise  *quorum.Promise
	Accepted *quorum.Acceptance
	Piece    *replicate.Piece
	Outcome  *Outcome
	Err      string // why none of them is there, in words
}
