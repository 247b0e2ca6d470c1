package statestore

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/control/quorum"
	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

func config(gen uint64) *peerlink.Configuration {
	body := fmt.Appendf(nil, `{"gen":"r%d"}`, gen)
	return &peerlink.Configuration{Gen: gen, Digest: sha256.Sum256(body), Body: body}
}

// contents returns the contents of a replica that has decided one configuration and, if next is not 0, has accepted
// another one.
func contents(version, gen, next uint64) Contents {
	c := Contents{Record: quorum.Record{ID: "r1"}, Configs: map[state.Digest]*peerlink.Configuration{}}
	c.Record.Decided = state.State{Version: version, Config: state.ConfigID{Gen: gen, Digest: config(gen).Digest}, Voters: []state.Voter{{ID: "r1"}}}
	c.Configs[config(gen).Digest] = config(gen)
	if next > 0 {
		value := c.Record.Decided.Clone()
		value.Version, value.Config = version+1, state.ConfigID{Gen: next, Digest: config(next).Digest}
		c.Record.Value, c.Record.Accepted = &value, quorum.Ballot{Round: 1, Proposer: "p"}
		c.Configs[config(next).Digest] = config(next)
	}
	return c
}

func openAndRun(t *testing.T, d *sim.Disk, want FolderState) (*Store, Contents, func()) {
	t.Helper()
	s, c, found, err := Open(d.Mount(), "/data")
	assert.Equal(t, found, want, "%v", err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	return s, c, func() { stop(); <-done }
}

func contextWithin(d time.Duration) context.Context {
	ctx, stop := context.WithCancel(context.Background())
	time.AfterFunc(d, stop)
	return ctx
}

// Power is lost at any moment during many writes. Afterwards everything that Wait confirmed is there, together with
// the configurations it references, and nothing that was never put. The simulated disk keeps or loses each unsynced
// write, rename and removal independently.
func TestPowerLoss(t *testing.T) {
	for seed := range uint64(600) {
		synctest.Test(t, func(t *testing.T) {
			d := sim.NewDisk(seed)
			s, _, stop := openAndRun(t, d, Empty)
			assert.NilError(t, s.Wait(contextWithin(time.Second), s.Put(contents(1, 3, 0))))
			d.SetLatency(time.Millisecond)
			synced, put := uint64(1), uint64(1)
			stopping, ended := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(ended)
				for v := uint64(2); ; v++ {
					select {
					case <-stopping:
						return
					default:
					}
					put = v
					if s.Wait(contextWithin(time.Second), s.Put(contents(v, v+2, (v%2)*(v+3)))) == nil {
						synced = v
					}
				}
			}()
			time.Sleep(time.Duration(seed) * 173 * time.Microsecond)
			close(stopping)
			d.PowerLoss()
			stop()
			<-ended
			d.SetLatency(0)
			s, c, stop := openAndRun(t, d, Intact)
			got := c.Record.Decided.Version
			assert.Assert(t, got >= synced && got <= put, "%d, synced %d, put %d", got, synced, put)
			assert.Equal(t, len(c.Configs), len(referencedConfigs(&c.Record)))
			assert.NilError(t, s.Wait(contextWithin(time.Second), s.Put(contents(put+1, 1, 0))))
			names, _ := d.Mount().List("/data")
			assert.DeepEqual(t, names, []string{configName(config(1).Digest), "record"}) // no partly written file, no leftover
			stop()
			time.Sleep(time.Second) // lets pending Wait calls end
		})
	}
}

// If a file is damaged or missing, none of the contents is used.
func TestDamagedFile(t *testing.T) {
	for _, name := range []string{"record", configName(config(3).Digest), configName(config(4).Digest)} {
		for _, missing := range []bool{false, true} {
			if missing && name == "record" {
				continue // without a record the disk counts as empty
			}
			synctest.Test(t, func(t *testing.T) {
				d := sim.NewDisk(1)
				s, _, stop := openAndRun(t, d, Empty)
				assert.NilError(t, s.Wait(contextWithin(time.Second), s.Put(contents(1, 3, 4))))
				stop()
				if missing {
					assert.NilError(t, d.Mount().Remove("/data/"+name))
				} else {
					d.Spoil("/data/" + name)
				}
				s, c, stop := openAndRun(t, d, Damaged)
				assert.Assert(t, c.Record.ID == "" && c.Record.Decided.Version == 0 && len(c.Configs) == 0)
				assert.NilError(t, s.Wait(contextWithin(time.Second), s.Put(contents(7, 3, 0))))
				stop()
				_, c, stop = openAndRun(t, d, Intact)
				assert.Equal(t, c.Record.Decided.Version, uint64(7))
				stop()
			})
		}
	}
}

func TestDiskFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := sim.NewDisk(1)
		s, _, stop := openAndRun(t, d, Empty)
		d.Hang()
		for v := range uint64(5) { // all wait for the blocked disk; one write then completes them all
			go func() { _ = s.Wait(contextWithin(5*time.Second), s.Put(contents(v+1, v+1, 0))) }()
		}
		assert.ErrorIs(t, s.Wait(contextWithin(time.Second), s.Put(contents(6, 6, 0))), context.Canceled)
		d.Release()
		assert.NilError(t, s.Wait(contextWithin(time.Second), s.Put(contents(7, 7, 0))))
		d.SetFull(true)
		assert.Assert(t, s.Wait(contextWithin(time.Second), s.Put(contents(8, 8, 0))) != nil)
		assert.Assert(t, s.LastError() != nil)
		d.SetFull(false)
		s.RetryPending() // the failed contents are written once there is space
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, s.LastError())
		s.SaveCensus([]string{"proxy-1"})
		time.Sleep(100 * time.Millisecond)
		stop()
		s, c, stop := openAndRun(t, d, Intact)
		assert.Assert(t, c.Record.Decided.Version == 8 && s.Census()[0] == "proxy-1")
		stop()
		none, _, found, _ := Open(nil, "")
		assert.Assert(t, found == Empty)
		assert.ErrorIs(t, none.Wait(context.Background(), none.Put(contents(1, 1, 0))), ErrNoDisk)
		time.Sleep(10 * time.Second)
	})
}

// Disk usage does not grow with the number of changes.
func TestDiskUsageIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := sim.NewDisk(1)
		s, _, stop := openAndRun(t, d, Empty)
		size := func() (n int) {
			names, err := d.Mount().List("/data")
			assert.NilError(t, err)
			for _, name := range names {
				text, err := d.Mount().ReadFile("/data/" + name)
				assert.NilError(t, err)
				n += len(text)
			}
			return n
		}
		var early int
		for v := uint64(1); v <= 10000; v++ {
			assert.NilError(t, s.Wait(contextWithin(time.Second), s.Put(contents(v, 10000+v, 0))))
			if v == 10 {
				early = size()
			}
		}
		assert.Assert(t, size() <= early+20, "%d bytes after 10, %d after 10,000", early, size())
		stop()
		time.Sleep(2 * time.Second)
	})
}
