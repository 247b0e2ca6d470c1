package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/membership"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// All replicas are killed at once. Restarted, they must confirm what was acknowledged within a second.
func TestKilledAllAtOnce(t *testing.T) {
	for _, n := range []int{1, 3, 4, 5} {
		runCluster(t, n, func(f *clusterFixture) {
			f.replaceUntilAcknowledged(n-1, configurationBody(3, "a"))
			f.killAll(false)
			f.startAll()
			began := time.Now()
			f.assertShows(0, configurationBody(3, "a"))
			assert.Assert(t, time.Since(began) < time.Second, "%d: %v", n, time.Since(began))
		})
	}
}

// All machines lose power, and one of them its disk. What was acknowledged must be there afterwards, also at the
// replica without a disk, which must become a voter again under another identity.
func TestPowerAndADiskLost(t *testing.T) {
	for _, n := range []int{3, 4, 5} {
		for wiped := range n {
			runCluster(t, n, func(f *clusterFixture) {
				f.replaceUntilAcknowledged((wiped+1)%n, configurationBody(3, "a"))
				assert.NilError(t, f.replicas[wiped].Drain(context.Background(), "z1", true))
				f.killAll(true)
				f.disks[wiped].Wipe()
				f.startAll()
				f.assertShows(wiped, configurationBody(3, "a"))
				f.waitFor(6*time.Second, "all replicas vote", func() bool { return f.countVoting() == n })
				r := f.replicas[wiped]
				assert.Equal(t, string(r.configurationInForce().Body), string(configurationBody(3, "a")))
				assert.Assert(t, r.orderInForce("z1").Drain)
				assert.Equal(t, len(r.decidedState().Voters), n)
			})
		}
	}
}

// Of three replicas one has lost its disk and one has missed the acknowledged version; the third, the only one left
// with it, is cut off. The two must not form a majority that decides or shows an older version.
func TestVotesOnlyWhenCaughtUp(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		f.waitFor(time.Second, "the replica has caught up", func() bool { return configIDOf(f.replicas[2].configurationInForce()).Gen == 2 })
		f.disks[2].Hang()
		f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
		f.killAll(true)
		f.disks[2].Release()
		f.disks[0].Wipe()
		f.partition(ips(1), ips(0, 2), sim.Silent)
		f.startAll()
		time.Sleep(5 * time.Second)
		assert.Assert(t, !f.replicas[0].isVoting() && f.replicas[2].isVoting())
		for _, i := range []int{0, 2} {
			_, err := f.replicas[i].CurrentConfiguration(context.Background())
			assert.ErrorIs(t, err, ErrNoMajority)
		}
		f.partition(ips(1), ips(0, 2), sim.Open)
		f.assertShows(0, configurationBody(3, "a"))
		f.waitFor(6*time.Second, "all replicas vote", func() bool { return f.countVoting() == 3 })
	})
}

// A replica that is no voter proposes. It has not accepted the value and its configuration, but must send both to all
// replicas at once when they are decided.
func TestNonVoterProposalReachesAllReplicas(t *testing.T) {
	runCluster(t, membership.MaxVoters+1, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		learner := slices.IndexFunc(f.replicas, func(r *runningReplica) bool { return !r.isVoting() })
		f.kill(slices.IndexFunc(f.replicas, func(r *runningReplica) bool { return r.proposerID() == f.replicas[learner].decidedState().Proposer }), false)
		for gen := 3; gen < 6; gen++ {
			f.replaceUntilAcknowledged(learner, configurationBody(gen, "a"))
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, f.replicas[learner].Drain(context.Background(), "z0", gen%2 == 0))
			time.Sleep(100 * time.Millisecond)
			for _, i := range f.runningIndexes() {
				assert.Assert(t, configIDOf(f.replicas[i].configurationInForce()).Gen == uint64(gen) && f.replicas[i].orderInForce("z0").Drain == (gen%2 == 0), "replica-%d after r%d", i, gen)
			}
		}
	})
}

// Four replicas are split into two halves. Neither is a majority, so neither may acknowledge, show or apply anything.
func TestMinorityRefuses(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		f.partition(ips(0, 1), ips(2, 3), sim.Silent)
		for i := range 4 {
			assert.ErrorIs(t, f.replace(i, configurationBody(3+i, "a")), ErrNoMajority)
			assert.ErrorIs(t, f.replicas[i].Drain(context.Background(), "z0", true), ErrNoMajority)
			_, err := f.replicas[i].CurrentConfiguration(context.Background())
			assert.ErrorIs(t, err, ErrNoMajority)
		}
		time.Sleep(3 * time.Second)
		assert.ErrorIs(t, f.replace(0, configurationBody(9, "a")), ErrNoMajority)
		assert.Equal(t, f.replicas[0].configuration.Gen, uint64(2)) // a minority's configuration is not in force
		f.partition(ips(0, 1), ips(2, 3), sim.Open)
		f.replaceUntilAcknowledged(3, configurationBody(12, "a"))
		f.assertShows(0, configurationBody(12, "a"))
	})
}

// acceptOnOneDisk leaves a configuration accepted on one replica's disk only, and so not decided: the disks of the others
// hang until the test releases them.
func (f *clusterFixture) acceptOnOneDisk(i int, body []byte) {
	f.t.Helper()
	done := make(chan error, 1)
	go func() { done <- f.replace(i, body) }()
	r := f.replicas[i]
	for {
		r.mu.Lock()
		accepted := r.contents.Record.Value != nil
		r.mu.Unlock()
		if accepted {
			break
		}
		time.Sleep(100 * time.Microsecond)
	}
	for j := range f.disks {
		if j != i {
			f.disks[j].Hang()
		}
	}
	assert.ErrorIs(f.t, <-done, ErrNoMajority)
}

// A configuration that a replica has shown must stay in force, even if it was never acknowledged: an acceptance on one
// disk must not be shown unless a majority has it.
func TestShownConfigurationStaysInForce(t *testing.T) {
	for late := range 30 {
		runCluster(t, 3, func(f *clusterFixture) {
			f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
			f.waitFor(time.Second, "all replicas have the configuration", func() bool {
				return configIDOf(f.replicas[1].configurationInForce()).Gen == 2 && configIDOf(f.replicas[2].configurationInForce()).Gen == 2
			})
			done := make(chan error, 1)
			go func() { done <- f.replace(0, configurationBody(3, "a")) }()
			time.Sleep(time.Duration(late) * 4 * time.Millisecond)
			f.disks[1].SetFull(true)
			f.disks[2].SetFull(true)
			err := <-done
			f.disks[1].SetFull(false)
			f.disks[2].SetFull(false)
			var shown *peerlink.Configuration
			f.waitFor(3*time.Second, "a configuration is shown", func() bool {
				p, no := f.replicas[0].CurrentConfiguration(context.Background())
				shown = p
				return no == nil
			})
			assert.Assert(t, err != nil || shown.Gen == 3)
			f.kill(0, true)
			f.assertShows(1, shown.Body)
		})
	}
}

// One replica's disk hangs, is full or is slow. Orders must still be decided quickly, also at that replica.
func TestDiskTroubleBlocksNobody(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		for i, trouble := range []func(d *sim.Disk){(*sim.Disk).Hang, func(d *sim.Disk) { d.SetFull(true) }, func(d *sim.Disk) { d.SetLatency(60 * time.Millisecond) }} {
			trouble(f.disks[0])
			for at := range 2 { // 0 is the replica with the bad disk
				began := time.Now()
				assert.NilError(t, f.replace(at, configurationBody(10*i+at+2, "a")))
				assert.NilError(t, f.replicas[at].Drain(context.Background(), "z0", at == 0))
				assert.Assert(t, time.Since(began) < 700*time.Millisecond, "%v", time.Since(began))
			}
			f.disks[0].Release()
			f.disks[0].SetFull(false)
			f.disks[0].SetLatency(0)
		}
		f.waitFor(3*time.Second, "the replica has caught up", func() bool { return configIDOf(f.replicas[0].configurationInForce()).Gen == 23 })
	})
}

// Two configurations with the same generation number are sent at once to two replicas. Exactly one must be decided and
// the other refused, also when they are sent again to any replica after all have lost power.
func TestTwoOperatorsOneNumber(t *testing.T) {
	for late := range 8 {
		runCluster(t, 4, func(f *clusterFixture) {
			texts := [][]byte{configurationBody(5, "a"), configurationBody(5, "b")}
			ends := make(chan error, 1)
			go func() { ends <- f.replace(0, texts[0]) }()
			time.Sleep(time.Duration(late) * 15 * time.Millisecond)
			errs := []error{nil, f.replace(3, texts[1])}
			errs[0] = <-ends
			one := 0
			if errs[0] != nil {
				one = 1
			}
			var conflict ConflictError
			assert.NilError(t, errs[one])
			assert.Assert(t, errors.As(errs[1-one], &conflict), "%v", errs[1-one])
			for i := range 4 {
				f.assertShows(i, texts[one])
			}
			f.killAll(true)
			f.startAll()
			for i := range 4 {
				f.replaceUntilAcknowledged(i, texts[one])
				assert.Assert(t, errors.As(f.replace(i, texts[1-one]), &conflict))
			}
			f.replaceUntilAcknowledged(2, configurationBody(7, "c"))
			done, err := f.replicas[1].Replace(context.Background(), texts[one]) // a newer one is in force
			assert.Assert(t, err == nil && !done.InForce && done.InForceID.Gen == 7, "%+v, %v", done, err)
			done, err = f.replicas[1].Replace(context.Background(), texts[1-one])
			assert.Assert(t, err == nil && !done.InForce && done.InForceID.Gen == 7, "%+v, %v", done, err)
		})
	}
}

// A drain order that only a minority has accepted must neither take effect nor undo orders that are decided later.
func TestMinorityDrainOrder(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		ctx := context.Background()
		drained := func() bool {
			for _, r := range f.replicas {
				r.mu.Lock()
				z := r.ordersInForce["z0"]
				r.mu.Unlock()
				if !z.Drain {
					return false
				}
			}
			return true
		}
		assert.NilError(t, f.replicas[0].Drain(ctx, "z0", true))
		f.waitFor(2*time.Second, "the zone is drained", drained)
		for i := range 3 {
			f.disks[i].Hang()
		}
		assert.ErrorIs(t, f.replicas[3].Drain(ctx, "z0", false), ErrNoMajority) // accepted on one disk only
		f.partition(ips(3), ips(0, 1, 2), sim.Silent)
		time.Sleep(time.Second)
		assert.Assert(t, drained()) // the order is not in force there either
		for i := range 3 {
			f.kill(i, true)
			f.start(i)
		}
		f.waitFor(time.Second, "the order is acknowledged", func() bool { return f.replicas[1].Drain(ctx, "z0", true) == nil })
		f.partition(ips(3), ips(0, 1, 2), sim.Open)
		f.waitFor(4*time.Second, "the zone is drained", drained)
		time.Sleep(4 * time.Second)
		assert.Assert(t, drained())
		assert.ErrorIs(t, f.replicas[0].Drain(ctx, "nowhere", true), ErrUnknownZone)
	})
}
