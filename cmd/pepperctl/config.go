package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/config/conffile"
	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/operations/operatorclient"
	"pepperfall.example/pepperfall/internal/platform/world"
)

type writer = io.Writer

const mostConfig = 7 << 20 // what control takes

var disk = world.RealDisk{}

func (a *app) config() *cli.Command {
	return &cli.Command{Name: "config", Usage: "the operator's configuration", Commands: []*cli.Command{
		{Name: "check", Usage: "name each fault of a file", ArgsUsage: "FILE", Action: a.configCheck},
		{Name: "diff", Usage: "what a file would change", ArgsUsage: "FILE", Action: a.configDiff},
		{Name: "push", Usage: "bring a file as the next version; without --yes only say what would be done", ArgsUsage: "FILE", Action: a.configPush,
			Flags: []cli.Flag{yes(),
				&cli.StringFlag{Name: "stage", Usage: "parts in percent, such as 5,25: versions of their own before the whole"},
				&cli.DurationFlag{Name: "settle", Value: 10 * time.Second, Usage: "how long a stage is looked at"},
				&cli.Float64Flag{Name: "refused", Value: 0.05, Usage: "part of all answers by which those with 429 or 503 may rise"},
				&cli.Float64Flag{Name: "failed", Value: 0.02, Usage: "part of all answers by which those with another 5xx may rise"}}},
		{Name: "show", Usage: "the version that control holds, as it was sent (with its keys)", Flags: []cli.Flag{
			&cli.BoolFlag{Name: "summary", Usage: "services, tenants and prints of keys instead"}}, Action: a.configShow},
		{Name: "history", Usage: "orders that the replicas were given", Flags: []cli.Flag{asJSON()}, Action: a.configHistory},
	}}
}

// file reads and checks the file that is the only argument.
func (a *app) file(c *cli.Command) ([]byte, *routeconfig.Configuration, error) {
	path, err := one(c, "FILE")
	if err != nil {
		return nil, nil, err
	}
	body, err := conffile.ReadUpTo(path, mostConfig)
	if err != nil {
		return nil, nil, cli.Exit(err, badInput)
	}
	p, err := routeconfig.Parse(body)
	if err != nil {
		return nil, nil, cli.Exit(path+": "+strings.ReplaceAll(err.Error(), "\n", "\n"+path+": "), badInput)
	}
	return body, p, nil
}

func (a *app) configCheck(_ context.Context, c *cli.Command) error {
	_, p, err := a.file(c)
	if err == nil {
		fmt.Fprintf(a.out, "valid: r%d, %d routes, %d services, %d tenants\n", p.Gen, len(p.Routes), len(p.Backends), len(p.Tenants))
	}
	return err
}

func (a *app) configDiff(ctx context.Context, c *cli.Command) error {
	body, _, err := a.file(c)
	if err != nil {
		return err
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	p, err := client.Plan(ctx, body, nil)
	if err != nil {
		return err
	}
	a.plan(p)
	a.elsewhere(ctx, client, p)
	return nil
}

func (a *app) elsewhere(ctx context.Context, client *operatorclient.Client, p *operatorclient.Plan) {
	for _, l := range client.Elsewhere(ctx, p) {
		fmt.Fprintln(a.out, l)
	}
}

func (a *app) plan(p *operatorclient.Plan) {
	fmt.Fprintf(a.out, "held: r%d\n", p.Held)
	for _, l := range p.Diff {
		fmt.Fprintln(a.out, l)
	}
	if len(p.Diff) == 0 {
		fmt.Fprintln(a.out, "the content is the same")
	}
}

// parts reads --stage.
func parts(text string) (all []float64, err error) {
	last := 0.0
	for _, s := range strings.Split(text, ",") {
		if s == "" {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(s), "%"), 64)
		if err != nil || !(n > last && n <= 100) {
			return nil, cli.Exit(fmt.Sprintf("--stage: %q: percents that rise, to 100 at most", text), badInput)
		}
		last = n
		all = append(all, n/100)
	}
	return all, nil
}

func (a *app) configPush(ctx context.Context, c *cli.Command) error {
	body, file, err := a.file(c)
	if err != nil {
		return err
	}
	stage, err := parts(c.String("stage"))
	if err != nil {
		return err
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	p, err := client.Plan(ctx, body, stage)
	if err != nil {
		return err
	}
	a.plan(p)
	last := p.Stages[len(p.Stages)-1].Gen
	if file.Gen != last {
		fmt.Fprintf(a.out, "the file says r%d; it is sent as r%d, above what is held\n", file.Gen, last)
	}
	for _, s := range p.Stages {
		fmt.Fprintf(a.out, "to send: r%d, %g%% of %s\n", s.Gen, s.Part*100, map[bool]string{true: "all", false: fmt.Sprintf("%d routes that change their services", s.Routes)}[s.Part >= 1])
	}
	if !c.Bool("yes") {
		a.elsewhere(ctx, client, p)
		fmt.Fprintln(a.out, "nothing was sent: give --yes to do it")
		return nil
	}
	drop, err := a.lock(ctx, client, whoAmI(), false)
	if err != nil {
		return err
	}
	defer drop()
	tell := func(s string) { fmt.Fprintln(a.out, s) }
	check := operatorclient.Well(client.Told(ctx), operatorclient.Bound{Refused: c.Float64("refused"), Failed: c.Float64("failed")}, tell)
	if err := client.Push(ctx, p, c.Duration("settle"), check, tell); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "all proxies that are ready say that r%d is in force\n", last)
	return nil
}

func (a *app) configShow(ctx context.Context, c *cli.Command) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	body, err := client.Show(ctx)
	if err != nil {
		return err
	}
	if !c.Bool("summary") {
		_, err = a.out.Write(body)
		return err
	}
	p, err := routeconfig.Parse(body)
	if err != nil {
		return err
	}
	return a.json(operatorclient.Summarise(p))
}

func (a *app) configHistory(ctx context.Context, c *cli.Command) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	all, silent := client.Histories(ctx)
	if c.Bool("json") {
		err = a.json(all)
	} else {
		operatorclient.WriteHistory(a.out, all, silent)
	}
	if err == nil && len(all) == 0 {
		err = operatorclient.ErrNobody
	}
	return err
}

func (a *app) zone(name string, drain bool) *cli.Command {
	usage := map[bool]string{true: "send nothing further to a zone's servers", false: "take an evacuation back"}[drain]
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: "ZONE", Flags: []cli.Flag{yes()},
		Action: func(ctx context.Context, c *cli.Command) error {
			zone, client, err := a.about(c, "ZONE")
			if err != nil {
				return err
			}
			v := client.Look(ctx)
			if v.Answering() == 0 {
				return operatorclient.ErrNobody
			}
			ready := 0
			for _, z := range v.Zones {
				if z.Name == zone {
					fmt.Fprintf(a.out, "%s: drained %v, %d servers ready, %d of %d proxies ready\n", zone, z.Order.Drained, z.Servers.Ready, z.Ready, z.Proxies)
				} else if !z.Order.Drained {
					ready += z.Servers.Ready
				}
			}
			if drain {
				fmt.Fprintf(a.out, "servers ready in zones that stay open: %d\n", ready)
			}
			if err := a.agreed(c, name+" "+zone+"?"); err != nil {
				return err
			}
			if err := client.Drain(ctx, zone, drain); err != nil {
				return err
			}
			fmt.Fprintf(a.out, "%s of %s is acknowledged\n", name, zone)
			return nil
		}}
}

func (a *app) state() *cli.Command {
	return &cli.Command{Name: "state", Usage: "a replica's folder, while its replica is down", Commands: []*cli.Command{
		{Name: "check", Usage: "what its files hold and what a replica would do on start", ArgsUsage: "DIR", Action: func(_ context.Context, c *cli.Command) error {
			dir, err := dir(c)
			if err != nil {
				return err
			}
			sound, err := operatorclient.CheckState(a.out, disk, dir)
			if err == nil && !sound {
				err = cli.Exit("the folder is spoilt: start its replica, which mends itself from the others; where they are lost, see `pepperctl runbook explain` of records-missing", refused)
			}
			return err
		}},
		{Name: "repair", Usage: "remove leftovers", ArgsUsage: "DIR", Flags: []cli.Flag{yes()}, Action: func(_ context.Context, c *cli.Command) error {
			dir, err := dir(c)
			if err != nil {
				return err
			}
			mends, err := operatorclient.RepairState(disk, dir)
			if err != nil {
				return cli.Exit(err, refused)
			}
			if len(mends) == 0 {
				fmt.Fprintln(a.out, "nothing to repair")
				return nil
			}
			for _, m := range mends {
				fmt.Fprintln(a.out, "to do: "+m.Text)
			}
			if err := a.agreed(c, "is its replica down, and is this to be done?"); err != nil {
				return err
			}
			for _, m := range mends {
				if err := m.Do(); err != nil {
					return err
				}
				fmt.Fprintln(a.out, "done: "+m.Text)
			}
			return nil
		}},
	}}
}

func dir(c *cli.Command) (string, error) {
	dir, err := one(c, "DIR")
	if err != nil {
		return "", err
	}
	if st, err := os.Stat(dir); err != nil || !st.IsDir() {
		return "", cli.Exit(dir+": no such folder", badInput)
	}
	return dir, nil
}
