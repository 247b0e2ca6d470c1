package lab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Fault holds the faults of a link, for datagrams from one instance to another.
type Fault struct {
	Cut    bool
	Loss   float64 // share that is lost
	Twice  float64 // share that comes twice
	Delay  time.Duration
	Jitter time.Duration // up to so much more, so that they overtake each other
}

const mostKept = 64 // datagrams of each way that can be repeated

type pair struct{ from, to int }

// relays carry the datagrams between instances: each has a socket of its own for
// each other one, to which it sends and from which it hears.
type relays struct {
	world world.World
	real  []netip.AddrPort          // where each instance listens
	socks map[pair]world.PacketConn // the one that `from` uses for `to`
	wg    sync.WaitGroup

	mu     sync.Mutex
	rnd    *rand.Rand
	faults map[pair]Fault
	passed map[pair]int
	kept   map[pair][][]byte // the last that came, for repeats
	closed bool
	timers int // datagrams on their way
	idle   *sync.Cond
}

func newRelays(w world.World, host string, real []netip.AddrPort, seed uint64) (*relays, error) {
	r := &relays{world: w, real: real, socks: map[pair]world.PacketConn{}, faults: map[pair]Fault{}, passed: map[pair]int{}, kept: map[pair][][]byte{},
		rnd: rand.New(rand.NewPCG(seed, 0x72656c6179))}
	r.idle = sync.NewCond(&r.mu)
	for a := range real {
		for b := range real {
			if a == b {
				continue
			}
			c, err := w.ListenPacket(host + ":0")
			if err != nil {
				r.close()
				return nil, fmt.Errorf("relay from %d to %d: %w", a, b, err)
			}
			r.socks[pair{a, b}] = c
		}
	}
	for p, c := range r.socks {
		r.wg.Go(func() { r.carry(p, c) })
	}
	return r, nil
}

// peers are the addresses that an instance is told of.
func (r *relays) peers(i int) (list []string) {
	for k := range r.real {
		if k == i {
			list = append(list, r.real[i].String())
			continue
		}
		list = append(list, r.socks[pair{i, k}].Addr().String())
	}
	return list
}

// set changes the faults of a link.
func (r *relays) set(from, to int, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[pair{from, to}] = f
}

func (r *relays) carry(p pair, c world.PacketConn) {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.ReadFrom(buf)
		if err != nil {
			r.mu.Lock()
			closed := r.closed
			r.mu.Unlock()
			if closed {
				return
			}
			continue
		}
		if from != r.real[p.from] {
			continue // a stranger
		}
		r.forward(p, append([]byte(nil), buf[:n]...))
	}
}

func (r *relays) forward(p pair, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := append(r.kept[p], data); len(k) > mostKept {
		r.kept[p] = k[1:]
	} else {
		r.kept[p] = k
	}
	f := r.faults[p]
	if r.closed || f.Cut || r.rnd.Float64() < f.Loss {
		return
	}
	copies := 1
	if r.rnd.Float64() < f.Twice {
		copies = 2
	}
	for range copies {
		r.passed[p]++
		late := f.Delay
		if f.Jitter > 0 {
			late += time.Duration(r.rnd.Int64N(int64(f.Jitter)))
		}
		if late == 0 {
			_, _ = r.socks[pair{p.to, p.from}].WriteTo(data, r.real[p.to])
			continue
		}
		r.timers++
		go func() {
			world.Pause(r.world, late)
			_, _ = r.socks[pair{p.to, p.from}].WriteTo(data, r.real[p.to])
			r.mu.Lock()
			defer r.mu.Unlock()
			r.timers--
			r.idle.Broadcast()
		}()
	}
}

// repeat sends what came last on a way once more, without faults, each changed by a function
// where there is one.
func (r *relays) repeat(p pair, change func([]byte) []byte) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, data := range r.kept[p] {
		if change != nil {
			data = change(append([]byte(nil), data...))
		}
		_, _ = r.socks[pair{p.to, p.from}].WriteTo(data, r.real[p.to])
		n++
	}
	return n
}

// sent is how many datagrams of an instance were passed on.
func (r *relays) sent(i int) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, k := range r.passed {
		if p.from == i {
			n += k
		}
	}
	return n
}

func (r *relays) close() {
	r.mu.Lock()
	r.closed = true
	for r.timers > 0 {
		r.idle.Wait()
	}
	r.mu.Unlock()
	for _, c := range r.socks {
		c.Close()
	}
	r.wg.Wait()
}
