package clustertest

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/testbed/emulator"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// SimCluster is a cluster of simulated machines, for a test where t is set.
type SimCluster struct {
	*emulator.Cluster
	Net     *sim.Net
	t       *testing.T
	network *SimNetwork
}

// Play runs a story in a cluster that serves its first configuration, and judges it at the end, also where the
// story's own checks have failed.
func Play(t *testing.T, l emulator.Layout, story func(o *SimCluster)) {
	t.Helper()
	inBubble(t, l, func(o *SimCluster) {
		told := false
		defer func() {
			if !told {
				o.Clients.Stop()
				o.verdict(o.Book.Judge())
			}
		}()
		story(o)
		told = true
		o.verdict(o.Finish())
	})
}

// Watch runs a story as Play does and judges nothing: for measurements with orders that the judge does not know.
func Watch(t *testing.T, l emulator.Layout, story func(o *SimCluster)) {
	t.Helper()
	inBubble(t, l, story)
}

// inBubble runs a story in a bubble of synctest, in a cluster that serves its first configuration to its clients, and
// closes the cluster after it.
func inBubble(t *testing.T, l emulator.Layout, story func(o *SimCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := grow(t, l)
		defer o.close()
		o.Settle()
		o.Clients.Start()
		story(o)
	})
}

// grow makes a cluster and starts all its processes. It is called in a bubble of synctest.
func grow(t *testing.T, l emulator.Layout) *SimCluster {
	t.Helper()
	return growOn(t, l, NewSimNetwork(l.Seed))
}

func growOn(t *testing.T, l emulator.Layout, g *SimNetwork) *SimCluster {
	t.Helper()
	o, err := Grow(l, g)
	assert.NilError(t, err)
	o.t = t
	return o
}

// Grow makes a cluster on a simulated network and starts all its processes; it is called in a bubble of synctest. The
// cluster has no *testing.T: Settle, Replace and Await fail a test and must not be called, their namesakes of
// emulator.Cluster return the result instead.
func Grow(l emulator.Layout, g *SimNetwork) (*SimCluster, error) {
	o, err := emulator.New(l, g)
	if err != nil {
		return nil, err
	}
	return &SimCluster{o, g.Net, nil, g}, nil
}

// Settle sends the first configuration until it is taken, and waits until all proxies are ready.
func (o *SimCluster) Settle() {
	o.t.Helper()
	assert.NilError(o.t, o.Cluster.Settle())
	synctest.Wait()
}

// Replace sends a configuration to the control plane until it is acknowledged.
func (o *SimCluster) Replace(w *emulator.Word) {
	o.t.Helper()
	assert.Assert(o.t, o.Operator.Replace(w), "r%d was not acknowledged", w.Gen)
}

// Pass lets simulated time go by.
func (o *SimCluster) Pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Await waits until a condition holds, and fails the test after the given time.
func (o *SimCluster) Await(most time.Duration, what string, is func() bool) {
	o.t.Helper()
	if !o.Cluster.Await(most, is) {
		o.t.Fatalf("%v: no %s within %v", o.Since(time.Now()), what, most)
	}
	synctest.Wait()
}

const mostShown = 8 // broken rules that are told in full

func (o *SimCluster) verdict(breaks []emulator.Break) {
	o.t.Helper()
	for _, b := range breaks[:min(len(breaks), mostShown)] {
		o.t.Error(b)
	}
	if len(breaks) > mostShown {
		o.t.Errorf("and %d more", len(breaks)-mostShown)
	}
	served, owed := o.Book.Served(time.Time{}, time.Now())
	o.t.Logf("%d of %d requests served, %v virtual", served, owed, o.Since(time.Now()))
	if o.t.Failed() {
		var logs strings.Builder
		o.Explain(&logs, 12)
		o.t.Log(logs.String())
	}
}

// Served asserts the share of the requests sent since a moment that were served.
func (o *SimCluster) Served(since time.Time, least float64) {
	o.t.Helper()
	served, owed := o.Book.Served(since, time.Now().Add(-time.Second))
	assert.Assert(o.t, owed > 0 && float64(served) >= least*float64(owed), "%d of %d served since %v\n%s", served, owed, o.Since(since), o.Book.Answers(since))
}

const closeWithin = time.Minute

func (o *SimCluster) close() {
	if !o.Clear() {
		o.t.Errorf("not all processes have ended within %v", closeWithin)
	}
}

// Clear ends all that runs, whatever trouble it is in, and tells whether it has ended in time.
func (o *SimCluster) Clear() bool {
	o.Clients.Stop()
	for _, n := range o.Nodes {
		o.machine(n).PowerOn()
		if d := o.Disk(n); d != nil {
			d.Release()
			d.SetLatency(0)
		}
	}
	ended := o.Close(closeWithin)
	o.Pass(5 * time.Second) // for what was on its way
	return ended
}

// House is the former name of SimCluster; the tests of package emulator still use it.
type House = SimCluster
