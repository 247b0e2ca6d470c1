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
	clearBeforeFit         = 5 * time.Second  // without doubt, before a doubtful one is fit
	doubtTrialDelay        = time.Second      // before trials of a doubtful one, from which a verdict may follow
	minTrialDelay          = 5 * time.Second  // before the first trials; twice as long after each relapse
	maxTrialDelay          = 5 * time.Minute  // at most
	trialTimeout           = 30 * time.Second // in which trials must end, if anything in them was unclear
	minTrialSuccesses      = 5.0              // confirmed, ...
	maxTrialGroupSuccesses = 3.0              // ... at most so many of one group, ...
	minTrialSuccessRatio   = 8.0              // ... and so many for each unclear one
	trialFailureLimit      = 1.5              // unclear, at most 1 of one group: a relapse
	relapseDecay           = 10 * time.Minute // fit for so long takes one relapse away; and so long without a statement ends a verdict
	maxRelapses            = 6
	trialRound             = time.Second // of trials
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

// never is before all spans: those of a proxy that runs longer than its replica began before the replica's clock did.
const never = time.Duration(math.MinInt64)

// serverState is what a floor holds of one server.
type serverState struct {
	level          Level
	why            string
	since          time.Duration // of the level
	trialStart     time.Duration // when trials began; 0: none
	clearSince     time.Duration // since when nothing speaks against it
	lastEvaluation evaluation
	relapses       int
	returned       time.Duration // when it last came back, or never; evidence from before counts no more
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

// Evaluate joins all reports into verdicts on the given servers. The caller sets By and Stamp.
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

// updateBaselines takes what is usual anew.
func (f *Evaluator) updateBaselines() {
	f.baselines, f.baselineTime = [kindCount]*baseline{f.computeBaseline(Repeatable, f.completeUntil), f.computeBaseline(AtMostOnce, f.completeUntil)}, f.now
}

// evaluateComplete are what is settled of a server: what was seen up to the moment to which all proxies that are there have told.
func (f *Evaluator) evaluateComplete(id string, s *serverState) (search, record evaluation) {
	return f.evaluateServer(id, Repeatable, s.returned, f.completeUntil), f.evaluateServer(id, AtMostOnce, s.returned, f.completeUntil)
}

// evaluateDoubt tells whether what is settled, or else what only some have told yet, makes a server doubtful. Proxies tell more
// often while there is a doubt, so that more is settled soon.
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
	if worse && f.baselineTime != f.now { // what speaks against it may be new to all
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
			s.trialStart = f.now // records go elsewhere: without trials nothing more would be heard of it
		}
	case record.bad >= minFailures/4 && record.share >= record.threshold.share/2:
		s.clearSince = f.now // neither: as it was
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

// updateTrials lets a server that is out come back by its trials.
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

// trialOutcomes sums trials, with a cap for each group.
func trialOutcomes(voices map[string]*proxyTotals) (good, bad float64) {
	var group [Groups][2]float64
	for _, v := range voices {
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

// Adopt takes over another replica's verdicts on servers on which this one has none, so that a change of the keeping
// replica does not clear them.
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

// TrialProxies selects the proxies that may send one trial each in a round of a verdict: at most a number of them, others in
// each round.
func TrialProxies(v *Verdict, proxies []string, most int) []string {
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
	for _, r := range all[:min(most, len(all))] {
		names = append(names, r.name)
	}
	return names
}
