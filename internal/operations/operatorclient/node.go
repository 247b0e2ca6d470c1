package operatorclient

import (
	"context"
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/internal/operations/runbook"
	"pepperfall.example/pepperfall/internal/operations/runbook/tend"
)

// askPerson stands in place of a command where a person restarts machines.
const askPerson = "ask"

// node makes an order about a proxy, or the one that undoes it.
func (h *Agents) node(ctx context.Context, t runbook.Task) (*runbook.Order, error) {
	o := &runbook.Order{Deed: t.Deed, Node: t.Args["proxy"], Drain: t.Deed == runbook.DeedRest}
	switch {
	case t.Undo != nil:
		o.Node, o.Drain = t.Undo.Node, !t.Undo.Drain
	case o.Drain:
		for _, name := range []string{"zone", "all"} {
			part, err := strconv.ParseFloat(t.Args[name], 64)
			if err != nil {
				return nil, errors.Errorf("%s: %q: no number", name, t.Args[name])
			}
			o.Least = append(o.Least, part)
		}
		if o.Least[0] < 0 || o.Least[1] < 0 {
			o.Least = nil // no matter what stays awake
		}
	}
	o.Says = map[bool]string{true: "rest ", false: "wake "}[o.Drain] + o.Node
	return h.orderAbout(ctx, t, o)
}

// machine notes the life that a proxy's machine is to end.
func (h *Agents) machine(ctx context.Context, t runbook.Task) (*runbook.Order, error) {
	o := &runbook.Order{Deed: t.Deed, Node: t.Args["proxy"], Command: t.Args["command"]}
	v := h.Client.Look(ctx)
	switch g := v.Proxy(o.Node); {
	case g != nil && g.Life > 0:
		o.Base = uint64(g.Life)
	case t.Deed != runbook.DeedStart || !v.Settled:
		return nil, errors.WithMessage(tend.ErrLater, o.Node+": its life is not known")
	}
	if o.Says = fmt.Sprintf("%s %s by: %s", o.Deed, o.Node, o.Command); o.Command == askPerson {
		o.Says = fmt.Sprintf("%s %s by a person", o.Deed, o.Node)
	}
	return o, nil
}

var machineAsks = map[string]string{
	runbook.DeedRestart: "%s rests. Restart it, both processes, in order (SIGTERM); yes: that has begun; no: it is woken as it is",
	runbook.DeedHalt:    "%s rests. Stop it, both processes, in order (SIGTERM); yes: that has begun; no: it is woken as it is",
	runbook.DeedStart:   "Start %s; yes: that has begun; no: the run ends, and it is told to rest still",
}

// settleMachine has something done to a machine, unless it shows already. So a command is run again only where the
// one who ran it died, and nothing of it shows yet.
func (h *Agents) settleMachine(ctx context.Context, o *runbook.Order) (tend.Outcome, string) {
	v := h.Client.Look(ctx)
	g := v.Proxy(o.Node)
	down := g == nil || !g.Alive
	switch {
	case v.Answering() == 0:
		return tend.Unclear, ErrNobody.Error()
	case o.Deed != runbook.DeedHalt && !down && uint64(max(g.Life, 0)) > o.Base:
		return tend.Done, "it has begun a new life"
	case o.Deed != runbook.DeedStart && down:
		return tend.Done, "it is down"
	case o.Command != askPerson:
		if h.Run == nil {
			return tend.Refused, "commands can't be run here"
		}
		if err := h.Run(ctx, o.Command, o.Node); err != nil {
			if ctx.Err() != nil {
				return tend.Unclear, err.Error()
			}
			return tend.Refused, err.Error()
		}
		return tend.Done, ""
	}
	agreed, _, err := h.Ask(ctx, o.Deed+"@"+o.Node, fmt.Sprintf(machineAsks[o.Deed], o.Node))
	switch {
	case err != nil:
		return tend.Alone, err.Error()
	case !agreed:
		return tend.Refused, "declined"
	}
	return tend.Done, ""
}
