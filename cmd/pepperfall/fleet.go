package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"pepperfall.example/pepperfall/internal/config/bookmaker"
	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/edgefleet/supervisor"
	"pepperfall.example/pepperfall/internal/platform/world"
)

type fleetCommand struct {
	Run     fleetRun     `cmd:"" help:"Supervise the fleet until it is stopped."`
	Status  fleetStatus  `cmd:"" help:"Show what each instance does."`
	Reload  fleetReload  `cmd:"" help:"Bring the fleet file and what it names in force."`
	Restart fleetRestart `cmd:"" help:"Restart all instances, one at a time."`
	Stop    fleetStop    `cmd:"" help:"Stop all instances, each once its requests are answered, and the supervisor."`
}

// Help shows an example.
func (fleetCommand) Help() string {
	return "Example:\n  pepperfall fleet run deploy/fleet.toml &\n  pepperfall fleet status deploy/fleet.toml"
}

type fleetRun struct {
	File string `arg:"" type:"path" help:"Fleet file."`
}

// Help shows an example.
func (fleetRun) Help() string {
	return "Instances go on when the supervisor is killed; a new one takes them over. SIGTERM stops the fleet, SIGHUP reloads it.\n\n" +
		"Example:\n  pepperfall fleet run deploy/fleet.toml"
}

// Run supervises.
func (c *fleetRun) Run(o output) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	err := supervisor.Run(stop, c.File, hup, supervisor.Options{World: world.Real{}, Log: slog.New(slog.NewTextHandler(o.err, nil)),
		Seed: uint64(time.Now().UnixNano()), Compile: compiler()})
	var faults conffile.Faults
	var fault conffile.Fault
	var wrong *bookmaker.Faults
	if errors.As(err, &faults) || errors.As(err, &fault) || errors.As(err, &wrong) {
		fmt.Fprintln(o.err, err)
		return code(exitUsage)
	}
	return err
}

// tell gives an order and prints its lines.
func tell(o output, file, op string, within time.Duration) error {
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	n, err := supervisor.Tell(ctx, world.Real{}, file, op, func(l supervisor.Line) {
		if l.Say != "" {
			fmt.Fprintln(o.out, l.Say)
		}
	})
	if err != nil {
		fmt.Fprintln(o.err, "pepperfall:", err)
		return code(max(n, exitFailed))
	}
	if n != 0 {
		return code(n)
	}
	return nil
}

const (
	statusLimit = 10 * time.Second
	mostDiffer  = 40             // differences between views that are printed
	orderLimit  = 24 * time.Hour // a roll through a large fleet takes its time; an interrupt ends the wait, not the roll
)

type fleetStatus struct {
	File string `arg:"" type:"path" help:"Fleet file."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Help shows an example.
func (fleetStatus) Help() string {
	return "Example:\n  pepperfall fleet status --json deploy/fleet.toml"
}

// Run prints the state.
func (c *fleetStatus) Run(o output) error {
	st, err := statusOf(o, c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(o.out)
		e.SetIndent("", " ")
		return e.Encode(st)
	}
	return table(o.out, st)
}

// statusOf asks a fleet's supervisor for its state.
func statusOf(o output, file string) (*supervisor.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusLimit)
	defer cancel()
	var st *supervisor.Status
	n, err := supervisor.Tell(ctx, world.Real{}, file, "status", func(l supervisor.Line) {
		if l.Status != nil {
			st = l.Status
		}
	})
	switch {
	case err != nil:
		fmt.Fprintln(o.err, "pepperfall:", err)
		return nil, code(max(n, exitFailed))
	case st == nil:
		return nil, errors.New("the supervisor told no state")
	}
	return st, nil
}

func table(out io.Writer, st *supervisor.Status) error {
	fmt.Fprintf(out, "fleet %s, generation %s in force", st.Fleet, st.Generation)
	if st.Rolling != "" {
		fmt.Fprintf(out, ", a %s is on", st.Rolling)
	}
	fmt.Fprintln(out)
	if st.Book != "" {
		fmt.Fprintf(out, "route book %s\n", st.Book)
	}
	if st.Pending != nil {
		fmt.Fprintln(out, st.Pending)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tLISTEN\tPID\tPHASE\tFOR\tGENERATION\tDEATHS\tLAST DEATH")
	for _, i := range st.Instances {
		phase := i.Phase
		if i.StartsInS > 0 {
			phase += fmt.Sprintf(", starts in %.0f s", i.StartsInS)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.0f s\t%s\t%d\t%s\n", i.Name, i.Listen, i.PID, phase, i.SinceS, i.Generation, i.Deaths, i.LastDeath)
	}
	if err := w.Flush(); err != nil || len(st.Views) == 0 {
		return err
	}
	fmt.Fprintf(out, "views of the fleet: %d told\n", len(st.Views))
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NUMBER\tVIEW\tPRESENT\tCOUNTED ON\tDOUBTS")
	for _, v := range st.Views {
		fmt.Fprintf(w, "%d\t%d/%08x\t%d\t%d\t%s\n", v.Number, v.Epoch, v.Hash, len(v.Present), len(v.Alive), strings.Join(v.Doubts, ", "))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i, d := range st.Differ {
		if i == mostDiffer {
			fmt.Fprintf(out, "and %d more\n", len(st.Differ)-i)
			break
		}
		fmt.Fprintln(out, d)
	}
	return nil
}

type fleetReload struct {
	File string `arg:"" type:"path" help:"Fleet file."`
}

// Help shows an example.
func (fleetReload) Help() string {
	return "Checks all files first: with a fault nothing is changed (code 2). What can change in service does; what needs a restart " +
		"is brought in by restarting one instance at a time. If an instance does not come up, all go back (code 1).\n\n" +
		"Example:\n  pepperfall fleet reload deploy/fleet.toml"
}

// Run gives the order.
func (c *fleetReload) Run(o output) error { return tell(o, c.File, "reload", orderLimit) }

type fleetRestart struct {
	File string `arg:"" type:"path" help:"Fleet file."`
}

// Help shows an example.
func (fleetRestart) Help() string { return "Example:\n  pepperfall fleet restart deploy/fleet.toml" }

// Run gives the order.
func (c *fleetRestart) Run(o output) error { return tell(o, c.File, "restart", orderLimit) }

type fleetStop struct {
	File string `arg:"" type:"path" help:"Fleet file."`
}

// Help shows an example.
func (fleetStop) Help() string { return "Example:\n  pepperfall fleet stop deploy/fleet.toml" }

// Run gives the order.
func (c *fleetStop) Run(o output) error { return tell(o, c.File, "stop", orderLimit) }
