package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/testbed/experiment"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// run plays days from files.
func (a *app) run() *cli.Command {
	var times int
	var logs bool
	return &cli.Command{
		Name: "run", Usage: "plays days from files", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "times", Usage: "play each so many times, and count the traces that differ", Value: 1, Destination: &times},
			&cli.BoolFlag{Name: "logs", Usage: "show the last lines of all processes where something is broken", Destination: &logs},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() == 0 || times < 1 {
				return cli.Exit("run wants files, and --times of at least 1", badInput)
			}
			days, err := load(c.Args().Slice())
			if err != nil {
				return err
			}
			pool, err := a.pool()
			if err != nil {
				return err
			}
			wrong, traces, rules := 0, map[string]map[string]int{}, map[string]int{}
			err = pool.Play(ctx, each(ctx, slices.Repeat(days, times)), func(d *scenario.Day, r *experiment.Result) {
				if len(r.Broken) > 0 {
					wrong++
				}
				if traces[d.Name] == nil {
					traces[d.Name] = map[string]int{}
				}
				traces[d.Name][r.Trace]++
				rules[r.Rules()]++
				if times == 1 || a.json {
					a.show(r)
				}
				if logs && r.Logs != "" {
					fmt.Fprintln(a.out, r.Logs)
				}
			})
			if err != nil {
				return err
			}
			if times > 1 {
				for _, name := range slices.Sorted(maps.Keys(traces)) {
					most := 0
					for _, n := range traces[name] {
						most = max(most, n)
					}
					fmt.Fprintf(a.err, "%s: %d runs, %d different traces, the most frequent one %d times\n", name, times, len(traces[name]), most)
				}
				for _, k := range slices.Sorted(maps.Keys(rules)) {
					fmt.Fprintf(a.err, "%6d %s\n", rules[k], cmp.Or(k, "nothing")+" broken")
				}
			}
			return verdict(wrong, times*len(days))
		},
	}
}
