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

// summarize returns the median, the 99th percentile and the maximum of some durations as text.
func summarize(durations []time.Duration) string {
	slices.Sort(durations)
	value := func(quantile float64) time.Duration {
		return durations[min(len(durations)-1, int(quantile*float64(len(durations))))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("median %v, 99th %v, worst %v of %d", value(0.5), value(0.99), durations[len(durations)-1].Round(100*time.Microsecond), len(durations))
}

// linkToLastProposer returns the replica that proposed the decided state, or the first one if that is gone.
func (f *clusterFixture) lastProposer() int {
	for _, i := range f.runningIndexes() {
		if f.replicas[i].proposerID() == f.replicas[i].decidedState().Proposer {
			return i
		}
	}
	return f.runningIndexes()[0]
}

// without returns all elements but one.
func without(all []int, one int) (rest []int) {
	for _, i := range all {
		if i != one {
			rest = append(rest, i)
		}
	}
	return rest
}

// timeReplacements replaces the configuration count times, each time at a random one of the given replicas, and returns how
// long each took until it was acknowledged.
func (f *clusterFixture) timeReplacements(random *rand.Rand, gen *int, count int, replicas ...int) (durations []time.Duration) {
	for range count {
		*gen++
		text := configurationBody(*gen, "m")
		began := time.Now()
		for f.replace(replicas[random.IntN(len(replicas))], text) != nil {
			time.Sleep(50 * time.Millisecond)
		}
		durations = append(durations, time.Since(began))
		time.Sleep(time.Duration(50+random.IntN(400)) * time.Millisecond)
	}
	return durations
}

// TestMeasure measures how long replacements of the configuration take, with and without faults. It prints the figures only
// with -control.measure, which also runs it with more seeds.
func TestMeasure(t *testing.T) {
	seeds := 1
	if *measuring {
		seeds = 12
	}
	for _, setup := range []struct {
		name    string
		n       int
		latency time.Duration
	}{{"3 in a region", 3, time.Millisecond}, {"4 over regions", 4, 20 * time.Millisecond}, {"5 over regions", 5, 20 * time.Millisecond}} {
		var calm, lost, killed, cut, slow, whole, joined []time.Duration
		for seed := range seeds {
			runCluster(t, setup.n, func(f *clusterFixture) {
				f.net.Set(sim.Faults{Least: setup.latency, Most: setup.latency})
				for _, d := range f.disks {
					d.SetLatency(time.Millisecond)
				}
				random := rand.New(rand.NewPCG(uint64(seed), 9))
				all := make([]int, setup.n)
				for i := range all {
					all[i] = i
				}
				gen := 1
				f.timeReplacements(random, &gen, 1, 0) // makes the first replica the last proposer
				calm = append(calm, f.timeReplacements(random, &gen, 20, all...)...)
				f.timeReplacements(random, &gen, 1, 0)
				f.kill(setup.n-1, true)
				lost = append(lost, f.timeReplacements(random, &gen, 10, all[:setup.n-1]...)...)
				f.start(setup.n - 1)
				time.Sleep(rejoinTimeout)
				proposer := f.lastProposer()
				f.kill(proposer, true)
				killed = append(killed, f.timeReplacements(random, &gen, 1, without(all, proposer)...)...)
				f.start(proposer)
				time.Sleep(rejoinTimeout)
				proposer = f.lastProposer()
				f.partition(ips(proposer), ips(without(all, proposer)...), sim.Silent)
				cut = append(cut, f.timeReplacements(random, &gen, 1, without(all, proposer)...)...)
				f.partition(ips(proposer), ips(without(all, proposer)...), sim.Open)
				time.Sleep(rejoinTimeout)
				proposer = f.lastProposer()
				f.disks[proposer].SetLatency(30 * time.Millisecond)
				slow = append(slow, f.timeReplacements(random, &gen, 3, all...)...)
				f.disks[proposer].SetLatency(time.Millisecond)
				if !*measuring {
					return
				}
				f.removed[0] = true
				f.kill(0, true)
				time.Sleep(time.Second)
				replacement := f.startReplacement()
				began := time.Now()
				f.waitFor(4*rejoinTimeout, "whole", func() bool {
					return f.countVoting() == setup.n && len(f.replicas[replacement].decidedState().Voters) == setup.n
				})
				whole = append(whole, time.Since(began))
				began = time.Now()
				f.kill(replacement, true)
				f.disks[replacement].Wipe()
				f.start(replacement)
				f.waitFor(4*rejoinTimeout, "whole", func() bool {
					return f.countVoting() == setup.n && len(f.replicas[replacement].decidedState().Voters) == setup.n
				})
				joined = append(joined, time.Since(began))
			})
		}
		if !*measuring {
			continue
		}
		for what, all := range map[string][]time.Duration{"calm": calm, "one lost": lost, "the last proposer loses power": killed,
			"the last proposer is cut off": cut, "its disk takes 30 ms an operation": slow, "whole after a replacement": whole, "whole after a lost disk": joined} {
			t.Logf("%s: %s: %s", setup.name, what, summarize(all))
		}
	}
	if *measuring {
		measureCatchUp(t)
	}
}

// measureCatchUp prints how long a replica that missed changes takes to catch up.
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
