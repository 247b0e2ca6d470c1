package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// A replica that is back with an empty disk is read at every moment from its start on, while new versions are decided
// or while no replica that knows them can be reached. It must show nothing older than what was acknowledged before the
// read.
func TestEmptyDiskReadAtOnce(t *testing.T) {
	for _, n := range []int{3, 4} {
		for _, alone := range []bool{false, true} {
			runCluster(t, n, func(f *clusterFixture) {
				ctx := context.Background()
				f.replaceUntilAcknowledged(1, configurationBody(2, "a"))
				f.disks[n-1].Hang() // it misses the next version
				f.replaceUntilAcknowledged(1, configurationBody(3, "a"))
				assert.NilError(t, f.replicas[1].Drain(ctx, "z0", true))
				f.kill(0, true)
				f.disks[0].Wipe()
				if !alone {
					f.disks[n-1].Release() // two voters with working disks are needed to replace the third one's identity
				} else { // the remaining replicas that accepted the acknowledged version can't be reached
					f.partition(ips(0, n-1), ips(1, 2, 3, 4)[:n-2], sim.Silent)
				}
				f.start(0)
				acked := uint64(3)
				for began := time.Now(); time.Since(began) < 6*time.Second; {
					before := acked
					if p, err := f.replicas[0].CurrentConfiguration(ctx); err == nil {
						assert.Assert(t, p.Gen >= before && !alone, "%d: r%d shown %v after the start", n, p.Gen, time.Since(began))
					}
					if alone {
						assert.Assert(t, !f.replicas[0].isVoting())
					}
					next := configurationBody(int(acked)+1, "a")
					if f.replace(1, next) == nil {
						acked++
					}
					time.Sleep(20 * time.Millisecond)
				}
				assert.Equal(t, f.replicas[0].isVoting(), !alone)
				f.disks[n-1].Release()
				f.partition(ips(0, n-1), ips(1, 2, 3, 4)[:n-2], sim.Open)
				f.waitFor(4*time.Second, "all replicas vote", func() bool { return f.countVoting() == n })
				f.assertShows(0, configurationBody(int(f.replicas[1].configurationInForce().Gen), "a"))
			})
		}
	}
}

// Two of three replicas, those in one zone, lose power. The third must acknowledge nothing and report nothing as fresh,
// and what was acknowledged must be there once the two are back.
func TestTwoOfThreeLosePower(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		ctx := context.Background()
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		h := f.startAgent("1", 1)
		f.waitFor(3*time.Second, "the agent is confirmed", h.holds(func(h *simAgent) bool { return h.confirmed && h.confirmedAge < time.Second }))
		f.replaceUntilAcknowledged(2, configurationBody(3, "a")) // on the disks of any two
		assert.NilError(t, f.replicas[2].Drain(ctx, "z1", true))
		f.kill(0, true)
		f.kill(2, true)
		dark := time.Now()
		for range 10 {
			assert.ErrorIs(t, f.replace(1, configurationBody(4, "b")), ErrNoMajority)
			assert.ErrorIs(t, f.replicas[1].Drain(ctx, "z1", false), ErrNoMajority)
			_, err := f.replicas[1].CurrentConfiguration(ctx)
			assert.ErrorIs(t, err, ErrNoMajority)
			time.Sleep(300 * time.Millisecond)
		}
		age := time.Since(dark)
		assert.Assert(t, h.holds(func(h *simAgent) bool { return h.confirmedAge > age-2*time.Second && h.heldGen <= 3 })(), "%v of %v", h.confirmedAge, age)
		f.start(0)
		f.start(2)
		f.waitFor(4*time.Second, "a configuration is shown", func() bool { p, err := f.replicas[1].CurrentConfiguration(ctx); return err == nil && p.Gen >= 3 })
		f.waitFor(4*time.Second, "the zone is drained", func() bool { return f.replicas[0].orderInForce("z1").Drain })
		h.stop()
	})
}

// Opposite drain orders reach the two sides of a network partition. Only the side with a majority, if there is one, may
// acknowledge its order. After the partition all replicas agree, and later orders hold whatever either side has stored.
func TestDrainOrdersAcrossPartition(t *testing.T) {
	for _, n := range []int{4, 5} {
		for _, begin := range []bool{true, false} {
			runCluster(t, n, func(f *clusterFixture) {
				ctx := context.Background()
				assert.NilError(t, f.replicas[0].Drain(ctx, "z0", !begin))
				time.Sleep(time.Second) // all have it in force
				left, right := ips(0, 1), ips(2, 3, 4)[:n-2]
				f.partition(left, right, sim.Silent)
				done := make(chan error, 1)
				go func() { done <- f.replicas[0].Drain(ctx, "z0", !begin) }()
				err := f.replicas[n-1].Drain(ctx, "z0", begin)
				assert.ErrorIs(t, <-done, ErrNoMajority)
				if n == 4 {
					assert.ErrorIs(t, err, ErrNoMajority)
					time.Sleep(2 * time.Second)
					assert.Equal(t, f.replicas[3].orderInForce("z0").Drain, !begin) // a minority's order is not in force
				}
				f.waitFor(6*time.Second, "the order is acknowledged", func() bool { return n == 4 || f.replicas[2].Drain(ctx, "z0", begin) == nil })
				f.partition(left, right, sim.Open)
				var holds peerlink.Zone
				same := func() bool {
					holds = f.replicas[0].orderInForce("z0")
					for _, r := range f.replicas {
						if r.orderInForce("z0") != holds {
							return false
						}
					}
					return true
				}
				f.waitFor(6*time.Second, "all replicas have the same order", same)
				assert.Assert(t, n == 4 || holds.Drain == begin)
				for i, drain := range []bool{begin, !begin, begin} {
					f.waitFor(3*time.Second, "the order is acknowledged", func() bool { return f.replicas[i].Drain(ctx, "z0", drain) == nil })
					time.Sleep(time.Second)
					assert.Assert(t, same() && holds.Drain == drain, "%v", holds)
				}
			})
		}
	}
}

// A configuration that is sent again after a newer one was decided is acknowledged, and the newer one stays in force.
// While the newer one is accepted on one disk only, the older one is still the decided one.
func TestOlderVersionAgain(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		f.acceptOnOneDisk(0, configurationBody(3, "a"))
		f.partition(ips(0), ips(1, 2), sim.Silent)
		time.Sleep(2 * time.Second)
		assert.ErrorIs(t, f.replace(0, configurationBody(2, "a")), ErrNoMajority) // no majority confirms that it is still the newest
		f.partition(ips(0), ips(1, 2), sim.Open)
		f.disks[1].Release()
		f.waitFor(5*time.Second, "the newer configuration is in force", func() bool { return configIDOf(f.replicas[1].configurationInForce()).Gen == 3 })
		assert.NilError(t, f.replace(1, configurationBody(2, "a")))
		f.kill(0, true)
		f.disks[2].Release()
		for i := range 2 {
			f.assertShows(i+1, configurationBody(3, "a"))
			assert.NilError(t, f.replace(i+1, configurationBody(2, "b")))
			f.assertShows(i+1, configurationBody(3, "a"))
		}
	})
}

// A voter loses its disk, and with it an acceptance that an order in progress counts. If that replica voted again
// before the order has ended, a majority of replicas that never heard of the order could show an older version than
// acknowledged.
func TestOrderInProgressWhenADiskIsLost(t *testing.T) {
	for late := 50 * time.Millisecond; late < 600*time.Millisecond; late += 50 * time.Millisecond {
		runCluster(t, 3, func(f *clusterFixture) {
			f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
			f.waitFor(time.Second, "all replicas have the configuration", func() bool { return configIDOf(f.replicas[2].configurationInForce()).Gen == 2 })
			f.disks[0].Hang()
			f.disks[2].SetLatency(150 * time.Millisecond)
			done := make(chan error, 1)
			go func() { done <- f.replace(0, configurationBody(3, "a")) }()
			time.Sleep(late)
			f.kill(1, true)
			f.disks[1].Wipe()
			f.start(1)
			err := <-done
			f.partition(ips(2), ips(0, 1), sim.Silent)
			f.kill(0, true)
			f.start(0)
			for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
				for i := range 2 {
					p, no := f.replicas[i].CurrentConfiguration(context.Background())
					assert.Assert(t, no != nil || err != nil || p.Gen == 3, "acknowledged, %v: r%d", late, p)
				}
			}
		})
	}
}

// At the first start the seeds are the voters for all replicas, in whatever order they start. A majority of them
// decides, a replica that is cut off must decide nothing, and all replicas that connect become voters.
func TestFirstStart(t *testing.T) {
	for _, n := range []int{3, 4, 5} {
		for _, comes := range []bool{true, false} {
			runCluster(t, n, func(f *clusterFixture) {
				f.killAll(false)
				for _, d := range f.disks {
					d.Wipe()
				}
				f.bootstrap = true
				f.partition(ips(2), ips(0, 1, 3, 4), sim.Silent)
				for i := range n {
					f.start(n - 1 - i) // some of its seeds are not listening yet
					time.Sleep(100 * time.Millisecond)
				}
				f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
				assert.ErrorIs(t, f.replace(2, configurationBody(3, "b")), ErrNoMajority)
				time.Sleep(4 * time.Second)
				assert.ErrorIs(t, f.replace(2, configurationBody(3, "b")), ErrNoMajority)
				_, err := f.replicas[2].CurrentConfiguration(context.Background())
				assert.ErrorIs(t, err, ErrNoMajority)
				if comes {
					f.partition(ips(2), ips(0, 1, 3, 4), sim.Open)
					f.waitFor(5*time.Second, "all replicas vote", func() bool { return f.countVoting() == n })
					f.assertShows(2, configurationBody(2, "a"))
				}
				f.waitFor(2*time.Second, "the same voters", func() bool { // a change of the voters may be in progress
					want := f.replicas[0].decidedState()
					for i := range n {
						if (i != 2 || comes) && !slices.Equal(f.replicas[i].decidedState().Voters, want.Voters) {
							return false
						}
					}
					return true
				})
			})
		}
	}
}

// A replica whose process was suspended during an order must not acknowledge it: a voter that accepted it may have lost
// its disk since and vote again under another identity.
func TestSuspendedReplicaDoesNotAcknowledge(t *testing.T) {
	runCluster(t, 3, func(f *clusterFixture) {
		f.replaceUntilAcknowledged(0, configurationBody(2, "a"))
		for i := 1; i < 3; i++ {
			f.disks[i].Hang()
		}
		order := make(chan error, 2)
		go func() { order <- f.replace(0, configurationBody(3, "a")) }()
		go func() { order <- f.replicas[0].Drain(context.Background(), "z0", true) }()
		time.Sleep(200 * time.Millisecond)
		f.clocks[0].offset.Store(int64(callTimeout))
		for i := 1; i < 3; i++ {
			f.disks[i].Release()
		}
		assert.ErrorIs(t, <-order, ErrNoMajority)
		assert.ErrorIs(t, <-order, ErrNoMajority)
		f.replaceUntilAcknowledged(0, configurationBody(3, "a"))
	})
}

// Eight orders at once, in many rounds, some repeated because their answers were lost. Each must be acknowledged, those
// about zones within a second, and a replica whose settings lack a zone must accept orders about it once others did.
func TestManyOrdersAtOnce(t *testing.T) {
	runCluster(t, 4, func(f *clusterFixture) {
		ctx := context.Background()
		for _, d := range f.disks {
			d.SetLatency(8 * time.Millisecond)
		}
		assert.NilError(t, f.replicas[0].Drain(ctx, "z0", false))
		few := *f.settings(3)
		few.Network.Zones = map[string]string{"z1": "r"}
		f.replicas[3].liveSettings.Store(&few)
		for round := range 15 {
			orders := []func(at int) error{}
			for i := range 5 {
				gen := 10*round + 2 + (i*3)%7
				orders = append(orders, func(at int) error { return f.replace(at, configurationBody(gen, "a")) })
			}
			for i := range 3 {
				zone, drain := []string{"z0", "z1", "z0"}[i], i == 1
				orders = append(orders, func(at int) error { return f.replicas[at].Drain(ctx, zone, drain) })
			}
			took := make(chan time.Duration, len(orders))
			for i, order := range orders {
				go func() {
					began := time.Now()
					for at := (i + round) % 4; ; at = (at + 1) % 4 {
						err := order(at)
						if err == nil || time.Since(began) > 5*time.Second {
							break
						}
						assert.Check(t, errors.Is(err, ErrNoMajority), "%v", err)
					}
					d := time.Since(began)
					if assert.Check(t, d < 2*time.Second && (i < 5 || d < time.Second), "order %d: %v", i, d); round%3 == 0 && i < 6 { // as if its answer had been lost
						err := order((i + 3) % 4)
						assert.Check(t, err == nil || errors.Is(err, ErrNoMajority), "%v", err)
					}
					took <- d
				}()
			}
			for range orders {
				<-took
			}
			f.assertShows(round%4, configurationBody(10*round+8, "a"))
		}
		assert.NilError(t, f.replicas[0].Drain(ctx, "z0", true))
		assert.NilError(t, f.replicas[3].Drain(ctx, "z0", true))
		assert.ErrorIs(t, f.replicas[3].Drain(ctx, "nowhere", true), ErrUnknownZone)
		time.Sleep(time.Second)
		for _, r := range f.replicas {
			assert.Assert(t, r.orderInForce("z0").Drain && r.orderInForce("z1").Drain)
		}
	})
}
