package audit

import (
	"fmt"
	"time"
)

type sent struct {
	Sent
	at     time.Duration
	notRun bool
	over   bool
}

type effect struct {
	request string
	server  string
	at      time.Duration
}

type statement struct {
	state   State
	at      time.Duration // since when the server is not to be sent to
	started bool
}

func (j *Judge) attempt(id, server string) *sent {
	r := j.requests[id]
	if r == nil {
		return nil
	}
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if a := r.attempts[i]; a.Server == server && !a.over {
			return a
		}
	}
	return nil
}

func (j *Judge) sent(ev Sent) {
	r := j.request(ev.Request)
	if ev.Node == "" && r.asked != nil {
		ev.Node = r.asked.Node
	}
	a := &sent{Sent: ev, at: j.now}
	b := Break{Rule: NoDoubleEffect, Request: ev.Request, Server: ev.Server, Node: ev.Node}
	for _, e := range r.attempts {
		if !e.over && !ev.Crossed {
			b.Why = "a second attempt while one is out at " + e.Server
			j.fault(b)
		}
	}
	if r.over && !r.excused && r.asked != nil && !ev.Crossed {
		b.Why = "an attempt after the final answer"
		j.fault(b)
	}
	j.repeat(r, a)
	r.attempts = append(r.attempts, a)
	j.charge(r)
	if w := j.told[[2]string{ev.Node, ev.Server}]; w.state != Serving {
		if since := j.now - ev.Began - w.at; since > j.rules.DrainGrace+j.rules.Slack {
			j.fault(Break{Rule: DrainKept, Request: ev.Request, Server: ev.Server, Node: ev.Node, Why: fmt.Sprintf(
				"sent %.3f s after the roster said that it drains or is gone", since.Seconds())})
		}
	}
	j.load(a)
}

// repeat judges a further attempt after one that may have run.
func (j *Judge) repeat(r *request, a *sent) {
	if r.asked == nil {
		return
	}
	c := j.rules.Classes[r.asked.Class]
	effect := j.effect(r, c)
	for _, e := range r.attempts {
		if e.notRun || effect == Safe {
			continue
		}
		b := Break{Rule: NoDoubleEffect, Request: r.id, Server: a.Server, Node: a.Node}
		age := j.now - e.at
		switch {
		case effect == Unsafe:
			b.Why = "sent again after it may have run at " + e.Server
		case c.Racked && j.racks[e.Server] != j.racks[a.Server]:
			b.Why = fmt.Sprintf("sent to rack %s after it may have run in rack %s", j.racks[a.Server], j.racks[e.Server])
		case age > c.Window+j.rules.Slack:
			b.Why = fmt.Sprintf("sent %.3f s after it may have run; the rack remembers it for %.3f s", age.Seconds(), c.Window.Seconds())
		default:
			continue
		}
		j.fault(b)
		return
	}
}

func (j *Judge) ran(ev Ran) {
	if ev.Key == "" {
		return
	}
	if r := j.requests[ev.Request]; r != nil && r.asked != nil && j.effect(r, j.rules.Classes[r.asked.Class]) == Safe {
		return // what is safe to repeat has no effect to double, whatever key its client sent
	}
	if e, twice := j.keys[ev.Key]; twice {
		j.fault(Break{Rule: NoDoubleEffect, Request: ev.Request, Server: ev.Server, Why: fmt.Sprintf(
			"key %s took effect again; first at %.3f s at %s as request %s", ev.Key, e.at.Seconds(), e.server, e.request)})
		return
	}
	j.keys[ev.Key] = effect{ev.Request, ev.Server, j.now}
}

func (j *Judge) hear(ev Told) {
	pair := [2]string{ev.Node, ev.Server}
	w := j.told[pair]
	if w.state == Serving && ev.State != Serving {
		w.at = j.now
	}
	w.state, w.started = ev.State, ev.Started
	j.told[pair] = w
}
