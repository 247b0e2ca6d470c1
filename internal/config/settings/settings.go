package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Env names the environment variable that holds the path of the settings file.
const Env = "PEPPERFALL_NODE_FILE"

// Settings holds the values of a settings file. The key tags give the names in the file; a key that is left out has the
// value of its default tag, or else the zero value. The live tag marks a value, or a struct of values, that may change while
// the process serves.
type Settings struct {
	Self     Self     `key:"self"`
	Network  Network  `key:"network"`
	Provider Provider `key:"provider"`
	Terms    Terms    `key:"terms" live:"true"`
	Judge    Judge    `key:"judge"`
}

// Self is the process and its machine.
type Self struct {
	Name      string   `key:"node_name" validate:"required"`
	Role      string   `key:"role" validate:"required"`
	Class     string   `key:"machine_class" validate:"required"`
	Serves    []string `key:"serves"` // edge, ctl, dir
	IP        string   `key:"ip" validate:"required,ip"`
	Zone      string   `key:"zone" validate:"required"`
	Region    string   `key:"region" validate:"required"`
	Voter     bool     `key:"voter"`     // its disk counts for majorities
	Bootstrap bool     `key:"bootstrap"` // the whole system starts for the first time
	DataDir   string   `key:"data_dir" validate:"required_if=Voter true"`
	Limits    Limits   `key:"limits"`
}

// Limits holds what the process may use; 0: not given.
type Limits struct {
	CPUQuota float64 `key:"cpu_quota" validate:"min=0"` // part of a core
	CPUs     int     `key:"cpus" validate:"min=0"`      // how many times as fast that part runs
	MemMB    int     `key:"mem_mb" validate:"min=0"`
	MaxFDs   int     `key:"max_fds" validate:"min=0"`
	NetMbps  float64 `key:"net_mbps" validate:"min=0"`
	DiskMB   int     `key:"disk_mb" validate:"min=0"`
}

// Network holds the addresses to listen on and those of other nodes.
type Network struct {
	Listen    Listen            `key:"listen"`
	PortRange [2]int            `key:"port_range" validate:"required"` // first and last port of connections between nodes
	Seeds     []string          `key:"seeds" validate:"min=1,dive,hostname_port" live:"true"`
	Zones     map[string]string `key:"zones" live:"true"` // region by zone
}

// Listen holds host:port for each interface that the role serves; empty: it does not serve it.
type Listen struct {
	HTTP   string `key:"http" validate:"omitempty,hostname_port"`
	Readyz string `key:"readyz" validate:"omitempty,hostname_port"`
	Ctl    string `key:"ctl" validate:"omitempty,hostname_port"`
	Dir    string `key:"dir" validate:"omitempty,hostname_port"`
	Agent  string `key:"agent" validate:"omitempty,hostname_port"` // for its proxy; empty: the second inner port of 127.0.0.1
}

// Provider holds what concerns the platform.
type Provider struct {
	Discovery string        `key:"discovery"`
	Entry     string        `key:"entry"`
	Heartbeat time.Duration `key:"heartbeat_ms" default:"1500"`
	Cloud     Cloud         `key:"cloud_api" live:"true"`
	ConfMode  string        `key:"conf_mode"`
}

// Cloud holds how the platform's list of servers is read.
type Cloud struct {
	Address  string        `key:"address" validate:"omitempty,hostname_port"` // empty: there is none
	RatePerS float64       `key:"rate_per_s" validate:"min=0"`                // calls a second, of all nodes together
	MaxLag   time.Duration `key:"max_lag_ms" default:"800"`
	Duties   []string      `key:"duties"`
}

// Judge configures the verdicts on servers from what all proxies saw of them (docs/design/fit.md).
type Judge struct {
	Records bool `key:"records" default:"false"` // servers that don't record safely get no requests that may run once only
}

// Terms holds the requirements on the system.
type Terms struct {
	Contracts []string `key:"contracts"` // parts of the rules in force
	Tolerate  struct {
		Machines int `key:"machines" validate:"min=0"`
		Zones    int `key:"zones" validate:"min=0"`
		Regions  int `key:"regions" validate:"min=0"`
	} `key:"tolerate"` // what may be lost at once
	Bounds Bounds `key:"bounds"`
}

// Bounds holds the figures of the rules.
type Bounds struct {
	SeedLag      time.Duration `key:"seed_lag_s" default:"3"`
	ReuseAfter   time.Duration `key:"reuse_after_s" default:"2"`
	Contact      time.Duration `key:"contact_ms" default:"4000"`
	Ack          time.Duration `key:"ack_ms" default:"6000"`
	Sync         time.Duration `key:"sync_s" default:"4"`
	Drain        time.Duration `key:"drain_ms" default:"3000"`
	Grace        time.Duration `key:"grace_s" default:"6"`
	Slack        time.Duration `key:"slack_ms" default:"200"`
	Apply        time.Duration `key:"apply_ms" default:"3000"`
	Revert       time.Duration `key:"revert_ms" default:"250"`
	Skew         time.Duration `key:"skew_ms" default:"8000"`
	Revoked      bool          `key:"revoked"` // keys taken away are bound by Revoke
	Revoke       time.Duration `key:"revoke_ms" default:"5000"`
	RetryRatio   float64       `key:"retry_ratio" default:"0.2" validate:"min=0"`
	RetryWindow  time.Duration `key:"retry_window_s" default:"10"`
	RetrySlack   float64       `key:"retry_slack" validate:"min=0"` // requests
	QuotaWindow  time.Duration `key:"quota_window_s" default:"5"`
	QuotaExcess  float64       `key:"quota_excess" validate:"min=0"`
	QuotaSlack   float64       `key:"quota_slack" validate:"min=0"` // requests
	WarmupExcess float64       `key:"warmup_excess" default:"1" validate:"min=0"`
	WarmupSlack  float64       `key:"warmup_slack" validate:"min=0"` // requests
	Evacuate     time.Duration `key:"evacuate_ms" default:"5000"`
	Recover      time.Duration `key:"recover_s" default:"15"`
	TTLMax       time.Duration `key:"ttl_max_s" default:"5"`
}

// Inner returns the address at which the replica on the machine ip listens for connections of other processes of the system.
func (s *Settings) Inner(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Network.PortRange[0]))
}

// AgentInner returns the address at which an agent listens for its proxy.
func (s *Settings) AgentInner() string {
	if s.Network.Listen.Agent != "" {
		return s.Network.Listen.Agent
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(s.Network.PortRange[0]+1))
}

// Peer returns the address at which the proxy on the machine ip receives its peers' datagrams.
func (s *Settings) Peer(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Network.PortRange[0]+2))
}

// Has tells whether a part of the rules (a contract) is in force.
func (s *Settings) Has(contract string) bool {
	return slices.Contains(s.Terms.Contracts, contract)
}
