package operatorclient

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Times of the lock.
const (
	lockFor   = api.LockMost
	lockEvery = lockFor / 4 // taken again
	lockSpare = time.Second // before its end it counts as lost: clocks differ in speed, and an order takes its way
)

// ErrTaken means that another operator holds the lock.
var ErrTaken = errors.New("another operator changes things")

// Hold is the lock that control grants to one operator at a time for changes. While it is held, this client's orders carry
// its token, and none is sent once it may have expired.
type Hold struct {
	c    *Client
	ask  api.LockAsk
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	until time.Time // by this machine's clock, from before it was asked for
}

// Hold takes the lock and keeps it until Drop.
func (c *Client) Hold(ctx context.Context, who string) (*Hold, error) {
	h := &Hold{c: c, done: make(chan struct{}), ask: api.LockAsk{Token: rand.Text(), Who: who, Since: c.w.Now().UTC(), ForMS: lockFor.Milliseconds()}}
	if err := h.take(ctx); errors.Is(err, ErrUnclear) {
		return nil, errors.WithMessage(ErrUnsettled, "the lock is not to be had: "+err.Error())
	} else if err != nil {
		return nil, err
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	h.stop = stop
	c.hold.Store(h)
	go func() {
		defer close(h.done)
		for world.Sleep(inner, c.w, lockEvery) {
			_ = h.take(inner) // what it means shows where an order is to go out
		}
	}()
	return h, nil
}

// take asks for the lock, again or anew.
func (h *Hold) take(ctx context.Context) error {
	body, err := json.Marshal(h.ask)
	if err != nil {
		return errors.WithStack(err)
	}
	began := h.c.w.Now()
	err = h.c.order(ctx, api.LockTake, body, OrderWithin/2)
	var no *Refused
	if errors.As(err, &no) && no.Status == statusLocked {
		return errors.WithMessage(ErrTaken, no.Why)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := began.Add(lockFor - lockSpare); until.After(h.until) {
		h.until = until
	}
	return nil
}

// sure makes sure that the lock is held, or says why no order may go out.
func (h *Hold) sure(ctx context.Context) error {
	h.mu.Lock()
	held := h.c.w.Now().Before(h.until)
	h.mu.Unlock()
	if held {
		return nil
	}
	return h.take(ctx)
}

// Drop releases the lock.
func (h *Hold) Drop() {
	h.stop()
	<-h.done
	h.c.hold.CompareAndSwap(h, nil)
	if body, err := json.Marshal(h.ask); err == nil {
		_ = h.c.order(context.Background(), api.LockDrop, body, CallWithin) // else it runs out
	}
}
