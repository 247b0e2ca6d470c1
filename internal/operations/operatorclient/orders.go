package operatorclient

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/config/routeconfig"
	"pepperfall.example/pepperfall/internal/operations/runbook"
	"pepperfall.example/pepperfall/internal/operations/runbook/tend"
)

// Agents carries out the orders of runbooks through real replicas.
type Agents struct {
	Client *Client
	Person func(ctx context.Context, step, question string) (agreed bool, by string, err error)
	Facts  func(runbook.Facts)                                   // what a caller adds to what is seen; nil: nothing
	Run    func(ctx context.Context, command, node string) error // runs an operator's command; nil: it can't
}

// Look asks the replicas.
func (h *Agents) Look(ctx context.Context) runbook.Facts {
	f := Facts(h.Client.Look(ctx))
	if h.Facts != nil {
		h.Facts(f)
	}
	return f
}

// Ask asks whoever holds the run.
func (h *Agents) Ask(ctx context.Context, step, question string) (bool, string, error) {
	if h.Person == nil {
		return false, "", tend.ErrNobody
	}
	return h.Person(ctx, step, question)
}

// Prepare makes the order of a task.
func (h *Agents) Prepare(ctx context.Context, t runbook.Task) (*runbook.Order, error) {
	if t.Deed == "evacuate" || t.Deed == "restore" {
		zone, drain := t.Args["zone"], t.Deed == "evacuate"
		if t.Undo != nil {
			zone, drain = t.Undo.Zone, !t.Undo.Drain
		}
		return h.zone(ctx, t, zone, drain)
	}
	switch t.Deed {
	case runbook.DeedRest, runbook.DeedWake:
		return h.node(ctx, t)
	case runbook.DeedRestart, runbook.DeedHalt, runbook.DeedStart:
		return h.machine(ctx, t)
	}
	held, err := h.Client.Show(ctx)
	switch {
	case errors.Is(err, ErrNoConfig):
		return nil, err
	case err != nil:
		return nil, errors.WithMessage(tend.ErrLater, err.Error())
	}
	p, err := routeconfig.Parse(held)
	if err != nil {
		return nil, errors.WithMessage(err, "the version held can't be read here")
	}
	if u := t.Undo; u != nil {
		if sha256.Sum256(held) != sha256.Sum256(u.Body) {
			return nil, errors.Errorf("r%d holds and not r%d, which this run sent: its content is not put back over another operator's", p.Gen, u.Gen)
		}
		body, err := Renumber(u.Was, p.Gen+1)
		return &runbook.Order{Deed: "back", Says: fmt.Sprintf("r%d, the content before r%d", p.Gen+1, u.Gen), Gen: p.Gen + 1, Body: body, Was: held}, err
	}
	o := &runbook.Order{Deed: t.Deed, Gen: p.Gen + 1, Was: held}
	done := false
	if t.Deed == "push" {
		if o.Body, err = os.ReadFile(t.Args["file"]); err == nil {
			o.Body, err = Renumber(o.Body, o.Gen)
		}
	} else {
		var c Change
		if c, err = change(t); err == nil {
			o.Body, done, err = Apply(held, o.Gen, c)
		}
	}
	if err != nil {
		return nil, err
	}
	o.Says = fmt.Sprintf("r%d: %s %v", o.Gen, t.Deed, t.Args)
	if done {
		o.Nothing, o.Says, o.Was, o.Gen = true, fmt.Sprintf("%s %v: it is so already", t.Deed, t.Args), nil, 0
	}
	return o, nil
}

func change(t runbook.Task) (Change, error) {
	switch t.Deed {
	case "drop_key":
		return DropKey(t.Args["print"]), nil
	case "leave_service":
		return LeaveService(t.Args["service"]), nil
	case "limit_tenant":
		rate, err := strconv.ParseFloat(t.Args["rate"], 64)
		if err != nil {
			return nil, errors.Errorf("rate: %q: no number", t.Args["rate"])
		}
		burst, err := strconv.ParseFloat(t.Args["burst"], 64)
		if err != nil {
			return nil, errors.Errorf("burst: %q: no number", t.Args["burst"])
		}
		return LimitTenant(t.Args["tenant"], rate, burst), nil
	}
	return nil, errors.Errorf("%s: no such deed", t.Deed)
}

func (h *Agents) zone(ctx context.Context, t runbook.Task, zone string, drain bool) (*runbook.Order, error) {
	o := &runbook.Order{Deed: t.Deed, Zone: zone, Drain: drain, Says: map[bool]string{true: "evacuate ", false: "restore "}[drain] + zone}
	return h.orderAbout(ctx, t, o)
}

// orderAbout makes an order about a zone or proxy, by what holds.
func (h *Agents) orderAbout(ctx context.Context, t runbook.Task, o *runbook.Order) (*runbook.Order, error) {
	v := h.Client.Look(ctx)
	if !v.Settled {
		return nil, errors.WithMessage(tend.ErrLater, ErrUnsettled.Error())
	}
	is := v.standing(o)
	o.Base = is.count
	switch u := t.Undo; {
	case is.count > 0 && is.confirmed && is.drain == o.Drain:
		o.Nothing, o.Says = true, o.Says+": it is so already"
	case u != nil && u.Count > 0 && is.count != u.Count:
		return nil, errors.Errorf("%s%s: another operator's order holds since this run's: it is not undone", kind(o), u.Zone+u.Node)
	}
	return o, nil
}

// standing is the newest order about what an order is about.
type standing struct {
	count            uint64
	drain, confirmed bool
}

func (v *View) standing(o *runbook.Order) standing {
	if o.Node != "" {
		n := v.Node(o.Node)
		return standing{n.Count, n.Rests, n.Confirmed}
	}
	if z := v.Zone(o.Zone); z != nil {
		return standing{z.Order.Count, z.Order.Drained, z.Order.Confirmed}
	}
	return standing{}
}

func kind(o *runbook.Order) string {
	if o.Node != "" {
		return "proxy "
	}
	return "zone "
}

// Settle has an order hold. What holds already is found out first: so an order
// whose giver died, or whose answer was lost, is not given again.
func (h *Agents) Settle(ctx context.Context, o *runbook.Order) (tend.Outcome, string) {
	switch {
	case o.Nothing:
		return tend.Done, "nothing was to be done"
	case runbook.OnMachine(o.Deed):
		return h.settleMachine(ctx, o)
	case o.Zone != "" || o.Node != "":
		return h.settleWord(ctx, o)
	}
	held, err := h.Client.Show(ctx)
	if err != nil {
		return tend.Unclear, err.Error()
	}
	p, err := routeconfig.Parse(held)
	switch {
	case err != nil:
		return tend.Unclear, "what is shown can't be read: " + err.Error()
	case sha256.Sum256(held) == sha256.Sum256(o.Body):
		return tend.Done, ""
	case p.Gen >= o.Gen:
		return tend.Overtaken, fmt.Sprintf("r%d was to be sent or was, and another r%d holds: whether both changes are in it is for people to see (pepperctl config diff)", o.Gen, p.Gen)
	}
	return outcome(h.Client.Bring(ctx, o.Gen, o.Body))
}

func (h *Agents) settleWord(ctx context.Context, o *runbook.Order) (tend.Outcome, string) {
	v := h.Client.Look(ctx)
	if !v.Settled {
		return tend.Unclear, ErrUnsettled.Error()
	}
	if is := v.standing(o); is.count > o.Base {
		switch {
		case is.drain != o.Drain:
			return tend.Overtaken, fmt.Sprintf("%s%s: another order holds, given after this one was meant", kind(o), o.Zone+o.Node)
		case is.confirmed:
			o.Count = is.count
			return tend.Done, ""
		}
	}
	if err := h.give(ctx, o); err != nil {
		return outcome(err)
	}
	if is := h.Client.Look(ctx).standing(o); is.count > o.Base && is.drain == o.Drain {
		o.Count = is.count
	}
	return tend.Done, ""
}

func (h *Agents) give(ctx context.Context, o *runbook.Order) error {
	switch {
	case o.Node == "":
		return h.Client.Drain(ctx, o.Zone, o.Drain)
	case !o.Drain:
		return h.Client.Wake(ctx, o.Node)
	case len(o.Least) == 2:
		return h.Client.Rest(ctx, o.Node, Floor{Zone: o.Least[0], All: o.Least[1]})
	}
	return h.Client.Rest(ctx, o.Node, Floor{Force: true})
}

func outcome(err error) (tend.Outcome, string) {
	var no *Refused
	switch {
	case err == nil:
		return tend.Done, ""
	case errors.As(err, &no):
		return tend.Refused, err.Error()
	case errors.Is(err, ErrOvertaken):
		return tend.Overtaken, err.Error()
	}
	return tend.Unclear, err.Error()
}
