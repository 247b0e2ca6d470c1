package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/config/settings"
	"pepperfall.example/pepperfall/internal/control/membership"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

// farm is some replicas in one process, on a network and disks in memory.
type farm struct {
	t     *testing.T
	net   *sim.Net
	disks []*sim.Disk
	mu    sync.Mutex
	runs  []*running // nil: it is down
	first bool       // the settings say bootstrap
	seeds []int      // places of the replicas that the settings name
	cloud string
	jump  map[int]*jumping // clocks, by replica
	gone  map[int]bool     // machines that never come back
	drain time.Duration    // that the settings name; 0: none
	rate  float64          // of calls to the platform that the settings name
}

// jumping is a host whose process stands still while its clock runs on: no timer of its runs out for that.
type jumping struct {
	*sim.Host
	by atomic.Int64
}

func (j *jumping) Now() time.Time { return j.Host.Now().Add(time.Duration(j.by.Load())) }

type running struct {
	*Replica
	host *sim.Host
	stop context.CancelFunc
	done chan error
}

// play runs a story with n replicas that have started for the first time and settled.
func play(t *testing.T, n int, story func(f *farm)) {
	t.Helper()
	platformed(t, n, nil, story)
}

// platformed does so beside a platform.
func platformed(t *testing.T, n int, platform http.Handler, story func(f *farm)) {
	t.Helper()
	play := &farm{t: t, rate: 44}
	play.run(n, platform, story)
}

// run plays a story under the settings that the farm names.
func (set *farm) run(n int, platform http.Handler, story func(f *farm)) {
	set.t.Helper()
	synctest.Test(set.t, func(t *testing.T) {
		f := &farm{t: t, net: sim.New(uint64(n)), first: true, jump: map[int]*jumping{}, gone: map[int]bool{}, drain: set.drain, rate: set.rate}
		f.net.Set(sim.Faults{Least: time.Millisecond, Most: 20 * time.Millisecond})
		for i := range n {
			f.place()
			if i < 3 {
				f.seeds = append(f.seeds, i)
			}
		}
		defer time.Sleep(2 * time.Second) // whoever still waits ends
		if platform != nil {
			f.cloud = "10.8.0.1:80"
			ln, err := f.net.Host("10.8.0.1").Listen(context.Background(), "tcp", f.cloud)
			assert.NilError(t, err)
			s := &http.Server{Handler: platform}
			defer s.Close()
			go func() { _ = s.Serve(ln) }()
		}
		defer f.endAll(false)
		f.startAll()
		f.first = false
		voters := min(n, membership.MaxVoters)
		f.until(max(5*time.Second, time.Duration(n)*time.Second), "settle", func() bool { return f.voting() == voters && f.fresh() == n })
		story(f)
	})
}

// place makes room for a machine with an empty disk, and returns where.
func (f *farm) place() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disks = append(f.disks, sim.NewDisk(uint64(len(f.disks))))
	f.runs = append(f.runs, nil)
	return len(f.runs) - 1
}

// successor starts an empty machine at another address, which is told those that run.
func (f *farm) successor() int {
	i := f.place()
	f.seeds = nil
	for j, r := range f.runs {
		if r != nil && len(f.seeds) < 3 {
			f.seeds = append(f.seeds, j)
		}
	}
	f.start(i)
	return i
}

// leave ends a process in order, as SIGTERM does.
func (f *farm) leave(i int) {
	r := f.at(i)
	r.stop()
	assert.NilError(f.t, <-r.done)
	r.host.End(true)
	f.disks[i].Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[i] = nil
}

func ip(i int) string { return fmt.Sprintf("10.0.%d.1", i) }

func ips(of ...int) (all []string) {
	for _, i := range of {
		all = append(all, ip(i))
	}
	return all
}

// cut cuts replicas off from others, or joins them again.
func (f *farm) cut(a, b []string, how sim.Barrier) {
	f.net.Bar(a, b, how)
	f.net.Bar(b, a, how)
}

func (f *farm) settings(i int) *settings.Settings {
	s := &settings.Settings{}
	s.Self = settings.Self{Name: fmt.Sprintf("replica-%d", i), IP: ip(i), Zone: "z" + fmt.Sprint(i%2), Region: "r", Voter: true, Bootstrap: f.first, DataDir: "/data"}
	s.Network.PortRange = [2]int{7600, 7615}
	s.Network.Listen = settings.Listen{Ctl: ip(i) + ":8200", Dir: ip(i) + ":8209"}
	for _, j := range f.seeds {
		s.Network.Seeds = append(s.Network.Seeds, ip(j)+":8200")
	}
	s.Network.Zones = map[string]string{"z0": "r", "z1": "r"}
	s.Provider.Cloud = settings.Cloud{Address: f.cloud, RatePerS: f.rate}
	s.Terms.Bounds.Drain = f.drain
	s.Terms.Bounds.TTLMax = 5 * time.Second
	return s
}

func (f *farm) start(i int) {
	host := f.net.Host(ip(i))
	ctx, stop := context.WithCancel(context.Background())
	f.jump[i] = &jumping{Host: host}
	r := &running{Replica: New(f.settings(i), f.jump[i], f.disks[i].Mount(), logr.Discard()), host: host, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- r.Run(ctx) }()
	f.mu.Lock()
	f.runs[i] = r
	f.mu.Unlock()
	time.Sleep(time.Millisecond) // it listens
}

func (f *farm) startAll() {
	for i := range f.runs {
		if !f.gone[i] {
			f.start(i)
		}
	}
}

// at is the replica that runs in a place; nil if none does.
func (f *farm) at(i int) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[i]
}

// end ends a replica's process at once, or with its power.
func (f *farm) end(i int, power bool) {
	r := f.at(i)
	if r == nil {
		return
	}
	f.disks[i].Release()
	r.host.End(!power)
	if f.disks[i].Kill(); power {
		f.disks[i].PowerLoss()
	}
	r.stop()
	assert.NilError(f.t, <-r.done)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[i] = nil
}

func (f *farm) endAll(power bool) {
	for i := range f.runs {
		f.end(i, power)
	}
}

// votes tells whether a replica's disk counts, as far as it knows.
func (r *running) votes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isVoter()
}

// configured is the configuration in force at a replica; nil: none is.
func (r *running) configured() *peerlink.Configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration
}

// zone is the order about a zone in force at a replica.
func (r *running) zone(name string) peerlink.Zone {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zones[name]
}

// fresh is how many have heard a majority confirm what they know.
func (f *farm) fresh() (n int) {
	for _, r := range f.runs {
		if r != nil {
			if _, _, age := r.confirmed(); age < time.Second {
				n++
			}
		}
	}
	return n
}

func (f *farm) voting() (n int) {
	for _, r := range f.runs {
		if r != nil && r.votes() {
			n++
		}
	}
	return n
}

// until lets time pass until something holds.
func (f *farm) until(d time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(f.t, time.Since(began) < d, "%s: not within %v", what, d)
	}
}

func body(gen int, note string) []byte {
	return fmt.Appendf(nil, `{"gen":"r%d","routes":[{"name":"a","host":"h","prefix":"/%s/","kind":"mutating","timeout_ms":10,"backend":"s"}],"backends":[{"name":"s"}]}`, gen, note)
}

func (f *farm) replace(i int, body []byte) error {
	_, err := f.at(i).Replace(context.Background(), body)
	return err
}

// acknowledged sends a configuration until it is taken.
func (f *farm) acknowledged(i int, body []byte) {
	f.t.Helper()
	f.until(6*time.Second, "acknowledge", func() bool { return f.replace(i, body) == nil })
}

// shows tells that a replica shows this configuration within some seconds.
func (f *farm) shows(i int, want []byte) {
	f.t.Helper()
	var p *peerlink.Configuration
	f.until(6*time.Second, "show", func() (ok bool) {
		var err error
		p, err = f.runs[i].Show(context.Background())
		return err == nil
	})
	assert.Equal(f.t, string(p.Body), string(want))
}
