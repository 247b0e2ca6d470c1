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

// clusterFixture runs several replicas in one process, on a simulated network and simulated disks.
type clusterFixture struct {
	t            *testing.T
	net          *sim.Net
	disks        []*sim.Disk
	mu           sync.Mutex
	replicas     []*runningReplica   // by machine; nil: its replica is down
	bootstrap    bool                // Bootstrap in the settings
	seeds        []int               // machines that the settings name as seeds
	cloudAddress string              // address of the platform; "": none
	clocks       map[int]*skewedHost // by machine
	removed      map[int]bool        // machines that never come back
	drainTime    time.Duration       // Drain in the settings; 0: none
	cloudRate    float64             // platform calls per second in the settings
}

// skewedHost is a host whose clock can be moved ahead without its timers firing, as if its process had been suspended.
type skewedHost struct {
	*sim.Host
	offset atomic.Int64
}

func (h *skewedHost) Now() time.Time { return h.Host.Now().Add(time.Duration(h.offset.Load())) }

// runningReplica is a replica and what the fixture needs to end it.
type runningReplica struct {
	*Replica
	host *sim.Host
	stop context.CancelFunc
	done chan error
}

// runCluster runs a scenario with n replicas that have started for the first time and become voters.
func runCluster(t *testing.T, n int, scenario func(f *clusterFixture)) {
	t.Helper()
	runClusterWithPlatform(t, n, nil, scenario)
}

// runClusterWithPlatform does the same with a platform that serves the server list.
func runClusterWithPlatform(t *testing.T, n int, platform http.Handler, scenario func(f *clusterFixture)) {
	t.Helper()
	options := &clusterFixture{t: t, cloudRate: 44}
	options.run(n, platform, scenario)
}

// run runs a scenario with the drain time and the rate of the options.
func (options *clusterFixture) run(n int, platform http.Handler, scenario func(f *clusterFixture)) {
	options.t.Helper()
	synctest.Test(options.t, func(t *testing.T) {
		f := &clusterFixture{t: t, net: sim.New(uint64(n)), bootstrap: true, clocks: map[int]*skewedHost{}, removed: map[int]bool{}, drainTime: options.drainTime, cloudRate: options.cloudRate}
		f.net.Set(sim.Faults{Least: time.Millisecond, Most: 20 * time.Millisecond})
		for i := range n {
			f.addMachine()
			if i < 3 {
				f.seeds = append(f.seeds, i)
			}
		}
		defer time.Sleep(2 * time.Second) // goroutines that still wait time out
		if platform != nil {
			f.cloudAddress = "10.8.0.1:80"
			ln, err := f.net.Host("10.8.0.1").Listen(context.Background(), "tcp", f.cloudAddress)
			assert.NilError(t, err)
			s := &http.Server{Handler: platform}
			defer s.Close()
			go func() { _ = s.Serve(ln) }()
		}
		defer f.killAll(false)
		f.startAll()
		f.bootstrap = false
		voters := min(n, membership.MaxVoters)
		f.waitFor(max(5*time.Second, time.Duration(n)*time.Second), "all replicas vote and are confirmed", func() bool { return f.countVoting() == voters && f.countConfirmed() == n })
		scenario(f)
	})
}

// addMachine adds a machine with an empty disk, on which nothing runs yet, and returns its index.
func (f *clusterFixture) addMachine() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disks = append(f.disks, sim.NewDisk(uint64(len(f.disks))))
	f.replicas = append(f.replicas, nil)
	return len(f.replicas) - 1
}

// startReplacement starts a replica on a new machine with another address; its seeds are up to three running replicas.
func (f *clusterFixture) startReplacement() int {
	i := f.addMachine()
	f.seeds = nil
	for j, r := range f.replicas {
		if r != nil && len(f.seeds) < 3 {
			f.seeds = append(f.seeds, j)
		}
	}
	f.start(i)
	return i
}

// shutDown ends a process gracefully, as SIGTERM does.
func (f *clusterFixture) shutDown(i int) {
	r := f.at(i)
	r.stop()
	assert.NilError(f.t, <-r.done)
	r.host.End(true)
	f.disks[i].Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas[i] = nil
}

func ip(i int) string { return fmt.Sprintf("10.0.%d.1", i) }

func ips(of ...int) (all []string) {
	for _, i := range of {
		all = append(all, ip(i))
	}
	return all
}

// partition sets the barrier between two groups of hosts, in both directions; sim.Open removes it.
func (f *clusterFixture) partition(a, b []string, how sim.Barrier) {
	f.net.Bar(a, b, how)
	f.net.Bar(b, a, how)
}

func (f *clusterFixture) settings(i int) *settings.Settings {
	s := &settings.Settings{}
	s.Self = settings.Self{Name: fmt.Sprintf("replica-%d", i), IP: ip(i), Zone: "z" + fmt.Sprint(i%2), Region: "r", Voter: true, Bootstrap: f.bootstrap, DataDir: "/data"}
	s.Network.PortRange = [2]int{7600, 7615}
	s.Network.Listen = settings.Listen{Ctl: ip(i) + ":8200", Dir: ip(i) + ":8209"}
	for _, j := range f.seeds {
		s.Network.Seeds = append(s.Network.Seeds, ip(j)+":8200")
	}
	s.Network.Zones = map[string]string{"z0": "r", "z1": "r"}
	s.Provider.Cloud = settings.Cloud{Address: f.cloudAddress, RatePerS: f.cloudRate}
	s.Terms.Bounds.Drain = f.drainTime
	s.Terms.Bounds.TTLMax = 5 * time.Second
	return s
}

func (f *clusterFixture) start(i int) {
	host := f.net.Host(ip(i))
	ctx, stop := context.WithCancel(context.Background())
	f.clocks[i] = &skewedHost{Host: host}
	r := &runningReplica{Replica: New(f.settings(i), f.clocks[i], f.disks[i].Mount(), logr.Discard()), host: host, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- r.Run(ctx) }()
	f.mu.Lock()
	f.replicas[i] = r
	f.mu.Unlock()
	time.Sleep(time.Millisecond) // until it listens
}

func (f *clusterFixture) startAll() {
	for i := range f.replicas {
		if !f.removed[i] {
			f.start(i)
		}
	}
}

// at returns the replica that runs on a machine; nil if none does.
func (f *clusterFixture) at(i int) *runningReplica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[i]
}

// kill kills a replica's process; with power, its machine loses power too.
func (f *clusterFixture) kill(i int, power bool) {
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
	f.replicas[i] = nil
}

func (f *clusterFixture) killAll(power bool) {
	for i := range f.replicas {
		f.kill(i, power)
	}
}

// isVoting reports whether a replica is a voter as far as it knows.
func (r *runningReplica) isVoting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isVoter()
}

// configurationInForce returns the configuration in force at a replica; nil if there is none.
func (r *runningReplica) configurationInForce() *peerlink.Configuration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration
}

// orderInForce returns the order about a zone in force at a replica.
func (r *runningReplica) orderInForce(name string) peerlink.Zone {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordersInForce[name]
}

// countConfirmed returns how many replicas have heard a majority confirm their state within the last second.
func (f *clusterFixture) countConfirmed() (n int) {
	for _, r := range f.replicas {
		if r != nil {
			if _, _, age := r.confirmed(); age < time.Second {
				n++
			}
		}
	}
	return n
}

// countVoting returns how many replicas are voters as far as they know.
func (f *clusterFixture) countVoting() (n int) {
	for _, r := range f.replicas {
		if r != nil && r.isVoting() {
			n++
		}
	}
	return n
}

// waitFor waits until a condition holds, and fails the test after d.
func (f *clusterFixture) waitFor(d time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(f.t, time.Since(began) < d, "%s: not within %v", what, d)
	}
}

// configurationBody returns a route configuration with a generation number and a note in its one prefix.
func configurationBody(gen int, note string) []byte {
	return fmt.Appendf(nil, `{"gen":"r%d","routes":[{"name":"a","host":"h","prefix":"/%s/","kind":"mutating","timeout_ms":10,"backend":"s"}],"backends":[{"name":"s"}]}`, gen, note)
}

func (f *clusterFixture) replace(i int, body []byte) error {
	_, err := f.at(i).Replace(context.Background(), body)
	return err
}

// replaceUntilAcknowledged sends a configuration again and again until a replica acknowledges it.
func (f *clusterFixture) replaceUntilAcknowledged(i int, body []byte) {
	f.t.Helper()
	f.waitFor(6*time.Second, "the configuration is acknowledged", func() bool { return f.replace(i, body) == nil })
}

// assertShows asserts that a replica confirms a configuration within 6 s, and that it is this one.
func (f *clusterFixture) assertShows(i int, want []byte) {
	f.t.Helper()
	var p *peerlink.Configuration
	f.waitFor(6*time.Second, "a configuration is shown", func() (ok bool) {
		var err error
		p, err = f.replicas[i].CurrentConfiguration(context.Background())
		return err == nil
	})
	assert.Equal(f.t, string(p.Body), string(want))
}
