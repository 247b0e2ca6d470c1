package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"pepperfall.example/pepperfall/internal/testbed/experiment"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

// mixFlags say of what kind drawn days are.
func mixFlags(m *scenario.Mix) []cli.Flag {
	*m = scenario.UsualMix
	return []cli.Flag{
		&cli.IntFlag{Name: "nodes", Usage: "machines of the system", Value: m.Nodes, Destination: &m.Nodes},
		&cli.FloatFlag{Name: "seconds", Usage: "of troubles", Value: m.Seconds, Destination: &m.Seconds},
		&cli.IntFlag{Name: "troubles", Usage: "on average", Value: m.Troubles, Destination: &m.Troubles},
		&cli.FloatFlag{Name: "load", Usage: "share of the work that servers bear", Value: m.Load, Destination: &m.Load},
		&cli.FloatFlag{Name: "tight", Usage: "share of the days whose troubles meet within 200 ms", Value: m.Tight, Destination: &m.Tight},
		&cli.StringSliceFlag{Name: "only", Usage: "kinds of troubles, `NAME,...`; all where none is named", Destination: &m.Only},
	}
}

func checkMix(m *scenario.Mix) error {
	switch {
	case m.Nodes < 4 || m.Nodes > 1000:
		return cli.Exit(fmt.Sprintf("--nodes: %d: from 4 to 1000", m.Nodes), badInput)
	case m.Seconds < 1 || m.Seconds > 86400:
		return cli.Exit(fmt.Sprintf("--seconds: %v: from 1 to 86400", m.Seconds), badInput)
	case m.Troubles < 0 || m.Troubles > 100:
		return cli.Exit(fmt.Sprintf("--troubles: %d: from 0 to 100", m.Troubles), badInput)
	case m.Load <= 0 || m.Load > 10 || m.Tight < 0 || m.Tight > 1:
		return cli.Exit("--load: over 0 to 10; --tight: from 0 to 1", badInput)
	}
	for _, k := range m.Only {
		if scenario.TroubleOf(k) == nil {
			return cli.Exit(fmt.Sprintf("--only: %q is no kind of trouble: see `simulate draw --kinds`", k), badInput)
		}
	}
	return nil
}

// draw shows a drawn day's file.
func (a *app) draw() *cli.Command {
	var m scenario.Mix
	var kinds bool
	var seed uint64
	return &cli.Command{
		Name: "draw", Usage: "writes the file of a day that is drawn by a seed",
		Flags: append(mixFlags(&m), &cli.Uint64Flag{Name: "seed", Value: 1, Destination: &seed},
			&cli.BoolFlag{Name: "kinds", Usage: "list the kinds of troubles instead", Destination: &kinds}),
		Action: func(context.Context, *cli.Command) error {
			if kinds {
				for _, t := range scenario.Troubles {
					fmt.Fprintf(a.out, "%-12s %s\n", t.Name, t.Tells)
				}
				return nil
			}
			if err := checkMix(&m); err != nil {
				return err
			}
			text, err := scenario.Draw(m, seed).File()
			if err != nil {
				return err
			}
			_, err = a.out.Write(text)
			return err
		},
	}
}

// hunt plays drawn days until something breaks, and on.
func (a *app) hunt() *cli.Command {
	var m scenario.Mix
	var from, seeds uint64
	var results, keep string
	var least bool
	return &cli.Command{
		Name: "hunt", Usage: "plays days drawn by seed, and cuts down those that break something",
		Flags: append(mixFlags(&m),
			&cli.Uint64Flag{Name: "from", Usage: "first seed", Value: 1, Destination: &from},
			&cli.Uint64Flag{Name: "seeds", Usage: "how many", Value: 100, Destination: &seeds},
			&cli.StringFlag{Name: "results", Usage: "`FILE` to which results are added, a line each; seeds that stand there are not played again", Destination: &results},
			&cli.StringFlag{Name: "keep", Usage: "`FOLDER` for the files of days that broke something, cut down", Destination: &keep},
			&cli.BoolFlag{Name: "shrink", Usage: "cut them down", Value: true, Destination: &least}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkMix(&m); err != nil {
				return err
			}
			pool, err := a.pool()
			if err != nil {
				return err
			}
			book, err := openBook(results)
			if err != nil {
				return err
			}
			defer book.close()
			var days []*scenario.Day
			for seed := from; seed < from+seeds; seed++ {
				if d := scenario.Draw(m, seed); !book.has[d.Name] {
					days = append(days, d)
				}
			}
			var wrong []*scenario.Day
			found := map[string]*experiment.Result{}
			p := &progress{out: a.err, of: len(days), began: time.Now()}
			err = pool.Play(ctx, each(ctx, days), func(d *scenario.Day, r *experiment.Result) {
				book.add(r)
				if len(r.Broken) > 0 {
					wrong, found[d.Name] = append(wrong, d), r
					a.show(r)
				} else if a.json {
					a.show(r)
				}
				p.step(len(wrong))
			})
			p.end(len(wrong))
			if err != nil {
				return err
			}
			if book.err != nil {
				return book.err
			}
			slices.SortFunc(wrong, func(x, y *scenario.Day) int { return strings.Compare(x.Name, y.Name) })
			for _, d := range wrong {
				if keep == "" {
					break
				}
				if err := a.keep(ctx, pool, d, found[d.Name], keep, least); err != nil {
					return err
				}
			}
			return verdict(len(wrong), len(days))
		},
	}
}

// keep writes a day's file, cut down.
func (a *app) keep(ctx context.Context, pool *experiment.Pool, d *scenario.Day, r *experiment.Result, folder string, least bool) error {
	if least {
		s := experiment.Shrink(ctx, pool, d, r.Broken[0].Rule, shrinkTimes, func(n, steps int) {
			fmt.Fprintf(a.err, "%s: %d steps left after %d plays\n", d.Name, steps, n)
		})
		d = s.Day
		d.About = fmt.Sprintf("breaks %s in %d of %d plays: %.200s", r.Broken[0].Rule, s.Broke, s.Played, strings.ReplaceAll(r.Broken[0].What, "\n", " "))
	}
	return write(d, filepath.Join(folder, d.Name+".toml"))
}

func write(d *scenario.Day, path string) error {
	text, err := d.File()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// shrinkTimes is how often a smaller day is played before it counts as one that breaks nothing: not all days go the same
// way each time.
const shrinkTimes = 4

// shrink cuts a day down to few troubles.
func (a *app) shrink() *cli.Command {
	var rule, out string
	times := shrinkTimes
	return &cli.Command{
		Name: "shrink", Usage: "cuts a day that breaks a rule down to few troubles", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "rule", Usage: "that has to stay broken; the first that is where none is named", Destination: &rule},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the day that is left; standard output where none is named", Destination: &out},
			&cli.IntFlag{Name: "times", Usage: "plays before a smaller day counts as one that breaks nothing", Value: times, Destination: &times},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.NArg() != 1 || times < 1 {
				return cli.Exit("shrink wants one file, and --times of at least 1", badInput)
			}
			days, err := load(c.Args().Slice())
			if err != nil {
				return err
			}
			pool, err := a.pool()
			if err != nil {
				return err
			}
			s := experiment.Shrink(ctx, pool, days[0], rule, times, func(n, steps int) {
				fmt.Fprintf(a.err, "%d steps left after %d plays\n", steps, n)
			})
			if s.Broke == 0 {
				return cli.Exit(fmt.Sprintf("nothing of the kind was broken in %d plays", s.Played), broken)
			}
			fmt.Fprintf(a.err, "%s is broken in %d of %d plays of what is left\n", s.Rule, s.Broke, s.Played)
			if out != "" {
				return write(s.Day, out)
			}
			text, err := s.Day.File()
			if err != nil {
				return err
			}
			_, err = a.out.Write(text)
			return err
		},
	}
}

// book keeps results on disk, so that a hunt can go on where it was interrupted.
type book struct {
	has map[string]bool
	f   *os.File
	err error
}

// mostLine bounds a result's line.
const mostLine = 4 << 20

func openBook(path string) (*book, error) {
	b := &book{has: map[string]bool{}}
	if path == "" {
		return b, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, cli.Exit(errors.WithMessage(err, "--results"), badInput)
	}
	in := bufio.NewScanner(f)
	in.Buffer(nil, mostLine)
	whole := int64(0)
	for in.Scan() {
		var r experiment.Result
		if json.Unmarshal(in.Bytes(), &r) != nil {
			break // the last line of one that was cut off
		}
		b.has[r.Name] = true
		whole += int64(len(in.Bytes())) + 1
	}
	if err := f.Truncate(whole); err != nil {
		return nil, err
	}
	if _, err := f.Seek(whole, 0); err != nil {
		return nil, err
	}
	b.f = f
	return b, nil
}

func (b *book) add(r *experiment.Result) {
	if b.f == nil || b.err != nil {
		return
	}
	b.err = json.NewEncoder(b.f).Encode(r)
}

func (b *book) close() {
	if b.f != nil {
		_ = b.f.Close()
	}
}
