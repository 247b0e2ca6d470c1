package operatorclient

import (
	"pepperfall.example/pepperfall/internal/operations/runbook"
)

// Facts are what a runbook can ask of a view. What the replicas that answer don't
// tell is left out: a runbook then waits or stops, and does not guess.
func Facts(v *View) runbook.Facts {
	f := runbook.Facts{"replicas.answering": float64(v.Answering()), "settled": v.Settled}
	if v.Answering() == 0 {
		return f // the rest is not known
	}
	num := func(name string, n int) { f[name] = float64(n) }
	eligible, failing, behind := 0, 0, 0
	confirmed := map[string]bool{}
	newest := number(v.Held().Gen)
	for _, b := range v.Replicas {
		name := "replica." + b.Name
		f[name+".answers"] = b.Answers
		heard := b.Answers || len(b.SeenBy) > 0
		if heard {
			f[name+".eligible"] = b.Eligible
			f[name+".held"] = float64(number(b.Held.Gen))
			f[name+".behind"] = number(b.Held.Gen) < newest
		}
		if heard && b.Voter && b.Eligible {
			eligible++
		}
		if b.Answers {
			f[name+".failing"] = b.Disk != ""
			confirmed[b.Confirmed.Gen+b.Confirmed.Digest] = true
			if b.Disk != "" {
				failing++
			}
			if number(b.Held.Gen) < newest {
				behind++
			}
		}
	}
	num("replicas.known", len(v.Replicas))
	num("replicas.voters", v.Voters)
	num("replicas.majority", v.Majority)
	num("replicas.eligible", eligible)
	num("replicas.failing", failing)
	num("replicas.behind", behind)
	f["replicas.differ"] = len(confirmed) > 1
	proxies(v, f)
	zones(v, f)
	age(v, f)
	if c := v.Config; c != nil {
		config(v, c, f)
	}
	return f
}

func proxies(v *View, f runbook.Facts) {
	alive, ready, lagging, awake, resting := 0, 0, 0, 0, 0
	for _, g := range v.Proxies {
		name := "proxy." + g.Name
		f[name+".alive"], f[name+".ready"], f[name+".lagging"] = g.Alive, g.Ready, g.Lags != ""
		f[name+".to_rest"], f[name+".rests"] = g.ToRest, g.Rests
		if g.Life > 0 {
			f[name+".life"] = float64(g.Life)
		}
		if g.Figures != nil {
			f[name+".requests"], f[name+".clients"] = float64(g.Figures.Open), float64(g.Figures.Clients)
		}
		awake, resting = awake+one(g.Awake()), resting+one(g.ToRest)
		f[name+".version"] = float64(number(g.Gen))
		alive, ready, lagging = alive+one(g.Alive), ready+one(g.Ready), lagging+one(g.Lags != "")
	}
	f["proxies.known"], f["proxies.alive"], f["proxies.ready"], f["proxies.lagging"] = float64(len(v.Proxies)), float64(alive), float64(ready), float64(lagging)
	f["proxies.awake"], f["proxies.resting"] = float64(awake), float64(resting)
	if len(v.Proxies) > 0 {
		f["proxies.ready_share"] = float64(ready) / float64(len(v.Proxies))
		f["proxies.awake_share"] = float64(awake) / float64(len(v.Proxies))
	}
	answers(v, f)
}

// answers are known once all proxies that take clients tell theirs.
func answers(v *View, f runbook.Facts) {
	var refused, failed, all, refusedPerS, failedPerS float64
	for _, g := range v.Proxies {
		n := g.Figures
		if n == nil || n.SpanMS <= 0 {
			if g.Ready {
				return
			}
			continue
		}
		refused, failed, all = refused+float64(n.Refused), failed+float64(n.Failed), all+float64(n.Refused)+float64(n.Failed)+float64(n.Served)
		refusedPerS += float64(n.Refused) * 1000 / float64(n.SpanMS)
		failedPerS += float64(n.Failed) * 1000 / float64(n.SpanMS)
	}
	f["proxies.refused_per_s"], f["proxies.failed_per_s"] = refusedPerS, failedPerS
	f["proxies.refused_share"], f["proxies.failed_share"] = refused/max(all, 1), failed/max(all, 1)
}

func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func zones(v *View, f runbook.Facts) {
	drained, open, all, cold := 0, 0, 0, 0
	for _, z := range v.Zones {
		name := "zone." + z.Name
		is := z.Order.Drained && z.Order.Confirmed
		f[name+".drained"] = is
		f[name+".replicas"], f[name+".answering"] = float64(z.Replicas), float64(z.Answering)
		f[name+".proxies"], f[name+".ready"] = float64(z.Proxies), float64(z.Ready)
		f[name+".awake"] = float64(z.Awake)
		cold += z.Servers.Cold
		f[name+".servers"] = float64(z.Servers.Ready + z.Servers.Cold)
		drained, all = drained+one(is), all+z.Servers.Ready
		if !is {
			open += z.Servers.Ready
		}
	}
	f["servers.cold"] = float64(cold)
	f["zones.drained"], f["servers.ready"], f["servers.open"] = float64(drained), float64(all), float64(open)
}

// age tells of the newest statement and list.
func age(v *View, f runbook.Facts) {
	least := func(name string, ms int64) {
		if s := float64(ms) / 1000; ms >= 0 {
			if old, ok := f[name].(float64); !ok || s < old {
				f[name] = s
			}
		}
	}
	for _, l := range v.Looks {
		if l.Status != nil {
			least("config.age_s", l.Status.FreshMS)
			least("list.age_s", l.Status.List.HeardMS)
		}
	}
}

func config(v *View, c *Summary, f runbook.Facts) {
	f["config.version"] = float64(number(c.Gen))
	f["config.everywhere"] = len(Behind(v, number(c.Gen))) == 0
	for _, s := range c.Services {
		f["service."+s.Name+".routes"], f["service."+s.Name+".share"] = float64(s.Routes), s.Share
	}
	for _, t := range c.Tenants {
		f["tenant."+t.Name+".rate"], f["tenant."+t.Name+".keys"] = t.RatePerS, float64(len(t.Prints))
		for _, p := range t.Prints {
			f["key."+p+".held"] = true
		}
	}
}
