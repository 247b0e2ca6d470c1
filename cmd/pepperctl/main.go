// Command pepperctl is the operators' client.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/operations/operatorclient"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Exit codes (docs/operators/pepperctl.md).
const (
	failed   = 1
	badInput = 2 // a command line or a file; nothing was done
	refused  = 3 // by control, by a check or by the operator; nothing was done
	unclear  = 4 // an order may be in force or may not
	silent   = 5 // nobody answers, or control has no majority
	back     = 6 // done and taken back
	halted   = 7 // a run waits for a person, or was stopped; it can be resumed
	taken    = 8 // another operator holds the runbook, or the lock of control
)

// envCtl holds the addresses where --ctl is not given.
const envCtl = "PEPPERFALL_CTL"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(Main(ctx, world.Real{}, os.Args, os.Stdin, os.Stdout, os.Stderr))
}

// app is one call of the program.
type app struct {
	w        world.World
	in       *bufio.Reader
	out, err io.Writer
}

// Main runs a command line and returns the exit code.
func Main(ctx context.Context, w world.World, args []string, in io.Reader, out, err io.Writer) int {
	a := &app{w, bufio.NewReader(in), out, err}
	root := &cli.Command{
		Name: "pepperctl", Usage: "sees what the replicas believe, and gives them orders",
		Writer: out, ErrWriter: err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          []cli.Flag{&cli.StringFlag{Name: "ctl", Usage: "ctl addresses of some replicas, `HOST:PORT,...`", Sources: cli.EnvVars(envCtl)}},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return cli.Exit(err, badInput) },
		Commands:       []*cli.Command{a.status(), a.node(), a.server(), a.config(), a.zone("evacuate", true), a.zone("restore", false), a.why(), a.log(), a.state(), a.runbook(), a.settings(), a.demo()},
	}
	usage(root)
	e := root.Run(ctx, args)
	if e == nil {
		return 0
	}
	if text := e.Error(); text != "" {
		fmt.Fprintln(err, "pepperctl: "+text)
	}
	code := codeOf(e)
	if what := next[code]; what != "" {
		fmt.Fprintln(err, what)
	}
	return code
}

// usage has wrong flags of all commands end alike.
func usage(c *cli.Command) {
	for _, sub := range c.Commands {
		sub.OnUsageError = c.OnUsageError
		usage(sub)
	}
}

// next says what to do after an exit code.
var next = map[int]string{
	unclear: "next: `pepperctl config show` or `pepperctl status` tells whether it is in force; giving the same order again does no harm",
	silent:  "next: check --ctl and the way to the core machines; `pepperctl status` tells who answers; `pepperctl runbook explain` of core-majority leads on",
	taken:   "next: speak with whoever holds it; a holder that has ended lets go by itself, the lock of control after 15 s",
}

func codeOf(err error) int {
	var exit cli.ExitCoder
	var no *operatorclient.Refused
	var went *operatorclient.WentBack
	switch {
	case errors.As(err, &exit):
		return exit.ExitCode()
	case errors.As(err, &went) && went.Undo == nil:
		return back
	case errors.As(err, &went), errors.Is(err, operatorclient.ErrUnclear):
		return unclear
	case errors.Is(err, operatorclient.ErrTaken):
		return taken
	case errors.As(err, &no), errors.Is(err, operatorclient.ErrOvertaken), errors.Is(err, operatorclient.ErrNoConfig):
		return refused
	case errors.Is(err, operatorclient.ErrNobody), errors.Is(err, operatorclient.ErrUnsettled):
		return silent
	}
	return failed
}

// client asks the replicas that the command line names.
func (a *app) client(c *cli.Command) (*operatorclient.Client, error) {
	var addrs []string
	for _, addr := range strings.Split(c.String("ctl"), ",") {
		if addr = strings.TrimSpace(addr); addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, cli.Exit(fmt.Sprintf("--ctl: %q: not host:port", addr), badInput)
		}
		addrs = append(addrs, addr)
	}
	if len(addrs) == 0 {
		return nil, cli.Exit("no replica is named: give --ctl HOST:PORT,... or set "+envCtl, badInput)
	}
	return operatorclient.New(a.w, addrs), nil
}

// agreed asks a person unless --yes was given.
func (a *app) agreed(c *cli.Command, question string) error {
	if c.Bool("yes") {
		return nil
	}
	answer, err := a.ask(question + " [yes/no] ")
	if err != nil || answer != "yes" {
		return cli.Exit("not agreed to: nothing was done; answer yes, or give --yes", refused)
	}
	return nil
}

func (a *app) ask(question string) (string, error) {
	fmt.Fprint(a.out, question)
	line, err := a.in.ReadString('\n')
	if line = strings.TrimSpace(line); line != "" {
		return line, nil
	}
	return "", err
}

func (a *app) json(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", " ")
	return e.Encode(v)
}

// one is the only argument.
func one(c *cli.Command, what string) (string, error) {
	if c.NArg() != 1 {
		return "", cli.Exit(fmt.Sprintf("%s wants one %s", c.FullName(), what), badInput)
	}
	return c.Args().First(), nil
}

// about reads the one argument of a command and makes the client to carry the command out with.
func (a *app) about(c *cli.Command, what string) (name string, client *operatorclient.Client, err error) {
	if name, err = one(c, what); err != nil {
		return "", nil, err
	}
	client, err = a.client(c)
	return name, client, err
}

// agreedAndLocked asks the operator whether an order is to be given, and takes control's lock for it.
func (a *app) agreedAndLocked(ctx context.Context, c *cli.Command, client *operatorclient.Client, question string) (drop func(), err error) {
	if err := a.agreed(c, question); err != nil {
		return nil, err
	}
	return a.lock(ctx, client, whoAmI(), false)
}

func yes() cli.Flag    { return &cli.BoolFlag{Name: "yes", Usage: "do it, without a question"} }
func asJSON() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "write JSON"} }
