// Command control runs a replica of the control plane, one on each core machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/control"
	"pepperfall.example/pepperfall/internal/control/orderlog"
	"pepperfall.example/pepperfall/internal/platform/logring"
	"pepperfall.example/pepperfall/internal/platform/process"
	"pepperfall.example/pepperfall/internal/platform/world"
)

func main() {
	os.Exit(run(os.Args))
}

// unusable is the exit code where the settings are bad.
const unusable = 2

const (
	ringLines   = 500
	tallyAfter  = 3 * time.Second // whoever waits for control comes first
	tallyWithin = 300 * time.Millisecond
)

func run(args []string) int {
	settings := &cli.StringFlag{Name: "settings", Usage: "path of the settings file", Sources: cli.EnvVars(settings.Env)}
	root := &cli.Command{
		Name: "control", Usage: "keeps the operator's word and tells who is there",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{Name: "run", Usage: "serves until SIGTERM", Flags: []cli.Flag{settings},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c.String("settings")) }},
			{Name: "check", Usage: "names each fault of a settings file", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error { return check(c.Args().First()) }},
		},
	}
	err := root.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 1
}

func check(path string) error {
	if _, err := settings.Read(path); err != nil {
		return cli.Exit(err, unusable)
	}
	return nil
}

func serve(ctx context.Context, path string) error {
	set, err := settings.Read(path)
	if err != nil {
		return cli.Exit(err, unusable)
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(50)
	w := world.Real{}
	logs := logring.New(w, ringLines, os.Stderr)
	log := logs.Logger()
	var disk world.Disk
	if set.Self.DataDir != "" {
		disk = world.RealDisk{}
	}
	b := control.New(set, w, disk, log)
	b.SetLogRing(logs)
	if disk != nil {
		t := orderlog.Open(vfs.Default, filepath.Join(set.Self.DataDir, "tally"), tallyAfter, api.MostOrders, log, b.RestoreOrders)
		defer t.Close(tallyWithin)
		b.SetOrderPersister(t.Append)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signals, told := make(chan os.Signal, 2), make(chan struct{}, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	f := &process.Follow{Path: path, Clock: w, Log: log, Held: set, Take: b.SetSettings}
	go f.Run(ctx, told)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				logs.Dump("asked for")
				continue
			}
			process.Tell(told)
		}
	}()
	return b.Run(ctx)
}
