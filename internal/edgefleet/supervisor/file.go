package supervisor

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/dataplane/node"
	"pepperfall.example/pepperfall/internal/edgefleet/rollout"
)

// File is a fleet file. A change of what is marked "start" takes a rolling
// restart; what shapes the fleet itself (name, folder, addresses, number) takes
// a stop and a start.
type File struct {
	Name     string   `toml:"name" min:"1" max:"64" when:"fleet"`
	StateDir string   `toml:"state_dir" min:"1" when:"fleet"` // locks, logs, generations; relative to the fleet file
	Binary   string   `toml:"binary" when:"start"`            // the program; empty: the one that supervises
	Settings string   `toml:"settings" min:"1" when:"start"`  // the platform's settings as JSON; relative to the fleet file
	Operator string   `toml:"operator" when:"live"`           // the operator file, relative to the fleet file; empty: defaults
	Nodes    Nodes    `toml:"nodes"`
	Limits   Limits   `toml:"limits"`
	Restarts Restarts `toml:"restarts"`
	Rolls    Rolls    `toml:"rolls"`
}

// Nodes says how many instances there are and where. Ports count up by one from
// instance to instance.
type Nodes struct {
	Count     int      `toml:"count" min:"1" max:"1000" when:"fleet"`
	Listen    string   `toml:"listen" min:"1" when:"fleet"`    // of the first
	Peers     string   `toml:"peers" min:"1" when:"fleet"`     // UDP, of the first
	Discovery []string `toml:"discovery" min:"1" when:"start"` // one for all, or one each
	Counter   string   `toml:"counter" when:"start"`           // empty: none
	Zones     []string `toml:"zones" when:"start"`             // dealt out in turn; empty: the settings' zone
}

// Limits are those of each instance.
type Limits struct {
	MemoryMB int `toml:"memory_mb" min:"32" max:"1048576" when:"start"`
	Sockets  int `toml:"sockets" min:"64" max:"1048576" when:"start"`
}

// Restarts says how an instance that died comes back.
type Restarts struct {
	BackoffLeastMS int     `toml:"backoff_least_ms" min:"10" max:"60000" when:"fleet"`
	BackoffMostMS  int     `toml:"backoff_most_ms" min:"10" max:"3600000" when:"fleet"`
	Jitter         float64 `toml:"jitter" min:"0" max:"0.9" when:"fleet"`
	StableS        int     `toml:"stable_s" min:"1" max:"86400" when:"fleet"`
	CrashLimit     int     `toml:"crash_limit" min:"1" max:"1000" when:"fleet"`
	CrashSpanS     int     `toml:"crash_span_s" min:"1" max:"86400" when:"fleet"`
	CrashRestS     int     `toml:"crash_rest_s" min:"1" max:"86400" when:"fleet"`
}

// Rolls says how long the steps of starts, stops and rolls may take.
type Rolls struct {
	ReadyWithinMS int `toml:"ready_within_ms" min:"100" max:"3600000" when:"fleet"`
	StopWithinMS  int `toml:"stop_within_ms" min:"1000" max:"3600000" when:"fleet"`
	HungAfterMS   int `toml:"hung_after_ms" min:"1000" max:"3600000" when:"fleet"`
	PauseMS       int `toml:"pause_ms" min:"0" max:"600000" when:"fleet"`
	LookEveryMS   int `toml:"look_every_ms" min:"20" max:"60000" when:"fleet"`
}

// Default is what holds where a fleet file says nothing.
func Default() File {
	return File{
		Limits:   Limits{MemoryMB: 192, Sockets: 1024},
		Restarts: Restarts{BackoffLeastMS: 200, BackoffMostMS: 30000, Jitter: 0.2, StableS: 60, CrashLimit: 5, CrashSpanS: 60, CrashRestS: 300},
		Rolls:    Rolls{ReadyWithinMS: 30000, StopWithinMS: 70000, HungAfterMS: 15000, PauseMS: 500, LookEveryMS: 200},
	}
}

// Loaded is a fleet file that passed every check, with the files it names.
type Loaded struct {
	File
	Path         string
	Dir          string          // the state's folder
	Program      string          // the program's path
	SettingsJSON json.RawMessage // the platform's settings, as given
	OperatorFile operator.File
	OperatorText []byte
	Op           *operator.Loaded // nil: no operator file

	Book     []byte // compiled; nil: requests are read as the platform has it, or the book was not read
	Revision string // of the book
	seen     string // the state of the description or book when it was read
}

// Load reads and checks a fleet file and the files that it names, but for the
// route book. The error holds every fault of all of them.
func Load(path string) (*Loaded, error) {
	text, err := conffile.Read(path)
	if err != nil {
		return nil, err
	}
	l := &Loaded{File: Default(), Path: path}
	faults := conffile.Decode(path, text, &l.File)
	lines, _ := conffile.Lines(text)
	fault := func(key, format string, args ...any) {
		faults = append(faults, conffile.Fault{File: path, Line: lines.Of(key), Key: key, Text: fmt.Sprintf(format, args...)})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	beside := func(name string) string {
		if filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(filepath.Dir(path), name)
	}
	if l.Dir, err = filepath.Abs(beside(l.StateDir)); err != nil {
		fault("state_dir", "%v", err)
	}
	if sock := filepath.Join(l.Dir, socketName); len(sock) > mostSocketPath {
		fault("state_dir", "%s has %d bytes; a socket's path holds %d", sock, len(sock), mostSocketPath)
	}
	for _, a := range []struct{ key, addr string }{{"nodes.listen", l.Nodes.Listen}, {"nodes.peers", l.Nodes.Peers}} {
		ap, err := netip.ParseAddrPort(a.addr)
		switch {
		case err != nil:
			fault(a.key, "%q is no IP address and port", a.addr)
		case ap.Port() == 0:
			fault(a.key, "port 0: instances must be found again at the same address")
		case int(ap.Port())+l.Nodes.Count-1 > 65535:
			fault(a.key, "port %d and %d more pass 65535", ap.Port(), l.Nodes.Count-1)
		}
	}
	for i, a := range l.Nodes.Discovery {
		if _, err := netip.ParseAddrPort(a); err != nil {
			fault("nodes.discovery", "entry %d: %q is no IP address and port", i, a)
		}
	}
	if n := len(l.Nodes.Discovery); n != 1 && n != l.Nodes.Count {
		fault("nodes.discovery", "%d entries for %d instances: one for all, or one each", n, l.Nodes.Count)
	}
	if l.Restarts.BackoffMostMS < l.Restarts.BackoffLeastMS {
		fault("restarts.backoff_most_ms", "%d is below backoff_least_ms, %d", l.Restarts.BackoffMostMS, l.Restarts.BackoffLeastMS)
	}
	if l.Program = l.Binary; l.Program == "" {
		if l.Program, err = os.Executable(); err != nil {
			fault("binary", "%v", err)
		}
	} else {
		l.Program = beside(l.Program)
	}
	if l.SettingsJSON, err = os.ReadFile(beside(l.Settings)); err != nil {
		fault("settings", "%v", err)
	}
	l.OperatorFile, l.OperatorText = operator.Default(), []byte("# defaults\n")
	if l.Operator != "" {
		op, err := operator.Load(beside(l.Operator))
		if err != nil {
			if more, ok := err.(conffile.Faults); ok {
				faults = append(faults, more...)
			} else {
				fault("operator", "%v", err)
			}
		} else {
			l.OperatorFile, l.OperatorText, l.Op = op.File, op.Text, op
		}
	}
	if len(faults) == 0 {
		if err := l.try(); err != nil {
			fault("settings", "%v", err)
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return l, nil
}

// try has the node's own check look at the configuration of the first instance.
func (l *Loaded) try() error {
	text, err := l.config(0)
	if err != nil {
		return err
	}
	return node.CheckConfig(text)
}

// Instances returns the names of all instances.
func (l *Loaded) Instances() (names []string) {
	for i := range l.Nodes.Count {
		names = append(names, "n"+strconv.Itoa(i))
	}
	return names
}

// Listen returns where clients connect to an instance.
func (l *Loaded) Listen(i int) string { return count(l.Nodes.Listen, i) }

func count(first string, i int) string {
	ap := netip.MustParseAddrPort(first)
	return netip.AddrPortFrom(ap.Addr(), ap.Port()+uint16(i)).String()
}

// config is the configuration of an instance in the platform's form (DEPLOY,
// "What an edge node is told").
func (l *Loaded) config(i int) ([]byte, error) {
	var settings map[string]json.RawMessage
	if err := json.Unmarshal(l.SettingsJSON, &settings); err != nil {
		return nil, fmt.Errorf("%s: %w", l.Settings, err)
	}
	put := func(key string, v any) {
		b, _ := json.Marshal(v)
		settings[key] = b
	}
	put("me", i)
	put("balancers", l.Nodes.Count)
	if n := len(l.Nodes.Zones); n > 0 {
		put("zone", l.Nodes.Zones[i%n])
	}
	var peers []string
	for k := range l.Nodes.Count {
		peers = append(peers, count(l.Nodes.Peers, k))
	}
	return json.MarshalIndent(map[string]any{
		"name": l.Instances()[i], "listen": l.Listen(i), "discovery": l.Nodes.Discovery[i%len(l.Nodes.Discovery)],
		"counter": l.Nodes.Counter, "peer_listen": count(l.Nodes.Peers, i), "peers": peers,
		"limits":   map[string]any{"cores": float64(l.OperatorFile.Process.Cores), "memory_mb": l.Limits.MemoryMB, "sockets": l.Limits.Sockets},
		"settings": settings,
	}, "", " ")
}

// planner is the planner's form of the figures.
func (l *Loaded) planner() rollout.Config {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	s := func(n int) time.Duration { return time.Duration(n) * time.Second }
	return rollout.Config{ReadyWithin: ms(l.Rolls.ReadyWithinMS), StopWithin: ms(l.Rolls.StopWithinMS),
		HungAfter: ms(l.Rolls.HungAfterMS), Pause: ms(l.Rolls.PauseMS),
		BackoffLeast: ms(l.Restarts.BackoffLeastMS), BackoffMost: ms(l.Restarts.BackoffMostMS), Jitter: l.Restarts.Jitter,
		StableAfter: s(l.Restarts.StableS), CrashLimit: l.Restarts.CrashLimit, CrashSpan: s(l.Restarts.CrashSpanS),
		CrashRest: s(l.Restarts.CrashRestS)}
}
