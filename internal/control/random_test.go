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

// operatorLedger is what operators have seen: nothing may be older than what had been
// acknowledged before it was asked for.
type operatorLedger struct {
	mu                sync.Mutex
	acknowledgedGen   int           // the highest acknowledged
	possibleDrain     map[bool]bool // what the zone may be: by the last order acknowledged and those after it
	sentTexts         map[string]bool
	acknowledgedTexts map[int]string // the text that was acknowledged as the one in force under a number
	violations        []string
}

func (l *operatorLedger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// runOperator changes and reads the configuration at replicas by chance.
func (f *clusterFixture) runOperator(l *operatorLedger, rnd *rand.Rand, until time.Time, next func() int) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
		r := f.at(rnd.IntN(len(f.replicas)))
		if r == nil {
			continue
		}
		l.mu.Lock()
		least := l.acknowledgedGen
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
		ok := l.sentTexts[string(p.Body)]
		l.mu.Unlock()
		l.mu.Lock()
		if one := l.acknowledgedTexts[int(p.Gen)]; one != "" && one != string(p.Body) {
			l.violations = append(l.violations, fmt.Sprintf("another text than the acknowledged one is shown under r%d", p.Gen))
		}
		l.mu.Unlock()
		if int(p.Gen) < least || !ok {
			l.addViolation("%s showed r%d (sent: %v) after r%d had been acknowledged", r.self.Name, p.Gen, ok, least)
		}
	}
}

// runDrainOperator gives orders about a zone, one after the other.
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

// faultState is who is in trouble. Any number may be, but only one has lost its disk.
type faultState struct {
	replicas     []sync.Mutex
	diskLoss     sync.Mutex
	wholeCluster sync.RWMutex // held alone by what befalls all
	finished     atomic.Bool
}

// injectFault does something to one replica, or to all.
func (f *clusterFixture) injectFault(rnd *rand.Rand, in *faultState) {
	n := len(f.replicas)
	i, what := rnd.IntN(n), rnd.IntN(8)
	lasts := time.Duration(rnd.IntN(1500)) * time.Millisecond
	if what == 7 {
		if !in.wholeCluster.TryLock() { // a goroutine that waits for a mutex would stop the clock
			return
		}
		defer in.wholeCluster.Unlock()
		f.killAll(rnd.IntN(2) == 0)
		time.Sleep(lasts)
		f.startAll()
		return
	}
	if !in.wholeCluster.TryRLock() {
		return
	}
	defer in.wholeCluster.RUnlock()
	if !in.replicas[i].TryLock() {
		return
	}
	defer in.replicas[i].Unlock()
	switch what {
	case 0, 1:
		f.kill(i, what == 0)
		time.Sleep(lasts)
		f.start(i)
	case 2:
		if !in.diskLoss.TryLock() {
			return
		}
		f.kill(i, true)
		f.disks[i].Wipe()
		time.Sleep(lasts)
		f.start(i)
		go func() {
			defer in.diskLoss.Unlock()
			for r := f.at(i); !in.finished.Load() && (r == nil || !r.isVoting()); r = f.at(i) {
				time.Sleep(50 * time.Millisecond)
			}
		}()
	case 3:
		var rest []int
		for j := range n {
			if j != i && rnd.IntN(3) > 0 {
				rest = append(rest, j)
			}
		}
		if how := rnd.IntN(4); how == 0 {
			f.net.Bar(ips(i), ips(rest...), sim.Silent) // one way
		} else if how == 1 {
			f.partition(ips(i), ips(rest...), sim.Refusing)
		} else {
			f.partition(ips(i), ips(rest...), sim.Silent)
		}
		time.Sleep(lasts)
		f.partition(ips(i), ips(rest...), sim.Open)
	case 4, 5:
		f.disks[i].Hang()
		time.Sleep(lasts)
		f.disks[i].Release()
	case 6:
		f.disks[i].SetFull(true)
		time.Sleep(lasts)
		f.disks[i].SetFull(false)
	}
}

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
					gen += numbers.IntN(3) // two may have one number
					return gen
				}
				until := time.Now().Add(40 * time.Second)
				var all sync.WaitGroup
				for k := range 4 {
					all.Go(func() { f.runOperator(l, rand.New(rand.NewPCG(seed, uint64(k+2))), until, next) })
				}
				all.Go(func() { f.runDrainOperator(l, rand.New(rand.NewPCG(seed, 77)), until) })
				in := &faultState{replicas: make([]sync.Mutex, n)}
				for k := range n - 1 {
					all.Go(func() {
						rnd := rand.New(rand.NewPCG(seed, uint64(k+50)))
						for time.Now().Before(until) {
							f.injectFault(rnd, in)
							time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
						}
					})
				}
				all.Wait()
				in.finished.Store(true)
				// The end: all that was acknowledged is there, and alike everywhere.
				f.waitFor(6*time.Second, "vote", func() bool { return f.countVoting() == n })
				var p *peerlink.Configuration
				f.waitFor(6*time.Second, "show", func() bool { // connections cut a moment ago have to come up
					time.Sleep(time.Second) // what was left behind by an order without a clear answer is decided, or is not
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
