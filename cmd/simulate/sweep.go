package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/testbed/experiment"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// over are what a sweep goes over.
var over = map[string]func(m *scenario.Mix, d *scenario.Day, v float64){
	"nodes":    func(m *scenario.Mix, _ *scenario.Day, v float64) { m.Nodes = int(v) },
	"load":     func(m *scenario.Mix, _ *scenario.Day, v float64) { m.Load = v },
	"troubles": func(m *scenario.Mix, _ *scenario.Day, v float64) { m.Troubles = int(v) },
	"lost":     func(_ *scenario.Mix, d *scenario.Day, v float64) { d.Links.Lost = v },
	"region_us": func(_ *scenario.Mix, d *scenario.Day, v float64) {
		d.Links.RegionUS = int(v)
	},
}

// point is one play of a sweep, a line of its file.
type point struct {
	Over  string             `json:"over"`
	Value float64            `json:"value"`
	Of    *experiment.Result `json:"result"`
}

// values are the numbers of a list.
func values(text string) (all []float64, err error) {
	for _, v := range strings.Split(text, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return nil, cli.Exit(fmt.Sprintf("--values: %q is no number", v), badInput)
		}
		all = append(all, x)
	}
	return all, nil
}

// sweep plays drawn days over a range of one figure.
func (a *app) sweep() *cli.Command {
	var m scenario.Mix
	var what, list, out string
	var from, seeds uint64
	var limit time.Duration
	return &cli.Command{
		Name: "sweep", Usage: "plays drawn days over a range of sizes, loads or losses, on equal seeds",
		Flags: append(mixFlags(&m),
			&cli.StringFlag{Name: "over", Usage: "nodes, load, troubles, lost or region_us; or a `KEY` of the settings, as terms.bounds.ack_ms", Value: "nodes", Destination: &what},
			&cli.StringFlag{Name: "values", Usage: "`N,...`", Value: "10,30,100", Destination: &list},
			&cli.Uint64Flag{Name: "from", Usage: "first seed", Value: 1, Destination: &from},
			&cli.Uint64Flag{Name: "seeds", Usage: "how many for each value", Value: 3, Destination: &seeds},
			&cli.DurationFlag{Name: "limit", Usage: "of one day, by this machine's clock", Value: 4 * experiment.DefaultLimit, Destination: &limit},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the results, a line each, which plot reads", Destination: &out}),
		Action: func(ctx context.Context, c *cli.Command) error {
			all, err := values(list)
			if err != nil {
				return err
			}
			change, ok := over[what]
			if !ok && !strings.Contains(what, ".") {
				return cli.Exit(fmt.Sprintf("--over: %q is none of nodes, load, troubles, lost, region_us, nor a key of the settings", what), badInput)
			}
			var days []*scenario.Day
			at := map[*scenario.Day]float64{}
			for _, v := range all {
				for seed := from; seed < from+seeds; seed++ {
					mix, d := m, &scenario.Day{}
					if ok {
						change(&mix, d, v)
					}
					if err := checkMix(&mix); err != nil {
						return err
					}
					if d = scenario.Draw(mix, seed); ok {
						change(&mix, d, v)
					} else {
						d.Bounds = append(d.Bounds, fmt.Sprintf("%s=%v", what, v))
					}
					at[d] = v
					days = append(days, d)
				}
			}
			pool, err := a.pool()
			if err != nil {
				return err
			}
			pool.Limit = limit
			sink, closeSink, err := sinkOf(out)
			if err != nil {
				return err
			}
			defer closeSink()
			wrong, results := 0, map[float64][]*experiment.Result{}
			p := &progress{out: a.err, of: len(days), began: time.Now()}
			err = pool.Play(ctx, each(ctx, days), func(d *scenario.Day, r *experiment.Result) {
				results[at[d]] = append(results[at[d]], r)
				if len(r.Broken) > 0 {
					wrong++
					fmt.Fprintln(a.err, r)
				}
				_ = sink.Encode(point{what, at[d], r})
				p.step(wrong)
			})
			if err != nil {
				return err
			}
			a.table(what, all, results)
			return verdict(wrong, len(days))
		},
	}
}

// table writes the means of all figures, and how they grow.
func (a *app) table(what string, all []float64, results map[float64][]*experiment.Result) {
	fmt.Fprintf(a.out, "| %s |", what)
	for _, v := range all {
		fmt.Fprintf(a.out, " %v |", v)
	}
	fmt.Fprintf(a.out, " grows by the power |\n|---|%s---|\n", strings.Repeat("---|", len(all)))
	for _, f := range experiment.Figures {
		var xs, ys []float64
		fmt.Fprintf(a.out, "| %s (%s) |", f.Name, f.Tells)
		for _, v := range all {
			var list []float64
			for _, r := range results[v] {
				list = append(list, f.Of(r))
			}
			mean, _, _ := experiment.Interval(list)
			xs, ys = append(xs, v), append(ys, mean)
			fmt.Fprintf(a.out, " %.4g |", mean)
		}
		fmt.Fprintf(a.out, " %.2f |\n", experiment.Exponent(xs, ys))
	}
}

// sinkOf writes to a file, or nowhere.
func sinkOf(path string) (*json.Encoder, func(), error) {
	if path == "" {
		path = os.DevNull
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, cli.Exit(fmt.Sprintf("--out: %v", err), badInput)
	}
	return json.NewEncoder(f), func() { _ = f.Close() }, nil
}

// compare plays equal days with two settings or two programs.
func (a *app) compare() *cli.Command {
	var m scenario.Mix
	var other string
	var set []string
	var from, seeds uint64
	return &cli.Command{
		Name: "compare", Usage: "plays equal days as they are and with other settings, or by another build of this program",
		Flags: append(mixFlags(&m),
			&cli.StringSliceFlag{Name: "set", Usage: "`KEY=VALUE` of the settings on the other side", Destination: &set},
			&cli.StringFlag{Name: "with", Usage: "`FILE` of the other build", Destination: &other},
			&cli.Uint64Flag{Name: "from", Usage: "first seed", Value: 1, Destination: &from},
			&cli.Uint64Flag{Name: "seeds", Usage: "how many", Value: 40, Destination: &seeds}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkMix(&m); err != nil {
				return err
			}
			if other == "" && len(set) == 0 {
				return cli.Exit("compare wants --set or --with", badInput)
			}
			pool, err := a.pool()
			if err != nil {
				return err
			}
			sides := [2]map[uint64]*experiment.Result{{}, {}}
			for side := range sides {
				var days []*scenario.Day
				for seed := from; seed < from+seeds; seed++ {
					d := scenario.Draw(m, seed)
					if side == 1 {
						d.Bounds = append(d.Bounds, set...)
					}
					days = append(days, d)
				}
				if side == 1 && other != "" {
					pool.Exe = other
				}
				p := &progress{out: a.err, of: len(days), began: time.Now()}
				wrong := 0
				if err := pool.Play(ctx, each(ctx, days), func(d *scenario.Day, r *experiment.Result) {
					sides[side][d.Seed] = r
					wrong += min(1, len(r.Broken))
					p.step(wrong)
				}); err != nil {
					return err
				}
			}
			fmt.Fprintf(a.out, "| figure | as it is | other | difference | from | to (95%%) |\n|---|---|---|---|---|---|\n")
			for _, f := range experiment.Figures {
				var x, y, d []float64
				for seed, r := range sides[0] {
					if s := sides[1][seed]; s != nil {
						x, y, d = append(x, f.Of(r)), append(y, f.Of(s)), append(d, f.Of(s)-f.Of(r))
					}
				}
				mx, _, _ := experiment.Interval(x)
				my, _, _ := experiment.Interval(y)
				mean, low, high := experiment.Interval(d)
				fmt.Fprintf(a.out, "| %s | %.4g | %.4g | %+.4g | %+.4g | %+.4g |\n", f.Name, mx, my, mean, low, high)
			}
			return nil
		},
	}
}
