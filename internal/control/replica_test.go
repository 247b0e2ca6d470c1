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

func TestKilledAllAtOnce(t *testing.T) {
	for _, n := range []int{1, 3, 4, 5} {
		play(t, n, func(f *farm) {
			f.acknowledged(n-1, body(3, "a"))
			f.endAll(false)
			f.startAll()
			began := time.Now()
			f.shows(0, body(3, "a"))
			assert.Assert(t, time.Since(began) < time.Second, "%d: %v", n, time.Since(began))
		})
	}
}

// After the loss of all power, and of the disk of one that acknowledged, the
// state is there, also at the one without a disk, which votes again under another identity.
func TestPowerAndADiskLost(t *testing.T) {
	for _, n := range []int{3, 4, 5} {
		for wiped := range n {
			play(t, n, func(f *farm) {
				f.acknowledged((wiped+1)%n, body(3, "a"))
				assert.NilError(t, f.runs[wiped].Drain(context.Background(), "z1", true))
				f.endAll(true)
				f.disks[wiped].Wipe()
				f.startAll()
				f.shows(wiped, body(3, "a"))
				f.until(6*time.Second, "vote", func() bool { return f.voting() == n })
				r := f.runs[wiped]
				assert.Equal(t, string(r.configured().Body), string(body(3, "a")))
				assert.Assert(t, r.zone("z1").Drain)
				assert.Equal(t, len(r.decided().Voters), n)
			})
		}
	}
}

// A replica that lost its disk and one that was left behind are two of three, but
// what the third alone has left was acknowledged.
func TestVotesOnlyWhenCaughtUp(t *testing.T) {
	play(t, 3, func(f *farm) {
		f.acknowledged(0, body(2, "a"))
		f.until(time.Second, "mend", func() bool { return idOf(f.runs[2].configured()).Gen == 2 })
		f.disks[2].Hang()
		f.acknowledged(0, body(3, "a"))
		f.endAll(true)
		f.disks[2].Release()
		f.disks[0].Wipe()
		f.cut(ips(1), ips(0, 2), sim.Silent)
		f.startAll()
		time.Sleep(5 * time.Second)
		assert.Assert(t, !f.runs[0].votes() && f.runs[2].votes())
		for _, i := range []int{0, 2} {
			_, err := f.runs[i].Show(context.Background())
			assert.ErrorIs(t, err, ErrUnsettled)
		}
		f.cut(ips(1), ips(0, 2), sim.Open)
		f.shows(0, body(3, "a"))
		f.until(6*time.Second, "vote", func() bool { return f.voting() == 3 })
	})
}

func TestWhatALearnerProposesIsToldAtOnce(t *testing.T) {
	play(t, membership.MaxVoters+1, func(f *farm) {
		f.acknowledged(0, body(2, "a"))
		learner := slices.IndexFunc(f.runs, func(r *running) bool { return !r.votes() })
		f.end(slices.IndexFunc(f.runs, func(r *running) bool { return r.proposer() == f.runs[learner].decided().Proposer }), false)
		for gen := 3; gen < 6; gen++ {
			f.acknowledged(learner, body(gen, "a"))
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, f.runs[learner].Drain(context.Background(), "z0", gen%2 == 0))
			time.Sleep(100 * time.Millisecond)
			for _, i := range f.there() {
				assert.Assert(t, idOf(f.runs[i].configured()).Gen == uint64(gen) && f.runs[i].zone("z0").Drain == (gen%2 == 0), "replica-%d after r%d", i, gen)
			}
		}
	})
}

func TestMinorityRefuses(t *testing.T) {
	play(t, 4, func(f *farm) {
		f.acknowledged(0, body(2, "a"))
		f.cut(ips(0, 1), ips(2, 3), sim.Silent)
		for i := range 4 {
			assert.ErrorIs(t, f.replace(i, body(3+i, "a")), ErrUnsettled)
			assert.ErrorIs(t, f.runs[i].Drain(context.Background(), "z0", true), ErrUnsettled)
			_, err := f.runs[i].Show(context.Background())
			assert.ErrorIs(t, err, ErrUnsettled)
		}
		time.Sleep(3 * time.Second)
		assert.ErrorIs(t, f.replace(0, body(9, "a")), ErrUnsettled)
		assert.Equal(t, f.runs[0].configuration.Gen, uint64(2)) // a minority's word is not in force
		f.cut(ips(0, 1), ips(2, 3), sim.Open)
		f.acknowledged(3, body(12, "a"))
		f.shows(0, body(12, "a"))
	})
}

// halfAccepted leaves a configuration on the disk of one replica only, accepted and not decided.
func (f *farm) halfAccepted(i int, body []byte) {
	f.t.Helper()
	done := make(chan error, 1)
	go func() { done <- f.replace(i, body) }()
	r := f.runs[i]
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
	assert.ErrorIs(f.t, <-done, ErrUnsettled)
}

// What was shown once is shown ever after, though it had not been acknowledged.
func TestShownIsKept(t *testing.T) {
	for late := range 30 {
		play(t, 3, func(f *farm) {
			f.acknowledged(0, body(2, "a"))
			f.until(time.Second, "all", func() bool { return idOf(f.runs[1].configured()).Gen == 2 && idOf(f.runs[2].configured()).Gen == 2 })
			done := make(chan error, 1)
			go func() { done <- f.replace(0, body(3, "a")) }()
			time.Sleep(time.Duration(late) * 4 * time.Millisecond)
			f.disks[1].SetFull(true)
			f.disks[2].SetFull(true)
			err := <-done
			f.disks[1].SetFull(false)
			f.disks[2].SetFull(false)
			var shown *peerlink.Configuration
			f.until(3*time.Second, "show", func() bool {
				p, no := f.runs[0].Show(context.Background())
				shown = p
				return no == nil
			})
			assert.Assert(t, err != nil || shown.Gen == 3)
			f.end(0, true)
			f.shows(1, shown.Body)
		})
	}
}

func TestDiskTroubleBlocksNobody(t *testing.T) {
	play(t, 4, func(f *farm) {
		for i, trouble := range []func(d *sim.Disk){(*sim.Disk).Hang, func(d *sim.Disk) { d.SetFull(true) }, func(d *sim.Disk) { d.SetLatency(60 * time.Millisecond) }} {
			trouble(f.disks[0])
			for at := range 2 { // also at the replica whose disk it is
				began := time.Now()
				assert.NilError(t, f.replace(at, body(10*i+at+2, "a")))
				assert.NilError(t, f.runs[at].Drain(context.Background(), "z0", at == 0))
				assert.Assert(t, time.Since(began) < 700*time.Millisecond, "%v", time.Since(began))
			}
			f.disks[0].Release()
			f.disks[0].SetFull(false)
			f.disks[0].SetLatency(0)
		}
		f.until(3*time.Second, "mend", func() bool { return idOf(f.runs[0].configured()).Gen == 23 })
	})
}

// Of two texts under one number one is decided, whoever is asked; it is acknowledged
// again everywhere, also after the loss of all power, and the other is refused.
func TestTwoOperatorsOneNumber(t *testing.T) {
	for late := range 8 {
		play(t, 4, func(f *farm) {
			texts := [][]byte{body(5, "a"), body(5, "b")}
			ends := make(chan error, 1)
			go func() { ends <- f.replace(0, texts[0]) }()
			time.Sleep(time.Duration(late) * 15 * time.Millisecond)
			errs := []error{nil, f.replace(3, texts[1])}
			errs[0] = <-ends
			one := 0
			if errs[0] != nil {
				one = 1
			}
			var conflict Conflict
			assert.NilError(t, errs[one])
			assert.Assert(t, errors.As(errs[1-one], &conflict), "%v", errs[1-one])
			for i := range 4 {
				f.shows(i, texts[one])
			}
			f.endAll(true)
			f.startAll()
			for i := range 4 {
				f.acknowledged(i, texts[one])
				assert.Assert(t, errors.As(f.replace(i, texts[1-one]), &conflict))
			}
			f.acknowledged(2, body(7, "c"))
			done, err := f.runs[1].Replace(context.Background(), texts[one]) // it was overtaken
			assert.Assert(t, err == nil && !done.InForce && done.Held.Gen == 7, "%+v, %v", done, err)
			done, err = f.runs[1].Replace(context.Background(), texts[1-one])
			assert.Assert(t, err == nil && !done.InForce && done.Held.Gen == 7, "%+v, %v", done, err)
		})
	}
}

// An order that only a minority has is no danger to later ones.
func TestDrainsOverACut(t *testing.T) {
	play(t, 4, func(f *farm) {
		ctx := context.Background()
		drained := func() bool {
			for _, r := range f.runs {
				r.mu.Lock()
				z := r.zones["z0"]
				r.mu.Unlock()
				if !z.Drain {
					return false
				}
			}
			return true
		}
		assert.NilError(t, f.runs[0].Drain(ctx, "z0", true))
		f.until(2*time.Second, "drained", drained)
		for i := range 3 {
			f.disks[i].Hang()
		}
		assert.ErrorIs(t, f.runs[3].Drain(ctx, "z0", false), ErrUnsettled) // on one disk only
		f.cut(ips(3), ips(0, 1, 2), sim.Silent)
		time.Sleep(time.Second)
		assert.Assert(t, drained()) // nor is it in force there
		for i := range 3 {
			f.end(i, true)
			f.start(i)
		}
		f.until(time.Second, "order", func() bool { return f.runs[1].Drain(ctx, "z0", true) == nil })
		f.cut(ips(3), ips(0, 1, 2), sim.Open)
		f.until(4*time.Second, "drained", drained)
		time.Sleep(4 * time.Second)
		assert.Assert(t, drained())
		assert.ErrorIs(t, f.runs[0].Drain(ctx, "nowhere", true), ErrZone)
	})
}
