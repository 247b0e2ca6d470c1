// Command simulate runs days of a whole cluster on a simulated clock, by seed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/testbed/experiment"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// Exit codes (docs/operators/model.md).
const (
	broken   = 1 // a rule was broken, or something else that had to hold
	badInput = 2 // a command line or a file; nothing was played
	failed   = 3 // the program could not do its work
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "worker" {
		out := os.Stdout
		os.Stdout = os.Stderr
		experiment.Work(os.Stdin, out)
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(Main(ctx, os.Args, os.Stdout, os.Stderr))
}

// app is one call of the program.
type app struct {
	out, err io.Writer
	jobs     int
	json     bool
}

// Main runs a command line and returns the exit code.
func Main(ctx context.Context, args []string, out, err io.Writer) int {
	a := &app{out: out, err: err}
	root := &cli.Command{
		Name: "simulate", Usage: "plays days of a whole farm in no time, by seed",
		Writer: out, ErrWriter: err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return cli.Exit(err, badInput) },
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "jobs", Usage: "days played at a time, each in a process with one processor", Value: runtime.NumCPU(), Destination: &a.jobs},
			&cli.BoolFlag{Name: "json", Usage: "write results as JSON, one a line", Destination: &a.json},
		},
		Commands: []*cli.Command{a.run(), a.draw(), a.hunt(), a.shrink(), a.sweep(), a.compare(), a.plot()},
	}
	for _, c := range root.Commands {
		c.OnUsageError = root.OnUsageError
	}
	e := root.Run(ctx, args)
	if e == nil {
		return 0
	}
	if text := e.Error(); text != "" {
		fmt.Fprintln(err, "simulate: "+text)
	}
	var exit cli.ExitCoder
	if errors.As(e, &exit) {
		return exit.ExitCode()
	}
	return failed
}

// pool plays with this program's own file.
func (a *app) pool() (*experiment.Pool, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, errors.WithMessage(err, "this program's file")
	}
	if a.jobs < 1 {
		return nil, cli.Exit(fmt.Sprintf("--jobs: %d: at least 1", a.jobs), badInput)
	}
	return &experiment.Pool{Exe: exe, Jobs: a.jobs}, nil
}

// load reads days' files.
func load(paths []string) (days []*scenario.Day, err error) {
	for _, p := range paths {
		text, err := conffile.Read(p)
		if err != nil {
			return nil, cli.Exit(err, badInput)
		}
		d, err := scenario.Parse(p, text)
		if err != nil {
			return nil, cli.Exit(err, badInput)
		}
		days = append(days, d)
	}
	return days, nil
}

// each agents days to a pool.
func each(ctx context.Context, days []*scenario.Day) <-chan *scenario.Day {
	out := make(chan *scenario.Day)
	go func() {
		defer close(out)
		for _, d := range days {
			select {
			case out <- d:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// show writes a result.
func (a *app) show(r *experiment.Result) {
	if !a.json {
		fmt.Fprintln(a.out, r)
		return
	}
	_ = json.NewEncoder(a.out).Encode(r)
}

// verdict ends a command.
func verdict(wrong, of int) error {
	if wrong > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d days broke something that had to hold", wrong, of), broken)
	}
	return nil
}
