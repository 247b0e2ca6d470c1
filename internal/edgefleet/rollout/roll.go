package rollout

import (
	"fmt"
	"slices"
	"time"
)

// roll takes one change through the instances, one at a time. When it fails,
// the instances that it has changed go back, again one at a time.
type roll struct {
	kind       Kind
	generation string // that it brings
	old        string // that was in force before
	todo       []*instance
	changed    []*instance
	now        *instance // whose turn it is; nil: nobody's
	stage      stage
	limit      time.Duration // of the stage
	excused    []*instance   // were down when the roll began
	back       bool          // it has failed and goes back
	why        string
}

type stage int

const (
	others stage = iota // waits until the other instances serve
	taking              // waits until the one whose turn it is serves under the generation
	pausing
)

func (r *roll) turn(i *instance) bool { return r.now == i && r.stage == taking }

func (r *roll) target() string {
	if r.back {
		return r.old
	}
	return r.generation
}

// begin starts a roll.
func (p *Planner) begin(o Order) {
	r := &roll{kind: o.Kind, generation: o.Generation, old: p.good, todo: slices.Clone(p.list)}
	for _, i := range p.list {
		if i.Phase != Serving {
			r.excused = append(r.excused, i)
		}
	}
	p.roll = r
	p.say("%v to generation %s begins, over %d instances", r.kind, r.generation, len(r.todo))
	p.next()
}

// next gives the turn to the next instance, or ends the roll.
func (p *Planner) next() {
	r := p.roll
	if len(r.todo) == 0 {
		p.roll = nil
		if r.back {
			p.do(Ended{Kind: r.kind, Why: r.why, Generation: r.old})
			return
		}
		p.good = r.generation
		p.do(Ended{Kind: r.kind, OK: true, Generation: p.good})
		return
	}
	r.now, r.todo = r.todo[0], r.todo[1:]
	r.stage, r.limit = others, p.now+p.cfg.ReadyWithin
}

// step moves the roll on as far as it goes.
func (p *Planner) step() {
	for p.roll != nil {
		r := p.roll
		switch r.stage {
		case others:
			if missing := p.missing(); missing != nil && !r.back {
				if p.now >= r.limit {
					p.failed(fmt.Sprintf("%s is %v and does not serve", missing.Name, missing.Phase))
					continue
				}
				return
			}
			p.take()
		case taking:
			if p.now < r.limit {
				return
			}
			if !r.back {
				p.failed(fmt.Sprintf("%s does not serve under generation %s", r.now.Name, r.target()))
				continue
			}
			p.say("%s is not back under generation %s yet; the roll goes on without it", r.now.Name, r.old)
			p.next()
			continue
		case pausing:
			if p.now < r.limit {
				return
			}
			p.next()
			continue
		}
		return
	}
}

// missing is an instance that should serve while another is changed.
func (p *Planner) missing() *instance {
	for _, i := range p.list {
		if i != p.roll.now && i.Phase != Serving && !slices.Contains(p.roll.excused, i) {
			return i
		}
	}
	return nil
}

// take changes the instance whose turn it is.
func (p *Planner) take() {
	r := p.roll
	i := r.now
	r.stage, r.limit = taking, p.now+p.cfg.ReadyWithin
	if !r.back {
		r.changed = append(r.changed, i)
	}
	i.row, i.recent = 0, nil
	switch {
	case i.Phase == Down, i.Phase == Waiting, i.Phase == Resting:
		p.launch(i, r.target())
	case i.Phase == Serving && r.kind == Reload:
		p.do(Offer{i.Name, r.target()})
	case i.Phase == Stopping: // it ends already, and starts under the target then
		i.asked = true
		r.limit += p.cfg.StopWithin
	default:
		p.terminate(i)
		r.limit += p.cfg.StopWithin
	}
}

// heard takes in the health of the instance whose turn it is.
func (p *Planner) heard(i *instance, h Health) {
	r := p.roll
	switch {
	case i.Phase == Serving && h.Ready && h.Generation == r.target():
		r.stage, r.limit = pausing, p.now+p.cfg.Pause
	case h.Refused == r.target() && !r.back && r.kind == Reload:
		p.failed(fmt.Sprintf("%s turned generation %s down", i.Name, r.target()))
	}
}

// failed turns the roll round: what it has changed goes back to the generation
// before.
func (p *Planner) failed(why string) {
	r := p.roll
	if r.back {
		// One that dies on its way back is started again like any other.
		p.say("going back: %s", why)
		p.next()
		return
	}
	r.back, r.why = true, why
	r.todo = slices.Clone(r.changed)
	slices.Reverse(r.todo)
	p.say("%v to generation %s failed: %s; %d instances go back to %s", r.kind, r.generation, why, len(r.todo), r.old)
	p.next()
}

// cancelRoll gives a roll up where it stands.
func (p *Planner) cancelRoll(why string) {
	if r := p.roll; r != nil {
		p.roll = nil
		p.do(Ended{Kind: r.kind, Why: why, Generation: p.good})
	}
}
