package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/operations/runbook/daybook"
)

func journalDir() cli.Flag {
	return &cli.StringFlag{Name: "journal", Usage: "`DIR` of the journals", Value: journals(), Sources: cli.EnvVars("PEPPERFALL_JOURNAL")}
}

// journals is where a user's journals are.
func journals() string {
	if dir := os.Getenv("XDG_STATE_HOME"); dir != "" {
		return filepath.Join(dir, "pepperfall", "runbooks")
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, ".local", "state", "pepperfall", "runbooks")
}

// hold takes hold of a runbook's journal.
func (a *app) hold(c *cli.Command, name string) (*daybook.Daybook, string, error) {
	dir := c.String("journal")
	if dir == "" {
		return nil, "", cli.Exit("no folder for the journals: give --journal", badInput)
	}
	who := whoAmI()
	b, err := daybook.Open(vfs.Default, filepath.Join(dir, filepath.Base(name)), who, a.w.Now())
	if errors.Is(err, daybook.ErrHeld) {
		return nil, "", cli.Exit(err, taken)
	}
	return b, who, err
}

// whoAmI is what others are told of who holds something.
func whoAmI() string {
	who := "somebody"
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	host, _ := os.Hostname()
	return fmt.Sprintf("%s at %s, process %d", who, host, os.Getpid())
}

func (a *app) runbookList(_ context.Context, c *cli.Command) error {
	dir := c.String("journal")
	names, err := os.ReadDir(dir)
	if err != nil && !os.IsNotExist(err) {
		return cli.Exit(err, badInput)
	}
	t := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "RUNBOOK\tRUN\tBEGAN\tEND\tTEXT")
	for _, n := range names {
		if !n.IsDir() {
			continue
		}
		book, _, err := a.hold(c, n.Name())
		if err != nil {
			fmt.Fprintf(t, "%s\t-\t-\theld\t%v\n", n.Name(), err)
			continue
		}
		runs, err := book.Runs()
		for _, id := range runs {
			r, _, e := book.Load(id)
			if e != nil {
				fmt.Fprintf(t, "%s\t%s\t-\tunreadable\t%v\n", n.Name(), id, e)
				continue
			}
			end := r.End
			if end == "" {
				end = "open"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", n.Name(), id, r.Began.Format(time.RFC3339), end, r.EndText)
		}
		if e := book.Close(); err == nil {
			err = e
		}
		if err != nil {
			return err
		}
	}
	return t.Flush()
}
