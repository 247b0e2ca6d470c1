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

// TooFewAwakeError is the error of an order to rest that would leave too few proxies awake.
type TooFewAwakeError struct{ error }

// MinAwake holds the minimum fractions of proxies that must stay awake, so that one more may rest.
type MinAwake = peerlink.Floor

var nodeNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Rest orders a proxy to rest, which means that no clients are sent to it. If two replicas get such orders at the same
// time, one is decided first, and the other is checked against it.
func (b *Replica) Rest(ctx context.Context, name string, minAwake MinAwake) error {
	if !nodeNamePattern.MatchString(name) {
		return InvalidError{errors.Errorf("%q is not a proxy name", name)}
	}
	_, err := b.submit(ctx, peerlink.Command{Order: &peerlink.Zone{Zone: state.NodeSubject(name), Drain: true}, Floor: &minAwake})
	return err
}

// Wake ends an order that a proxy rests.
func (b *Replica) Wake(ctx context.Context, name string) error {
	_, err := b.submit(ctx, peerlink.Command{Order: &peerlink.Zone{Zone: state.NodeSubject(name)}})
	return err
}

// checkRestOrder returns an error if a proxy must not rest, or can't be woken, under the decided state.
func (b *Replica) checkRestOrder(name string, command *peerlink.Command, decided state.State) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := decided.Order(command.Order.Zone), b.proxies.proxies[name] != nil
	if command.Floor == nil {
		if !known && old.Count == 0 {
			return errors.WithMessage(ErrUnknownProxy, name)
		}
		return nil
	}
	if !known && !command.Floor.Force {
		return errors.WithMessage(ErrUnknownProxy, name)
	}
	if old.Drain || command.Floor.Force {
		return nil
	}
	return b.proxies.checkMinAwake(b.now(), name, decided, *command.Floor)
}

// setResting records whether a proxy is to rest.
func (r *proxyRegistry) setResting(name string, rests bool) {
	if delete(r.resting, name); rests {
		r.resting[name] = true
	}
}

// checkMinAwake returns TooFewAwakeError if too few proxies would stay awake once name rests under the decided orders.
func (r *proxyRegistry) checkMinAwake(now time.Duration, name string, decided state.State, minAwake MinAwake) error {
	count := func(zone string) (awakeCount, total int) {
		for _, other := range r.names() {
			proxy, rests := r.proxies[other], decided.Order(state.NodeSubject(other)).Drain
			if zone != "" && proxy.hello.Zone != zone || !rests && !proxy.hasQuotaShare(now) {
				continue // a proxy that has left counts only while it is ordered to rest
			}
			if total++; !rests && other != name && proxy.ready && proxy.leftAt == 0 && proxy.isAlive(now) {
				awakeCount++
			}
		}
		return awakeCount, total
	}
	check := func(where string, fraction float64, awakeCount, total int) error {
		if awakeCount >= int(math.Ceil(fraction*float64(total)-1e-9)) {
			return nil
		}
		return TooFewAwakeError{errors.New(fmt.Sprintf("%d of %d proxies %s would stay awake, and %g of them have to", awakeCount, total, where, fraction))}
	}
	awakeCount, total := count("")
	if err := check("of all", minAwake.All, awakeCount, total); err != nil {
		return err
	}
	proxy := r.proxies[name]
	if proxy == nil || proxy.hello.Zone == "" {
		return nil
	}
	awakeCount, total = count(proxy.hello.Zone)
	return check("in "+proxy.hello.Zone, minAwake.Zone, awakeCount, total)
}
