package serverhealth

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Conditions under which a server returns to use.
const (
	calm       = 5 * time.Second  // without evidence against a doubtful server, before it is fit
	doubtWait  = time.Second      // before trials of a doubtful server, whose outcomes allow a verdict
	firstWait  = 5 * time.Second  // before the first trials; doubled by each relapse
	mostWait   = 5 * time.Minute  // limit of that delay
	trialFor   = 30 * time.Second // after which trials with any weight against the server have failed
	trialNeed  = 5.0              // weight of confirmed trials that ends them, ...
	trialGroup = 3.0              // ... counting at most this much of one group, ...
	trialTimes = 8.0              // ... and at least this much for each unclear one
	trialFail  = 1.5              // weight of unclear trials, counting at most 1 of one group, that is a relapse
	absolved   = 10 * time.Minute // each such time as fit removes one relapse; such a time of trials without any outcome ends a verdict
	mostRelaps = 6
	round      = time.Second // duration of a round of trials
)

// Reasons given for levels.
const (
	whyUnclear = "too many unclear outcomes of requests that may run once"
	whyFails   = "too many failures of requests that may run again"
	whyRelapse = "its trials failed"
	whyTrials  = "its trials went well"
	whySilent  = "nothing was heard of it for long"
	whyFew     = "some unclear outcomes"
)

// never is earlier than all bins. Bins of a proxy that has run longer than the replica have negative times.
const never = time.Duration(math.MinInt64)

// serverState is an evaluator's state of one server.
type record struct {
	level    Level
	why      string
	since    time.Duration // start of the level
	trial    time.Duration // start of trials; 0 if there are none
	good     time.Duration // start of the time without evidence against the server
	last     reading
	relapses int
	returned time.Duration // time of the last return to use, or never; earlier evidence is ignored
}

func (s *record) to(now time.Duration, l Level, why string) {
	if s.level != l {
		s.since = now
	}
	s.level, s.why, s.trial, s.good = l, why, 0, now
}

func (s *record) wait() time.Duration { return min(mostWait, firstWait<<s.relapses) }

// Evaluate computes verdicts on the given servers from all reports. The caller sets By and Stamp.
func (f *Floor) Step(now time.Duration, servers []Server) *Verdicts {
	f.now, f.servers = max(f.now, now), servers
	f.forget()
	f.settled = f.watermark()
	if f.base[Search] == nil || f.now-f.baseAt >= usualEvery {
		f.lookAround()
	}
	list := []Verdict{}
	for _, sv := range servers {
		s := f.records[sv.ID]
		if s == nil {
			s = &record{good: f.now, since: f.now, returned: never}
			f.records[sv.ID] = s
		}
		f.judge(sv.ID, s)
		if s.level == Fit && s.relapses == 0 {
			continue
		}
		list = append(list, Verdict{Server: sv.ID, Service: sv.Service, Level: s.level, Why: s.why, Age: f.now - s.since,
			Share: s.last.share, Number: s.last.number, For: s.last.for_, Against: s.last.against, Relapses: s.relapses,
			Trial: s.trial > 0, Round: uint32(f.now / round)})
	}
	slices.SortFunc(list, func(a, b Verdict) int { return strings.Compare(a.Server, b.Server) })
	if f.fault == "no bound" {
		return &Verdicts{List: list}
	}
	return &Verdicts{List: Bound(servers, list)}
}

// updateBaselines recomputes the baselines of both kinds.
func (f *Floor) lookAround() {
	f.base, f.baseAt = [kinds]*baseline{f.baseline(Search, f.settled), f.baseline(Record, f.settled)}, f.now
}

// evaluateComplete evaluates a server's evidence up to the time to which all active proxies have reported.
func (f *Floor) readings(id string, s *record) (search, record reading) {
	return f.read(id, Search, s.returned, f.settled), f.read(id, Record, s.returned, f.settled)
}

// evaluateDoubt reports whether a server is doubtful by the complete evidence, or else by evidence that only some proxies
// have reported yet. Proxies report more often while a server is doubtful, so the evidence is complete sooner.
func (f *Floor) doubted(id string, s *record, search, record reading) (reading, bool) {
	switch {
	case f.doubts(record):
		return record, true
	case f.doubts(search):
		return search, true
	case f.settled == f.now:
		return reading{}, false
	}
	record = f.read(id, Record, s.returned, f.now)
	if f.doubts(record) {
		return record, true
	}
	search = f.read(id, Search, s.returned, f.now)
	return search, f.doubts(search)
}

func (f *Floor) judge(id string, s *record) {
	if s.level >= UnfitRecord {
		f.tryAgain(id, s)
		return
	}
	for s.relapses > 0 && s.level == Fit && f.now-s.since >= absolved {
		s.relapses--
		s.since += absolved
	}
	search, record := f.readings(id, s)
	doubt, doubted := f.doubted(id, s, search, record)
	worse := doubted && s.level == Fit || search.condemns || record.condemns
	if worse && f.baseAt != f.now { // the failures may have begun at all servers since the last baseline
		f.lookAround()
		search, record = f.readings(id, s)
		doubt, doubted = f.doubted(id, s, search, record)
	}
	switch {
	case search.condemns:
		f.condemn(s, UnfitAll, whyFails, search)
	case record.condemns:
		f.condemn(s, UnfitRecord, whyUnclear, record)
	case doubted:
		s.good = f.now
		s.last = doubt
		if s.level == Fit {
			s.to(f.now, Doubtful, whyFew)
		}
		if s.trial == 0 && f.now-s.since >= doubtWait {
			s.trial = f.now // at-most-once requests go elsewhere, so only trials give further evidence
		}
	case record.bad >= need/4 && record.share >= record.bar.share/2:
		s.good = f.now // too little to be doubtful, too much to be fit: keep the level
	case s.level == Doubtful && f.now-s.good >= calm:
		s.to(f.now, Fit, "")
	}
}

func (f *Floor) condemn(s *record, l Level, why string, r reading) {
	if s.returned != never && s.relapses < mostRelaps && f.fault != "forgives" {
		s.relapses++
	}
	s.to(f.now, l, why)
	s.last = r
}

// updateTrials returns an unfit server to use if its trials succeed.
func (f *Floor) tryAgain(id string, s *record) {
	if s.trial == 0 {
		if f.now-s.good >= s.wait() {
			s.trial = f.now
		}
		return
	}
	kind := Record
	if s.level == UnfitAll {
		kind = Search
	}
	good, bad := trialsOf(add(map[string]*voice{}, f.statements(id, kind, s.trial, f.now, f.usualFails(id))...))
	switch {
	case bad >= trialFail || bad > 0 && f.now-s.trial >= trialFor:
		if s.relapses < mostRelaps && f.fault != "forgives" {
			s.relapses++
		}
		s.to(f.now, s.level, whyRelapse)
	case good >= trialNeed && good >= trialTimes*bad && s.level == UnfitAll:
		s.to(f.now, UnfitRecord, whyTrials)
		s.trial = f.now
	case good >= trialNeed && good >= trialTimes*bad:
		s.to(f.now, Doubtful, whyTrials)
		s.returned = f.now
	case bad == 0 && good == 0 && f.now-s.trial >= absolved:
		s.to(f.now, Doubtful, whySilent)
		s.returned = f.now
	}
}

// trialOutcomes sums the outcomes of trials, with a cap for each group.
func trialsOf(totals map[string]*voice) (good, bad float64) {
	var group [Groups][2]float64
	for _, v := range totals {
		for g, x := range v.by {
			group[g][0] += float64(x[0]) / one
			group[g][1] += float64(x[1]) / one
		}
	}
	for _, x := range group {
		bad += min(1, x[0])
		good += min(trialGroup, x[1])
	}
	return good, bad
}

// Adopt takes over another replica's verdicts on servers for which this evaluator has none, so that a change of the
// responsible replica does not clear them.
func (f *Floor) Adopt(now time.Duration, list []Verdict) {
	f.now = max(f.now, now)
	for _, v := range list {
		if s := f.records[v.Server]; s != nil && (s.level > Fit || s.relapses > 0) {
			continue
		}
		f.records[v.Server] = &record{level: v.Level, why: v.Why, since: f.now - v.Age, good: f.now, relapses: v.Relapses, returned: never,
			last: reading{share: v.Share, number: v.Number, for_: v.For, against: v.Against}}
	}
}

// TrialProxies selects the proxies that may send one trial request each in a verdict's current round, at most the given
// number. The selection changes with each round.
func Trialists(v *Verdict, proxies []string, limit int) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	all := make([]ranked, len(proxies))
	for i, g := range proxies {
		var b [4]byte
		for j := range b {
			b[j] = byte(v.Round >> (8 * j))
		}
		all[i] = ranked{g, xxhash.Sum64String(v.Server + "\x00" + string(b[:]) + "\x00" + g)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	var names []string
	for _, r := range all[:min(limit, len(all))] {
		names = append(names, r.name)
	}
	return names
}
