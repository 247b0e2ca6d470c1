package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/testbed/sim"
)

var measuring = flag.Bool("control.measure", false, "print the figures of docs/measurements/control.md")

// summarize tells the median, the 99th of 100 and the worst of some times.
func summarize(all []time.Duration) string {
	slices.Sort(all)
	at := func(q float64) time.Duration {
		return all[min(len(all)-1, int(q*float64(len(all))))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("median %v, 99th %v, worst %v of %d", at(0.5), at(0.99), all[len(all)-1].Round(100*time.Microsecond), len(all))
}

// linkToLastProposer is where the replica runs that proposed what is decided.
func (f *clusterFixture) lastProposer() int {
	for _, i := range f.runningIndexes() {
		if f.replicas[i].proposerID() == f.replicas[i].decidedState().Proposer {
			return i
		}
	}
	return f.runningIndexes()[0]
}

func without(all []int, one int) (rest []int) {
	for _, i := range all {
		if i != one {
			rest = append(rest, i)
		}
	}
	return rest
}

// timeReplacements sends configurations one after the other, to replicas by chance, and returns how long each took until it was taken.
func (f *clusterFixture) timeReplacements(rnd *rand.Rand, gen *int, n int, at ...int) (all []time.Duration) {
	for range n {
		*gen++
		text := configurationBody(*gen, "m")
		began := time.Now()
		for f.replace(at[rnd.IntN(len(at))], text) != nil {
			time.Sleep(50 * time.Millisecond)
		}
		all = append(all, time.Since(began))
		time.Sleep(time.Duration(50+rnd.IntN(400)) * time.Millisecond)
	}
	return all
}

// TestMeasure prints how long orders take, calm and in trouble; it runs with -control.measure.
func TestMeasure(t *testing.T) {
	seeds := 1
	if *measuring {
		seeds = 12
	}
	for _, x := range []struct {
		name string
		n    int
		way  time.Duration
	}{{"3 in a region", 3, time.Millisecond}, {"4 over regions", 4, 20 * time.Millisecond}, {"5 over regions", 5, 20 * time.Millisecond}} {
		var calm, lost, killed, cut, slow, whole, joined []time.Duration
		for seed := range seeds {
			runCluster(t, x.n, func(f *clusterFixture) {
				f.net.Set(sim.Faults{Least: x.way, Most: x.way})
				for _, d := range f.disks {
					d.SetLatency(time.Millisecond)
				}
				rnd := rand.New(rand.NewPCG(uint64(seed), 9))
				all := make([]int, x.n)
				for i := range all {
					all[i] = i
				}
				gen := 1
				f.timeReplacements(rnd, &gen, 1, 0) // the first replica proposed last
				calm = append(calm, f.timeReplacements(rnd, &gen, 20, all...)...)
				f.timeReplacements(rnd, &gen, 1, 0)
				f.kill(x.n-1, true)
				lost = append(lost, f.timeReplacements(rnd, &gen, 10, all[:x.n-1]...)...)
				f.start(x.n - 1)
				time.Sleep(rejoinTimeout)
				last := f.lastProposer()
				f.kill(last, true)
				killed = append(killed, f.timeReplacements(rnd, &gen, 1, without(all, last)...)...)
				f.start(last)
				time.Sleep(rejoinTimeout)
				last = f.lastProposer()
				f.partition(ips(last), ips(without(all, last)...), sim.Silent)
				cut = append(cut, f.timeReplacements(rnd, &gen, 1, without(all, last)...)...)
				f.partition(ips(last), ips(without(all, last)...), sim.Open)
				time.Sleep(rejoinTimeout)
				last = f.lastProposer()
				f.disks[last].SetLatency(30 * time.Millisecond)
				slow = append(slow, f.timeReplacements(rnd, &gen, 3, all...)...)
				f.disks[last].SetLatency(time.Millisecond)
				if !*measuring {
					return
				}
				f.removed[0] = true
				f.kill(0, true)
				time.Sleep(time.Second)
				next := f.startReplacement()
				began := time.Now()
				f.waitFor(4*rejoinTimeout, "whole", func() bool { return f.countVoting() == x.n && len(f.replicas[next].decidedState().Voters) == x.n })
				whole = append(whole, time.Since(began))
				began = time.Now()
				f.kill(next, true)
				f.disks[next].Wipe()
				f.start(next)
				f.waitFor(4*rejoinTimeout, "whole", func() bool { return f.countVoting() == x.n && len(f.replicas[next].decidedState().Voters) == x.n })
				joined = append(joined, time.Since(began))
			})
		}
		if !*measuring {
			continue
		}
		for what, all := range map[string][]time.Duration{"calm": calm, "one lost": lost, "the last proposer loses power": killed,
			"the last proposer is cut off": cut, "its disk takes 30 ms an operation": slow, "whole after a replacement": whole, "whole after a lost disk": joined} {
			t.Logf("%s: %s: %s", x.name, what, summarize(all))
		}
	}
	if *measuring {
		measureCatchUp(t)
	}
}

// measureCatchUp prints how long a replica needs that missed some changes.
func measureCatchUp(t *testing.T) {
	for _, missed := range []int{10, 100, 1000} {
		runCluster(t, 3, func(f *clusterFixture) {
			f.replaceUntilAcknowledged(0, configurationBody(1, "a"))
			f.kill(2, true)
			for gen := range missed {
				f.replaceUntilAcknowledged(0, configurationBody(2+gen, "a"))
			}
			began := time.Now()
			f.start(2)
			f.waitFor(5*time.Second, "caught up", func() bool { return configIDOf(f.replicas[2].configurationInForce()).Gen == uint64(missed+1) })
			took := time.Since(began)
			size := 0
			names, err := f.disks[0].Mount().List("/data")
			assert.NilError(t, err)
			for _, name := range names {
				text, _ := f.disks[0].Mount().ReadFile("/data/" + name)
				size += len(text)
			}
			_, err = f.replicas[2].CurrentConfiguration(context.Background())
			t.Logf("%d changes missed: caught up after %v (shown: %v); %d bytes on a disk in %d files", missed, took, err == nil, size, len(names))
		})
	}
}
