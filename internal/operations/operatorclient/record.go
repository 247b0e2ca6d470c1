package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
	"pepperfall.example/pepperfall/internal/operations/runbook"
	"pepperfall.example/pepperfall/internal/operations/runbook/tend"
)

// Record replays one or several views written by `status --json`, one for each second. It stands for the replicas in a dry
// run: nothing is sent, and the effect of an order shows in the views from then on.
type Record struct {
	Views  []*View
	Tell   func(string)
	Answer bool // to each question
	clock  time.Time
	began  time.Time
	zones  map[string]bool
	rests  map[string]bool  // by proxy
	lives  map[string]int64 // by proxy: new ones
	halted map[string]bool  // by proxy
	edits  []func(*Summary)
}

// ReadRecord reads a view, or an array of them.
func ReadRecord(text []byte) (*Record, error) {
	r := &Record{zones: map[string]bool{}, rests: map[string]bool{}, lives: map[string]int64{}, halted: map[string]bool{}, Tell: func(string) {}}
	var err error
	if text = bytes.TrimSpace(text); bytes.HasPrefix(text, []byte("[")) {
		err = json.Unmarshal(text, &r.Views)
	} else {
		r.Views = []*View{{}}
		err = json.Unmarshal(text, r.Views[0])
	}
	if err != nil {
		return nil, errors.Wrap(err, "no record of `status --json`")
	}
	if len(r.Views) == 0 || slices.Contains(r.Views, nil) || r.Views[0].At.IsZero() {
		return nil, errors.New("no record of `status --json`: no view in it, or one without a time")
	}
	r.clock = r.Views[0].At
	r.began = r.clock
	return r, nil
}

// Now returns the simulated time.
func (r *Record) Now() time.Time { return r.clock }

// Sleep lets simulated time pass.
func (r *Record) Sleep(ctx context.Context, d time.Duration) bool {
	r.clock = r.clock.Add(d)
	return ctx.Err() == nil
}

// Append discards the entry.
func (r *Record) Append(*runbook.Entry) error { return nil }

// Look returns the facts of the current view, with the effects of orders.
func (r *Record) Look(context.Context) runbook.Facts {
	v := *r.Views[min(int(r.clock.Sub(r.began)/time.Second), len(r.Views)-1)]
	v.Zones = slices.Clone(v.Zones)
	for i := range v.Zones {
		if drained, ok := r.zones[v.Zones[i].Name]; ok {
			v.Zones[i].Order.Drained, v.Zones[i].Order.Confirmed = drained, true
		}
	}
	v.Proxies = slices.Clone(v.Proxies)
	for i := range v.Proxies {
		g := &v.Proxies[i]
		if rests, told := r.rests[g.Name]; told {
			well := g.Ready || g.Rests
			if g.ToRest, g.Rests, g.Ready = rests, rests && well, !rests && well; rests && g.Figures != nil {
				g.Figures = &api.Figures{SpanMS: g.Figures.SpanMS}
			}
		}
		g.Life += r.lives[g.Name]
		g.Alive = g.Alive && !r.halted[g.Name]
	}
	if v.Config != nil {
		c := *v.Config
		c.Services, c.Tenants = slices.Clone(c.Services), slices.Clone(c.Tenants)
		for _, edit := range r.edits {
			edit(&c)
			c.Gen = fmt.Sprintf("r%d", number(c.Gen)+1)
		}
		v.Config = &c
		for i := range v.Proxies {
			if len(r.edits) > 0 && v.Proxies[i].Ready {
				v.Proxies[i].Gen = c.Gen
			}
		}
	}
	return Facts(&v)
}

// Prepare makes the order that would be given.
func (r *Record) Prepare(_ context.Context, t runbook.Task) (*runbook.Order, error) {
	o := &runbook.Order{Deed: t.Deed, Zone: t.Args["zone"], Drain: t.Deed == "evacuate", Says: fmt.Sprint(t.Deed, " ", t.Args)}
	if t.Undo != nil {
		o.Zone, o.Drain, o.Says = t.Undo.Zone, !t.Undo.Drain, "what undoes "+t.Undo.Says
	}
	if proxy := t.Args["proxy"]; proxy != "" || t.Undo != nil && t.Undo.Node != "" {
		o.Node, o.Zone, o.Drain = proxy, "", t.Deed == runbook.DeedRest
		if t.Undo != nil {
			o.Node, o.Drain = t.Undo.Node, !t.Undo.Drain
		}
		for _, g := range r.Views[0].Proxies {
			if g.Name == o.Node && runbook.OnMachine(t.Deed) {
				o.Base = uint64(g.Life)
			}
		}
	}
	if o.Zone == "" && o.Node == "" {
		o.Body, _ = json.Marshal(t)
	}
	return o, nil
}

// Settle reports the order and records its effect; nothing is sent.
func (r *Record) Settle(_ context.Context, o *runbook.Order) (tend.Outcome, string) {
	r.Tell("would order: " + o.Says)
	switch {
	case runbook.OnMachine(o.Deed):
		r.lives[o.Node] = int64(time.Second)
		r.halted[o.Node] = o.Deed == runbook.DeedHalt
		return tend.Done, "dry run"
	case o.Node != "":
		r.rests[o.Node] = o.Drain
		return tend.Done, "dry run"
	case o.Zone != "":
		r.zones[o.Zone] = o.Drain
		return tend.Done, "dry run"
	}
	var t runbook.Task
	if err := json.Unmarshal(o.Body, &t); err != nil || t.Undo != nil {
		if n := len(r.edits); n > 0 {
			r.edits = r.edits[:n-1]
		}
		return tend.Done, "dry run"
	}
	r.edits = append(r.edits, func(c *Summary) {
		for i := range c.Services {
			if s := &c.Services[i]; t.Deed == "leave_service" && s.Name == t.Args["service"] {
				s.Routes, s.Share = 0, 0
			}
		}
		for i := range c.Tenants {
			x := &c.Tenants[i]
			if t.Deed == "limit_tenant" && x.Name == t.Args["tenant"] {
				_, _ = fmt.Sscan(t.Args["rate"], &x.RatePerS)
			}
			if t.Deed == "drop_key" {
				x.Prints = slices.DeleteFunc(slices.Clone(x.Prints), func(p string) bool { return p == t.Args["print"] })
			}
		}
	})
	return tend.Done, "dry run"
}

// Ask reports the question and returns the preset answer.
func (r *Record) Ask(_ context.Context, step, question string) (bool, string, error) {
	r.Tell(fmt.Sprintf("would ask at %s: %s (taken: %v)", step, question, r.Answer))
	return r.Answer, "dry run", nil
}
