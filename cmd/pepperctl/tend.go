package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/operations/operatorclient"
	"pepperfall.example/pepperfall/internal/operations/runbook"
	"pepperfall.example/pepperfall/internal/operations/runbook/daybook"
	"pepperfall.example/pepperfall/internal/operations/runbook/tend"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// carry begins a run of a book, or plays it dry.
func (a *app) carry(ctx context.Context, c *cli.Command, b *runbook.Book, text []byte, params map[string]string) error {
	params, err := b.Told(params)
	if err != nil {
		return cli.Exit(err, badInput)
	}
	began := runbook.Entry{Note: runbook.Began, Book: string(text), Params: params, Text: b.Name}
	if state := c.String("state"); state != "" {
		return a.dry(ctx, c, state, began)
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	book, who, err := a.hold(c, b.Name)
	if err != nil {
		return err
	}
	defer book.Close()
	if open, err := unfinished(book); err != nil || open != "" {
		if err == nil {
			err = cli.Exit(fmt.Sprintf("run %s of it is not at its end: resume that (pepperctl runbook resume %s %s)", open, b.Name, open), refused)
		}
		return err
	}
	if b.Limits.Orders > 0 {
		drop, err := a.lock(ctx, client, who, false)
		if err != nil {
			return err
		}
		defer drop()
	}
	name := a.w.Now().UTC().Format("20060102-150405")
	began.At = a.w.Now().UTC()
	page := daybook.Page{Book: book, Run: name}
	if err := page.Append(&began); err != nil {
		return err
	}
	run := &runbook.Run{}
	if err := run.Apply(&began); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "run %s of %s, held by %s\n", name, b.Name, who)
	return a.tend(ctx, c, client, run, page, b.Name)
}

// lock takes control's lock. One who resumes waits for as long as an earlier life of the same run may still have it.
func (a *app) lock(ctx context.Context, client *operatorclient.Client, who string, waits bool) (drop func(), err error) {
	began := a.w.Now()
	for {
		h, err := client.Hold(ctx, who)
		switch {
		case err == nil:
			return h.Drop, nil
		case !waits || !errors.Is(err, operatorclient.ErrTaken) || a.w.Now().Sub(began) > api.LockMost+lockAgain:
			return nil, err
		}
		fmt.Fprintf(a.out, "waits for the lock: %v\n", err)
		if !world.Sleep(ctx, a.w, lockAgain) {
			return nil, err
		}
	}
}

const lockAgain = 3 * time.Second

// unfinished is a run that is not at its end.
func unfinished(book *daybook.Daybook) (string, error) {
	names, err := book.Runs()
	if err != nil {
		return "", err
	}
	for _, n := range names {
		r, _, err := book.Load(n)
		if err != nil {
			return "", err
		}
		if r.End == "" {
			return n, nil
		}
	}
	return "", nil
}

func (a *app) dry(ctx context.Context, c *cli.Command, state string, began runbook.Entry) error {
	text, err := conffile.ReadUpTo(state, mostState)
	if err != nil {
		return cli.Exit(err, badInput)
	}
	r, err := operatorclient.ReadRecord(text)
	if err != nil {
		return cli.Exit(fmt.Sprintf("%s: %v", state, err), badInput)
	}
	r.Tell = func(s string) { fmt.Fprintln(a.out, s) }
	r.Answer = true
	began.At = r.Now()
	run := &runbook.Run{}
	if err := run.Apply(&began); err != nil {
		return err
	}
	t := &tend.Tender{Run: run, Agents: r, Journal: r, Clock: r, Tell: r.Tell}
	if err := t.Go(ctx); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "dry run: %s %s\n", run.End, run.EndText)
	return nil
}

const mostState = 64 << 20

type clock struct{ world.World }

func (c clock) Sleep(ctx context.Context, d time.Duration) bool { return world.Sleep(ctx, c.World, d) }

func (a *app) tend(ctx context.Context, c *cli.Command, client *operatorclient.Client, run *runbook.Run, page daybook.Page, name string) error {
	last := ""
	t := &tend.Tender{Run: run, Journal: page, Clock: clock{a.w}, Tell: func(s string) {
		if s != last { // waits repeat
			fmt.Fprintln(a.out, s)
		}
		last = s
	}}
	t.Agents = &confirming{Agents: operatorclient.Agents{Client: client, Run: a.command, Person: func(_ context.Context, step, question string) (bool, string, error) {
		return a.person(c, step, question)
	}}, app: a, yes: c.Bool("yes")}
	err := t.Go(ctx)
	switch {
	case errors.Is(err, tend.ErrHalted):
		return cli.Exit(fmt.Sprintf("%v\nnext: pepperctl runbook resume %s %s", err, name, page.Run), halted)
	case errors.Is(err, daybook.ErrFenced):
		return cli.Exit(err, taken)
	case err != nil:
		return err
	}
	text := fmt.Sprintf("%s: %s", run.End, run.EndText)
	switch run.End {
	case runbook.EndDone:
		fmt.Fprintln(a.out, "done")
		return nil
	case runbook.EndRefused:
		return cli.Exit(text, refused)
	case runbook.EndUndone:
		return cli.Exit(text, back)
	case runbook.EndStopped:
		return cli.Exit(text+"\nnext: all stays as it is; `pepperctl status` shows it", halted)
	}
	return cli.Exit(text+"\nnext: put right by hand what the journal says failed: pepperctl runbook list", failed)
}

// person answers a confirm step.
func (a *app) person(c *cli.Command, step, question string) (bool, string, error) {
	bare, _, _ := strings.Cut(step, "@")
	if given := c.StringSlice("confirm"); slices.Contains(given, step) || slices.Contains(given, bare) {
		return true, "--confirm", nil
	}
	for {
		answer, err := a.ask(fmt.Sprintf("%s: %s [yes/no] ", step, question))
		switch {
		case err != nil:
			return false, "", errors.WithMessagef(tend.ErrNobody, "agree with --confirm %s", step)
		case answer == "yes" || answer == "no":
			return answer == "yes", "", nil
		}
	}
}

// confirming asks before each order unless --yes was given. An order that is
// written down is not asked for again.
type confirming struct {
	operatorclient.Agents
	app *app
	yes bool
}

func (h *confirming) Prepare(ctx context.Context, t runbook.Task) (*runbook.Order, error) {
	o, err := h.Agents.Prepare(ctx, t)
	if err != nil || h.yes || o.Nothing || t.Undo != nil {
		return o, err
	}
	answer, err := h.app.ask(fmt.Sprintf("%s: %s? [yes/no] ", t.Step, o.Says))
	if err != nil || answer != "yes" {
		return nil, errors.New("not agreed to; give --yes where nobody can answer")
	}
	return o, nil
}

func (a *app) runbookResume(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 2 {
		return cli.Exit("resume wants a RUNBOOK and a RUN, see pepperctl runbook list", badInput)
	}
	name, id := c.Args().Get(0), c.Args().Get(1)
	client, err := a.client(c)
	if err != nil {
		return err
	}
	book, who, err := a.hold(c, name)
	if err != nil {
		return err
	}
	defer book.Close()
	run, all, err := book.Load(id)
	if err != nil {
		return err
	}
	if run == nil {
		return cli.Exit(fmt.Sprintf("no run %s of %s is in this machine's journal", id, name), badInput)
	}
	for _, e := range all {
		fmt.Fprintf(a.out, "%s %s\n", e.At.Format("15:04:05"), tend.Says(e))
	}
	page := daybook.Page{Book: book, Run: id}
	if run.End == "" && run.Book.Limits.Orders > 0 {
		drop, err := a.lock(ctx, client, who, true)
		if err != nil {
			return err
		}
		defer drop()
	}
	if run.End == "" {
		took := runbook.Entry{No: run.Next(), At: a.w.Now().UTC(), Note: runbook.Took, Text: who}
		if err := page.Append(&took); err != nil {
			return err
		}
		if err := run.Apply(&took); err != nil {
			return err
		}
	}
	return a.tend(ctx, c, client, run, page, name)
}
