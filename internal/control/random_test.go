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
	seeds     = flag.Uint64("replica.seeds", 4, "how many random days are played")
)

// operatorLedger records what operators have sent and seen. A read must not return anything older than what was
// acknowledged before it began.
type ledger struct {
	mu     sync.Mutex
	gen    int           // the highest acknowledged generation number
	may    map[bool]bool // the zone's possible states, by the last acknowledged drain order and those after it
	sent   map[string]bool
	one    map[int]string // by generation number: the body that was acknowledged as the one in force
	faults []string
}

// addViolation records that a guarantee was violated.
func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// runOperator writes and reads the configuration at random replicas until a time.
func (f *farm) operator(l *ledger, rnd *rand.Rand, until time.Time, next func() int) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
		r := f.at(rnd.IntN(len(f.runs)))
		if r == nil {
			continue
		}
		l.mu.Lock()
		acknowledged := l.gen
		l.mu.Unlock()
		if rnd.IntN(2) == 0 {
			gen := next()
			text := body(gen, fmt.Sprint("n", rnd.IntN(1000)))
			l.mu.Lock()
			l.sent[string(text)] = true
			l.mu.Unlock()
			if done, err := r.Replace(context.Background(), text); err == nil && done.InForce {
				l.mu.Lock()
				if other := l.one[gen]; other != "" && other != string(text) {
					l.faults = append(l.faults, fmt.Sprintf("two texts are in force under r%d", gen))
				}
				l.one[gen], l.gen = string(text), max(l.gen, gen)
				l.mu.Unlock()
			}
			continue
		}
		p, err := r.Show(context.Background())
		if err != nil {
			continue
		}
		l.mu.Lock()
		wasSent := l.sent[string(p.Body)]
		l.mu.Unlock()
		l.mu.Lock()
		if text := l.one[int(p.Gen)]; text != "" && text != string(p.Body) {
			l.faults = append(l.faults, fmt.Sprintf("another text than the acknowledged one is shown under r%d", p.Gen))
		}
		l.mu.Unlock()
		if int(p.Gen) < acknowledged || !wasSent {
			l.fault("%s showed r%d (sent: %v) after r%d had been acknowledged", r.self.Name, p.Gen, wasSent, acknowledged)
		}
	}
}

// runDrainOperator gives random drain orders about a zone, one after the other, until a time.
func (f *farm) drainer(l *ledger, rnd *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		r, drain := f.at(rnd.IntN(len(f.runs))), rnd.IntN(2) == 0
		if r == nil {
			continue
		}
		if r.Drain(context.Background(), "z0", drain) == nil {
			clear(l.may)
		}
		l.may[drain] = true
	}
}

// faultState records which replicas have a fault. Any number may, but only one at a time may have lost its disk.
type trouble struct {
	replicas []sync.Mutex
	disk     sync.Mutex
	all      sync.RWMutex // locked for writing by a fault of all replicas
	over     atomic.Bool
}

// injectFault injects a random fault at one replica, or kills all, and ends it after up to 1.5 s. It does nothing if
// the replica has a fault already.
func (f *farm) befall(rnd *rand.Rand, faults *trouble) {
	n := len(f.runs)
	i, kind := rnd.IntN(n), rnd.IntN(8)
	duration := time.Duration(rnd.IntN(1500)) * time.Millisecond
	if kind == 7 {
		if !faults.all.TryLock() { // a goroutine that waits for a mutex would stop the simulated clock
			return
		}
		defer faults.all.Unlock()
		f.endAll(rnd.IntN(2) == 0)
		time.Sleep(duration)
		f.startAll()
		return
	}
	if !faults.all.TryRLock() {
		return
	}
	defer faults.all.RUnlock()
	if !faults.replicas[i].TryLock() {
		return
	}
	defer faults.replicas[i].Unlock()
	switch kind {
	case 0, 1:
		f.end(i, kind == 0)
		time.Sleep(duration)
		f.start(i)
	case 2:
		if !faults.disk.TryLock() {
			return
		}
		f.end(i, true)
		f.disks[i].Wipe()
		time.Sleep(duration)
		f.start(i)
		go func() {
			defer faults.disk.Unlock()
			for r := f.at(i); !faults.over.Load() && (r == nil || !r.votes()); r = f.at(i) {
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
			f.cut(ips(i), ips(others...), sim.Refusing)
		} else {
			f.cut(ips(i), ips(others...), sim.Silent)
		}
		time.Sleep(duration)
		f.cut(ips(i), ips(others...), sim.Open)
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
func TestRandomDays(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(strconv.FormatUint(uint64(seed), 10), func(t *testing.T) {
			t.Parallel()
			n := 3 + int(seed)%3
			play(t, n, func(f *farm) {
				l := &ledger{sent: map[string]bool{}, one: map[int]string{}, may: map[bool]bool{false: true}}
				f.acknowledged(0, body(1, "first"))
				l.sent[string(body(1, "first"))], l.gen = true, 1
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
					all.Go(func() { f.operator(l, rand.New(rand.NewPCG(seed, uint64(k+2))), until, next) })
				}
				all.Go(func() { f.drainer(l, rand.New(rand.NewPCG(seed, 77)), until) })
				faults := &trouble{replicas: make([]sync.Mutex, n)}
				for k := range n - 1 {
					all.Go(func() {
						rnd := rand.New(rand.NewPCG(seed, uint64(k+50)))
						for time.Now().Before(until) {
							f.befall(rnd, faults)
							time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
						}
					})
				}
				all.Wait()
				faults.over.Store(true)
				// In the end all replicas agree on a state that contains all that was acknowledged.
				f.until(6*time.Second, "all replicas vote", func() bool { return f.voting() == n })
				var p *peerlink.Configuration
				f.until(6*time.Second, "a configuration is shown", func() bool { // connections that were cut a moment ago have to be made again
					time.Sleep(time.Second) // values of orders with an unknown outcome are decided, or found not to be
					first, err := f.runs[0].Show(context.Background())
					if p = first; err != nil {
						return false
					}
					for i := range n {
						got, err := f.runs[i].Show(context.Background())
						if err != nil || string(got.Body) != string(p.Body) {
							return false
						}
					}
					return true
				})
				assert.Assert(t, int(p.Gen) >= l.gen, "seed %d: r%d, acknowledged r%d", seed, p.Gen, l.gen)
				for i := range n {
					f.shows(i, p.Body)
				}
				time.Sleep(3 * time.Second)
				for _, r := range f.runs {
					z := r.zone("z0")
					assert.Assert(t, l.may[z.Drain] && z == f.runs[0].zone("z0"), "seed %d: %v, may be %v", seed, z, l.may)
				}
				assert.Equal(t, strings.Join(l.faults, "\n"), "", "seed %d", seed)
				t.Logf("seed %d: %d replicas, r%d", seed, n, l.gen)
			})
		})
	}
}
