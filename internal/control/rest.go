package control

import (
	"context"
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/control/state"
	"pepperfall.example/pepperfall/internal/platform/peerlink"
)

// TooFewAwakeError is the error of an order that would leave too few proxies awake.
type TooFewAwakeError struct{ error }

// MinAwake is what has to stay awake.
type MinAwake = peerlink.Floor

var nodeNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Rest takes an order that a proxy is to rest. Of two of them that cross at two replicas one is decided first, and the
// other sees it.
func (b *Replica) Rest(ctx context.Context, name string, least MinAwake) error {
	if !nodeNamePattern.MatchString(name) {
		return InvalidError{errors.Errorf("%q is no name of a proxy", name)}
	}
	_, err := b.submit(ctx, peerlink.Command{Order: &peerlink.Zone{Zone: state.NodeSubject(name), Drain: true}, Floor: &least})
	return err
}

// Wake takes an order that a proxy is to rest no longer.
func (b *Replica) Wake(ctx context.Context, name string) error {
	_, err := b.submit(ctx, peerlink.Command{Order: &peerlink.Zone{Zone: state.NodeSubject(name)}})
	return err
}

// checkRestOrder tells why a proxy must not rest, or wake, by what is decided.
func (b *Replica) checkRestOrder(name string, c *peerlink.Command, held state.State) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := held.Order(c.Order.Zone), b.proxies.proxies[name] != nil
	if c.Floor == nil {
		if !known && old.Count == 0 {
			return errors.WithMessage(ErrUnknownProxy, name)
		}
		return nil
	}
	if !known && !c.Floor.Force {
		return errors.WithMessage(ErrUnknownProxy, name)
	}
	if old.Drain || c.Floor.Force {
		return nil
	}
	return b.proxies.checkMinAwake(b.now(), name, held, *c.Floor)
}

// setResting notes that a proxy is to rest, or is not.
func (r *proxyRegistry) setResting(name string, rests bool) {
	if delete(r.resting, name); rests {
		r.resting[name] = true
	}
}

// checkMinAwake tells why a proxy must not rest under the orders held: too few would stay awake.
func (r *proxyRegistry) checkMinAwake(now time.Duration, name string, held state.State, least MinAwake) error {
	awake := func(zone string) (is, all int) {
		for _, n := range r.names() {
			g, rests := r.proxies[n], held.Order(state.NodeSubject(n)).Drain
			if zone != "" && g.hello.Zone != zone || !rests && !g.isCounted(now) {
				continue // one that has gone in order is missed only while it rests
			}
			if all++; !rests && n != name && g.ready && g.leftAt == 0 && g.isAlive(now) {
				is++
			}
		}
		return is, all
	}
	tight := func(where string, part float64, is, all int) error {
		if is >= int(math.Ceil(part*float64(all)-1e-9)) {
			return nil
		}
		return TooFewAwakeError{errors.New(fmt.Sprintf("%d of %d proxies %s would stay awake, and %g of them have to", is, all, where, part))}
	}
	is, all := awake("")
	if err := tight("of all", least.All, is, all); err != nil {
		return err
	}
	g := r.proxies[name]
	if g == nil || g.hello.Zone == "" {
		return nil
	}
	is, all = awake(g.hello.Zone)
	return tight("in "+g.hello.Zone, least.Zone, is, all)
}
