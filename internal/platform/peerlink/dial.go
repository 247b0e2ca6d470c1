package peerlink

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/platform/world"
)

// Intervals of dialling.
const (
	dialWithin = time.Second
	againFirst = 100 * time.Millisecond
	againMost  = time.Second
	lived      = 2 * time.Second // a session as long as this begins the waits anew
	jitter     = 0.2
)

// Dialer keeps connections to other processes of the system.
type Dialer struct {
	Net   world.World
	Hello Hello
	Mine  func() Hello // in place of Hello, where it changes
	Log   logr.Logger
}

func (d *Dialer) mine() Hello {
	if d.Mine != nil {
		return d.Mine()
	}
	return d.Hello
}

// Keep holds a connection to an address until ctx ends: it dials, exchanges
// Hellos, and calls up, which runs the session and returns when it is over;
// then it waits and dials again.
func (d *Dialer) Keep(ctx context.Context, addr string, up func(ctx context.Context, c *Conn, h *Hello) error) {
	wait := againFirst
	for ctx.Err() == nil {
		began, err := d.once(ctx, addr, up)
		if ctx.Err() != nil {
			return
		}
		d.Log.V(1).Info("connection over", "address", addr, "why", err)
		if !began.IsZero() && d.Net.Now().Sub(began) >= lived {
			wait = againFirst
		}
		if !world.Sleep(ctx, d.Net, shake(wait)) {
			return
		}
		wait = min(2*wait, againMost)
	}
}

func shake(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1)))
}

// once tells when its session began, zero if it never did.
func (d *Dialer) once(ctx context.Context, addr string, up func(ctx context.Context, c *Conn, h *Hello) error) (time.Time, error) {
	within, cancel := world.WithTimeout(ctx, d.Net, dialWithin)
	raw, err := d.Net.Dial(within, "tcp", addr)
	cancel()
	if err != nil {
		return time.Time{}, err
	}
	return session(ctx, d.Net, raw, d.mine(), up)
}

// session exchanges Hellos and runs up; the connection is closed after it, and when ctx ends.
func session(ctx context.Context, clock world.Clock, raw net.Conn, mine Hello, up func(ctx context.Context, c *Conn, h *Hello) error) (time.Time, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := New(raw, clock)
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	mine.Version = Version
	if err := c.Send(&Frame{Hello: &mine}); err != nil {
		return time.Time{}, err
	}
	f, err := c.Receive()
	if err != nil {
		return time.Time{}, err
	}
	if f.Hello == nil {
		return time.Time{}, errors.New("peerlink: the first frame is no Hello")
	}
	if f.Hello.Version != Version {
		return time.Time{}, errors.Errorf("peerlink: %s speaks version %d, not %d", f.Hello.Name, f.Hello.Version, Version)
	}
	began := clock.Now()
	return began, up(ctx, c, f.Hello)
}

// Serve accepts on a listener, exchanges Hellos, and runs each session in a
// goroutine, until ctx ends or the listener is closed. It returns when all sessions have.
func Serve(ctx context.Context, w world.World, ln net.Listener, mine func() Hello, log logr.Logger, up func(ctx context.Context, c *Conn, h *Hello) error) error {
	var all sync.WaitGroup
	defer all.Wait()
	defer context.AfterFunc(ctx, func() { _ = ln.Close() })()
	for {
		raw, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = raw.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "peerlink: accept")
		case err != nil: // out of descriptors, or the like
			log.Error(err, "accept")
			world.Sleep(ctx, w, againFirst)
			continue
		}
		all.Go(func() {
			_, err := session(ctx, w, raw, mine(), up)
			log.V(1).Info("connection over", "address", raw.RemoteAddr().String(), "why", err)
		})
	}
}
