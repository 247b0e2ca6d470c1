package control

import (
	"context"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// confirmed returns what is in force at a replica, and the time since a majority confirmed it; the age is the largest
// duration if none ever did.
func (r *runningReplica) confirmed() (gen uint64, drained bool, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configuration != nil {
		gen = r.configuration.Gen
	}
	if !r.decidedConfirmed.IsKnown {
		return gen, r.ordersInForce["z0"].Drain, math.MaxInt64
	}
	return gen, r.ordersInForce["z0"].Drain, r.now() - r.decidedConfirmed.At
}

// A decided state must be in force at all replicas as soon as the proposer's message arrives, without waiting for a
// round of reports, also at a replica whose disk hangs.
func TestDecisionIsAppliedEverywhereAtOnce(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(1, "a"))
		time.Sleep(2 * time.Second)
		f.disks[3].Hang()
		for gen := 2; gen < 10; gen++ {
			began := time.Now()
			assert.NilError(t, f.replace(0, configurationBody(gen, "a")))
			assert.NilError(t, f.replicas[0].Drain(context.Background(), "z0", gen%2 == 0))
			time.Sleep(2 * 20 * time.Millisecond) // twice the longest delay of the simulated network: for the message and for what it carries
			took := time.Since(began)
			for i := range 4 {
				got, drained, _ := f.replicas[i].confirmed()
				assert.Assert(t, int(got) == gen && drained == (gen%2 == 0), "replica-%d: r%d, drained %v", i, got, drained)
			}
			assert.Assert(t, took < reportRoundInterval, "%v", took)
			time.Sleep(time.Duration(gen) * 37 * time.Millisecond)
		}
	})
}

// A replica without contact to a majority receives a newer decided state from one that has contact. It must apply the
// state, but not count it as confirmed by a majority since.
func TestReceivedStateIsNotConfirmed(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(1, "a"))
		time.Sleep(2 * time.Second)
		f.partition(ips(3), ips(1, 2), sim.Silent) // replica-0 hears all
		time.Sleep(2 * time.Second)
		_, _, age := f.replicas[3].confirmed()
		assert.Assert(t, age > time.Second, "%v", age)
		assert.NilError(t, f.replace(0, configurationBody(2, "a")))
		time.Sleep(40 * time.Millisecond)
		gen, _, now := f.replicas[3].confirmed()
		assert.Equal(t, gen, uint64(2))
		assert.Assert(t, now > age, "%v after %v", now, age)
		// A proxy with the previous version is confirmed only up to that time, also once the majority is reachable again.
		before := f.replicas[3].confirmedUpTo(1)
		assert.Assert(t, before < f.replicas[3].now()-time.Second, "%v", before)
		f.partition(ips(3), ips(1, 2), sim.Open)
		time.Sleep(3 * time.Second)
		_, _, age = f.replicas[3].confirmed()
		assert.Assert(t, age < time.Second && f.replicas[3].confirmedUpTo(1) == before, "%v, %v after %v", age, f.replicas[3].confirmedUpTo(1), before)
	})
}

// confirmedUpTo returns the time up to which a proxy with a generation in force is confirmed; -1 if it is not stored.
func (r *runningReplica) confirmedUpTo(gen uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sum := range r.contents.Configs {
		if sum.Gen == gen {
			return r.configurationHistory.Confirmed(versionInForceOf(&peerlink.Ping{Gen: gen, Held: gen, Sum: sum.Sum()}), r.decidedConfirmed).At
		}
	}
	return -1
}
