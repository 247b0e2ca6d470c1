// Command pepperfall is one edge node on real sockets, and what is needed to
// run many of them. Without arguments it is the platform's program: it takes its
// settings from the environment (GW_CONFIG and its like), takes over a new
// configuration file on SIGHUP, and stops on SIGTERM once all that it has taken
// is answered.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"pepperfall.example/pepperfall/internal/config/bookmaker"
	"pepperfall.example/pepperfall/internal/config/operator"
	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
)

// Exit codes beyond those of package daemon.
const (
	exitFailed = 1 // an order was not carried out, or a rule was broken
	exitUsage  = 2 // a command line or a file is at fault
	exitConfig = daemon.ExitConfig
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// commands are all that the program can be told to do.
type commands struct {
	Serve  serveCommand  `cmd:"" help:"Run one edge node."`
	Check  checkCommand  `cmd:"" help:"Check operator and fleet files."`
	Fleet  fleetCommand  `cmd:"" help:"Run many edge nodes, and change them in service."`
	Routes routesCommand `cmd:"" help:"Read OpenAPI descriptions as the edge node does."`
	Key    keyCommand    `cmd:"" help:"Give libraries API keys, and withdraw them."`
	Demo   demoCommand   `cmd:"" help:"Show a whole installation at work on this machine."`
	Lab    labCommand    `cmd:"" help:"Run many edge nodes with faults between them."`
}

// output is where commands write.
type output struct{ out, err io.Writer }

// code is a command's exit code as an error that says nothing more.
type code int

func (c code) Error() string { return fmt.Sprintf("exit code %d", int(c)) }

func run(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		return daemon.Run(daemon.Options{Stderr: errs})
	}
	var all commands
	exit := -1
	parser, err := kong.New(&all, kong.Name("pepperfall"), kong.Description(
		"An edge node for quota-keeping gateways. Without arguments it runs one edge node as the platform tells it by GW_CONFIG.\n\n"+
			"Example:\n  pepperfall demo --instances 3 --seconds 20"),
		kong.Writers(out, errs), kong.Exit(func(n int) { exit = n }), kong.Bind(output{out, errs}), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errs, "pepperfall:", err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit // help was asked for
	}
	if err != nil {
		fmt.Fprintln(errs, "pepperfall:", err)
		return exitUsage
	}
	err = ctx.Run()
	var c code
	switch {
	case err == nil:
		return 0
	case errors.As(err, &c):
		return int(c)
	}
	fmt.Fprintln(errs, "pepperfall:", err)
	return exitFailed
}

// compiler has descriptions compiled by this program, in a process of its own.
func compiler() func(context.Context, *operator.Loaded, float64) ([]byte, string, error) {
	program, err := os.Executable()
	if err != nil {
		return func(context.Context, *operator.Loaded, float64) ([]byte, string, error) { return nil, "", err }
	}
	return (&bookmaker.Child{Program: program}).Compile
}

type serveCommand struct {
	Operator     string `type:"path" placeholder:"FILE" help:"Operator file; without it all is as the platform has it."`
	Book         string `type:"path" placeholder:"FILE" help:"Compiled route book, instead of what the operator file names."`
	InstanceLock string `type:"path" placeholder:"FILE" help:"Lock that makes this process a named instance of a fleet."`
}

// Help shows an example.
func (serveCommand) Help() string {
	return "Example:\n  GW_CONFIG=config.json pepperfall serve --operator deploy/operator.toml"
}

// Run serves until SIGTERM.
func (c *serveCommand) Run(o output) error {
	if n := daemon.Run(daemon.Options{Operator: c.Operator, Book: c.Book, Lock: c.InstanceLock, Stderr: o.err, Compile: compiler()}); n != 0 {
		return code(n)
	}
	return nil
}
