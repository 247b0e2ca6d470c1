package policy

// What outcomes tell of servers. In a large fleet each gateway meets a server too seldom to judge it,
// so each server has a watcher that is told outcomes and tells all its verdicts, by class.

import (
	"math"
	"slices"
	"time"
)

func (g *Gateway) onOutcome(ev Outcome) {
	r := g.reqs[ev.ID]
	if r == nil || r.srv == nil || ev.Attempt != r.attempts-1 {
		return
	}
	s, c := r.srv, r.c
	g.advance(c)
	c.fresh = repeatTicks
	g.ended(r, ev.Code)
	g.judge(s, r, ev)
	if ev.Code == OK && ev.Actual > 0 && ev.Actual != r.units {
		c.settle(ev.Actual - r.units)
	}
	switch {
	case r.over || ev.Over || ev.Code == OK:
		g.close(r)
	case ev.Code == Moot || g.now >= r.deadline || !g.again(r, ev.Code):
		g.refuse(r)
	case !g.room(c, false) || !g.try(r):
		g.hold(r)
	}
	g.release(c)
}

// judge learns from an outcome: latency, errors, load reports.
func (g *Gateway) judge(s *server, r *request, ev Outcome) {
	g.hears(s, ev.Load)
	if ev.Code != Moot && ev.Code != Cancelled {
		g.sight(s, r.cl, ev.Code, ev.Latency)
	}
	if ev.Code == OK || ev.Code == TimedOut {
		g.strain += strainOwn * (min(1, ev.Latency.Seconds()/r.cl.Aim.Seconds()) - g.strain)
	}
	switch ev.Code {
	case OK:
		if v := g.record(s, r.cl); v != nil {
			v.okAt = g.now
		}
		base := g.stretch(s, r.load) / g.coldness(s)
		lat := ev.Latency.Seconds() / base
		s.slow += g.own * (min(lat/r.cl.mean, mostPace) - s.slow)
		g.mean += learnMean * (r.cl.mean - g.mean)
		r.cl.seen++ // the first outcomes count for more
		r.cl.mean += max(learnMean, 1/(r.cl.seen+1)) *
			(min(lat, mostLatency*r.cl.mean) - r.cl.mean)
	case Full:
		// It may turn away one plan only: this one goes elsewhere for a while.
		if s.fullAt[r.c.plan] = g.now + fullFor; g.set.Field != nil {
			s.fullAt[r.c.plan], s.fullTill = 0, g.now+fullBrief // its queue is full, for whomever
		}
		g.strain += strainOwn * (1 - g.strain)
	}
}

func (g *Gateway) sight(s *server, cl *class, code Code, latency time.Duration) {
	if cl.Name == "" {
		return // not in the settings
	}
	for i, w := range s.watchers {
		if i > 0 && (code != ConnectFailed || !g.tree) {
			break
		}
		if w == g.set.Me {
			g.gather(s, cl.no, code, latency)
			continue
		}
		ms := uint16(min(max(0, latency.Milliseconds()), math.MaxUint16))
		g.do(Tell{To: w, Data: encode(sight{uint32(s.ID), byte(cl.no), byte(code), ms})})
	}
}

// gather adds an outcome to what the fleet knows of a server. One that turns
// requests away is taken for very slow: it gets few more until it answers.
func (g *Gateway) gather(s *server, class int, code Code, latency time.Duration) {
	cl := g.classes[g.set.Classes[class].Name]
	v, mean := g.record(s, cl), cl.mean
	seen := min(latency.Seconds()/mean/g.coldness(s), mostPace)
	switch code {
	case OK:
		v.errs *= 1 - sightWeight
		if v.bad {
			v.errs, v.wait = v.errs*trialWorth, 0
		}
	case Full:
		seen = mostPace
	case ConnectFailed:
		s.fail(2 * sightWeight)
	default:
		s.fail(sightWeight / 2) // it may fail other classes too
		v.errs += sightWeight / 2 * (1 - v.errs)
		seen = max(seen, s.pace)
	}
	s.pace += paceLearn * (seen - s.pace)
	g.tell(s)
}

// tell tells all gateways what has changed of a server that this one watches, and again what still keeps it
// out of use. Each goes to every gateway, so all watchers together keep to a part of the mail.
func (g *Gateway) tell(s *server) {
	each := g.set.MailPerSecond * verdictMail / float64(max(1, len(g.fleet)))
	s.verdicts = min(verdictKeep, s.verdicts+each*(g.now-s.verdictAt).Seconds())
	s.verdictAt = g.now
	if g.set.Field != nil {
		s.verdicts = verdictKeep // they are told to none
	}
	first := s.watchers[0] == g.set.Me
	if !first || !g.tree {
		s.pace = s.slow // the second knows only what it can't reach
	}
	isBad := func(_ int, v *record) bool {
		return v.errs > sightLimit || v.bad && (!first || v.errs > sightLimit/2)
	}
	bits, news, any, until := s.masks(isBad)
	change := g.tree && max(s.pace/s.slow, s.slow/s.pace) > paceStep
	again := first && any && until-g.now < verdictLife/4
	if s.verdicts < 1 || !news && !change && !again {
		return
	}
	m := verdict{Server: uint32(s.ID), Bad: bits,
		Pace: small(16 * (4 + math.Log2(max(s.pace, leastPace))))}
	g.rule(s, m.Pace, isBad)
	if g.tree {
		s.verdicts--
		g.do(Tell{To: -1, Data: encode(m)})
	}
}

// silence looks for attempts far older than predicted: they count as failed, and what can go elsewhere is
// called back. Guards against servers that take work and answer none; harms when all slow down at once,
// within the budget.
func (g *Gateway) silence(s *server) {
	for _, r := range slices.Clone(s.oldest) {
		if r.granted && r.c.plan.Open > 0 &&
			(g.now-r.askedAt).Seconds() > leaseMeans/2*r.cl.mean {
			r.askedAt = g.now // its place is still taken
			g.do(Tell{To: r.root, Data: encode(g.askOf(r))})
		}
		age := (g.now - r.sentAt).Seconds() /
			max(g.predict(s, r.cl), leastLate*r.cl.Aim.Seconds())
		v := g.record(s, r.cl)
		patient := g.set.Field == nil || r.effect != Safe || age < lostAnswer // if others were since
		if age < overdue || r.over || r.quit || r.stream || patient && v != nil && v.okAt > r.sentAt {
			continue
		}
		r.quit = true
		g.sight(s, r.cl, TimedOut, g.now-r.sentAt)
		if g.set.CanCancel && r.effect == Safe && g.budgets[r.service] >= 1 &&
			(r.tries == 0 || r.attempts < r.tries) {
			g.do(Cancel{ID: r.id, Attempt: r.attempts - 1})
		}
	}
}

// mayTry tells whether a request may go to a server that is out of use, to see whether it is well again.
func (g *Gateway) mayTry(r *request) bool {
	return r.attempts == 0 && (r.effect != Unsafe || g.set.Field != nil)
}
