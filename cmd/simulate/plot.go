package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"image/color"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"pepperfall.example/pepperfall/internal/testbed/experiment"
)

// plot draws what a hunt or a sweep has written.
func (a *app) plot() *cli.Command {
	var kind, figure, out string
	return &cli.Command{
		Name: "plot", Usage: "draws an SVG of the results that hunt --results or sweep --out has written", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "sweep, latency (of all days), or heat (worth by tenant and zone)", Value: "sweep", Destination: &kind},
			&cli.StringFlag{Name: "figure", Usage: "of a sweep: " + figureNames(), Value: "messages", Destination: &figure},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the SVG", Value: "simulate.svg", Destination: &out},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return cli.Exit("plot wants one file", badInput)
			}
			points, err := readPoints(c.Args().First())
			if err != nil {
				return cli.Exit(err, badInput)
			}
			p := plot.New()
			switch kind {
			case "sweep":
				err = curve(p, points, figure)
			case "latency":
				err = latency(p, points)
			case "heat":
				err = heat(p, points)
			default:
				err = fmt.Errorf("--kind: %q is none of sweep, latency, heat", kind)
			}
			if err != nil {
				return cli.Exit(err, badInput)
			}
			return p.Save(20*vg.Centimeter, 12*vg.Centimeter, out)
		},
	}
}

func figureNames() string {
	var all []string
	for _, f := range experiment.Figures {
		all = append(all, f.Name)
	}
	return strings.Join(all, ", ")
}

// readPoints reads lines of a sweep or of a hunt.
func readPoints(path string) (all []point, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, mostLine)
	for n := 1; in.Scan(); n++ {
		p := point{}
		if err := json.Unmarshal(in.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		if p.Of == nil {
			p.Of = &experiment.Result{}
			if err := json.Unmarshal(in.Bytes(), p.Of); err != nil {
				return nil, fmt.Errorf("%s:%d: %w", path, n, err)
			}
		}
		all = append(all, p)
	}
	if len(all) == 0 && in.Err() == nil {
		return nil, fmt.Errorf("%s: no results", path)
	}
	return all, in.Err()
}

// curve draws a figure over what was swept: its mean, and bars in which it lies with 95%.
func curve(p *plot.Plot, points []point, figure string) error {
	i := slices.IndexFunc(experiment.Figures, func(f experiment.Figure) bool { return f.Name == figure })
	if i < 0 {
		return fmt.Errorf("--figure: %q is none of %s", figure, figureNames())
	}
	by := map[float64][]float64{}
	for _, x := range points {
		if x.Over == "" {
			return fmt.Errorf("these are no results of a sweep")
		}
		by[x.Value] = append(by[x.Value], experiment.Figures[i].Of(x.Of))
	}
	var line struct {
		plotter.XYs
		plotter.YErrors
	}
	for _, v := range slices.Sorted(maps.Keys(by)) {
		mean, low, high := experiment.Interval(by[v])
		line.XYs = append(line.XYs, plotter.XY{X: v, Y: mean})
		line.YErrors = append(line.YErrors, struct{ Low, High float64 }{mean - low, high - mean})
	}
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = experiment.Figures[i].Tells, points[0].Over, figure
	l, dots, err := plotter.NewLinePoints(line.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(line)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), l, dots, bars)
	return nil
}

// latency draws within what time which share was served, over all days.
func latency(p *plot.Plot, points []point) error {
	all := experiment.NewTook()
	for _, x := range points {
		if x.Of.Took != nil {
			all.Merge(hdrhistogram.Import(x.Of.Took))
		}
	}
	if all.TotalCount() == 0 {
		return fmt.Errorf("nothing was served in these days")
	}
	var line plotter.XYs
	for nines := 0.0; nines <= 4; nines += 0.05 {
		line = append(line, plotter.XY{X: nines, Y: float64(all.ValueAtQuantile(100*(1-math.Pow(10, -nines)))) / 1000})
	}
	l, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("%d wishes served, from the first try", all.TotalCount()), "share", "ms"
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90%"}, {Value: 2, Label: "99%"}, {Value: 3, Label: "99.9%"}, {Value: 4, Label: "99.99%"}}
	p.Add(plotter.NewGrid(), l)
	return nil
}

// cells are the mean worth by tenant (down) and zone (across).
type cells struct {
	tenants, zones []string
	worth          map[string]float64
}

func (c *cells) Dims() (across, down int) { return len(c.zones), len(c.tenants) }
func (c *cells) X(i int) float64          { return float64(i) }
func (c *cells) Y(i int) float64          { return float64(i) }
func (c *cells) Z(x, y int) float64       { return c.worth[c.tenants[y]+"/"+c.zones[x]] }

func heat(p *plot.Plot, points []point) error {
	lists, c := map[string][]float64{}, &cells{worth: map[string]float64{}}
	for _, x := range points {
		for k, v := range x.Of.Cells {
			lists[k] = append(lists[k], v)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(lists)) {
		c.worth[k], _, _ = experiment.Interval(lists[k])
		t, z, _ := strings.Cut(k, "/")
		if !slices.Contains(c.tenants, t) {
			c.tenants = append(c.tenants, t)
		}
		if !slices.Contains(c.zones, z) {
			c.zones = append(c.zones, z)
		}
	}
	if len(c.zones) == 0 {
		return fmt.Errorf("no day tells of tenants and zones")
	}
	least := 1.0
	for _, v := range c.worth {
		least = math.Min(least, v)
	}
	h := plotter.NewHeatMap(c, palette.Heat(24, 1))
	h.Min, h.Max, h.Underflow = math.Min(least, 0.99), 1, color.Gray{128}
	p.Title.Text = fmt.Sprintf("worth earned by tenant and zone, %.2f (dark) to 1 (light)", h.Min)
	p.Add(h)
	p.NominalX(c.zones...)
	p.NominalY(c.tenants...)
	return nil
}
