package daemon

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// Main runs a daemon by a command line: nothing, or "serve" with --operator --book and
// --instance-lock. It returns the exit code.
func Main(args []string, stderr io.Writer) int {
	o := Options{Stderr: stderr}
	if len(args) == 0 {
		return Run(o)
	}
	fs := flag.NewFlagSet("pepperfall-node serve", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&o.Operator, "operator", "", "operator `file`; without it all is as the platform has it")
	fs.StringVar(&o.Lock, "instance-lock", "", "`file` of the lock that makes this process a named instance of a fleet")
	fs.StringVar(&o.Book, "book", "", "`file` of the compiled route book, instead of what the operator file names")
	if args[0] != "serve" {
		fmt.Fprintf(stderr, "pepperfall-node: %q: only serve is known here; the tools are in pepperfall\n", args[0])
		return ExitConfig
	}
	switch err := fs.Parse(args[1:]); {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		return ExitConfig
	case fs.NArg() > 0:
		fmt.Fprintf(stderr, "pepperfall-node: unexpected %q\n", fs.Arg(0))
		return ExitConfig
	}
	return Run(o)
}
