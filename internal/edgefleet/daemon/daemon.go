package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/dataplane/node"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Exit codes of the program.
const (
	ExitServe  = 1 // sockets stopped serving
	ExitConfig = 2 // a configuration or an operator file can't be used
	ExitTaken  = 3 // another process runs as this instance
)

// Options say how a daemon runs. The zero value is the platform's program.
type Options struct {
	Operator string              // path of the operator file; empty: none
	Lock     string              // path of the instance's lock; empty: none
	Book     string              // path of the compiled book, where a supervisor puts it; empty: what the operator file says
	Compile  Compile             // of descriptions; nil: only compiled books are read
	Getenv   func(string) string // nil: os.Getenv
	Stderr   io.Writer           // nil: os.Stderr
	Clock    world.Clock         // nil: the machine's
}

// Run serves until SIGTERM or SIGINT, then answers what is open, and returns
// the program's exit code. On SIGHUP it takes over a new configuration file
// and a new operator file; a file that can't be used changes nothing.
func Run(o Options) int {
	hup := make(chan os.Signal, 1) // caught from the start: by default it would end the process
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	if o.Getenv == nil {
		o.Getenv = os.Getenv
	}
	if o.Stderr == nil {
		o.Stderr = os.Stderr
	}
	if o.Clock == nil {
		o.Clock = world.Real{}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(o.Stderr, nil)))
	if o.Lock != "" {
		lock, err := Hold(o.Clock, o.Lock)
		if err != nil {
			fmt.Fprintln(o.Stderr, "pepperfall:", err)
			return ExitTaken
		}
		defer lock.Close()
	}
	file := operator.Default()
	var loaded *operator.Loaded
	if o.Operator != "" {
		var err error
		if loaded, err = operator.Load(o.Operator); err != nil {
			fmt.Fprintf(o.Stderr, "pepperfall: operator file:\n%v\n", err)
			return ExitConfig
		}
		file = loaded.File
	}
	runtime.GOMAXPROCS(file.Process.Cores)
	cfg, err := node.LoadConfig(o.Getenv)
	if err != nil {
		fmt.Fprintln(o.Stderr, "pepperfall: configuration:", err)
		return ExitConfig
	}
	debug.SetGCPercent(file.Process.GCPercent)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(file.Process.MemoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	}
	var books *books
	var tuning node.Tuning
	if loaded != nil {
		books = newBooks(&o, cfg)
		if tuning, err = books.tuning(context.Background(), loaded); err != nil {
			fmt.Fprintf(o.Stderr, "pepperfall: operator file:\n%v\n", err)
			return ExitConfig
		}
	}
	if file.Members.On {
		if !cfg.Settings.CanMessagePeers {
			lines, _ := conffile.Lines(loaded.Text)
			fmt.Fprintf(o.Stderr, "pepperfall: operator file:\n%v\n", conffile.Fault{File: o.Operator, Line: lines.Of("members.on"),
				Key: "members.on", Text: "the platform gives this edge node no peers"})
			return ExitConfig
		}
		t := file.Members.Timing()
		cfg.Membership = &t
	}
	n, err := node.New(cfg)
	if err != nil {
		fmt.Fprintln(o.Stderr, "pepperfall:", err)
		return ExitConfig
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	pass := hup
	if loaded != nil {
		n.Tune(tuning)
		pass = make(chan os.Signal, 1)
		r := &reloader{node: n, clock: o.Clock, path: o.Operator, force: loaded, books: books}
		ctx, end := context.WithCancel(context.Background())
		defer end()
		go r.run(ctx, hup, pass)
	}
	slog.Info("serving", "name", cfg.Name, "addr", n.Addr().String())
	if err := n.Run(stop, pass); err != nil {
		slog.Error("stopped", "err", err)
		return ExitServe
	}
	slog.Info("stopped")
	return 0
}
