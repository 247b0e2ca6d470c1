package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/testbed/loadtest"
)

const demoFor = 20 * time.Second

func (a *app) demo() *cli.Command {
	var length time.Duration
	return &cli.Command{
		Name: "demo", Usage: "shows the whole system at work on this machine's loopback, and its judge's verdict",
		Description: "Runs 3 replicas, 4 proxies and their agents in 2 zones, servers, the platform's list, clients and an operator on addresses\n" +
			"of 127.1.0.0/16. Ends by itself, with code 1 if a rule was broken. Needs no settings.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "how long the steps last", Value: demoFor, Destination: &length},
			&cli.BoolFlag{Name: "keep", Usage: "leave the cluster running until interrupted"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if length < loadtest.Shortest || length > loadtest.Longest {
				return cli.Exit(fmt.Sprintf("--for: %v: not from %v to %v", length, loadtest.Shortest, loadtest.Longest), badInput)
			}
			dir, err := os.MkdirTemp("", "pepperfall-demo-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			broken, err := loadtest.Run(ctx, loadtest.Options{Ground: &loadtest.Loopback{Dir: dir}, For: length, Keep: c.Bool("keep"), Out: a.out})
			if err != nil {
				return err
			}
			if broken > 0 {
				return cli.Exit(fmt.Sprintf("rules were broken %d times", broken), failed)
			}
			return nil
		},
	}
}
