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
	clearBeforeFit         = 5 * time.Second  // without evidence against a doubtful server, before it is fit
	doubtTrialDelay        = time.Second      // before trials of a doubtful server, whose outcomes allow a verdict
	minTrialDelay          = 5 * time.Second  // before the first trials; doubled by each relapse
	maxTrialDelay          = 5 * time.Minute  // limit of that delay
	trialTimeout           = 30 * time.Second // after which trials with any weight against the server have failed
	minTrialSuccesses      = 5.0              // weight of confirmed trials that ends them, ...
	maxTrialGroupSuccesses = 3.0              // ... counting at most this much of one group, ...
	minTrialSuccessRatio   = 8.0              // ... and at least this much for each unclear one
	trialFailureLimit      = 1.5              // weight of unclear trials, counting at most 1 of one group, that is a relapse
	relapseDecay           = 10 * time.Minute // each such time as fit removes one relapse; such a time of trials without any outcome ends a verdict
	maxRelapses            = 6
	trialRound             = time.Second // duration of a round of trials
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
type serverState struct {
	level          Level
	why            string
	since          time.Duration // start of the level
	trialStart     time.Duration // start of trials; 0 if there are none
	clearSince     time.Duration // start of the time without evidence against the server
	lastEvaluation evaluation
	relapses       int
	returned       time.Duration // time of the last return to use, or never; earlier evidence is ignored
}

func (s *serverState) setLevel(now time.Duration, l Level, why string) {
	if s.level != l {
		s.since = now
	}
	s.level, s.why, s.trialStart, s.clearSince = l, why, 0, now
}

func (s *serverState) trialDelay() time.Duration {
	return min(maxTrialDelay, minTrialDelay<<s.relapses)
}

// Evaluate computes verdicts on the given servers from all reports. The caller sets By and Stamp.
func (f *Evaluator) Evaluate(now time.Duration, servers []Server) *Verdicts {
	f.now, f.servers = max(f.now, now), servers
	f.expire()
	f.completeUntil = f.watermark()
	if f.baselines[Repeatable] == nil || f.now-f.baselineTime >= baselineInterval {
		f.updateBaselines()
	}
	list := []Verdict{}
	for _, sv := range servers {
		s := f.states[sv.ID]
		if s == nil {
			s = &serverState{clearSince: f.now, since: f.now, returned: never}
			f.states[sv.ID] = s
		}
		f.updateState(sv.ID, s)
		if s.level == Fit && s.relapses == 0 {
			continue
		}
		list = append(list, Verdict{Server: sv.ID, Service: sv.Service, Level: s.level, Why: s.why, Age: f.now - s.since,
			Share: s.lastEvaluation.share, Number: s.lastEvaluation.number, For: s.lastEvaluation.supporting, Against: s.lastEvaluation.against, Relapses: s.relapses,
			Trial: s.trialStart > 0, Round: uint32(f.now / trialRound)})
	}
	slices.SortFunc(list, func(a, b Verdict) int { return strings.Compare(a.Server, b.Server) })
	if f.testFault == "no bound" {
		return &Verdicts{List: list}
	}
	return &Verdicts{List: LimitExcluded(servers, list)}
}

// updateBaselines recomputes the baselines of both kinds.
func (f *Evaluator) updateBaselines() {
	f.baselines, f.baselineTime = [kindCount]*baseline{f.computeBaseline(Repeatable, f.completeUntil), f.computeBaseline(AtMostOnce, f.completeUntil)}, f.now
}

// evaluateComplete evaluates a server's evidence up to the time to which all active proxies have reported.
func (f *Evaluator) evaluateComplete(id string, s *serverState) (search, record evaluation) {
	return f.evaluateServer(id, Repeatable, s.returned, f.completeUntil), f.evaluateServer(id, AtMostOnce, s.returned, f.completeUntil)
}

// evaluateDoubt reports whether a server is doubtful by the complete evidence, or else by evidence that only some proxies
// have reported yet. Proxies report more often while a server is doubtful, so the evidence is complete sooner.
func (f *Evaluator) evaluateDoubt(id string, s *serverState, search, record evaluation) (evaluation, bool) {
	switch {
	case f.isDoubtful(record):
		return record, true
	case f.isDoubtful(search):
		return search, true
	case f.completeUntil == f.now:
		return evaluation{}, false
	}
	record = f.evaluateServer(id, AtMostOnce, s.returned, f.now)
	if f.isDoubtful(record) {
		return record, true
	}
	search = f.evaluateServer(id, Repeatable, s.returned, f.now)
	return search, f.isDoubtful(search)
}

func (f *Evaluator) updateState(id string, s *serverState) {
	if s.level >= UnfitAtMostOnce {
		f.updateTrials(id, s)
		return
	}
	for s.relapses > 0 && s.level == Fit && f.now-s.since >= relapseDecay {
		s.relapses--
		s.since += relapseDecay
	}
	search, record := f.evaluateComplete(id, s)
	doubt, doubted := f.evaluateDoubt(id, s, search, record)
	worse := doubted && s.level == Fit || search.unfit || record.unfit
	if worse && f.baselineTime != f.now { // the failures may have begun at all servers since the last baseline
		f.updateBaselines()
		search, record = f.evaluateComplete(id, s)
		doubt, doubted = f.evaluateDoubt(id, s, search, record)
	}
	switch {
	case search.unfit:
		f.markUnfit(s, UnfitAll, whyFails, search)
	case record.unfit:
		f.markUnfit(s, UnfitAtMostOnce, whyUnclear, record)
	case doubted:
		s.clearSince = f.now
		s.lastEvaluation = doubt
		if s.level == Fit {
			s.setLevel(f.now, Doubtful, whyFew)
		}
		if s.trialStart == 0 && f.now-s.since >= doubtTrialDelay {
			s.trialStart = f.now // at-most-once requests go elsewhere, so only trials give further evidence
		}
	case record.bad >= minFailures/4 && record.share >= record.threshold.share/2:
		s.clearSince = f.now // too little to be doubtful, too much to be fit: keep the level
	case s.level == Doubtful && f.now-s.clearSince >= clearBeforeFit:
		s.setLevel(f.now, Fit, "")
	}
}

func (f *Evaluator) markUnfit(s *serverState, l Level, why string, r evaluation) {
	if s.returned != never && s.relapses < maxRelapses && f.testFault != "forgives" {
		s.relapses++
	}
	s.setLevel(f.now, l, why)
	s.lastEvaluation = r
}

// updateTrials returns an unfit server to use if its trials succeed.
func (f *Evaluator) updateTrials(id string, s *serverState) {
	if s.trialStart == 0 {
		if f.now-s.clearSince >= s.trialDelay() {
			s.trialStart = f.now
		}
		return
	}
	kind := AtMostOnce
	if s.level == UnfitAll {
		kind = Repeatable
	}
	good, bad := trialOutcomes(addCells(map[string]*proxyTotals{}, f.weightedCells(id, kind, s.trialStart, f.now, f.medianFailingShare(id))...))
	switch {
	case bad >= trialFailureLimit || bad > 0 && f.now-s.trialStart >= trialTimeout:
		if s.relapses < maxRelapses && f.testFault != "forgives" {
			s.relapses++
		}
		s.setLevel(f.now, s.level, whyRelapse)
	case good >= minTrialSuccesses && good >= minTrialSuccessRatio*bad && s.level == UnfitAll:
		s.setLevel(f.now, UnfitAtMostOnce, whyTrials)
		s.trialStart = f.now
	case good >= minTrialSuccesses && good >= minTrialSuccessRatio*bad:
		s.setLevel(f.now, Doubtful, whyTrials)
		s.returned = f.now
	case bad == 0 && good == 0 && f.now-s.trialStart >= relapseDecay:
		s.setLevel(f.now, Doubtful, whySilent)
		s.returned = f.now
	}
}

// trialOutcomes sums the outcomes of trials, with a cap for each group.
func trialOutcomes(totals map[string]*proxyTotals) (good, bad float64) {
	var group [Groups][2]float64
	for _, v := range totals {
		for g, x := range v.byGroup {
			group[g][0] += float64(x[0]) / weightUnit
			group[g][1] += float64(x[1]) / weightUnit
		}
	}
	for _, x := range group {
		bad += min(1, x[0])
		good += min(maxTrialGroupSuccesses, x[1])
	}
	return good, bad
}

// Adopt takes over another replica's verdicts on servers for which this evaluator has none, so that a change of the
// responsible replica does not clear them.
func (f *Evaluator) Adopt(now time.Duration, list []Verdict) {
	f.now = max(f.now, now)
	for _, v := range list {
		if s := f.states[v.Server]; s != nil && (s.level > Fit || s.relapses > 0) {
			continue
		}
		f.states[v.Server] = &serverState{level: v.Level, why: v.Why, since: f.now - v.Age, clearSince: f.now, relapses: v.Relapses, returned: never,
			lastEvaluation: evaluation{share: v.Share, number: v.Number, supporting: v.For, against: v.Against}}
	}
}

// TrialProxies selects the proxies that may send one trial request each in a verdict's current round, at most the given
// number. The selection changes with each round.
func TrialProxies(v *Verdict, proxies []string, limit int) []string {
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
