package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pepperfall.example/pepperfall/internal/platform/peerlink"
	"pepperfall.example/pepperfall/internal/testbed/sim"
)

var (
	firstSeed = flag.Uint64("replica.first", 4, "the first random day's seed")
	seedCount = flag.Uint64("replica.seeds", 4, "how many random days are played")
)

// operatorLedger records what operators have sent and seen. A read must not return anything older than what was
// acknowledged before it began.
type operatorLedger struct {
	mu                sync.Mutex
	acknowledgedGen   int           // the highest acknowledged generation number
	possibleDrain     map[bool]bool // the states that the zone may have: that of the last acknowledged drain order and of later ones with unknown outcome
	sentTexts         map[string]bool
	acknowledgedTexts map[int]string // by generation number: the body that was acknowledged as the one in force
	violations        []string
}

// addViolation records that a guarantee was violated.
func (l *operatorLedger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// runOperator writes and reads the configuration at random replicas until a time.
func (f *clusterFixture) runOperator(l *operatorLedger, rnd *rand.Rand, until time.Time, next func() int) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
		r := f.at(rnd.IntN(len(f.replicas)))
		if r == nil {
			continue
		}
		l.mu.Lock()
		acknowledged := l.acknowledgedGen
		l.mu.Unlock()
		if rnd.IntN(2) == 0 {
			gen := next()
			text := configurationBody(gen, fmt.Sprint("n", rnd.IntN(1000)))
			l.mu.Lock()
			l.sentTexts[string(text)] = true
			l.mu.Unlock()
			if done, err := r.Replace(context.Background(), text); err == nil && done.InForce {
				l.mu.Lock()
				if other := l.acknowledgedTexts[gen]; other != "" && other != string(text) {
					l.violations = append(l.violations, fmt.Sprintf("two texts are in force under r%d", gen))
				}
				l.acknowledgedTexts[gen], l.acknowledgedGen = string(text), max(l.acknowledgedGen, gen)
				l.mu.Unlock()
			}
			continue
		}
		p, err := r.CurrentConfiguration(context.Background())
		if err != nil {
			continue
		}
		l.mu.Lock()
		wasSent := l.sentTexts[string(p.Body)]
		l.mu.Unlock()
		l.mu.Lock()
		if text := l.acknowledgedTexts[int(p.Gen)]; text != "" && text != string(p.Body) {
			l.violations = append(l.violations, fmt.Sprintf("another text than the acknowledged one is shown under r%d", p.Gen))
		}
		l.mu.Unlock()
		if int(p.Gen) < acknowledged || !wasSent {
			l.addViolation("%s showed r%d (sent: %v) after r%d had been acknowledged", r.self.Name, p.Gen, wasSent, acknowledged)
		}
	}
}

// runDrainOperator gives random drain orders about a zone, one after the other, until a time.
func (f *clusterFixture) runDrainOperator(l *operatorLedger, rnd *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		r, drain := f.at(rnd.IntN(len(f.replicas))), rnd.IntN(2) == 0
		if r == nil {
			continue
		}
		if r.Drain(context.Background(), "z0", drain) == nil {
			clear(l.possibleDrain)
		}
		l.possibleDrain[drain] = true
	}
}

// faultState records which replicas have a fault. Any number may, but only one at a time may have lost its disk.
type faultState struct {
	replicas     []sync.Mutex
	diskLoss     sync.Mutex
	wholeCluster sync.RWMutex // locked for writing by a fault of all replicas
	finished     atomic.Bool
}

// injectFault injects a random fault at one replica, or kills all, and ends it after up to 1.5 s. It does nothing if
// the replica has a fault already.
func (f *clusterFixture) injectFault(rnd *rand.Rand, faults *faultState) {
	n := len(f.replicas)
	i, kind := rnd.IntN(n), rnd.IntN(8)
	duration := time.Duration(rnd.IntN(1500)) * time.Millisecond
	if kind == 7 {
		if !faults.wholeCluster.TryLock() { // a goroutine that waits for a mutex would stop the simulated clock
			return
		}
		defer faults.wholeCluster.Unlock()
		f.killAll(rnd.IntN(2) == 0)
		time.Sleep(duration)
		f.startAll()
		return
	}
	if !faults.wholeCluster.TryRLock() {
		return
	}
	defer faults.wholeCluster.RUnlock()
	if !faults.replicas[i].TryLock() {
		return
	}
	defer faults.replicas[i].Unlock()
	switch kind {
	case 0, 1:
		f.kill(i, kind == 0)
		time.Sleep(duration)
		f.start(i)
	case 2:
		if !faults.diskLoss.TryLock() {
			return
		}
		f.kill(i, true)
		f.disks[i].Wipe()
		time.Sleep(duration)
		f.start(i)
		go func() {
			defer faults.diskLoss.Unlock()
			for r := f.at(i); !faults.finished.Load() && (r == nil || !r.isVoting()); r = f.at(i) {
				time.Sleep(50 * time.Millisecond)
			}
		}()
	case 3:
		var others []int
		for j := range n {
			if j != i && rnd.IntN(3) > 0 {
				others = append(others, j)
			}
		}
		if how := rnd.IntN(4); how == 0 {
			f.net.Bar(ips(i), ips(others...), sim.Silent) // in one direction only
		} else if how == 1 {
			f.partition(ips(i), ips(others...), sim.Refusing)
		} else {
			f.partition(ips(i), ips(others...), sim.Silent)
		}
		time.Sleep(duration)
		f.partition(ips(i), ips(others...), sim.Open)
	case 4, 5:
		f.disks[i].Hang()
		time.Sleep(duration)
		f.disks[i].Release()
	case 6:
		f.disks[i].SetFull(true)
		time.Sleep(duration)
		f.disks[i].SetFull(false)
	}
}

// Operators write, read and drain at random replicas while random faults are injected. Guards against reads older than
// what was acknowledged, two configurations under one number, and replicas that end up with different states.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(strconv.FormatUint(uint64(seed), 10), func(t *testing.T) {
			t.Parallel()
			n := 3 + int(seed)%3
			runCluster(t, n, func(f *clusterFixture) {
				l := &operatorLedger{sentTexts: map[string]bool{}, acknowledgedTexts: map[int]string{}, possibleDrain: map[bool]bool{false: true}}
				f.replaceUntilAcknowledged(0, configurationBody(1, "first"))
				l.sentTexts[string(configurationBody(1, "first"))], l.acknowledgedGen = true, 1
				var mu sync.Mutex
				gen := 1
				numbers := rand.New(rand.NewPCG(seed, 99))
				next := func() int {
					mu.Lock()
					defer mu.Unlock()
					gen += numbers.IntN(3) // two writes may have the same number
					return gen
				}
				until := time.Now().Add(40 * time.Second)
				var all sync.WaitGroup
				for k := range 4 {
					all.Go(func() { f.runOperator(l, rand.New(rand.NewPCG(seed, uint64(k+2))), until, next) })
				}
				all.Go(func() { f.runDrainOperator(l, rand.New(rand.NewPCG(seed, 77)), until) })
				faults := &faultState{replicas: make([]sync.Mutex, n)}
				for k := range n - 1 {
					all.Go(func() {
						rnd := rand.New(rand.NewPCG(seed, uint64(k+50)))
						for time.Now().Before(until) {
							f.injectFault(rnd, faults)
							time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
						}
					})
				}
				all.Wait()
				faults.finished.Store(true)
				// In the end all replicas agree on a state that contains all that was acknowledged.
				f.waitFor(6*time.Second, "all replicas vote", func() bool { return f.countVoting() == n })
				var p *peerlink.Configuration
				f.waitFor(6*time.Second, "a configuration is shown", func() bool { // connections that were cut a moment ago have to be made again
					time.Sleep(time.Second) // meanwhile orders with an unknown outcome are decided or turn out not to be
					first, err := f.replicas[0].CurrentConfiguration(context.Background())
					if p = first; err != nil {
						return false
					}
					for i := range n {
						got, err := f.replicas[i].CurrentConfiguration(context.Background())
						if err != nil || string(got.Body) != string(p.Body) {
							return false
						}
					}
					return true
				})
				assert.Assert(t, int(p.Gen) >= l.acknowledgedGen, "seed %d: r%d, acknowledged r%d", seed, p.Gen, l.acknowledgedGen)
				for i := range n {
					f.assertShows(i, p.Body)
				}
				time.Sleep(3 * time.Second)
				for _, r := range f.replicas {
					z := r.orderInForce("z0")
					assert.Assert(t, l.possibleDrain[z.Drain] && z == f.replicas[0].orderInForce("z0"), "seed %d: %v, may be %v", seed, z, l.possibleDrain)
				}
				assert.Equal(t, strings.Join(l.violations, "\n"), "", "seed %d", seed)
				t.Logf("seed %d: %d replicas, r%d", seed, n, l.acknowledgedGen)
			})
		})
	}
}
