package operatorclient

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/platform/world"
)

// Times of a push.
const (
	lookEvery   = 500 * time.Millisecond
	arriveFor   = 10 * time.Second // a version to be in force at all proxies that are ready
	tellFor     = 3 * time.Second  // proxies to begin telling of their answers
	mostLagging = 0                // proxies that may be behind after that
)

// ErrOvertaken means that another operator's version replaced that of the push.
var ErrOvertaken = errors.New("a version of another operator holds in place of this one")

// WentBack is the error of a push that was rolled back.
type WentBack struct {
	Why  error
	Gen  uint64 // of the version with the old content
	Undo error  // what became of that; nil: it holds
}

func (w *WentBack) Error() string {
	if w.Undo != nil {
		return fmt.Sprintf("not gone back (%v) after: %v", w.Undo, w.Why)
	}
	return fmt.Sprintf("gone back by r%d with the old content, because %v", w.Gen, w.Why)
}

// Plan holds the stages of a push before anything is sent.
type Plan struct {
	Held   uint64 // the version held; 0: none
	Old    []byte // and its body
	Stages []Stage
	Diff   []string

	old, next *routeconfig.Configuration
}

// Elsewhere returns, in lines, which requests of the last minute would go to other services; it asks the replicas for the
// requests.
func (c *Client) Elsewhere(ctx context.Context, p *Plan) []string {
	if p.old == nil {
		return nil
	}
	return Elsewhere(p.old, p.next, c.Asked(ctx))
}

// Stage is one version of a push.
type Stage struct {
	Gen    uint64
	Part   float64 // of the requests of staged routes
	Routes int     // that are staged
	Body   []byte
}

// Plan reads what is held and numbers the versions that a push would send. With
// no parts it is one version.
func (c *Client) Plan(ctx context.Context, body []byte, parts []float64) (*Plan, error) {
	next, err := routeconfig.Parse(body)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	var was *routeconfig.Configuration
	switch p.Old, err = c.Show(ctx); {
	case errors.Is(err, ErrNoConfig):
		if len(parts) > 0 {
			return nil, errors.WithMessage(err, "nothing to stage from")
		}
	case err != nil:
		return nil, err
	default:
		if was, err = routeconfig.Parse(p.Old); err != nil {
			return nil, errors.WithMessage(err, "the version held can't be read here: this client may be older than control")
		}
		p.Held = was.Gen
	}
	p.Diff, p.old, p.next = Diff(was, next), was, next
	gen := p.Held
	for _, part := range parts {
		if part >= 1 {
			break
		}
		gen++
		b, n, err := Blend(p.Old, body, part, gen)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return nil, errors.New("no route changes its services only: nothing can be staged; push without --stage")
		}
		p.Stages = append(p.Stages, Stage{gen, part, n, b})
	}
	last, err := Renumber(body, gen+1)
	p.Stages = append(p.Stages, Stage{gen + 1, 1, 0, last})
	return p, err
}

// Push sends the stages, one after the other. After each it waits until all ready proxies have it, and then for settle
// more, while check returns nil. If check fails, the old content is sent under the next number.
func (c *Client) Push(ctx context.Context, p *Plan, settle time.Duration, check func(*View) error, tell func(string)) error {
	for i, s := range p.Stages {
		tell(fmt.Sprintf("r%d: %g%% of %d staged routes", s.Gen, s.Part*100, s.Routes))
		if err := c.Bring(ctx, s.Gen, s.Body); err != nil {
			if i == 0 || errors.Is(err, ErrOvertaken) {
				return err
			}
			return c.goBack(ctx, p, s.Gen, err)
		}
		wait := settle
		if i == len(p.Stages)-1 && len(p.Stages) == 1 {
			wait = 0
		}
		if err := c.arrived(ctx, s.Gen, wait, check); err != nil {
			return c.goBack(ctx, p, s.Gen, err)
		}
	}
	return nil
}

// goBack sends the old content under the number after the newest one that was sent.
func (c *Client) goBack(ctx context.Context, p *Plan, sent uint64, why error) error {
	if p.Held == 0 {
		return errors.WithMessage(why, "there is no old content to go back to")
	}
	if ctx.Err() != nil { // an operator who interrupts wants to be back, too
		var stop context.CancelFunc
		ctx, stop = world.WithTimeout(context.WithoutCancel(ctx), c.w, OrderWithin)
		defer stop()
	}
	w := &WentBack{Why: why, Gen: sent + 1}
	body, err := Renumber(p.Old, w.Gen)
	if err == nil {
		err = c.Bring(ctx, w.Gen, body)
	}
	w.Undo = err
	return w
}

// Bring puts a configuration in force, and verifies that it is the one that holds.
func (c *Client) Bring(ctx context.Context, gen uint64, body []byte) error {
	sent := c.Replace(ctx, body)
	var no *Refused
	if errors.As(sent, &no) || errors.Is(sent, ErrNobody) {
		return sent
	}
	is, err := c.Show(ctx)
	if err != nil {
		if sent != nil {
			return sent
		}
		return errors.WithMessage(ErrUnclear, "acknowledged, and then not shown: "+err.Error())
	}
	held, err := routeconfig.Parse(is)
	switch {
	case err != nil:
		return errors.WithMessage(err, "what is shown can't be read")
	case sha256.Sum256(is) == sha256.Sum256(body):
		return nil
	case held.Gen >= gen:
		return errors.WithMessagef(ErrOvertaken, "r%d was sent, r%d is shown", gen, held.Gen)
	case sent != nil:
		return sent
	}
	return errors.WithMessagef(ErrUnclear, "r%d was acknowledged, and r%d is shown", gen, held.Gen)
}

// arrived waits until a version is in force at all proxies that are ready, and
// looks on for some time.
func (c *Client) arrived(ctx context.Context, gen uint64, settle time.Duration, check func(*View) error) error {
	began := c.w.Now()
	var since time.Time // when it was first in force everywhere
	for {
		v := c.Look(ctx)
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
		if err := check(v); err != nil {
			return err
		}
		now := c.w.Now()
		behind := Behind(v, gen)
		switch {
		case v.Answering() > 0 && len(behind) <= mostLagging:
			if since.IsZero() {
				since = now
			}
			if now.Sub(since) >= settle {
				return nil
			}
		case now.Sub(began) > arriveFor+settle || since.IsZero() && now.Sub(began) > arriveFor:
			return errors.Errorf("r%d is not in force at %v after %v", gen, behind, now.Sub(began).Round(lookEvery))
		default:
			since = time.Time{} // one that had it has fallen behind: all is waited for anew
		}
		world.Sleep(ctx, c.w, lookEvery)
	}
}

// Told looks until all proxies report counts of their answers, which they begin to after a first look, and returns that
// view. If some do not in time, it returns the last view.
func (c *Client) Told(ctx context.Context) *View {
	for began := c.w.Now(); ; {
		v := c.Look(ctx)
		if _, known := AnswersOf(v); known || c.w.Now().Sub(began) > tellFor || !world.Sleep(ctx, c.w, lookEvery) {
			return v
		}
	}
}

// Behind names the proxies that are ready and have an older version.
func Behind(v *View, gen uint64) (names []string) {
	for _, g := range v.Proxies {
		if g.Ready && number(g.Gen) < gen {
			names = append(names, g.Name)
		}
	}
	return names
}

// Steady makes the check of a push: control has to stay settled, and no more proxies than at the start may be not ready.
func Steady(before *View) func(*View) error {
	was := ready(before)
	return func(v *View) error {
		if !v.Settled {
			return errors.New("control lost its majority")
		}
		if is := ready(v); is < was {
			return errors.Errorf("%d proxies are ready, %d were", is, was)
		}
		return nil
	}
}

func ready(v *View) (n int) {
	for _, g := range v.Proxies {
		if g.Ready {
			n++
		}
	}
	return n
}
