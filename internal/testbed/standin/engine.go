package standin

import (
	"sync"
	"time"
)

// engine is a server's cores, slots and queue. Requests in slots share the
// cores evenly; those beyond wait in order; a full queue takes no more.
type engine struct {
	world Outside
	cores int
	slots int
	queue int
	speed func(now time.Time) float64 // core seconds that one core does in a second

	mu      sync.Mutex
	working []*job
	waiting []*job
	at      time.Time     // when the work left was last brought up to date
	wake    chan struct{} // room for one: the work has changed
}

type job struct {
	left float64 // core seconds
	done chan struct{}
}

// least is the work that counts as none: times on real clocks are not exact.
const least = 1e-7

func newEngine(w Outside, cores, slots, queue int, speed func(time.Time) float64) *engine {
	return &engine{world: w, cores: cores, slots: slots, queue: queue, speed: speed, at: w.Now(), wake: make(chan struct{}, 1)}
}

// admit takes a request in; nil: the queue is full.
func (e *engine) admit(work time.Duration) *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	j := &job{left: work.Seconds(), done: make(chan struct{})}
	switch {
	case len(e.working) < e.slots:
		e.working = append(e.working, j)
	case len(e.waiting) < e.queue:
		e.waiting = append(e.waiting, j)
	default:
		return nil
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j
}

// busy is the share of the cores that work.
func (e *engine) busy() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(1, float64(len(e.working))/float64(e.cores))
}

// pace is the core seconds that each request in a slot gets in a second.
func (e *engine) pace(now time.Time) float64 {
	return e.speed(now) * min(1, float64(e.cores)/float64(max(1, len(e.working))))
}

// advance brings the work left up to now and ends what is done.
func (e *engine) advance() {
	now := e.world.Now()
	if dt := now.Sub(e.at).Seconds(); dt > 0 {
		p := e.pace(now) * dt
		for _, j := range e.working {
			j.left -= p
		}
	}
	e.at = now
	keep := e.working[:0]
	for _, j := range e.working {
		if j.left <= least {
			close(j.done)
		} else {
			keep = append(keep, j)
		}
	}
	e.working = keep
	for len(e.waiting) > 0 && len(e.working) < e.slots {
		e.working, e.waiting = append(e.working, e.waiting[0]), e.waiting[1:]
	}
}

// next is how long the shortest request in work takes if nothing changes.
func (e *engine) next() (d time.Duration, any bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	first := -1.0
	for _, j := range e.working {
		if first < 0 || j.left < first {
			first = j.left
		}
	}
	if first < 0 {
		return 0, false
	}
	const step = 50 * time.Millisecond // the speed may change meanwhile
	return min(step, time.Duration(first/e.pace(e.at)*float64(time.Second))+time.Microsecond), true
}

// run works until stop is closed.
func (e *engine) run(stop <-chan struct{}) {
	for {
		var due <-chan time.Time
		d, any := e.next()
		if any {
			t := e.world.NewTimer(d)
			due = t.C()
			select {
			case <-stop:
				t.Stop()
				return
			case <-due:
			case <-e.wake:
			}
			t.Stop()
			continue
		}
		select {
		case <-stop:
			return
		case <-e.wake:
		}
	}
}
