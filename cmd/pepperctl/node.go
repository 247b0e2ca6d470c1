package main

import (
	"context"
	"fmt"
	"os/exec"
	"path"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/deploy"
	"pepperfall.example/pepperfall/internal/operations/operatorclient"
	"pepperfall.example/pepperfall/internal/operations/runbook"
	"pepperfall.example/pepperfall/internal/platform/world"
)

const (
	commandWithin = 10 * time.Minute // of one that restarts a machine
	drainLook     = time.Second
)

func (a *app) node() *cli.Command {
	awake := []cli.Flag{
		&cli.Float64Flag{Name: "zone-awake", Value: api.LeastAwake, Usage: "part of a zone's proxies that has to stay awake"},
		&cli.Float64Flag{Name: "awake", Value: api.LeastAwake, Usage: "part of all proxies that has to stay awake"},
		&cli.BoolFlag{Name: "force", Usage: "no matter what stays awake"}}
	bounds := []cli.Flag{
		&cli.StringFlag{Name: "refused", Value: "0.05", Usage: "part of all answers that may be 429 or 503"},
		&cli.StringFlag{Name: "failed", Value: "0.02", Usage: "part of all answers that may be another 5xx"}}
	run := []cli.Flag{yes(), confirms(), journalDir(), dryState()}
	zone := &cli.StringFlag{Name: "zone", Usage: "all proxies of a `ZONE` that are alive"}
	does := func(name string) cli.Flag {
		return &cli.StringFlag{Name: name, Value: "ask", Usage: "`COMMAND` that does it to a machine, with the proxy's name as its last word; ask: a person does"}
	}
	flags := func(all ...[]cli.Flag) (out []cli.Flag) {
		for _, f := range all {
			out = append(out, f...)
		}
		return out
	}
	return &cli.Command{Name: "node", Usage: "replicas and proxies", Commands: []*cli.Command{
		{Name: "list", Usage: "all that are known", Flags: []cli.Flag{asJSON()},
			Action: func(ctx context.Context, c *cli.Command) error {
				return a.look(ctx, c, (*operatorclient.View).WriteNodes)
			}},
		{Name: "drain", Usage: "have a proxy rest, and wait until its requests are answered", ArgsUsage: "PROXY", Action: a.nodeDrain,
			Flags: flags(awake, []cli.Flag{yes(), &cli.DurationFlag{Name: "within", Value: 3 * time.Minute, Usage: "how long that is waited for"}})},
		{Name: "wake", Usage: "have a proxy rest no longer", ArgsUsage: "PROXY", Action: a.nodeWake, Flags: []cli.Flag{yes()}},
		{Name: "swap", Usage: "have proxies restarted in service, a few at a time (runbook swap-proxies)", ArgsUsage: "[PROXY...]", Action: a.nodes("swap-proxies", "restart"),
			Flags: flags([]cli.Flag{zone, does("restart"), &cli.IntFlag{Name: "at-once", Value: 1, Usage: "how many at a time"},
				&cli.StringFlag{Name: "cold", Value: "0", Usage: "cold servers that there may be"}}, awake, bounds, run)},
		{Name: "add", Usage: "have new proxies come (runbook add-proxies)", ArgsUsage: "PROXY...", Action: a.nodes("add-proxies", "start"), Flags: flags([]cli.Flag{does("start")}, run)},
		{Name: "remove", Usage: "have proxies taken away (runbook remove-proxies)", ArgsUsage: "[PROXY...]", Action: a.nodes("remove-proxies", "stop"),
			Flags: flags([]cli.Flag{zone, does("stop")}, awake, bounds, run)},
	}}
}

// nodes runs a shipped runbook for the proxies named, or those of a zone.
func (a *app) nodes(name, verb string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		proxies := c.Args().Slice()
		if zone := c.String("zone"); zone != "" {
			client, err := a.client(c)
			if err != nil {
				return err
			}
			for _, g := range client.Look(ctx).Proxies {
				if g.Zone == zone && g.Alive {
					proxies = append(proxies, g.Name)
				}
			}
		}
		if len(proxies) == 0 {
			return cli.Exit("no proxies: name some, or a --zone with proxies that are alive", badInput)
		}
		text, err := deploy.Runbooks.ReadFile(path.Join("runbooks", name+".toml"))
		if err != nil {
			return err
		}
		b, err := runbook.Read(name, text)
		if err != nil {
			return err
		}
		params := map[string]string{"proxy": strings.Join(proxies, ","), verb: c.String(verb)}
		for flag, param := range map[string]string{"refused": "refused", "failed": "failed", "cold": "cold", "at-once": "at-once", "zone-awake": "zone", "awake": "all"} {
			switch v := c.Value(flag).(type) {
			case string:
				params[param] = v
			case int, int64:
				params[param] = fmt.Sprint(v)
			case float64:
				if params[param] = fmt.Sprint(v); c.Bool("force") {
					params[param] = "-1"
				}
			}
		}
		return a.carry(ctx, c, b, text, params)
	}
}

// command runs what an operator named.
func (a *app) command(ctx context.Context, command, node string) error {
	ctx, cancel := world.WithTimeout(ctx, a.w, commandWithin)
	defer cancel()
	out, err := exec.CommandContext(ctx, "/bin/sh", "-c", command+` "$1"`, command, node).CombinedOutput()
	if len(out) > 0 {
		fmt.Fprintf(a.out, "%s\n", strings.TrimSpace(string(out)))
	}
	return errors.Wrap(err, command)
}

func (a *app) nodeDrain(ctx context.Context, c *cli.Command) error {
	proxy, client, err := a.about(c, "PROXY")
	if err != nil {
		return err
	}
	v := client.Look(ctx)
	if v.Answering() == 0 {
		return operatorclient.ErrNobody
	}
	awake := 0
	for _, g := range v.Proxies {
		if g.Awake() && g.Name != proxy {
			awake++
		}
	}
	fmt.Fprintf(a.out, "%d of %d proxies are awake beside it\n", awake, len(v.Proxies))
	drop, err := a.agreedAndLocked(ctx, c, client, "have "+proxy+" rest?")
	if err != nil {
		return err
	}
	defer drop()
	if err := client.Rest(ctx, proxy, operatorclient.Floor{Zone: c.Float64("zone-awake"), All: c.Float64("awake"), Force: c.Bool("force")}); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s is to rest; pepperctl node wake %s takes that back\n", proxy, proxy)
	last := ""
	for began := a.w.Now(); ; {
		g := client.Look(ctx).Proxy(proxy)
		says := "it tells nothing of its requests"
		if g != nil && g.Figures != nil {
			if says = fmt.Sprintf("%d requests open, %d clients connected", g.Figures.Open, g.Figures.Clients); g.Figures.Open == 0 && !g.Ready {
				fmt.Fprintln(a.out, says+": it may be stopped")
				return nil
			}
		}
		if says != last {
			fmt.Fprintln(a.out, says)
		}
		if last = says; a.w.Now().Sub(began) > c.Duration("within") || !world.Sleep(ctx, a.w, drainLook) {
			return cli.Exit(proxy+" rests, and not all of its requests are known to be answered: "+says, halted)
		}
	}
}

func (a *app) nodeWake(ctx context.Context, c *cli.Command) error {
	proxy, client, err := a.about(c, "PROXY")
	if err != nil {
		return err
	}
	drop, err := a.agreedAndLocked(ctx, c, client, "wake "+proxy+"?")
	if err != nil {
		return err
	}
	defer drop()
	if err := client.Wake(ctx, proxy); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s is to rest no longer\n", proxy)
	return nil
}
