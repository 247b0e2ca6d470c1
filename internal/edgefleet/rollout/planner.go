package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Planner keeps a fleet's instances up and rolls changes through them.
type Planner struct {
	cfg  Config
	rnd  func() float64 // in [0, 1)
	list []*instance
	good string // the generation that new starts get
	want bool   // instances are to be up
	stop bool   // an order to stop is not yet carried out
	roll *roll
	now  time.Duration
	acts []Action
}

type instance struct {
	Status
	answered time.Duration // when it last answered a look at its health
	serving  time.Duration // when it last became ready
	row      int           // deaths since it was last stable
	recent   []time.Duration
	killed   bool // a kill is under way
	asked    bool // its stop was asked for
}

// New makes a planner for the instances named; none runs. rnd spreads backoffs.
func New(cfg Config, names []string, rnd func() float64) *Planner {
	p := &Planner{cfg: cfg, rnd: rnd}
	for _, n := range names {
		p.list = append(p.list, &instance{Status: Status{Name: n}})
	}
	return p
}

// Handle takes in what has happened at a time, which never goes back, and
// returns what is to be done, in order. Tick is due at Next at the latest.
func (p *Planner) Handle(now time.Duration, ev Event) []Action {
	p.now, p.acts = now, nil
	switch ev := ev.(type) {
	case Order:
		p.order(ev)
	case Found:
		if i := p.find(ev.Name); i != nil && i.Phase == Down {
			i.Generation, i.answered = ev.Generation, now
			p.become(i, Starting)
		}
	case Died:
		if i := p.find(ev.Name); i != nil {
			p.died(i, ev.Why)
		}
	case Health:
		if i := p.find(ev.Name); i != nil {
			p.health(i, ev)
		}
	}
	p.watch()
	p.step()
	return p.acts
}

// Next returns when the planner wants a Tick at the latest.
func (p *Planner) Next() (at time.Duration, ok bool) {
	sooner := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, i := range p.list {
		switch i.Phase {
		case Starting:
			sooner(i.Since + p.cfg.ReadyWithin)
		case Serving:
			sooner(i.answered + p.cfg.HungAfter)
		case Stopping:
			sooner(i.Since + p.cfg.StopWithin)
		case Waiting, Resting:
			sooner(i.Wake)
		}
	}
	if p.roll != nil {
		sooner(p.roll.limit)
	}
	return at, ok
}

// Status returns what is known of all instances, in the order of their names
// as given to New.
func (p *Planner) Status() (list []Status) {
	for _, i := range p.list {
		list = append(list, i.Status)
	}
	return list
}

// Rolling tells whether a roll is on, and of what kind.
func (p *Planner) Rolling() (kind Kind, on bool) {
	if p.roll == nil {
		return 0, false
	}
	return p.roll.kind, true
}

// Generation returns what new starts get.
func (p *Planner) Generation() string { return p.good }

func (p *Planner) do(a Action) { p.acts = append(p.acts, a) }

func (p *Planner) say(format string, args ...any) { p.do(Say{fmt.Sprintf(format, args...)}) }

func (p *Planner) find(name string) *instance {
	for _, i := range p.list {
		if i.Name == name {
			return i
		}
	}
	return nil
}

func (p *Planner) become(i *instance, ph Phase) {
	i.Phase, i.Since = ph, p.now
	if ph == Serving {
		i.serving = p.now
	}
	if ph == Starting || ph == Serving {
		i.killed, i.asked = false, false
	}
}

func (p *Planner) order(o Order) {
	refuse := func(why string) {
		p.do(Ended{Kind: o.Kind, Why: why, Generation: p.good})
	}
	switch {
	case o.Kind == Stop:
		p.cancelRoll("the fleet is stopped")
		p.want, p.stop = false, true
		for _, i := range p.list {
			switch i.Phase {
			case Starting, Serving:
				p.terminate(i)
			case Waiting, Resting:
				p.become(i, Down)
			}
		}
	case p.stop:
		refuse("the fleet is being stopped")
	case p.roll != nil:
		refuse(fmt.Sprintf("a %v is on", p.roll.kind))
	case o.Kind == Start:
		p.want, p.good = true, o.Generation
		for _, i := range p.list {
			if i.Phase == Down {
				p.launch(i, o.Generation)
			}
		}
		p.do(Ended{Kind: Start, OK: true, Generation: p.good})
	case !p.want:
		refuse("the fleet is stopped")
	default:
		p.begin(o)
	}
}

func (p *Planner) launch(i *instance, generation string) {
	i.Generation, i.answered = generation, p.now
	p.become(i, Starting)
	p.do(Launch{i.Name, generation})
}

func (p *Planner) terminate(i *instance) {
	p.become(i, Stopping)
	i.asked = true
	p.do(Terminate{i.Name})
}

func (p *Planner) kill(i *instance, why string) {
	if !i.killed {
		i.killed = true
		p.do(Kill{i.Name, why})
	}
}

// died takes in an instance's end: one that was asked for, or a death.
func (p *Planner) died(i *instance, why string) {
	if i.Phase == Down || i.Phase == Waiting || i.Phase == Resting {
		return
	}
	asked := i.Phase == Stopping && i.asked
	i.killed = false
	switch {
	case !p.want:
		p.become(i, Down)
	case asked && p.roll != nil && p.roll.turn(i):
		p.launch(i, p.roll.target())
	case asked:
		p.launch(i, i.Generation) // its roll was given up meanwhile
	default:
		p.death(i, why)
		if p.roll != nil && p.roll.turn(i) {
			p.failed(fmt.Sprintf("%s died in its turn: %s", i.Name, why))
		}
	}
}

// death plans the next start after an end that was not asked for.
func (p *Planner) death(i *instance, why string) {
	if i.Phase == Serving && p.now-i.serving >= p.cfg.StableAfter {
		i.row, i.recent = 0, nil
	}
	i.Deaths++
	i.LastDeath = why
	i.row++
	i.recent = append(i.recent, p.now)
	i.recent = slices.DeleteFunc(i.recent, func(t time.Duration) bool { return p.now-t > p.cfg.CrashSpan })
	if len(i.recent) >= p.cfg.CrashLimit {
		i.recent = nil
		i.Wake = p.now + p.cfg.CrashRest
		p.become(i, Resting)
		p.say("%s died %d times within %v; it rests for %v: %s", i.Name, p.cfg.CrashLimit, p.cfg.CrashSpan, p.cfg.CrashRest, why)
		return
	}
	wait := p.cfg.BackoffMost
	if n := i.row - 1; n < 30 && p.cfg.BackoffLeast<<n < wait {
		wait = p.cfg.BackoffLeast << n
	}
	wait += time.Duration((2*p.rnd() - 1) * p.cfg.Jitter * float64(wait))
	i.Wake = p.now + wait
	p.become(i, Waiting)
	p.say("%s died (%s); it starts again in %v", i.Name, why, wait.Round(time.Millisecond))
}

func (p *Planner) health(i *instance, h Health) {
	if !h.Answers {
		return
	}
	i.answered = p.now
	// Whoever answers at the address under another generation is somebody else,
	// unless the instance was found running.
	if i.Phase == Starting && h.Ready && h.Generation != "" && (i.Generation == "" || i.Generation == h.Generation) {
		i.Generation = h.Generation
		p.become(i, Serving)
		p.say("%s serves under generation %s", i.Name, h.Generation)
	}
	if i.Phase == Serving && h.Ready && h.Generation != "" {
		i.Generation = h.Generation
	}
	if p.roll != nil && p.roll.turn(i) {
		p.heard(i, h)
	}
}

// watch finds what is overdue.
func (p *Planner) watch() {
	for _, i := range p.list {
		switch {
		case i.Phase == Starting && p.now-i.Since >= p.cfg.ReadyWithin:
			p.kill(i, fmt.Sprintf("not ready within %v", p.cfg.ReadyWithin))
		case i.Phase == Serving && p.now-i.answered >= p.cfg.HungAfter:
			p.kill(i, fmt.Sprintf("no health answer for %v", p.cfg.HungAfter))
		case i.Phase == Stopping && p.now-i.Since >= p.cfg.StopWithin:
			p.kill(i, fmt.Sprintf("not stopped within %v", p.cfg.StopWithin))
		case (i.Phase == Waiting || i.Phase == Resting) && p.want && p.now >= i.Wake:
			p.launch(i, p.wanted(i))
		}
	}
	if p.stop && !slices.ContainsFunc(p.list, func(i *instance) bool { return i.Phase != Down }) {
		p.stop = false
		p.do(Ended{Kind: Stop, OK: true, Generation: p.good})
	}
}

// wanted is the generation that a start now should have: that of the roll for
// instances that the roll has changed, else the good one.
func (p *Planner) wanted(i *instance) string {
	if r := p.roll; r != nil && !r.back && slices.Contains(r.changed, i) {
		return r.generation
	}
	return p.good
}
