package loadtest

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/emulator"
)

// Bounds of a show.
const (
	Shortest     = 5 * time.Second
	Longest      = time.Hour
	backWithin   = 15 * time.Second // for what was killed
	closeWithin  = 15 * time.Second
	mostShown    = 8  // broken rules that are told in full
	linesOfLogs  = 12 // of each process, where a rule was broken
	askedPerS    = 80.0
	evacuated    = "north-a"
	newHost      = "three.example"
	newPath      = "/new/"
	keyOfTenants = "key-ion"
)

// Options say what is shown.
type Options struct {
	Ground emulator.Ground
	For    time.Duration // all steps together
	Keep   bool          // the cluster stays until ctx ends
	Out    io.Writer
}

// show is one that runs.
type show struct {
	Options
	*emulator.Cluster
	ctx   context.Context
	began time.Time
}

// layout is the cluster that is shown.
func layout() emulator.Layout {
	return emulator.Layout{
		Seed:  1,
		Zones: []emulator.Zone{{Name: evacuated, Region: "north", Edges: 2, Cores: 2}, {Name: "south-a", Region: "south", Edges: 2, Cores: 1}},
		Services: []emulator.Service{
			{Name: "pears", Each: 2, Capacity: 8, Work: 15 * time.Millisecond, MaxConns: 100, Warmup: 3 * time.Second, WarmPerS: 21},
			{Name: "plums", Each: 2, Capacity: 8, Work: 20 * time.Millisecond, MaxConns: 100, Warmup: 3 * time.Second, WarmPerS: 21},
		},
		Routes: []emulator.Route{
			{Name: "r-1", Host: "one.example", Prefix: "/a/", Kind: "idempotent", Timeout: 1000, Target: 400, Prio: 2, Backend: "pears", Tries: 2},
			{Name: "r-2", Host: "one.example", Prefix: "/a/b/", Kind: "mutating", Timeout: 1000, Target: 400, Prio: 1, Backend: "plums", Tries: 2},
			{Name: "r-3", Host: "two.example", Prefix: "/", Kind: "idempotent", Timeout: 1500, Target: 500, Tries: 3,
				Split: []emulator.Share{{Backend: "pears", Weight: 70}, {Backend: "plums", Weight: 30}}},
		},
		Tenants: []emulator.Tenant{{Name: "ana", Keys: []string{"key-ana-1", "key-ana-2"}, Rate: 80, Burst: 80}, {Name: "ion", Keys: []string{keyOfTenants}}},
		Rate:    askedPerS,
	}
}

// Run plays a show to its end. The error is one of the show itself; it returns how many rules were broken.
func Run(ctx context.Context, opts Options) (broken int, err error) {
	began := time.Now()
	o, err := emulator.New(layout(), opts.Ground)
	if err != nil {
		return 0, errors.WithMessage(err, "the cluster does not start (does another demo run?)")
	}
	defer func() {
		if !o.Close(closeWithin) && err == nil {
			err = errors.Errorf("not all of the cluster has ended within %v", closeWithin)
		}
	}()
	s := &show{Options: opts, Cluster: o, ctx: ctx, began: began}
	if err := o.Settle(); err != nil {
		return 0, err
	}
	l := o.Layout()
	fmt.Fprintf(s.Out, "%d replicas, %d proxies with their agents and %d servers of %d services in %d zones serve after %.1f s.\n"+
		"Clients ask about %.0f times a second. Every step says what their tries have met meanwhile.\n\n",
		len(o.Cores()), len(o.Edges()), len(o.Platform.Servers("")), len(l.Services), len(l.Zones), s.at(), l.Rate)
	o.Clients.Start()
	if !s.play() {
		return 0, errors.New("interrupted: nothing was judged")
	}
	breaks := o.Finish()
	s.verdict(breaks)
	if opts.Keep {
		s.stay()
	}
	return len(breaks), nil
}

func (s *show) at() float64 { return time.Since(s.began).Seconds() }

// play takes all steps; it is false when ctx ended before.
func (s *show) play() bool {
	fmt.Fprintf(s.Out, "%8s  %-24s %7s %7s %7s %8s %8s\n", "", "step", "served", "refused", "failed", "p50", "p99")
	sum := 0.0
	for _, x := range steps {
		sum += x.part
	}
	for _, x := range steps {
		from := time.Now()
		told := x.do(s)
		until := from.Add(time.Duration(x.part / sum * float64(s.For)))
		if !world.Sleep(s.ctx, world.Real{}, time.Until(until)) {
			return false
		}
		t := s.Book.Tally(from, time.Now())
		fmt.Fprintf(s.Out, "%6.1f s  %-24s %7d %7d %7d %8s %8s", s.at(), x.name, t.Served, t.Refused, t.Failed, ms(t.Quantile(0.5)), ms(t.Quantile(0.99)))
		if told != nil {
			fmt.Fprint(s.Out, "  "+told())
		}
		fmt.Fprintln(s.Out)
	}
	return true
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// verdict tells how often each rule was broken.
func (s *show) verdict(breaks []emulator.Break) {
	count := map[string]int{}
	for _, b := range breaks {
		count[b.Rule]++
	}
	fmt.Fprintf(s.Out, "\n%-9s %6s\n", "rule", "broken")
	for _, r := range emulator.Rules {
		fmt.Fprintf(s.Out, "%-9s %6d  %s\n", r.Name, count[r.Name], r.Asks)
	}
	if len(breaks) == 0 {
		fmt.Fprintln(s.Out, "\nAll rules were kept.")
		return
	}
	fmt.Fprintln(s.Out)
	for _, b := range breaks[:min(len(breaks), mostShown)] {
		fmt.Fprintln(s.Out, b)
	}
	if more := len(breaks) - mostShown; more > 0 {
		fmt.Fprintf(s.Out, "and %d more\n", more)
	}
	s.Explain(s.Out, linesOfLogs)
}

// stay leaves the cluster as it is until ctx ends.
func (s *show) stay() {
	var ctl []string
	for _, n := range s.Cores() {
		ctl = append(ctl, n.Ctl())
	}
	r := s.Word().Routes[0]
	fmt.Fprintf(s.Out, "\nThe cluster stays, without its clients, until it is interrupted. In another terminal:\n"+
		"  pepperctl --ctl %s status\n  curl -i -H 'Attempt-Id: one' -H 'Host: %s' -H 'X-Api-Key: %s' http://%s%sx\n", strings.Join(ctl, ","), r.Host, keyOfTenants, s.Edge(0).Front(), r.Prefix)
	<-s.ctx.Done()
}
