package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"pepperfall.example/pepperfall/internal/dataplane/node"
	"pepperfall.example/pepperfall/internal/edgefleet/fleetview"
	"pepperfall.example/pepperfall/internal/edgefleet/members"
	"pepperfall.example/pepperfall/internal/platform/world"
	"pepperfall.example/pepperfall/internal/testbed/standin"
)

// View asks an instance for its view of the fleet.
func (l *Lab) View(ctx context.Context, i int) (v fleetview.View, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.listen(i)+node.ViewPath, nil)
	if err != nil {
		return v, err
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return v, fmt.Errorf("%s tells no view: status %d", l.name(i), resp.StatusCode)
	}
	return v, json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&v)
}

// Agreed tells why the instances that run do not hold one view of exactly these; nil: they do.
func (l *Lab) Agreed(ctx context.Context, numbers ...int) error {
	var want []members.Name
	for _, n := range numbers {
		want = append(want, members.Name(n))
	}
	var first fleetview.View
	for k, i := range numbers {
		v, err := l.View(ctx, i)
		if err != nil {
			return err
		}
		if k == 0 {
			first = v
		}
		switch {
		case !slices.Equal(v.Present, want):
			return fmt.Errorf("%s holds %v to be there, not %v", l.name(i), v.Present, want)
		case !slices.Equal(v.Alive, want):
			return fmt.Errorf("%s counts on %v, not %v", l.name(i), v.Alive, want)
		case len(v.Doubts) > 0:
			return fmt.Errorf("%s doubts its view: %v", l.name(i), v.Doubts)
		case v.Hash != first.Hash || v.Epoch != first.Epoch:
			return fmt.Errorf("%s holds view %d, %s view %d", l.name(i), v.Epoch, l.name(numbers[0]), first.Epoch)
		}
	}
	return nil
}

// Until waits until a condition holds, for so long at most; the error says what was missing.
func (l *Lab) Until(ctx context.Context, most time.Duration, ok func() error) (time.Duration, error) {
	began := l.o.World.Now()
	for {
		err := ok()
		took := l.o.World.Now().Sub(began)
		if err == nil || took > most {
			return took, err
		}
		if !world.Sleep(ctx, l.o.World, 50*time.Millisecond) {
			return took, errors.Join(err, ctx.Err())
		}
	}
}

// Tally is what became of the requests.
func (l *Lab) Tally() standin.Tally { return l.front.Tally() }

// Sent is how many datagrams of an instance the relays have passed on.
func (l *Lab) Sent(i int) int { return l.relays.sent(i) }
