package experiment

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"pepperfall.example/pepperfall/internal/testbed/clustertest"
	"pepperfall.example/pepperfall/internal/testbed/emulator"
	"pepperfall.example/pepperfall/internal/testbed/scenario"
)

const (
	mostShown = 6  // broken rules that are told in full
	logLines  = 12 // of each process, where something is broken
	mostLogs  = 64 << 10
)

// game is a day that is being played.
type game struct {
	*clustertest.SimCluster
	d    *scenario.Day
	jobs sync.WaitGroup

	mu   sync.Mutex
	load float64 // times of the day's rate
}

// Play plays a day from its start to the judge's verdict. It has to run in a bubble of testing/synctest, which no other
// day shares.
func Play(d *scenario.Day) *Result {
	began := time.Now()
	o, err := clustertest.Grow(layout(d), network(d))
	if err != nil {
		return fail(d, Unsown, err.Error())
	}
	r := &Result{Name: d.Name, Seed: d.Seed, Nodes: len(o.Nodes)}
	g := &game{SimCluster: o, d: d, load: 1}
	if err := o.Cluster.Settle(); err != nil {
		r.Broken = append(r.Broken, Break{Unsown, err.Error()})
	} else {
		g.day(r)
	}
	breaks := o.Finish()
	for _, b := range breaks {
		if len(r.Broken) >= mostShown {
			r.More++
			continue
		}
		r.Broken = append(r.Broken, Break{b.Rule, strings.TrimPrefix(b.String(), b.Rule+": ")})
	}
	r.weigh(o.Book.Fortune(time.Time{}, gain(d)))
	h := xxhash.New()
	o.Book.Trace(func(line string) { _, _ = h.WriteString(line + "\n") })
	r.Trace = fmt.Sprintf("%016x", h.Sum64())
	if len(r.Broken) > 0 {
		var logs strings.Builder
		o.Explain(&logs, logLines)
		r.Logs = logs.String()[:min(logs.Len(), mostLogs)]
	}
	r.Virtual = time.Since(began).Seconds()
	if !o.Clear() {
		r.Broken = append(r.Broken, Break{Stuck, "not all processes have ended when they were killed"})
	}
	return r
}

// day lets clients come and the steps happen.
func (g *game) day(r *Result) {
	ips := map[string]bool{}
	for _, n := range g.Nodes {
		ips[n.IP()] = true
	}
	inner := func(from, to string) bool { return ips[from] && ips[to] }
	before := g.Net.Carried(inner)
	asked := g.Platform.Asked
	began := time.Now()
	g.Clients.Start()
	for _, s := range g.d.Steps {
		time.Sleep(seconds(s.At) - time.Since(began))
		g.jobs.Go(func() { g.step(s) })
	}
	time.Sleep(seconds(g.d.Seconds) - time.Since(began))
	g.jobs.Wait()
	time.Sleep(seconds(g.d.Rest))
	look := time.Now()
	time.Sleep(seconds(g.d.Expect.LookS))
	g.Clients.Stop()
	synctest.Wait()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	r.Memory = float64(mem.HeapInuse) / 1e6
	sum := g.Net.Carried(inner)
	r.Mail.Messages, r.Mail.Bytes = sum.Messages-before.Messages, sum.Bytes-before.Bytes
	per := time.Since(began).Seconds() * float64(len(g.Nodes))
	r.Mail.ANodeS, r.Mail.BNodeS = float64(r.Mail.Messages)/per, float64(r.Mail.Bytes)/per
	r.Lists = g.Platform.Asked - asked
	g.expect(r, "the whole day", began, g.d.Expect.Served)
	g.expect(r, "what was sent at the end", look, g.d.Expect.After)
}

func (g *game) expect(r *Result, what string, since time.Time, least float64) {
	w := g.Book.Fortune(since, gain(g.d)).All
	if float64(w.Served) < least*float64(w.Wishes) {
		r.Broken = append(r.Broken, Break{Unserved, fmt.Sprintf("of %s %d of %d wishes were served, at least %.0f%% had to be: %s", what, w.Served, w.Wishes, 100*least,
			strings.Join(strings.Fields(strings.ReplaceAll(g.Book.Answers(since), "\n", ";")), " "))})
	}
}

// server is the one that a step means; nil: none is ready.
func (g *game) server(s scenario.Step) *emulator.Server {
	all := g.Platform.Servers(s.Service)
	if len(all) == 0 {
		return nil
	}
	return all[s.Server%len(all)]
}

func (g *game) node(name string) *emulator.Node {
	for _, n := range g.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}
