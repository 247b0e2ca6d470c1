package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/edgefleet/members"
)

// File is a whole operator file. The tag "when" says for each key whether a
// change takes effect at a reload (live) or at the next start (start).
type File struct {
	Revision  string    `toml:"revision" max:"64" when:"live"` // of the route book that must be in force; empty: any. A fleet's supervisor writes it
	Clients   Clients   `toml:"clients"`
	Upstream  Upstream  `toml:"upstream"`
	Discovery Discovery `toml:"discovery"`
	Process   Process   `toml:"process"`
	Routes    Routes    `toml:"routes"`
	Keys      Keys      `toml:"keys"`
	Members   Members   `toml:"members"`
}

// Clients is how long clients may take, and when their connections are ended.
type Clients struct {
	FirstRequestMS int  `toml:"first_request_ms" min:"50" max:"60000" when:"live"` // from the connect to the end of the first request
	WholeRequestMS int  `toml:"whole_request_ms" min:"50" max:"60000" when:"live"` // from a later request's first byte to its last
	IdleMS         int  `toml:"idle_ms" min:"100" max:"86400000" when:"live"`      // between requests
	WriteMS        int  `toml:"write_ms" min:"50" max:"60000" when:"live"`         // for a client to take an answer
	EndUnused      bool `toml:"end_unused" when:"live"`                            // end connections that clients leave unused when room is short
}

// Upstream is how connections to loan servers are used.
type Upstream struct {
	RestMS  int `toml:"rest_ms" min:"0" max:"1000" when:"live"`    // an idle connection rests so long before it is used again
	StallMS int `toml:"stall_ms" min:"20" max:"10000" when:"live"` // an answer that has begun and stops for so long is spoilt
}

// Discovery is where the roster comes from.
type Discovery struct {
	Address string `toml:"address" max:"64" when:"live"` // goes before what the platform tells; empty: that one
}

// Process is what the process takes of its machine.
type Process struct {
	Cores      int     `toml:"cores" min:"1" max:"256" when:"start"`          // run at once
	GCPercent  int     `toml:"gc_percent" min:"10" max:"1000" when:"start"`   // heap growth between two collections
	MemoryPart float64 `toml:"memory_part" min:"0.3" max:"0.95" when:"start"` // of the memory limit, from where on garbage is collected harder
}

// Members is the view of the fleet that an edge node keeps together with the others. All of a
// fleet must have the same figures.
type Members struct {
	On             bool    `toml:"on" when:"start"`
	BeatMS         int     `toml:"beat_ms" min:"50" max:"60000" when:"start"`            // between two messages of an instance, to one neighbour after the other
	MostPerSecond  float64 `toml:"most_per_second" min:"0.1" max:"100" when:"start"`     // messages of an instance, of all kinds
	SuspectAfterMS int     `toml:"suspect_after_ms" min:"100" max:"600000" when:"start"` // silence to all others before an instance is suspected
	DeadAfterMS    int     `toml:"dead_after_ms" min:"200" max:"600000" when:"start"`    // and before it is out of the view
}

// Timing is what a view runs by.
func (m Members) Timing() members.Timing {
	t := members.DefaultTiming()
	t.Heartbeat, t.MostPerSecond = time.Duration(m.BeatMS)*time.Millisecond, m.MostPerSecond
	t.SuspectAfter, t.DeadAfter = time.Duration(m.SuspectAfterMS)*time.Millisecond, time.Duration(m.DeadAfterMS)*time.Millisecond
	return t
}

// Default is what holds where the file says nothing: what the platform's
// program does by itself.
func Default() File {
	return File{
		Clients:  Clients{FirstRequestMS: 2000, WholeRequestMS: 2000, IdleMS: 10000, WriteMS: 5000, EndUnused: true},
		Upstream: Upstream{RestMS: 5, StallMS: 250},
		Process:  Process{Cores: 1, GCPercent: 400, MemoryPart: 0.7},
		Routes:   defaultRoutes(),
		Members:  Members{BeatMS: 300, MostPerSecond: 5, SuspectAfterMS: 1000, DeadAfterMS: 3000},
	}
}

// Loaded is an operator file that passed every check.
type Loaded struct {
	File
	Path       string
	Text       []byte
	Generation string // 12 hexadecimal digits that follow from the text
}

// Load reads and checks a file. The error holds every fault.
func Load(path string) (*Loaded, error) {
	text, err := conffile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse checks a file's text.
func Parse(path string, text []byte) (*Loaded, error) {
	l := &Loaded{File: Default(), Path: path, Text: text, Generation: GenerationOf(text)}
	faults := conffile.Decode(path, text, &l.File)
	if a := l.Discovery.Address; a != "" {
		if _, err := netip.ParseAddrPort(a); err != nil {
			lines, _ := conffile.Lines(text)
			faults = append(faults, conffile.Fault{File: path, Line: lines.Of("discovery.address"), Key: "discovery.address",
				Text: fmt.Sprintf("%q is no IP address and port", a)})
		}
	}
	faults = append(faults, l.checkRoutes()...)
	if err := l.Members.Timing().Check(); err != nil {
		lines, _ := conffile.Lines(text)
		faults = append(faults, conffile.Fault{File: path, Line: lines.Of("members"), Key: "members", Text: strings.TrimPrefix(err.Error(), "members: ")})
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return l, nil
}

// GenerationOf names a text: equal texts have equal names.
func GenerationOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:6])
}

// RestartKeys lists what a new file wants that only a restart can give.
func RestartKeys(old, new *File) (keys []string) {
	for _, c := range conffile.Diff(*old, *new) {
		if c.Restart {
			keys = append(keys, c.Key)
		}
	}
	return keys
}
