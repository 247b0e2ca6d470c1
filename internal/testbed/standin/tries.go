package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// loan is what a client wants, over all its tries.
type loan struct {
	customer Customer
	class    string
	key      string
	units    float64
	safe     bool // it is asked again after a failure
	ask      *Operation
	path     string // of an ordinary client
	query    string
}

// ordinary draws what an ordinary client asks.
func (f *Front) ordinary(c Customer, rnd *rand.Rand) *loan {
	sum := 0.0
	for _, o := range f.cfg.Asks {
		sum += o.Share
	}
	at := rnd.Float64() * sum
	ask := &f.cfg.Asks[0]
	for i := range f.cfg.Asks {
		ask = &f.cfg.Asks[i]
		if at -= ask.Share; at < 0 {
			break
		}
	}
	number := func(s string) string { return strings.ReplaceAll(s, "#", fmt.Sprint(1+rnd.IntN(50))) }
	t := &loan{customer: c, class: ask.Class, safe: ask.Safe, ask: ask, path: number(ask.Path), query: number(ask.Query)}
	if ask.Keyed {
		t.key = fmt.Sprintf("%016x%016x", rnd.Uint64(), rnd.Uint64())
	}
	return t
}

// pursue makes a client's tries until it is served, has to give up, or has
// made all.
func (f *Front) pursue(ctx context.Context, t *loan) {
	backoff := f.cfg.Backoff
	for n := 0; ; n++ {
		end, advice := f.try(t, n > 0)
		again := end == refused || end == unreached || t.safe && end == failed
		if !again || n >= f.cfg.Retries || ctx.Err() != nil {
			return
		}
		wait := backoff
		if advice > 0 && f.chance(f.cfg.Honour) {
			wait = max(wait, advice)
		}
		backoff *= 2
		if !world.Sleep(ctx, f.site.world, wait) {
			return
		}
	}
}

type end int

const (
	served end = iota
	refused
	failed
	unreached
	went
)

// try sends one request to an edge node of the customer's set that is up.
func (f *Front) try(t *loan, retry bool) (end, time.Duration) {
	f.mu.Lock()
	f.serial++
	id := fmt.Sprintf("%08x%08x", uint32(f.cfg.Seed), f.serial)
	from := f.rnd.IntN(t.customer.Spread)
	f.mu.Unlock()
	class := f.classes[t.class]
	q := &question{id: id, loan: t, retry: retry, deadline: time.Duration(class.LimitMS) * time.Millisecond}
	for i := range t.customer.Spread {
		d := f.nodes[(t.customer.First+(from+i)%t.customer.Spread)%len(f.nodes)]
		if !d.isUp() {
			continue
		}
		if r, ok := d.ask(q); ok {
			return f.count(t, r)
		}
	}
	f.mu.Lock()
	f.tally.Unreached++
	f.mu.Unlock()
	return unreached, 0
}
