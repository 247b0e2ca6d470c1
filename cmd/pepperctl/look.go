package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/operations/operatorclient"
	"pepperfall.example/pepperfall/internal/platform/world"
)

const followEvery = time.Second

func (a *app) status() *cli.Command {
	return &cli.Command{Name: "status", Usage: "what the replicas believe, joined", Flags: []cli.Flag{asJSON()},
		Action: func(ctx context.Context, c *cli.Command) error { return a.look(ctx, c, (*operatorclient.View).Write) }}
}

func (a *app) look(ctx context.Context, c *cli.Command, write func(*operatorclient.View, writer)) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	v := client.Look(ctx)
	if c.Bool("json") {
		err = a.json(v)
	} else {
		write(v, a.out)
	}
	switch {
	case err != nil:
		return err
	case v.Answering() == 0:
		return operatorclient.ErrNobody
	case !v.Settled:
		return operatorclient.ErrUnsettled
	}
	return nil
}

func (a *app) why() *cli.Command {
	return &cli.Command{Name: "why", Usage: "what the replicas' rings say of a request", ArgsUsage: "REQUEST-ID",
		Action: func(ctx context.Context, c *cli.Command) error {
			id, client, err := a.about(c, "REQUEST-ID")
			if err != nil {
				return err
			}
			lines, rings := client.Lines(ctx)
			found := operatorclient.Why(lines, id)
			a.lines(found)
			a.rings(rings)
			fmt.Fprintf(a.out, "%d lines of the replicas speak of %s.\n", len(found), id)
			fmt.Fprintln(a.out, "Proxies' and agents' rings are reached by no call: a request's own way is told only there. On the proxy's machine,\n"+
				"send SIGUSR1 to the proxy and to the agent, and look for the id in what they write to standard error.")
			if v := client.Look(ctx); len(v.Proxies) > 0 {
				fmt.Fprintln(a.out, "Proxies that are known:")
				for _, g := range v.Proxies {
					fmt.Fprintf(a.out, "  %s in %s, clients at %s, ready %v\n", g.Name, g.Zone, g.Front, g.Ready)
				}
			}
			return nil
		}}
}

func (a *app) log() *cli.Command {
	return &cli.Command{Name: "log", Usage: "the replicas' rings, joined by time", Flags: []cli.Flag{asJSON(),
		&cli.StringSliceFlag{Name: "replica", Usage: "only lines of the replicas of these `NAMES`"}, &cli.BoolFlag{Name: "follow", Usage: "go on until interrupted"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := a.client(c)
			if err != nil {
				return err
			}
			seen, only := map[string]uint64{}, c.StringSlice("replica")
			for {
				lines, rings := client.Lines(ctx)
				last := map[string]uint64{}
				for _, l := range lines {
					last[l.Replica] = max(last[l.Replica], l.No+1)
				}
				for replica, n := range last {
					if n < seen[replica] {
						seen[replica] = 0 // it has started anew
					}
				}
				var fresh []operatorclient.Line
				for _, l := range lines {
					if (len(only) == 0 || slices.Contains(only, l.Replica)) && l.No >= seen[l.Replica] {
						seen[l.Replica] = l.No + 1
						fresh = append(fresh, l)
					}
				}
				if c.Bool("json") {
					err = a.json(map[string]any{"lines": fresh, "rings": rings})
				} else {
					a.lines(fresh)
				}
				if err != nil || !c.Bool("follow") {
					if !c.Bool("json") {
						a.rings(rings)
					}
					return err
				}
				if !world.Sleep(ctx, a.w, followEvery) {
					return nil
				}
			}
		}}
}

func (a *app) lines(lines []operatorclient.Line) {
	for _, l := range lines {
		fmt.Fprintf(a.out, "%s %s %s\n", l.At.UTC().Format("15:04:05.000"), l.Replica, l.Text)
	}
}

// rings says whose lines are not among those shown, and how well clocks are known.
func (a *app) rings(rings []operatorclient.Ring) {
	for _, r := range rings {
		if r.Err != "" {
			fmt.Fprintf(a.out, "# %s does not tell: %s\n", r.Addr, r.Err)
			continue
		}
		fmt.Fprintf(a.out, "# %s: its clock is %+d ms off, give or take %d; set right above\n", r.Replica, r.Skew, r.Doubt)
	}
}

func (a *app) settings() *cli.Command {
	return &cli.Command{Name: "settings", Usage: "all keys of the processes' settings, with defaults and checks; asks nobody",
		Action: func(context.Context, *cli.Command) error {
			_, err := io.WriteString(a.out, settings.Page())
			return err
		}}
}
