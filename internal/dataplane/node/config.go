// Package node runs a proxy: it connects clients, servers, discovery and peer proxies over sockets, and package policy makes
// its decisions.
//
// A proxy speaks one of two protocols. A Node is standalone: it has a configuration file and follows the server list of a
// discovery service. A managed proxy gets its routes, servers and peers from the agent beside it.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/wire"
	"pepperfall.example/pepperfall/internal/edgefleet/members"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/policy"
)

// Config configures a standalone proxy.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Seed          uint64
	MemoryMB      int
	Sockets       int
	PeerListen    string
	Peers         []netip.AddrPort
	PeerBroadcast netip.AddrPort // one address that reaches all peers; zero: none
	CachedList    *serverList    // the last known server list; nil: none
	Settings      policy.Settings
	Reload        func() (*Config, error) // reads the configuration file again; nil: it never changes
	World         world.World             // clock and network; nil: those of the machine
	Membership    *members.Timing         // timing of fleet membership; nil: membership is not tracked
	Random        io.Reader               // for generated request ids; nil: crypto/rand

	DialTimeout time.Duration // a server that has not accepted a connection by then is unreachable
	ConnIdle    time.Duration // servers close idle connections after this time
	DrainGrace  time.Duration // how long requests may still be sent to a draining server
}

const (
	defaultDialTimeout = 250 * time.Millisecond
	defaultConnIdle    = 15 * time.Second
	defaultSockets     = 1024
	minSockets         = 64
)

// LoadConfig reads the file that GW_CONFIG names. The environment variables GW_NAME, GW_LISTEN and GW_DISCOVERY override it.
// Errors name the invalid setting.
func LoadConfig(getenv func(string) string) (*Config, error) {
	c, err := loadFile(getenv)
	if err != nil {
		return nil, err
	}
	c.Reload = func() (*Config, error) {
		return loadFile(func(key string) string {
			if key == "GW_DISCOVERY" {
				return "" // the variable dates from the start; the file is newer
			}
			return getenv(key)
		})
	}
	return c, nil
}

func loadFile(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c, err := parseConfig(data, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parseConfig(data []byte, getenv func(string) string) (*Config, error) {
	var raw struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
		PeersAll   string   `json:"peers_all"`
		Known      *serverList
		Settings   json.RawMessage
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	env := func(key string, v *string) {
		if s := getenv(key); s != "" {
			*v = s
		}
	}
	env("GW_NAME", &raw.Name)
	env("GW_LISTEN", &raw.Listen)
	env("GW_DISCOVERY", &raw.Discovery)
	c := &Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, MemoryMB: int(raw.Limits.MemoryMB),
		Sockets: raw.Limits.Sockets, PeerListen: raw.PeerListen, CachedList: raw.Known}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d is below %d", c.Sockets, minSockets)
	}
	for key, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	c.Seed = parseSeed(raw.Seed)
	facts, err := wire.SettingPairsFromJSON(raw.Settings)
	if err != nil {
		return nil, err
	}
	if c.Settings, err = facts.Settings(); err != nil {
		return nil, err
	}
	for _, d := range []struct {
		key string
		to  *time.Duration
		def time.Duration
	}{
		{"caps.dial_timeout_ms", &c.DialTimeout, defaultDialTimeout},
		{"caps.conn_idle_ms", &c.ConnIdle, defaultConnIdle},
		{"rules.drain_grace_ms", &c.DrainGrace, 0},
	} {
		if *d.to, err = facts.Duration(d.key); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if *d.to < 0 {
			return nil, fmt.Errorf("settings: %s: negative", d.key)
		}
		if *d.to == 0 {
			*d.to = d.def
		}
	}
	return c, c.parsePeers(raw.Peers, raw.PeersAll)
}

// parsePeers parses the addresses of the peer proxies.
func (c *Config) parsePeers(list []string, all string) error {
	if !c.Settings.CanMessagePeers {
		return nil
	}
	for i, text := range list {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, address)
	}
	if len(c.Peers) != c.Settings.Gateways {
		return fmt.Errorf("peers: %d addresses for %d proxies", len(c.Peers), c.Settings.Gateways)
	}
	if all != "" {
		address, err := netip.ParseAddrPort(all)
		if err != nil {
			return fmt.Errorf("peers_all: %w", err)
		}
		c.PeerBroadcast = address
	}
	if _, err := netip.ParseAddrPort(c.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	return nil
}

// parseSeed converts a seed to a number: a hexadecimal one by its value, other text by its hash.
func parseSeed(s string) uint64 {
	if v, err := strconv.ParseUint(s, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// CheckConfig returns an error if the text is not a valid configuration file.
func CheckConfig(text []byte) error {
	c, err := parseConfig(text, func(string) string { return "" })
	if err != nil {
		return err
	}
	_, err = policy.New(c.Settings, c.Seed)
	return err
}
