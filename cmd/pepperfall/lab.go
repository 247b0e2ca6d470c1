package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/lab"
)

type labCommand struct {
	Run   labRunCommand   `cmd:"" help:"Play a story of faults on a fleet of real processes."`
	Check labCheckCommand `cmd:"" help:"Check story files."`
}

type labRunCommand struct {
	File string `arg:"" help:"The story, a TOML file; scenarios/ holds some."`
	Keep bool   `help:"Keep the folder with the instances' files and logs."`
}

// Help shows an example.
func (labRunCommand) Help() string {
	return "Starts edge nodes with a relay on every way between two of them, plays the story under the libraries' requests, and tells " +
		"whether what it expects holds and which rules were broken. Ends with code 1 if something is not as expected.\n\n" +
		"Example:\n  pepperfall lab run scenarios/halves.toml"
}

// Run plays a story.
func (c *labRunCommand) Run(o output) error {
	story, err := lab.LoadStory(c.File)
	if err != nil {
		fmt.Fprintln(o.err, err)
		return code(exitUsage)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	dir, remove, err := workFolder(o, "lab", c.Keep)
	if err != nil {
		return err
	}
	defer remove()
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer end()
	rep, err := lab.Play(ctx, story, lab.Options{Program: program, Dir: dir, World: world.Real{}, Out: o.out})
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s: %d requests, %d served, %d refused, %d failed; one view %.1f s after the end\n", story.Name,
		rep.Asked, rep.Served, rep.Refused, rep.Failed, rep.Agreed.Seconds())
	for _, f := range rep.Faults {
		fmt.Fprintln(o.out, "not as expected:", f)
	}
	for _, b := range rep.Breaks {
		fmt.Fprintln(o.out, "rule broken:", b)
	}
	if len(rep.Faults)+len(rep.Breaks) > 0 {
		return code(exitFailed)
	}
	fmt.Fprintln(o.out, "all as expected, no rule broken")
	return nil
}

type labCheckCommand struct {
	Files []string `arg:"" help:"Story files."`
}

// Run checks them.
func (c *labCheckCommand) Run(o output) error {
	bad := false
	for _, f := range c.Files {
		if _, err := lab.LoadStory(f); err != nil {
			fmt.Fprintln(o.err, err)
			bad = true
		}
	}
	if bad {
		return code(exitUsage)
	}
	return nil
}
