package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/platform/logring"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Exit codes beside 0 and 1.
const BadSettings = 2

const (
	lines   = 256 // of the log that are held
	memPart = 0.8 // of the memory limit, from where on garbage is collected harder
)

// Daemon is a process of the system.
type Daemon struct {
	Name, Usage string
	GC          int // percent of growth between two collections
	// Run serves until leave is closed and all that is open is done, or until ctx ends.
	Run func(ctx context.Context, e *Env) error
}

// Env is what a daemon's service gets.
type Env struct {
	Settings *settings.Settings
	World    world.World
	Log      logr.Logger
	Ring     *logring.Ring
	Leave    <-chan struct{}           // closed when the process is told to end
	Changed  <-chan *settings.Settings // new ones to serve by; faulty ones are only logged
	stderr   io.Writer
}

// Main runs a daemon by its command line and returns the exit code.
func Main(ctx context.Context, d Daemon, args []string, stdout, stderr io.Writer) int {
	var path string
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `file`", Sources: cli.EnvVars(settings.Env), Required: true, Destination: &path}
	app := &cli.Command{
		Name:           d.Name,
		Usage:          d.Usage,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{{
			Name:   "run",
			Usage:  "serve until SIGTERM",
			Flags:  []cli.Flag{settings},
			Action: func(ctx context.Context, _ *cli.Command) error { return d.run(ctx, path, stderr) },
		}, {
			Name:      "check",
			Usage:     "name each fault of a settings file",
			ArgsUsage: "FILE",
			Action: func(_ context.Context, c *cli.Command) error {
				if c.NArg() != 1 {
					return cli.Exit("check wants one FILE", BadSettings)
				}
				_, err := read(c.Args().First())
				return err
			},
		}},
	}
	err := app.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return 1
}

func read(path string) (*settings.Settings, error) {
	s, err := settings.Read(path)
	if err != nil {
		return nil, cli.Exit(err, BadSettings)
	}
	return s, nil
}

func (d Daemon) run(ctx context.Context, path string, stderr io.Writer) error {
	s, err := read(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // a machine has a part of one core
	debug.SetGCPercent(d.GC)
	if mb := s.Self.Limits.MemMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memPart))
	}
	w := world.Real{}
	ring := logring.New(w, lines, stderr)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(signals)
	leave, changed := make(chan struct{}), make(chan *settings.Settings, 1)
	e := &Env{Settings: s, World: w, Log: ring.Logger().WithName(d.Name), Ring: ring, Leave: leave, Changed: changed, stderr: stderr}
	told := make(chan struct{}, 1)
	f := &Follow{Path: path, Clock: w, Log: e.Log, Held: s, Take: func(s *settings.Settings) {
		select {
		case <-changed: // nobody took the one before
		default:
		}
		changed <- s
	}}
	go f.Run(ctx, told)
	go e.heed(ctx, signals, leave, told)
	return d.Run(ctx, e)
}

// heed follows signals.
func (e *Env) heed(ctx context.Context, signals <-chan os.Signal, leave, told chan struct{}) {
	left := false
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				e.Ring.Dump("asked for")
			case syscall.SIGHUP:
				Tell(told)
			default:
				if !left {
					left = true
					close(leave)
				}
			}
		}
	}
}

// Tell has a Follow read its file now.
func Tell(told chan<- struct{}) {
	select {
	case told <- struct{}{}:
	default: // it is to already
	}
}
