package control

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/control/membership"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

var fineSteps = flag.Bool("control.fine", false, "play troubles at four times as many moments")

// momentStep returns the step, in milliseconds or machines, between two moments at which a fault is injected.
func momentStep(step int) int {
	if *fineSteps {
		return step
	}
	return 4 * step
}

// rejoinTimeout is how long a new or returning machine may take to become a voter (sync_s).
const rejoinTimeout = 4 * time.Second

// runningIndexes returns the machines on which replicas run.
func (f *clusterFixture) runningIndexes() (all []int) {
	for i, r := range f.replicas {
		if r != nil {
			all = append(all, i)
		}
	}
	return all
}

// waitForVoters waits until n replicas run and all of them are the voters.
func (f *clusterFixture) waitForVoters(n int) {
	f.t.Helper()
	f.waitFor(rejoinTimeout, "all running replicas are the voters", func() bool {
		all := f.runningIndexes()
		for _, i := range all {
			if s := f.replicas[i].decidedState(); len(s.Voters) != n || !f.replicas[i].isVoting() {
				return false
			}
		}
		return len(all) == n
	})
}

// replaceMachine replaces a machine by an empty one, which joins before a planned shutdown or else after a loss.
func (f *clusterFixture) replaceMachine(i int, planned bool) int {
	f.removed[i] = true
	if !planned {
		f.kill(i, true)
		time.Sleep(time.Second)
		return f.startReplacement()
	}
	next := f.startReplacement()
	time.Sleep(rejoinTimeout)
	f.shutDown(i)
	return next
}

// Three machines are replaced one after the other; then all machines lose power and one of them its disk. Guards
// against losing acknowledged changes, and against counting machines that are gone for good.
func TestThreeReplacementsAndALoss(t *testing.T) {
	for _, n := range []int{3, 4, 5} {
		for wiped := 0; wiped < n; wiped += momentStep(1) {
			runCluster(t, n, func(f *clusterFixture) {
				f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
				for k, planned := range []bool{true, false, true} {
					f.replaceMachine(k, planned)
					f.waitForVoters(n)
					f.replaceUntilAcknowledged(f.runningIndexes()[k], configurationBody(3+k, "a"))
				}
				all := f.runningIndexes()
				assert.NilError(t, f.replicas[all[0]].Drain(context.Background(), "z1", true))
				f.killAll(true)
				f.disks[all[wiped]].Wipe()
				f.startAll()
				f.waitForVoters(n)
				for _, i := range all {
					f.assertShows(i, configurationBody(5, "a"))
					assert.Assert(t, f.replicas[i].orderInForce("z1").Drain)
				}
				f.replaceUntilAcknowledged(all[wiped], configurationBody(6, "a"))
			})
		}
	}
}

// While a replacement joins, it or a second machine loses power, is killed or is cut off, at each moment of that. Guards
// against losing acknowledged changes, and against replicas that never vote again.
func TestSecondLossDuringARepair(t *testing.T) {
	for late := 0; late < 3000; late += momentStep(60) {
		n := 3 + (late/momentStep(60))%3
		runCluster(t, n, func(f *clusterFixture) {
			f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
			f.removed[0] = true
			f.kill(0, true)
			next := f.startReplacement()
			time.Sleep(time.Duration(late) * time.Millisecond)
			second := []int{next, 1, n - 1}[(late/momentStep(60))%3]
			switch (late / momentStep(60) / 3) % 3 {
			case 0:
				f.kill(second, true)
				time.Sleep(300 * time.Millisecond)
				f.start(second)
			case 1:
				f.kill(second, false)
				f.start(second)
			case 2:
				f.partition(ips(second), ips(0, 1, 2, 3, 4, 5), sim.Silent)
				time.Sleep(2 * time.Second)
				f.partition(ips(second), ips(0, 1, 2, 3, 4, 5), sim.Open)
			}
			f.waitFor(3*rejoinTimeout, fmt.Sprint("all replicas vote, after ", late, f.countVoting(), len(f.replicas[next].decidedState().Voters), f.replicas[next].decidedState().Voters), func() bool { return f.countVoting() == n && len(f.replicas[next].decidedState().Voters) == n })
			for _, i := range f.runningIndexes() {
				f.assertShows(i, configurationBody(2, "a"))
			}
			f.replaceUntilAcknowledged(next, configurationBody(3, "a"))
			f.kill(1, true) // the voters tolerate one more loss
			f.replaceUntilAcknowledged(next, configurationBody(4, "a"))
		})
	}
}

// A replica that shuts down gracefully is killed at each stage of that, and then comes back with its disk or is
// replaced. Guards against losing acknowledged changes, and against too few voters meanwhile or afterwards.
func TestLeavingKilledAtEachStage(t *testing.T) {
	for late := 0; late < 400; late += momentStep(10) {
		n := 3 + (late/momentStep(10))%3
		runCluster(t, n, func(f *clusterFixture) {
			f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
			r := f.replicas[1]
			r.stop()
			time.Sleep(time.Duration(late) * time.Millisecond)
			f.kill(1, late/momentStep(10)%2 == 0)
			f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
			assert.Assert(t, len(f.replicas[0].decidedState().Voters) >= membership.MinVoters)
			if late/momentStep(10)%4 == 0 {
				f.removed[1] = true
				f.startReplacement()
			} else {
				f.start(1)
			}
			f.waitFor(2*rejoinTimeout, fmt.Sprint("all replicas vote, after ", late), func() bool { return f.countVoting() == n && len(f.replicas[0].decidedState().Voters) == n })
			f.killAll(true)
			f.startAll()
			for _, i := range f.runningIndexes() {
				f.assertShows(i, configurationBody(3, "a"))
			}
		})
	}
}

// A replica that shuts down resigns first if three others remain: losing another one right after leaves a majority.
func TestLeavesInOrder(t *testing.T) {
	for _, n := range []int{4, 5} {
		runCluster(t, n, func(f *clusterFixture) {
			f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
			f.shutDown(n - 1)
			f.waitFor(100*time.Millisecond, "the replica is removed from the voters", func() bool { return len(f.replicas[0].decidedState().Voters) == n-1 })
			f.kill(n-2, true)
			f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
		})
	}
}

// A replica that is cut off answers all requests with ErrNoMajority at once: its state may be outdated, so it must
// neither acknowledge, show nor refuse anything because of it. It still refuses a configuration that can't be parsed.
func TestIsolatedReplicaOnlyReturnsNoMajority(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		ctx := context.Background()
		f.replaceUntilAcknowledged(0, configurationBody(5, "a"))
		assert.NilError(t, f.replicas[0].AcquireLock(ctx, state.Lock{Token: "t", Who: "ana", For: 15 * time.Second}))
		h := f.startAgent("1", 0)
		defer h.stop()
		f.waitFor(2*time.Second, "the agent is confirmed", h.holds(func(h *simAgent) bool { return h.confirmed && h.confirmedAge < time.Second && h.heldGen == 5 }))
		f.partition(ips(0), ips(1, 2, 3), sim.Silent)
		time.Sleep(1500 * time.Millisecond)
		f.replaceUntilAcknowledged(2, configurationBody(7, "b"))
		for range 8 {
			began := time.Now()
			for what, err := range map[string]error{
				"newer":             f.replace(0, configurationBody(9, "c")),
				"the same":          f.replace(0, configurationBody(5, "a")),
				"older":             f.replace(0, configurationBody(4, "a")),
				"another text":      f.replace(0, configurationBody(5, "z")),
				"an order":          f.replicas[0].Drain(ctx, "z0", true),
				"an unknown zone":   f.replicas[0].Drain(ctx, "nowhere", true),
				"an unknown proxy":  f.replicas[0].Wake(ctx, "proxy-9"),
				"a taken lock":      f.replicas[0].AcquireLock(ctx, state.Lock{Token: "u", Who: "ben", For: time.Second}),
				"a token":           f.replicas[0].Drain(withLockToken(ctx, "u"), "z0", true),
				"what is in force":  func() error { _, err := f.replicas[0].CurrentConfiguration(ctx); return err }(),
				"letting go of it":  f.replicas[0].ReleaseLock(ctx, "t"),
				"a rest of a known": f.replicas[0].Rest(ctx, "proxy-1", halfAwake),
			} {
				assert.Assert(t, errors.Is(err, ErrNoMajority), "%s: %v", what, err)
			}
			assert.Assert(t, time.Since(began) < 10*time.Millisecond, "%v", time.Since(began))
			var invalid InvalidError
			assert.Assert(t, errors.As(f.replace(0, []byte("{")), &invalid))
			time.Sleep(300 * time.Millisecond)
		}
		assert.Assert(t, h.holds(func(h *simAgent) bool { return h.confirmedAge > 3*time.Second && h.heldGen == 5 })())
		f.partition(ips(0), ips(1, 2, 3), sim.Open)
		f.assertShows(0, configurationBody(7, "b"))
		f.waitFor(2*time.Second, "the agent has the newer configuration", h.holds(func(h *simAgent) bool { return h.heldGen == 7 }))
	})
}

// A replica that is cut off for long is removed from the voters and decides nothing; it rejoins when it is back.
func TestLongIsolatedReplicaIsRemoved(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		f.partition(ips(3), ips(0, 1, 2), sim.Silent)
		f.waitFor(20*time.Second, "the replica is removed from the voters", func() bool { return len(f.replicas[0].decidedState().Voters) == 3 })
		for i := 1; i < 3; i++ {
			f.kill(i, true)
			f.replaceUntilAcknowledged(0, configurationBody(2+i, "a"))
			f.start(i)
			f.waitFor(rejoinTimeout, "the replica is back", func() bool { return f.countConfirmed() >= 3 })
		}
		assert.Assert(t, f.replicas[3].isVoting()) // as far as it knows
		assert.ErrorIs(t, f.replace(3, configurationBody(9, "z")), ErrNoMajority)
		f.partition(ips(3), ips(0, 1, 2), sim.Open)
		f.waitForVoters(4)
		f.assertShows(3, configurationBody(4, "a"))
	})
}

// A replaced machine is dropped after forgetAfter: otherwise agents and replicas would dial it forever.
func TestReplacedMachineIsForgotten(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		f.replaceMachine(2, false)
		f.waitForVoters(3)
		h := f.startAgent("1", 0)
		defer h.stop()
		f.waitFor(2*time.Second, "the agent has the census", h.holds(func(h *simAgent) bool { return h.census != nil && len(h.census.Replicas) >= 3 }))
		f.waitFor(2*forgetAfter, "the replaced replica is forgotten", h.holds(func(h *simAgent) bool { return len(h.census.Replicas) == 3 }))
		r := f.replicas[0]
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Assert(t, r.dialTargets[r.settings.Inner(ip(2))] == nil || len(r.seeds) > 0)
		assert.Equal(t, len(r.replicas), 3)
	})
}

// A replica misses half of a thousand changes and then catches up within a second or two, by fetching only the newest
// state and configuration. Meanwhile orders take less than a second, and it shows nothing outdated.
func TestCatchUpAfterManyChanges(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		worst := time.Duration(0)
		for gen := 2; gen <= 1001; gen++ {
			switch gen {
			case 250:
				f.kill(2, true)
			case 750:
				f.start(2)
			}
			began := time.Now()
			f.replaceUntilAcknowledged(gen%2, configurationBody(gen, "a"))
			if gen > 3 {
				worst = max(worst, time.Since(began))
			}
			if gen > 750 && gen < 760 {
				if p, err := f.replicas[2].CurrentConfiguration(context.Background()); err == nil {
					assert.Assert(t, int(p.Gen) >= gen)
				}
			}
			if gen == 790 {
				f.waitFor(200*time.Millisecond, "the replica has caught up", func() bool { return int(configIDOf(f.replicas[2].configurationInForce()).Gen) == gen })
			}
		}
		assert.Assert(t, worst < time.Second, "%v", worst)
		for i, d := range f.disks {
			names, err := d.Mount().List("/data")
			assert.NilError(t, err)
			assert.Assert(t, len(names) <= 3, "%d: %v", i, names)
			f.replicas[i].mu.Lock()
			assert.Assert(t, len(f.replicas[i].contents.Configs) <= 2 && len(f.replicas[i].pendingChanges) == 0)
			f.replicas[i].mu.Unlock()
		}
	})
}

// After a power loss of all during an order, an acknowledged order must hold, any other at all replicas or at none.
func TestPowerLostInAnOrder(t *testing.T) {
	for late := 0; late < 240; late += momentStep(5) {
		n := 3 + (late/momentStep(5))%3
		runCluster(t, n, func(f *clusterFixture) {
			ctx := context.Background()
			f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
			for _, d := range f.disks {
				d.SetLatency(4 * time.Millisecond)
			}
			done, drained := make(chan error, 1), make(chan error, 1)
			one, two := f.at(1), f.at(2)
			go func() {
				_, err := one.Replace(ctx, configurationBody(3, "b"))
				done <- err
			}()
			go func() { drained <- two.Drain(ctx, "z0", true) }()
			time.Sleep(time.Duration(late) * time.Millisecond)
			var acked, order bool
			select {
			case err := <-done:
				acked = err == nil
			default:
			}
			select {
			case err := <-drained:
				order = err == nil
			default:
			}
			f.killAll(true)
			f.startAll()
			time.Sleep(2 * time.Second) // values accepted before the power loss are decided, or found not to be
			f.waitFor(3*time.Second, "a configuration is shown", func() bool { _, err := f.replicas[0].CurrentConfiguration(ctx); return err == nil })
			first := f.replicas[0].decidedState()
			assert.Assert(t, !acked || first.Config.Gen == 3, "after %d ms", late)
			assert.Assert(t, !order || first.Order("z0").Drain, "after %d ms", late)
			for i := range n {
				s := f.replicas[i].decidedState()
				assert.Assert(t, s.SameContent(first), "after %d ms: %+v, %+v", late, s, first)
			}
			f.replaceUntilAcknowledged(0, configurationBody(4, "c"))
		})
	}
}

// A client that has lost the lock, as after a suspension longer than its grant, can't give orders with its token any
// more: at no replica, also after all were killed. Setting a replica's clock ahead must not end the grant.
func TestOlderHolderIsFenced(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		ctx := context.Background()
		lock := func(i int, token string) error {
			return f.replicas[i].AcquireLock(ctx, state.Lock{Token: token, Who: token, For: 5 * time.Second})
		}
		url := func(i int, token string) string {
			return "http://" + ip(i) + ":8200" + api.DrainBegin + "z1?lock=" + token
		}
		assert.NilError(t, lock(0, "ana"))
		status, _ := f.call("POST", url(1, "ana"), nil)
		assert.Equal(t, status, http.StatusOK)
		f.clocks[2].offset.Store(int64(time.Hour)) // a clock that is set ahead must not end the grant
		assert.Assert(t, lock(1, "ben") != nil)
		f.waitFor(8*time.Second, "the lock has lapsed", func() bool { return lock(1, "ben") == nil })
		for i := range 3 {
			status, text := f.call("POST", url(i, "ana"), nil)
			assert.Equal(t, status, http.StatusLocked, text)
		}
		f.killAll(false)
		f.startAll()
		f.waitFor(3*time.Second, "all replicas are confirmed", func() bool { return f.countConfirmed() == 3 })
		for i := range 3 {
			status, text := f.call("POST", url(i, "ana"), nil)
			assert.Equal(t, status, http.StatusLocked, text)
		}
		status, text := f.call("POST", url(2, "ben"), nil)
		assert.Equal(t, status, http.StatusOK, text)
		assert.NilError(t, f.replicas[0].ReleaseLock(ctx, "ben"))
		status, _ = f.call("POST", url(2, "ben"), nil)
		assert.Equal(t, status, http.StatusLocked)
	})
}

// A delayed command for an order or for the lock must not undo one that was decided after the version that its sender
// knew. With the current version it is executed.
func TestDelayedCommandIsRejected(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		ctx := context.Background()
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		assert.NilError(t, f.replicas[1].Drain(ctx, "z0", false))
		since := f.replicas[1].decidedState().Version
		assert.NilError(t, f.replicas[2].Drain(ctx, "z0", true))
		assert.NilError(t, f.replicas[2].AcquireLock(ctx, state.Lock{Token: "t", Who: "ana", For: time.Second}))
		finish := &peerlink.Command{Order: &peerlink.Zone{Zone: "z0"}, Known: true, Since: since, Within: callTimeout}
		lock := &peerlink.Command{Lock: &state.Lock{Token: "t", Who: "ana", For: time.Minute}, Since: since, Within: callTimeout}
		for i := range 3 {
			assert.Equal(t, f.replicas[i].executeForwarded(ctx, finish).Refusal, peerlink.RefusedOutrun)
			assert.Equal(t, f.replicas[i].executeForwarded(ctx, lock).Refusal, peerlink.RefusedOutrun)
			assert.Assert(t, f.replicas[i].orderInForce("z0").Drain)
		}
		finish.Since = f.replicas[0].decidedState().Version
		assert.Assert(t, f.replicas[0].executeForwarded(ctx, finish).Decided)
		assert.Assert(t, !f.replicas[0].orderInForce("z0").Drain)
	})
}

// Each observed change adds or removes one voter; the first observation may show five voters instead of three seeds.
func TestVotersChangeOneByOne(t *testing.T) {
	runCluster(t, 5, func(f *clusterFixture) {
		seen := map[string]bool{}
		last := 3
		for range 200 {
			s := f.replicas[0].decidedState()
			key := fmt.Sprint(s.Voters)
			if !seen[key] {
				seen[key] = true
				assert.Assert(t, len(s.Voters)-last <= 1 && last-len(s.Voters) <= 1 || last == 3 && len(s.Voters) == 5, "%v", s.Voters)
				last = len(s.Voters)
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, last, 5)
	})
}
