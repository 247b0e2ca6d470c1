package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/operations/runbook"
)

func (a *app) runbook() *cli.Command {
	params := &cli.StringSliceFlag{Name: "set", Usage: "a param, `NAME=VALUE`"}
	confirm, journal := confirms(), journalDir()
	return &cli.Command{Name: "runbook", Usage: "be led through a bad night", Commands: []*cli.Command{
		{Name: "check", Usage: "name each fault of runbooks", ArgsUsage: "FILE...", Action: a.runbookCheck},
		{Name: "explain", Usage: "what a runbook does, in words", ArgsUsage: "FILE", Action: a.runbookExplain},
		{Name: "run", Usage: "carry a runbook out; with --state only say what would be done", ArgsUsage: "FILE", Action: a.runbookRun, Flags: []cli.Flag{params, confirm, journal, yes(),
			dryState()}},
		{Name: "resume", Usage: "go on with a run", ArgsUsage: "RUNBOOK RUN", Action: a.runbookResume, Flags: []cli.Flag{confirm, journal, yes()}},
		{Name: "list", Usage: "runs in the journals of this machine", Action: a.runbookList, Flags: []cli.Flag{journal}},
	}}
}

func confirms() cli.Flag {
	return &cli.StringSliceFlag{Name: "confirm", Usage: "agree to the `STEP` that asks, beforehand"}
}

func dryState() cli.Flag {
	return &cli.StringFlag{Name: "state", Usage: "dry run against a `FILE` of status --json, or an array of such"}
}

func readBook(path string) (*runbook.Book, []byte, error) {
	text, err := conffile.Read(path)
	if err != nil {
		return nil, nil, cli.Exit(err, badInput)
	}
	b, err := runbook.Read(path, text)
	if err != nil {
		return nil, nil, cli.Exit(err, badInput)
	}
	return b, text, nil
}

func (a *app) runbookCheck(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("check wants a FILE", badInput)
	}
	var faults []string
	for _, path := range c.Args().Slice() {
		if _, _, err := readBook(path); err != nil {
			faults = append(faults, err.Error())
		}
	}
	if len(faults) > 0 {
		return cli.Exit(strings.Join(faults, "\n"), badInput)
	}
	return nil
}

func (a *app) runbookExplain(_ context.Context, c *cli.Command) error {
	path, err := one(c, "FILE")
	if err != nil {
		return err
	}
	b, _, err := readBook(path)
	if err == nil {
		fmt.Fprint(a.out, b.Explain())
	}
	return err
}

func (a *app) runbookRun(ctx context.Context, c *cli.Command) error {
	path, err := one(c, "FILE")
	if err != nil {
		return err
	}
	b, text, err := readBook(path)
	if err != nil {
		return err
	}
	params := map[string]string{}
	for _, p := range c.StringSlice("set") {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return cli.Exit(fmt.Sprintf("--set %q: not NAME=VALUE", p), badInput)
		}
		params[k] = v
	}
	return a.carry(ctx, c, b, text, params)
}
