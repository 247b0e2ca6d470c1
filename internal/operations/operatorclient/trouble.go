package operatorclient

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"pepperfall.example/pepperfall/api"
)

// Ages from which on something is told as trouble.
const (
	skewMost  = 2 * time.Second
	freshMost = 3 * time.Second
	listMost  = 10 * time.Second
)

// sound refuses an answer that no replica gives, and cleans its texts.
func sound(s *api.Status) error {
	if s.Replica == "" || s.At.IsZero() {
		return errors.New("an answer that no replica gives: it has no name or no time")
	}
	if len(s.Proxies) > api.MostProxies || len(s.Replicas) > api.MostProxies || len(s.Zones) > api.MostProxies || len(s.Nodes) > 2*api.MostProxies || len(s.List.Servers) > api.MostProxies {
		return errors.New("an answer that no replica gives: it is too long")
	}
	texts := []*string{&s.Replica, &s.Zone, &s.Region, &s.Disk, &s.List.By, &s.Held.Gen, &s.Held.Digest, &s.Confirmed.Gen, &s.Confirmed.Digest}
	for i := range s.Replicas {
		b := &s.Replicas[i]
		texts = append(texts, &b.Name, &b.Zone, &b.Ctl, &b.Held.Gen, &b.Held.Digest)
	}
	for i := range s.Proxies {
		g := &s.Proxies[i]
		texts = append(texts, &g.Name, &g.Zone, &g.Region, &g.Front, &g.Gen, &g.Lags)
	}
	for i := range s.Versions {
		texts = append(texts, &s.Versions[i].Gen)
		for j := range s.Versions[i].Lag {
			texts = append(texts, &s.Versions[i].Lag[j])
		}
	}
	for i := range s.Zones {
		texts = append(texts, &s.Zones[i].Zone, &s.Zones[i].By)
	}
	for i := range s.Nodes {
		texts = append(texts, &s.Nodes[i].Node, &s.Nodes[i].By)
	}
	texts = append(texts, &s.Lock.Who)
	for i := range s.List.Servers {
		texts = append(texts, &s.List.Servers[i].Zone)
	}
	for i := range s.Duties {
		texts = append(texts, &s.Duties[i].Name, &s.Duties[i].Holder, &s.Duties[i].Next)
	}
	for _, t := range texts {
		*t = clean(*t)
	}
	return nil
}

// troubles says in sentences what is out of order.
func (v *View) troubles() (all []string) {
	say := func(format string, a ...any) { all = append(all, fmt.Sprintf(format, a...)) }
	answering := v.Answering()
	switch {
	case answering == 0:
		say("no replica answers: nothing below is known")
		return all
	case !v.Settled:
		say("control has no majority of its voters (%d of %d needed): no order can be given", v.Majority, v.Voters)
	}
	holders, confirmed := map[string]bool{}, map[string]bool{}
	for _, l := range v.Looks {
		s := l.Status
		if s == nil {
			say("%s does not answer: %s", l.Addr, l.Err)
			continue
		}
		if skew := time.Duration(l.SkewMS) * time.Millisecond; skew.Abs() > skewMost+time.Duration(l.TookMS)*time.Millisecond {
			say("%s: its clock is off by %v against this machine's", s.Replica, skew)
		}
		if s.FreshMS < 0 && s.Held.Gen != "" || s.FreshMS > freshMost.Milliseconds() {
			say("%s: no majority has confirmed what it holds for %d ms", s.Replica, s.FreshMS)
		}
		if s.List.HeardMS < 0 || s.List.HeardMS > listMost.Milliseconds() {
			say("%s: no list of servers for %d ms", s.Replica, s.List.HeardMS)
		}
		if s.LeftOut > 0 {
			say("%s: %d proxies left out of its answer", s.Replica, s.LeftOut)
		}
		for _, d := range s.Duties {
			holders[d.Holder] = true
		}
		confirmed[s.Confirmed.Gen+s.Confirmed.Digest] = true
	}
	if len(confirmed) > 1 {
		say("replicas differ in the version confirmed: one is being put in force, or some are cut off")
	}
	if len(holders) > 1 {
		say("replicas differ in who has the list's duty: some are cut off from others")
	}
	for _, b := range v.Replicas {
		if b.Disk != "" {
			say("%s: its disk fails: %s", b.Name, b.Disk)
		}
		if b.Voter && !b.Eligible && (b.Answers || len(b.SeenBy) > 0) {
			say("%s: does not vote: it is new, was replaced, or is catching up", b.Name)
		}
	}
	for _, g := range v.Proxies {
		if g.Lags != "" {
			say("proxy %s lags: %s", g.Name, g.Lags)
		}
	}
	for _, o := range v.Nodes {
		switch {
		case !o.Confirmed:
			say("proxy %s: an order (rests: %v) that no majority holds", o.Node, o.Rests)
		case o.Rests:
			say("proxy %s is to rest, by order %d: it takes no new clients until it is woken", o.Node, o.Count)
		}
	}
	for _, z := range v.Zones {
		if z.Order.Count > 0 && !z.Order.Confirmed {
			say("zone %s: an order (drained: %v) that no majority holds", z.Name, z.Order.Drained)
		}
	}
	return all
}
